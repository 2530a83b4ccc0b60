//! Tests of reports of the past: of a watch that has ended, or from before a start.

mod common;
mod echo;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::fleet::Registration;
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
use scheduler::message::Running;
use scheduler::message::Start;
use scheduler::spec;

const BEGUN: Ms = Ms(40_000_000);
/// The leader is older than the leases that agents of earlier leaders may have renewed.
const SETTLED: Ms = Ms(20_000);
/// The time after its last renewal by which a lease has expired for certain: 6 s, 2% and 0.4 s.
const LEASE: Ms = Ms(6_520);
/// The time for which an agent renews leases after its last contact with the leader.
const CONTACT: Ms = Ms(3_000);
const LONG_AGO: Ms = Ms(60_000);

/// A leader, what it ordered last, and what it has logged.
struct Play {
    leader: Leader,
    /// The number of the last watch of the worker `w`.
    watch: id::Watch,
    /// The agent that polls the worker `v`, which could take the task too.
    other_agent: Name,
    starts: Vec<Start>,
    stops: usize,
    log: Vec<String>,
}

impl Play {
    /// Returns a leader with the agent `e1` that knows the worker `w` as idle.
    fn new() -> Self {
        let mut play = Self {
            leader: Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN),
            watch: id::Watch::NONE,
            other_agent: name("e1"),
            starts: Vec::new(),
            stops: 0,
            log: Vec::new(),
        };
        play.handle(Ms(0), Event::Config(Arc::new(config())));
        play.handle(Ms(0), Event::Recovered);
        play.handle(Ms(0), Event::Joined(name("e1"), name("d1")));
        play.list(Ms(0), "w", Some(registration("d1")));
        play.find("e1", Ms(SETTLED.0 - 100), idle());
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
                Action::Send(agent, Order::Watch(_)) => self.other_agent = agent,
                Action::Send(_, Order::Start(start)) => self.starts.push(start),
                Action::Send(_, Order::Stop(stop)) if stop.echo_sent_at().is_none() => {
                    self.stops += 1;
                }
                Action::Commit(_) => self.handle(after, Event::Committed),
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn list(&mut self, after: Ms, worker: &str, registration: Option<Registration>) {
        let event = Event::RegistrationChanged(name(worker), registration);
        self.handle(after, event);
    }

    fn find(&mut self, agent: &str, after: Ms, finding: Finding) {
        self.find_under(self.watch, agent, after, finding);
    }

    fn find_under(&mut self, watch: id::Watch, agent: &str, after: Ms, finding: Finding) {
        let report = Report::of_watch(watch, finding);
        self.handle(after, Event::Received(name(agent), report));
    }

    /// Starts the task of a job on `w`, which the worker answers.
    fn start(&mut self, agent: &str, after: Ms) {
        let accepted = common::accepted_job(vec![spec::Step {
            count: 1,
            estimate: Ms(60_000),
            ..spec::Step::default()
        }]);
        self.handle(after, Event::Accepted(Job(1), 5, accepted, None));
        let [start] = &self.starts[..] else {
            panic!("{:?}", self.starts);
        };
        assert_eq!(start.worker, name("w"));
        let started = Report::Started(start.placement(), Outcome::Done);
        let after = after + Ms(5);
        self.handle(after, Event::Received(name(agent), started));
        self.list(after, "v", Some(registration("d1")));
        self.find_other(after);
    }

    /// Reports that the worker `v` is idle.
    fn find_other(&mut self, after: Ms) {
        let listed = Finding::Polled(Observation {
            worker: name("v"),
            ..observation(Vec::new())
        });
        let agent = self.other_agent.clone();
        self.find_under(id::Watch::NONE, &agent, after, listed);
    }

    fn released(&self) -> usize {
        let lines = self.log.iter();
        lines
            .filter(|line| line.contains("kind=run-released"))
            .count()
    }
}

fn observation(running: Vec<Running>) -> Observation {
    Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(running),
        ended: Vec::new(),
    }
}

fn idle() -> Finding {
    Finding::Polled(observation(Vec::new()))
}

fn failed(renewal_age: Ms) -> Finding {
    Finding::PollFailed(Failure {
        worker: name("w"),
        renewal_age,
        is_closed: false,
    })
}

/// How the watch of a worker ends and another one begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// The worker is no longer listed, and then is again.
    Relisted,
    /// The worker has another address.
    Moved,
    /// The agent connects anew.
    Rejoined,
    /// The agent is lost, and another one polls the worker.
    Replaced,
}

/// Ends the watch of the worker and returns the agent of the next one.
fn change(play: &mut Play, after: Ms, change: Change) -> &'static str {
    match change {
        Change::Relisted => {
            play.list(after, "w", None);
            play.list(after, "w", Some(registration("d1")));
            "e1"
        }
        Change::Moved => {
            let moved = Registration {
                address: Arc::from("10.0.0.2:1"),
                ..registration("d1")
            };
            play.list(after, "w", Some(moved));
            "e1"
        }
        Change::Rejoined => {
            play.handle(after, Event::Left(name("e1")));
            play.handle(after, Event::Joined(name("e1"), name("d1")));
            "e1"
        }
        Change::Replaced => {
            play.handle(after, Event::Left(name("e1")));
            play.handle(after, Event::Joined(name("e2"), name("d1")));
            "e2"
        }
    }
}

/// What an agent had under way when the watch ended: a run that had just begun was released, or
/// ordered to stop because it is not listed.
#[test]
fn reports_of_a_former_watch_release_and_stop_no_run() {
    let former: [fn(&Start) -> Finding; 3] = [
        |_| failed(LONG_AGO),
        |_| idle(),
        |start| Finding::Stopped(start.placement(), Outcome::Reborn, Ms(1)),
    ];
    let changes = [
        Change::Relisted,
        Change::Moved,
        Change::Rejoined,
        Change::Replaced,
    ];
    for case in changes {
        for (kind, finding) in former.iter().enumerate() {
            let mut play = Play::new();
            let number = play.watch;
            let agent = change(&mut play, SETTLED, case);
            assert_ne!(play.watch, number, "{case:?}");
            let begun = SETTLED + Ms(10);
            play.find(agent, begun, idle());
            play.start(agent, begun);
            let start = play.starts[0].clone();
            for repeat in 0..4 {
                let after = begun + Ms(100 + repeat * 10);
                play.find_under(number, agent, after, finding(&start));
                play.find_under(number, "e1", after, finding(&start));
            }
            assert_eq!(play.starts.len(), 1, "{case:?} {kind}: {:#?}", play.log);
            assert_eq!((play.stops, play.released()), (0, 0), "{case:?} {kind}");
            assert_eq!(play.leader.tally().early_releases, 0, "{case:?} {kind}");
            assert_eq!(play.leader.tally().outdated_reports, 8, "{case:?} {kind}");
        }
    }
}

/// An agent of an earlier build does not number its reports, so one of a former watch looks like one
/// of the present watch. Each start renews the lease all the same.
#[test]
fn no_run_is_released_for_an_expired_lease_sooner_than_a_lease_after_its_start() {
    let mut play = Play::new();
    play.start("e1", SETTLED);
    let unnumbered = id::Watch::NONE;
    play.find_under(unnumbered, "e1", SETTLED + Ms(60), failed(LONG_AGO));
    let last = SETTLED + Ms(LEASE.0 - 1);
    play.find_under(unnumbered, "e1", last, failed(LONG_AGO));
    assert_eq!((play.starts.len(), play.released()), (1, 0));
    let over = last + Ms(1);
    play.find_under(unnumbered, "e1", over, failed(LONG_AGO));
    assert_eq!(
        (play.starts.len(), play.released()),
        (2, 1),
        "{:#?}",
        play.log
    );
    assert_eq!(play.leader.tally().early_releases, 0);
}

/// An agent that is cut off from the leader renews the leases of workers that it polled, also of one
/// that the leader has removed meanwhile and that has come back to another agent.
#[test]
fn a_worker_that_is_listed_again_keeps_the_leases_that_its_former_agent_may_renew() {
    let mut play = Play::new();
    play.list(SETTLED, "w", None);
    play.handle(SETTLED, Event::Joined(name("e2"), name("d1")));
    play.list(SETTLED, "w", Some(registration("d1")));
    for agent in ["e1", "e2"] {
        play.find(agent, SETTLED + Ms(10), idle());
    }
    let agent = play.starts.first().map_or("e1", |_| "e2");
    play.start(agent, SETTLED + Ms(20));
    let until = SETTLED + CONTACT + LEASE;
    for after in [SETTLED + Ms(300), Ms(until.0 - 1), until] {
        for agent in ["e1", "e2"] {
            play.find(agent, after, failed(after.since(SETTLED)));
        }
        assert_eq!(play.released(), usize::from(after == until), "{after:?}");
    }
}

#[test]
fn a_removed_worker_is_forgotten_once_its_leases_have_expired() {
    let mut play = Play::new();
    play.list(SETTLED, "w", None);
    let later = SETTLED + CONTACT + LEASE;
    play.handle(later, Event::Tick(BEGUN));
    play.list(later, "w", Some(registration("d1")));
    play.find("e1", later, idle());
    play.start("e1", later);
    play.find("e1", later + Ms(10), failed(Ms(1)));
    let lapsed = later + Ms(9) + LEASE;
    play.find("e1", lapsed, failed(LONG_AGO));
    assert_eq!(play.released(), 1);
}
