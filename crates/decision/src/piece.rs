//! Pieces of jobs, the units that are stored, assigned to groups and moved between them.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::operator::Job;

/// Maximum number of tasks in one piece.
pub const MAX_TASKS: u32 = 256;

/// A range of the tasks of a job, stored as one row and owned by one group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// The name of the piece, `job.number`, which is never reused.
    pub name: Name,
    /// The declaration of the job.
    pub job: Job,
    /// The index of the first task within the job.
    pub first: u32,
    /// The stored states of the tasks in index order.
    pub tasks: Vec<Record>,
    /// Whether the job was cancelled. Tasks that still run are stopped and recorded as cancelled.
    pub cancelled: bool,
}

/// The stored state of one task. Where a task runs is not stored; the workers report it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// The task waits or runs.
    Open {
        /// The number of the last stored attempt; 0 before the first start.
        attempt: u32,
        /// The object key of the checkpoint to resume from, if there is one.
        checkpoint: Option<String>,
        /// The number of evictions.
        evictions: u32,
        /// The number of failures that are the task's own fault.
        failures: u32,
    },
    /// The task completed.
    Done,
    /// The task was cancelled, and is confirmed not to run any more.
    Cancelled,
    /// The task failed too often and is not tried again.
    Failed,
}
