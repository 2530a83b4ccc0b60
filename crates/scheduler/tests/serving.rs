//! Where tasks go, given the figures of the workers.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::BOUNDS;
use common::config;
use common::name;
use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::job::Accepted;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Start;
use scheduler::spec;

const BORN: Ms = Ms(77);
const LIMIT: Ms = Ms(18);
const CALM_TAIL: u32 = 8;
const SLOW_TAIL: u32 = 1_000;

fn worker(index: usize) -> Name {
    name(&format!("w{index}"))
}

fn registration() -> Registration {
    Registration {
        service: name("service"),
        address: Arc::from("10.0.0.1:1"),
        domain: name("d1"),
        size: size(16_000),
        labels: Vec::new(),
        incarnation: BORN,
        is_draining: false,
    }
}

fn size(millicores: u32) -> Size {
    Size {
        millicores,
        memory_mb: millicores,
        accelerators: 0,
    }
}

/// A leader with workers that run what it orders.
struct Fleet {
    leader: Leader,
    now: Ms,
    running: BTreeMap<Name, Vec<Start>>,
    serving: Job,
    /// Commits with what has been learned.
    summaries: usize,
}

impl Fleet {
    /// A fleet of workers with two serving tasks each.
    fn new(workers: usize) -> Self {
        let mut fleet = Self {
            leader: Leader::new(name("e1"), Epoch(17), BOUNDS, Ms(1_000)),
            now: Ms(1_000),
            running: (0..workers).map(|w| (worker(w), Vec::new())).collect(),
            serving: Job(1),
            summaries: 0,
        };
        let mut begin = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e1"), name("d1")),
            Event::Recovered,
        ];
        begin.extend(
            (0..workers).map(|w| Event::RegistrationChanged(worker(w), Some(registration()))),
        );
        fleet.play(begin);
        fleet.play(vec![Event::Committed]);
        fleet.look(&[]);
        let step = spec::Step {
            count: u32::try_from(workers * 2).expect("small"),
            need: size(6_000),
            is_lasting: true,
            per_worker: Some(2),
            image: Some(Arc::from("orders")),
            tail_limit: Some(LIMIT),
            ..spec::Step::default()
        };
        fleet.submit(fleet.serving, step);
        fleet
    }

    fn submit(&mut self, job: Job, step: spec::Step) {
        let accepted = Accepted {
            queue: name("queue"),
            spec: spec::Job {
                payload: Arc::from(""),
                steps: vec![step],
                schedule: None,
            },
            at: Ms(1),
        };
        let row = 20 + job.0;
        self.play(vec![Event::Accepted(job, row, accepted, None)]);
    }

    /// Lets all workers report; serving tasks on the `slow` ones have a far higher tail.
    fn look(&mut self, slow: &[Name]) {
        self.now += Ms(700);
        let mut events = vec![Event::Tick(self.now)];
        for (worker, starts) in &self.running {
            let tail = if slow.contains(worker) {
                SLOW_TAIL
            } else {
                CALM_TAIL
            };
            let running = starts.iter().map(|start| Running {
                task: start.task,
                run: start.run,
                checkpoint: None,
                percent: 100,
                measurement: if start.task.step.job == self.serving {
                    tail
                } else {
                    1_000
                },
            });
            events.push(Event::Received(
                name("e1"),
                Report::Polled(Observation {
                    worker: worker.clone(),
                    incarnation: BORN,
                    polled_at: self.now,
                    running: Some(running.collect()),
                    ended: Vec::new(),
                }),
            ));
        }
        self.play(events);
    }

    /// Tells the leader of events and starts what it orders.
    fn play(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        for event in events {
            actions.extend(self.leader.handle(self.now, event));
        }
        actions.extend(self.leader.schedule(self.now));
        let mut answers = Vec::new();
        for action in actions {
            match action {
                Action::Commit(commit) => {
                    self.summaries += usize::from(commit.interference.is_some());
                    answers.push(Event::Committed);
                }
                Action::Send(agent, Order::Start(start)) => {
                    let placement = start.placement();
                    let note = Report::Started(placement, Outcome::Done);
                    answers.push(Event::Received(agent, note));
                    let here = self.running.get_mut(&start.worker);
                    here.expect("a worker of the fleet").push(start);
                }
                _ => {}
            }
        }
        if !answers.is_empty() {
            self.play(answers);
        }
    }

    /// The workers that run tasks of a job, each as often as it does.
    fn workers_of(&self, job: Job) -> Vec<Name> {
        let starts = self.running.values().flatten();
        let starts = starts.filter(|start| start.task.step.job == job);
        starts.map(|start| start.worker.clone()).collect()
    }
}

/// Eight short tasks for a fleet.
fn short() -> spec::Step {
    spec::Step {
        count: 8,
        need: size(1_000),
        estimate: Ms(500),
        ..spec::Step::default()
    }
}

#[test]
fn a_worker_whose_tails_are_all_far_too_high_takes_no_tasks() {
    let mut fleet = Fleet::new(8);
    let slow = [worker(3)];
    for _ in 0..8 {
        fleet.look(&[]);
    }
    fleet.look(&slow);
    fleet.submit(Job(2), short());
    let used = fleet.workers_of(Job(2));
    assert_eq!(used.len(), 8);
    assert!(!used.contains(&slow[0]), "{used:?}");
}

#[test]
fn a_worker_that_was_slow_takes_tasks_again() {
    let mut fleet = Fleet::new(8);
    fleet.look(&[worker(3)]);
    for _ in 0..4 {
        fleet.look(&[]);
    }
    fleet.submit(Job(2), short());
    assert!(fleet.workers_of(Job(2)).contains(&worker(3)));
}

#[test]
fn slow_workers_are_used_where_there_are_many() {
    let mut fleet = Fleet::new(8);
    let slow = [worker(0), worker(3), worker(5)];
    fleet.look(&slow);
    fleet.submit(Job(2), short());
    assert!(fleet.workers_of(Job(2)).contains(&worker(3)));
}

/// Guards against a leader that spends its processor on a fleet without room: each of the hundreds
/// of looks and ends of a second made it go through all that waits.
#[test]
fn a_full_fleet_is_not_gone_through_for_each_event() {
    let mut fleet = Fleet::new(8);
    let wide = spec::Step {
        count: 64,
        need: size(2_000),
        estimate: Ms(500),
        ..spec::Step::default()
    };
    fleet.submit(Job(2), wide);
    let before = fleet.leader.passes();
    for _ in 0..100 {
        fleet.now += Ms(1);
        fleet.play(vec![Event::Config(Arc::new(config()))]);
    }
    let passes = fleet.leader.passes() - before;
    assert!((1..=5).contains(&passes), "{passes} passes in 0.1 s");
}

#[test]
fn a_step_that_comes_while_there_is_room_is_started_at_once() {
    let mut fleet = Fleet::new(8);
    for job in 2..6 {
        fleet.submit(Job(job), short());
        assert_eq!(fleet.workers_of(Job(job)).len(), 8, "job {job}");
    }
}

#[test]
fn what_is_learned_is_written_now_and_then() {
    let mut fleet = Fleet::new(8);
    for _ in 0..20 {
        fleet.look(&[]);
    }
    // 20 looks take 14 s.
    assert!((3..=5).contains(&fleet.summaries), "{}", fleet.summaries);
}

/// Guards against a fleet that lost workers: lasting tasks that no longer fit waited by the dozen,
/// and neither smaller ones nor filling tasks behind them were tried.
#[test]
fn steps_without_room_do_not_hold_up_those_that_fit() {
    let mut fleet = Fleet::new(8);
    for job in 100..140 {
        let large = spec::Step {
            count: 1,
            need: size(8_000 + u32::try_from(job).expect("small")),
            per_worker: Some(1),
            is_lasting: true,
            ..spec::Step::default()
        };
        fleet.submit(Job(job), large);
    }
    let filling = spec::Step {
        is_filling: true,
        ..short()
    };
    fleet.submit(Job(200), filling);
    let lasting = spec::Step {
        is_lasting: true,
        ..short()
    };
    fleet.submit(Job(201), lasting);
    fleet.look(&[]);
    assert_eq!(fleet.workers_of(Job(200)).len(), 8, "filling");
    assert_eq!(fleet.workers_of(Job(201)).len(), 8, "lasting");
}
