//! Tests of the leader's work on large fleets: how workers are shared out to agents, and how steps
//! that find no room wait.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::accepted_job;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::fleet::Claim;
use scheduler::fleet::Registration;
use scheduler::fleet::Worker;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Step;
use scheduler::id::Task;
use scheduler::interference::Model;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::placement;
use scheduler::placement::Request;
use scheduler::spec;

const BEGUN: Ms = Ms(10_000);
/// The version of the rows of all jobs, above that of the leader's own row.
const NEW_ROW: u64 = 100;
const DOMAINS: usize = 3;

fn worker(index: usize) -> Name {
    name(&format!("w{index:04}"))
}

fn domain(index: usize) -> String {
    format!("d{}", index % DOMAINS)
}

fn size(millicores: u32, memory_mb: u32) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators: 0,
    }
}

/// Returns the registration of a worker; the workers have different sizes.
fn listed(index: usize) -> Registration {
    let extra = u32::try_from(index % 7).expect("small");
    Registration {
        size: size(8_000 + extra * 1_000, 64_000),
        address: Arc::from(format!("10.0.{}.{}:1", index / 200, index % 200)),
        ..registration(&domain(index))
    }
}

/// A leader, and what its agents have been ordered.
struct Fixture {
    leader: Leader,
    now: Ms,
    /// The agent of each worker by the last order.
    agents: BTreeMap<Name, Name>,
    watches: usize,
    unwatches: usize,
}

impl Fixture {
    fn begin() -> Self {
        let mut fixture = Self {
            leader: Leader::new(name("e0"), Epoch(7), BOUNDS, BEGUN),
            now: BEGUN,
            agents: BTreeMap::new(),
            watches: 0,
            unwatches: 0,
        };
        fixture.handle(Event::Config(Arc::new(config())));
        fixture
    }

    fn handle(&mut self, event: Event) -> Vec<Start> {
        let actions = self.leader.handle(self.now, event);
        self.perform(actions)
    }

    fn schedule(&mut self, now: Ms) -> Vec<Start> {
        self.now = now;
        self.handle(Event::LeadConfirmed(now));
        let actions = self.leader.schedule(now);
        self.perform(actions)
    }

    fn perform(&mut self, actions: Vec<Action>) -> Vec<Start> {
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Send(agent, Order::Watch(watch)) => {
                    self.watches += 1;
                    self.agents.insert(watch.worker, agent);
                }
                Action::Send(_, Order::Unwatch(_)) => self.unwatches += 1,
                Action::Send(_, Order::Start(start)) => starts.push(start),
                Action::Commit(_) => starts.extend(self.handle(Event::Committed)),
                _ => {}
            }
        }
        starts
    }

    fn restore(&mut self, workers: usize) {
        let members = (0..workers).map(|index| Member {
            worker: worker(index),
            address: listed(index).address,
            domain: name(&domain(index)),
        });
        self.handle(Event::Fleet(members.collect()));
        for index in 0..workers {
            self.register(index);
        }
    }

    fn register(&mut self, index: usize) {
        let event = Event::RegistrationChanged(worker(index), Some(listed(index)));
        self.handle(event);
    }

    fn join(&mut self, agent: usize) {
        let entry = name(&format!("e{agent}"));
        self.handle(Event::Joined(entry, name(&domain(agent))));
    }

    fn tick(&mut self, now: Ms) {
        self.now = now;
        self.handle(Event::Tick(now));
    }

    /// Returns the number of workers of each agent.
    fn loads(&self) -> BTreeMap<Name, usize> {
        let mut loads = BTreeMap::new();
        for agent in self.agents.values() {
            *loads.entry(agent.clone()).or_default() += 1;
        }
        loads
    }

    fn observe(&mut self, name: &Name, ended: Vec<End>) {
        let observation = Observation {
            worker: name.clone(),
            incarnation: INCARNATION,
            polled_at: self.now,
            running: ended.is_empty().then(Vec::new),
            ended,
        };
        let agent = self.agents[name].clone();
        self.handle(Event::Received(agent, Report::Polled(observation)));
    }

    /// Starts with this number of workers, all of which have answered a poll.
    fn with_workers(workers: usize) -> Self {
        let mut fixture = Self::begin();
        fixture.join(0);
        for index in 0..workers {
            fixture.register(index);
        }
        fixture.handle(Event::Recovered);
        fixture.tick(BEGUN + Ms(2_000));
        let now = fixture.now;
        fixture.schedule(now);
        for index in 0..workers {
            fixture.observe(&worker(index), Vec::new());
        }
        fixture
    }

    fn accept(&mut self, job: u64, step: spec::Step) {
        let event = Event::Accepted(Job(job), NEW_ROW + job, accepted_job(vec![step]), None);
        self.handle(event);
    }

    fn end(&mut self, start: &Start) {
        let started = Report::Started(start.placement(), Outcome::Done);
        let agent = self.agents[&start.worker].clone();
        self.handle(Event::Received(agent, started));
        let end = End {
            number: 1,
            task: start.task,
            run: start.run,
            termination: Termination::Done,
            checkpoint: None,
        };
        self.observe(&start.worker, vec![end]);
    }
}

fn plain(count: u32, millicores: u32) -> spec::Step {
    spec::Step {
        count,
        need: size(millicores, 100),
        ..spec::Step::default()
    }
}

/// Each agent that connected was sent the watches of the whole fleet, and the first ones polled most
/// of it until they handed it on.
#[test]
fn a_takeover_of_a_large_fleet_orders_each_worker_to_be_watched_few_times() {
    const WORKERS: usize = 1_100;
    const AGENTS: usize = 147;
    let mut fixture = Fixture::begin();
    fixture.restore(WORKERS);
    for agent in 0..AGENTS {
        fixture.now = BEGUN + Ms(agent as u64);
        fixture.join(agent);
        let most = fixture.loads().into_values().max();
        assert!(most.is_none_or(|most| most <= 16), "{most:?} after {agent}");
    }
    fixture.tick(BEGUN + Ms(1_000));
    assert_eq!(fixture.agents.len(), WORKERS);
    assert!(
        fixture.watches <= 3 * WORKERS,
        "{} watches",
        fixture.watches
    );
}

#[test]
fn agents_share_the_workers_of_their_failure_domain_evenly() {
    for (workers, agents) in [(9, 6), (48, 6), (350, 44), (500, 31)] {
        let mut fixture = Fixture::begin();
        fixture.restore(workers);
        for agent in 0..agents {
            fixture.now = BEGUN + Ms(agent as u64 * 40);
            fixture.join(agent);
        }
        fixture.tick(BEGUN + Ms(3_000));
        for (index, agent) in (0..workers).map(|index| (index, &fixture.agents[&worker(index)])) {
            let number: usize = agent[1..].parse().expect("an agent's number");
            assert_eq!(number % DOMAINS, index % DOMAINS, "worker {index}: {agent}");
        }
        let loads = fixture.loads();
        for domain in 0..DOMAINS {
            // The leader's own agent gets fewer.
            let others = (1..agents).filter(|agent| agent % DOMAINS == domain);
            let load = |agent| loads.get(&name(&format!("e{agent}"))).copied();
            let others: BTreeSet<usize> = others.map(|it| load(it).unwrap_or(0)).collect();
            let (least, most) = (others.first(), others.last());
            let spread = most.zip(least).map_or(0, |(most, least)| most - least);
            assert!(
                spread <= 1,
                "{workers} workers, domain {domain}: {others:?}"
            );
        }
    }
}

#[test]
fn workers_of_an_agent_that_leaves_are_watched_by_others_at_once() {
    let mut fixture = Fixture::begin();
    fixture.restore(350);
    for agent in 0..44 {
        fixture.join(agent);
    }
    fixture.tick(BEGUN + Ms(2_000));
    let orphans = fixture.loads()[&name("e5")];
    let earlier = (fixture.watches, fixture.unwatches);
    fixture.handle(Event::Left(name("e5")));
    assert!(fixture.agents.values().all(|agent| *agent != name("e5")));
    let changes = (fixture.watches - earlier.0, fixture.unwatches - earlier.1);
    assert_eq!(changes, (orphans, 0));
}

/// A step scores the fleet once and updates the workers that it books.
#[test]
fn a_step_takes_the_same_workers_as_a_choice_from_the_whole_fleet_for_each_task() {
    const WORKERS: usize = 60;
    const TASKS: u32 = 150;
    let mut fixture = Fixture::with_workers(WORKERS);
    let step = plain(TASKS, 2_300);
    fixture.accept(1, step.clone());
    let chosen = fixture.schedule(Ms(13_000));

    let mut workers: BTreeMap<Name, Worker> = BTreeMap::new();
    for index in 0..WORKERS {
        let known = Worker {
            registration: Some(listed(index)),
            agent: Some(name("e0")),
            incarnation: Some(INCARNATION),
            is_known: true,
            ..Worker::default()
        };
        workers.insert(worker(index), known);
    }
    let mut model = Model::default();
    let claim = Claim::new(&step, &mut model);
    let id = Step {
        job: Job(1),
        ..Step::default()
    };
    let service = name("service");
    let request = Request {
        service: &service,
        spec: &step,
        claim: &claim,
        step: id,
        tickets: None,
        failed_on: None,
        is_suspect: false,
        rack: None,
        avoids_slow: true,
        kept_slack: 1.0,
    };
    let mut expected = Vec::new();
    for index in 0..TASKS {
        let best = placement::choose(&request, &model, workers.iter(), |_| true, Ms(13_000));
        let best = best.expect("there is room");
        let task = Task { step: id, index };
        let worker = workers.get_mut(&best).expect("a worker");
        worker.book(&claim, task, Run(u64::from(index)));
        expected.push((task, best));
    }
    let chosen: Vec<(Task, Name)> = chosen
        .into_iter()
        .map(|start| (start.task, start.worker))
        .collect();
    assert_eq!(chosen, expected);
}

/// A search of a very large fleet ends early, and the next one begins where it ended.
#[test]
fn steps_are_spread_over_a_fleet_that_is_not_searched_as_a_whole() {
    const WORKERS: usize = 4_000;
    let mut fixture = Fixture::with_workers(WORKERS);
    let mut used = BTreeSet::new();
    for job in 1..=8 {
        fixture.accept(job, plain(250, 5_000));
        let starts = fixture.schedule(Ms(13_000 + job * 30));
        assert_eq!(starts.len(), 250, "job {job}");
        used.extend(starts.into_iter().map(|start| start.worker));
    }
    assert_eq!(used.len(), 2_000);
    // What is left of the fleet is found as well.
    fixture.accept(9, plain(2_000, 5_000));
    let starts = fixture.schedule(Ms(14_000));
    used.extend(starts.into_iter().map(|start| start.worker));
    assert_eq!(used.len(), WORKERS);
}

/// A step without room is tried again on the workers that have changed, not on the whole fleet.
#[test]
fn a_step_without_room_starts_as_soon_as_a_run_ends_anywhere() {
    for ended in [0, 17, 39] {
        let mut fixture = Fixture::with_workers(40);
        fixture.accept(1, plain(40, 8_000));
        let running = fixture.schedule(Ms(13_000));
        assert_eq!(running.len(), 40);
        fixture.accept(2, plain(3, 8_000));
        assert_eq!(fixture.schedule(Ms(13_030)), []);
        assert_eq!(fixture.schedule(Ms(13_060)), []);
        fixture.end(&running[ended]);
        let starts = fixture.schedule(Ms(13_090));
        let workers: Vec<&Name> = starts.iter().map(|start| &start.worker).collect();
        assert_eq!(workers, [&running[ended].worker]);
    }
}

#[test]
fn a_step_without_room_starts_on_a_worker_that_registers_later() {
    let mut fixture = Fixture::with_workers(2);
    fixture.accept(1, plain(2, 8_000));
    assert_eq!(fixture.schedule(Ms(13_000)).len(), 2);
    fixture.accept(2, plain(1, 8_000));
    assert_eq!(fixture.schedule(Ms(13_030)), []);
    fixture.register(2);
    fixture.observe(&worker(2), Vec::new());
    // The store lists the worker once the commit of this pass is durable.
    let mut starts = fixture.schedule(Ms(13_060));
    starts.extend(fixture.schedule(Ms(13_090)));
    let workers: Vec<&Name> = starts.iter().map(|start| &start.worker).collect();
    assert_eq!(workers, [&worker(2)]);
}

/// Load: more filling work than the fleet completes. A job that was started at the last moment for
/// its objective, and is slowed, misses it, and so does the one that waits behind it.
#[test]
fn filling_work_that_leaves_no_time_for_pacing_comes_after_work_that_does() {
    // The objective is 6,250 ms after acceptance, so 1,050 ms remain for waiting and pacing.
    for (waited, first) in [(1_000, 1), (1_100, 2)] {
        let mut fixture = Fixture::with_workers(1);
        let filling = spec::Step {
            need: size(100, 64_000),
            estimate: Ms(4_000),
            is_filling: true,
            ..plain(1, 0)
        };
        let begun = Ms(20_000);
        fixture.now = begun;
        fixture.accept(1, filling.clone());
        fixture.now = begun + Ms(waited);
        fixture.accept(2, filling);
        let starts = fixture.schedule(begun + Ms(waited));
        let jobs: Vec<Job> = starts.iter().map(|start| start.task.step.job).collect();
        assert_eq!(jobs, [Job(first)], "after {waited} ms");
    }
}

/// Many agents that connect at once report all their workers before the rows are read.
#[test]
fn reports_before_the_recovery_are_kept_once_for_each_worker() {
    let mut fixture = Fixture::begin();
    fixture.join(0);
    fixture.register(0);
    fixture.tick(BEGUN + Ms(1_000));
    for _ in 0..100 {
        fixture.observe(&worker(0), Vec::new());
    }
    assert_eq!(fixture.leader.deferred_reports(), 1);
    fixture.handle(Event::Recovered);
    assert_eq!(fixture.leader.deferred_reports(), 0);
    assert!(!fixture.leader.has_unheard_workers());
}

/// Steps that fit on no worker came before one that does. After 24 of them a pass tried no more, and
/// each pass tried the same ones.
#[test]
fn a_small_step_starts_although_many_that_never_find_room_come_before_it() {
    for hopeless in [23, 30, 100, 400] {
        let mut fixture = Fixture::with_workers(4);
        fixture.now = Ms(13_000);
        for job in 0..hopeless {
            // Each needs less of the processors and more memory than the one before.
            let need = u32::try_from(job).expect("few jobs");
            let step = spec::Step {
                need: size(30_000 - need, 70_000 + need),
                ..plain(1, 0)
            };
            fixture.accept(1 + job, step);
        }
        fixture.now = Ms(13_010);
        fixture.accept(1_000, plain(1, 1_000));
        let mut passes = 0;
        while fixture.schedule(Ms(13_030 + passes * 30)).is_empty() {
            passes += 1;
            let most = 1 + hopeless / 3;
            assert!(passes <= most, "{hopeless} steps, {passes} passes");
        }
    }
}

/// A pass considers the most urgent of very many steps, in the same order as of few.
#[test]
fn the_most_urgent_of_very_many_steps_start_first() {
    for waiting in [2_000, 2_100] {
        let mut fixture = Fixture::with_workers(1);
        // The objective of a job is 250 ms. Those of the first half miss it, the others do not.
        for job in 0..waiting {
            fixture.now = Ms(13_000 + if job < waiting / 2 { 0 } else { 400 });
            fixture.accept(1 + job, plain(1, 8_000));
        }
        let running = fixture.schedule(Ms(13_500));
        let first = Job(1 + waiting / 2);
        let jobs: Vec<Job> = running.iter().map(|start| start.task.step.job).collect();
        assert_eq!(jobs, [first], "{waiting} steps");
        fixture.end(&running[0]);
        let next = fixture.schedule(Ms(13_530));
        let jobs: Vec<Job> = next.iter().map(|start| start.task.step.job).collect();
        assert_eq!(jobs, [Job(first.0 + 1)], "{waiting} steps");
    }
}
