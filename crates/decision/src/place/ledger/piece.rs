//! Held pieces with the states of their tasks.

use crate::clock::Ms;
use crate::name::Name;
use crate::operator::Job;
use crate::task::Any;

/// The key of a task of a held piece.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The index of the piece in [`Ledger::pieces`].
    pub piece: u32,
    /// The index of the task within the piece.
    pub task: u16,
}

/// The pending acknowledgement of an ended attempt, which its worker keeps until then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// The index of the worker that reported the end.
    pub worker: u32,
    /// The index of the task within the piece.
    pub task: u16,
    /// The number of the attempt.
    pub attempt: u32,
    /// The number of the piece's change that must be stored before.
    pub change: u64,
    /// The earliest time to acknowledge. A late start of the attempt can still arrive before, and
    /// would run the task again if the worker had removed the attempt.
    pub not_before: Ms,
}

/// A held piece with the current states of its tasks.
#[derive(Debug)]
pub struct Piece {
    /// The name of the piece, `job.number`.
    pub name: Name,
    /// The index of its group in [`Ledger::groups`].
    pub group: u32,
    /// The declaration of the job.
    pub job: Job,
    /// The index of the first task within the job.
    pub first: u32,
    /// The states of the tasks in index order.
    pub tasks: Vec<Any>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the piece was stored before the group was taken over, so that freezing applies.
    pub old: bool,
    /// The number of changes made to the piece.
    pub change: u64,
    /// The number of changes that the outstanding store covers; `None` if no store is outstanding.
    pub ordered: Option<u64>,
    /// Whether the piece is listed for the next round of stores.
    pub queued: bool,
    /// The number of changes known to be stored.
    pub stored: u64,
    /// Acknowledgements that are not yet due.
    pub acks: Vec<Ack>,
}
