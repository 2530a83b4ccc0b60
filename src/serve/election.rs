//! Finds the leader and follows it, or acquires the leadership when there is no live leader.

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

/// Consecutive connections refused by the leader's address after which its record counts as vacant.
const VACANT_AFTER_REFUSALS: u32 = 2;

/// One read of the leader's rows, with the versions that a takeover expects.
struct Observation {
    view: View,
    record_version: u64,
    heartbeat_version: u64,
    /// The store's clock at the read.
    now: Ms,
}

/// Follows the leader for the life of the process.
pub(super) async fn follow(shared: Arc<Shared>) {
    // Consecutive refusals by the address in the current leader record.
    let mut refusals = 0;
    let mut record_version = 0;
    let mut has_deferred = false;
    loop {
        if shared.is_stopping() && shared.leadership().is_none() && refusals > 0 {
            // A stopping entry does not take over. Another entry will lead soon; until then there
            // is no leader to follow.
            refusals = 0;
        }
        let observed = match observe(&shared, refusals).await {
            Ok(observed) => observed,
            Err(error) => {
                log::warn!("kind=record-unread cause={:?}", error.to_string());
                sleep(election::CHECK_INTERVAL).await;
                continue;
            }
        };
        if observed.record_version != record_version {
            // The refusals came from the address of an earlier leader and do not count for this
            // one.
            record_version = observed.record_version;
            if refusals > 0 {
                refusals = 0;
                continue;
            }
        }
        let is_own =
            observed.view.record.as_ref().is_some_and(|(_, record)| {
                record.is_held_by(&shared.options.name, shared.instance)
            });
        if is_own && let Some((epoch, _)) = observed.view.record {
            lead::run(&shared, epoch, observed.now).await;
            continue;
        }
        let should_campaign =
            election::should_campaign(&observed.view, &shared.options.name, shared.instance);
        if should_campaign && !shared.is_stopping() && !has_deferred {
            // The next read shows whether an entry with more processor share has taken over
            // meanwhile.
            has_deferred = true;
            sleep(election::candidacy_delay(shared.options.processor_share)).await;
            continue;
        }
        has_deferred = false;
        let is_watching = election::should_observe(&observed.view);
        if should_campaign && !shared.is_stopping() {
            try_acquire(&shared, &observed).await;
            refusals = 0;
            continue;
        }
        let Some((epoch, record)) = observed
            .view
            .record
            .filter(|(_, record)| record.entry.is_some())
        else {
            sleep(election::CHECK_INTERVAL).await;
            continue;
        };
        if is_watching {
            sleep(election::CHECK_INTERVAL).await;
            continue;
        }
        if shared.agent.is_refused(epoch) {
            // A later leader exists, and the next read may show its record.
            sleep(election::CHECK_INTERVAL).await;
            continue;
        }
        match peers::follow(&shared, epoch, &record).await {
            Ending::Refused => refusals += 1,
            Ending::Lost => refusals = 0,
        }
        sleep(election::CHECK_INTERVAL).await;
    }
}

async fn observe(shared: &Shared, refusals: u32) -> Result<Observation, Error> {
    let page = shared
        .store
        .read(rows::LEAD, rows::UNDIVIDED, "", 8)
        .await?;
    let row = |key: &str| page.rows.iter().find(|row| row.key == key);
    let record_row = row(&rows::record().key);
    let heartbeat_row = row(&rows::heartbeat().key);
    let record = record_row.and_then(|row| match rows::decode::<Record>(row) {
        Ok(record) => Some((Epoch(row.version), record)),
        Err(error) => {
            log::error!("kind=row-ignored table=lead cause={:?}", error.to_string());
            None
        }
    });
    let heartbeat = heartbeat_row.and_then(|row| rows::decode::<rows::Heartbeat>(row).ok());
    let heartbeat_version = heartbeat_row.map_or(0, |row| row.version);
    let unchanged = shared.observe_heartbeat(heartbeat_version);
    let heartbeat_age = heartbeat.map(|heartbeat| page.now.since(Ms(heartbeat.at)));
    Ok(Observation {
        view: View {
            record,
            heartbeat_age,
            unchanged,
            is_vacant: refusals >= VACANT_AFTER_REFUSALS,
        },
        record_version: record_row.map_or(0, |row| row.version),
        heartbeat_version,
        now: page.now,
    })
}

/// Tries to acquire the leadership. The next read of the store shows which entry has it.
async fn try_acquire(shared: &Shared, observed: &Observation) {
    let record = Record {
        entry: Some(shared.options.name.clone()),
        instance: shared.instance,
        address: Arc::from(shared.options.peer.to_string()),
    };
    let heartbeat = rows::Heartbeat {
        epoch: 0,
        at: observed.now.0,
    };
    let transaction = Transaction {
        expected: vec![
            (rows::record(), observed.record_version),
            (rows::heartbeat(), observed.heartbeat_version),
        ],
        puts: vec![
            (rows::record(), rows::encode(&record)),
            (rows::heartbeat(), rows::encode(&heartbeat)),
        ],
        removed: Vec::new(),
    };
    let result: Result<Page, Error> = shared.store.transact(&transaction).await;
    match result {
        Ok(page) => log::info!(
            "kind=lead-won epoch={} beat_age_ms={:?} vacant={}",
            page.version,
            observed.view.heartbeat_age.map(|age| age.0),
            observed.view.is_vacant
        ),
        Err(error) => log::info!("kind=lead-not-won cause={:?}", error.to_string()),
    }
}
