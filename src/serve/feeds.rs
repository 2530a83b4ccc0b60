//! Follows tables of the store.

use std::collections::BTreeSet;
use std::sync::Arc;

use adapter::config;
use adapter::directory;
use adapter::store::Error;
use adapter::store::Page;
use adapter::store::Row;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::id;
use scheduler::job::Accepted;
use scheduler::leader::Event;
use scheduler::progress::Progress;
use smol::channel::Sender;

use super::Shared;
use super::lead::Input;
use super::rows;
use super::rows::Kind;
use super::sleep;

/// The longest wait of a feed. A connection that fell silent is found out after it.
const WAIT: Ms = Ms(2_000);
/// The pause after a failed read.
const RETRY: Ms = Ms(200);
/// Rows of one read; the store gives at most 500.
const PAGE: usize = 500;

/// A table that is read whole and then followed.
struct Follower<'a> {
    shared: &'a Shared,
    table: &'static str,
    after: u64,
    is_served: bool,
}

impl<'a> Follower<'a> {
    const fn new(shared: &'a Shared, table: &'static str) -> Self {
        Self {
            shared,
            table,
            after: 0,
            is_served: true,
        }
    }

    /// Reads the whole table, however long the store takes.
    async fn read_all(&mut self) -> Vec<Row> {
        loop {
            match read_table(self.shared, self.table).await {
                Ok((rows, version)) => {
                    self.after = version;
                    self.note_served();
                    return rows;
                }
                Err(error) => self.note_failed(&error).await,
            }
        }
    }

    /// Waits for changes; `None` when the table has to be read whole again.
    async fn next(&mut self) -> Option<Vec<Row>> {
        loop {
            match self.shared.store.feed(self.table, self.after, WAIT).await {
                Ok(Page { rows, version, .. }) => {
                    self.note_served();
                    self.after = version.max(self.after);
                    if !rows.is_empty() {
                        return Some(rows);
                    }
                }
                Err(Error::Compacted) => {
                    log::warn!(
                        "kind=feed-compacted table={} after={}",
                        self.table,
                        self.after
                    );
                    return None;
                }
                Err(error) => self.note_failed(&error).await,
            }
        }
    }

    fn note_served(&mut self) {
        self.shared.note_store(true);
        if !self.is_served {
            self.is_served = true;
            log::info!(
                "kind=feed-regained table={} version={}",
                self.table,
                self.after
            );
        }
    }

    async fn note_failed(&mut self, error: &Error) {
        self.shared.note_store(false);
        if self.is_served {
            self.is_served = false;
            self.shared.instruments.feed_lost(self.table);
            log::warn!(
                "kind=feed-lost table={} cause={:?}",
                self.table,
                error.to_string()
            );
        }
        sleep(RETRY).await;
    }
}

/// Reads a table. The version is that of the first page, so that a feed from it misses nothing.
async fn read_table(shared: &Shared, table: &str) -> Result<(Vec<Row>, u64), Error> {
    let mut rows: Vec<Row> = Vec::new();
    let mut version = u64::MAX;
    for part in rows::parts(table) {
        let (more, seen) = read_part(shared, table, part).await?;
        rows.extend(more);
        version = version.min(seen);
    }
    Ok((rows, version))
}

async fn read_part(shared: &Shared, table: &str, part: &str) -> Result<(Vec<Row>, u64), Error> {
    let mut rows: Vec<Row> = Vec::new();
    let mut version = None;
    let mut from = String::new();
    loop {
        let page = shared.store.read(table, part, &from, PAGE).await?;
        version = version.or(Some(page.version));
        let Some(last) = page.rows.last() else {
            break;
        };
        // The next key in byte order.
        from = format!("{}!", last.key);
        let has_more = page.has_more;
        rows.extend(page.rows);
        if !has_more {
            break;
        }
    }
    Ok((rows, version.unwrap_or_default()))
}

/// Keeps the configuration up to date.
pub(super) async fn follow_config(shared: Arc<Shared>) {
    let mut follower = Follower::new(&shared, config::TABLE);
    loop {
        let mut rows = follower.read_all().await;
        loop {
            for row in rows {
                take_config(&shared, &row);
            }
            match follower.next().await {
                Some(changed) => rows = changed,
                None => break,
            }
        }
    }
}

fn take_config(shared: &Shared, row: &Row) {
    if row.key == config::KEY && !row.is_removed {
        shared.take_config(&row.value);
    }
}

/// Tells the leader of the workers' registrations.
pub(super) async fn follow_workers(shared: Arc<Shared>, inputs: Sender<Input>) {
    let mut follower = Follower::new(&shared, directory::TABLE);
    let mut listed: BTreeSet<Name> = BTreeSet::new();
    let tell = |name: Name, listing| {
        let event = Event::RegistrationChanged(name, listing);
        inputs.try_send(Input::Event(event)).is_ok()
    };
    loop {
        let mut rows = follower.read_all().await;
        let names = rows.iter().filter_map(|row| worker_name(&row.key));
        let found: BTreeSet<Name> = names.collect();
        for gone in listed.difference(&found) {
            if !tell(gone.clone(), None) {
                return;
            }
        }
        listed = found;
        loop {
            for row in rows {
                let Some(name) = worker_name(&row.key) else {
                    continue;
                };
                let listing = match directory::decode(&row.value) {
                    _ if row.is_removed => None,
                    Ok(listing) => Some(listing),
                    Err(error) => {
                        log::warn!(
                            "kind=registration-ignored worker={name} cause={:?}",
                            error.to_string()
                        );
                        continue;
                    }
                };
                if listing.is_some() {
                    listed.insert(name.clone());
                }
                if !tell(name, listing) {
                    return;
                }
            }
            match follower.next().await {
                Some(changed) => rows = changed,
                None => break,
            }
        }
    }
}

fn worker_name(key: &str) -> Option<Name> {
    Name::try_from(key).ok()
}

/// Tells the leader what earlier leaders stored, then of each accepted and cancelled job.
pub(super) async fn follow_jobs(shared: Arc<Shared>, inputs: Sender<Input>) {
    let tell = |event| inputs.try_send(Input::Event(event)).is_ok();
    let mut follower = Follower::new(&shared, rows::JOBS);
    let mut jobs = follower.read_all().await;
    let mut progress = Follower::new(&shared, rows::PROGRESS).read_all().await;
    let fleet = Follower::new(&shared, rows::FLEET).read_all().await;
    for row in fleet {
        match rows::decode(&row) {
            Ok(members) => drop(tell(Event::Fleet(members))),
            Err(error) => log::error!("kind=row-ignored table=fleet cause={:?}", error.to_string()),
        }
    }
    let mut is_first = true;
    loop {
        jobs.sort_by_key(|row| row.version);
        for row in jobs {
            if !row.is_removed && !take_job(&row, &mut progress, &tell) {
                return;
            }
        }
        if is_first {
            is_first = false;
            progress.clear();
            if !tell(Event::Recovered) {
                return;
            }
        }
        jobs = match follower.next().await {
            Some(changed) => changed,
            None => follower.read_all().await,
        };
    }
}

fn take_job(row: &Row, progress: &mut Vec<Row>, tell: &impl Fn(Event) -> bool) -> bool {
    let ignored = |error: &rows::Error| {
        log::error!(
            "kind=row-ignored table=jobs key={:?} cause={:?}",
            row.key,
            error.to_string()
        );
        true
    };
    match rows::kind(&row.key) {
        Ok(Kind::Accepted(job)) => match rows::decode::<Accepted>(row) {
            Ok(accepted) => {
                let found = take_progress(progress, job);
                tell(Event::Accepted(job, row.version, accepted, found))
            }
            Err(error) => ignored(&error),
        },
        Ok(Kind::Cancelled(job)) => tell(Event::Cancelled(job)),
        Err(error) => ignored(&error),
    }
}

fn take_progress(progress: &mut Vec<Row>, job: id::Job) -> Option<Progress> {
    let key = job.to_string();
    let index = progress.iter().position(|row| row.key == key)?;
    let row = progress.swap_remove(index);
    match rows::decode(&row) {
        Ok(progress) => Some(progress),
        Err(error) => {
            log::error!(
                "kind=row-ignored table=progress cause={:?}",
                error.to_string()
            );
            None
        }
    }
}
