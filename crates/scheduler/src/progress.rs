//! The durable progress of a job: what a new leader cannot learn from the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Run;

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task failed too often, or cannot run anywhere.
    Failed,
    /// The customer cancelled it.
    Cancelled,
}

/// A stage that customers are shown.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// It has ended.
    Ended(Outcome),
}

/// Progress of one step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// One bit for each task that is done.
    pub done: Vec<u64>,
    /// Failed runs by task, where there are any. Their numbers tell apart an end that a later
    /// leader is told again.
    pub failures: BTreeMap<u32, BTreeSet<Run>>,
}

impl Step {
    /// Notes that a task is done; whether it was not before.
    pub fn complete(&mut self, index: u32) -> bool {
        let (word, bit) = bit_position(index);
        if self.done.len() <= word {
            self.done.resize(word + 1, 0);
        }
        let is_new = self.done[word] & bit == 0;
        self.done[word] |= bit;
        is_new
    }

    /// Whether a task is done.
    #[must_use]
    pub fn is_done(&self, index: u32) -> bool {
        let (word, bit) = bit_position(index);
        self.done.get(word).is_some_and(|bits| bits & bit != 0)
    }
}

fn bit_position(index: u32) -> (usize, u64) {
    ((index / u64::BITS) as usize, 1 << (index % u64::BITS))
}

/// Progress of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Whether any task has started.
    pub has_started: bool,
    /// How it ended, and when, in ms since 1970.
    pub ended: Option<(Outcome, Ms)>,
    /// Occurrences before this one are done.
    pub finished_occurrences: u32,
    /// Steps with any progress, by occurrence and step.
    pub steps: BTreeMap<(u32, u16), Step>,
}

impl Progress {
    /// The stage shown to customers.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.ended {
            Some((outcome, _)) => Stage::Ended(outcome),
            None if self.has_started => Stage::Running,
            None => Stage::Queued,
        }
    }
}
