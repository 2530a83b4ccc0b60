//! The inputs and outputs of the leader.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::fleet::Registration;
use crate::id;
use crate::interference::Summary;
use crate::job;
use crate::message::Order;
use crate::message::Report;
use crate::progress::Progress;

/// An input of the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store holds an accepted job; the number is the version of its row. The progress is
    /// absent if no earlier leader wrote any.
    Accepted(id::Job, u64, job::Accepted, Option<Progress>),
    /// The store holds a job whose row or progress cannot be read. Nothing of it is started or
    /// stopped, and none of its ends acknowledged, so that a leader that can read it continues it.
    Unreadable(id::Job),
    /// The store holds a cancellation of this job.
    Cancelled(id::Job),
    /// The store lists these workers, on which earlier leaders may have started tasks.
    Fleet(Vec<Member>),
    /// The store holds a list of such workers that cannot be read.
    FleetUnreadable,
    /// An earlier leader stored these interference coefficients between images.
    InterferenceLoaded(Summary),
    /// All rows that earlier leaders wrote have been passed to this leader.
    Recovered,
    /// This configuration is in force from now on.
    Config(Arc<Config>),
    /// The registration of the worker changed, or was removed if it is `None`.
    RegistrationChanged(Name, Option<Registration>),
    /// All changes of registrations that the store had confirmed at this time have been passed to the
    /// leader.
    RegistrationsRead(Ms),
    /// An agent connected; the names are those of the entry and of its failure domain.
    Joined(Name, Name),
    /// The connection to the agent of this entry ended.
    Left(Name),
    /// The agent of this entry sent a report.
    Received(Name, Report),
    /// The commit in progress is durable.
    Committed,
    /// The store did not confirm the commit in progress, which may be durable or not.
    CommitUnconfirmed,
    /// The store confirmed a write under the condition that this leader holds the lead; the value is
    /// the time when the write was sent.
    LeadConfirmed(Ms),
    /// The advice service answered for a step: the workers that may run it with their tickets, and
    /// the time for which the tickets are valid.
    AdviceReceived(id::Step, Vec<(Name, Arc<str>)>, Ms),
    /// The advice service did not answer for a step.
    AdviceFailed(id::Step),
    /// Time has passed; the value is the time of day in ms since 1970.
    Tick(Ms),
}

/// A worker on which tasks may run. A new leader polls all stored members to find their runs.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// The name of the worker.
    pub worker: Name,
    /// The address at which it accepts calls, as `host:port`.
    pub address: Arc<str>,
    /// The failure domain of the worker.
    pub domain: Name,
}

/// The rows to write in one transaction, which succeeds only while this leader holds the lead.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// The jobs whose progress changed, with their whole progress.
    pub progress: Vec<(id::Job, Progress)>,
    /// The jobs whose rows are removed because their retention time is over.
    pub removed: Vec<id::Job>,
    /// All workers on which tasks may run; absent if the stored list is current.
    pub fleet: Option<Vec<Member>>,
    /// The learned interference coefficients; absent if they are not due to be written.
    pub interference: Option<Summary>,
}

/// An output of the leader that the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to the agent of this entry.
    Send(Name, Order),
    /// Write to the store; at most one commit is in progress at a time.
    Commit(Commit),
    /// Ask the advice service which of these workers may run a step.
    Advise(id::Step, Vec<Name>),
    /// Give up the lead, because another leader has taken over; the text is the reason.
    Resign(&'static str),
    /// Write a log line of `key=value` pairs.
    Log(String),
}
