//! The durable progress of a job: the state that a new leader cannot learn from the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::id::Run;

/// The crashes under the tasks of a step are stored as failed runs of a step whose number is higher
/// by this, which no job has. Earlier builds read such rows and keep what they do not use.
const CRASHES_OFFSET: u16 = 1 << 15;

/// The most bytes in the row of all but the steps.
const ROW_BYTES: usize = 64;
/// The most bytes of the key and the lengths of a step in the row.
pub const STEP_BYTES: usize = 24;
/// The most bytes of the number and the count of runs of a task in the row.
const TASK_BYTES: usize = 8;
/// The most bytes of a run, or of 64 completed tasks, in the row.
pub const NUMBER_BYTES: usize = 9;

/// The ways in which a job ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All tasks are completed.
    Completed,
    /// A task failed too often, crashed the workers that started it, or was refused as invalid.
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

    /// Returns the most bytes that this takes in the row.
    fn bytes(&self) -> usize {
        let runs: usize = self.failures.values().map(BTreeSet::len).sum();
        STEP_BYTES + (self.done.len() + runs) * NUMBER_BYTES + self.failures.len() * TASK_BYTES
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

const fn crash_key(task: id::Task) -> (u32, u16) {
    (task.step.occurrence, task.step.step + CRASHES_OFFSET)
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
    /// Records that a worker crashed under this run of a task, and returns whether this is new.
    pub fn record_crash(&mut self, task: id::Task, run: Run) -> bool {
        let step = self.steps.entry(crash_key(task)).or_default();
        step.failures.entry(task.index).or_default().insert(run)
    }

    /// Removes the record of a crash, and returns whether there was one.
    pub fn retract_crash(&mut self, task: id::Task, run: Run) -> bool {
        let step = self.steps.get_mut(&crash_key(task));
        let runs = step.and_then(|step| step.failures.get_mut(&task.index));
        runs.is_some_and(|runs| runs.remove(&run))
    }

    /// Returns whether workers crashed under tasks of a step.
    #[must_use]
    pub fn has_crashes(&self, step: id::Step) -> bool {
        let key = (step.occurrence, step.step + CRASHES_OFFSET);
        self.steps.contains_key(&key)
    }

    /// Returns the number of workers that crashed under a task.
    #[must_use]
    pub fn crashes(&self, task: id::Task) -> usize {
        let step = self.steps.get(&crash_key(task));
        let runs = step.and_then(|step| step.failures.get(&task.index));
        runs.map_or(0, BTreeSet::len)
    }

    /// Returns the number of those crashes that a leader has observed and not merely assumed.
    #[must_use]
    pub fn observed_crashes(&self, task: id::Task) -> usize {
        let step = self.steps.get(&crash_key(task));
        let runs = step.and_then(|step| step.failures.get(&task.index));
        runs.map_or(0, |runs| runs.iter().filter(|run| !run.is_unused()).count())
    }

    /// Returns the most bytes that the row takes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        ROW_BYTES + self.steps.values().map(Step::bytes).sum::<usize>()
    }

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
