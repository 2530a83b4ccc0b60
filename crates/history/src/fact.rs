//! What each observer can see by itself.

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

/// One observation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fact {
    /// A caller sent a request. Every request has a body of its own; all its sendings belong to
    /// the same `request`.
    Sent {
        /// The request, unique within the log.
        request: u64,
        /// Counts the sendings of the request from 0.
        sending: u32,
        /// The entry to which it was sent.
        entry: Name,
        /// Whether the request may run more than once.
        repeatable: bool,
        /// The time after which the caller expects no outcome any more.
        deadline: Ms,
        /// The contents.
        body: Bytes,
    },
    /// A caller learned how a sending ended; `None` is a broken or silent connection.
    Received {
        /// The request.
        request: u64,
        /// The sending.
        sending: u32,
        /// The outcome.
        outcome: Option<Outcome>,
    },
    /// A target began to run a request.
    RunStarted {
        /// The target.
        vm: Name,
        /// The id of the attempt.
        id: String,
        /// The epoch sent along.
        epoch: Epoch,
        /// The contents.
        body: Bytes,
    },
    /// A target ended a run, by an answer or because the sender gave up.
    RunEnded {
        /// The target.
        vm: Name,
        /// The id of the attempt.
        id: String,
    },
    /// A worker started.
    Worker {
        /// The worker.
        vm: Name,
        /// What it has.
        capacity: Size,
        /// What it keeps free for services.
        reserved: Size,
        /// How many requests it serves at once.
        slots: u32,
    },
    /// A worker's VM died with everything on it.
    WorkerCrashed {
        /// The worker.
        vm: Name,
    },
    /// A worker was sent, under a valid epoch, work that it had no room for.
    Overfull {
        /// The worker.
        vm: Name,
        /// The request or task.
        work: String,
    },
    /// A worker started an attempt of a task.
    TaskStarted {
        /// The worker.
        vm: Name,
        /// The task.
        task: Name,
        /// The attempt.
        attempt: u32,
        /// What is reserved for it.
        grant: Size,
        /// The checkpoint that it resumed from.
        from: Option<String>,
    },
    /// A worker wrote a checkpoint.
    Checkpointed {
        /// The worker.
        vm: Name,
        /// The task.
        task: Name,
        /// The attempt.
        attempt: u32,
        /// The object key.
        key: String,
    },
    /// An attempt of a task ended on a worker.
    TaskEnded {
        /// The worker.
        vm: Name,
        /// The task.
        task: Name,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        ending: Ending,
    },
    /// A worker was told that the outcome of an attempt is stored.
    Acknowledged {
        /// The worker.
        vm: Name,
        /// The task.
        task: Name,
        /// The attempt.
        attempt: u32,
    },
    /// The VM list showed a VM, recorded when its state changed.
    Listed {
        /// The VM.
        vm: Name,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The table took in a configuration.
    Stored {
        /// Its version.
        version: Version,
    },
    /// The table took in the outcome of a task.
    Recorded {
        /// The task.
        task: Name,
        /// How the table says it ended.
        ending: Ending,
    },
    /// The store became healthy, or is down or slow from now on.
    Store {
        /// Whether it answers in time.
        healthy: bool,
    },
    /// A configuration is in force at an entry, recorded when it changed.
    InForce {
        /// The entry.
        entry: Name,
        /// The version.
        version: Version,
    },
    /// The life cycle of an entry's process.
    Entry {
        /// The entry.
        entry: Name,
        /// What happened to it.
        life: Life,
    },
    /// An operator sent a call.
    Called {
        /// The call.
        call: Call,
    },
    /// An operator got a reply.
    Replied {
        /// The call's id.
        call: Name,
        /// The reply.
        reply: Reply,
    },
    /// Every task of a job ends by itself on any working worker that grants what it needs, and some
    /// worker can.
    Feasible {
        /// The job.
        job: Name,
    },
    /// No accepted work may be left over from here on: there was time and room for all of it.
    Settled,
}

/// How an attempt of a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Ending {
    /// It finished its work.
    Completed,
    /// It failed by itself.
    Failed,
    /// It was stopped by command, by the lapse of its lease, or by cancellation.
    Stopped,
}

/// What happened to an entry's process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Life {
    /// It started, and was not running before.
    Started,
    /// A planned stop began.
    Stopping,
    /// The planned stop ended.
    Exited,
    /// It died.
    Crashed,
    /// It stands still.
    Paused,
    /// It goes on after a pause.
    Resumed,
}

/// The answer that a target of a checked run gives to a body, so that a mixed-up or truncated
/// answer is recognised.
#[must_use]
pub fn answer(body: &[u8]) -> Bytes {
    let mut framed = b"answer:".to_vec();
    framed.extend_from_slice(body);
    framed.extend_from_slice(b":end");
    framed.into()
}
