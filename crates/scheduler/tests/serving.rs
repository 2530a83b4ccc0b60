//! Tests of the placement of tasks, given the measurements of the workers.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
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

const TAIL_LIMIT: Ms = Ms(18);
const NORMAL_TAIL_MS: u32 = 8;
const SLOW_TAIL_MS: u32 = 1_000;

fn worker(index: usize) -> Name {
    name(&format!("w{index}"))
}

fn registration() -> Registration {
    Registration {
        size: size(16_000),
        ..common::registration("d1")
    }
}

fn size(millicores: u32) -> Size {
    Size {
        millicores,
        memory_mb: millicores,
        accelerators: 0,
    }
}

/// A leader with workers that carry out its orders.
struct Fleet {
    leader: Leader,
    now: Ms,
    running: BTreeMap<Name, Vec<Start>>,
    serving: Job,
    /// The number of commits with interference coefficients.
    summaries: usize,
}

impl Fleet {
    /// Creates a fleet of workers with two serving tasks each.
    fn new(workers: usize) -> Self {
        let mut fleet = Self {
            leader: Leader::new(name("e1"), Epoch(17), BOUNDS, Ms(1_000)),
            now: Ms(1_000),
            running: (0..workers)
                .map(|index| (worker(index), Vec::new()))
                .collect(),
            serving: Job(1),
            summaries: 0,
        };
        let mut begin = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e1"), name("d1")),
            Event::Recovered,
        ];
        begin.extend(
            (0..workers)
                .map(|index| Event::RegistrationChanged(worker(index), Some(registration()))),
        );
        fleet.apply_events(begin);
        fleet.apply_events(vec![Event::Committed]);
        fleet.poll(&[]);
        let step = spec::Step {
            count: u32::try_from(workers * 2).expect("the count fits into 32 bits"),
            need: size(6_000),
            is_lasting: true,
            per_worker: Some(2),
            image: Some(Arc::from("orders")),
            tail_limit: Some(TAIL_LIMIT),
            ..spec::Step::default()
        };
        fleet.submit(fleet.serving, step);
        fleet
    }

    fn submit(&mut self, job: Job, step: spec::Step) {
        let accepted = common::accepted_job(vec![step]);
        let row = 20 + job.0;
        self.apply_events(vec![Event::Accepted(job, row, accepted, None)]);
    }

    /// Reports the state of all workers. Serving tasks on the `slow` ones have a far higher tail
    /// latency.
    fn poll(&mut self, slow: &[Name]) {
        self.now += Ms(700);
        let mut events = vec![Event::Tick(self.now)];
        for (worker, starts) in &self.running {
            let tail = if slow.contains(worker) {
                SLOW_TAIL_MS
            } else {
                NORMAL_TAIL_MS
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
                    incarnation: INCARNATION,
                    polled_at: self.now,
                    running: Some(running.collect()),
                    ended: Vec::new(),
                }),
            ));
        }
        self.apply_events(events);
    }

    /// Passes events to the leader and carries out its orders to start.
    fn apply_events(&mut self, events: Vec<Event>) {
        let mut actions = self.leader.handle(self.now, Event::LeadConfirmed(self.now));
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
                    let report = Report::Started(placement, Outcome::Done);
                    answers.push(Event::Received(agent, report));
                    let starts = self.running.get_mut(&start.worker);
                    starts
                        .expect("the leader starts tasks only on workers of the fleet")
                        .push(start);
                }
                _ => {}
            }
        }
        if !answers.is_empty() {
            self.apply_events(answers);
        }
    }

    /// Returns the worker of each task of a job; a worker of several tasks is repeated.
    fn workers_of(&self, job: Job) -> Vec<Name> {
        let starts = self.running.values().flatten();
        let starts = starts.filter(|start| start.task.step.job == job);
        starts.map(|start| start.worker.clone()).collect()
    }
}

/// Returns a step of eight short tasks.
fn short_step() -> spec::Step {
    spec::Step {
        count: 8,
        need: size(1_000),
        estimate: Ms(500),
        ..spec::Step::default()
    }
}

#[test]
fn a_worker_whose_tails_are_all_far_too_high_gets_no_tasks() {
    let mut fleet = Fleet::new(8);
    let slow = [worker(3)];
    for _ in 0..8 {
        fleet.poll(&[]);
    }
    fleet.poll(&slow);
    fleet.submit(Job(2), short_step());
    let used = fleet.workers_of(Job(2));
    assert_eq!(used.len(), 8);
    assert!(!used.contains(&slow[0]), "{used:?}");
}

#[test]
fn a_worker_that_was_slow_gets_tasks_again() {
    let mut fleet = Fleet::new(8);
    fleet.poll(&[worker(3)]);
    for _ in 0..4 {
        fleet.poll(&[]);
    }
    fleet.submit(Job(2), short_step());
    assert!(fleet.workers_of(Job(2)).contains(&worker(3)));
}

#[test]
fn slow_workers_are_used_if_there_are_many() {
    let mut fleet = Fleet::new(8);
    let slow = [worker(0), worker(3), worker(5)];
    fleet.poll(&slow);
    fleet.submit(Job(2), short_step());
    assert!(fleet.workers_of(Job(2)).contains(&worker(3)));
}

/// Guards against a leader that uses up its processor on a full fleet: it tried all waiting steps
/// after each of the hundreds of polls and ends per second.
#[test]
fn a_full_fleet_is_not_searched_for_each_event() {
    let mut fleet = Fleet::new(8);
    let wide_step = spec::Step {
        count: 64,
        need: size(2_000),
        estimate: Ms(500),
        ..spec::Step::default()
    };
    fleet.submit(Job(2), wide_step);
    let before = fleet.leader.passes();
    for _ in 0..100 {
        fleet.now += Ms(1);
        fleet.apply_events(vec![Event::Config(Arc::new(config()))]);
    }
    let passes = fleet.leader.passes() - before;
    assert!((1..=5).contains(&passes), "{passes} passes in 0.1 s");
}

#[test]
fn a_step_that_arrives_while_there_is_room_is_started_at_once() {
    let mut fleet = Fleet::new(8);
    for job in 2..6 {
        fleet.submit(Job(job), short_step());
        assert_eq!(fleet.workers_of(Job(job)).len(), 8, "job {job}");
    }
}

#[test]
fn the_learned_coefficients_are_written_at_intervals() {
    let mut fleet = Fleet::new(8);
    for _ in 0..20 {
        fleet.poll(&[]);
    }
    // 20 polls take 14 s.
    assert!((3..=5).contains(&fleet.summaries), "{}", fleet.summaries);
}

/// Guards against steps that block others after a fleet has lost workers: dozens of long-running
/// tasks that no longer fit were waiting, so neither the smaller ones nor the filling tasks after
/// them were tried.
#[test]
fn steps_without_room_do_not_hold_up_those_that_fit() {
    let mut fleet = Fleet::new(8);
    for job in 100..140 {
        let large = spec::Step {
            count: 1,
            need: size(8_000 + u32::try_from(job).expect("the count fits into 32 bits")),
            per_worker: Some(1),
            is_lasting: true,
            ..spec::Step::default()
        };
        fleet.submit(Job(job), large);
    }
    let filling = spec::Step {
        is_filling: true,
        ..short_step()
    };
    fleet.submit(Job(200), filling);
    let long_running = spec::Step {
        is_lasting: true,
        ..short_step()
    };
    fleet.submit(Job(201), long_running);
    fleet.poll(&[]);
    assert_eq!(fleet.workers_of(Job(200)).len(), 8, "filling");
    assert_eq!(fleet.workers_of(Job(201)).len(), 8, "long-running");
}

/// Load: a burst of filling work on a fleet of serving tasks. Runs that were placed where the slack
/// just sufficed are slowed a moment later and hold their places for longer, so ever less filling
/// work is completed.
#[test]
fn filling_work_waits_for_more_slack_while_running_filling_work_is_slowed() {
    let filling = |count| spec::Step {
        count,
        need: size(2_000),
        estimate: Ms(2_000),
        per_worker: Some(1),
        image: Some(Arc::from("preview")),
        is_filling: true,
        ..spec::Step::default()
    };
    for is_slowed in [false, true] {
        let mut fleet = Fleet::new(4);
        fleet.poll(&[]);
        fleet.submit(Job(2), filling(3));
        let used = fleet.workers_of(Job(2));
        assert_eq!(used.len(), 3);
        let slow = if is_slowed { &used[..] } else { &[] };
        for _ in 0..4 {
            fleet.poll(slow);
        }
        fleet.submit(Job(3), filling(1));
        let started = fleet.workers_of(Job(3)).len();
        assert_eq!(started, usize::from(!is_slowed), "slowed: {is_slowed}");
        for _ in 0..12 {
            fleet.poll(&[]);
        }
        assert_eq!(fleet.workers_of(Job(3)).len(), 1, "slowed: {is_slowed}");
    }
}
