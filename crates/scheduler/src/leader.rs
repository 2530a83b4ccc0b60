//! The leader: decides what runs where, learns of ends and makes them durable.

mod advice;
mod assign;
mod commit;
mod drain;
mod ends;
mod jobs;
mod orders;
mod polls;
mod report;
mod schedule;
mod serving;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::fleet::Registration;
use crate::fleet::Worker;
use crate::id;
use crate::id::Epoch;
use crate::id::Run;
use crate::id::Task;
use crate::interference::Model;
use crate::interference::Summary;
use crate::job;
use crate::message::Beat;
use crate::message::Order;
use crate::message::Placement;
use crate::message::Report;
use crate::pace::Pacer;
use crate::progress::Progress;
use crate::progress::Stage;

/// How long an agent goes on to renew leases without a word of the leader.
pub const LEADER_CONTACT_TIMEOUT: Ms = Ms(3_000);

/// Time bounds that the platform gives.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest lease of a worker.
    pub lease: Ms,
    /// How long ended jobs are remembered.
    pub retention: Ms,
    /// How long a serving task may be over its limit before filling tasks must yield.
    pub harm: Ms,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store has an accepted job, in the row of this version.
    Accepted(id::Job, u64, job::Accepted, Option<Progress>),
    /// The store has a cancellation.
    Cancelled(id::Job),
    /// Workers on which an earlier leader started tasks.
    Fleet(Vec<Member>),
    /// What an earlier leader learned of the presses of images.
    InterferenceLoaded(Summary),
    /// All rows that earlier leaders wrote have been read.
    Recovered,
    /// A configuration is in force.
    Config(Arc<Config>),
    /// The registration of a worker changed or is gone.
    RegistrationChanged(Name, Option<Registration>),
    /// An agent connected.
    Joined(Name, Name),
    /// The connection to an agent ended.
    Left(Name),
    /// A note of an agent arrived.
    Received(Name, Report),
    /// A commit is durable.
    Committed,
    /// The store did not confirm a commit.
    CommitUnconfirmed,
    /// The advice service answered for a step: the workers that may run it, with their tickets, and
    /// how long these are valid.
    AdviceReceived(id::Step, Vec<(Name, Arc<str>)>, Ms),
    /// The advice service did not answer for a step.
    AdviceFailed(id::Step),
    /// Time has passed; the second is the time of day in ms since 1970.
    Tick(Ms),
}

/// A worker that must be asked after a change of the leader.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Its name.
    pub worker: Name,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: Name,
}

/// Rows to write in one transaction, on the condition that this leader is still the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// Progress of jobs.
    pub progress: Vec<(id::Job, Progress)>,
    /// Jobs whose rows are removed.
    pub removed: Vec<id::Job>,
    /// The workers on which tasks may run.
    pub fleet: Option<Vec<Member>>,
    /// What has been learned of the presses of images.
    pub interference: Option<Summary>,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell an agent.
    Send(Name, Order),
    /// Write to the store; one commit is in progress at a time.
    Commit(Commit),
    /// Ask the advice service which of these workers may run a step.
    Advise(id::Step, Vec<Name>),
    /// Another leader has taken over.
    Resign(&'static str),
    /// Write a log line of `key=value` pairs.
    Log(String),
}

/// An agent as the leader knows it.
#[derive(Clone, Debug)]
struct Agent {
    domain: Name,
    watched: usize,
}

/// The interval of log lines on the load.
const LOAD_INTERVAL: Ms = Ms(1_000);

/// The position of a step among those that wait; the smallest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    priority: u32,
    latest_start: Ms,
}

/// The state of the leader.
#[derive(Debug)]
pub struct Leader {
    entry: Name,
    epoch: Epoch,
    bounds: Bounds,
    started_at: Ms,
    unix: Ms,
    config: Arc<Config>,
    is_recovered: bool,
    /// Notes of agents that arrived before the rows of earlier leaders were read.
    deferred_reports: Vec<(Name, Report)>,
    /// Runs of jobs that this leader has not learned of, with the time when they were seen first.
    unknown_runs: BTreeMap<Placement, Ms>,
    workers: BTreeMap<Name, Worker>,
    fleet: BTreeSet<Member>,
    jobs: BTreeMap<id::Job, job::Job>,
    cancelled: BTreeSet<id::Job>,
    agents: BTreeMap<Name, Agent>,
    runs: u64,
    waiting: BTreeSet<(Rank, id::Step)>,
    ranks: BTreeMap<id::Step, Rank>,
    unsettled: BTreeMap<(Task, Run), Ms>,
    committing: Option<commit::InFlight>,
    commit_after: Ms,
    last_drain: Ms,
    load_logged: Ms,
    model_logged: Ms,
    clock: Ms,
    removable: Vec<id::Job>,
    stored_workers: BTreeSet<Name>,
    /// The workers have not changed since they were last compared with the stored ones.
    is_fleet_synced: bool,
    /// When the waiting steps were last gone through, and how often in all.
    last_pass: Ms,
    passes: u64,
    /// Some steps found no room then.
    is_crowded: bool,
    dirty: BTreeMap<id::Job, Ms>,
    scheduled: BTreeSet<id::Job>,
    ended: BTreeSet<(Ms, id::Job)>,
    pacers: BTreeMap<Name, Pacer>,
    advice: advice::Cache,
    model: Model,
    /// When what has been learned was last written.
    summary_written: Ms,
    actions: Vec<Action>,
}

impl Leader {
    /// A leader of this epoch that knows nothing yet.
    #[must_use]
    pub fn new(entry: Name, epoch: Epoch, bounds: Bounds, now: Ms) -> Self {
        Self {
            entry,
            epoch,
            bounds,
            started_at: now,
            unix: Ms::ZERO,
            config: Arc::default(),
            is_recovered: false,
            deferred_reports: Vec::new(),
            unknown_runs: BTreeMap::new(),
            workers: BTreeMap::new(),
            fleet: BTreeSet::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            agents: BTreeMap::new(),
            runs: 0,
            waiting: BTreeSet::new(),
            ranks: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            committing: None,
            commit_after: Ms::ZERO,
            last_drain: Ms::ZERO,
            load_logged: Ms::ZERO,
            model_logged: Ms::ZERO,
            clock: now,
            removable: Vec::new(),
            stored_workers: BTreeSet::new(),
            is_fleet_synced: false,
            last_pass: Ms::ZERO,
            passes: 0,
            is_crowded: false,
            dirty: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            ended: BTreeSet::new(),
            pacers: BTreeMap::new(),
            advice: advice::Cache::default(),
            model: Model::default(),
            summary_written: now,
            actions: Vec::new(),
        }
    }

    /// The epoch, which is the fencing token.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes an event in and returns what to do. [`Self::schedule`] comes after the last event of
    /// a batch.
    pub fn handle(&mut self, now: Ms, event: Event) -> Vec<Action> {
        self.clock = now;
        match event {
            Event::Accepted(id, row, accepted, progress) => {
                self.accept(now, id, row, accepted, progress);
            }
            Event::Cancelled(id) => self.cancel(now, id),
            Event::Fleet(members) => self.restore_fleet(now, members),
            Event::InterferenceLoaded(summary) => self.model.merge(&summary),
            Event::Recovered => self.finish_recovery(now),
            Event::Config(config) => self.config = config,
            Event::RegistrationChanged(name, registration) => {
                self.update_registration(now, name, registration)
            }
            Event::Joined(entry, domain) => self.add_agent(now, entry, domain),
            Event::Left(entry) => self.remove_agent(now, &entry),
            Event::Received(entry, report) => self.handle_report(now, &entry, report),
            Event::Committed => self.finish_commit(now, true),
            Event::CommitUnconfirmed => self.finish_commit(now, false),
            Event::AdviceReceived(step, tickets, valid) => {
                self.handle_advice(now, step, tickets, valid)
            }
            Event::AdviceFailed(step) => self.handle_advice_failure(now, step),
            Event::Tick(unix) => self.tick(now, unix),
        }
        std::mem::take(&mut self.actions)
    }

    /// Starts what can be started and writes what must be written.
    pub fn schedule(&mut self, now: Ms) -> Vec<Action> {
        if self.is_recovered {
            self.start_tasks(now);
            self.begin_commit(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// The stage of a job as customers may be shown it.
    #[must_use]
    pub fn stage(&self, id: id::Job) -> Option<Stage> {
        if !self.is_recovered {
            return None;
        }
        self.jobs.get(&id).map(|job| job.visible_stage)
    }

    /// How often the waiting steps were gone through.
    #[must_use]
    pub const fn passes(&self) -> u64 {
        self.passes
    }

    /// The regular message to the agents.
    #[must_use]
    pub fn beat(&self, store_age: Ms) -> Beat {
        Beat {
            store_age,
            config: self.config.version,
            waiting: self.count_waiting(),
            full: Vec::new(),
        }
    }

    /// Whether all rows are read and every worker has reported what it runs.
    #[must_use]
    pub fn is_synchronized(&self) -> bool {
        self.is_recovered && self.workers.values().all(|worker| worker.is_known)
    }

    fn finish_recovery(&mut self, now: Ms) {
        self.is_recovered = true;
        self.log(format!(
            "kind=recovered jobs={} workers={} ms={}",
            self.jobs.len(),
            self.workers.len(),
            now.since(self.started_at).0
        ));
        for (entry, report) in std::mem::take(&mut self.deferred_reports) {
            self.handle_report(now, &entry, report);
        }
    }

    fn tick(&mut self, now: Ms, unix: Ms) {
        self.unix = unix;
        if now.since(self.load_logged) >= LOAD_INTERVAL {
            self.load_logged = now;
            self.log_load(now);
        }
        let due: Vec<id::Job> = self.scheduled.iter().copied().collect();
        for id in due {
            self.begin_due(id);
        }
        self.retry_stops(now);
        self.expire_leases(now);
        self.remove_expired_jobs();
        self.move_from_draining(now);
    }

    fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn send(&mut self, agent: &Name, order: Order) {
        self.actions.push(Action::Send(agent.clone(), order));
    }
}
