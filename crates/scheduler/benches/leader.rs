//! Benchmarks of the leader at growing numbers of workers: a takeover, starts, ends, and a pass in
//! which no step finds room.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::config::Config;
use scheduler::config::Queue;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::job::Accepted;
use scheduler::leader::Action;
use scheduler::leader::Bounds;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::spec;

/// The numbers of workers. `LEADER_BENCH_WORKERS` limits them, for builds whose cost grows too fast.
const SIZES: [u32; 5] = [48, 350, 1_100, 5_000, 25_000];
/// The number of workers for each agent.
const WORKERS_PER_AGENT: u32 = 8;
const DOMAINS: u32 = 5;
const WORKERS_PER_RACK: u32 = 12;
const INCARNATION: Ms = Ms(77);
/// The number of tasks of a filling step.
const FILLING_TASKS: u32 = 40;
/// The number of long-running tasks on each worker.
const SERVING_TASKS: u32 = 4;
/// The number of steps that wait for room in a crowded pass.
const WAITING_STEPS: u64 = 50;
/// The time between two passes of a leader whose steps find no room.
const PASS_INTERVAL: Ms = Ms(30);
const CAPACITY: Size = Size {
    millicores: 32_000,
    memory_mb: 125_000,
    accelerators: 0,
};
const BOUNDS: Bounds = Bounds {
    lease: Ms(10_000),
    retention: Ms(120_000),
    harm: Ms(5_000),
};

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("benchmark names are valid")
}

fn worker_name(index: u32) -> Name {
    name(&format!("worker-{index:05}"))
}

fn domain(index: u32) -> Name {
    name(&format!("domain-{}", index % DOMAINS))
}

fn address(index: u32) -> Arc<str> {
    Arc::from(format!("10.0.{}.{}:80", index / 250, index % 250))
}

fn config() -> Config {
    let queue = Queue {
        name: name("queue"),
        host: Arc::from("host"),
        prefix: Arc::from("/q/"),
        service: name("service"),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        latency_allowance: Ms(1_000),
        needs_ticket: false,
    };
    Config {
        version: 1,
        queues: vec![queue],
        services: Vec::new(),
        max_body_bytes: 1_000,
    }
}

fn registration(index: u32) -> Registration {
    Registration {
        service: name("service"),
        address: address(index),
        domain: domain(index),
        size: CAPACITY,
        labels: vec![
            name("kind"),
            name(&format!("rack-{}", index / WORKERS_PER_RACK)),
        ],
        incarnation: INCARNATION,
        is_draining: false,
    }
}

fn accepted(step: spec::Step) -> Accepted {
    Accepted {
        queue: name("queue"),
        spec: spec::Job {
            payload: Arc::from("payload"),
            steps: vec![step],
            schedule: None,
        },
        at: Ms(1),
    }
}

fn need(millicores: u32, memory_mb: u32) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators: 0,
    }
}

/// A leader with its fleet, whose agents answer at once.
struct World {
    leader: Leader,
    now: Ms,
    workers: u32,
    jobs: u64,
    /// The agent of each worker.
    agents: BTreeMap<Name, Name>,
    /// The number of the last end of each worker.
    ends: BTreeMap<Name, u64>,
    /// The orders to start that were not answered yet.
    starts: Vec<Start>,
}

impl World {
    fn new(workers: u32) -> Self {
        Self {
            leader: Leader::new(name("entry-00000"), Epoch(7), BOUNDS, Ms(1_000)),
            now: Ms(1_000),
            workers,
            jobs: 0,
            agents: BTreeMap::new(),
            ends: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    /// Passes all that a new leader is told to it, as after a takeover.
    fn take_over(&mut self) {
        self.handle(Event::Config(Arc::new(config())));
        let members = (0..self.workers).map(|index| Member {
            worker: worker_name(index),
            address: address(index),
            domain: domain(index),
        });
        self.handle(Event::Fleet(members.collect()));
        for index in 0..self.workers {
            let event = Event::RegistrationChanged(worker_name(index), Some(registration(index)));
            self.handle(event);
        }
        for index in 0..(self.workers / WORKERS_PER_AGENT).max(6) {
            self.now += Ms(1);
            let entry = name(&format!("entry-{index:05}"));
            self.handle(Event::Joined(entry, domain(index)));
        }
        self.handle(Event::Recovered);
        self.now += Ms(2_000);
        self.handle(Event::Tick(Ms(1)));
    }

    fn handle(&mut self, event: Event) {
        let actions = self.leader.handle(self.now, event);
        self.perform(actions);
    }

    fn schedule(&mut self) {
        let actions = self.leader.schedule(self.now);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(agent, Order::Watch(watch)) => {
                    self.agents.insert(watch.worker, agent);
                }
                Action::Send(_, Order::Start(start)) => self.starts.push(start),
                Action::Commit(_) => self.handle(Event::Committed),
                _ => {}
            }
        }
    }

    /// Lets time pass, with a confirmed lead.
    fn advance(&mut self) {
        self.now += PASS_INTERVAL;
        self.handle(Event::LeadConfirmed(self.now));
    }

    fn report(&mut self, worker: &Name, report: Report) {
        let agent = self.agents[worker].clone();
        self.handle(Event::Received(agent, report));
    }

    /// Answers the poll of each worker without any run.
    fn answer_polls(&mut self) {
        for index in 0..self.workers {
            let worker = worker_name(index);
            self.observe(&worker, Vec::new(), Vec::new());
        }
    }

    fn observe(&mut self, worker: &Name, running: Vec<Running>, ended: Vec<End>) {
        let running = ended.is_empty().then_some(running);
        let observation = Observation {
            worker: worker.clone(),
            incarnation: INCARNATION,
            polled_at: self.now,
            running,
            ended,
        };
        self.report(worker, Report::Polled(observation));
    }

    fn accept(&mut self, step: spec::Step) {
        self.jobs += 1;
        let event = Event::Accepted(Job(self.jobs), 100 + self.jobs, accepted(step), None);
        self.handle(event);
    }

    /// Books most of each worker with long-running tasks.
    fn fill_with_serving(&mut self) {
        for image in 0..self.workers * SERVING_TASKS / 20 {
            self.advance();
            self.accept(spec::Step {
                count: 20,
                need: need(6_400, 13_000),
                is_lasting: true,
                image: Some(Arc::from(format!("serving-{}", image % 16))),
                tail_limit: Some(Ms(18)),
                ..spec::Step::default()
            });
            self.schedule();
            self.answer_starts();
        }
    }

    /// Answers the orders to start, and returns them.
    fn answer_starts(&mut self) -> Vec<Start> {
        let starts = std::mem::take(&mut self.starts);
        for start in &starts {
            let report = Report::Started(start.placement(), Outcome::Done);
            self.report(&start.worker, report);
        }
        starts
    }

    /// Reports that these runs are done.
    fn end(&mut self, starts: &[Start]) {
        for start in starts {
            let number = self.ends.entry(start.worker.clone()).or_default();
            *number += 1;
            let end = End {
                number: *number,
                task: start.task,
                run: start.run,
                termination: Termination::Done,
                checkpoint: None,
            };
            self.observe(&start.worker.clone(), Vec::new(), vec![end]);
        }
    }

    fn accept_filling(&mut self) {
        self.advance();
        let image = self.jobs % 30;
        self.accept(spec::Step {
            count: FILLING_TASKS,
            need: need(3_500, 6_400),
            estimate: Ms(2_300),
            image: Some(Arc::from(format!("filling-{image}"))),
            is_filling: true,
            ..spec::Step::default()
        });
    }
}

/// Returns a leader of a fleet whose workers are booked with long-running tasks for the most part.
fn booked(workers: u32) -> World {
    let mut world = World::new(workers);
    world.take_over();
    world.advance();
    world.answer_polls();
    world.schedule();
    world.fill_with_serving();
    world
}

fn sizes() -> impl Iterator<Item = u32> {
    let limit = std::env::var("LEADER_BENCH_WORKERS").ok();
    let limit = limit.and_then(|raw| raw.parse().ok()).unwrap_or(u32::MAX);
    SIZES.into_iter().filter(move |&size| size <= limit)
}

fn bench_takeover(c: &mut Criterion) {
    let mut group = c.benchmark_group("takeover");
    for workers in sizes() {
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|iterations| {
                let mut total = Duration::ZERO;
                for _ in 0..iterations {
                    let mut world = World::new(workers);
                    let begun = Instant::now();
                    world.take_over();
                    total += begun.elapsed();
                    black_box(&world.agents);
                }
                total
            });
        });
    }
    group.finish();
}

/// The time for each started task, and for each end, of a step of filling tasks.
fn bench_tasks(c: &mut Criterion) {
    for workers in sizes() {
        let mut world = booked(workers);
        let mut group = c.benchmark_group("task");
        group.bench_function(BenchmarkId::new("start", workers), |b| {
            b.iter_custom(|iterations| run_steps(&mut world, iterations).0);
        });
        group.bench_function(BenchmarkId::new("end", workers), |b| {
            b.iter_custom(|iterations| run_steps(&mut world, iterations).1);
        });
        group.finish();
    }
}

/// Runs this number of filling steps to their end. Returns the time for each task spent on starts
/// and on ends, times the number of steps.
fn run_steps(world: &mut World, steps: u64) -> (Duration, Duration) {
    let (mut starting, mut ending) = (Duration::ZERO, Duration::ZERO);
    let mut tasks = 0;
    for _ in 0..steps {
        world.accept_filling();
        let begun = Instant::now();
        world.schedule();
        starting += begun.elapsed();
        let mut all = world.answer_starts();
        let begun = Instant::now();
        world.end(&all);
        world.now += Ms(50);
        world.schedule();
        ending += begun.elapsed();
        tasks += all.len();
        // A small fleet starts the rest of a step only after the first tasks have ended.
        while tasks > 0 && !all.is_empty() {
            world.advance();
            world.schedule();
            all = world.answer_starts();
            world.end(&all);
        }
    }
    let per_step = |time: Duration| {
        let share = u32::try_from(tasks).unwrap_or(u32::MAX).max(1);
        time / share * u32::try_from(steps).unwrap_or(u32::MAX)
    };
    (per_step(starting), per_step(ending))
}

/// The time of a pass over steps that find no room, while a few runs end between two passes.
fn bench_crowded(c: &mut Criterion) {
    let mut group = c.benchmark_group("crowded");
    for workers in sizes() {
        let mut world = booked(workers);
        for index in 0..WAITING_STEPS {
            let millicores = 20_000 + u32::try_from(index).unwrap_or(0) * 7_919 % 12_000;
            world.accept(spec::Step {
                count: 10,
                need: need(millicores, 60_000),
                estimate: Ms(1_000),
                ..spec::Step::default()
            });
        }
        world.schedule();
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|iterations| {
                let mut total = Duration::ZERO;
                for _ in 0..iterations {
                    world.advance();
                    for index in 0..16 {
                        let worker = worker_name(index * world.workers / 16);
                        world.observe(&worker, Vec::new(), Vec::new());
                    }
                    let begun = Instant::now();
                    world.schedule();
                    total += begun.elapsed();
                }
                total
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800));
    targets = bench_takeover, bench_tasks, bench_crowded
}
criterion_main!(benches);
