//! Records what callers, targets, workers, table, entries and operators saw, and checks the
//! merged history against the promises.

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

/// One thing that one observer saw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When, on the time axis that all observers of a log share.
    pub at: Ms,
    /// What was seen.
    pub fact: Fact,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.at, self.fact)
    }
}

/// What one or more observers saw, in the order of time; equal times keep the order of recording.
#[derive(Clone, Debug, Default)]
pub struct Log {
    events: Vec<Event>,
}

impl Log {
    /// Records an event.
    pub fn push(&mut self, at: Ms, fact: Fact) {
        let late = self.events.last().is_some_and(|last| last.at > at);
        self.events.push(Event { at, fact });
        if late {
            self.events.sort_by_key(|event| event.at);
        }
    }

    /// Adds everything that another observer saw.
    pub fn merge(&mut self, other: Self) {
        self.events.extend(other.events);
        self.events.sort_by_key(|event| event.at);
    }

    /// All events in order.
    #[must_use]
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// The time of the last event.
    #[must_use]
    pub fn end(&self) -> Ms {
        self.events.last().map_or(Ms::ZERO, |event| event.at)
    }

    /// Whether the recording ended at a point at which no accepted work may be left over.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.events
            .iter()
            .any(|event| matches!(event.fact, Fact::Settled))
    }
}

/// The name of a promise's check.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Check {
    /// No VM is assigned more work than it can hold.
    Capacity,
    /// A task never runs in two places at once.
    SinglePlace,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// Every caller gets the complete answer to its own request.
    WholeAnswer,
    /// A request refused as not run did not run.
    TrueRefusal,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work after a few seconds.
    Leaving,
    /// A planned stop cuts off no request in flight.
    GracefulStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Config,
    /// Accepted batch work finishes, is cancelled or is reported infeasible, once.
    NothingLost,
}

/// Events that break a promise together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The promise's check.
    pub check: Check,
    /// What is wrong with the events.
    pub reason: String,
    /// The events.
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

/// Runs every check over a merged log.
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
