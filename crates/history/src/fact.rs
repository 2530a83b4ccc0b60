//! The facts that an observer can record without knowledge of other parts of the system.

use bytes::Bytes;
use decision::clock::Ms;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Call;
use decision::operator::Reply;
use decision::request::Outcome;
use decision::resource::Size;
use decision::worker::Epoch;
use serde::Deserialize;
use serde::Serialize;

/// One observed fact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// A caller sent a request. No two requests share a body, and all sendings of a request carry
    /// the same `request` number.
    Sent {
        /// The number of the request, unique within the log.
        request: u64,
        /// The number of the sending, counted from 0 for each request.
        sending: u32,
        /// The entry to which the caller sent it.
        entry: Name,
        /// Whether the request may run more than once.
        repeatable: bool,
        /// The time from this sending on after which the caller no longer needs an outcome.
        deadline: Ms,
        /// The body of the request.
        body: Bytes,
    },
    /// A caller received the outcome of a sending, or its connection broke or stayed silent.
    Received {
        /// The number of the request, as in [`Fact::Sent`].
        request: u64,
        /// The number of the sending, as in [`Fact::Sent`].
        sending: u32,
        /// The outcome, absent when the connection broke or stayed silent.
        outcome: Option<Outcome>,
    },
    /// A target began to run a request.
    RunStarted {
        /// The VM of the target.
        vm: Name,
        /// The id of the attempt, unique over all entries.
        id: String,
        /// The epoch that the sender gave with the request.
        epoch: Epoch,
        /// The body of the request.
        body: Bytes,
    },
    /// A run ended on a target, either with an answer or because the sender gave up.
    RunEnded {
        /// The VM of the target.
        vm: Name,
        /// The id of the attempt, as in [`Fact::RunStarted`].
        id: String,
    },
    /// A worker started.
    Worker {
        /// The VM of the worker.
        vm: Name,
        /// The total capacity of the VM.
        capacity: Size,
        /// The part of the capacity that is reserved for services.
        reserved: Size,
        /// The number of requests that it can run at the same time.
        slots: u32,
    },
    /// A worker's VM crashed, and all its tasks and requests ended with it.
    WorkerCrashed {
        /// The VM of the worker.
        vm: Name,
    },
    /// A worker received, under a valid epoch, work for which it had no free capacity or slot.
    Overfull {
        /// The VM of the worker.
        vm: Name,
        /// The id of the request's attempt, or the name of the task.
        work: String,
    },
    /// A worker started an attempt of a task.
    TaskStarted {
        /// The VM of the worker.
        vm: Name,
        /// The task, named after its job and its index.
        task: Name,
        /// The number of the attempt.
        attempt: u32,
        /// The resources that are reserved for the attempt.
        grant: Size,
        /// The key of the checkpoint that it resumed from, absent when it began anew.
        from: Option<String>,
    },
    /// A worker wrote a checkpoint.
    Checkpointed {
        /// The VM of the worker.
        vm: Name,
        /// The task, named after its job and its index.
        task: Name,
        /// The number of the attempt.
        attempt: u32,
        /// The key of the checkpoint in the object store.
        key: String,
    },
    /// An attempt of a task ended on a worker.
    TaskEnded {
        /// The VM of the worker.
        vm: Name,
        /// The task, named after its job and its index.
        task: Name,
        /// The number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        ending: Ending,
    },
    /// A worker was told that the outcome of an attempt is stored.
    Acknowledged {
        /// The VM of the worker.
        vm: Name,
        /// The task, named after its job and its index.
        task: Name,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The VM list showed a VM for the first time or with another state than before.
    Listed {
        /// The VM in the list.
        vm: Name,
        /// Whether the list shows the VM as leaving.
        leaving: bool,
    },
    /// The table stored a configuration.
    Stored {
        /// The version of the configuration.
        version: Version,
    },
    /// The table stored the outcome of a task.
    Recorded {
        /// The task, named after its job and its index.
        task: Name,
        /// The stored outcome of the task.
        ending: Ending,
    },
    /// The store became healthy or stopped being healthy.
    Store {
        /// Whether the store answers every operation in time.
        healthy: bool,
    },
    /// Another configuration came into force at an entry.
    InForce {
        /// The name of the entry.
        entry: Name,
        /// The version that came into force.
        version: Version,
    },
    /// The process of an entry changed its state.
    Entry {
        /// The name of the entry.
        entry: Name,
        /// The change of the process's state.
        life: Life,
    },
    /// An operator sent a call.
    Called {
        /// The call with its id and action.
        call: Call,
    },
    /// An operator received a reply.
    Replied {
        /// The id of the call.
        call: Name,
        /// The reply that the operator received.
        reply: Reply,
    },
    /// Every task of a job finishes on any working worker that grants what the task needs, and at
    /// least one worker can grant it.
    Feasible {
        /// The name of the job.
        job: Name,
    },
    /// The run is over, and all accepted work had enough time and capacity to end before it.
    Settled,
}

/// How an attempt of a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Ending {
    /// The attempt finished its work.
    Completed,
    /// The task itself failed.
    Failed,
    /// The attempt was stopped by a command, by the expiry of its lease or by cancellation.
    Stopped,
}

/// A change of the state of an entry's process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Life {
    /// The process started.
    Started,
    /// A planned stop of the process began.
    Stopping,
    /// The planned stop finished, and the process exited.
    Exited,
    /// The process ended without a planned stop.
    Crashed,
    /// The process was suspended and does nothing until it is resumed.
    Paused,
    /// The process continues after a pause.
    Resumed,
}

/// Returns the answer that a target of a checked run gives to a request body. The answer contains
/// the body between two markers, so that a swapped or truncated answer is detected.
#[must_use]
pub fn answer(body: &[u8]) -> Bytes {
    let mut framed = b"answer:".to_vec();
    framed.extend_from_slice(body);
    framed.extend_from_slice(b":end");
    framed.into()
}
