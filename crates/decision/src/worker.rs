//! The interface of a worker: commands under an epoch, replies and lagging reports.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;

/// The fencing token of a group's ownership, compared by row version and then by step.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Epoch {
    /// The version of the group's row when the ownership was taken.
    pub row: u64,
    /// How many times the ownership moved since without the table.
    pub step: u32,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.row, self.step)
    }
}

/// A task on a worker, as the worker sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The task's name, unique for all time: `job#index`.
    pub name: Name,
    /// The attempt, rising with every start of the task.
    pub attempt: u32,
    /// The kind, which selects what is learned about the task.
    pub kind: Name,
    /// What the worker reserves and enforces.
    pub grant: Size,
    /// What the worker last measured.
    pub used: Size,
    /// Work done since the task's first start, in ms of full-speed run time.
    pub progress: Ms,
    /// Work covered by the last checkpoint.
    pub saved: Ms,
    /// The share of its processors that it may use, in percent.
    pub throttle: u8,
    /// How it stands.
    pub state: State,
}

/// How a task on a worker stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// In progress.
    Running,
    /// Finished; kept until acknowledged.
    Completed,
    /// Ended by itself; kept until acknowledged.
    Failed(Fault),
    /// Stopped by command or by the lapse of its lease; kept until acknowledged.
    Stopped,
}

/// Why a task failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// It needed more memory than its grant.
    Memory,
    /// It ended with an error.
    Exit,
}

/// What an owner asks of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The sender's epoch; the worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// The sending entry.
    pub owner: Name,
    /// What to do.
    pub verb: Verb,
}

/// The part of a command that says what to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verb {
    /// Takes over the worker; `caretaker` asks for it without the table, which the worker grants
    /// only when its owner has been silent for 5 s.
    Adopt {
        /// Whether the sender has no ownership in the table.
        caretaker: bool,
    },
    /// Extends the lease of every running task by `lease`, and reports.
    Renew {
        /// The new remaining lease time.
        lease: Ms,
    },
    /// Starts a task. Starting the same attempt again has no effect.
    Start {
        /// The task.
        task: Name,
        /// The attempt.
        attempt: u32,
        /// The kind.
        kind: Name,
        /// What to reserve.
        grant: Size,
        /// The checkpoint to resume from.
        from: Option<String>,
        /// The lease time.
        lease: Ms,
    },
    /// Stops a task, after writing a checkpoint to `checkpoint` if given.
    Stop {
        /// The task.
        task: Name,
        /// The attempt.
        attempt: u32,
        /// The object key of the checkpoint.
        checkpoint: Option<String>,
    },
    /// Limits the processor share of a task.
    Throttle {
        /// The task.
        task: Name,
        /// The share in percent.
        share: u8,
    },
    /// Writes a checkpoint and goes on.
    Checkpoint {
        /// The task.
        task: Name,
        /// The object key.
        key: String,
    },
    /// Forgets ended tasks whose outcome is stored.
    Acknowledge {
        /// The tasks with their attempts.
        tasks: Vec<(Name, u32)>,
    },
}

/// What a worker answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The command was carried out; here is the worker's state.
    Done(Report),
    /// The command had no effect.
    Refused(Refusal),
}

/// Why a worker did not carry out a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// A higher epoch has been seen.
    Stale(Epoch),
    /// The grant does not fit beside what is reserved.
    Full,
    /// There is no such task attempt.
    Missing,
    /// The checkpoint could not be read or written.
    Checkpoint,
    /// The owner has not been silent for long enough.
    Owned,
}

/// How a command ended, as far as the owner can tell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker answered.
    Answered(Reply),
    /// No connection was established, so the command had no effect.
    Unsent,
    /// No answer came: the command may or may not have been carried out, or may still be.
    Unknown,
}

/// A worker's state; usage lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The worker.
    pub vm: Name,
    /// The highest epoch seen.
    pub epoch: Epoch,
    /// What the VM has.
    pub capacity: Size,
    /// Requests in progress.
    pub busy: u32,
    /// Those of them that were sent under a lower epoch, by former owners.
    pub former: u32,
    /// Processors and memory used by services when last measured.
    pub service: Size,
    /// Tasks present, ended ones included until acknowledged.
    pub tasks: Vec<Task>,
}
