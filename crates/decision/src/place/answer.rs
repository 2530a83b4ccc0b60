//! Taking in how commands ended, and sending those that follow.

use super::Id;
use super::ledger::Ack;
use super::ledger::Call;
use super::ledger::Key;
use super::ledger::Ledger;
use super::ledger::Signal;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::LAPSE;
use crate::task::LEASE;
use crate::task::Starting;
use crate::task::Task;
use crate::task::Why;
use crate::timeline::Kind;
use crate::worker::Outcome;
use crate::worker::Refusal;
use crate::worker::Reply;
use crate::worker::Verb;

/// Refusals of a checkpoint that may never have been written before the one before it is used.
const UNPROVEN_REFUSALS: u32 = 2;

/// Refusals of a checkpoint that was written before it counts as lost. With the pause between
/// resumes this outlasts an object store outage of ten minutes.
const PROVEN_REFUSALS: u32 = 120;

/// The most attempts in one acknowledgement.
const MAX_ACKS: usize = 256;

impl Ledger {
    /// A command ended.
    pub(super) fn ended(&mut self, id: Id, outcome: &Outcome) {
        let Some((index, call)) = self.calls.remove(&id) else {
            return;
        };
        if self.workers[index as usize].is_none() {
            return;
        }
        match outcome {
            Outcome::Answered(Reply::Done(report)) => {
                self.answered(&call);
                self.take_report(index, report);
                let shown = |key: Key, attempt| {
                    let name = self.task_name(key);
                    let mut tasks = report.tasks.iter();
                    tasks.any(|task| task.name == name && task.attempt == attempt)
                };
                if let Call::Stop(key, attempt) | Call::Throttle(key, attempt) = call
                    && self.task(key).is_some()
                    && !shown(key, attempt)
                {
                    self.absent(index, key, attempt);
                }
            }
            Outcome::Answered(Reply::Refused(refusal)) => self.refused(index, &call, *refusal),
            Outcome::Unsent => self.unsent(index, &call),
            Outcome::Unknown => self.unknown(index, &call),
        }
        if let Call::Acknowledge = call
            && let Some(worker) = self.workers[index as usize].as_mut()
        {
            worker.acking = false;
            self.late_acks.push(index);
        }
    }

    fn answered(&mut self, call: &Call) {
        match call {
            Call::Start(key, attempt) => {
                if let Some(start) = self.starting(*key, *attempt) {
                    start.awaited = false;
                }
            }
            Call::Stop(key, attempt) => self.stop_ended(*key, *attempt),
            _ => {}
        }
    }

    fn starting(&mut self, key: Key, attempt: u32) -> Option<&mut Starting> {
        self.task(key)?;
        match self.slot(key) {
            Any::Starting(task) if task.state.booking.attempt == attempt => Some(&mut task.state),
            _ => None,
        }
    }

    fn stop_ended(&mut self, key: Key, attempt: u32) {
        if self.task(key).is_some()
            && let Any::Evicting(task) = self.slot(key)
            && task.state.run.booking.attempt == attempt
        {
            task.state.awaited = false;
        }
    }

    fn refused(&mut self, index: u32, call: &Call, refusal: Refusal) {
        if let Refusal::Stale(epoch) = refusal
            && epoch > self.worker(index).epoch
        {
            self.fence(index);
        }
        match (call, refusal) {
            (Call::Start(key, attempt), _) => self.start_refused(index, *key, *attempt, refusal),
            (Call::Stop(key, attempt) | Call::Throttle(key, attempt), Refusal::Missing) => {
                self.absent(index, *key, *attempt);
            }
            (Call::Stop(key, attempt), Refusal::Checkpoint) => self.spare(*key, *attempt),
            (Call::Stop(key, attempt), _) => self.stop_ended(*key, *attempt),
            _ => {}
        }
    }

    fn start_refused(&mut self, index: u32, key: Key, attempt: u32, refusal: Refusal) {
        let Some(start) = self.starting(key, attempt) else {
            return;
        };
        start.awaited = false;
        if start.doubt.is_none() {
            self.withdraw(key, refusal == Refusal::Checkpoint);
        }
        if refusal == Refusal::Full {
            // What the worker holds differs from the books until its next report.
            self.silence(index);
        }
    }

    /// A start certainly had no effect.
    pub(super) fn withdraw(&mut self, key: Key, unreadable: bool) {
        if let Any::Starting(task) = self.copy(key) {
            let mut next = task.withdraw();
            if unreadable && let Some(history) = next.history_mut() {
                history.refused(UNPROVEN_REFUSALS, PROVEN_REFUSALS);
                next = next.rewait();
            }
            self.put(key, next);
        }
    }

    /// The worker answered that a running or stopping attempt is not there.
    fn absent(&mut self, index: u32, key: Key, attempt: u32) {
        if self.task(key).is_none() {
            return;
        }
        let task = self.task_name(key);
        let here = |current: &Any| {
            current
                .booking()
                .is_some_and(|booking| booking.worker == index && booking.attempt == attempt)
        };
        let current = self.copy(key);
        if !here(&current) {
            return;
        }
        let mut next = match current {
            Any::Running(run) => run.interrupt(&task),
            Any::Evicting(evict) if evict.state.why == Why::Cancelled => Any::Cancelled,
            Any::Evicting(evict) => evict.spare().interrupt(&task),
            _ => return,
        };
        if let Some(history) = next.history_mut() {
            history.settled = attempt;
        }
        self.put(key, next);
        self.changed(key.piece);
    }

    /// The checkpoint of an eviction could not be written: the task goes on.
    fn spare(&mut self, key: Key, attempt: u32) {
        if self.task(key).is_none() {
            return;
        }
        if let Any::Evicting(task) = self.copy(key)
            && task.state.run.booking.attempt == attempt
        {
            self.put(key, Any::Running(task.spare()));
            if self.piece(key.piece).cancelled {
                self.stop(key, Why::Cancelled);
            } else {
                self.signals.push(Signal::Spared(key));
            }
        }
    }

    fn unsent(&mut self, index: u32, call: &Call) {
        self.silence(index);
        match call {
            Call::Start(key, attempt) => {
                if let Some(start) = self.starting(*key, *attempt) {
                    start.awaited = false;
                    if start.doubt.is_none() {
                        self.withdraw(*key, false);
                    }
                }
            }
            Call::Stop(key, attempt) => self.stop_ended(*key, *attempt),
            Call::Throttle(key, attempt) => self.unasked(*key, *attempt),
            _ => {}
        }
    }

    fn unknown(&mut self, index: u32, call: &Call) {
        self.silence(index);
        let now = self.now;
        match call {
            Call::Start(key, attempt) => {
                if let Some(start) = self.starting(*key, *attempt) {
                    start.awaited = false;
                    start.doubt = Some(now);
                }
                if let Some(history) = self.history_mut(*key) {
                    history.doubt = Some(now);
                }
            }
            Call::Stop(key, attempt) => self.stop_ended(*key, *attempt),
            Call::Throttle(key, attempt) => self.unasked(*key, *attempt),
            _ => {}
        }
    }

    /// Lets a missing task be asked for again.
    fn unasked(&mut self, key: Key, attempt: u32) {
        if self.task(key).is_some()
            && let Some(run) = self.slot(key).run_mut()
            && run.booking.attempt == attempt
        {
            run.missing = false;
        }
    }

    fn silence(&mut self, index: u32) {
        self.worker_mut(index).silent = true;
        self.signals.push(Signal::Room(index));
    }

    /// The worker belongs to another owner now. Its tasks stay booked.
    pub(super) fn fence(&mut self, index: u32) {
        self.worker_mut(index).fenced = true;
        self.signals.push(Signal::Room(index));
    }

    /// Starts a waiting task.
    pub fn start(&mut self, key: Key, worker: u32, grant: Size) {
        let least = if self.piece(key.piece).old {
            task::first_attempt(self.worker(worker).epoch)
        } else {
            0
        };
        let start = match self.copy(key) {
            Any::Pending(task) => task.start(worker, grant, least, self.now),
            Any::Resuming(task) => task.start(worker, grant, least, self.now),
            _ => return,
        };
        let resumed = start.history.checkpoint.is_some();
        self.put(key, Any::Starting(start.clone()));
        self.send_start(key, &start);
        let kind = if resumed {
            Kind::TaskResumed
        } else {
            Kind::TaskStarted
        };
        let subject = self.task_name(key);
        self.note(kind, &subject, Some(worker), "placed");
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
        self.command(booking.worker, verb, Call::Start(key, booking.attempt));
    }

    /// A start that was not answered is not shown by a later report. It is sent again, which has
    /// no effect if the first one arrived, or given up when no earlier one can still arrive.
    pub(super) fn retry_start(&mut self, key: Key, mut task: Task<Starting>) {
        let doubt = task.state.doubt.unwrap_or(task.state.since);
        if self.now >= doubt + LAPSE {
            return self.withdraw(key, false);
        }
        let worker = task.state.booking.worker;
        if self.startable(key.piece) && !self.worker(worker).leaving && self.may_command(worker) {
            task.state.awaited = true;
            self.put(key, Any::Starting(task.clone()));
            self.send_start(key, &task);
        }
    }

    /// Stops a running task.
    pub fn stop(&mut self, key: Key, why: Why) {
        let Any::Running(task) = self.copy(key) else {
            return;
        };
        let booking = task.state.booking;
        if !self.may_command(booking.worker) {
            return;
        }
        self.put(key, Any::Evicting(task.evict(why)));
        self.send_stop(booking.worker, key, booking.attempt, why);
    }

    pub(super) fn send_stop(&mut self, index: u32, key: Key, attempt: u32, why: Why) {
        let task = self.task_name(key);
        let checkpoint = (why == Why::Evicted).then(|| task::checkpoint(&task, attempt));
        let verb = Verb::Stop {
            task,
            attempt,
            checkpoint,
        };
        self.command(index, verb, Call::Stop(key, attempt));
    }

    /// Limits the processor share of a running task.
    pub fn throttle(&mut self, key: Key, share: u8) {
        let Some(run) = self.task(key).and_then(Any::run).copied() else {
            return;
        };
        if self.may_command(run.booking.worker) {
            let task = self.task_name(key);
            let call = Call::Throttle(key, run.booking.attempt);
            self.command(run.booking.worker, Verb::Throttle { task, share }, call);
        }
    }

    /// Has a running task write a checkpoint and go on.
    pub fn checkpoint(&mut self, key: Key) {
        let Some(run) = self.task(key).and_then(Any::run).copied() else {
            return;
        };
        if self.may_command(run.booking.worker) {
            let task = self.task_name(key);
            let object = task::checkpoint(&task, run.booking.attempt);
            let verb = Verb::Checkpoint { task, key: object };
            self.command(run.booking.worker, verb, Call::Checkpoint);
        }
    }

    /// The state of a piece as of the outstanding store is stored.
    pub(super) fn stored(&mut self, name: &Name) {
        let Some(&index) = self.named.get(name) else {
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
        self.to_ack.push(index);
    }

    /// Moves acknowledgements whose change is stored to their workers, and sends them.
    pub(super) fn order_acks(&mut self) {
        let mut later = Vec::new();
        let mut workers = std::mem::take(&mut self.late_acks);
        for index in std::mem::take(&mut self.to_ack) {
            let now = self.now;
            let Some(piece) = self.pieces[index as usize].as_mut() else {
                continue;
            };
            let stored = piece.stored;
            let due = |ack: &Ack| ack.change <= stored && ack.after <= now;
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
        self.to_ack = later;
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
        if worker.acking || worker.acks.is_empty() {
            return;
        }
        worker.acking = true;
        let count = worker.acks.len().min(MAX_ACKS);
        let tasks = worker.acks.drain(..count).collect();
        self.command(index, Verb::Acknowledge { tasks }, Call::Acknowledge);
    }

    /// Tasks that the VM's lease can no longer cover are free to run elsewhere.
    pub(super) fn lapse(&mut self, index: u32) {
        for key in self.worker(index).tasks.clone() {
            let task = self.task_name(key);
            let current = self.copy(key);
            let attempt = current.booking().map_or(0, |booking| booking.attempt);
            let mut next = match current {
                Any::Starting(start) => start.withdraw(),
                Any::Running(run) => run.interrupt(&task),
                Any::Evicting(evict) if evict.state.why == Why::Cancelled => Any::Cancelled,
                Any::Evicting(evict) => evict.spare().interrupt(&task),
                other => other,
            };
            if let Some(history) = next.history_mut() {
                history.settled = attempt;
            }
            self.put(key, next);
            self.changed(key.piece);
        }
    }

    /// Lets a failed task wait to be started again.
    pub fn retry(&mut self, key: Key) {
        if self.task(key).is_some_and(Any::waits) {
            self.signals.push(Signal::Waiting(key));
        }
    }

    /// A waiting task failed too often.
    pub fn give_up(&mut self, key: Key) {
        if self.task(key).is_some_and(Any::waits) {
            self.put(key, Any::Failed);
            let subject = self.task_name(key);
            self.note(Kind::TaskFailed, &subject, None, "failed too often");
        }
    }

    /// Whether a start may still arrive at the worker after its VM went from the list.
    pub(super) fn last_doubt(&self, index: u32, gone: Ms) -> Ms {
        let doubts = self.worker(index).tasks.iter();
        doubts
            .filter_map(|&key| self.task(key)?.history()?.doubt)
            .fold(gone, Ms::max)
    }
}
