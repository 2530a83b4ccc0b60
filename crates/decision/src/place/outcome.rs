//! What is learned from how attempts went, and what follows for the task and the worker.

use super::board::Board;
use super::ledger::Key;
use crate::clock::Ms;
use crate::estimate::Estimate;
use crate::operator::Job;
use crate::quarantine::Change;
use crate::resource::Size;
use crate::task::Any;
use crate::task::Booking;
use crate::timeline::Kind;
use crate::worker;
use crate::worker::Fault;

/// Failures of a task on working workers after which it has failed for good.
const MAX_FAILURES: u32 = 3;

/// Failures on workers that may be at fault after which it has failed for good.
const MAX_SUSPECTED: u32 = 10;

/// The least memory granted after a task ran out of it; a task may declare none.
const MIN_MEMORY_MB: u32 = 64;

/// The pause before a failed task is tried again, doubled with each failure.
const RETRY: Ms = Ms(500);

/// The longest such pause.
const MAX_RETRY: Ms = Ms(30_000);

/// Jobs of which an estimate is kept; they are relearned within seconds.
const MAX_JOBS: usize = 10_000;

/// Usage is reported with a delay; younger attempts show too little.
const USAGE_DELAY: Ms = Ms(2_000);

/// An attempt that runs for so long shows that its worker works.
const PROVEN: Ms = Ms(5_000);

/// Share of its grant in percent that a task used if it ran out of memory by itself.
const EXHAUSTED: u64 = 80;

impl Board {
    /// Learns from the usage that a worker reports.
    pub(super) fn learn_usage(&mut self, worker: u32) {
        let now = self.ledger.now;
        let known = self.ledger.worker(worker);
        if known.tasks.is_empty() {
            return;
        }
        let mut proven = false;
        for key in known.tasks.clone() {
            let Some(run) = self.ledger.run_mut(key) else {
                continue;
            };
            let age = now.since(run.since);
            proven |= age >= PROVEN;
            if age < USAGE_DELAY || run.share < 100 || run.used == Size::ZERO {
                continue;
            }
            let first = !std::mem::replace(&mut run.sampled, true);
            let (used, grant) = (run.used, run.booking.grant);
            let job = self.ledger.piece(key.piece).job.clone();
            self.learn(&job, |estimate| {
                estimate.used(job.size, grant, used, first);
            });
        }
        if proven && self.view(worker).health.quarantined() {
            self.worked(worker);
        }
    }

    /// Corrects what is known of the tasks of a job and of its kind.
    fn learn(&mut self, job: &Job, correct: impl Fn(&mut Estimate)) {
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job.name) {
            self.jobs.clear();
        }
        correct(self.jobs.entry(job.name.clone()).or_default());
        correct(self.kinds.entry(job.kind.clone()).or_default());
    }

    /// A task completed.
    pub(super) fn completed(&mut self, key: Key, booking: Booking, seen: &worker::Task) {
        let job = self.ledger.piece(key.piece).job.clone();
        self.learn(&job, |estimate| {
            estimate.completed(job.size, seen.used, job.run_time, seen.progress);
        });
        if let Some(trouble) = self.troubles.get_mut(&job.name) {
            trouble.succeeded();
        }
        self.worked(booking.worker);
    }

    fn worked(&mut self, worker: u32) {
        if self.ledger.workers[worker as usize].is_none() {
            return;
        }
        self.confirm_suspects(worker);
        if self.view(worker).health.succeeded() == Change::Restored {
            self.ledger
                .note(Kind::Restored, "worker", Some(worker), "a probe succeeded");
        }
        self.reindex(worker);
    }

    /// An attempt failed.
    pub(super) fn failed(&mut self, key: Key, booking: Booking, fault: Fault, seen: &worker::Task) {
        let job = self.ledger.piece(key.piece).job.clone();
        let Some(history) = self.ledger.history_mut(key) else {
            return;
        };
        history.avoid = Some(booking.worker);
        let used = u64::from(seen.used.memory_mb) * 100;
        let grant = u64::from(booking.grant.memory_mb);
        if fault == Fault::Memory && used >= grant * EXHAUSTED {
            self.learn(&job, |estimate| {
                estimate.exhausted(job.size, booking.grant);
            });
            return self.enlarge(key, booking);
        }
        let trouble = self.troubles.entry(job.name).or_default();
        let poison = trouble.failed(booking.worker);
        if poison && self.view(booking.worker).health.works() {
            let now = self.ledger.now;
            self.view(booking.worker).health.unproven(now);
            return self.charge(key, true);
        }
        self.suspect(key, booking.worker);
    }

    /// A failure that may be the worker's fault.
    fn suspect(&mut self, key: Key, worker: u32) {
        let now = self.ledger.now;
        let quarantined = self.view(worker).health.quarantined();
        let change = self.view(worker).health.failed(now);
        if quarantined {
            return self.retry_later(key, 1);
        }
        self.view(worker).suspects.push(key);
        if change == Change::Quarantined {
            self.refund(worker);
            self.ledger
                .note(Kind::Quarantined, "worker", Some(worker), "its tasks fail");
            self.reindex(worker);
            return self.retry_later(key, 1);
        }
        // A worker that has just broken looks sound until then: only what it completes later tells
        // whether the failure was the task's own.
        self.charge(key, false);
    }

    /// A worker completed a task, so that an earlier failure there was the failed task's own, unless
    /// several tasks failed in between.
    fn confirm_suspects(&mut self, worker: u32) {
        let suspects = std::mem::take(&mut self.view(worker).suspects);
        let Some(&first) = suspects.first() else {
            return;
        };
        if suspects.iter().any(|&other| other != first) {
            return;
        }
        let Some(history) = self.ledger.history_mut(first) else {
            return;
        };
        history.suspected = history.suspected.saturating_sub(1);
        history.failures += 1;
        let is_over = history.failures >= MAX_FAILURES;
        if is_over && self.ledger.task(first).is_some_and(Any::waits) {
            self.ledger.give_up(first);
        }
    }

    /// Failures on a worker that is now quarantined do not count against their tasks.
    fn refund(&mut self, worker: u32) {
        for key in std::mem::take(&mut self.view(worker).suspects) {
            if let Some(history) = self.ledger.history_mut(key) {
                history.suspected = history.suspected.saturating_sub(1);
            }
        }
    }

    /// A task ran out of memory: it gets twice the grant, up to what the largest worker has.
    fn enlarge(&mut self, key: Key, booking: Booking) {
        let most = self.most(self.ledger.piece(key.piece).group).memory_mb;
        if booking.grant.memory_mb >= most {
            return self.charge(key, true);
        }
        if let Some(history) = self.ledger.history_mut(key) {
            let doubled = booking.grant.memory_mb.saturating_mul(2);
            history.memory_floor = doubled.max(MIN_MEMORY_MB).min(most);
            history.avoid = None;
        }
        self.ledger.retry(key);
    }

    /// Counts a failure against the task. `fair` tells that the worker works.
    fn charge(&mut self, key: Key, fair: bool) {
        let Some(history) = self.ledger.history_mut(key) else {
            return;
        };
        if fair {
            history.failures += 1;
        } else {
            history.suspected += 1;
        }
        let (failures, suspected) = (history.failures, history.suspected);
        if failures >= MAX_FAILURES || suspected >= MAX_SUSPECTED {
            self.ledger.give_up(key);
        } else {
            self.retry_later(key, failures + suspected);
        }
    }

    fn retry_later(&mut self, key: Key, failures: u32) {
        if !self.ledger.task(key).is_some_and(Any::waits) {
            return;
        }
        let pause = Ms(RETRY.0 << failures.min(8)).min(MAX_RETRY);
        self.delayed.insert((self.ledger.now + pause, key));
    }

    /// An eviction found the object store down: only throttling is left for a while.
    pub(super) fn spared(&mut self, _key: Key) {
        self.unsaved_until = self.ledger.now + super::watch::UNSAVED_PAUSE;
    }
}
