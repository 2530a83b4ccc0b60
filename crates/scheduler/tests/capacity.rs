//! Tests of workers whose capacity shrinks and grows while they run.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use decision::clock::Ms;
use decision::resource::Size;
use scheduler::fleet::Registration;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::progress::Stage;
use scheduler::spec;

const STEP_MS: u64 = 30;
const FULL: Size = size(8_000, 8_000, 2);

const fn size(millicores: u32, memory_mb: u32, accelerators: u32) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators,
    }
}

fn step(count: u32, need: Size) -> spec::Step {
    spec::Step {
        count,
        need,
        estimate: Ms(500),
        ..spec::Step::default()
    }
}

fn filling(count: u32, need: Size) -> spec::Step {
    spec::Step {
        is_filling: true,
        ..step(count, need)
    }
}

fn lasting(count: u32, need: Size) -> spec::Step {
    spec::Step {
        is_lasting: true,
        ..step(count, need)
    }
}

/// A leader with one worker that carries out its orders.
struct Bench {
    leader: Leader,
    now: Ms,
    jobs: u64,
    ends: u64,
    running: BTreeMap<Task, Run>,
    log: Vec<String>,
}

impl Bench {
    /// Creates a leader that knows the worker, with this capacity.
    fn new(capacity: Size) -> Self {
        let mut bench = Self::unregistered();
        bench.register(Some(capacity));
        bench.apply_event(Event::Committed);
        bench
    }

    /// Creates a leader that has polled the worker and has not read its registration.
    fn unregistered() -> Self {
        let mut bench = Self {
            leader: Leader::new(name("e1"), Epoch(17), BOUNDS, Ms(1_000)),
            now: Ms(1_000),
            jobs: 0,
            ends: 0,
            running: BTreeMap::new(),
            log: Vec::new(),
        };
        bench.apply_event(Event::Config(Arc::new(config())));
        bench.apply_event(Event::Joined(name("e1"), name("d1")));
        bench.apply_event(Event::Fleet(vec![Member {
            worker: name("w"),
            address: Arc::from("10.0.0.1:1"),
            domain: name("d1"),
        }]));
        bench.apply_event(Event::Recovered);
        bench.poll();
        bench
    }

    fn apply_event(&mut self, event: Event) {
        self.now += Ms(STEP_MS);
        let mut actions = self.leader.handle(self.now, Event::LeadConfirmed(self.now));
        actions.extend(self.leader.handle(self.now, event));
        actions.extend(self.leader.schedule(self.now));
        for action in actions {
            match action {
                Action::Send(_, Order::Start(start)) => {
                    self.running.insert(start.task, start.run);
                    let report = Report::Started(start.placement(), Outcome::Done);
                    self.apply_event(Event::Received(name("e1"), report));
                }
                Action::Commit(_) => self.apply_event(Event::Committed),
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn register(&mut self, capacity: Option<Size>) {
        let registration = capacity.map(|size| Registration {
            size,
            ..common::registration("d1")
        });
        self.apply_event(Event::RegistrationChanged(name("w"), registration));
    }

    /// Submits a job of this step and returns the number of its tasks that have started.
    fn submit(&mut self, step: spec::Step) -> usize {
        self.jobs += 1;
        let id = Job(self.jobs);
        let accepted = common::accepted_job(vec![step]);
        self.apply_event(Event::Accepted(id, 20 + id.0, accepted, None));
        self.started(id)
    }

    fn started(&self, job: Job) -> usize {
        let tasks = self.running.keys();
        tasks.filter(|task| task.step.job == job).count()
    }

    fn poll(&mut self) {
        self.report(Vec::new());
    }

    fn report(&mut self, ended: Vec<End>) {
        let running = self.running.iter().map(|(&task, &run)| Running {
            task,
            run,
            checkpoint: None,
            percent: 100,
            measurement: 0,
        });
        let observation = Observation {
            worker: name("w"),
            incarnation: INCARNATION,
            polled_at: self.now,
            running: Some(running.collect()),
            ended,
        };
        self.apply_event(Event::Received(name("e1"), Report::Polled(observation)));
    }

    /// Ends this many runs of a job.
    fn end(&mut self, job: Job, count: usize) {
        let tasks = self.running.keys().copied();
        let tasks: Vec<Task> = tasks.filter(|task| task.step.job == job).collect();
        let mut ended = Vec::new();
        for task in tasks.into_iter().take(count) {
            self.ends += 1;
            let run = self.running.remove(&task);
            ended.push(End {
                number: self.ends,
                task,
                run: run.expect("the task runs"),
                termination: Termination::Done,
                checkpoint: None,
            });
        }
        self.report(ended);
    }
}

#[test]
fn starts_stay_within_a_capacity_that_has_shrunk() {
    // What runs, the capacity that shrinks, what is submitted then, and how many of it start.
    let cases = [
        (lasting(4, size(1_000, 500, 0)), size(6_000, 8_000, 2), 2),
        (lasting(4, size(1_000, 500, 0)), size(8_000, 3_000, 2), 1),
        (lasting(2, size(1_000, 500, 1)), size(8_000, 8_000, 1), 0),
        (lasting(4, size(1_000, 500, 0)), size(4_000, 2_000, 0), 0),
        (lasting(4, size(1_000, 500, 0)), Size::ZERO, 0),
    ];
    for (running, shrunk, expected) in cases {
        let mut bench = Bench::new(FULL);
        let count = running.count as usize;
        assert_eq!(bench.submit(running), count, "{shrunk:?}");
        bench.register(Some(shrunk));
        bench.poll();
        let started = bench.submit(step(8, size(1_000, 1_000, 0)));
        assert_eq!(started, expected, "{shrunk:?}");
    }
}

#[test]
fn a_worker_over_its_shrunk_capacity_gets_no_task_at_all() {
    // A task that needs nothing of the exceeded dimension would still be a start over the capacity.
    let cases = [
        (size(3_000, 8_000, 2), step(1, size(0, 100, 0))),
        (size(3_000, 8_000, 2), filling(1, size(500, 100, 0))),
        (size(8_000, 1_500, 2), step(1, size(100, 0, 0))),
        (size(8_000, 1_500, 2), filling(1, size(500, 0, 0))),
        (size(8_000, 8_000, 0), step(1, size(100, 100, 0))),
        (size(8_000, 8_000, 0), lasting(1, size(100, 100, 0))),
        (Size::ZERO, step(1, Size::ZERO)),
    ];
    for (shrunk, added) in cases {
        let mut bench = Bench::new(FULL);
        assert_eq!(bench.submit(lasting(4, size(1_000, 500, 0))), 4);
        assert_eq!(bench.submit(step(1, size(0, 0, 1))), 1);
        bench.register(Some(shrunk));
        let started = bench.submit(added.clone());
        assert_eq!(started, 0, "{shrunk:?} {added:?}");
        bench.register(Some(FULL));
        assert_eq!(bench.started(Job(3)), 1, "{shrunk:?} {added:?}");
    }
}

#[test]
fn a_run_that_is_being_stopped_counts_against_a_shrunk_capacity() {
    let mut bench = Bench::new(FULL);
    assert_eq!(bench.submit(lasting(4, size(1_000, 500, 0))), 4);
    bench.register(Some(size(4_000, 8_000, 2)));
    bench.apply_event(Event::Cancelled(Job(1)));
    assert_eq!(bench.submit(step(1, size(1_000, 500, 0))), 0);
    bench.end(Job(1), 1);
    assert_eq!(bench.started(Job(2)), 1);
}

#[test]
fn a_capacity_that_grows_is_used_at_once() {
    let mut bench = Bench::new(size(2_000, 8_000, 0));
    assert_eq!(bench.submit(step(8, size(1_000, 500, 0))), 2);
    bench.register(Some(size(5_000, 8_000, 0)));
    assert_eq!(bench.started(Job(1)), 5);
    bench.register(Some(size(5_000, 1_000, 0)));
    bench.end(Job(1), 4);
    assert_eq!(bench.started(Job(1)), 2);
}

#[test]
fn a_job_that_fits_only_the_former_capacity_waits_and_is_not_failed() {
    let mut bench = Bench::new(size(4_000, 4_000, 0));
    assert_eq!(bench.submit(step(1, size(6_000, 500, 0))), 0);
    for _ in 0..1_000 {
        bench.apply_event(Event::Tick(bench.now));
    }
    assert_eq!(bench.leader.stage(Job(1)), Some(Stage::Queued));
    bench.register(Some(FULL));
    assert_eq!(bench.started(Job(1)), 1);
}

#[test]
fn a_worker_whose_capacity_is_not_known_gets_no_task() {
    let mut bench = Bench::unregistered();
    assert_eq!(bench.submit(step(1, Size::ZERO)), 0);
    assert_eq!(bench.submit(filling(1, Size::ZERO)), 0);
    bench.register(Some(size(100, 100, 0)));
    assert_eq!(bench.started(Job(1)) + bench.started(Job(2)), 2);
    // The registration is removed while the worker still runs.
    bench.register(None);
    assert_eq!(bench.submit(step(1, Size::ZERO)), 0);
}

#[test]
fn filling_tasks_get_no_processors_that_a_shrunk_worker_no_longer_has() {
    let mut bench = Bench::new(FULL);
    assert_eq!(bench.submit(lasting(4, size(1_000, 500, 0))), 4);
    // The serving tasks are expected to leave half of their processors.
    bench.register(Some(size(4_000, 8_000, 0)));
    assert_eq!(bench.submit(filling(8, size(1_000, 100, 0))), 2);
}

#[test]
fn sums_of_large_requests_and_capacities_do_not_overflow() {
    let largest = size(u32::MAX, u32::MAX, u32::MAX);
    let mut bench = Bench::new(largest);
    assert_eq!(bench.submit(lasting(5, size(1_000_000_000, 1, 0))), 4);
    assert_eq!(bench.submit(filling(1, size(2_000_000_000, 1, 0))), 1);
    bench.register(Some(FULL));
    assert_eq!(bench.submit(filling(1, size(1, 1, 0))), 0);
    // Runs that an earlier leader started are booked whatever they need.
    let mut bench = Bench::new(FULL);
    assert_eq!(bench.submit(filling(3, size(2_000_000_000, 1, 0))), 0);
    for index in 0..3 {
        let step = id::Step {
            job: Job(1),
            occurrence: 0,
            step: 0,
        };
        bench
            .running
            .insert(Task { step, index }, Run(9 + u64::from(index)));
    }
    bench.poll();
    assert_eq!(bench.submit(filling(1, size(1, 1, 0))), 0);
    bench.end(Job(1), 3);
    assert_eq!(bench.started(Job(2)), 1);
}

#[test]
fn each_change_of_a_capacity_is_logged_once() {
    let mut bench = Bench::new(FULL);
    let shrunk = size(4_000, 8_000, 2);
    for capacity in [FULL, shrunk, shrunk, FULL] {
        bench.register(Some(capacity));
    }
    let lines = bench.log.iter();
    let lines: Vec<&String> = lines
        .filter(|line| line.starts_with("kind=worker-resized"))
        .collect();
    let expected = [
        "kind=worker-resized worker=w old=8000/8000/2 new=4000/8000/2",
        "kind=worker-resized worker=w old=4000/8000/2 new=8000/8000/2",
    ];
    assert_eq!(lines, expected);
}
