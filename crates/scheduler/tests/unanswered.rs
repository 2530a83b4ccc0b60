//! Tests of starts that are under way while their worker is found to be silent.

mod common;
mod echo;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::spec;

const BEGUN: Ms = Ms(40_000_000);
/// The leader is older than the leases that agents of earlier leaders may have renewed.
const SETTLED: Ms = Ms(20_000);
/// The time after its last renewal by which a lease has expired for certain: 6 s, 2% and 0.4 s.
const LEASE: Ms = Ms(6_520);
const LONG_AGO: Ms = Ms(60_000);

/// A leader with one agent and the workers `w` and `v`, and what it did.
struct Play {
    leader: Leader,
    watch: id::Watch,
    starts: Vec<Start>,
    log: Vec<String>,
}

impl Play {
    /// Returns a leader that has just ordered to start the only task on `w`, which is not answered,
    /// and could start it on `v` as well.
    fn new() -> Self {
        let mut play = Self {
            leader: Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN),
            watch: id::Watch::NONE,
            starts: Vec::new(),
            log: Vec::new(),
        };
        play.handle(Ms(0), Event::Config(Arc::new(config())));
        play.handle(Ms(0), Event::Recovered);
        play.handle(Ms(0), Event::Joined(name("e1"), name("d1")));
        play.list("w");
        play.find(SETTLED, play.watch, answered("w"));
        let accepted = common::accepted_job(vec![spec::Step {
            count: 1,
            estimate: Ms(60_000),
            ..spec::Step::default()
        }]);
        play.handle(SETTLED, Event::Accepted(Job(1), 5, accepted, None));
        assert_eq!(play.starts.len(), 1);
        play.list("v");
        play.find(SETTLED, id::Watch::NONE, answered("v"));
        play
    }

    fn handle(&mut self, after: Ms, event: Event) {
        let now = BEGUN + after;
        let mut actions = self.leader.handle(now, Event::LeadConfirmed(now));
        actions.extend(self.leader.handle(now, event));
        actions.extend(echo::tick(&mut self.leader, now));
        actions.extend(self.leader.schedule(now));
        for action in actions {
            match action {
                Action::Send(_, Order::Watch(watch)) if watch.worker == name("w") => {
                    self.watch = watch.number;
                }
                Action::Send(_, Order::Start(start)) => self.starts.push(start),
                Action::Commit(_) => self.handle(after, Event::Committed),
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn list(&mut self, worker: &str) {
        let event = Event::RegistrationChanged(name(worker), Some(registration("d1")));
        self.handle(SETTLED, event);
    }

    fn find(&mut self, after: Ms, watch: id::Watch, finding: Finding) {
        let report = Report::of_watch(watch, finding);
        self.handle(after, Event::Received(name("e1"), report));
    }

    fn answer(&mut self, after: Ms, outcome: Outcome) {
        let report = Report::Started(self.starts[0].placement(), outcome);
        self.handle(after, Event::Received(name("e1"), report));
    }
}

fn answered(worker: &str) -> Finding {
    Finding::Polled(Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended: Vec::new(),
    })
}

fn failed(renewal_age: Ms) -> Finding {
    Finding::PollFailed(Failure {
        worker: name("w"),
        renewal_age,
        is_closed: false,
    })
}

/// A failed poll with an old renewal was reported before the agent carried out the start, which
/// renews the lease, or comes from a former watch of an agent that does not number its reports. The
/// leader started the task on another worker while the order was under way.
#[test]
fn a_start_that_is_under_way_is_not_released_for_an_older_failed_poll() {
    for is_numbered in [true, false] {
        let mut play = Play::new();
        let watch = if is_numbered {
            play.watch
        } else {
            id::Watch::NONE
        };
        play.find(SETTLED + Ms(10), watch, failed(LONG_AGO));
        assert_eq!(play.starts.len(), 1, "{is_numbered}: {:#?}", play.log);
        play.answer(SETTLED + Ms(20), Outcome::Done);
        let last = SETTLED + Ms(LEASE.0 - 1);
        play.find(last, watch, failed(LONG_AGO));
        assert_eq!(play.starts.len(), 1, "{is_numbered}: {:#?}", play.log);
        play.find(SETTLED + LEASE, watch, failed(LONG_AGO));
        assert_eq!(play.starts.len(), 2, "{is_numbered}: {:#?}", play.log);
    }
}

/// A start that was not sent, or is never answered, does not hold its task for longer than a lease.
#[test]
fn a_task_starts_elsewhere_once_its_start_was_not_sent_or_is_a_lease_old() {
    for (outcome, after) in [
        (Some(Outcome::Unsent), SETTLED + Ms(20)),
        (None, SETTLED + LEASE),
    ] {
        let mut play = Play::new();
        let watch = play.watch;
        play.find(SETTLED + Ms(10), watch, failed(LONG_AGO));
        if let Some(outcome) = outcome {
            play.answer(after, outcome);
        }
        play.find(after, watch, failed(LONG_AGO));
        assert_eq!(play.starts.len(), 2, "{outcome:?}: {:#?}", play.log);
        assert_eq!(play.starts[1].worker, name("v"), "{outcome:?}");
    }
}
