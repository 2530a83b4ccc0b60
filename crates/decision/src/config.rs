//! The configuration: services, teams and limits.

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;

/// The version of a configuration, which rises by one with every accepted change.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(pub u64);

/// A latency-critical service that every worker runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The name, unique among services.
    pub name: Name,
    /// The resources that each worker reserves for the service.
    pub reserved: Size,
    /// The maximum number of requests that may wait at one entry, from 1 to 100000.
    pub queue: u32,
    /// The deadline of a request that sets none, from 1 ms to 1 h.
    pub deadline: Ms,
    /// An attempt has failed after this time without an answer; at most the deadline.
    pub attempt: Ms,
}

/// A team that submits work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// The name, unique among teams.
    pub name: Name,
    /// The largest total size that the running tasks of the team may hold.
    pub quota: Size,
    /// The relative share of contended capacity, from 1 to 1000.
    pub weight: u32,
}

/// Limits that operators may change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Retries per hundred first attempts, at most 100.
    pub retries: u32,
    /// Hedges per hundred first attempts, at most 100.
    pub hedges: u32,
    /// Evictions of one task, at most 100, after which it is only throttled.
    pub evictions: u32,
    /// Service slowdown in percent, from 100 to 10000, above which batch work on the worker is held
    /// back.
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

/// A complete configuration, which may not have been checked.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// The services in name order.
    pub services: Vec<Service>,
    /// The teams in name order.
    pub teams: Vec<Team>,
    /// The limits for all services and teams.
    pub limits: Limits,
}

quick_error! {
    /// The reason why a document is invalid.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A name occurs twice among the services or among the teams.
        Duplicate(name: Name) {
            display("{} is declared twice", name)
        }
        /// A value of this service or team is outside its range.
        Range(name: Name, field: &'static str) {
            display("{}: {} is out of range", name, field)
        }
        /// A limit is outside its range.
        Limit(field: &'static str) {
            display("limits: {} is out of range", field)
        }
    }
}

/// A document whose names are unique and whose values are in range.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Checked(Document);

impl Checked {
    /// The checked document.
    #[must_use]
    pub const fn document(&self) -> &Document {
        &self.0
    }

    /// The service with this name, or `None` if it is not configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.0
            .services
            .iter()
            .find(|service| &*service.name == name)
    }

    /// The team with this name, or `None` if it is not configured.
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
