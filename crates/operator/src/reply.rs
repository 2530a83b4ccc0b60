//! Converts replies between the schema and the decision logic.

use decision::config::Version;
use decision::name::Name;
use decision::operator::Progress;
use decision::operator::Refusal;
use decision::operator::Reply;
use decision::operator::Status;
use decision::operator::Worker;
use schema::v1;
use schema::v1::cancel_reply;
use schema::v1::drain_reply;
use schema::v1::reconfigure_reply;
use schema::v1::refusal::Reason;
use schema::v1::status_reply;
use schema::v1::submit_reply;

use crate::value;
use crate::value::Error;

/// Implements the conversions between a reply and a message whose outcome is accepted, refused or
/// unknown.
macro_rules! convert_simple_reply {
    ($reply:ident, $module:ident) => {
        impl From<Reply> for Wire<v1::$reply> {
            fn from(reply: Reply) -> Self {
                let outcome = match reply {
                    Reply::Accepted => $module::Outcome::Accepted(v1::Accepted {}),
                    Reply::Refused(refusal) => $module::Outcome::Refused(encode_refusal(refusal)),
                    _ => $module::Outcome::Unknown(v1::Unknown {}),
                };
                Self(v1::$reply {
                    outcome: Some(outcome),
                })
            }
        }

        impl TryFrom<Wire<v1::$reply>> for Reply {
            type Error = Error;

            fn try_from(raw: Wire<v1::$reply>) -> Result<Self, Error> {
                match value::required("outcome", raw.0.outcome)? {
                    $module::Outcome::Accepted(_) => Ok(Self::Accepted),
                    $module::Outcome::Refused(raw) => Ok(Self::Refused(decode_refusal(raw)?)),
                    $module::Outcome::Unknown(_) => Ok(Self::Unknown),
                }
            }
        }
    };
}

/// A message of the schema, wrapped so that conversions can be implemented for it.
pub(crate) struct Wire<T>(pub(crate) T);

convert_simple_reply!(SubmitReply, submit_reply);
convert_simple_reply!(CancelReply, cancel_reply);
convert_simple_reply!(DrainReply, drain_reply);

impl From<Reply> for Wire<v1::ReconfigureReply> {
    fn from(reply: Reply) -> Self {
        use reconfigure_reply::Outcome;
        let outcome = match reply {
            Reply::Configured {
                version,
                in_force,
                pending,
            } => Outcome::Configured(v1::Configured {
                version: version.0,
                in_force: encode_names(in_force),
                pending: encode_names(pending),
            }),
            Reply::Difference(items) => Outcome::Difference(v1::Difference { items }),
            Reply::Refused(refusal) => Outcome::Refused(encode_refusal(refusal)),
            _ => Outcome::Unknown(v1::Unknown {}),
        };
        Self(v1::ReconfigureReply {
            outcome: Some(outcome),
        })
    }
}

impl TryFrom<Wire<v1::ReconfigureReply>> for Reply {
    type Error = Error;

    fn try_from(raw: Wire<v1::ReconfigureReply>) -> Result<Self, Error> {
        use reconfigure_reply::Outcome;
        match value::required("outcome", raw.0.outcome)? {
            Outcome::Configured(raw) => Ok(Self::Configured {
                version: Version(raw.version),
                in_force: decode_names("in_force", &raw.in_force)?,
                pending: decode_names("pending", &raw.pending)?,
            }),
            Outcome::Difference(raw) => Ok(Self::Difference(raw.items)),
            Outcome::Refused(raw) => Ok(Self::Refused(decode_refusal(raw)?)),
            Outcome::Unknown(_) => Ok(Self::Unknown),
        }
    }
}

impl From<Reply> for Wire<v1::StatusReply> {
    fn from(reply: Reply) -> Self {
        use status_reply::Outcome;
        let outcome = match reply {
            Reply::Status(status) => Outcome::State(encode_state(status)),
            Reply::Refused(refusal) => Outcome::Refused(encode_refusal(refusal)),
            _ => Outcome::Unknown(v1::Unknown {}),
        };
        Self(v1::StatusReply {
            outcome: Some(outcome),
        })
    }
}

impl TryFrom<Wire<v1::StatusReply>> for Reply {
    type Error = Error;

    fn try_from(raw: Wire<v1::StatusReply>) -> Result<Self, Error> {
        use status_reply::Outcome;
        match value::required("outcome", raw.0.outcome)? {
            Outcome::State(raw) => Ok(Self::Status(decode_state(raw)?)),
            Outcome::Refused(raw) => Ok(Self::Refused(decode_refusal(raw)?)),
            Outcome::Unknown(_) => Ok(Self::Unknown),
        }
    }
}

fn encode_names(names: Vec<Name>) -> Vec<String> {
    names.into_iter().map(String::from).collect()
}

fn decode_names(field: &'static str, raw: &[String]) -> Result<Vec<Name>, Error> {
    raw.iter()
        .map(|raw| value::decode_name(field, raw))
        .collect()
}

fn encode_refusal(refusal: Refusal) -> v1::Refusal {
    let reason = match refusal {
        Refusal::Conflict(version) => Reason::Conflict(version.0),
        Refusal::Invalid(reason) => Reason::Invalid(reason),
        Refusal::Infeasible { dimension, nearest } => Reason::Infeasible(v1::Infeasible {
            dimension: value::encode_dimension(dimension).into(),
            nearest: Some(value::encode_size(nearest)),
        }),
        Refusal::Missing => Reason::Missing(v1::Missing {}),
        Refusal::Unavailable => Reason::Unavailable(v1::Unavailable {}),
    };
    v1::Refusal {
        reason: Some(reason),
    }
}

fn decode_refusal(raw: v1::Refusal) -> Result<Refusal, Error> {
    Ok(match value::required("reason", raw.reason)? {
        Reason::Conflict(version) => Refusal::Conflict(Version(version)),
        Reason::Invalid(reason) => Refusal::Invalid(reason),
        Reason::Infeasible(raw) => Refusal::Infeasible {
            dimension: value::decode_dimension(raw.dimension)?,
            nearest: value::decode_size(raw.nearest),
        },
        Reason::Missing(_) => Refusal::Missing,
        Reason::Unavailable(_) => Refusal::Unavailable,
    })
}

fn encode_state(status: Status) -> v1::State {
    v1::State {
        entry: status.entry,
        version: status.version.0,
        members: encode_names(status.members),
        workers: status.workers.into_iter().map(encode_worker).collect(),
        jobs: status.jobs.into_iter().map(encode_progress).collect(),
    }
}

fn decode_state(raw: v1::State) -> Result<Status, Error> {
    let workers = raw.workers.into_iter().map(decode_worker);
    let jobs = raw.jobs.into_iter().map(decode_progress);
    Ok(Status {
        entry: raw.entry,
        version: Version(raw.version),
        members: decode_names("members", &raw.members)?,
        workers: workers.collect::<Result<_, _>>()?,
        jobs: jobs.collect::<Result<_, _>>()?,
    })
}

fn encode_worker(worker: Worker) -> v1::Worker {
    v1::Worker {
        vm: worker.vm.into(),
        owner: worker.owner.map(String::from).unwrap_or_default(),
        leaving: worker.leaving,
        booked: Some(value::encode_size(worker.booked)),
        tasks: worker.tasks,
    }
}

fn decode_worker(raw: v1::Worker) -> Result<Worker, Error> {
    Ok(Worker {
        vm: value::decode_name("vm", &raw.vm)?,
        owner: value::decode_optional_name("owner", &raw.owner)?,
        leaving: raw.leaving,
        booked: value::decode_size(raw.booked),
        tasks: raw.tasks,
    })
}

fn encode_progress(progress: Progress) -> v1::Progress {
    v1::Progress {
        job: progress.job.into(),
        pending: progress.pending,
        running: progress.running,
        done: progress.done,
        cancelled: progress.cancelled,
        failed: progress.failed,
    }
}

fn decode_progress(raw: v1::Progress) -> Result<Progress, Error> {
    Ok(Progress {
        job: value::decode_name("job", &raw.job)?,
        pending: raw.pending,
        running: raw.running,
        done: raw.done,
        cancelled: raw.cancelled,
        failed: raw.failed,
    })
}
