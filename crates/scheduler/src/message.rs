//! Messages between the leader and its agents.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;
use crate::id::Job;
use crate::id::Run;
use crate::id::Task;
use crate::job::Accepted;
use crate::progress::Stage;

/// A worker that an agent shall keep leased and look at.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watch {
    /// The worker.
    pub worker: Name,
    /// Where it listens.
    pub address: Arc<str>,
    /// Ends up to this number may be forgotten, for this incarnation.
    pub acknowledged: Option<(Ms, u64)>,
}

/// An order to start a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Where.
    pub worker: Name,
    /// The incarnation of the worker that is meant.
    pub incarnation: Ms,
    /// What.
    pub task: Task,
    /// The number of the start.
    pub run: Run,
    /// The customer's payload.
    pub payload: Arc<str>,
    /// Where to resume.
    pub checkpoint: Option<Arc<str>>,
    /// The permission of the advice service.
    pub ticket: Option<Arc<str>>,
}

impl Start {
    /// The run that it starts.
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

/// Identifies one run of a task on a worker.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Placement {
    /// The worker.
    pub worker: Name,
    /// The incarnation of the worker that is meant.
    pub incarnation: Ms,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
}

/// A message of the leader to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Order {
    /// Proves that the leader is alive; sent in an interval.
    Beat(Beat),
    /// Keep this worker leased, or change what is known of it.
    Watch(Watch),
    /// Leave this worker alone.
    Unwatch(Name),
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Placement),
    /// Make sure that a run whose start got no answer never starts, and look whether it has.
    Void(Placement),
    /// Let a run work at this share, in percent.
    Pace(Placement, u8),
    /// The configuration, as the operator wrote it, for agents that the store does not serve.
    Config(Arc<[u8]>),
    /// Answers [`Report::Store`] by its number.
    Stored(u64, Storage),
    /// Answers [`Report::QueryStage`] by its number; `None` is a job that the leader does not know.
    Stage(u64, Option<Stage>),
}

/// The regular message of a leader.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Beat {
    /// The time since the store last confirmed a write of the leader.
    pub store_age: Ms,
    /// The version of the configuration that the leader has.
    pub config: u64,
    /// Accepted jobs of each queue without a started task.
    pub waiting: Vec<(Name, u32)>,
    /// Queues that accept no more work for now, with the time after which to return.
    pub full: Vec<(Name, Ms)>,
}

/// What runs on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done, in percent; 100 for a lasting task that is at work.
    pub percent: u8,
    /// Serving tasks: the tail of response times in ms. Others: millicores in use.
    pub measurement: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Termination {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come.
    Alone,
}

/// The end of a run, kept by the worker until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The number of the end within the incarnation.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// How.
    pub termination: Termination,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// What an agent saw when it looked at a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// The worker.
    pub worker: Name,
    /// The incarnation.
    pub incarnation: Ms,
    /// When the agent asked, on its own clock.
    pub polled_at: Ms,
    /// What runs; `None` when it is not reported this time.
    pub running: Option<Vec<Running>>,
    /// Ends that are not acknowledged.
    pub ended: Vec<End>,
}

/// Looks at a worker that failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The worker.
    pub worker: Name,
    /// The time since the last order that may have extended the lease.
    pub renewal_age: Ms,
    /// Nobody listens at its address.
    pub is_closed: bool,
}

/// How an order to start ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The worker runs it.
    Done,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not above one seen there.
    Old,
    /// It came after its deadline.
    Late,
    /// The worker has no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker is another incarnation.
    Reborn,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker cannot read the order.
    Invalid,
    /// Nothing was sent.
    Unsent,
    /// There is no answer; it may be done now or later.
    Unknown,
}

/// A message of an agent to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Report {
    /// The first message of a connection.
    Hello(Hello),
    /// Proves that the agent is alive.
    Beat,
    /// A look at a worker.
    #[serde(rename = "Look")]
    Polled(Observation),
    /// Looks failed.
    #[serde(rename = "Missed")]
    PollFailed(Failure),
    /// A start ended in this way.
    Started(Placement, Outcome),
    /// A stop ended in this way, at this time on the agent's clock.
    Stopped(Placement, Outcome, Ms),
    /// A configuration that the agent has and the leader has not.
    Config(Arc<[u8]>),
    /// Asks to write for a customer, since the store does not serve the agent.
    Store(u64, Request),
    /// Asks for the stage of a job; the number comes back with the answer.
    #[serde(rename = "Ask")]
    QueryStage(u64, Job),
}

/// A write that an entry makes for a customer. To repeat it has no further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Accept a job.
    Accept(Job, Accepted),
    /// Cancel a job.
    Cancel(Job),
}

/// How a write for a customer ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Storage {
    /// It is durable.
    Done,
    /// It was durable before.
    Again,
    /// It is not done and never will be.
    Refused,
    /// It may be done now or later.
    Unknown,
}

/// How an agent introduces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The entry.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The epoch that it follows.
    pub epoch: Epoch,
    /// Runs that it knows of from earlier orders, by worker, with the time since the last order
    /// that may have extended the lease.
    pub known: Vec<(Name, Ms, Vec<Placement>)>,
}
