//! The state of a task that is kept across its attempts: attempt numbers and checkpoints.

use super::Any;
use super::Booking;
use super::History;
use super::Pending;
use super::Resuming;
use super::Running;
use super::Starting;
use super::Task;
use crate::clock::Ms;
use crate::resource::Size;
use crate::worker;

impl History {
    /// Returns the waiting state of the task: resuming if there is a checkpoint, else pending.
    #[must_use]
    pub fn into_waiting(self) -> Any {
        if self.checkpoint.is_some() {
            Any::Resuming(Task {
                history: self,
                state: Resuming,
            })
        } else {
            Any::Pending(Task {
                history: self,
                state: Pending,
            })
        }
    }

    pub(super) fn start(
        mut self,
        worker: u32,
        grant: Size,
        min_attempt: u32,
        now: Ms,
    ) -> Task<Starting> {
        self.attempt = (self.attempt + 1).max(min_attempt);
        let booking = Booking {
            worker,
            attempt: self.attempt,
            grant,
        };
        Task {
            history: self,
            state: Starting {
                booking,
                since: now,
                awaited: true,
                unanswered_at: None,
            },
        }
    }

    /// Makes an attempt that was discovered in a worker's report the current one.
    #[must_use]
    pub fn discover(mut self, worker: u32, reported: &worker::Task, now: Ms) -> Task<Running> {
        self.attempt = self.attempt.max(reported.attempt);
        let booking = Booking {
            worker,
            attempt: reported.attempt,
            grant: reported.grant,
        };
        let mut state = Running::new(booking, now);
        state.discovered = true;
        state.update(reported);
        Task {
            history: self,
            state,
        }
    }

    /// Sets the checkpoint to resume from. If `proven`, it was certainly written; otherwise the
    /// previous one is kept as a fallback.
    pub fn set_checkpoint(&mut self, key: String, proven: bool) {
        let before = self.checkpoint.replace(key.into_boxed_str());
        self.refused_resumes = 0;
        self.fallback = if proven { None } else { before };
    }

    /// Counts a refused resume. An unproven checkpoint is replaced by the previous one after
    /// `unproven` refusals, and a proven one is dropped after `proven` refusals, which are so many
    /// that the object must be lost.
    pub fn record_refused_resume(&mut self, unproven: u32, proven: u32) {
        self.refused_resumes += 1;
        let limit = if self.fallback.is_some() {
            unproven
        } else {
            proven
        };
        if self.refused_resumes >= limit {
            self.checkpoint = self.fallback.take();
            self.refused_resumes = 0;
        }
    }
}
