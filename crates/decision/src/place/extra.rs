//! Attempts on workers that belong to no task booked there.

use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::Signal;
use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::task::Booking;
use crate::worker;
use crate::worker::State;
use crate::worker::Verb;

impl Ledger {
    pub(super) fn add_extra(&mut self, index: u32, task: worker::Task) {
        let worker = self.worker_mut(index);
        if task.state == State::Running {
            worker.booked = worker.booked.plus(task.grant);
        }
        worker.extra.push(task);
        let group = worker.group as usize;
        self.groups[group].holders.insert(index);
    }

    /// Matches the extra attempts that workers of a group reported earlier with the tasks of a new
    /// piece.
    pub(super) fn attach_extras(&mut self, group: u32) {
        let holders = std::mem::take(&mut self.groups[group as usize].holders);
        for index in holders {
            for task in self.take_extras(index) {
                if let Some(key) = self.find_in_group(group as usize, &task.name) {
                    self.observe(index, key, &task);
                } else {
                    self.add_extra(index, task);
                }
            }
            self.signals.push(Signal::Room(index));
        }
    }

    /// Stops an attempt that should not run. Its resources stay booked until a report lacks it.
    pub(super) fn stop_extra(&mut self, index: u32, reported: &worker::Task) {
        self.add_extra(index, reported.clone());
        let is_stopping = self.in_flight.values().any(|(worker, purpose)| {
            *worker == index
                && matches!(purpose, Purpose::StopExtra(name) if *name == reported.name)
        });
        if !is_stopping && self.may_command(index) {
            self.send_extra_stop(index, reported.name.clone(), reported.attempt);
        }
    }

    /// Stops the booked attempt of a task that another worker has completed. Its resources stay
    /// booked until a report shows that it has ended.
    pub(super) fn stop_superseded(&mut self, key: Key, other: Booking) {
        let task = self.task_name(key);
        let held = worker::Task {
            name: task.clone(),
            attempt: other.attempt,
            kind: self.piece(key.piece).job.kind.clone(),
            grant: other.grant,
            used: Size::ZERO,
            progress: Ms::ZERO,
            saved: Ms::ZERO,
            throttle: 100,
            state: State::Running,
        };
        self.add_extra(other.worker, held);
        if self.may_command(other.worker) {
            self.send_extra_stop(other.worker, task, other.attempt);
        }
    }

    /// Sends the stop of an extra attempt, without a checkpoint.
    fn send_extra_stop(&mut self, index: u32, task: Name, attempt: u32) {
        let purpose = Purpose::StopExtra(task.clone());
        let verb = Verb::Stop {
            task,
            attempt,
            checkpoint: None,
        };
        self.command(index, verb, purpose);
    }

    /// Removes the extra attempts of a worker, and frees what their running ones hold.
    pub(super) fn take_extras(&mut self, index: u32) -> Vec<worker::Task> {
        let worker = self.worker_mut(index);
        let extra = std::mem::take(&mut worker.extra);
        worker.booked = worker.booked.minus(running_grants(&extra));
        extra
    }
}

/// Returns the sum of the grants of running attempts.
fn running_grants(tasks: &[worker::Task]) -> Size {
    let running = tasks.iter().filter(|task| task.state == State::Running);
    running.fold(Size::ZERO, |sum, task| sum.plus(task.grant))
}
