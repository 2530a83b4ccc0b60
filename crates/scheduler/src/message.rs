//! The messages between the leader and its agents.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::id::Epoch;
use crate::id::Job;
use crate::id::Run;
use crate::id::Task;
use crate::job::Accepted;
use crate::progress::Stage;

/// The assignment of a worker to an agent, which polls it and renews its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watch {
    /// The name of the worker.
    pub worker: Name,
    /// The address at which the worker accepts calls, as `host:port`.
    pub address: Arc<str>,
    /// The incarnation of the worker and the number up to which it may discard its ends; absent if
    /// the leader knows no incarnation.
    pub acknowledged: Option<(Ms, u64)>,
    /// The number of the watch, which its reports carry. An agent of an earlier build is sent none,
    /// and cannot read a longer list of fields.
    #[serde(default, skip_serializing_if = "id::Watch::is_none")]
    pub number: id::Watch,
}

/// An order to start a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// The name of the worker that is to run the task.
    pub worker: Name,
    /// The incarnation of the worker for which the order is meant, in ms since 1970.
    pub incarnation: Ms,
    /// The task to start.
    pub task: Task,
    /// The run number of this start.
    pub run: Run,
    /// The payload of the job, passed on unchanged.
    pub payload: Arc<str>,
    /// The checkpoint from which to resume; absent for a start from the beginning.
    pub checkpoint: Option<Arc<str>>,
    /// The permission of the advice service; absent if the queue needs none.
    pub ticket: Option<Arc<str>>,
}

impl Start {
    /// Returns the identity of the run that the order starts.
    #[must_use]
    pub fn placement(&self) -> Placement {
        Placement {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            task: self.task,
            run: self.run,
        }
    }
}

/// The identity of one run of a task on a worker.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Placement {
    /// The name of the worker.
    pub worker: Name,
    /// The incarnation of the worker, in ms since 1970.
    pub incarnation: Ms,
    /// The task that is run.
    pub task: Task,
    /// The run number.
    pub run: Run,
}

/// The number of no run: those of runs begin at 1.
const NO_RUN: Run = Run(0);

impl Placement {
    /// Returns what an order to stop names that asks an agent for an echo. An agent answers an order
    /// to stop a run on a worker that it does not poll without a call, and after all that it has
    /// reported before. Agents of earlier builds do so too.
    #[must_use]
    pub fn echo(leader: Name, sent_at: Ms) -> Self {
        Self {
            worker: leader,
            incarnation: sent_at,
            task: Task::default(),
            run: NO_RUN,
        }
    }

    /// Returns when the leader asked for this echo, by its own clock; `None` if this is a run.
    #[must_use]
    pub fn echo_sent_at(&self) -> Option<Ms> {
        (self.run == NO_RUN).then_some(self.incarnation)
    }
}

/// A message of the leader to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Order {
    /// Shows that the leader is alive; sent at regular intervals.
    Beat(Heartbeat),
    /// Poll this worker and renew its lease; sent again when its address or acknowledged number
    /// changes.
    Watch(Watch),
    /// Stop polling this worker.
    Unwatch(Name),
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Placement),
    /// Prevent a run whose start got no answer from starting later, and poll the worker to find out
    /// whether it has started.
    Void(Placement),
    /// Limit a run to this share of its full speed, in percent.
    Pace(Placement, u8),
    /// The configuration as the operator wrote it, for agents that cannot reach the store.
    Config(Arc<[u8]>),
    /// The outcome of the write that [`Report::Store`] with this number requested.
    Stored(u64, Storage),
    /// The answer to [`Report::QueryStage`] with this number; `None` if the leader does not know
    /// the job.
    Stage(u64, Option<Stage>),
}

/// The bit by which the number of a contact query differs from those of customers' queries.
const CONTACT_QUERY_BIT: u64 = 1 << 63;
/// The number of the query by which an agent tells that it numbers the reports of its watches.
const NUMBERING_QUERY: u64 = 1 << 62;

impl Order {
    /// Removes what an agent that does not number its reports cannot read.
    pub const fn remove_number(&mut self) {
        if let Self::Watch(watch) = self {
            watch.number = id::Watch::NONE;
        }
    }

    /// Returns when the agent sent the contact query that this order answers, by its own clock;
    /// `None` if it answers none.
    #[must_use]
    pub const fn contact_query_sent_at(&self) -> Option<Ms> {
        match self {
            Self::Stage(number, _) if *number & CONTACT_QUERY_BIT != 0 => {
                Some(Ms(*number & !CONTACT_QUERY_BIT))
            }
            _ => None,
        }
    }
}

/// The regular message of the leader to all agents.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The time since the store last confirmed a write of the leader.
    pub store_age: Ms,
    /// The version of the leader's configuration.
    pub config: u64,
    /// The number of accepted jobs without a started task, by queue; empty until the leader has read
    /// the jobs. Queues that are missing from a list that is not empty have none.
    pub waiting: Vec<(Name, u32)>,
    /// The queues that accept no more work for now, each with the time after which to retry.
    pub full: Vec<(Name, Ms)>,
}

/// The state of a run as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The task that is run.
    pub task: Task,
    /// The run number.
    pub run: Run,
    /// The newest checkpoint; absent if there is none.
    pub checkpoint: Option<Arc<str>>,
    /// The part of the work that is done, in percent; 100 for a long-running task that serves.
    pub percent: u8,
    /// The tail latency in ms of a serving task, and the millicores in use of any other task.
    pub measurement: u32,
}

/// The ways in which a run ends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Termination {
    /// The run completed its task.
    Done,
    /// The run failed, through its own fault or that of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// The end of a run, which the worker keeps until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The number of the end, counted within the incarnation of the worker.
    pub number: u64,
    /// The task that was run.
    pub task: Task,
    /// The run number.
    pub run: Run,
    /// How the run ended.
    pub termination: Termination,
    /// The newest checkpoint; absent if there is none.
    pub checkpoint: Option<Arc<str>>,
}

/// The answer of a worker to a poll.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The name of the worker.
    pub worker: Name,
    /// The incarnation of the worker that answered, in ms since 1970.
    pub incarnation: Ms,
    /// The time when the agent sent the poll, by its own clock.
    pub polled_at: Ms,
    /// The runs on the worker; absent if they are not reported this time.
    pub running: Option<Vec<Running>>,
    /// The ends that are not acknowledged yet.
    pub ended: Vec<End>,
}

/// A poll that got no usable answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The name of the worker.
    pub worker: Name,
    /// The time since the agent last sent an order that may have extended the lease, or since it
    /// began to poll the worker if it has sent none.
    pub renewal_age: Ms,
    /// The worker's address refuses connections, or another worker answers there.
    pub is_closed: bool,
}

/// The outcome of an order to a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker has carried out the order.
    Done,
    /// The worker has accepted a higher fencing token, so another leader has taken over.
    Fenced,
    /// The run number is not higher than one that the worker knows.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker has not enough free resources.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// Another incarnation of the worker has replaced the one that the order is meant for.
    Reborn,
    /// The worker is unhealthy and has not carried out the order.
    Unhealthy,
    /// The worker cannot decode the order.
    Invalid,
    /// The order was not sent.
    Unsent,
    /// The order got no answer; it may be carried out now or later.
    Unknown,
}

/// What an agent finds out about a worker by its calls under one watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Finding {
    /// The worker answered a poll.
    Polled(Observation),
    /// The worker did not answer repeated polls.
    PollFailed(Failure),
    /// The outcome of an order to stop, with the time of its answer by the agent's clock.
    Stopped(Placement, Outcome, Ms),
}

impl Finding {
    /// Returns the name of the worker.
    #[must_use]
    pub const fn worker(&self) -> &Name {
        match self {
            Self::Polled(observation) => &observation.worker,
            Self::PollFailed(failure) => &failure.worker,
            Self::Stopped(placement, ..) => &placement.worker,
        }
    }

    /// Returns how log lines name it.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Polled(_) => "polled",
            Self::PollFailed(_) => "poll-failed",
            Self::Stopped(..) => "stopped",
        }
    }
}

/// A message of an agent to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Report {
    /// The first message of a connection.
    Hello(Hello),
    /// Shows that the agent is alive; sent at regular intervals by agents of earlier builds.
    Beat,
    /// A worker answered a poll.
    #[serde(rename = "Look")]
    Polled(Observation),
    /// A worker did not answer repeated polls.
    #[serde(rename = "Missed")]
    PollFailed(Failure),
    /// The outcome of an order to start.
    Started(Placement, Outcome),
    /// The outcome of an order to stop, with the time of its answer by the agent's clock.
    Stopped(Placement, Outcome, Ms),
    /// A configuration that is newer than the leader's.
    Config(Arc<[u8]>),
    /// A request to write for a customer, because the agent cannot reach the store. The answer
    /// carries the same number.
    Store(u64, Request),
    /// A query of the stage of a job. The answer carries the same number.
    #[serde(rename = "Ask")]
    QueryStage(u64, Job),
    /// A finding of the watch with this number. Agents send findings without a number to a leader
    /// of an earlier build, which numbers no watches.
    Watched(id::Watch, Finding),
}

impl Report {
    /// Returns a query of no customer by which an agent finds out that the leader handles what it
    /// sends; sent at regular intervals. Leaders of earlier builds answer it too, though after the
    /// reports that were sent before it.
    #[must_use]
    pub const fn contact_query(sent_at: Ms) -> Self {
        Self::QueryStage(CONTACT_QUERY_BIT | sent_at.0, Job(0))
    }

    /// Returns the message by which an agent tells that it numbers its reports. It follows
    /// [`Report::Hello`] in the same frame, of which leaders of earlier builds read only the first
    /// message.
    #[must_use]
    pub const fn numbering() -> Self {
        Self::QueryStage(NUMBERING_QUERY, Job(0))
    }

    /// Returns whether the agent tells by this message that it numbers its reports.
    #[must_use]
    pub const fn is_numbering(&self) -> bool {
        matches!(self, Self::QueryStage(NUMBERING_QUERY, _))
    }

    /// Returns a finding as a report of the watch with this number.
    #[must_use]
    pub fn of_watch(number: id::Watch, finding: Finding) -> Self {
        if !number.is_none() {
            return Self::Watched(number, finding);
        }
        match finding {
            Finding::Polled(observation) => Self::Polled(observation),
            Finding::PollFailed(failure) => Self::PollFailed(failure),
            Finding::Stopped(placement, outcome, at) => Self::Stopped(placement, outcome, at),
        }
    }

    /// Returns the answer to a poll that this reports, with the number of the watch.
    #[must_use]
    pub const fn observation(&self) -> Option<(id::Watch, &Observation)> {
        match self {
            Self::Polled(observation) => Some((id::Watch::NONE, observation)),
            Self::Watched(number, Finding::Polled(observation)) => Some((*number, observation)),
            _ => None,
        }
    }

    /// Returns whether this is a contact query.
    #[must_use]
    pub const fn is_contact_query(&self) -> bool {
        matches!(self, Self::QueryStage(number, _) if *number & CONTACT_QUERY_BIT != 0)
    }
}

/// A write that an entry requests for a customer. A repeated request has no further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Accept a job.
    Accept(Job, Accepted),
    /// Cancel a job.
    Cancel(Job),
}

/// The outcome of a write for a customer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Storage {
    /// The write is durable.
    Done,
    /// An earlier request had made the write durable.
    Again,
    /// The write has not happened and will not happen later.
    Refused,
    /// The write may happen now or later.
    Unknown,
}

/// The first message by which an agent introduces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The name of the entry.
    pub entry: Name,
    /// The failure domain of the entry.
    pub domain: Name,
    /// The epoch of the leader that the agent follows.
    pub epoch: Epoch,
    /// The runs that the agent knows from earlier orders, by worker, with the time since the last
    /// order that may have extended the lease. Other agents may know of further runs.
    pub known: Vec<(Name, Ms, Vec<Placement>)>,
}
