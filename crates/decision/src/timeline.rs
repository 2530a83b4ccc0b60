//! The time line: every decision and life-cycle event with its cause.

use std::fmt;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde::de::IntoDeserializer;
use serde::de::value;

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

quick_error! {
    /// Why a raw string is not a kind.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// There is no such kind.
        Kind(reason: String) {
            display("{}", reason)
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl TryFrom<&str> for Kind {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        Self::deserialize(raw.into_deserializer())
            .map_err(|error: value::Error| Error::Kind(error.to_string()))
    }
}

/// Selects events; an empty filter selects all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Filter {
    /// Events whose subject is this request or job, or a task of this job.
    pub subject: Option<String>,
    /// Events on this VM.
    pub vm: Option<Name>,
    /// Events of this kind.
    pub kind: Option<Kind>,
}

impl Filter {
    /// Whether the filter selects the event.
    #[must_use]
    pub fn selects(&self, event: &Event) -> bool {
        let note = &event.note;
        let subject = |wanted: &String| {
            let rest = note.subject.strip_prefix(wanted.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('#'))
        };
        self.subject.as_ref().is_none_or(subject)
            && self.kind.is_none_or(|kind| kind == note.kind)
            && (self.vm.is_none() || self.vm == note.vm)
    }
}
