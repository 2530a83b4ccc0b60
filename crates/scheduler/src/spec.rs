//! The job specification that a customer submits.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// The longest payload of a job.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The most steps of a job.
pub const MAX_STEPS: usize = 64;
/// The most tasks in one occurrence of a job.
pub const MAX_TASKS: u32 = 20_000;
/// The most occurrences of a job.
pub const MAX_OCCURRENCES: u32 = 100_000;
/// The longest name of an image. The largest job fits in a row of the store, which is not divided.
pub const MAX_IMAGE_BYTES: usize = 255;

quick_error! {
    /// The reasons for which a job is not accepted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The payload has this number of bytes, which exceeds [`MAX_PAYLOAD_BYTES`].
        Payload(bytes: usize) {
            display("the payload has {} bytes, at most {} are allowed", bytes, MAX_PAYLOAD_BYTES)
        }
        /// The job has this number of steps, which is 0 or exceeds [`MAX_STEPS`].
        Steps(count: usize) {
            display("a job has 1 to {} steps, not {}", MAX_STEPS, count)
        }
        /// A step has no tasks, or all steps together have this number of tasks, which exceeds
        /// [`MAX_TASKS`].
        Tasks(count: u64) {
            display(
                "the steps have {} tasks; each step needs at least 1, all together at most {}",
                count, MAX_TASKS
            )
        }
        /// The step at this index waits for itself or a later step.
        Order(step: usize) {
            display("step {} waits for itself or a later step", step)
        }
        /// The image of the step at this index has this number of bytes, which exceeds
        /// [`MAX_IMAGE_BYTES`].
        Image(step: usize, bytes: usize) {
            display(
                "the image of step {} has {} bytes, at most {} are allowed",
                step, bytes, MAX_IMAGE_BYTES
            )
        }
        /// The schedule has this number of occurrences, which is 0 or exceeds [`MAX_OCCURRENCES`].
        Schedule(count: u32) {
            display("a job has 1 to {} occurrences, not {}", MAX_OCCURRENCES, count)
        }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// The payload that every worker receives unchanged.
    pub payload: Arc<str>,
    /// The steps, each listed after the steps that it waits for.
    pub steps: Vec<Step>,
    /// The schedule of the occurrences; absent if the job runs once and at once.
    pub schedule: Option<Schedule>,
}

/// The times at which the steps of a job run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// The time when the first occurrence is due, in ms since 1970.
    pub first: Ms,
    /// The time between two occurrences.
    pub interval: Ms,
    /// The number of occurrences.
    pub count: u32,
}

/// A step: a number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The number of tasks, at least 1.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Size,
    /// The customer's rough estimate of the run time of a task.
    pub estimate: Ms,
    /// The indices of the earlier steps that must be completed before this one.
    pub after: Vec<u16>,
    /// The tasks form a gang: they work only while all of them run, and they end together.
    pub is_gang: bool,
    /// The tasks are slower if they are spread over several racks.
    pub is_same_rack: bool,
    /// A label that the worker must have; absent if any worker may run the tasks.
    pub label: Option<Name>,
    /// The rack on which the tasks are faster; absent if all racks are alike.
    pub rack: Option<Name>,
    /// The most tasks of one occurrence on one worker; absent for no limit.
    pub per_worker: Option<u32>,
    /// A task may have several runs at a time.
    pub is_speculative: bool,
    /// The tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// The tasks save checkpoints from which a later run resumes.
    pub has_checkpoints: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    pub image: Option<Arc<str>>,
    /// The limit of the tail latency of a long-running task; absent if the task has none.
    pub tail_limit: Option<Ms>,
    /// The tasks use processor time that other tasks leave unused, which does not count against a
    /// worker's size.
    pub is_filling: bool,
    /// The most tasks of a long-running step that may be unavailable through actions of the
    /// scheduler.
    pub disruption_budget: u32,
}

impl Job {
    /// Validates a job against the limits.
    ///
    /// # Errors
    ///
    /// Returns the first limit that the job exceeds.
    pub fn validate(&self) -> Result<(), Error> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Error::Payload(self.payload.len()));
        }
        self.validate_shape()?;
        self.validate_images()
    }

    /// Validates what a leader relies on in a job whose row may be of another build.
    ///
    /// # Errors
    ///
    /// Returns the first limit that the job exceeds.
    pub fn validate_shape(&self) -> Result<(), Error> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps(self.steps.len()));
        }
        let count = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if count > u64::from(MAX_TASKS) || self.steps.iter().any(|step| step.count == 0) {
            return Err(Error::Tasks(count));
        }
        self.validate_order()?;
        let occurrences = self.occurrences();
        if occurrences == 0 || occurrences > MAX_OCCURRENCES {
            return Err(Error::Schedule(occurrences));
        }
        Ok(())
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

    fn validate_images(&self) -> Result<(), Error> {
        for (index, step) in self.steps.iter().enumerate() {
            let bytes = step.image.as_ref().map_or(0, |image| image.len());
            if bytes > MAX_IMAGE_BYTES {
                return Err(Error::Image(index, bytes));
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the time when an occurrence is due, in ms since 1970, or `None` if it is due at
    /// once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Ms> {
        let schedule = self.schedule?;
        let offset = schedule.interval.0.saturating_mul(occurrence.into());
        Some(schedule.first + Ms(offset))
    }

    /// Returns the longest chain of estimated run times from each step to the end of the job, the
    /// step included.
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
