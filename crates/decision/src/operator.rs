//! Calls of operators and their results.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::config::Document;
use crate::config::Version;
use crate::name::Name;
use crate::resource::Dimension;
use crate::resource::Size;

/// A call. Its id makes a second sending harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// Chosen by the operator, unique for all time.
    pub id: Name,
    /// What is asked.
    pub action: Action,
}

/// What an operator asks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Accepts a batch job.
    Submit(Job),
    /// Cancels a job.
    Cancel {
        /// The job.
        job: Name,
    },
    /// Takes a worker out of service, or back into it.
    Drain {
        /// The worker.
        vm: Name,
        /// Whether it leaves.
        leave: bool,
    },
    /// Replaces the configuration.
    Reconfigure {
        /// The version that the operator has seen.
        expected: Version,
        /// The new configuration.
        document: Document,
        /// Only checks and compares.
        dry_run: bool,
    },
    /// Asks for the state of the system or of one job.
    Status {
        /// The job.
        job: Option<Name>,
    },
}

/// A batch job: independent tasks of one shape.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The job's name, unique for all time.
    pub name: Name,
    /// The team it counts against.
    pub team: Name,
    /// The kind, which selects what is learned about its tasks.
    pub kind: Name,
    /// How many tasks.
    pub tasks: u32,
    /// Declared size of one task.
    pub size: Size,
    /// Declared run time of one task.
    pub run_time: Ms,
    /// Whether it goes before other work.
    pub urgent: bool,
}

/// Result of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The change is stored and will take effect.
    Accepted,
    /// The configuration is stored; these entries have it in force or not yet.
    Configured {
        /// The new version.
        version: Version,
        /// Entries that have it in force.
        in_force: Vec<Name>,
        /// Live entries that have not confirmed it yet.
        pending: Vec<Name>,
    },
    /// What a dry run found: changed items by name.
    Difference(Vec<String>),
    /// The state of the system.
    Status(Status),
    /// The call had no effect.
    Refused(Refusal),
    /// The call may or may not take effect; send it again with the same id.
    Unknown,
}

/// Why a call had no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// Another version is in force.
    Conflict(Version),
    /// The request itself is wrong.
    Invalid(String),
    /// No worker can ever hold a task of the job.
    Infeasible {
        /// The resource that is lacking.
        dimension: Dimension,
        /// The largest free shape that any worker offers.
        nearest: Size,
    },
    /// There is no such job or worker.
    Missing,
    /// The store cannot be reached, so nothing can be accepted.
    Unavailable,
}

/// The state of the system as one entry knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The answering entry.
    pub entry: String,
    /// The configuration in force there.
    pub version: Version,
    /// Live entries.
    pub members: Vec<Name>,
    /// Workers with their owner, if known.
    pub workers: Vec<Worker>,
    /// Jobs that this entry owns a piece of, or the one asked for.
    pub jobs: Vec<Progress>,
}

/// A worker in a status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// The worker.
    pub vm: Name,
    /// Its owner.
    pub owner: Option<Name>,
    /// Whether it leaves.
    pub leaving: bool,
    /// What is booked for tasks.
    pub booked: Size,
    /// Its tasks.
    pub tasks: u32,
}

/// Tasks of a job by state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The job.
    pub job: Name,
    /// Tasks that wait.
    pub pending: u32,
    /// Tasks that run, or may run.
    pub running: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks that failed for good.
    pub failed: u32,
}
