//! Commands to workers: how they are sent, and what follows when they end.

use super::Id;
use super::ledger::Ack;
use super::ledger::Key;
use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::Signal;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::LEASE;
use crate::task::LEASE_EXPIRY;
use crate::task::Reason;
use crate::task::Starting;
use crate::task::Task;
use crate::timeline::Kind;
use crate::worker::Outcome;
use crate::worker::Refusal;
use crate::worker::Reply;
use crate::worker::Verb;

/// Number of refused resumes after which a checkpoint that may never have been written is replaced
/// by the previous one.
const UNPROVEN_REFUSALS: u32 = 2;

/// Number of refused resumes after which a checkpoint that was certainly written counts as lost.
/// With the delay between resumes this outlasts an object store outage of ten minutes.
const PROVEN_REFUSALS: u32 = 120;

/// Maximum number of attempts in one acknowledgement.
const MAX_ACKS: usize = 256;

impl Ledger {
    /// Handles the end of a command.
    pub(super) fn handle_command_end(&mut self, id: Id, outcome: &Outcome) {
        let Some((index, purpose)) = self.in_flight.remove(&id) else {
            return;
        };
        if self.workers[index as usize].is_none() {
            return;
        }
        match outcome {
            Outcome::Answered(Reply::Done(report)) => {
                self.handle_done(&purpose);
                self.apply_report(index, report);
                let is_reported = |key: Key, attempt| {
                    let name = self.task_name(key);
                    let mut tasks = report.tasks.iter();
                    tasks.any(|task| task.name == name && task.attempt == attempt)
                };
                if let Purpose::Stop(key, attempt) | Purpose::Throttle(key, attempt) = purpose
                    && self.task(key).is_some()
                    && !is_reported(key, attempt)
                {
                    self.handle_absent(index, key, attempt);
                }
            }
            Outcome::Answered(Reply::Refused(refusal)) => {
                self.handle_refusal(index, &purpose, *refusal)
            }
            Outcome::Unsent => self.handle_unsent(index, &purpose),
            Outcome::Unknown => self.handle_unknown(index, &purpose),
        }
        if let Purpose::Acknowledge = purpose
            && let Some(worker) = self.workers[index as usize].as_mut()
        {
            worker.ack_in_flight = false;
            self.workers_to_ack.push(index);
        }
    }

    fn handle_done(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Start(key, attempt) => {
                if let Some(start) = self.starting(*key, *attempt) {
                    start.awaited = false;
                }
            }
            Purpose::Stop(key, attempt) => self.stop_answered(*key, *attempt),
            _ => {}
        }
    }

    fn starting(&mut self, key: Key, attempt: u32) -> Option<&mut Starting> {
        self.task(key)?;
        match self.task_mut(key) {
            Any::Starting(task) if task.state.booking.attempt == attempt => Some(&mut task.state),
            _ => None,
        }
    }

    fn stop_answered(&mut self, key: Key, attempt: u32) {
        if self.task(key).is_some()
            && let Any::Evicting(task) = self.task_mut(key)
            && task.state.run.booking.attempt == attempt
        {
            task.state.awaited = false;
        }
    }

    fn handle_refusal(&mut self, index: u32, purpose: &Purpose, refusal: Refusal) {
        if let Refusal::Stale(epoch) = refusal
            && epoch > self.worker(index).epoch
        {
            self.fence(index);
        }
        match (purpose, refusal) {
            (Purpose::Start(key, attempt), _) => self.start_refused(index, *key, *attempt, refusal),
            (Purpose::Stop(key, attempt) | Purpose::Throttle(key, attempt), Refusal::Missing) => {
                self.handle_absent(index, *key, *attempt);
            }
            (Purpose::Stop(key, attempt), Refusal::Checkpoint) => {
                self.abort_eviction(*key, *attempt)
            }
            (Purpose::Stop(key, attempt), _) => self.stop_answered(*key, *attempt),
            _ => {}
        }
    }

    fn start_refused(&mut self, index: u32, key: Key, attempt: u32, refusal: Refusal) {
        let Some(start) = self.starting(key, attempt) else {
            return;
        };
        start.awaited = false;
        if start.unanswered_at.is_none() {
            self.withdraw_start(key, refusal == Refusal::Checkpoint);
        }
        if refusal == Refusal::Full {
            // What the worker holds differs from what is booked on it, so that nothing more is
            // placed there until its next report.
            self.mark_unresponsive(index);
        }
    }

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

    /// Handles the answer that a running or stopping attempt is not on its worker.
    fn handle_absent(&mut self, index: u32, key: Key, attempt: u32) {
        if self.task(key).is_none() {
            return;
        }
        let task = self.task_name(key);
        let is_current = |current: &Any| {
            current
                .booking()
                .is_some_and(|booking| booking.worker == index && booking.attempt == attempt)
        };
        let current = self.clone_task(key);
        if !is_current(&current) {
            return;
        }
        let mut next = match current {
            Any::Running(run) => run.interrupt(&task),
            Any::Evicting(evict) if evict.state.reason == Reason::Cancelled => Any::Cancelled,
            Any::Evicting(evict) => evict.abort_eviction().interrupt(&task),
            _ => return,
        };
        if let Some(history) = next.history_mut() {
            history.last_ended = attempt;
        }
        self.set_task(key, next);
        self.mark_changed(key.piece);
    }

    /// Returns a task to running, because the checkpoint of its eviction could not be written.
    fn abort_eviction(&mut self, key: Key, attempt: u32) {
        if self.task(key).is_none() {
            return;
        }
        if let Any::Evicting(task) = self.clone_task(key)
            && task.state.run.booking.attempt == attempt
        {
            self.set_task(key, Any::Running(task.abort_eviction()));
            if self.piece(key.piece).cancelled {
                self.stop(key, Reason::Cancelled);
            } else {
                self.signals.push(Signal::EvictionAborted(key));
            }
        }
    }

    fn handle_unsent(&mut self, index: u32, purpose: &Purpose) {
        self.mark_unresponsive(index);
        match purpose {
            Purpose::Start(key, attempt) => {
                if let Some(start) = self.starting(*key, *attempt) {
                    start.awaited = false;
                    if start.unanswered_at.is_none() {
                        self.withdraw_start(*key, false);
                    }
                }
            }
            Purpose::Stop(key, attempt) => self.stop_answered(*key, *attempt),
            Purpose::Throttle(key, attempt) => self.clear_missing(*key, *attempt),
            _ => {}
        }
    }

    fn handle_unknown(&mut self, index: u32, purpose: &Purpose) {
        self.mark_unresponsive(index);
        let now = self.now;
        match purpose {
            Purpose::Start(key, attempt) => {
                if let Some(start) = self.starting(*key, *attempt) {
                    start.awaited = false;
                    start.unanswered_at = Some(now);
                }
                if let Some(history) = self.history_mut(*key) {
                    history.unanswered_at = Some(now);
                }
            }
            Purpose::Stop(key, attempt) => self.stop_answered(*key, *attempt),
            Purpose::Throttle(key, attempt) => self.clear_missing(*key, *attempt),
            _ => {}
        }
    }

    /// Clears the mark of a missing attempt, so that its worker is queried for it again.
    fn clear_missing(&mut self, key: Key, attempt: u32) {
        if self.task(key).is_some()
            && let Some(run) = self.task_mut(key).run_mut()
            && run.booking.attempt == attempt
        {
            run.missing = false;
        }
    }

    fn mark_unresponsive(&mut self, index: u32) {
        self.worker_mut(index).unresponsive = true;
        self.signals.push(Signal::Room(index));
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

    /// Handles the confirmation that a piece was stored as it was when the store was ordered.
    pub(super) fn confirm_store(&mut self, name: &Name) {
        let Some(&index) = self.piece_by_name.get(name) else {
            return;
        };
        let piece = self.piece_mut(index);
        let Some(ordered) = piece.ordered.take() else {
            return;
        };
        piece.stored = ordered;
        if piece.change > ordered {
            piece.queued = true;
            self.dirty.push(index);
        }
        self.pieces_to_ack.push(index);
    }

    /// Sends the acknowledgements that are due: their change is stored, and no late start of the
    /// attempt can arrive any more.
    pub(super) fn order_acks(&mut self) {
        let mut later = Vec::new();
        let mut workers = std::mem::take(&mut self.workers_to_ack);
        for index in std::mem::take(&mut self.pieces_to_ack) {
            let now = self.now;
            let Some(piece) = self.pieces[index as usize].as_mut() else {
                continue;
            };
            let stored = piece.stored;
            let due = |ack: &Ack| ack.change <= stored && ack.not_before <= now;
            let ready: Vec<Ack> = piece.acks.iter().copied().filter(due).collect();
            piece.acks.retain(|ack| !due(ack));
            if piece.acks.iter().any(|ack| ack.change <= stored) {
                later.push(index);
            }
            workers.extend(
                ready
                    .into_iter()
                    .filter_map(|ack| self.queue_ack(index, ack)),
            );
        }
        later.sort_unstable();
        later.dedup();
        self.pieces_to_ack = later;
        for index in workers {
            self.send_acks(index);
        }
    }

    fn queue_ack(&mut self, piece: u32, ack: Ack) -> Option<u32> {
        let key = Key {
            piece,
            task: ack.task,
        };
        let task = self.task_name(key);
        let worker = self.workers[ack.worker as usize].as_mut()?;
        let entry = (task, ack.attempt);
        if !worker.acks.contains(&entry) {
            worker.acks.push(entry);
        }
        Some(ack.worker)
    }

    fn send_acks(&mut self, index: u32) {
        if self.workers[index as usize].is_none() || !self.may_command(index) {
            return;
        }
        let worker = self.worker_mut(index);
        if worker.ack_in_flight || worker.acks.is_empty() {
            return;
        }
        worker.ack_in_flight = true;
        let count = worker.acks.len().min(MAX_ACKS);
        let tasks = worker.acks.drain(..count).collect();
        self.command(index, Verb::Acknowledge { tasks }, Purpose::Acknowledge);
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
}
