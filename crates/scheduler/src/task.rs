//! The state of one task and its runs.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

use crate::id::Run;

/// How far an order for a run has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The start is sent.
    Starting,
    /// The worker has it.
    Running,
    /// The start got no answer: the run may be there, or may come later.
    Unsure,
    /// It shall end.
    Stopping,
}

/// A run that holds room on a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where.
    pub worker: Name,
    /// The incarnation of the worker.
    pub incarnation: Ms,
    /// The number of the start.
    pub run: Run,
    /// How far it has come.
    pub phase: Phase,
    /// Since when it is in this phase.
    pub phase_since: Ms,
    /// When the last order to stop was sent.
    pub stop_sent: Option<Ms>,
    /// When the worker answered the order to stop, on the clock of the agent.
    pub stopped_at: Option<Ms>,
    /// The agent that had that answer.
    pub stopped_by: Option<Name>,
    /// Looks in a row that did not show it although it was running.
    pub missed_polls: u8,
    /// The share that it was last ordered to work at, in percent, if that is known.
    pub share: Option<u8>,
    /// How much of its work is done, in percent; 100 for a lasting task that is at work.
    pub percent: u8,
    /// The newest figure of the worker on it.
    pub measurement: u32,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// It is done for good.
    pub is_done: bool,
    /// Its runs; more than one only for speculative steps and for duplicates that are stopped.
    pub runs: Vec<Attempt>,
    /// Where the next run resumes.
    pub checkpoint: Option<Arc<str>>,
    /// The worker on which it failed last.
    pub failed_on: Option<Name>,
}

impl Task {
    /// Whether a run may be started now.
    #[must_use]
    pub fn is_startable(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }

    /// The run with this number.
    pub fn run(&mut self, run: Run) -> Option<&mut Attempt> {
        self.runs.iter_mut().find(|attempt| attempt.run == run)
    }

    /// Takes the run with this number out.
    pub fn remove_run(&mut self, run: Run) -> Option<Attempt> {
        let index = self.runs.iter().position(|attempt| attempt.run == run)?;
        Some(self.runs.swap_remove(index))
    }
}
