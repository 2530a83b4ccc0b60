//! What a customer submits.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// The longest payload in bytes.
pub const MAX_PAYLOAD: usize = 4_000;
/// The most steps of a job.
pub const MAX_STEPS: usize = 64;
/// The most tasks of one occurrence of a job.
pub const MAX_TASKS: u32 = 20_000;
/// The most occurrences of a job.
pub const MAX_OCCURRENCES: u32 = 100_000;

quick_error! {
    /// Why a job is not accepted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The payload is over the limit.
        Payload(bytes: usize) {
            display("the payload has {} bytes, at most {} are allowed", bytes, MAX_PAYLOAD)
        }
        /// There are no steps or too many.
        Steps(count: usize) {
            display("a job has 1 to {} steps, not {}", MAX_STEPS, count)
        }
        /// A step has no tasks, or the job has too many.
        Tasks(count: u64) {
            display("the steps have {} tasks, each needs one and all at most {}", count, MAX_TASKS)
        }
        /// A step waits for itself or a later one.
        Order(step: usize) {
            display("step {} waits for a step that is not before it", step)
        }
        /// The schedule has too many occurrences.
        Schedule(count: u32) {
            display("a job has at most {} occurrences, not {}", MAX_OCCURRENCES, count)
        }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Handed to the workers as it is.
    pub payload: Arc<str>,
    /// The steps, each after those that it waits for.
    pub steps: Vec<Step>,
    /// When the steps run, if not at once.
    pub schedule: Option<Schedule>,
}

/// Times at which the steps of a job run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// When the first occurrence is due, in ms since 1970.
    pub first: Ms,
    /// The time between two occurrences.
    pub interval: Ms,
    /// How many occurrences there are.
    pub count: u32,
}

/// Equal tasks of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// How many tasks there are.
    pub count: u32,
    /// What each task needs.
    pub need: Size,
    /// The customer's rough estimate of the run time of a task.
    pub estimate: Ms,
    /// Earlier steps that must be done before this one.
    pub after: Vec<u16>,
    /// The tasks work only while all of one run are present, and end together.
    pub is_gang: bool,
    /// The tasks are slower when they are spread over several racks.
    pub is_same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// The rack on which tasks are faster.
    pub rack: Option<Name>,
    /// The most tasks of one occurrence on one worker.
    pub per_worker: Option<u32>,
    /// Several runs of a task may be in progress.
    pub is_speculative: bool,
    /// The tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// The tasks save their progress.
    pub has_checkpoints: bool,
    /// What the tasks run; those with the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Lasting tasks: the tail of the response times must stay below.
    pub tail_limit: Option<Ms>,
    /// The tasks use processor time that others leave; it does not count against a worker's size.
    pub is_filling: bool,
    /// Lasting tasks: how many may be unavailable through actions of the scheduler.
    pub disruption_budget: u32,
}

impl Job {
    /// Checks a job against the limits.
    ///
    /// # Errors
    ///
    /// Names the first limit that it breaks.
    pub fn validate(&self) -> Result<(), Error> {
        if self.payload.len() > MAX_PAYLOAD {
            return Err(Error::Payload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps(self.steps.len()));
        }
        let count = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if count > u64::from(MAX_TASKS) || self.steps.iter().any(|step| step.count == 0) {
            return Err(Error::Tasks(count));
        }
        self.validate_order()?;
        match self.schedule {
            Some(schedule) if schedule.count > MAX_OCCURRENCES => {
                Err(Error::Schedule(schedule.count))
            }
            _ => Ok(()),
        }
    }

    fn validate_order(&self) -> Result<(), Error> {
        for (index, step) in self.steps.iter().enumerate() {
            if step
                .after
                .iter()
                .any(|&before| usize::from(before) >= index)
            {
                return Err(Error::Order(index));
            }
        }
        Ok(())
    }

    /// How many occurrences there are.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// When an occurrence is due, in ms since 1970, or `None` for at once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Ms> {
        let schedule = self.schedule?;
        let offset = schedule.interval.0.saturating_mul(occurrence.into());
        Some(schedule.first + Ms(offset))
    }

    /// The longest chain of estimated run times from each step to the end, the step included.
    #[must_use]
    pub fn remaining(&self) -> Vec<Ms> {
        let mut remaining: Vec<Ms> = self.steps.iter().map(|step| step.estimate).collect();
        for index in (0..self.steps.len()).rev() {
            for &before in &self.steps[index].after {
                let before = usize::from(before);
                let through = self.steps[before].estimate + remaining[index];
                remaining[before] = remaining[before].max(through);
            }
        }
        remaining
    }
}
