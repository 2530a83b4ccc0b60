//! The durable progress of a job: the state that a new leader cannot learn from the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Run;

/// The ways in which a job ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All tasks are completed.
    Completed,
    /// A task failed too often, or a worker refused it as invalid.
    Failed,
    /// The customer cancelled the job.
    Cancelled,
}

/// The stage of a job that customers are shown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// The progress of one step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// A bit set of the completed tasks, by index.
    pub done: Vec<u64>,
    /// The failed runs by task. Their numbers show whether an end that a later leader receives
    /// again is already counted.
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
}

impl Step {
    /// Records that a task is completed, and returns whether this is new.
    pub fn complete(&mut self, index: u32) -> bool {
        let (word, bit) = bit_position(index);
        if self.done.len() <= word {
            self.done.resize(word + 1, 0);
        }
        let is_new = self.done[word] & bit == 0;
        self.done[word] |= bit;
        is_new
    }

    /// Returns whether a task is completed.
    #[must_use]
    pub fn is_done(&self, index: u32) -> bool {
        let (word, bit) = bit_position(index);
        self.done.get(word).is_some_and(|bits| bits & bit != 0)
    }
}

fn bit_position(index: u32) -> (usize, u64) {
    ((index / u64::BITS) as usize, 1 << (index % u64::BITS))
}

/// The progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// At least one task has started.
    pub has_started: bool,
    /// The outcome and the time of the end, in ms since 1970; absent until the job ends.
    pub ended: Option<(Outcome, Ms)>,
    /// The number of leading occurrences that are completed.
    pub finished_occurrences: u32,
    /// The steps with any progress, by occurrence and step.
    pub steps: BTreeMap<(u32, u16), Step>,
}

impl Progress {
    /// Returns the stage that customers are shown.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.ended {
            Some((outcome, _)) => Stage::Ended(outcome),
            None if self.has_started => Stage::Running,
            None => Stage::Queued,
        }
    }
}
