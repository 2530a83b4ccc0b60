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
const MAX_SUSPECTED_FAILURES: u32 = 10;

/// The least memory granted after a task ran out of it; a task may declare none.
const MIN_MEMORY_MB: u32 = 64;

/// The pause before a failed task is tried again, doubled with each failure.
const MIN_RETRY_DELAY: Ms = Ms(500);

/// The longest such pause.
const MAX_RETRY_DELAY: Ms = Ms(30_000);

/// Jobs of which an estimate is kept; they are relearned within seconds.
const MAX_JOBS: usize = 10_000;

/// Usage is reported with a delay; younger attempts show too little.
const USAGE_DELAY: Ms = Ms(2_000);

/// An attempt that runs for so long shows that its worker works.
const WORKER_PROVEN_AFTER: Ms = Ms(5_000);

/// Share of its grant in percent that a task used if it ran out of memory by itself.
const EXHAUSTED_PERCENT: u64 = 80;

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
            proven |= age >= WORKER_PROVEN_AFTER;
            if age < USAGE_DELAY || run.share < 100 || run.used == Size::ZERO {
                continue;
            }
            let first = !std::mem::replace(&mut run.sampled, true);
            let (used, grant) = (run.used, run.booking.grant);
            let job = self.ledger.piece(key.piece).job.clone();
            self.learn(&job, |estimate| {
                estimate.record_usage(job.size, grant, used, first);
            });
        }
        if proven && self.view(worker).health.quarantined() {
            self.record_worker_success(worker);
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
    pub(super) fn attempt_completed(
        &mut self,
        key: Key,
        booking: Booking,
        reported: &worker::Task,
    ) {
        let job = self.ledger.piece(key.piece).job.clone();
        self.learn(&job, |estimate| {
            estimate.record_completion(job.size, reported.used, job.run_time, reported.progress);
        });
        if let Some(failures) = self.job_failures.get_mut(&job.name) {
            failures.record_success();
        }
        self.record_worker_success(booking.worker);
    }

    fn record_worker_success(&mut self, worker: u32) {
        if self.ledger.workers[worker as usize].is_none() {
            return;
        }
        self.confirm_suspects(worker);
        if self.view(worker).health.record_success() == Change::Restored {
            self.ledger
                .record_event(Kind::Restored, "worker", Some(worker), "a probe succeeded");
        }
        self.reindex(worker);
    }

    /// An attempt failed.
    pub(super) fn attempt_failed(
        &mut self,
        key: Key,
        booking: Booking,
        fault: Fault,
        reported: &worker::Task,
    ) {
        let job = self.ledger.piece(key.piece).job.clone();
        let Some(history) = self.ledger.history_mut(key) else {
            return;
        };
        history.avoid = Some(booking.worker);
        let used = u64::from(reported.used.memory_mb) * 100;
        let grant = u64::from(booking.grant.memory_mb);
        if fault == Fault::Memory && used >= grant * EXHAUSTED_PERCENT {
            self.learn(&job, |estimate| {
                estimate.record_exhaustion(job.size, booking.grant);
            });
            return self.raise_memory_floor(key, booking);
        }
        let failures = self.job_failures.entry(job.name).or_default();
        let at_fault = failures.record_failure(booking.worker);
        if at_fault && self.view(booking.worker).health.has_succeeded() {
            let now = self.ledger.now;
            self.view(booking.worker).health.abort_probe(now);
            return self.count_failure(key, true);
        }
        self.record_suspected_failure(key, booking.worker);
    }

    /// A failure that may be the worker's fault.
    fn record_suspected_failure(&mut self, key: Key, worker: u32) {
        let now = self.ledger.now;
        let quarantined = self.view(worker).health.quarantined();
        let change = self.view(worker).health.record_failure(now);
        if quarantined {
            return self.retry_later(key, 1);
        }
        self.view(worker).suspects.push(key);
        if change == Change::Quarantined {
            self.discard_suspects(worker);
            self.ledger
                .record_event(Kind::Quarantined, "worker", Some(worker), "its tasks fail");
            self.reindex(worker);
            return self.retry_later(key, 1);
        }
        // A worker that has just broken looks sound until then: only what it completes later tells
        // whether the failure was the task's own.
        self.count_failure(key, false);
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
        history.suspected_failures = history.suspected_failures.saturating_sub(1);
        history.failures += 1;
        let is_over = history.failures >= MAX_FAILURES;
        if is_over && self.ledger.task(first).is_some_and(Any::is_waiting) {
            self.ledger.fail_permanently(first);
        }
    }

    /// Failures on a worker that is now quarantined do not count against their tasks.
    fn discard_suspects(&mut self, worker: u32) {
        for key in std::mem::take(&mut self.view(worker).suspects) {
            if let Some(history) = self.ledger.history_mut(key) {
                history.suspected_failures = history.suspected_failures.saturating_sub(1);
            }
        }
    }

    /// A task ran out of memory: it gets twice the grant, up to what the largest worker has.
    fn raise_memory_floor(&mut self, key: Key, booking: Booking) {
        let most = self
            .largest_limit(self.ledger.piece(key.piece).group)
            .memory_mb;
        if booking.grant.memory_mb >= most {
            return self.count_failure(key, true);
        }
        if let Some(history) = self.ledger.history_mut(key) {
            let doubled = booking.grant.memory_mb.saturating_mul(2);
            history.memory_floor = doubled.max(MIN_MEMORY_MB).min(most);
            history.avoid = None;
        }
        self.ledger.requeue(key);
    }

    /// Counts a failure against the task. `fair` tells that the worker works.
    fn count_failure(&mut self, key: Key, confirmed: bool) {
        let Some(history) = self.ledger.history_mut(key) else {
            return;
        };
        if confirmed {
            history.failures += 1;
        } else {
            history.suspected_failures += 1;
        }
        let (failures, suspected_failures) = (history.failures, history.suspected_failures);
        if failures >= MAX_FAILURES || suspected_failures >= MAX_SUSPECTED_FAILURES {
            self.ledger.fail_permanently(key);
        } else {
            self.retry_later(key, failures + suspected_failures);
        }
    }

    fn retry_later(&mut self, key: Key, failures: u32) {
        if !self.ledger.task(key).is_some_and(Any::is_waiting) {
            return;
        }
        let pause = Ms(MIN_RETRY_DELAY.0 << failures.min(8)).min(MAX_RETRY_DELAY);
        self.delayed.insert((self.ledger.now + pause, key));
    }

    /// An eviction found the object store down: only throttling is left for a while.
    pub(super) fn eviction_aborted(&mut self, _key: Key) {
        self.checkpoints_paused_until = self.ledger.now + super::monitor::CHECKPOINT_PAUSE;
    }
}
