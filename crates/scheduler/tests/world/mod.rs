//! A simulation of a leader, its agents, a store and workers in virtual time, with injected faults
//! and fixed seeds.

mod agent;
pub mod deadly;
mod election;
mod fleet;
mod invariants;
mod poll;
mod run;
pub mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::agent::Inventory;
use scheduler::agent::Lease;
use scheduler::config::Config;
use scheduler::config::Queue;
use scheduler::config::Service;
use scheduler::election::UNCHANGED_TIMEOUT;
use scheduler::fleet::Registration;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Task;
use scheduler::job::Accepted;
use scheduler::leader::Action;
use scheduler::leader::Bounds;
use scheduler::leader::Commit;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Termination;
use scheduler::progress::Progress;
use scheduler::progress::Stage;
use scheduler::spec;

use self::deadly::Deadly;
use self::poll::Poll;
use self::worker::MAX_LEASE_MS;
use self::worker::Worker;

/// The number of failed runs after which a task has failed.
pub const MAX_ATTEMPTS: u32 = 6;
/// The time from which the tests count. The machines have been up for hours by then.
const START_MS: u64 = 36_000_000;
/// The difference between the clocks of two workers.
const CLOCK_STEP_MS: u64 = 1_000_000;
/// The number of workers whose clocks all differ.
const CLOCKS: u64 = 30;
const TICK_INTERVAL_MS: u64 = 50;
const CALL_TIMEOUT_MS: u64 = 800;
/// The least delay of a call that is carried out late.
const MIN_LATE_MS: u64 = 1_000;
const MESSAGE_DELAY_MS: u64 = 2;
const COMMIT_DURATION_MS: u64 = 6;
const ADVICE_DURATION_MS: u64 = 25;
/// The time for which a member of a gang waits for the others.
const GANG_WAIT_MS: u64 = 3_000;
/// The interval at which a worker writes its registration.
const REGISTRATION_INTERVAL_MS: u64 = 1_500;
/// The time after which a capacity that has shrunk counts.
const SHRINK_GRACE_MS: u64 = 3_000 + REGISTRATION_INTERVAL_MS;
const TICKET_VALIDITY_MS: u64 = 900;

/// The probabilities with which calls, runs and writes fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The call is carried out but its answer is lost.
    pub lost_answer: f64,
    /// The call is carried out seconds later and gets no answer.
    pub late: f64,
    /// The poll gets no answer and is carried out at once, seconds later or never.
    pub lost_poll: f64,
    /// A run fails.
    pub failed_run: f64,
    /// The store carries out a commit but does not confirm it.
    pub lost_commit: f64,
}

struct Watch {
    /// Tells this watch from all others.
    id: u64,
    /// The number by which its leader knows it.
    number: id::Watch,
    lease: Lease,
    epoch: Epoch,
    acknowledged: Option<(Ms, u64)>,
    /// The runs that may be on the worker, with the time of the order to start them.
    known: BTreeMap<Placement, u64>,
}

impl Watch {
    fn new(id: u64, epoch: Epoch, order: &message::Watch, now: Ms) -> Self {
        Self {
            id,
            number: order.number,
            lease: Lease::new(Ms(MAX_LEASE_MS), now),
            epoch,
            acknowledged: order.acknowledged,
            known: BTreeMap::new(),
        }
    }
}

#[derive(Default)]
struct Agent {
    epoch: Epoch,
    /// The agent is connected to the leader of this epoch.
    is_connected: bool,
    /// The entry does not run before this time.
    down_until: u64,
    last_contact: u64,
    watches: BTreeMap<Name, Watch>,
    /// The watches that have ended, which may have polls under way.
    former_watches: BTreeMap<u64, Watch>,
    inventory: Inventory,
}

impl Agent {
    /// Ends the watch of a worker, although a poll of it may be under way.
    fn end_watch(&mut self, worker: &Name) {
        if let Some(mut watch) = self.watches.remove(worker) {
            watch.lease.end();
            self.former_watches.insert(watch.id, watch);
        }
    }
}

/// An event that is due at a time of the simulation.
enum Delivery {
    Order(Name, Epoch, Order),
    Report(Epoch, Name, Report),
    /// An agent connects to the leader.
    Join(Name),
    /// The leader of this epoch learns that an agent is gone.
    Left(Epoch, Name),
    /// The leader of this epoch has read the registrations of the workers.
    Listed(Epoch),
    /// The leader of this epoch has read the rows of the store.
    Recovered(Epoch),
    /// The replaced leader of this epoch learns that it is replaced.
    Deposed(Epoch),
    /// A call reaches its worker.
    Called(Call),
    /// The outcome of a call reaches its agent.
    Outcome(Call, Outcome),
    /// The agent polls the worker for the watch with this number.
    PollDue(Name, Name, u64),
    /// The agent polls a worker out of turn after this call.
    PollNow(Call),
    /// A poll reaches its worker.
    Polled(Poll),
    /// The worker with this incarnation answers a poll.
    PollHeld(Poll, Ms),
    /// The answer to a poll reaches its agent, with the worker's clock.
    PollAnswered(Poll, Observation, Ms),
    PollTimedOut(Poll),
    /// The commit is answered; the value is whether the store confirms it.
    Commit(Epoch, bool),
    /// A worker crashes under this start of a task.
    Crash(Call),
    /// The registration of a worker expires.
    Expire(Name),
    /// A worker of this name starts.
    Appear(Name),
    /// The advice service answers for these workers.
    Advice(Epoch, id::Step, Vec<Name>),
    /// The store lists the present capacity of a worker.
    Resized(Name),
}

/// An order in transit to a worker.
#[derive(Clone)]
struct Call {
    agent: Name,
    epoch: Epoch,
    placement: Placement,
    deadline: Option<u64>,
    is_answered: bool,
    sent: u64,
    polls_after: bool,
}

pub struct World {
    pub now: u64,
    pub faults: Faults,
    /// Starts need a ticket of the advice service.
    pub needs_ticket: bool,
    /// Runs do not end unless they are stopped.
    pub runs_never_end: bool,
    /// A call reaches only the life of a worker that was up when the call was sent. Otherwise a call
    /// that is carried out late may reach the next life of the worker, which the platform's rules
    /// do not exclude.
    pub calls_end_with_workers: bool,
    /// The longest time until an agent connects to a new leader of another entry, in ms.
    pub max_join_delay: u64,
    /// The longest time for which a new leader reads the rows of the store, in ms.
    pub max_recovery: u64,
    /// The time by which the clocks of entries are behind, in ms.
    pub clock_lags: BTreeMap<Name, u64>,
    pub workers: BTreeMap<Name, Worker>,
    pub violations: Vec<String>,
    /// The log lines of the leaders and the injected faults, with their times.
    pub log: Vec<String>,
    /// The number of workers that crashed under a task.
    pub crashes: BTreeMap<Task, u32>,
    /// The tasks that crash the workers that start them.
    pub deadly: Deadly,
    /// The number of failed runs by task.
    pub failures: BTreeMap<Task, u32>,
    pub leader: Option<Leader>,
    leader_entry: Name,
    epoch: u64,
    /// The store confirms the writes of the leader.
    is_store_confirming: bool,
    /// The leaders that were replaced but have not noticed it.
    replaced_leaders: Vec<(Name, Leader)>,
    agents: BTreeMap<Name, Agent>,
    /// The agents that the leader takes for connected.
    joined: BTreeSet<Name>,
    /// The times until which workers are cut off from single entries.
    cuts: BTreeMap<(Name, Name), u64>,
    jobs: BTreeMap<id::Job, (u64, Accepted)>,
    cancelled: BTreeSet<id::Job>,
    progress: BTreeMap<id::Job, Progress>,
    fleet: Vec<Member>,
    /// The tasks that a worker has completed.
    done: BTreeSet<Task>,
    /// The time of the last start of each task.
    started: BTreeMap<Task, u64>,
    /// The completed tasks whose ends the leader has acknowledged.
    acknowledged_done: BTreeSet<Task>,
    random: StdRng,
    /// The pending deliveries by time and sequence number.
    queue: BTreeMap<(u64, u64), Delivery>,
    sequence: u64,
    unregistered: BTreeSet<Name>,
    draining: BTreeSet<Name>,
    /// The capacities that the store lists for workers whose own has changed.
    listed_sizes: BTreeMap<Name, Size>,
    /// The former capacities of workers, with the times of their changes.
    former_sizes: BTreeMap<Name, Vec<(u64, Size)>>,
    /// The jobs whose rows a new leader has not read yet.
    pub hidden: BTreeSet<id::Job>,
}

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

pub fn size(millicores: u32) -> Size {
    Size {
        millicores,
        memory_mb: 1_000,
        accelerators: 0,
    }
}

/// Returns a job of steps with these numbers of tasks, each step after the one before it.
pub fn chain(counts: &[u32], estimate: u64) -> spec::Job {
    let steps = (0..).zip(counts).map(|(index, &count)| spec::Step {
        count,
        need: size(1_000),
        estimate: Ms(estimate),
        after: if index == 0 {
            Vec::new()
        } else {
            vec![index - 1]
        },
        ..spec::Step::default()
    });
    spec::Job {
        payload: Arc::from("payload"),
        steps: steps.collect(),
        schedule: None,
    }
}

fn is_allowed(worker: &Name) -> bool {
    worker.ends_with(['0', '2', '4', '6', '8'])
}

fn config(needs_ticket: bool) -> Config {
    Config {
        version: 1,
        queues: vec![Queue {
            name: name("queue"),
            host: Arc::from("host"),
            prefix: Arc::from("/q/"),
            service: name("service"),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch: 1.5,
            latency_allowance: Ms(250),
            needs_ticket,
        }],
        services: vec![Service {
            name: name("service"),
            is_spare: false,
        }],
        max_body_bytes: 1_000,
    }
}

impl World {
    pub fn new(seed: u64, workers: usize, agents: usize) -> Self {
        let size = Size {
            millicores: 8_000,
            memory_mb: 64_000,
            accelerators: 0,
        };
        let worker_names = (0..workers).map(|index| name(&format!("w{index}")));
        let agent_names = (0..agents).map(|index| name(&format!("e{index}")));
        Self {
            now: START_MS + 1_000,
            faults: Faults::default(),
            runs_never_end: false,
            needs_ticket: false,
            calls_end_with_workers: false,
            max_join_delay: 500,
            max_recovery: 300,
            clock_lags: BTreeMap::new(),
            workers: (0..)
                .zip(worker_names)
                .map(|(index, name)| {
                    (
                        name,
                        Worker::new(size, (index % CLOCKS + 1) * CLOCK_STEP_MS),
                    )
                })
                .collect(),
            violations: Vec::new(),
            log: Vec::new(),
            crashes: BTreeMap::new(),
            deadly: Deadly::default(),
            failures: BTreeMap::new(),
            leader: None,
            leader_entry: name("e0"),
            epoch: 10,
            is_store_confirming: true,
            replaced_leaders: Vec::new(),
            agents: agent_names.map(|name| (name, Agent::default())).collect(),
            joined: BTreeSet::new(),
            cuts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            fleet: Vec::new(),
            done: BTreeSet::new(),
            started: BTreeMap::new(),
            acknowledged_done: BTreeSet::new(),
            random: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            unregistered: BTreeSet::new(),
            draining: BTreeSet::new(),
            listed_sizes: BTreeMap::new(),
            former_sizes: BTreeMap::new(),
            hidden: BTreeSet::new(),
        }
    }

    fn log(&mut self, line: &str) {
        self.log.push(format!("{} {line}", self.now - START_MS));
    }

    fn enqueue(&mut self, at: u64, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    fn should_fail(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }

    /// Stores a job, whose row all leaders read, also those that have been replaced.
    pub fn submit(&mut self, number: u64, spec: spec::Job) {
        let id = id::Job(number);
        let row = self.epoch + 1;
        let accepted = Accepted {
            queue: name("queue"),
            spec,
            at: Ms(self.now),
        };
        self.jobs.insert(id, (row, accepted.clone()));
        for epoch in self.epochs() {
            let event = Event::Accepted(id, row, accepted.clone(), None);
            self.handle_event_in(epoch, event);
        }
    }

    /// Sends the leader the rows of the hidden jobs.
    pub fn reveal_hidden_jobs(&mut self) {
        for id in std::mem::take(&mut self.hidden) {
            let (row, accepted) = self.jobs[&id].clone();
            let progress = self.progress.get(&id).cloned();
            self.handle_event(Event::Accepted(id, row, accepted, progress));
        }
    }

    pub fn cancel(&mut self, number: u64) {
        self.cancelled.insert(id::Job(number));
        self.handle_event(Event::Cancelled(id::Job(number)));
    }

    pub fn stage(&self, number: u64) -> Option<Stage> {
        self.leader.as_ref()?.stage(id::Job(number))
    }
}
