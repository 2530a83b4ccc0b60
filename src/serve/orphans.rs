//! Cancellations of jobs that the store does not hold.
//!
//! The write of a job may be under way, or be carried out late, when its cancellation finds no such
//! job. The row of the cancellation makes it a cancelled job from the start. The leader removes such
//! rows after a while, so that they do not pile up and a job submitted later is a new one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Mutex;

use adapter::store::Error;
use adapter::store::Row;
use adapter::store::Transaction;
use decision::clock::Ms;
use scheduler::id::Job;

use super::Shared;
use super::clock;
use super::lock;
use super::rows;
use super::rows::Kind;
use super::sleep;

/// The least time for which a cancellation without a job is kept. It exceeds the time that the write
/// of a job, or a repeated request to submit it, may be delayed.
const RETENTION: Ms = Ms(20_000);
/// The interval at which expired cancellations are removed.
const SWEEP_INTERVAL: Ms = Ms(1_000);
/// The most cancellations removed in one transaction. Each takes three entries, and the store
/// accepts at most 100.
const MAX_REMOVED: usize = 30;

/// The interval at which an entry may write cancellations of unknown jobs. The writes of all entries
/// together are limited by the store.
const WRITE_INTERVAL: Ms = Ms(500);
/// The most such writes at once.
const WRITE_BURST: u64 = 8;

/// The limit of an entry's writes of cancellations of unknown jobs.
#[derive(Debug, Default)]
pub(super) struct Quota {
    /// The time until which the writes so far use up the rate.
    used_until: Ms,
}

impl Quota {
    /// Returns whether another write is within the limit, and counts it if so.
    pub(super) fn take(&mut self, now: Ms) -> bool {
        let used_until = self.used_until.max(now) + WRITE_INTERVAL;
        let is_within = used_until.since(now) <= Ms(WRITE_INTERVAL.0 * WRITE_BURST);
        if is_within {
            self.used_until = used_until;
        }
        is_within
    }
}

/// A cancellation without a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Orphan {
    /// The version of its row.
    version: u64,
    /// When this leader read it.
    since: Ms,
}

/// The cancellations without a job in the store, as far as the leader has read its rows.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    /// The jobs that the store holds.
    jobs: HashSet<Job>,
    orphans: BTreeMap<Job, Orphan>,
}

impl Orphans {
    /// Begins anew with the rows of the whole table, which shows no removals.
    pub(super) fn restart(&mut self, rows: &[Row]) {
        self.jobs.clear();
        let kept: BTreeSet<&str> = rows.iter().map(|row| &*row.key).collect();
        self.orphans
            .retain(|&job, _| kept.contains(&*rows::cancelled(job).key));
    }

    /// Records a row of the table of jobs. Returns the job if it is certainly cancelled: the row is
    /// its own, or that of its cancellation, and the store has held both.
    pub(super) fn record(&mut self, now: Ms, row: &Row) -> Option<Job> {
        match rows::kind(&row.key).ok()? {
            Kind::Accepted(job) if row.is_removed => {
                self.jobs.remove(&job);
                None
            }
            Kind::Cancelled(job) if row.is_removed => {
                self.orphans.remove(&job);
                None
            }
            Kind::Accepted(job) => {
                self.jobs.insert(job);
                self.orphans.remove(&job).map(|_| job)
            }
            Kind::Cancelled(job) if self.jobs.contains(&job) => Some(job),
            Kind::Cancelled(job) => {
                let version = row.version;
                let known = self.orphans.get(&job);
                if known.is_none_or(|known| known.version != version) {
                    let orphan = Orphan {
                        version,
                        since: now,
                    };
                    self.orphans.insert(job, orphan);
                }
                None
            }
        }
    }

    /// Returns transactions that remove expired cancellations, at most one for each part of the
    /// table. Each is done only if there still is no such job.
    fn removals(&self, now: Ms) -> Vec<Transaction> {
        let mut parts: BTreeMap<&str, Transaction> = BTreeMap::new();
        for (&job, orphan) in &self.orphans {
            let key = rows::cancelled(job);
            if now.since(orphan.since) < RETENTION {
                continue;
            }
            let transaction = parts.entry(key.part).or_default();
            if transaction.removed.len() < MAX_REMOVED {
                transaction.expected.push((rows::accepted(job), 0));
                transaction.expected.push((key.clone(), orphan.version));
                transaction.removed.push(key);
            }
        }
        parts.into_values().collect()
    }
}

/// Removes expired cancellations for the life of the leadership. The feed of the table then shows
/// their removal.
pub(super) async fn sweep(shared: &Shared, orphans: &Mutex<Orphans>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let removals = lock(orphans).removals(clock::now());
        for removal in removals {
            let count = removal.removed.len();
            match shared.store.transact(&removal).await {
                Ok(_) => log::info!("kind=cancels-removed count={count} reason=no-job"),
                // The feed shows which row has changed.
                Err(Error::Conflict(_)) => {}
                Err(error) => {
                    log::info!("kind=cancels-kept cause={:?}", error.to_string());
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
