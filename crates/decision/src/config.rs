//! The configuration in force: services, teams and limits.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;

/// Rises by one with every accepted change.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(pub u64);

/// A latency-critical service that every worker runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// What each worker keeps free for the service.
    pub reserved: Size,
    /// Requests that may wait at one entry.
    pub queue: u32,
    /// The deadline of a request that brings none.
    pub deadline: Ms,
    /// After this time without an answer an attempt has failed.
    pub attempt: Ms,
}

/// A team that submits work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// The team's name.
    pub name: Name,
    /// The most that its tasks may hold together.
    pub quota: Size,
    /// Its share of contended capacity.
    pub weight: u32,
}

/// Limits that operators may change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Retries per hundred first attempts.
    pub retries: u32,
    /// Hedges per hundred first attempts.
    pub hedges: u32,
    /// Evictions of one task, after which it is only throttled.
    pub evictions: u32,
    /// Service slowdown in percent above which batch work on the worker is held back.
    pub slowdown: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retries: 10,
            hedges: 5,
            evictions: 2,
            slowdown: 150,
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Services in name order.
    pub services: Vec<Service>,
    /// Teams in name order.
    pub teams: Vec<Team>,
    /// Limits.
    pub limits: Limits,
}

quick_error! {
    /// Why a document is not acceptable.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A name occurs twice.
        Duplicate(name: Name) {
            display("{} is declared twice", name)
        }
        /// A value is outside its range.
        Range(name: Name, field: &'static str) {
            display("{}: {} is out of range", name, field)
        }
        /// A limit is outside its range.
        Limit(field: &'static str) {
            display("limits: {} is out of range", field)
        }
    }
}

/// A document that has been checked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Checked(Document);

impl Checked {
    /// The document.
    #[must_use]
    pub const fn document(&self) -> &Document {
        &self.0
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.0
            .services
            .iter()
            .find(|service| &*service.name == name)
    }

    /// The team of that name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.0.teams.iter().find(|team| &*team.name == name)
    }
}

impl TryFrom<Document> for Checked {
    type Error = Error;

    fn try_from(raw: Document) -> Result<Self, Error> {
        unique(raw.services.iter().map(|service| &service.name))?;
        unique(raw.teams.iter().map(|team| &team.name))?;
        raw.services.iter().try_for_each(check_service)?;
        raw.teams.iter().try_for_each(check_team)?;
        check_limits(&raw.limits)?;
        Ok(Self(raw))
    }
}

fn unique<'a>(names: impl Iterator<Item = &'a Name>) -> Result<(), Error> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(Error::Duplicate(name.clone()));
        }
    }
    Ok(())
}

fn check_service(service: &Service) -> Result<(), Error> {
    let range = |good, field| in_range(good, &service.name, field);
    range((1..=100_000).contains(&service.queue), "queue")?;
    range((1..=3_600_000).contains(&service.deadline.0), "deadline_ms")?;
    range(
        (1..=service.deadline.0).contains(&service.attempt.0),
        "attempt_ms",
    )
}

fn check_team(team: &Team) -> Result<(), Error> {
    in_range((1..=1_000).contains(&team.weight), &team.name, "weight")
}

fn check_limits(limits: &Limits) -> Result<(), Error> {
    let range = |good: bool, field| {
        if good {
            Ok(())
        } else {
            Err(Error::Limit(field))
        }
    };
    range(limits.retries <= 100, "retries")?;
    range(limits.hedges <= 100, "hedges")?;
    range(limits.evictions <= 100, "evictions")?;
    range((100..=10_000).contains(&limits.slowdown), "slowdown")
}

fn in_range(good: bool, name: &Name, field: &'static str) -> Result<(), Error> {
    if good {
        Ok(())
    } else {
        Err(Error::Range(name.clone(), field))
    }
}
