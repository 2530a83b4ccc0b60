//! Bookings: which resources of a worker the tasks on it hold.

use super::Ledger;
use super::Signal;
use super::piece::Key;
use crate::task::Any;
use crate::task::Booking;

impl Ledger {
    /// Replaces the state of a task, updates its booking, and signals when the task begins to wait.
    /// A task of a cancelled job ends instead of waiting.
    pub(in crate::place) fn set_task(&mut self, key: Key, next: Any) {
        let waited = self.task_mut(key).is_waiting();
        self.set_task_silently(key, next);
        if !waited && self.task_mut(key).is_waiting() {
            self.signals.push(Signal::Waiting(key));
        }
    }

    /// Does the same as [`Self::set_task`] without the signal: the policy decides when a failed
    /// task may be placed again.
    pub(in crate::place) fn set_task_silently(&mut self, key: Key, next: Any) {
        let cancel = next.is_waiting() && self.piece(key.piece).cancelled;
        let next = if cancel { Any::Cancelled } else { next };
        let before = self.task_mut(key).booking();
        let after = next.booking();
        let ends = next.has_ended() && !self.task_mut(key).has_ended();
        *self.task_mut(key) = next;
        if before != after {
            if let Some(booking) = before {
                self.unbook(key, booking);
            }
            if let Some(booking) = after {
                self.book(key, booking);
            }
        }
        if ends {
            self.mark_changed(key.piece);
        }
    }

    fn book(&mut self, key: Key, booking: Booking) {
        let piece = self.pieces[key.piece as usize].as_ref();
        let job = &piece.expect("the piece at this index was not removed").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("the worker at this index was not removed");
        worker.booked = worker.booked.plus(booking.grant);
        worker.tasks.push(key);
        worker.count_kind(&job.kind, booking.grant.millicores);
        match self.held.get_mut(&job.team) {
            Some(held) => *held = held.plus(booking.grant),
            None => {
                self.held.insert(job.team.clone(), booking.grant);
            }
        }
        self.signals.push(Signal::Room(booking.worker));
    }

    pub(in crate::place) fn unbook(&mut self, key: Key, booking: Booking) {
        let piece = self.pieces[key.piece as usize].as_ref();
        let job = &piece.expect("the piece at this index was not removed").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("the worker at this index was not removed");
        worker.booked = worker.booked.minus(booking.grant);
        worker.tasks.retain(|&other| other != key);
        worker.discount_kind(&job.kind, booking.grant.millicores);
        if let Some(held) = self.held.get_mut(&job.team) {
            *held = held.minus(booking.grant);
        }
        self.signals.push(Signal::Room(booking.worker));
    }
}
