//! Finds the leader, follows it, and takes the lead when it is gone.

use std::sync::Arc;

use adapter::store::Error;
use adapter::store::Page;
use adapter::store::Transaction;
use decision::clock::Ms;
use scheduler::election;
use scheduler::election::Record;
use scheduler::election::View;
use scheduler::id::Epoch;

use super::Shared;
use super::lead;
use super::peers;
use super::peers::Ending;
use super::rows;
use super::sleep;

/// Connections in a row that the leader's address turned away before it counts as vacant.
const VACANT_AFTER: u32 = 2;

/// The view of the store on the leader, with what a takeover depends on.
struct Found {
    view: View,
    record_version: u64,
    beat_version: u64,
    now: Ms,
}

/// Follows the leader for the life of the process.
pub(super) async fn follow(shared: Arc<Shared>) {
    let mut turned_away = 0;
    let mut version = 0;
    let mut has_deferred = false;
    loop {
        if shared.is_stopping() && shared.leading().is_none() && turned_away > 0 {
            // Another entry leads soon; until then there is nobody to follow.
            turned_away = 0;
        }
        let found = match look(&shared, turned_away).await {
            Ok(found) => found,
            Err(error) => {
                log::warn!("kind=record-unread cause={:?}", error.to_string());
                sleep(election::CHECK_INTERVAL).await;
                continue;
            }
        };
        if found.record_version != version {
            // Refusals by the address of an earlier leader say nothing about this one.
            version = found.record_version;
            if turned_away > 0 {
                turned_away = 0;
                continue;
            }
        }
        let is_mine =
            found.view.record.as_ref().is_some_and(|(_, record)| {
                record.is_held_by(&shared.options.name, shared.instance)
            });
        if is_mine && let Some((epoch, _)) = found.view.record {
            lead::lead(&shared, epoch, found.now).await;
            continue;
        }
        let should_campaign =
            election::should_campaign(&found.view, &shared.options.name, shared.instance);
        if should_campaign && !shared.is_stopping() && !has_deferred {
            // The next look shows whether a stronger entry leads by then.
            has_deferred = true;
            sleep(election::candidacy_delay(shared.options.processor_share)).await;
            continue;
        }
        has_deferred = false;
        if should_campaign && !shared.is_stopping() {
            run(&shared, &found).await;
            turned_away = 0;
            continue;
        }
        let Some((epoch, record)) = found
            .view
            .record
            .filter(|(_, record)| record.entry.is_some())
        else {
            sleep(election::CHECK_INTERVAL).await;
            continue;
        };
        match peers::follow(&shared, epoch, &record).await {
            Ending::TurnedAway => turned_away += 1,
            Ending::Lost => turned_away = 0,
        }
        sleep(election::CHECK_INTERVAL).await;
    }
}

async fn look(shared: &Shared, turned_away: u32) -> Result<Found, Error> {
    let page = shared.store.read(rows::LEAD, rows::WHOLE, "", 8).await?;
    let row = |key: &str| page.rows.iter().find(|row| row.key == key);
    let record_row = row(&rows::record().key);
    let beat_row = row(&rows::beat().key);
    let record = record_row.and_then(|row| match rows::decode::<Record>(row) {
        Ok(record) => Some((Epoch(row.version), record)),
        Err(error) => {
            log::error!("kind=row-ignored table=lead cause={:?}", error.to_string());
            None
        }
    });
    let beat = beat_row.and_then(|row| rows::decode::<rows::Beat>(row).ok());
    let beat_version = beat_row.map_or(0, |row| row.version);
    let unchanged = shared.observe_beat(beat_version);
    let beat_age = beat.map(|beat| page.now.since(Ms(beat.at)));
    Ok(Found {
        view: View {
            record,
            beat_age,
            unchanged,
            is_vacant: turned_away >= VACANT_AFTER,
        },
        record_version: record_row.map_or(0, |row| row.version),
        beat_version,
        now: page.now,
    })
}

/// Tries to become the leader; the next look at the store tells who is.
async fn run(shared: &Shared, found: &Found) {
    let record = Record {
        entry: Some(shared.options.name.clone()),
        instance: shared.instance,
        address: Arc::from(shared.options.peer.to_string()),
    };
    let beat = rows::Beat {
        epoch: 0,
        at: found.now.0,
    };
    let transaction = Transaction {
        expected: vec![
            (rows::record(), found.record_version),
            (rows::beat(), found.beat_version),
        ],
        puts: vec![
            (rows::record(), rows::encode(&record)),
            (rows::beat(), rows::encode(&beat)),
        ],
        removed: Vec::new(),
    };
    let result: Result<Page, Error> = shared.store.transact(&transaction).await;
    match result {
        Ok(page) => log::info!(
            "kind=lead-won epoch={} beat_age_ms={:?} vacant={}",
            page.version,
            found.view.beat_age.map(|age| age.0),
            found.view.is_vacant
        ),
        Err(error) => log::info!("kind=lead-not-won cause={:?}", error.to_string()),
    }
}
