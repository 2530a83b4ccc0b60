//! Tests of the list of workers that a leader stores for the next one.

mod common;
mod echo;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::spec;

const STEP_MS: u64 = 200;

/// A leader whose commits are confirmed, with the list of workers that it has stored.
struct Bench {
    leader: Leader,
    now: Ms,
    stored: Vec<Member>,
    starts: usize,
}

impl Bench {
    fn new(stored: Vec<Member>) -> Self {
        let mut bench = Self {
            leader: Leader::new(name("e1"), Epoch(17), BOUNDS, Ms(40_000_000)),
            now: Ms(40_000_000),
            stored: stored.clone(),
            starts: 0,
        };
        bench.apply_event(Event::Config(Arc::new(config())));
        bench.apply_event(Event::Joined(name("e1"), name("d1")));
        bench.apply_event(Event::Fleet(stored));
        bench.apply_event(Event::Recovered);
        bench
    }

    fn apply_event(&mut self, event: Event) {
        let mut actions = self.leader.handle(self.now, Event::LeadConfirmed(self.now));
        actions.extend(match event {
            Event::Tick(now) => echo::tick(&mut self.leader, now),
            event => self.leader.handle(self.now, event),
        });
        actions.extend(self.leader.schedule(self.now));
        for action in actions {
            match action {
                Action::Commit(commit) => {
                    self.stored = commit.fleet.unwrap_or_else(|| self.stored.clone());
                    self.apply_event(Event::Committed);
                }
                Action::Send(_, Order::Start(start)) => {
                    assert!(self.stored_names().contains(&start.worker.to_string()));
                    self.starts += 1;
                }
                _ => {}
            }
        }
    }

    fn register(&mut self, worker: &str) {
        let event = Event::RegistrationChanged(name(worker), Some(registration("d1")));
        self.apply_event(event);
    }

    fn receive(&mut self, report: Report) {
        self.apply_event(Event::Received(name("e1"), report));
    }

    fn answer(&mut self, worker: &str) {
        self.receive(Report::Polled(Observation {
            worker: name(worker),
            incarnation: INCARNATION,
            polled_at: self.now,
            running: Some(Vec::new()),
            ended: Vec::new(),
        }));
    }

    /// Lets this time pass while the worker `w` answers and `odd` does not.
    fn run_for(&mut self, time: u64) {
        let begun = self.now;
        while self.now.since(begun) < Ms(time) {
            self.now += Ms(STEP_MS);
            self.answer("w");
            self.receive(Report::PollFailed(Failure {
                worker: name("odd"),
                renewal_age: self.now.since(begun),
                is_closed: true,
            }));
            self.apply_event(Event::Tick(self.now));
        }
    }

    fn stored_names(&self) -> Vec<String> {
        let names = self.stored.iter().map(|member| member.worker.to_string());
        names.collect()
    }
}

fn member(worker: &str) -> Member {
    Member {
        worker: name(worker),
        address: registration("d1").address,
        domain: name("d1"),
    }
}

#[test]
fn an_entry_that_never_answers_does_not_hold_back_later_leaders() {
    for stored in [Vec::new(), vec![member("odd"), member("w")]] {
        let mut first = Bench::new(stored);
        first.register("w");
        first.register("odd");
        first.run_for(12_000);
        assert_eq!(first.stored_names(), ["w"]);
        let mut next = Bench::new(first.stored);
        next.register("w");
        next.register("odd");
        next.answer("w");
        assert!(!next.leader.has_unheard_workers());
    }
}

#[test]
fn a_worker_that_answers_late_is_stored_before_a_task_starts_there() {
    let mut bench = Bench::new(Vec::new());
    bench.register("odd");
    bench.run_for(12_000);
    assert_eq!(bench.stored_names(), [""; 0]);
    let accepted = common::accepted_job(vec![spec::Step {
        count: 1,
        ..spec::Step::default()
    }]);
    bench.apply_event(Event::Accepted(Job(1), 20, accepted, None));
    assert_eq!(bench.starts, 0);
    bench.answer("odd");
    bench.now += Ms(STEP_MS);
    bench.apply_event(Event::Tick(bench.now));
    assert_eq!(bench.stored_names(), ["odd"]);
    assert_eq!(bench.starts, 1);
}

#[test]
fn a_stored_worker_that_does_not_answer_stays_stored_until_its_leases_have_expired() {
    let mut bench = Bench::new(vec![member("odd"), member("w")]);
    bench.register("w");
    bench.register("odd");
    bench.run_for(9_000);
    assert!(bench.leader.has_unheard_workers());
    assert_eq!(bench.stored_names(), ["odd", "w"]);
}
