//! Tests of scheduled jobs whose occurrences an earlier leader began by its own clock.

mod common;

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
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::End;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::spec;

/// The leader begins hours after its VM.
const BEGUN: Ms = Ms(40_000_000);
/// The time of day when the first occurrence is due, by the clock of this leader.
const DUE: Ms = Ms(1_700_000_000_000);
/// The run of an earlier leader.
const OLD_RUN: Run = Run(9);
/// The time by which all leases of the earlier leader have expired.
const LEASES_OVER: Ms = Ms(9_600);

const fn task(occurrence: u32, index: u32) -> Task {
    let step = id::Step {
        job: Job(1),
        occurrence,
        step: 0,
    };
    Task { step, index }
}

/// Returns a job with three occurrences of two tasks.
fn scheduled() -> Event {
    let mut accepted = common::accepted_job(vec![spec::Step {
        count: 2,
        estimate: Ms(500),
        ..spec::Step::default()
    }]);
    accepted.spec.schedule = Some(spec::Schedule {
        first: DUE,
        interval: Ms(60_000),
        count: 3,
    });
    Event::Accepted(Job(1), 5, accepted, None)
}

/// Returns what a poll of the worker `used` shows.
fn polled(running: &[Task], done: &[Task]) -> Event {
    observed("used", running, done)
}

fn observed(worker: &str, running: &[Task], done: &[Task]) -> Event {
    let running = running.iter().map(|&task| Running {
        task,
        run: OLD_RUN,
        checkpoint: None,
        percent: 0,
        measurement: 0,
    });
    let ended = (1..).zip(done).map(|(number, &task)| End {
        number,
        task,
        run: OLD_RUN,
        termination: Termination::Done,
        checkpoint: None,
    });
    let observation = Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(running.collect()),
        ended: ended.collect(),
    };
    Event::Received(name("e1"), Report::Polled(observation))
}

/// Begins a leader with the workers `used` and `free` at this time of day.
fn begin(unix: Ms) -> Leader {
    let member = |worker| Member {
        worker: name(worker),
        address: Arc::from("10.0.0.1:1"),
        domain: name("d1"),
    };
    let hello = Hello {
        entry: name("e1"),
        domain: name("d1"),
        epoch: Epoch(17),
        known: Vec::new(),
    };
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN);
    let events = vec![
        Event::Config(Arc::new(config())),
        Event::Fleet(vec![member("used"), member("free")]),
        Event::Received(name("e1"), Report::Hello(hello)),
        Event::Joined(name("e1"), name("d1")),
        scheduled(),
        Event::Recovered,
        Event::RegistrationChanged(name("used"), Some(registration("d1"))),
        Event::RegistrationChanged(name("free"), Some(registration("d1"))),
        observed("free", &[], &[]),
    ];
    apply(&mut leader, Ms::ZERO, unix, events);
    leader
}

/// Passes events and a tick to the leader this long after its begin, and returns the tasks that it
/// starts.
fn apply(leader: &mut Leader, after: Ms, unix: Ms, events: Vec<Event>) -> Vec<Task> {
    let now = BEGUN + after;
    let events = events.into_iter();
    let events = events.chain([Event::LeadConfirmed(now), Event::Tick(unix)]);
    let mut actions: Vec<Action> = events.flat_map(|event| leader.handle(now, event)).collect();
    actions.extend(leader.schedule(now));
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Send(_, Order::Start(start)) => Some(start.task),
        _ => None,
    });
    starts.collect()
}

// The clock of an earlier leader was ahead of this one's.
#[test]
fn a_run_of_an_occurrence_that_is_not_due_by_the_new_leaders_clock_is_not_started_again() {
    let mut leader = begin(Ms(DUE.0 - 400));
    let early = Ms(DUE.0 - 300);
    let started = apply(
        &mut leader,
        Ms(100),
        early,
        vec![polled(&[task(0, 0)], &[])],
    );
    assert!(!started.contains(&task(0, 0)), "{started:?}");
    let started = apply(&mut leader, Ms(500), Ms(DUE.0 + 100), Vec::new());
    assert!(!started.contains(&task(0, 0)), "{started:?}");
}

#[test]
fn an_end_in_an_occurrence_that_is_not_due_by_the_new_leaders_clock_is_not_forgotten() {
    let mut leader = begin(Ms(DUE.0 - 400));
    let early = Ms(DUE.0 - 300);
    apply(
        &mut leader,
        Ms(100),
        early,
        vec![polled(&[], &[task(0, 0)])],
    );
    let due = Ms(DUE.0 + 100);
    let started = apply(&mut leader, LEASES_OVER, due, vec![polled(&[], &[])]);
    assert!(!started.contains(&task(0, 0)), "{started:?}");
}

#[test]
fn an_occurrence_without_runs_does_not_start_before_it_is_due() {
    let mut leader = begin(Ms(DUE.0 - 400));
    let events = vec![polled(&[task(0, 0)], &[])];
    apply(&mut leader, Ms(100), Ms(DUE.0 - 300), events);
    let started = apply(&mut leader, Ms(500), Ms(DUE.0 + 59_000), Vec::new());
    assert!(
        started.iter().all(|task| task.step.occurrence == 0),
        "{started:?}"
    );
    let started = apply(&mut leader, Ms(600), Ms(DUE.0 + 60_000), Vec::new());
    assert_eq!(started, [task(1, 0), task(1, 1)]);
}

#[test]
fn an_occurrence_beyond_the_schedule_is_not_begun() {
    let mut leader = begin(Ms(DUE.0 - 400));
    let events = vec![polled(&[task(3, 0)], &[task(7, 0)])];
    assert_eq!(apply(&mut leader, Ms(100), Ms(DUE.0 - 300), events), []);
}
