//! A simulation of a leader, its agents, a store and workers in virtual time, with injected faults
//! and fixed seeds.

mod agent;
mod invariants;
mod poll;
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

use self::poll::Poll;
use self::worker::MAX_LEASE_MS;
use self::worker::Worker;

/// The number of failed runs after which a task has failed.
pub const MAX_ATTEMPTS: u32 = 6;
/// The time from which the tests count. The machines have been up for hours by then.
const START_MS: u64 = 36_000_000;
/// The difference between the clocks of two workers.
const CLOCK_STEP_MS: u64 = 1_000_000;
const TICK_INTERVAL_MS: u64 = 50;
const CALL_TIMEOUT_MS: u64 = 800;
const MESSAGE_DELAY_MS: u64 = 2;
const COMMIT_DURATION_MS: u64 = 6;
const ADVICE_DURATION_MS: u64 = 25;
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
    /// Tells this watch from earlier ones of the same worker.
    number: u64,
    lease: Lease,
    epoch: Epoch,
    acknowledged: Option<(Ms, u64)>,
    /// The runs that may be on the worker, with the time of the order to start them.
    known: BTreeMap<Placement, u64>,
}

impl Watch {
    fn new(number: u64, epoch: Epoch, acknowledged: Option<(Ms, u64)>) -> Self {
        Self {
            number,
            lease: Lease::new(Ms(MAX_LEASE_MS)),
            epoch,
            acknowledged,
            known: BTreeMap::new(),
        }
    }
}

#[derive(Default)]
struct Agent {
    epoch: Epoch,
    last_contact: u64,
    watches: BTreeMap<Name, Watch>,
    inventory: Inventory,
}

/// An event that is due at a time of the simulation.
enum Delivery {
    Order(Name, Epoch, Order),
    Report(Epoch, Name, Report),
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
    /// The advice service answers for these workers.
    Advice(Epoch, id::Step, Vec<Name>),
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
    pub workers: BTreeMap<Name, Worker>,
    pub violations: Vec<String>,
    /// The log lines of the leaders and the injected faults, with their times.
    pub log: Vec<String>,
    /// The number of failed runs by task.
    pub failures: BTreeMap<Task, u32>,
    pub leader: Option<Leader>,
    epoch: u64,
    /// The leaders that were replaced but have not noticed it.
    replaced_leaders: Vec<Leader>,
    agents: BTreeMap<Name, Agent>,
    jobs: BTreeMap<id::Job, (u64, Accepted)>,
    cancelled: BTreeSet<id::Job>,
    progress: BTreeMap<id::Job, Progress>,
    fleet: Vec<Member>,
    /// The tasks that a worker has completed.
    done: BTreeSet<Task>,
    /// The completed tasks whose ends the leader has acknowledged.
    acknowledged_done: BTreeSet<Task>,
    random: StdRng,
    /// The pending deliveries by time and sequence number.
    queue: BTreeMap<(u64, u64), Delivery>,
    sequence: u64,
    unregistered: BTreeSet<Name>,
    draining: BTreeSet<Name>,
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
            workers: (1..)
                .zip(worker_names)
                .map(|(index, name)| (name, Worker::new(size, index * CLOCK_STEP_MS)))
                .collect(),
            violations: Vec::new(),
            log: Vec::new(),
            failures: BTreeMap::new(),
            leader: None,
            epoch: 10,
            replaced_leaders: Vec::new(),
            agents: agent_names.map(|name| (name, Agent::default())).collect(),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            fleet: Vec::new(),
            done: BTreeSet::new(),
            acknowledged_done: BTreeSet::new(),
            random: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            unregistered: BTreeSet::new(),
            draining: BTreeSet::new(),
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

    /// Makes the first entry the leader. An earlier leader that is kept continues to send orders to
    /// its own agent only.
    pub fn elect(&mut self, keep_replaced: bool) {
        if let Some(old) = self.leader.take()
            && keep_replaced
        {
            self.replaced_leaders.push(old);
        }
        self.epoch += 7;
        let bounds = Bounds {
            lease: Ms(MAX_LEASE_MS),
            retention: Ms(120_000),
            harm: Ms(4_000),
        };
        let epoch = Epoch(self.epoch);
        let leader = Leader::new(name("e0"), epoch, bounds, Ms(self.now));
        self.leader = Some(leader);
        self.handle_event(Event::Config(Arc::new(config(self.needs_ticket))));
        self.handle_event(Event::Tick(Ms(self.now)));
        self.handle_event(Event::Fleet(self.fleet.clone()));
        let agents: Vec<Name> = self.agents.keys().cloned().collect();
        for entry in agents {
            self.join(&entry, epoch);
        }
        for (id, (row, accepted)) in self.jobs.clone() {
            if self.hidden.contains(&id) {
                continue;
            }
            let progress = self.progress.get(&id).cloned();
            self.handle_event(Event::Accepted(id, row, accepted, progress));
        }
        for id in self.cancelled.clone() {
            self.handle_event(Event::Cancelled(id));
        }
        self.handle_event(Event::Recovered);
        let workers: Vec<Name> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.update_registration(&worker);
        }
    }

    /// Disconnects an agent from the leader and connects it again after the gap.
    pub fn reconnect(&mut self, entry: &Name, gap: u64) {
        // Reports in transit are lost with the connection.
        self.queue.retain(
            |_, delivery| !matches!(delivery, Delivery::Report(_, from, _) if from == entry),
        );
        self.handle_event(Event::Left(entry.clone()));
        self.run_for(gap);
        let epoch = Epoch(self.epoch);
        self.join(entry, epoch);
    }

    fn join(&mut self, entry: &Name, epoch: Epoch) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(entry) else {
            return;
        };
        let watches = std::mem::take(&mut agent.watches).into_iter();
        let watches =
            watches.map(|(worker, watch)| (worker, watch.lease, watch.known.into_keys().collect()));
        let known = agent.inventory.collect(Ms(now), watches);
        let hello = Hello {
            entry: entry.clone(),
            domain: name("d"),
            epoch,
            known,
        };
        agent.epoch = epoch;
        agent.last_contact = now;
        self.handle_event(Event::Received(entry.clone(), Report::Hello(hello)));
        self.handle_event(Event::Joined(entry.clone(), name("d")));
    }

    /// Sends the leader the current registration of a worker.
    pub fn update_registration(&mut self, worker: &Name) {
        let state = &self.workers[worker];
        let registration = Registration {
            service: name("service"),
            address: Arc::from("10.0.0.1:1"),
            domain: name("d"),
            size: state.size,
            labels: vec![name("r0")],
            incarnation: state.incarnation,
            is_draining: self.draining.contains(worker),
        };
        let registration = (!self.unregistered.contains(worker)).then_some(registration);
        self.handle_event(Event::RegistrationChanged(worker.clone(), registration));
    }

    /// Sets a worker to draining.
    pub fn drain(&mut self, worker: &Name) {
        self.draining.insert(worker.clone());
        self.update_registration(worker);
    }

    pub fn remove_registration(&mut self, worker: &Name) {
        self.unregistered.insert(worker.clone());
        self.update_registration(worker);
    }

    pub fn submit(&mut self, number: u64, spec: spec::Job) {
        let id = id::Job(number);
        let accepted = Accepted {
            queue: name("queue"),
            spec,
            at: Ms(self.now),
        };
        self.jobs.insert(id, (self.epoch + 1, accepted.clone()));
        self.handle_event(Event::Accepted(id, self.epoch + 1, accepted, None));
    }

    /// Sends the leader the rows of the hidden jobs.
    pub fn reveal_hidden_jobs(&mut self) {
        for id in std::mem::take(&mut self.hidden) {
            let (row, accepted) = self.jobs[&id].clone();
            self.handle_event(Event::Accepted(id, row, accepted, None));
        }
    }

    pub fn cancel(&mut self, number: u64) {
        self.cancelled.insert(id::Job(number));
        self.handle_event(Event::Cancelled(id::Job(number)));
    }

    /// Restarts a worker, which loses all its runs.
    pub fn crash(&mut self, worker: &Name, down: u64) {
        let size = self.workers[worker].size;
        let mut fresh = Worker::new(size, self.now);
        fresh.unreachable_until = self.now + down;
        self.log(&format!("crash worker={worker} ms={down}"));
        self.workers.insert(worker.clone(), fresh);
        self.update_registration(worker);
    }

    /// Cuts a worker off from all agents while its runs continue.
    pub fn partition(&mut self, worker: &Name, time: u64) {
        let until = self.now + time;
        self.log(&format!("partition worker={worker} ms={time}"));
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.unreachable_until = until;
            worker.is_partitioned = true;
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Ms(self.now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let epoch = leader.epoch();
        let actions = leader.handle(now, event);
        self.perform(epoch, actions);
    }

    fn perform(&mut self, epoch: Epoch, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(agent, order) => {
                    self.enqueue(
                        self.now + MESSAGE_DELAY_MS,
                        Delivery::Order(agent, epoch, order),
                    );
                }
                Action::Commit(commit) => self.commit(epoch, commit),
                Action::Advise(step, workers) => {
                    self.enqueue(
                        self.now + ADVICE_DURATION_MS,
                        Delivery::Advice(epoch, step, workers),
                    );
                }
                Action::Log(line) => self.log(&format!("epoch={epoch} {line}")),
                Action::Resign(_) => {}
            }
        }
    }

    fn commit(&mut self, epoch: Epoch, commit: Commit) {
        if epoch.0 != self.epoch {
            return;
        }
        let is_lost = self.should_fail(self.faults.lost_commit);
        for (id, progress) in commit.progress {
            self.progress.insert(id, progress);
        }
        if let Some(fleet) = commit.fleet {
            self.fleet = fleet;
        }
        self.enqueue(
            self.now + COMMIT_DURATION_MS,
            Delivery::Commit(epoch, !is_lost),
        );
    }

    /// Runs the simulation until this time after [`START_MS`].
    pub fn run_until(&mut self, until: u64) {
        self.advance(START_MS + until);
    }

    pub fn run_for(&mut self, time: u64) {
        self.advance(self.now + time);
    }

    fn advance(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            self.advance_workers();
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            if self.now.is_multiple_of(TICK_INTERVAL_MS) {
                let unix = Ms(self.now);
                self.handle_event(Event::Tick(unix));
                for agent in self.agents.values_mut() {
                    agent.last_contact = self.now;
                }
            }
            self.schedule();
        }
    }

    fn schedule(&mut self) {
        let now = Ms(self.now);
        if let Some(leader) = &mut self.leader {
            let epoch = leader.epoch();
            let actions = leader.schedule(now);
            self.perform(epoch, actions);
        }
        let mut replaced_leaders = std::mem::take(&mut self.replaced_leaders);
        for leader in &mut replaced_leaders {
            let epoch = leader.epoch();
            let actions = leader.schedule(now);
            let own = name("e0");
            for action in actions {
                if let Action::Send(agent, order) = action
                    && agent == own
                {
                    self.enqueue(
                        self.now + MESSAGE_DELAY_MS,
                        Delivery::Order(agent, epoch, order),
                    );
                }
            }
        }
        self.replaced_leaders = replaced_leaders;
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            if worker.unreachable_until > now && !worker.is_partitioned {
                continue;
            }
            if worker.unreachable_until <= now {
                worker.is_partitioned = false;
            }
            for (task, termination) in worker.advance(now) {
                match termination {
                    Termination::Done => drop(self.done.insert(task)),
                    Termination::Failed => *self.failures.entry(task).or_default() += 1,
                    _ => {}
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Order(agent, epoch, order) => self.handle_order(&agent, epoch, order),
            Delivery::Report(epoch, agent, report) => {
                if epoch.0 == self.epoch {
                    self.handle_event(Event::Received(agent, report));
                }
            }
            Delivery::Called(call) => self.deliver_call(call),
            Delivery::Outcome(call, outcome) => self.handle_outcome(call, outcome),
            Delivery::PollDue(agent, worker, watch) => self.send_regular_poll(agent, worker, watch),
            Delivery::PollNow(call) => self.send_extra_poll(&call),
            Delivery::Polled(poll) => self.deliver_poll(poll),
            Delivery::PollHeld(poll, incarnation) => self.answer_poll(poll, incarnation),
            Delivery::PollAnswered(poll, observation, clock) => {
                self.handle_poll_answer(&poll, observation, clock);
            }
            Delivery::PollTimedOut(poll) => self.handle_poll_timeout(&poll),
            Delivery::Advice(epoch, step, workers) => {
                if epoch.0 == self.epoch {
                    self.answer_advice(step, workers);
                }
            }
            Delivery::Commit(epoch, is_durable) => {
                if epoch.0 == self.epoch {
                    let event = if is_durable {
                        Event::Committed
                    } else {
                        Event::CommitUnconfirmed
                    };
                    self.handle_event(event);
                }
            }
        }
    }

    pub fn stage(&self, number: u64) -> Option<Stage> {
        self.leader.as_ref()?.stage(id::Job(number))
    }
}
