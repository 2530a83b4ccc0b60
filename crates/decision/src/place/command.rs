//! Commands to workers: when they are sent, and what they book.

use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::Signal;
use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::LEASE;
use crate::task::LEASE_EXPIRY;
use crate::task::Reason;
use crate::task::Starting;
use crate::task::Task;
use crate::timeline::Kind;
use crate::worker::Verb;

/// Number of refused resumes after which a checkpoint that may never have been written is replaced
/// by the previous one.
const UNPROVEN_REFUSALS: u32 = 2;

/// Number of refused resumes after which a checkpoint that was certainly written counts as lost.
/// With the delay between resumes this outlasts an object store outage of ten minutes.
const PROVEN_REFUSALS: u32 = 120;

impl Ledger {
    /// Returns a task to waiting after a start that certainly had no effect. If the worker could
    /// not read the checkpoint, the refusal is counted against the checkpoint.
    pub(super) fn withdraw_start(&mut self, key: Key, checkpoint_unreadable: bool) {
        if let Any::Starting(task) = self.clone_task(key) {
            let mut next = task.withdraw();
            if checkpoint_unreadable && let Some(history) = next.history_mut() {
                history.record_refused_resume(UNPROVEN_REFUSALS, PROVEN_REFUSALS);
                next = next.update_waiting();
            }
            self.set_task(key, next);
        }
    }

    /// Marks a worker as owned by another entry. Its tasks stay booked.
    pub(super) fn fence(&mut self, index: u32) {
        self.worker_mut(index).fenced = true;
        self.signals.push(Signal::Room(index));
    }

    /// Books a waiting task on a worker and sends the start.
    pub fn start(&mut self, key: Key, worker: u32, grant: Size) {
        let min_attempt = if self.piece(key.piece).old {
            task::first_attempt(self.worker(worker).epoch)
        } else {
            0
        };
        let start = match self.clone_task(key) {
            Any::Pending(task) => task.start(worker, grant, min_attempt, self.now),
            Any::Resuming(task) => task.start(worker, grant, min_attempt, self.now),
            _ => return,
        };
        let resumed = start.history.checkpoint.is_some();
        self.set_task(key, Any::Starting(start.clone()));
        self.send_start(key, &start);
        let kind = if resumed {
            Kind::TaskResumed
        } else {
            Kind::TaskStarted
        };
        let subject = self.task_name(key);
        self.record_event(kind, &subject, Some(worker), "placed");
    }

    fn send_start(&mut self, key: Key, start: &Task<Starting>) {
        let booking = start.state.booking;
        let verb = Verb::Start {
            task: self.task_name(key),
            attempt: booking.attempt,
            kind: self.piece(key.piece).job.kind.clone(),
            grant: booking.grant,
            from: start.history.checkpoint.as_deref().map(str::to_owned),
            lease: LEASE,
        };
        self.command(booking.worker, verb, Purpose::Start(key, booking.attempt));
    }

    /// Handles an unanswered start whose attempt a later report lacks. The start is sent again,
    /// which has no effect if an earlier one arrived, or withdrawn once no earlier one can still
    /// arrive.
    pub(super) fn retry_start(&mut self, key: Key, mut task: Task<Starting>) {
        let unanswered_at = task.state.unanswered_at.unwrap_or(task.state.since);
        if self.now >= unanswered_at + LEASE_EXPIRY {
            return self.withdraw_start(key, false);
        }
        let worker = task.state.booking.worker;
        if self.startable(key.piece) && !self.worker(worker).leaving && self.may_command(worker) {
            task.state.awaited = true;
            self.set_task(key, Any::Starting(task.clone()));
            self.send_start(key, &task);
        }
    }

    /// Stops a running task, with a checkpoint if the task is evicted.
    pub fn stop(&mut self, key: Key, reason: Reason) {
        let Any::Running(task) = self.clone_task(key) else {
            return;
        };
        let booking = task.state.booking;
        if !self.may_command(booking.worker) {
            return;
        }
        self.set_task(key, Any::Evicting(task.evict(reason)));
        self.send_stop(booking.worker, key, booking.attempt, reason);
    }

    pub(super) fn send_stop(&mut self, index: u32, key: Key, attempt: u32, reason: Reason) {
        let task = self.task_name(key);
        let checkpoint = (reason == Reason::Evicted).then(|| task::checkpoint_key(&task, attempt));
        let verb = Verb::Stop {
            task,
            attempt,
            checkpoint,
        };
        self.command(index, verb, Purpose::Stop(key, attempt));
    }

    /// Limits the processor share of a running task to `share` percent.
    pub fn throttle(&mut self, key: Key, share: u8) {
        let Some(run) = self.task(key).and_then(Any::run).copied() else {
            return;
        };
        if self.may_command(run.booking.worker) {
            let task = self.task_name(key);
            let purpose = Purpose::Throttle(key, run.booking.attempt);
            self.command(run.booking.worker, Verb::Throttle { task, share }, purpose);
        }
    }

    /// Asks the worker of a running task to write a checkpoint, without stopping the task.
    pub fn checkpoint(&mut self, key: Key) {
        let Some(run) = self.task(key).and_then(Any::run).copied() else {
            return;
        };
        if self.may_command(run.booking.worker) {
            let task = self.task_name(key);
            let object = task::checkpoint_key(&task, run.booking.attempt);
            let verb = Verb::Checkpoint { task, key: object };
            self.command(run.booking.worker, verb, Purpose::Checkpoint);
        }
    }

    /// Ends the attempts on a worker whose leases have certainly expired, so that their tasks can
    /// run elsewhere.
    pub(super) fn expire_worker(&mut self, index: u32) {
        for key in self.worker(index).tasks.clone() {
            let task = self.task_name(key);
            let current = self.clone_task(key);
            let attempt = current.booking().map_or(0, |booking| booking.attempt);
            let mut next = match current {
                Any::Starting(start) => start.withdraw(),
                Any::Running(run) => run.interrupt(&task),
                Any::Evicting(evict) if evict.state.reason == Reason::Cancelled => Any::Cancelled,
                Any::Evicting(evict) => evict.abort_eviction().interrupt(&task),
                other => other,
            };
            if let Some(history) = next.history_mut() {
                history.last_ended = attempt;
            }
            self.set_task(key, next);
            self.mark_changed(key.piece);
        }
    }

    /// Signals that a failed task waits to be started again.
    pub fn requeue(&mut self, key: Key) {
        if self.task(key).is_some_and(Any::is_waiting) {
            self.signals.push(Signal::Waiting(key));
        }
    }

    /// Ends a waiting task as failed for good.
    pub fn fail_permanently(&mut self, key: Key) {
        if self.task(key).is_some_and(Any::is_waiting) {
            self.set_task(key, Any::Failed);
            let subject = self.task_name(key);
            self.record_event(Kind::TaskFailed, &subject, None, "failed too often");
        }
    }

    /// Returns when the last unanswered start was sent to a worker, or `unlisted` if that is later.
    /// Such a start may still arrive after the VM was removed from the platform's list.
    pub(super) fn last_unanswered_start(&self, index: u32, unlisted: Ms) -> Ms {
        let tasks = self.worker(index).tasks.iter();
        tasks
            .filter_map(|&key| self.task(key)?.history()?.unanswered_at)
            .fold(unlisted, Ms::max)
    }

    pub(super) fn may_command(&self, index: u32) -> bool {
        let worker = self.worker(index);
        worker.reachable() && !self.groups[worker.group as usize].caretaker
    }
}
