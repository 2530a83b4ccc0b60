//! The transitions between the states of a task.

use super::Any;
use super::Booking;
use super::Evicting;
use super::Pending;
use super::Reason;
use super::Resuming;
use super::Running;
use super::Starting;
use super::Task;
use super::checkpoint_key;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::worker;

impl Running {
    pub(super) const fn new(booking: Booking, now: Ms) -> Self {
        Self {
            booking,
            since: now,
            progress: Ms::ZERO,
            saved: Ms::ZERO,
            used: Size::ZERO,
            sampled: false,
            initial_saved: Ms::ZERO,
            share: 100,
            missing: false,
            discovered: false,
        }
    }

    /// Updates the attempt with its reported state. Progress never goes back.
    pub fn update(&mut self, reported: &worker::Task) {
        self.progress = self.progress.max(reported.progress);
        self.saved = self.saved.max(reported.saved);
        self.used = reported.used;
        self.share = reported.throttle;
        self.missing = false;
    }

    /// Returns the work that would be lost if the attempt ended without a new checkpoint.
    #[must_use]
    pub const fn unsaved(&self) -> Ms {
        self.progress.since(self.saved)
    }
}

impl Task<Pending> {
    /// Books the next attempt on a worker. Its number is at least `min_attempt`.
    #[must_use]
    pub fn start(self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.history.start(worker, grant, min_attempt, now)
    }
}

impl Task<Resuming> {
    /// Books the next attempt on a worker. Its number is at least `min_attempt`.
    #[must_use]
    pub fn start(self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.history.start(worker, grant, min_attempt, now)
    }
}

impl Task<Starting> {
    /// Confirms the start, because the worker reported the attempt.
    #[must_use]
    pub fn confirm(self, reported: &worker::Task, now: Ms) -> Task<Running> {
        let mut state = Running::new(self.state.booking, now);
        state.initial_saved = reported.saved;
        state.update(reported);
        Task {
            history: self.history,
            state,
        }
    }

    /// Withdraws the start, which certainly had no effect.
    #[must_use]
    pub fn withdraw(self) -> Any {
        self.history.into_waiting()
    }
}

impl Task<Running> {
    /// Marks the attempt as being stopped.
    #[must_use]
    pub fn evict(self, reason: Reason) -> Task<Evicting> {
        Task {
            history: self.history,
            state: Evicting {
                run: self.state,
                reason,
                awaited: true,
            },
        }
    }

    /// Ends an attempt that this entry did not stop, at its last checkpoint.
    #[must_use]
    pub fn interrupt(mut self, task: &Name) -> Any {
        if self.state.saved > self.state.initial_saved {
            let key = checkpoint_key(task, self.state.booking.attempt);
            self.history.set_checkpoint(key, !self.state.discovered);
        }
        self.history.into_waiting()
    }
}

impl Task<Evicting> {
    /// Returns the task to running, because the stop had no effect.
    #[must_use]
    pub fn abort_eviction(self) -> Task<Running> {
        Task {
            history: self.history,
            state: self.state.run,
        }
    }

    /// Confirms the stop. If `saved`, the checkpoint was written.
    #[must_use]
    pub fn stop(mut self, task: &Name, saved: bool) -> Any {
        if self.state.reason == Reason::Cancelled {
            return Any::Cancelled;
        }
        self.history.evictions += 1;
        if saved {
            let run = self.state.run;
            let proven = run.saved > run.initial_saved && !run.discovered;
            let key = checkpoint_key(task, run.booking.attempt);
            self.history.set_checkpoint(key, proven);
            return self.history.into_waiting();
        }
        self.abort_eviction().interrupt(task)
    }
}
