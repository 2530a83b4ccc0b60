//! The consequences of completed and failed attempts for estimates, tasks and workers.

use super::board::Board;
use super::ledger::piece::Key;
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

/// Number of failures on working workers after which a task has failed for good.
const MAX_FAILURES: u32 = 3;

/// Number of failures on workers that may be at fault after which a task has failed for good.
const MAX_SUSPECTED_FAILURES: u32 = 10;

/// Minimum memory granted after a task ran out of memory, because a task may declare none.
const MIN_MEMORY_MB: u32 = 64;

/// Base of the delay before a failed task is tried again, which doubles with each failure.
const MIN_RETRY_DELAY: Ms = Ms(500);

/// Maximum delay before a failed task is tried again.
const MAX_RETRY_DELAY: Ms = Ms(30_000);

/// Maximum number of jobs with an estimate. When it is reached, all estimates are dropped; those of
/// active jobs are learned again within seconds.
const MAX_JOBS: usize = 10_000;

/// Age from which the usage of an attempt is taken into account. Reports lag, so that younger
/// attempts show too little usage.
const USAGE_DELAY: Ms = Ms(2_000);

/// Run time of an attempt that proves that its worker works.
const WORKER_PROVEN_AFTER: Ms = Ms(5_000);

/// Percentage of the granted memory from which a task that ran out of memory did so by its own use.
const EXHAUSTED_PERCENT: u64 = 80;

impl Board {
    /// Updates estimates with the usage that a worker reports, and the health of the worker.
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

    /// Updates the estimates of a job and of its kind.
    fn learn(&mut self, job: &Job, correct: impl Fn(&mut Estimate)) {
        if self.jobs.len() >= MAX_JOBS && !self.jobs.contains_key(&job.name) {
            self.jobs.clear();
        }
        correct(self.jobs.entry(job.name.clone()).or_default());
        correct(self.kinds.entry(job.kind.clone()).or_default());
    }

    /// Handles the completion of an attempt.
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

    /// Handles the failure of an attempt.
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

    /// Records a failure that may be the worker's fault.
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
        // A worker that broke just now still counts as healthy. Only a task that it completes later
        // shows that this failure was the task's own.
        self.count_failure(key, false);
    }

    /// Counts an earlier failure on a worker as the failed task's own after the worker has
    /// completed a task, unless several tasks failed there in between.
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
        let has_failed = history.failures >= MAX_FAILURES;
        if has_failed && self.ledger.task(first).is_some_and(Any::is_waiting) {
            self.ledger.fail_permanently(first);
        }
    }

    /// Drops the suspected failures on a worker that is now quarantined, so that they do not count
    /// against their tasks.
    fn discard_suspects(&mut self, worker: u32) {
        for key in std::mem::take(&mut self.view(worker).suspects) {
            if let Some(history) = self.ledger.history_mut(key) {
                history.suspected_failures = history.suspected_failures.saturating_sub(1);
            }
        }
    }

    /// Doubles the memory for a task that ran out of it, up to what the largest worker has.
    fn raise_memory_floor(&mut self, key: Key, booking: Booking) {
        let largest = self
            .largest_batch_capacity(self.ledger.piece(key.piece).group)
            .memory_mb;
        if booking.grant.memory_mb >= largest {
            return self.count_failure(key, true);
        }
        if let Some(history) = self.ledger.history_mut(key) {
            let doubled = booking.grant.memory_mb.saturating_mul(2);
            history.memory_floor = doubled.max(MIN_MEMORY_MB).min(largest);
            history.avoid = None;
        }
        self.ledger.requeue(key);
    }

    /// Counts a failure against the task. If `confirmed`, the worker is known to work.
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
        let delay = Ms(MIN_RETRY_DELAY.0 << failures.min(8)).min(MAX_RETRY_DELAY);
        self.delayed.insert((self.ledger.now + delay, key));
    }

    /// Pauses evictions and checkpoints after the object store failed to take a checkpoint, so that
    /// services are protected by throttling alone.
    pub(super) fn eviction_aborted(&mut self, _key: Key) {
        self.checkpoints_paused_until = self.ledger.now + super::monitor::CHECKPOINT_PAUSE;
    }
}
