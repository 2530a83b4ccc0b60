//! Converts values between the schema and the decision logic.

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
    /// Why a message of the schema cannot be decoded.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A field is not a valid name.
        Name(field: &'static str, error: name::Error) {
            display("{}: {}", field, error)
        }
        /// A required field is absent.
        Absent(field: &'static str) {
            display("{}: absent", field)
        }
        /// The value of a field is out of range.
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

/// Decodes a name; `field` names the field in an error.
pub(crate) fn decode_name(field: &'static str, raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|error| Error::Name(field, error))
}

/// Decodes an optional name. An empty field is `None`.
pub(crate) fn decode_optional_name(field: &'static str, raw: &str) -> Result<Option<Name>, Error> {
    if raw.is_empty() {
        return Ok(None);
    }
    decode_name(field, raw).map(Some)
}

/// Returns the message in a required field.
pub(crate) fn required<T>(field: &'static str, raw: Option<T>) -> Result<T, Error> {
    raw.ok_or(Error::Absent(field))
}

/// Decodes an amount of resources. An absent amount is zero.
pub(crate) fn decode_size(raw: Option<v1::Size>) -> Size {
    raw.map_or(Size::ZERO, |raw| Size {
        millicores: raw.millicores,
        memory_mb: raw.memory_mb,
        accelerators: raw.accelerators,
    })
}

/// Encodes an amount of resources.
pub(crate) const fn encode_size(size: Size) -> v1::Size {
    v1::Size {
        millicores: size.millicores,
        memory_mb: size.memory_mb,
        accelerators: size.accelerators,
    }
}

/// Encodes a dimension.
pub(crate) const fn encode_dimension(dimension: Dimension) -> v1::Dimension {
    match dimension {
        Dimension::Processors => v1::Dimension::Processors,
        Dimension::Memory => v1::Dimension::Memory,
        Dimension::Accelerators => v1::Dimension::Accelerators,
    }
}

/// Decodes a dimension.
pub(crate) fn decode_dimension(raw: i32) -> Result<Dimension, Error> {
    match v1::Dimension::try_from(raw) {
        Ok(v1::Dimension::Processors) => Ok(Dimension::Processors),
        Ok(v1::Dimension::Memory) => Ok(Dimension::Memory),
        Ok(v1::Dimension::Accelerators) => Ok(Dimension::Accelerators),
        Ok(v1::Dimension::Unspecified) | Err(_) => Err(Error::Range("dimension")),
    }
}

/// Decodes a job, which must have at least one task.
pub(crate) fn decode_job(raw: v1::Job) -> Result<Job, Error> {
    if raw.tasks == 0 {
        return Err(Error::Range("job.tasks"));
    }
    Ok(Job {
        name: decode_name("job.name", &raw.name)?,
        team: decode_name("job.team", &raw.team)?,
        kind: decode_name("job.kind", &raw.kind)?,
        tasks: raw.tasks,
        size: decode_size(raw.size),
        run_time: Ms(raw.run_time_ms),
        urgent: raw.urgent,
    })
}

/// Encodes a job.
pub(crate) fn encode_job(job: &Job) -> v1::Job {
    v1::Job {
        name: job.name.to_string(),
        team: job.team.to_string(),
        kind: job.kind.to_string(),
        tasks: job.tasks,
        size: Some(encode_size(job.size)),
        run_time_ms: job.run_time.0,
        urgent: job.urgent,
    }
}

/// Decodes a configuration document. The ranges of its values are checked by the entry that accepts
/// it.
pub(crate) fn decode_document(raw: v1::Document) -> Result<Document, Error> {
    let services = raw.services.into_iter().map(decode_service);
    let teams = raw.teams.into_iter().map(decode_team);
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

fn decode_service(raw: v1::Service) -> Result<config::Service, Error> {
    Ok(config::Service {
        name: decode_name("service.name", &raw.name)?,
        reserved: decode_size(raw.reserved),
        queue: raw.queue,
        deadline: Ms(raw.deadline_ms),
        attempt: Ms(raw.attempt_ms),
    })
}

fn decode_team(raw: v1::Team) -> Result<config::Team, Error> {
    Ok(config::Team {
        name: decode_name("team.name", &raw.name)?,
        quota: decode_size(raw.quota),
        weight: raw.weight,
    })
}

/// Encodes a configuration document.
pub(crate) fn encode_document(document: &Document) -> v1::Document {
    let limits = &document.limits;
    v1::Document {
        services: document.services.iter().map(encode_service).collect(),
        teams: document.teams.iter().map(encode_team).collect(),
        limits: Some(v1::Limits {
            retries: limits.retries,
            hedges: limits.hedges,
            evictions: limits.evictions,
            slowdown: limits.slowdown,
        }),
    }
}

fn encode_service(service: &config::Service) -> v1::Service {
    v1::Service {
        name: service.name.to_string(),
        reserved: Some(encode_size(service.reserved)),
        queue: service.queue,
        deadline_ms: service.deadline.0,
        attempt_ms: service.attempt.0,
    }
}

fn encode_team(team: &config::Team) -> v1::Team {
    v1::Team {
        name: team.name.to_string(),
        quota: Some(encode_size(team.quota)),
        weight: team.weight,
    }
}
