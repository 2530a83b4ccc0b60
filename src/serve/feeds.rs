//! Follows tables of the store and passes their changes on.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

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
use scheduler::leader::Member;
use scheduler::progress::Progress;
use smol::future::FutureExt;

use super::Shared;
use super::clock;
use super::inbox::Outlet;
use super::leadership::Leadership;
use super::lock;
use super::logging::quote;
use super::orphans;
use super::orphans::Orphans;
use super::rows;
use super::rows::Kind;
use super::sleep;

/// The longest time that the store waits for a change in one feed call of an entry that does not
/// lead. It bounds the time until a dead connection is detected.
const FEED_WAIT: Ms = Ms(2_000);
/// The same for an entry that leads. With the time limit of a feed beyond its wait and
/// [`RETRY_DELAY`], a change whose feed call gets no answer is read within 1.6 s. The configuration
/// and a worker's draining have to take effect within 2 s.
const LEADER_FEED_WAIT: Ms = Ms(400);
/// The pause after a failed read or feed.
const RETRY_DELAY: Ms = Ms(200);
/// The most rows requested in one read. The store returns at most 500.
const MAX_PAGE_ROWS: usize = 500;

/// Reads a whole table and then follows its changes.
struct Follower<'a> {
    shared: &'a Shared,
    table: &'static str,
    /// The version up to which changes have been read.
    after: u64,
    /// When the last served read or feed call was sent, so that it shows all earlier changes.
    read_at: Ms,
    /// Whether the last read or feed was served.
    is_available: bool,
}

impl<'a> Follower<'a> {
    const fn new(shared: &'a Shared, table: &'static str) -> Self {
        Self {
            shared,
            table,
            after: 0,
            read_at: Ms::ZERO,
            is_available: true,
        }
    }

    /// Reads all parts of the table. A feed that starts at the lowest of the versions at which the
    /// parts were first read misses no change.
    async fn read_all(&mut self) -> Vec<Row> {
        let begun = clock::now();
        let mut rows: Vec<Row> = Vec::new();
        let mut version = u64::MAX;
        for part in rows::parts(self.table) {
            let (part_rows, part_version) = self.read_part(part).await;
            rows.extend(part_rows);
            version = version.min(part_version);
        }
        self.after = version;
        self.read_at = begun;
        rows
    }

    /// Reads a part of the table. Also returns the version at which it was first read.
    async fn read_part(&mut self, part: &str) -> (Vec<Row>, u64) {
        let mut rows: Vec<Row> = Vec::new();
        let mut version = None;
        let mut from = String::new();
        loop {
            let page = self.read_page(part, &from).await;
            version = version.or(Some(page.version));
            let Some(last) = page.rows.last() else {
                break;
            };
            // `!` sorts before every character used in keys, so the next page starts just after the
            // last key of this one.
            from = format!("{}!", last.key);
            let has_more = page.has_more;
            rows.extend(page.rows);
            if !has_more {
                break;
            }
        }
        (rows, version.unwrap_or_default())
    }

    /// Reads the rows of a part from a key on, retrying until the store serves the call. What has
    /// been read before is kept: a table of many pages would hardly be read to its end if each
    /// failure began it anew.
    async fn read_page(&mut self, part: &str, from: &str) -> Page {
        loop {
            let store = &self.shared.store;
            match store.read(self.table, part, from, MAX_PAGE_ROWS).await {
                Ok(page) => {
                    self.record_success();
                    return page;
                }
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    /// Waits for changed rows, of which there are none if nothing changes for a while. `None` means that the store no longer has the history since the last
    /// read, so the whole table has to be read again.
    async fn next_changes(&mut self) -> Option<Vec<Row>> {
        loop {
            let wait = feed_wait(self.shared);
            let sent_at = clock::now();
            match self.shared.store.feed(self.table, self.after, wait).await {
                Ok(Page {
                    mut rows, version, ..
                }) => {
                    self.record_success();
                    self.after = version.max(self.after);
                    self.read_at = sent_at;
                    // A feed returns the rows of all parts.
                    rows.retain(|row| rows::parts(self.table).contains(&&*row.part));
                    return Some(rows);
                }
                Err(Error::Compacted) => {
                    log::warn!(
                        "kind=feed-compacted table={} after={}",
                        self.table,
                        self.after
                    );
                    return None;
                }
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    fn record_success(&mut self) {
        self.shared.set_store_available(true);
        if !self.is_available {
            self.is_available = true;
            log::info!(
                "kind=feed-regained table={} version={}",
                self.table,
                self.after
            );
        }
    }

    async fn record_failure(&mut self, error: &Error) {
        self.shared.set_store_available(false);
        if self.is_available {
            self.is_available = false;
            self.shared.instruments.record_feed_lost(self.table);
            log::warn!(
                "kind=feed-lost table={} cause={:?}",
                self.table,
                error.to_string()
            );
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Returns how long the store is to wait for a change in the next feed call.
fn feed_wait(shared: &Shared) -> Ms {
    if shared.leadership().is_some() {
        LEADER_FEED_WAIT
    } else {
        FEED_WAIT
    }
}

/// Follows the operator's table and puts each newer configuration in force.
pub(super) async fn follow_config(shared: Arc<Shared>) {
    let mut follower = Follower::new(&shared, config::TABLE);
    loop {
        let mut rows = follower.read_all().await;
        loop {
            for row in rows {
                apply_config_row(&shared, &row);
            }
            match follower.next_changes().await {
                Some(changed) => rows = changed,
                None => break,
            }
        }
    }
}

fn apply_config_row(shared: &Shared, row: &Row) {
    if row.key == config::KEY && !row.is_removed {
        shared.apply_config(&row.value);
    }
}

/// Follows the registrations of workers and passes each change to the leader.
pub(super) async fn follow_workers(shared: Arc<Shared>, inputs: Outlet) {
    let mut follower = Follower::new(&shared, directory::TABLE);
    let mut known_names: BTreeSet<Name> = BTreeSet::new();
    let send = async |name: Name, registration| {
        let event = Event::RegistrationChanged(name, registration);
        inputs.send_row(event).await.is_ok()
    };
    loop {
        let mut rows = follower.read_all().await;
        let names = rows.iter().map(|row| Name::try_from(&*row.key));
        let names = names.filter_map(Result::ok);
        let stored: BTreeSet<Name> = names.collect();
        for removed in known_names.difference(&stored) {
            if !send(removed.clone(), None).await {
                return;
            }
        }
        known_names = stored;
        loop {
            for row in rows {
                let Some(name) = worker_name(&row.key) else {
                    continue;
                };
                let registration = match directory::decode(&row.value) {
                    _ if row.is_removed => None,
                    Ok(registration) => Some(registration),
                    Err(error) => {
                        log::warn!(
                            "kind=registration-ignored worker={name} cause={}",
                            quote(&error.to_string())
                        );
                        // The entry names no worker to use, also where a good one was before.
                        None
                    }
                };
                if registration.is_some() {
                    known_names.insert(name.clone());
                }
                if !send(name, registration).await {
                    return;
                }
            }
            let read = Event::RegistrationsRead(follower.read_at);
            if inputs.send_row(read).await.is_err() {
                return;
            }
            match follower.next_changes().await {
                Some(changed) => rows = changed,
                None => break,
            }
        }
    }
}

fn worker_name(key: &str) -> Option<Name> {
    match Name::try_from(key) {
        Ok(name) => Some(name),
        Err(error) => {
            log::warn!(
                "kind=registration-ignored key={} cause={:?}",
                quote(key),
                error.to_string()
            );
            None
        }
    }
}

/// Passes the jobs, progress and fleet that earlier leaders stored to the leader, then follows
/// accepted and cancelled jobs. Also removes cancellations without a job.
pub(super) async fn follow_jobs(shared: Arc<Shared>, leadership: Arc<Leadership>, inputs: Outlet) {
    let orphans = Mutex::new(Orphans::default());
    let sweeping = orphans::sweep(&shared, &orphans);
    let following = read_and_follow_jobs(&shared, &leadership, &inputs, &orphans);
    sweeping.or(following).await;
}

async fn read_and_follow_jobs(
    shared: &Shared,
    leadership: &Leadership,
    inputs: &Outlet,
    orphans: &Mutex<Orphans>,
) {
    let send = async |event| inputs.send_row(event).await.is_ok();
    let mut follower = Follower::new(shared, rows::JOBS);
    let mut jobs = follower.read_all().await;
    let progress = Follower::new(shared, rows::PROGRESS).read_all().await;
    let progress = leadership.divided().join(rows::PROGRESS, progress);
    let mut progress: HashMap<String, Row> = progress
        .into_iter()
        .map(|row| (row.key.clone(), row))
        .collect();
    let fleet = Follower::new(shared, rows::FLEET).read_all().await;
    let fleet = leadership.divided().join(rows::FLEET, fleet);
    for row in fleet {
        match rows::decode(&row) {
            Ok(members) => {
                if !send(Event::Fleet(reachable(members))).await {
                    return;
                }
            }
            Err(error) => {
                log::error!("kind=row-ignored table=fleet cause={:?}", error.to_string());
                if !send(Event::FleetUnreadable).await {
                    return;
                }
            }
        }
    }
    let mut is_first = true;
    loop {
        jobs.sort_by_key(|row| row.version);
        for row in jobs {
            let cancelled = lock(orphans).record(clock::now(), &row);
            // A cancellation is passed on before its job, which then never begins.
            if let Some(job) = cancelled
                && !send(Event::Cancelled(job)).await
            {
                return;
            }
            if row.is_removed {
                continue;
            }
            if let Some(event) = job_event(&row, &mut progress)
                && !send(event).await
            {
                return;
            }
        }
        if is_first {
            is_first = false;
            progress.clear();
            if !send(Event::Recovered).await {
                return;
            }
        }
        jobs = match follower.next_changes().await {
            Some(changed) => changed,
            None => {
                let rows = follower.read_all().await;
                lock(orphans).restart(&rows);
                rows
            }
        };
    }
}

/// Returns the members that agents can poll. Earlier builds also stored workers whose address
/// nothing can connect to, so that no task has ever started there.
fn reachable(members: Vec<Member>) -> Vec<Member> {
    let members = members.into_iter();
    members
        .filter(|member| directory::is_usable(&member.address))
        .collect()
}

/// Returns what the row of a job tells the leader; `None` if it is a cancellation or cannot be read.
fn job_event(row: &Row, progress: &mut HashMap<String, Row>) -> Option<Event> {
    let ignored = |table: &str, error: &rows::Error| {
        log::error!(
            "kind=row-ignored table={table} key={:?} cause={:?}",
            row.key,
            error.to_string()
        );
    };
    match rows::kind(&row.key) {
        Ok(Kind::Accepted(job)) => {
            let accepted = rows::decode::<Accepted>(row);
            let stored = remove_progress(progress, job);
            match (accepted, stored) {
                (Ok(accepted), Ok(stored)) => {
                    Some(Event::Accepted(job, row.version, accepted, stored))
                }
                (Err(error), _) => {
                    ignored(rows::JOBS, &error);
                    Some(Event::Unreadable(job))
                }
                (_, Err(error)) => {
                    ignored(rows::PROGRESS, &error);
                    Some(Event::Unreadable(job))
                }
            }
        }
        Ok(Kind::Cancelled(_)) => None,
        Err(error) => {
            ignored(rows::JOBS, &error);
            None
        }
    }
}

/// Returns the stored progress of a job, and removes it from the list.
fn remove_progress(
    progress: &mut HashMap<String, Row>,
    job: id::Job,
) -> Result<Option<Progress>, rows::Error> {
    let row = progress.remove(&job.to_string());
    row.map(|row| rows::decode(&row)).transpose()
}
