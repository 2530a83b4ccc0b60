//! Operators' calls and the replies to them.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::config::Document;
use crate::config::Version;
use crate::name::Name;
use crate::resource::Dimension;
use crate::resource::Size;

/// A call of an operator. Its id makes it idempotent, so that it can be sent again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Call {
    /// The id, chosen by the operator and never used for another call.
    pub id: Name,
    /// The change or the query that the operator requests.
    pub action: Action,
}

/// The request of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Submits a batch job.
    Submit(Job),
    /// Cancels a job.
    Cancel {
        /// The name of the job.
        job: Name,
    },
    /// Takes a worker out of service, or back into it.
    Drain {
        /// The VM of the worker.
        vm: Name,
        /// `true` to take the worker out of service, `false` to return it.
        leave: bool,
    },
    /// Replaces the configuration.
    Reconfigure {
        /// The version that the operator expects to be in force. The call is refused if another one
        /// is.
        expected: Version,
        /// The complete new configuration.
        document: Document,
        /// Whether the document is only checked and compared, not put into force.
        dry_run: bool,
    },
    /// Queries the state of the system or of one job.
    Status {
        /// The name of the job, or `None` for the whole system.
        job: Option<Name>,
    },
}

/// A batch job of independent tasks with the same size.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The name, which no other job ever has.
    pub name: Name,
    /// The team whose quota the tasks count against.
    pub team: Name,
    /// The kind of task, under which corrections of declared sizes and run times are
    /// learned.
    pub kind: Name,
    /// The number of tasks.
    pub tasks: u32,
    /// The declared size of one task.
    pub size: Size,
    /// The declared run time of one task at full speed.
    pub run_time: Ms,
    /// Whether its tasks go before those of jobs that are not urgent.
    pub urgent: bool,
}

/// The reply to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The change is stored and will take effect.
    Accepted,
    /// The configuration is stored, and live entries have it in force or will soon.
    Configured {
        /// The version of the stored configuration.
        version: Version,
        /// Entries that confirmed it as in force, in name order.
        in_force: Vec<Name>,
        /// Live entries that have not confirmed it yet, in name order.
        pending: Vec<Name>,
    },
    /// The result of a dry run: a line for each item that would change.
    Difference(Vec<String>),
    /// The result of a status query.
    Status(Status),
    /// The call had no effect.
    Refused(Refusal),
    /// The call may or may not take effect; send it again with the same id.
    Unknown,
}

/// Why a call had no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// This other version is in force.
    Conflict(Version),
    /// The call is invalid for this reason.
    Invalid(String),
    /// No worker can ever hold a task of the job.
    Infeasible {
        /// The resource that no worker has enough of.
        dimension: Dimension,
        /// The nearest size on offer: of a worker, or the quota of the team.
        nearest: Size,
    },
    /// There is no such job or worker.
    Missing,
    /// The call cannot be handled now: the table cannot be reached, the entry has no confirmed
    /// configuration, or no workers are known.
    Unavailable,
}

/// The state of the system as one entry knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The name of the entry that answers.
    pub entry: String,
    /// The version of the configuration in force at that entry.
    pub version: Version,
    /// Live entries in name order, the answering one included.
    pub members: Vec<Name>,
    /// All listed workers.
    pub workers: Vec<Worker>,
    /// The job that was asked for, or all jobs of which the answering entry holds a piece.
    pub jobs: Vec<Progress>,
}

/// The state of a worker in a status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// The VM of the worker.
    pub vm: Name,
    /// The entry that owns its group, if known.
    pub owner: Option<Name>,
    /// Whether it leaves: the platform announced it or an operator drained it.
    pub leaving: bool,
    /// The resources booked for tasks, zero if the answering entry does not own the worker.
    pub booked: Size,
    /// The number of booked tasks, zero if the answering entry does not own the worker.
    pub tasks: u32,
}

/// Tasks of a job by state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The name of the job.
    pub job: Name,
    /// Tasks that wait to be started.
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
