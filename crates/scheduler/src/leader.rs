//! The leader decides which tasks run on which workers, learns of their ends and makes the results
//! durable.

mod advice;
mod agents;
mod assign;
mod booking;
mod commit;
mod crashes;
mod drain;
mod ends;
mod event;
mod jobs;
mod lapses;
mod orders;
mod pass;
mod polls;
mod recall;
mod report;
mod retention;
mod runs;
mod schedule;
mod serving;
mod tally;
mod waiting;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

pub use self::event::Action;
pub use self::event::Commit;
pub use self::event::Event;
pub use self::event::Member;
pub use self::tally::Tally;
use crate::config::Config;
use crate::config::Queue;
use crate::congestion::Congestion;
use crate::election::CERTAINTY;
use crate::fleet::Worker;
use crate::id;
use crate::id::Epoch;
use crate::id::Run;
use crate::id::Task;
use crate::interference::Image;
use crate::interference::Model;
use crate::job;
use crate::message::Heartbeat;
use crate::message::Order;
use crate::message::Placement;
use crate::message::Report;
use crate::pace::Pacer;
use crate::progress::Stage;

/// The time for which an agent keeps renewing leases without a message from the leader.
pub const LEADER_CONTACT_TIMEOUT: Ms = Ms(3_000);

/// Time limits that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest lease that a worker grants.
    pub lease: Ms,
    /// The time for which ended jobs are kept in the store.
    pub retention: Ms,
    /// The longest time that a serving task may exceed its latency limit before filling tasks must
    /// yield.
    pub harm: Ms,
}

/// The interval of the log lines that report the load.
const LOAD_INTERVAL: Ms = Ms(1_000);

/// The position of a step in the queue of waiting steps; the smallest starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    priority: u32,
    /// As [`age::shifted`] counts.
    latest_start: Ms,
    /// The version of the job's row, which is the order of acceptance.
    row: u64,
}

/// The state of the leader.
#[derive(Debug)]
pub struct Leader {
    entry: Name,
    epoch: Epoch,
    bounds: Bounds,
    started_at: Ms,
    /// The time of day at the last tick, in ms since 1970.
    unix: Ms,
    config: Arc<Config>,
    /// The position of each queue in the configuration.
    queues: HashMap<Name, usize>,
    is_recovered: bool,
    /// Reports that arrived before the rows of earlier leaders were read, with the entry of the
    /// agent.
    deferred_reports: Vec<(Name, Report)>,
    /// Runs whose jobs this leader does not know, with the time when each was first observed.
    unknown_runs: BTreeMap<Placement, Ms>,
    recall: recall::Recall,
    workers: BTreeMap<Name, Worker>,
    /// The number of watches that this leader has begun.
    watch_count: u64,
    /// When agents may last have renewed the leases of workers that were removed, which may be listed
    /// again.
    removed_workers: BTreeMap<Name, Ms>,
    /// The workers that the store lists, by name.
    fleet: BTreeMap<Name, Member>,
    jobs: BTreeMap<id::Job, job::Job>,
    /// Jobs whose row or progress cannot be read.
    unreadable: BTreeSet<id::Job>,
    /// Cancellations that arrived before the rows of their jobs.
    cancelled: BTreeSet<id::Job>,
    agents: agents::Agents,
    /// The workers that no agent polls.
    unwatched: BTreeSet<Name>,
    /// The time when the last agent connected.
    last_join: Ms,
    /// The number of runs that this leader has started.
    run_count: u64,
    /// The steps with tasks to start, in the order of their ranks.
    waiting: BTreeSet<(Rank, id::Step)>,
    ranks: BTreeMap<id::Step, Rank>,
    /// Runs that were ordered to stop or whose start is unanswered, with the time of the last
    /// order.
    unsettled: BTreeMap<(Task, Run), Ms>,
    committing: Option<commit::InFlight>,
    /// No other entry can have taken the lead before this time.
    certain_until: Ms,
    /// No commit begins before this time, because the previous one was not confirmed.
    commit_after: Ms,
    last_drain: Ms,
    load_logged: Ms,
    model_logged: Ms,
    /// The time of the event that was handled last.
    clock: Ms,
    /// Jobs whose rows are to be removed from the store.
    removable: Vec<id::Job>,
    /// The versions of the rows of removed jobs, which may still be read.
    forgotten: BTreeMap<id::Job, u64>,
    /// The removed jobs by the time when the store confirmed the removal of their rows.
    removed: BTreeSet<(Ms, id::Job)>,
    /// The workers that the store certainly lists, whether or not it has carried out a write that
    /// it did not confirm.
    stored_workers: BTreeSet<Name>,
    /// The store has not confirmed the last write of the fleet, so it lists either that fleet or
    /// the one before it.
    is_fleet_uncertain: bool,
    /// The stored fleet cannot be read. It is not replaced, and thus no task starts, before all
    /// leases that earlier leaders renewed have expired.
    is_fleet_unread: bool,
    /// By the reports of agents, leases on workers of that fleet may last until this time.
    fleet_held_until: Ms,
    /// The workers have not changed since they were last compared with the stored ones.
    is_fleet_synced: bool,
    /// The steps that found no room, each with its last try.
    tried: BTreeMap<id::Step, schedule::Try>,
    /// The worker from which the next search for workers with room begins; absent for the first.
    next_candidate: Option<Name>,
    /// The filling images that had no better worker to move to, with the time of the search.
    immovable: BTreeMap<Image, Ms>,
    /// The time of the last pass over the waiting steps, and the number of passes so far.
    last_pass: Ms,
    passes: u64,
    /// Some steps found no room in the last pass.
    is_crowded: bool,
    /// The last step that was tried in turn; absent if the next turn begins with the first one.
    last_in_turn: Option<(Rank, id::Step)>,
    /// Jobs with unwritten progress, with the time when the write is due.
    dirty: BTreeMap<id::Job, Ms>,
    /// Jobs with occurrences that have not begun.
    scheduled: BTreeSet<id::Job>,
    /// Jobs whose end is durable, by the time until which they are kept.
    retained: BTreeSet<(Ms, id::Job)>,
    /// Jobs that ended under earlier leaders and are not among `retained` yet, with the time of the
    /// end in ms since 1970.
    inherited_ends: Vec<(id::Job, Ms)>,
    /// The crashes of workers by worker and incarnation.
    crashes: BTreeMap<(Name, Ms), crashes::Crash>,
    /// The pacing of each worker that runs both serving and filling tasks.
    pacers: BTreeMap<Name, Pacer>,
    advice: advice::Cache,
    model: Model,
    /// The time when the interference coefficients were last written.
    summary_written: Ms,
    congestion: Congestion,
    tally: Tally,
    actions: Vec<Action>,
}

impl Leader {
    /// Creates a leader of this epoch that has read nothing from the store yet.
    #[must_use]
    pub fn new(entry: Name, epoch: Epoch, bounds: Bounds, now: Ms) -> Self {
        Self {
            entry,
            epoch,
            bounds,
            started_at: now,
            unix: Ms::ZERO,
            config: Arc::default(),
            queues: HashMap::new(),
            is_recovered: false,
            deferred_reports: Vec::new(),
            unknown_runs: BTreeMap::new(),
            recall: recall::Recall::default(),
            workers: BTreeMap::new(),
            watch_count: 0,
            removed_workers: BTreeMap::new(),
            fleet: BTreeMap::new(),
            jobs: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            agents: agents::Agents::default(),
            unwatched: BTreeSet::new(),
            last_join: now,
            run_count: 0,
            waiting: BTreeSet::new(),
            ranks: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            committing: None,
            certain_until: Ms::ZERO,
            commit_after: Ms::ZERO,
            last_drain: Ms::ZERO,
            load_logged: Ms::ZERO,
            model_logged: Ms::ZERO,
            clock: now,
            removable: Vec::new(),
            forgotten: BTreeMap::new(),
            removed: BTreeSet::new(),
            stored_workers: BTreeSet::new(),
            is_fleet_uncertain: false,
            is_fleet_unread: false,
            fleet_held_until: Ms::ZERO,
            is_fleet_synced: false,
            tried: BTreeMap::new(),
            next_candidate: None,
            immovable: BTreeMap::new(),
            last_pass: Ms::ZERO,
            passes: 0,
            is_crowded: false,
            last_in_turn: None,
            dirty: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            retained: BTreeSet::new(),
            inherited_ends: Vec::new(),
            crashes: BTreeMap::new(),
            pacers: BTreeMap::new(),
            advice: advice::Cache::default(),
            model: Model::default(),
            summary_written: now,
            congestion: Congestion::default(),
            tally: Tally::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the epoch, which is also the fencing token of this leader's orders.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Handles an event and returns the actions that it requires. The caller calls
    /// [`Self::schedule`] after the last event of a batch.
    pub fn handle(&mut self, now: Ms, event: Event) -> Vec<Action> {
        self.clock = now;
        match event {
            Event::Accepted(id, row, accepted, progress) => {
                self.accept_job(now, id, row, accepted, progress);
            }
            Event::Unreadable(id) => drop(self.unreadable.insert(id)),
            Event::Cancelled(id) => self.cancel_job(now, id),
            Event::Fleet(members) => self.restore_fleet(now, members),
            Event::FleetUnreadable => self.hold_fleet(),
            Event::InterferenceLoaded(summary) => self.model.merge(&summary),
            Event::Recovered => self.finish_recovery(now),
            Event::Config(config) => self.configure(config),
            Event::RegistrationChanged(name, registration) => {
                self.update_registration(now, name, registration)
            }
            Event::Joined(entry, domain) => self.add_agent(now, entry, domain),
            Event::Left(entry) => self.remove_agent(now, &entry),
            Event::Received(entry, report) => self.handle_report(now, &entry, report),
            Event::Committed => self.finish_commit(now, true),
            Event::CommitUnconfirmed => self.finish_commit(now, false),
            Event::LeadConfirmed(sent_at) => {
                self.certain_until = self.certain_until.max(sent_at + CERTAINTY);
            }
            Event::AdviceReceived(step, tickets, valid) => {
                self.handle_advice(now, step, tickets, valid)
            }
            Event::AdviceFailed(step) => self.handle_advice_failure(now, step),
            Event::Tick(unix) => self.tick(now, unix),
        }
        std::mem::take(&mut self.actions)
    }

    /// Starts the tasks that fit and begins a commit if one is due; returns the actions.
    pub fn schedule(&mut self, now: Ms) -> Vec<Action> {
        if self.is_recovered {
            self.start_tasks(now);
            self.begin_commit(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the durable stage of a job, which customers may be shown. It is `None` for an
    /// unknown job and until the recovery is complete.
    #[must_use]
    pub fn stage(&self, id: id::Job) -> Option<Stage> {
        if !self.is_recovered {
            return None;
        }
        self.jobs.get(&id).map(|job| job.visible_stage)
    }

    /// Returns the number of reports that wait until the rows of earlier leaders are read.
    #[must_use]
    pub const fn deferred_reports(&self) -> usize {
        self.deferred_reports.len()
    }

    /// Returns the number of passes over the waiting steps so far.
    #[must_use]
    pub const fn passes(&self) -> u64 {
        self.passes
    }

    /// Returns the counts of this leader so far.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Returns the heartbeat to send to all agents; `store_age` is the time since the last
    /// confirmed write.
    #[must_use]
    pub fn heartbeat(&self, store_age: Ms) -> Heartbeat {
        Heartbeat {
            store_age,
            config: self.config.version,
            waiting: self.count_waiting(),
            full: Vec::new(),
        }
    }

    /// Returns whether runs of earlier leaders may exist that this leader has not seen.
    #[must_use]
    pub fn has_unheard_workers(&self) -> bool {
        self.workers.values().any(Worker::is_unheard)
    }

    pub(super) fn count_unheard_workers(&self) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.is_unheard())
            .count()
    }

    fn configure(&mut self, config: Arc<Config>) {
        // The first of several queues with the same name counts.
        let queues = config.queues.iter().enumerate().rev();
        self.queues = queues
            .map(|(position, queue)| (queue.name.clone(), position))
            .collect();
        self.config = config;
    }

    /// Returns the queue with this name in the configuration in force.
    fn queue(&self, name: &Name) -> Option<&Queue> {
        let position = *self.queues.get(name)?;
        self.config.queues.get(position)
    }

    fn finish_recovery(&mut self, now: Ms) {
        self.is_recovered = true;
        self.estimate_ages(now);
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
        self.tally.unheard = self.count_unheard_workers();
        if now.since(self.load_logged) >= LOAD_INTERVAL {
            self.load_logged = now;
            self.log_load(now);
        }
        let due: Vec<id::Job> = self.scheduled.iter().copied().collect();
        for id in due {
            self.begin_due(id);
        }
        self.assign_unwatched(now);
        self.retry_stops(now);
        self.expire_leases(now);
        self.forget_removed_workers(now);
        self.remove_expired_jobs(now);
        self.move_from_draining(now);
    }

    fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    fn send(&mut self, agent: &Name, order: Order) {
        self.actions.push(Action::Send(agent.clone(), order));
    }
}
