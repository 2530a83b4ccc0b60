//! The time line: every decision and life-cycle event with its cause.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::name::Name;

/// One event of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The entry.
    pub entry: Name,
    /// Rises with each event of the entry and jumps over values received from peers.
    pub lamport: u64,
    /// When, by the entry's clock.
    pub at: Ms,
    /// What happened.
    pub note: Note,
}

/// What happened, as a decision part reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Note {
    /// What happened, from a fixed list such as `task-started`.
    pub kind: Kind,
    /// What it happened to: a request, task, VM, group, entry or job.
    pub subject: String,
    /// The VM concerned, if any.
    pub vm: Option<Name>,
    /// The epoch concerned, if any.
    pub epoch: Option<crate::worker::Epoch>,
    /// Why.
    pub cause: String,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An entry started.
    EntryStarted,
    /// An entry began its graceful shutdown.
    EntryStopping,
    /// A member was seen for the first time.
    MemberJoined,
    /// A member was not heard of for too long, or left.
    MemberLost,
    /// The ownership of a group was taken.
    GroupTaken,
    /// The ownership of a group was lost or handed over.
    GroupReleased,
    /// A worker accepted an epoch.
    WorkerAdopted,
    /// A worker or target was quarantined.
    Quarantined,
    /// A quarantined worker or target returned.
    Restored,
    /// A worker or target is leaving.
    Leaving,
    /// A request was refused as not run.
    RequestRefused,
    /// An attempt of a request failed.
    AttemptFailed,
    /// A request ended with an unknown outcome.
    RequestUnknown,
    /// A job was accepted.
    JobAccepted,
    /// A job was cancelled.
    JobCancelled,
    /// A task was started.
    TaskStarted,
    /// A task was throttled.
    TaskThrottled,
    /// A task was evicted.
    TaskEvicted,
    /// A task resumed from a checkpoint.
    TaskResumed,
    /// A task was done.
    TaskDone,
    /// A task failed.
    TaskFailed,
    /// A configuration came into force.
    ConfigInForce,
    /// The store stopped answering.
    StoreLost,
    /// The store answers again.
    StoreBack,
}
