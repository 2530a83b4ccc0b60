//! The state of a task and its runs.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

use crate::id::Run;
use crate::over::Over;

/// The progress of an order for a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The order to start was sent and is unanswered.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The order to start got no answer in time; the run may exist or may still start later.
    Unsure,
    /// The run was ordered to stop.
    Stopping,
}

/// A run that holds resources on a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The worker of the run.
    pub worker: Name,
    /// The incarnation of the worker for which the run was ordered, in ms since 1970.
    pub incarnation: Ms,
    /// The run number of this start.
    pub run: Run,
    /// The time when the order to start was sent; 0 if an earlier leader started the run.
    pub started_at: Ms,
    /// That incarnation has listed the run. An answer to the order to start does not say which
    /// incarnation gave it.
    pub is_listed: bool,
    /// The progress of the order.
    pub phase: Phase,
    /// The time when the run entered this phase.
    pub phase_since: Ms,
    /// The time when the last order to stop was sent; absent if there was none.
    pub stop_sent: Option<Ms>,
    /// The time when the worker answered the order to stop, by the clock of the agent.
    pub stopped_at: Option<Ms>,
    /// The entry of the agent that received that answer.
    pub stopped_by: Option<Name>,
    /// The number of consecutive polls that did not report the run although it should exist.
    pub missed_polls: u8,
    /// The share of full speed that the run was last ordered to work at, in percent; absent if it
    /// is unknown because an earlier leader started the run.
    pub share: Option<u8>,
    /// The part of the work that is done, in percent; 100 for a long-running task that serves.
    pub percent: u8,
    /// The latest measurement of the worker: the tail latency in ms of a serving task, the
    /// millicores in use of any other.
    pub measurement: u32,
}

impl Attempt {
    /// Returns whether the worker has carried out the order to start.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Stopping)
    }

    /// Returns whether the next incarnation of the worker may have carried out the order to start,
    /// or may still do so.
    #[must_use]
    pub const fn may_outlive_incarnation(&self) -> bool {
        !self.is_listed || matches!(self.phase, Phase::Starting | Phase::Unsure)
    }
}

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// The task is completed and needs no further run.
    pub is_done: bool,
    /// This leader has started the task, or a worker that obeys it has listed a run. No earlier
    /// leader can have started it elsewhere meanwhile.
    pub is_seen: bool,
    /// The runs of the task. There can be several only for speculative steps, and while duplicates
    /// are being stopped.
    runs: Vec<Attempt>,
    /// The checkpoint from which the next run resumes.
    pub checkpoint: Option<Arc<str>>,
    /// The time when this checkpoint was first reported.
    pub checkpoint_at: Ms,
    /// The worker on which the task failed last; absent if it has not failed.
    pub failed_on: Option<Name>,
}

impl Task {
    /// Returns whether a run may be started now.
    #[must_use]
    pub fn is_startable(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }

    /// Records the newest checkpoint that a worker reports; `None` if it reports none.
    pub fn record_checkpoint(&mut self, now: Ms, reported: Option<&Arc<str>>) {
        if reported.is_some() && self.checkpoint.as_ref() != reported {
            self.checkpoint = reported.cloned();
            self.checkpoint_at = now;
        }
    }

    /// Returns the run with this number.
    pub fn run(&mut self, run: Run) -> Option<&mut Attempt> {
        self.runs.iter_mut().find(|attempt| attempt.run == run)
    }

    /// Returns the runs of the task.
    #[must_use]
    pub fn runs(&self) -> &[Attempt] {
        &self.runs
    }

    /// Adds a run.
    pub fn add_run(&mut self, attempt: Attempt) {
        self.runs.push(attempt);
    }

    /// Removes a run that is over and returns it.
    pub fn remove_run(&mut self, over: &Over) -> Option<Attempt> {
        let mut runs = self.runs.iter();
        let index = runs.position(|attempt| attempt.run == over.run())?;
        Some(self.runs.swap_remove(index))
    }
}
