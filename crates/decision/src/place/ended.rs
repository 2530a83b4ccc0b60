//! Reported ends of attempts: completed, failed and stopped ones.

use super::ledger::Ledger;
use super::ledger::Signal;
use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::name::Name;
use crate::task;
use crate::task::Any;
use crate::task::Booking;
use crate::task::Reason;
use crate::timeline::Kind;
use crate::worker;
use crate::worker::State;

impl Ledger {
    pub(super) fn complete_task(
        &mut self,
        index: u32,
        key: Key,
        booked: Option<Booking>,
        reported: &worker::Task,
    ) {
        let unanswered_at = self
            .task_mut(key)
            .history()
            .and_then(|history| history.unanswered_at);
        let is_new = !self.task_mut(key).has_ended();
        if is_new {
            let elsewhere = booked.filter(|booking| booking.worker != index);
            self.set_task(key, Any::Done);
            self.record_event(
                Kind::TaskDone,
                &reported.name,
                Some(index),
                "reported by the worker",
            );
            let booking = booked.filter(|booking| booking.worker == index);
            let booking = booking.unwrap_or(Booking {
                worker: index,
                attempt: reported.attempt,
                grant: reported.grant,
            });
            self.signals
                .push(Signal::Completed(key, booking, reported.clone()));
            if let Some(other) = elsewhere {
                self.stop_superseded(key, other);
            }
        }
        self.schedule_ack(index, key, reported, unanswered_at, is_new);
    }

    /// Handles the reported end of an attempt that failed or was stopped.
    pub(super) fn end_attempt(
        &mut self,
        index: u32,
        key: Key,
        current: Any,
        is_current: bool,
        reported: &worker::Task,
        state: State,
    ) {
        let unanswered_at = current.history().and_then(|history| history.unanswered_at);
        let is_unrecorded = current
            .history()
            .is_some_and(|history| history.last_ended < reported.attempt);
        let is_newest = current
            .history()
            .is_some_and(|history| history.attempt <= reported.attempt);
        let is_new = is_unrecorded && (is_current || (current.is_waiting() && is_newest));
        if is_new {
            match state {
                State::Failed(fault) => self.fail_attempt(index, key, current, reported, fault),
                _ => self.stop_attempt(key, current, reported),
            }
        } else if state == State::Stopped && reported.saved > Ms::ZERO {
            self.adopt_unrecorded_checkpoint(key, reported);
        }
        self.schedule_ack(index, key, reported, unanswered_at, is_new);
    }

    fn fail_attempt(
        &mut self,
        index: u32,
        key: Key,
        current: Any,
        reported: &worker::Task,
        fault: worker::Fault,
    ) {
        let booking = current.booking().unwrap_or(Booking {
            worker: index,
            attempt: reported.attempt,
            grant: reported.grant,
        });
        if matches!(&current, Any::Evicting(task) if task.state.reason == Reason::Cancelled) {
            return self.set_task(key, Any::Cancelled);
        }
        let next = self.interrupted(key, current, reported);
        self.set_task_silently(key, next);
        if self.task_mut(key).is_waiting() {
            self.signals
                .push(Signal::Failed(key, booking, fault, reported.clone()));
        }
    }

    /// Handles an attempt that was stopped by this entry, by a former owner, or because its lease
    /// expired.
    fn stop_attempt(&mut self, key: Key, current: Any, reported: &worker::Task) {
        let task = self.task_name(key);
        let saved = reported.saved == reported.progress && reported.saved > Ms::ZERO;
        let mut next = match current {
            Any::Evicting(mut evict) => {
                evict.state.run.update(reported);
                evict.stop(&task, reported.saved == reported.progress)
            }
            waiting if waiting.is_waiting() && saved => {
                self.adopt_earlier_eviction(&task, waiting, reported)
            }
            other => self.interrupted(key, other, reported),
        };
        if let Some(history) = next.history_mut() {
            history.last_ended = reported.attempt;
            history.attempt = history.attempt.max(reported.attempt);
        }
        self.set_task(key, next);
    }

    /// Returns the state of a task whose attempt ended at its last checkpoint.
    fn interrupted(&self, key: Key, current: Any, reported: &worker::Task) -> Any {
        let task = self.task_name(key);
        let mut next = match current {
            Any::Starting(start) => start.confirm(reported, self.now).interrupt(&task),
            Any::Running(mut run) => {
                run.state.update(reported);
                run.interrupt(&task)
            }
            Any::Evicting(evict) => {
                let mut run = evict.abort_eviction();
                run.state.update(reported);
                run.interrupt(&task)
            }
            waiting => match waiting.into_history() {
                Some(history) => history.discover(0, reported, self.now).interrupt(&task),
                None => Any::Failed,
            },
        };
        if let Some(history) = next.history_mut() {
            history.last_ended = reported.attempt;
            history.attempt = history.attempt.max(reported.attempt);
        }
        next
    }

    /// Adopts the checkpoint of an earlier attempt that the stored record may lack.
    fn adopt_unrecorded_checkpoint(&mut self, key: Key, reported: &worker::Task) {
        let task = self.task_name(key);
        if let Some(history) = self.history_mut(key)
            && history.last_ended < reported.attempt
            && history.checkpoint.is_none()
        {
            history.last_ended = reported.attempt;
            history.set_checkpoint(task::checkpoint_key(&task, reported.attempt), false);
            self.mark_changed(key.piece);
        }
    }

    /// Returns the state of a task that a former owner evicted. The checkpoint was probably
    /// written, but the stored record may lack it.
    fn adopt_earlier_eviction(&self, task: &Name, waiting: Any, reported: &worker::Task) -> Any {
        let Some(mut history) = waiting.into_history() else {
            return Any::Failed;
        };
        let key = task::checkpoint_key(task, reported.attempt);
        if history.checkpoint.as_deref() != Some(&key) {
            history.evictions += 1;
            history.set_checkpoint(key, false);
        }
        history.into_waiting()
    }
}
