//! The ends of commands: what follows from an answer, a refusal, or no answer.

use super::Id;
use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::Signal;
use super::ledger::piece::Key;
use crate::task::Any;
use crate::task::Reason;
use crate::task::Starting;
use crate::worker::Outcome;
use crate::worker::Refusal;
use crate::worker::Reply;

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
}
