//! Tests of workers with runs whose registration is removed.

mod common;
mod echo;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::fleet::Registration;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Watch;
use scheduler::spec;

const BEGUN: Ms = Ms(40_000_000);
/// The address of the worker in the stored fleet, where another worker may be by now.
const FORMER: &str = "10.0.0.1:1";
const PRESENT: &str = "10.0.0.2:1";

/// The leader is older than the leases that agents of earlier leaders may have renewed.
const SETTLED: Ms = Ms(20_000);
/// The longest time from the last renewal until a task starts elsewhere: the lease and its margins,
/// and the time for which an agent renews it after its last contact with the leader.
const LONGEST_LEASE: Ms = Ms(6_520 + 3_000);

/// A leader, its last orders, and the number of starts.
struct Play {
    leader: Leader,
    watch: Option<Watch>,
    starts: Vec<Start>,
    log: Vec<String>,
}

impl Play {
    fn handle(&mut self, after: Ms, event: Event) {
        let now = BEGUN + after;
        let mut actions = self.leader.handle(now, Event::LeadConfirmed(now));
        actions.extend(self.leader.handle(now, event));
        actions.extend(echo::tick(&mut self.leader, now));
        actions.extend(self.leader.schedule(now));
        for action in actions {
            match action {
                Action::Send(_, Order::Watch(watch)) if watch.worker == name("w") => {
                    self.watch = Some(watch);
                }
                Action::Send(_, Order::Start(start)) => self.starts.push(start),
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn address(&self) -> &str {
        self.watch.as_ref().map_or("none", |watch| &watch.address)
    }

    fn number(&self) -> id::Watch {
        self.watch.as_ref().map_or(id::Watch::NONE, |it| it.number)
    }

    fn report(&mut self, agent: &str, after: Ms, report: Report) {
        self.handle(after, Event::Received(name(agent), report));
    }
}

fn answered(worker: &str) -> Report {
    let observation = Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended: Vec::new(),
    };
    Report::of_watch(id::Watch::NONE, Finding::Polled(observation))
}

fn listed(worker: &str, address: &str) -> Event {
    let registration = Registration {
        address: Arc::from(address),
        ..registration("d1")
    };
    Event::RegistrationChanged(name(worker), Some(registration))
}

/// The worker has another address than in the stored fleet, and its registration is removed before
/// the store confirms the write of the new one. Its agents then poll the former address and send
/// the orders to stop its runs there, where another worker may refuse them, which counts as the end
/// of the runs.
#[test]
fn a_worker_that_is_unlisted_is_polled_at_its_last_address() {
    assert_the_last_address_is_kept();
}

fn assert_the_last_address_is_kept() {
    let mut play = Play {
        leader: Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN),
        watch: None,
        starts: Vec::new(),
        log: Vec::new(),
    };
    play.handle(Ms(0), Event::Config(Arc::new(config())));
    let member = |worker, address| Member {
        worker: name(worker),
        address: Arc::from(address),
        domain: name("d1"),
    };
    let members = vec![member("w", FORMER), member("v", "10.0.0.3:1")];
    play.handle(Ms(0), Event::Fleet(members));
    play.handle(Ms(0), Event::Recovered);
    play.handle(Ms(0), Event::Joined(name("e1"), name("d1")));
    play.handle(Ms(10), listed("w", PRESENT));
    assert_eq!(play.address(), PRESENT);
    play.report("e1", Ms(20), answered("w"));
    let accepted = common::accepted_job(vec![spec::Step {
        count: 1,
        estimate: Ms(60_000),
        ..spec::Step::default()
    }]);
    play.handle(Ms(30), Event::Accepted(Job(1), 30, accepted, None));
    assert_eq!(play.starts.len(), 1, "{:#?}", play.log);
    play.handle(Ms(40), listed("v", "10.0.0.3:1"));
    play.report("e1", Ms(40), answered("v"));
    play.handle(Ms(50), Event::RegistrationChanged(name("w"), None));
    play.handle(Ms(60), Event::Left(name("e1")));
    play.handle(Ms(70), Event::Joined(name("e2"), name("d1")));
    let address = play.address().to_owned();
    // The start became unsure with its agent. The worker at the address that the agent knows
    // answers the order to void it.
    if address == FORMER {
        let stop = Finding::Stopped(play.starts[0].placement(), Outcome::Reborn, Ms(1));
        let number = play.number();
        play.report("e2", Ms(80), Report::of_watch(number, stop));
        play.report("e2", Ms(90), answered("v"));
    }
    assert_eq!(
        (address.as_str(), play.starts.len()),
        (PRESENT, 1),
        "{:#?}",
        play.log
    );
}

/// The worker is cut off from the agents, and its registration lapses and comes back each second, at
/// the same address. Each time another watch begins, from which the leader counts the lease anew.
#[test]
fn a_silent_worker_that_is_listed_again_and_again_keeps_no_task_for_longer_than_a_lease() {
    assert_a_task_of_a_silent_worker_starts_elsewhere();
}

fn assert_a_task_of_a_silent_worker_starts_elsewhere() {
    let mut play = Play {
        leader: Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN),
        watch: None,
        starts: Vec::new(),
        log: Vec::new(),
    };
    play.handle(Ms(0), Event::Config(Arc::new(config())));
    play.handle(Ms(0), Event::Recovered);
    play.handle(Ms(0), Event::Joined(name("e1"), name("d1")));
    play.handle(Ms(0), listed("w", PRESENT));
    play.handle(Ms(0), Event::Committed);
    play.report("e1", SETTLED, answered("w"));
    let accepted = common::accepted_job(vec![spec::Step {
        count: 1,
        estimate: Ms(60_000),
        ..spec::Step::default()
    }]);
    play.handle(SETTLED, Event::Accepted(Job(1), 30, accepted, None));
    let [start] = &play.starts[..] else {
        panic!("{:#?}", play.log);
    };
    let started = Report::Started(start.placement(), Outcome::Done);
    play.report("e1", SETTLED, started);
    play.handle(SETTLED, listed("v", "10.0.0.3:1"));
    play.handle(SETTLED, Event::Committed);
    let (mut number, mut begun) = (play.number(), SETTLED);
    for second in 1..=LONGEST_LEASE.0.div_ceil(1_000) {
        let after = SETTLED + Ms(second * 1_000);
        play.handle(after, Event::RegistrationChanged(name("w"), None));
        play.handle(after, listed("w", PRESENT));
        play.handle(after, Event::Committed);
        if play.number() != number {
            (number, begun) = (play.number(), after);
        }
        let failed = Finding::PollFailed(Failure {
            worker: name("w"),
            renewal_age: (after + Ms(500)).since(begun),
            is_closed: false,
        });
        play.report("e1", after + Ms(500), Report::of_watch(number, failed));
        play.report("e1", after + Ms(500), answered("v"));
    }
    assert_eq!(play.starts.len(), 2, "{:#?}", play.log);
}
