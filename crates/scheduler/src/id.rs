//! The identities of jobs, steps, tasks, runs and leaders.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

const JOB_DIGITS: usize = 16;

/// The number of runs that one epoch can start before their numbers would overlap with the next
/// epoch.
const RUNS_PER_EPOCH: u64 = 1 << 20;

quick_error! {
    /// The reasons for which text is not an identity.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A job is identified by 16 lower-case hexadecimal digits.
        Job {
            display("a job id has 16 lower-case hexadecimal digits")
        }
        /// A task is identified by its job and the numbers of its occurrence, its step and the
        /// task.
        Task {
            display("a task id has the form JOB.OCCURRENCE.STEP.INDEX")
        }
    }
}

/// The identity of a job, chosen by its customer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Job(pub u64);

impl FromStr for Job {
    type Err = Error;

    fn from_str(raw: &str) -> Result<Self, Error> {
        let valid = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if raw.len() != JOB_DIGITS || !raw.bytes().all(valid) {
            return Err(Error::Job);
        }
        match u64::from_str_radix(raw, 16) {
            Ok(number) => Ok(Self(number)),
            Err(_) => Err(Error::Job),
        }
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of one occurrence of one step of a job.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Step {
    /// The job of the step.
    pub job: Job,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The position of the step in the job, counted from 0.
    pub step: u16,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// The identity of a task.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Task {
    /// The step of the task.
    pub step: Step,
    /// The position of the task in the step, counted from 0.
    pub index: u32,
}

impl FromStr for Task {
    type Err = Error;

    fn from_str(raw: &str) -> Result<Self, Error> {
        let mut parts = raw.split('.');
        let mut part = || parts.next().ok_or(Error::Task);
        let job = part()?.parse()?;
        let occurrence = number(part()?)?;
        let step = number(part()?)?;
        let index = number(part()?)?;
        if parts.next().is_some() {
            return Err(Error::Task);
        }
        let step = Step {
            job,
            occurrence,
            step,
        };
        Ok(Self { step, index })
    }
}

fn number<T: FromStr>(raw: &str) -> Result<T, Error> {
    match raw.parse() {
        Ok(number) => Ok(number),
        Err(_) => Err(Error::Task),
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// The fencing token of a leader: the store's version of the row that made it the leader.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The run number of one start of a task. It contains the epoch, so that numbers rise across all
/// leaders without a write to the store for each start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Run(pub u64);

impl Run {
    /// Returns the run with this count within an epoch.
    #[must_use]
    pub const fn new(epoch: Epoch, count: u64) -> Self {
        Self(epoch.0 * RUNS_PER_EPOCH + count)
    }

    /// Returns a run number of an epoch that no start has.
    #[must_use]
    pub const fn unused(epoch: Epoch) -> Self {
        Self::new(epoch, 0)
    }

    /// Returns whether no start has this number.
    #[must_use]
    pub const fn is_unused(self) -> bool {
        self.0.is_multiple_of(RUNS_PER_EPOCH)
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of a watch: one assignment of a worker at one address to one agent. Under one leader no
/// two watches have the same number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Watch(pub u64);

impl Watch {
    /// The number of no watch. A leader or an agent of an earlier build numbers none.
    pub const NONE: Self = Self(0);

    /// Returns whether this is the number of no watch.
    #[must_use]
    pub const fn is_none(&self) -> bool {
        self.0 == Self::NONE.0
    }
}

impl fmt::Display for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
