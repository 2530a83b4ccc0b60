//! Writes progress to the store in group commits.

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

use super::Action;
use super::Commit;
use super::Leader;
use super::Member;
use crate::id;
use crate::interference::Summary;
use crate::job;

/// The most jobs in one transaction. A removed job takes three rows, and the store accepts at most
/// 100 rows.
const MAX_JOBS_PER_COMMIT: usize = 45;
/// The most bytes of progress in one transaction, unless that of a single job takes more. The store
/// accepts at most 1 MB, in which the values stand in base64.
const MAX_COMMIT_BYTES: usize = 384 << 10;

/// The longest delay of progress that no customer is shown, so that one write carries several ends.
const GROUP_DELAY: Ms = Ms(40);
/// The bytes of a job's progress for each further ms of that delay. The whole progress is written
/// each time.
const BYTES_PER_DELAY_MS: usize = 1 << 10;
/// The longest such delay.
const MAX_GROUP_DELAY: Ms = Ms(500);

/// The interval at which the interference coefficients are written.
const SUMMARY_INTERVAL: Ms = Ms(3_000);

/// The delay after an unconfirmed commit until the next one.
const RETRY_DELAY: Ms = Ms(100);

/// The content of the commit in progress, to be applied when the store confirms it.
#[derive(Debug)]
pub(super) struct InFlight {
    versions: Vec<(id::Job, u64)>,
    removed: Vec<id::Job>,
    fleet: Option<BTreeMap<Name, Member>>,
}

impl Leader {
    /// Returns the latest time at which progress of a job that changes now must be written.
    pub(super) fn group_deadline(&self, job: &job::Job) -> Ms {
        let for_size = (job.written_bytes / BYTES_PER_DELAY_MS) as u64;
        self.clock + (GROUP_DELAY + Ms(for_size)).min(MAX_GROUP_DELAY)
    }

    pub(super) fn begin_commit(&mut self, now: Ms) {
        if self.committing.is_some() || now < self.commit_after {
            return;
        }
        let is_held = self.is_fleet_held(now);
        let fleet = if self.is_fleet_synced || is_held {
            None
        } else {
            self.changed_fleet()
        };
        self.is_fleet_synced |= !is_held;
        let is_due = self.dirty.values().any(|&due| due <= now);
        let interference = self.due_summary(now);
        let is_idle = !is_due && fleet.is_none() && self.removable.is_empty();
        if is_idle && interference.is_none() {
            return;
        }
        let mut changed: Vec<(Ms, id::Job)> =
            self.dirty.iter().map(|(&id, &due)| (due, id)).collect();
        changed.sort_unstable();
        changed.truncate(MAX_JOBS_PER_COMMIT);
        let mut commit = Commit {
            interference,
            ..Commit::default()
        };
        let mut versions = Vec::new();
        let mut bytes = 0;
        for (_, id) in changed {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.dirty.remove(&id);
                continue;
            };
            // A write that has become shorter also removes rows of a longer one before.
            job.written_bytes = job.written_bytes.max(job.progress.bytes());
            bytes += job.written_bytes;
            if bytes > MAX_COMMIT_BYTES && !versions.is_empty() {
                break;
            }
            self.dirty.remove(&id);
            versions.push((id, job.version));
            commit.progress.push((id, job.progress.clone()));
        }
        let free = MAX_JOBS_PER_COMMIT - commit.progress.len();
        let removed = self.removable.len().min(free / 3);
        commit.removed = self.removable.drain(..removed).collect();
        commit.fleet = fleet
            .as_ref()
            .map(|fleet| fleet.values().cloned().collect());
        if let Some(fleet) = &fleet {
            // The store may carry out this write without confirming it.
            self.stored_workers.retain(|name| fleet.contains_key(name));
            self.is_fleet_uncertain = true;
        }
        self.committing = Some(InFlight {
            versions,
            removed: commit.removed.clone(),
            fleet,
        });
        self.actions.push(Action::Commit(commit));
    }

    pub(super) fn finish_commit(&mut self, now: Ms, is_durable: bool) {
        let Some(InFlight {
            versions,
            removed,
            fleet,
        }) = self.committing.take()
        else {
            return;
        };
        if !is_durable {
            self.is_fleet_synced = false;
            self.commit_after = now + RETRY_DELAY;
            for (id, _) in versions {
                self.dirty.insert(id, Ms::ZERO);
            }
            self.removable.extend(removed);
            return;
        }
        for (id, version) in versions {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.commit(version);
                self.retain_ended_job(now, id);
            }
        }
        self.removed.extend(removed.into_iter().map(|id| (now, id)));
        if let Some(fleet) = fleet {
            for name in fleet.keys() {
                if self.stored_workers.insert(name.clone())
                    && let Some(worker) = self.workers.get_mut(name)
                {
                    worker.improved_at = now;
                }
            }
            self.stored_workers.retain(|name| fleet.contains_key(name));
            self.fleet = fleet;
            self.is_fleet_uncertain = false;
        }
        self.acknowledge_all();
    }

    /// Returns the interference coefficients if they are due to be written.
    fn due_summary(&mut self, now: Ms) -> Option<Summary> {
        if now.since(self.summary_written) < SUMMARY_INTERVAL {
            return None;
        }
        self.summary_written = now;
        let summary = self.model.summary();
        (!summary.serving.is_empty()).then_some(summary)
    }

    /// Returns the workers on which tasks may run, if they may differ from the stored ones.
    fn changed_fleet(&self) -> Option<BTreeMap<Name, Member>> {
        let reached = self.workers.iter();
        let reached = reached.filter(|(_, worker)| !worker.is_unreached);
        let wanted = reached.filter_map(|(name, worker)| {
            let member = match &worker.registration {
                Some(registration) => Member {
                    worker: name.clone(),
                    address: Arc::clone(&registration.address),
                    domain: registration.domain.clone(),
                },
                None => {
                    let stored = self.fleet.get(name)?;
                    let last = worker.last_address.as_ref();
                    Member {
                        address: Arc::clone(last.unwrap_or(&stored.address)),
                        ..stored.clone()
                    }
                }
            };
            Some((name.clone(), member))
        });
        let wanted: BTreeMap<Name, Member> = wanted.collect();
        (self.is_fleet_uncertain || wanted != self.fleet).then_some(wanted)
    }

    /// Returns whether the store lists a worker, so that a later leader will poll it. Tasks are
    /// started only on such workers.
    pub(super) fn is_stored(&self, worker: &str) -> bool {
        self.stored_workers.contains(worker)
    }

    /// Acknowledges the ends whose effect is durable, on all workers.
    fn acknowledge_all(&mut self) {
        let names: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.pending.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.acknowledge(&name);
        }
    }
}
