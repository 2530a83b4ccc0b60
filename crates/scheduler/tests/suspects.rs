//! Tests of what a leader takes for the crash of a worker under a task.

mod common;
mod echo;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use decision::resource::Size;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Step;
use scheduler::id::Task;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Start;
use scheduler::progress::Progress;
use scheduler::spec;

const BEGUN: Ms = Ms(40_000_000);
/// After the leases of a worker that was silent from the start have expired.
const LAPSED: Ms = Ms(10_600);
const TASK: Task = Task {
    step: Step {
        job: Job(1),
        occurrence: 0,
        step: 0,
    },
    index: 0,
};

fn received(report: Report) -> Event {
    Event::Received(name("e1"), report)
}

fn polled(worker: &str, running: Vec<Running>) -> Event {
    received(Report::Polled(Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: BEGUN,
        running: Some(running),
        ended: Vec::new(),
    }))
}

fn failed(worker: &str, renewal_age: Ms, is_closed: bool) -> Event {
    received(Report::PollFailed(Failure {
        worker: name(worker),
        renewal_age,
        is_closed,
    }))
}

fn accepted() -> Event {
    let step = spec::Step {
        count: 1,
        estimate: Ms(500),
        ..spec::Step::default()
    };
    Event::Accepted(Job(1), 30, common::accepted_job(vec![step]), None)
}

/// A leader with the agent `e1` and a job of one task, whose commits are confirmed on request.
struct Fixture {
    leader: Leader,
    /// The progress of the job in the last commit.
    progress: Progress,
}

impl Fixture {
    /// Returns a fixture in which the task has been ordered to start at 20 ms, and the order.
    fn begin() -> (Self, Start) {
        let mut fixture = Self {
            leader: Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN),
            progress: Progress::default(),
        };
        let registered =
            |worker: &str| Event::RegistrationChanged(name(worker), Some(registration("d1")));
        let begin = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e1"), name("d1")),
            Event::Recovered,
            registered("w1"),
            registered("w2"),
        ];
        fixture.apply(Ms(10), begin);
        let known = vec![
            Event::Committed,
            polled("w1", Vec::new()),
            polled("w2", Vec::new()),
            accepted(),
        ];
        let starts = fixture.apply(Ms(20), known);
        let [start] = &starts[..] else {
            panic!("{starts:?}");
        };
        (fixture, start.clone())
    }

    fn apply(&mut self, after: Ms, events: Vec<Event>) -> Vec<Start> {
        let now = BEGUN + after;
        let mut actions = self.leader.handle(now, Event::LeadConfirmed(now));
        for event in events {
            actions.extend(self.leader.handle(now, event));
        }
        actions.extend(echo::tick(&mut self.leader, now));
        actions.extend(self.leader.schedule(now));
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Send(_, Order::Start(start)) => starts.push(start),
                Action::Commit(commit) => {
                    let found = commit.progress.into_iter().find(|(id, _)| *id == Job(1));
                    self.progress = found.map_or(self.progress.clone(), |(_, progress)| progress);
                }
                _ => {}
            }
        }
        starts
    }

    /// Lets the worker of a start be silent from 30 ms on until its leases have expired.
    fn lose(&mut self, start: &Start, outcome: Outcome, is_closed: bool) -> Vec<Start> {
        let answer = received(Report::Started(start.placement(), outcome));
        self.apply(Ms(25), vec![answer]);
        self.apply(Ms(30), vec![failed(&start.worker, Ms(10), is_closed)]);
        let removed = Event::RegistrationChanged(start.worker.clone(), None);
        self.apply(Ms(2_700), vec![Event::Committed, removed]);
        self.apply(Ms(2_750), vec![Event::Committed]);
        self.apply(LAPSED, vec![Event::Committed])
    }
}

#[test]
fn a_crash_is_durable_before_its_task_starts_again() {
    let (mut fixture, start) = Fixture::begin();
    assert_eq!(fixture.lose(&start, Outcome::Done, true), []);
    assert_eq!(fixture.apply(LAPSED + Ms(50), Vec::new()), []);
    assert_eq!(fixture.progress.crashes(TASK), 1);
    let starts = fixture.apply(LAPSED + Ms(100), vec![Event::Committed]);
    assert_eq!(starts.len(), 1);
}

#[test]
fn a_worker_that_answers_again_has_not_crashed() {
    let (mut fixture, start) = Fixture::begin();
    fixture.lose(&start, Outcome::Done, false);
    fixture.apply(LAPSED + Ms(50), Vec::new());
    assert_eq!(fixture.progress.crashes(TASK), 1);
    let back = Event::RegistrationChanged(start.worker.clone(), Some(registration("d1")));
    fixture.apply(LAPSED + Ms(60), vec![Event::Committed, back]);
    let answer = polled(&start.worker, Vec::new());
    fixture.apply(LAPSED + Ms(70), vec![answer]);
    fixture.apply(LAPSED + Ms(120), vec![Event::Committed]);
    fixture.apply(LAPSED + Ms(170), vec![Event::Committed]);
    assert_eq!(fixture.progress.crashes(TASK), 0);
}

#[test]
fn a_start_at_a_worker_that_was_down_already_is_no_crash() {
    let (mut fixture, start) = Fixture::begin();
    let starts = fixture.lose(&start, Outcome::Unknown, false);
    assert_eq!(starts.len(), 1);
    fixture.apply(LAPSED + Ms(50), vec![Event::Committed]);
    assert_eq!(fixture.progress.crashes(TASK), 0);
}

// The agent or the leader may be slow.
#[test]
fn a_crash_under_an_unanswered_start_counts_if_the_refusal_is_reported_later() {
    let (mut fixture, start) = Fixture::begin();
    let answer = received(Report::Started(start.placement(), Outcome::Unknown));
    fixture.apply(Ms(200), vec![answer]);
    fixture.apply(Ms(900), vec![failed(&start.worker, Ms(10), true)]);
    let removed = Event::RegistrationChanged(start.worker.clone(), None);
    fixture.apply(Ms(2_700), vec![Event::Committed, removed]);
    for delay in [0, 50, 100] {
        fixture.apply(LAPSED + Ms(delay), vec![Event::Committed]);
    }
    assert_eq!(fixture.progress.crashes(TASK), 1);
}

#[test]
fn a_run_that_its_worker_listed_for_a_while_is_not_suspected() {
    let (mut fixture, start) = Fixture::begin();
    let answer = received(Report::Started(start.placement(), Outcome::Done));
    fixture.apply(Ms(25), vec![answer]);
    let row = Running {
        task: TASK,
        run: start.run,
        checkpoint: None,
        percent: 40,
        measurement: 0,
    };
    fixture.apply(Ms(820), vec![polled(&start.worker, vec![row])]);
    fixture.apply(Ms(900), vec![failed(&start.worker, Ms(10), true)]);
    let starts = fixture.apply(LAPSED, vec![Event::Committed]);
    assert_eq!(starts.len(), 1);
    fixture.apply(LAPSED + Ms(50), vec![Event::Committed]);
    assert_eq!(fixture.progress.crashes(TASK), 0);
}

#[test]
fn a_draining_worker_that_leaves_has_not_crashed() {
    let (mut fixture, start) = Fixture::begin();
    let answer = received(Report::Started(start.placement(), Outcome::Done));
    let draining = Registration {
        is_draining: true,
        ..registration("d1")
    };
    let draining = Event::RegistrationChanged(start.worker.clone(), Some(draining));
    fixture.apply(Ms(30), vec![answer, draining]);
    let gone = vec![
        Event::Committed,
        Event::RegistrationChanged(start.worker.clone(), None),
        failed(&start.worker, Ms(10), true),
    ];
    fixture.apply(Ms(100), gone);
    fixture.apply(Ms(150), vec![Event::Committed]);
    fixture.apply(Ms(200), vec![Event::Committed]);
    assert_eq!(fixture.progress.crashes(TASK), 0);
}

#[test]
fn crashes_in_a_row_leave_what_earlier_builds_read_as_it_is() {
    let mut progress = Progress::default();
    assert!(progress.record_crash(TASK, Run(5)));
    assert!(!progress.record_crash(TASK, Run(5)));
    // Earlier builds look up steps of the job only, and keep all others.
    assert_eq!(progress.steps.get(&(0, 0)), None);
    assert!(
        progress
            .steps
            .keys()
            .all(|&(_, step)| usize::from(step) >= spec::MAX_STEPS)
    );
    assert_eq!(progress.crashes(TASK), 1);
}

/// Returns a job of one step of which workers crashed under these tasks. Two of its tasks fit on a
/// worker.
fn suspected(count: u32, is_gang: bool, suspects: &[u32]) -> Event {
    let step = spec::Step {
        count,
        estimate: Ms(500),
        is_gang,
        need: Size {
            millicores: 3_000,
            memory_mb: 100,
            accelerators: 0,
        },
        ..spec::Step::default()
    };
    let accepted = common::accepted_job(vec![step]);
    let mut progress = Progress::default();
    for &index in suspects {
        progress.record_crash(Task { index, ..TASK }, Run(5));
    }
    Event::Accepted(Job(1), 1, accepted, Some(progress))
}

/// Returns a leader that takes over a job, and the starts until the first ones within 9 s.
fn take_over(workers: &[&str], job: Event) -> (Fixture, Vec<Start>) {
    let mut fixture = Fixture {
        leader: Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN),
        progress: Progress::default(),
    };
    let registered =
        |worker: &&str| Event::RegistrationChanged(name(worker), Some(registration("d1")));
    let mut begin = vec![
        Event::Config(Arc::new(config())),
        Event::Joined(name("e1"), name("d1")),
        Event::Recovered,
    ];
    begin.extend(workers.iter().map(registered));
    fixture.apply(Ms(10), begin);
    let all_polled = || workers.iter().map(|worker| polled(worker, Vec::new()));
    let mut known = vec![Event::Committed];
    known.extend(all_polled());
    known.push(job);
    let mut starts = fixture.apply(Ms(20), known);
    for after in (60..9_000).step_by(60) {
        if !starts.is_empty() {
            break;
        }
        let events = [Event::Committed].into_iter().chain(all_polled());
        starts = fixture.apply(Ms(after), events.collect());
    }
    (fixture, starts)
}

#[test]
fn a_gang_of_suspects_and_others_starts_where_its_members_share_workers() {
    let cases: [(&[&str], u32, &[u32]); 5] = [
        (&["w1"], 2, &[]),
        (&["w1"], 2, &[0]),
        (&["w1"], 2, &[1]),
        (&["w1", "w2"], 4, &[0]),
        (&["w1", "w2"], 4, &[0, 3]),
    ];
    for (workers, count, suspects) in cases {
        let (_, starts) = take_over(workers, suspected(count, true, suspects));
        assert_eq!(starts.len(), count as usize, "{workers:?} {suspects:?}");
    }
}

#[test]
fn a_worker_that_drained_and_came_back_has_not_crashed() {
    let (mut fixture, start) = Fixture::begin();
    let worker = || start.worker.clone();
    let answer = received(Report::Started(start.placement(), Outcome::Done));
    let draining = Registration {
        is_draining: true,
        ..registration("d1")
    };
    let drains = Event::RegistrationChanged(worker(), Some(draining));
    fixture.apply(Ms(30), vec![answer, drains]);
    let leaves = Event::RegistrationChanged(worker(), None);
    fixture.apply(Ms(300), vec![Event::Committed, leaves]);
    let back = Registration {
        incarnation: INCARNATION + Ms(1),
        ..registration("d1")
    };
    let returns = Event::RegistrationChanged(worker(), Some(back));
    fixture.apply(Ms(900), vec![Event::Committed, returns]);
    let answers = received(Report::Polled(Observation {
        worker: worker(),
        incarnation: INCARNATION + Ms(1),
        polled_at: BEGUN + Ms(1_000),
        running: Some(Vec::new()),
        ended: Vec::new(),
    }));
    fixture.apply(Ms(1_000), vec![Event::Committed, answers]);
    fixture.apply(Ms(1_100), vec![Event::Committed]);
    assert_eq!(fixture.progress.crashes(TASK), 0);
}

#[test]
fn a_worker_that_drained_and_was_replaced_has_not_crashed() {
    let (mut fixture, start) = Fixture::begin();
    let answer = received(Report::Started(start.placement(), Outcome::Done));
    let draining = Registration {
        is_draining: true,
        ..registration("d1")
    };
    let drains = Event::RegistrationChanged(start.worker.clone(), Some(draining));
    fixture.apply(Ms(30), vec![answer, drains]);
    let replaced = Report::Stopped(start.placement(), Outcome::Reborn, BEGUN + Ms(290));
    fixture.apply(Ms(300), vec![Event::Committed, received(replaced)]);
    fixture.apply(Ms(400), vec![Event::Committed]);
    assert_eq!(fixture.progress.crashes(TASK), 0);
}

// The crash that a new leader assumes is no evidence, and a cut is weak evidence.
#[test]
fn a_job_is_not_given_up_after_one_crash_and_one_cut() {
    let (mut fixture, starts) = take_over(&["w1", "w2", "w3"], suspected(1, false, &[0]));
    let [start] = &starts[..] else {
        panic!("{starts:?}");
    };
    let answer = received(Report::Started(start.placement(), Outcome::Done));
    fixture.apply(Ms(9_005), vec![Event::Committed, answer]);
    let silent = ["w1", "w2", "w3"].map(|worker| failed(worker, Ms(10), false));
    fixture.apply(Ms(9_010), silent.into());
    let removed = Event::RegistrationChanged(start.worker.clone(), None);
    fixture.apply(Ms(11_700), vec![Event::Committed, removed]);
    let lapsed = Ms(9_010) + LAPSED;
    for delay in [0, 50, 100] {
        fixture.apply(lapsed + Ms(delay), vec![Event::Committed]);
    }
    assert_eq!(fixture.progress.ended, None);
    assert_eq!(fixture.progress.crashes(TASK), 3);
}
