//! The timeline: every decision and life cycle event with its cause.

use std::fmt;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde::de::IntoDeserializer;
use serde::de::value;

use crate::clock::Ms;
use crate::name::Name;

/// An event that one entry recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The entry that recorded the event.
    pub entry: Name,
    /// The Lamport counter of the entry, which rises with each of its events and above every value
    /// received from peers.
    pub lamport: u64,
    /// The time of the event by the entry's clock.
    pub at: Ms,
    /// The kind, subject and cause of the event.
    pub note: Note,
}

/// The contents of an event, as the decision logic reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Note {
    /// The kind of event.
    pub kind: Kind,
    /// The name of the request, task, VM, group, entry, job or configuration that the event is
    /// about.
    pub subject: String,
    /// The VM that is involved, if any.
    pub vm: Option<Name>,
    /// The epoch that is involved, if any.
    pub epoch: Option<crate::worker::Epoch>,
    /// The reason for the event, as text for operators.
    pub cause: String,
}

/// The kinds of events. In text a kind is written in kebab case, such as `task-started`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An entry processed its first tick.
    EntryStarted,
    /// An entry began its graceful shutdown.
    EntryStopping,
    /// A member joined or became live again.
    MemberJoined,
    /// A member had no newer record for too long, or it is stopping.
    MemberLost,
    /// An entry began to command a group.
    GroupTaken,
    /// An entry lost a group or handed it over.
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
    /// An attempt of a request failed, and the request is sent again.
    AttemptFailed,
    /// A request ended with an unknown outcome.
    RequestUnknown,
    /// A job was stored together with the call that submitted it.
    JobAccepted,
    /// The cancellation of a job was stored; its tasks may still run for a short time.
    JobCancelled,
    /// A task was placed on a worker, to run from the beginning.
    TaskStarted,
    /// A kind of task was throttled on a worker to protect a service. The subject is the kind.
    TaskThrottled,
    /// The eviction of a task was ordered, to protect a service or its reservation.
    TaskEvicted,
    /// A task was placed on a worker, to resume from a checkpoint.
    TaskResumed,
    /// A worker reported a task as complete.
    TaskDone,
    /// A task failed too often and is not tried again.
    TaskFailed,
    /// A configuration came into force.
    ConfigInForce,
    /// A table operation failed after the last one had succeeded.
    StoreLost,
    /// A table operation succeeded after the last one had failed.
    StoreBack,
}

quick_error! {
    /// The reason why a string cannot be parsed as a kind.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The string is not the name of a kind.
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

/// Selects events by all criteria that are set. An empty filter selects every event.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Filter {
    /// Selects events whose subject has this name, or is a task of the job with this name.
    pub subject: Option<String>,
    /// Selects events that involve this VM.
    pub vm: Option<Name>,
    /// Selects events of this kind.
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
