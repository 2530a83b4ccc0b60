//! Records the observations of callers, targets, workers, the table, entries and operators, and
//! checks the merged history against the invariants of the scheduler.

mod capacity;
mod config;
mod fact;
mod fleet;
mod request;
mod task;

use std::fmt;

use decision::clock::Ms;
use serde::Deserialize;
use serde::Serialize;

pub use crate::fact::Ending;
pub use crate::fact::Fact;
pub use crate::fact::Life;
pub use crate::fact::answer;

/// One observation of one observer, with its time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The time of the observation on the clock that all observers of a log share.
    pub at: Ms,
    /// The observed fact.
    pub fact: Fact,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.at, self.fact)
    }
}

/// The events of one or more observers, ordered by time. Events of the same time keep the order in
/// which they were recorded.
#[derive(Clone, Debug, Default)]
pub struct Log {
    events: Vec<Event>,
}

impl Log {
    /// Records an event. An event that is older than the last one is sorted into its place.
    pub fn push(&mut self, at: Ms, fact: Fact) {
        let late = self.events.last().is_some_and(|last| last.at > at);
        self.events.push(Event { at, fact });
        if late {
            self.events.sort_by_key(|event| event.at);
        }
    }

    /// Adds all events of another log and keeps the order by time.
    pub fn merge(&mut self, other: Self) {
        self.events.extend(other.events);
        self.events.sort_by_key(|event| event.at);
    }

    /// All events, ordered by time.
    #[must_use]
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// The time of the last event, or zero for an empty log.
    #[must_use]
    pub fn end(&self) -> Ms {
        self.events.last().map_or(Ms::ZERO, |event| event.at)
    }

    /// Whether the log holds [`Fact::Settled`], after which all accepted work has to have ended.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.events
            .iter()
            .any(|event| matches!(event.fact, Fact::Settled))
    }
}

/// The check of one invariant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// No VM is assigned more work than its capacity and slots allow.
    Capacity,
    /// No task has two running attempts at the same time.
    SinglePlace,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// Every caller gets the complete answer to its own request.
    WholeAnswer,
    /// A request refused as not run did not run.
    TrueRefusal,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work later than 3 s after it was first known to leave.
    Leaving,
    /// A planned stop cuts off no request in flight.
    GracefulStop,
    /// An accepted configuration is in force at every healthy entry within 3 s and never reverts.
    Config,
    /// Accepted batch work finishes, is cancelled or is reported infeasible, once.
    NothingLost,
}

/// A violated invariant with the events that show it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The check that found the violation.
    pub check: Check,
    /// A description of how the events violate the invariant.
    pub reason: String,
    /// The events that together violate the invariant.
    pub events: Vec<Event>,
}

impl Violation {
    fn new<'a>(check: Check, reason: &str, events: impl IntoIterator<Item = &'a Event>) -> Self {
        Self {
            check,
            reason: reason.into(),
            events: events.into_iter().cloned().collect(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.check, self.reason)?;
        self.events
            .iter()
            .try_for_each(|event| write!(f, "; {event}"))
    }
}

/// Runs every check over a merged log and returns all violations.
#[must_use]
pub fn check(log: &Log) -> Vec<Violation> {
    let checks = [
        capacity::capacity,
        task::single_place,
        task::resume_once,
        request::whole_answer,
        request::true_refusal,
        request::at_most_once,
        fleet::leaving,
        fleet::graceful_stop,
        config::config,
        task::nothing_lost,
    ];
    checks.iter().flat_map(|check| check(log)).collect()
}
