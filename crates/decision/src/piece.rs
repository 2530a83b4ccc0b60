//! Pieces of jobs: the unit that is stored, assigned to a group and moved between groups.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::operator::Job;

/// The most tasks in one piece.
pub const MAX_TASKS: u32 = 256;

/// Some tasks of a job, stored as one row and owned by one group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// The piece's name, `job.number`, unique for all time.
    pub name: Name,
    /// The job.
    pub job: Job,
    /// The index within the job of the first task.
    pub first: u32,
    /// The tasks in index order.
    pub tasks: Vec<Record>,
    /// Whether the job was cancelled: what still runs is stopped and recorded as cancelled.
    pub cancelled: bool,
}

/// What is stored of one task. Which tasks run where is known by the workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Waits or runs.
    Open {
        /// The attempt used last; 0 before the first start.
        attempt: u32,
        /// The object key of the checkpoint to resume from.
        checkpoint: Option<String>,
        /// How often it was evicted.
        evictions: u32,
        /// How often it failed by itself.
        failures: u32,
    },
    /// Finished.
    Done,
    /// Cancelled and confirmed not to run.
    Cancelled,
    /// Failed for good.
    Failed,
}
