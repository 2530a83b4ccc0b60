//! Checks and builds the values of the schema.

use decision::clock::Ms;
use decision::config;
use decision::config::Document;
use decision::name;
use decision::name::Name;
use decision::operator::Job;
use decision::resource::Dimension;
use decision::resource::Size;
use decision::timeline;
use quick_error::quick_error;
use schema::v1;

quick_error! {
    /// Why a message of the schema has no meaning here.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A field is not a name.
        Name(field: &'static str, error: name::Error) {
            display("{}: {}", field, error)
        }
        /// A field is absent.
        Absent(field: &'static str) {
            display("{}: absent", field)
        }
        /// A field holds a value outside its range.
        Range(field: &'static str) {
            display("{}: out of range", field)
        }
        /// A field holds an unknown kind of event.
        Kind(error: timeline::Error) {
            from()
            display("kind: {}", error)
        }
    }
}

/// A name in the field.
pub(crate) fn name(field: &'static str, raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|error| Error::Name(field, error))
}

/// A name in the field, or none when it is empty.
pub(crate) fn optional(field: &'static str, raw: &str) -> Result<Option<Name>, Error> {
    if raw.is_empty() {
        return Ok(None);
    }
    name(field, raw).map(Some)
}

/// A message in the field.
pub(crate) fn present<T>(field: &'static str, raw: Option<T>) -> Result<T, Error> {
    raw.ok_or(Error::Absent(field))
}

/// The amounts; absent is none.
pub(crate) fn size(raw: Option<v1::Size>) -> Size {
    raw.map_or(Size::ZERO, |raw| Size {
        millicores: raw.millicores,
        memory_mb: raw.memory_mb,
        accelerators: raw.accelerators,
    })
}

/// The amounts for the wire.
pub(crate) const fn raw_size(size: Size) -> v1::Size {
    v1::Size {
        millicores: size.millicores,
        memory_mb: size.memory_mb,
        accelerators: size.accelerators,
    }
}

/// The dimension for the wire.
pub(crate) const fn raw_dimension(dimension: Dimension) -> v1::Dimension {
    match dimension {
        Dimension::Processors => v1::Dimension::Processors,
        Dimension::Memory => v1::Dimension::Memory,
        Dimension::Accelerators => v1::Dimension::Accelerators,
    }
}

/// The dimension in a field.
pub(crate) fn dimension(raw: i32) -> Result<Dimension, Error> {
    match v1::Dimension::try_from(raw) {
        Ok(v1::Dimension::Processors) => Ok(Dimension::Processors),
        Ok(v1::Dimension::Memory) => Ok(Dimension::Memory),
        Ok(v1::Dimension::Accelerators) => Ok(Dimension::Accelerators),
        Ok(v1::Dimension::Unspecified) | Err(_) => Err(Error::Range("dimension")),
    }
}

/// A job.
pub(crate) fn job(raw: v1::Job) -> Result<Job, Error> {
    if raw.tasks == 0 {
        return Err(Error::Range("job.tasks"));
    }
    Ok(Job {
        name: name("job.name", &raw.name)?,
        team: name("job.team", &raw.team)?,
        kind: name("job.kind", &raw.kind)?,
        tasks: raw.tasks,
        size: size(raw.size),
        run_time: Ms(raw.run_time_ms),
        urgent: raw.urgent,
    })
}

/// The job for the wire.
pub(crate) fn raw_job(job: &Job) -> v1::Job {
    v1::Job {
        name: job.name.to_string(),
        team: job.team.to_string(),
        kind: job.kind.to_string(),
        tasks: job.tasks,
        size: Some(raw_size(job.size)),
        run_time_ms: job.run_time.0,
        urgent: job.urgent,
    }
}

/// A configuration document. Its ranges are checked where it is accepted.
pub(crate) fn document(raw: v1::Document) -> Result<Document, Error> {
    let services = raw.services.into_iter().map(service);
    let teams = raw.teams.into_iter().map(team);
    Ok(Document {
        services: services.collect::<Result<_, _>>()?,
        teams: teams.collect::<Result<_, _>>()?,
        limits: raw
            .limits
            .map_or_else(config::Limits::default, |raw| config::Limits {
                retries: raw.retries,
                hedges: raw.hedges,
                evictions: raw.evictions,
                slowdown: raw.slowdown,
            }),
    })
}

fn service(raw: v1::Service) -> Result<config::Service, Error> {
    Ok(config::Service {
        name: name("service.name", &raw.name)?,
        reserved: size(raw.reserved),
        queue: raw.queue,
        deadline: Ms(raw.deadline_ms),
        attempt: Ms(raw.attempt_ms),
    })
}

fn team(raw: v1::Team) -> Result<config::Team, Error> {
    Ok(config::Team {
        name: name("team.name", &raw.name)?,
        quota: size(raw.quota),
        weight: raw.weight,
    })
}

/// The document for the wire.
pub(crate) fn raw_document(document: &Document) -> v1::Document {
    let limits = &document.limits;
    v1::Document {
        services: document.services.iter().map(raw_service).collect(),
        teams: document.teams.iter().map(raw_team).collect(),
        limits: Some(v1::Limits {
            retries: limits.retries,
            hedges: limits.hedges,
            evictions: limits.evictions,
            slowdown: limits.slowdown,
        }),
    }
}

fn raw_service(service: &config::Service) -> v1::Service {
    v1::Service {
        name: service.name.to_string(),
        reserved: Some(raw_size(service.reserved)),
        queue: service.queue,
        deadline_ms: service.deadline.0,
        attempt_ms: service.attempt.0,
    }
}

fn raw_team(team: &config::Team) -> v1::Team {
    v1::Team {
        name: team.name.to_string(),
        quota: Some(raw_size(team.quota)),
        weight: team.weight,
    }
}
