//! The interface of a worker: commands under an epoch, replies and reports, which lag behind the
//! real state.

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
    /// The number of handovers since then that did not write the row.
    pub step: u32,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.row, self.step)
    }
}

/// The state of a task attempt, as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The task's name, unique for all time: `job#index`.
    pub name: Name,
    /// The number of the attempt, which rises with every start of the task.
    pub attempt: u32,
    /// The kind of task, under which corrections of declared sizes and run times are
    /// learned.
    pub kind: Name,
    /// The resources that the worker reserves for the task and limits it to.
    pub grant: Size,
    /// The resource usage that the worker measured last.
    pub used: Size,
    /// Work done since the task's first start, in ms of full-speed run time.
    pub progress: Ms,
    /// The part of the progress that the last checkpoint covers, zero without one.
    pub saved: Ms,
    /// The share of its processors that it may use, in percent.
    pub throttle: u8,
    /// Whether the attempt runs, or how it ended.
    pub state: State,
}

/// The state of a task attempt on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// The attempt is in progress.
    Running,
    /// The task is complete; the worker keeps it until acknowledged.
    Completed,
    /// The task failed by itself; the worker keeps it until acknowledged.
    Failed(Fault),
    /// The task was stopped by a command or by the expiry of its lease; the worker keeps it until
    /// acknowledged.
    Stopped,
}

/// The reason why a task failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// The task needed more memory than its grant.
    Memory,
    /// The task exited with an error.
    Exit,
}

/// A command that an owner sends to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The sender's epoch. The worker refuses an epoch lower than the highest that it has seen.
    pub epoch: Epoch,
    /// The sending entry.
    pub owner: Name,
    /// The action to carry out.
    pub verb: Verb,
}

/// The action of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verb {
    /// Makes the sender the owner of the worker. An entry that does not own the group by the table
    /// sets `caretaker`, which the worker accepts only if its owner has sent no command for 5 s.
    Adopt {
        /// Whether the sender does not own the group by the table.
        caretaker: bool,
    },
    /// Sets the remaining lease time of every running task to `lease`, and reports.
    Renew {
        /// The remaining lease time from now on.
        lease: Ms,
    },
    /// Starts a task attempt. Starting the same attempt again has no effect.
    Start {
        /// The name of the task.
        task: Name,
        /// The number of the attempt.
        attempt: u32,
        /// The kind of task.
        kind: Name,
        /// The resources to reserve for the task and to limit it to.
        grant: Size,
        /// The object key of the checkpoint to resume from, or `None` to start from the beginning.
        from: Option<String>,
        /// The time after which the worker stops the task unless the lease is renewed.
        lease: Ms,
    },
    /// Stops a task attempt, after writing a checkpoint if a key is given.
    Stop {
        /// The name of the task.
        task: Name,
        /// The number of the attempt.
        attempt: u32,
        /// The object key of the checkpoint to write, if any.
        checkpoint: Option<String>,
    },
    /// Limits the processor share of a task.
    Throttle {
        /// The name of the task.
        task: Name,
        /// The share in percent.
        share: u8,
    },
    /// Writes a checkpoint while the task continues to run.
    Checkpoint {
        /// The name of the task.
        task: Name,
        /// The object key of the checkpoint to write.
        key: String,
    },
    /// Removes ended tasks from the worker, after their outcome was stored.
    Acknowledge {
        /// The names of the tasks with the number of the attempt.
        tasks: Vec<(Name, u32)>,
    },
}

/// The answer of a worker to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The command was carried out; holds the state of the worker afterwards.
    Done(Report),
    /// The command had no effect.
    Refused(Refusal),
}

/// The reason why a worker did not carry out a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The worker has seen this higher epoch, or the same epoch from another entry.
    Stale(Epoch),
    /// The grant does not fit into the capacity that is not reserved.
    Full,
    /// The worker has no such task attempt.
    Missing,
    /// The checkpoint could not be read or written.
    Checkpoint,
    /// The owner sent a command too recently for the worker to accept a caretaker.
    Owned,
}

/// The outcome of a command, as far as the owner can tell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker answered with this reply.
    Answered(Reply),
    /// No connection was established, so the command had no effect.
    Unsent,
    /// No answer came: the command may or may not have been carried out, or may still be.
    Unknown,
}

/// The state of a worker. The measured usage in it lags behind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The VM of the worker.
    pub vm: Name,
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The total resources of the VM.
    pub capacity: Size,
    /// The number of requests in progress.
    pub busy: u32,
    /// The number of requests in progress that were sent under a lower epoch, by former owners.
    pub former: u32,
    /// The numbers of the attempts in progress that were sent under the current epoch.
    pub attempts: Vec<u64>,
    /// The processors and the memory that services used when last measured.
    pub service: Size,
    /// The tasks on the worker, including ended ones that are not acknowledged.
    pub tasks: Vec<Task>,
}
