//! Values at the ends of their ranges, each of which a leader handled wrongly before.

mod common;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::accepted_job;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Run;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Termination;
use scheduler::progress::Stage;
use scheduler::spec;

const NOW: Ms = Ms(20_000);
const TODAY: Ms = Ms(1_700_000_000_000);

/// Passes events and a tick to a leader, and returns what it requires.
fn apply(leader: &mut Leader, now: Ms, events: Vec<Event>) -> Vec<Action> {
    let all = [Event::LeadConfirmed(now)].into_iter().chain(events);
    let all = all.chain([Event::Tick(TODAY)]);
    let mut actions: Vec<Action> = all.flat_map(|event| leader.handle(now, event)).collect();
    actions.extend(leader.schedule(now));
    if actions.iter().any(|it| matches!(it, Action::Commit(_))) {
        actions.extend(leader.handle(now, Event::Committed));
    }
    actions
}

/// Returns a leader with one worker that has nothing to do.
fn begin() -> Leader {
    let mut leader = Leader::new(name("e"), Epoch(7), BOUNDS, NOW);
    let observation = Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended: Vec::new(),
    };
    let events = vec![
        Event::Config(Arc::new(config())),
        Event::Recovered,
        Event::Joined(name("e"), name("d")),
        Event::RegistrationChanged(name("w"), Some(registration("d"))),
        Event::Received(name("e"), Report::Polled(observation)),
    ];
    apply(&mut leader, NOW, events);
    leader
}

fn step(count: u32, estimate: Ms) -> spec::Step {
    spec::Step {
        count,
        estimate,
        ..spec::Step::default()
    }
}

fn accept(job: u64, steps: Vec<spec::Step>) -> Event {
    Event::Accepted(id::Job(job), 30 + job, accepted_job(steps), None)
}

fn starts(actions: &[Action]) -> usize {
    let starts = actions
        .iter()
        .filter(|action| matches!(action, Action::Send(_, Order::Start(_))));
    starts.count()
}

/// The time that a step is expected to be delayed overflowed.
#[test]
fn a_job_of_any_estimate_starts() {
    for estimate in [
        0,
        1,
        u64::MAX / 30,
        u64::MAX / 30 + 1,
        u64::MAX / 2,
        u64::MAX,
    ] {
        let mut leader = begin();
        let steps = vec![step(2, Ms(estimate))];
        // The order of a single step needs no estimate.
        let jobs = vec![accept(1, steps.clone()), accept(2, steps)];
        let actions = apply(&mut leader, NOW + Ms(50), jobs);
        assert_eq!(starts(&actions), 4, "{estimate}");
    }
}

/// Returns specifications that no entry accepts.
fn unusable() -> Vec<(&'static str, spec::Job)> {
    let plain = || accepted_job(vec![step(1, Ms(500)); 2]).spec;
    let with = |change: fn(&mut spec::Job)| {
        let mut spec = plain();
        change(&mut spec);
        spec
    };
    let schedule = |count| spec::Schedule {
        first: Ms(1),
        interval: Ms(0),
        count,
    };
    vec![
        ("no steps", with(|spec| spec.steps.clear())),
        ("no tasks", with(|spec| spec.steps[1].count = 0)),
        ("many tasks", with(|spec| spec.steps[1].count = u32::MAX)),
        (
            "waits for itself",
            with(|spec| spec.steps[1].after = vec![1]),
        ),
        (
            "waits for no step",
            with(|spec| spec.steps[1].after = vec![u16::MAX]),
        ),
        (
            "no occurrences",
            spec::Job {
                schedule: Some(schedule(0)),
                ..plain()
            },
        ),
        (
            "many occurrences",
            spec::Job {
                schedule: Some(schedule(u32::MAX)),
                ..plain()
            },
        ),
    ]
}

/// A row that no entry should have written ended the process of each leader that read it.
#[test]
fn a_row_with_an_unusable_job_is_left_alone() {
    for (case, spec) in unusable() {
        let mut leader = begin();
        let mut accepted = accepted_job(Vec::new());
        accepted.spec = spec;
        let bad = Event::Accepted(id::Job(1), 31, accepted, None);
        let good = accept(2, vec![step(3, Ms(500))]);
        let actions = apply(&mut leader, NOW + Ms(50), vec![bad, good]);
        assert_eq!(starts(&actions), 3, "{case}");
        let lines = actions.iter().filter(|action| {
            matches!(action, Action::Log(line) if line.starts_with("kind=row-ignored table=jobs"))
        });
        assert_eq!(lines.count(), 1, "{case}");
        assert_eq!(leader.stage(id::Job(1)), None, "{case}");
    }
}

/// Returns the report of a failed run of a task of job 1, numbered within the worker.
fn failed(number: u64, occurrence: u32, step: u16, index: u32) -> Event {
    let step = id::Step {
        job: id::Job(1),
        occurrence,
        step,
    };
    let end = End {
        number,
        task: id::Task { step, index },
        run: Run((6 << 20) + number),
        termination: Termination::Failed,
        checkpoint: None,
    };
    let observation = Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended: vec![end],
    };
    Event::Received(name("e"), Report::Polled(observation))
}

/// Ends of a former job of the same name counted against this one, and stayed in its row.
#[test]
fn failed_runs_of_tasks_that_a_job_does_not_have_do_not_count() {
    let cases = [
        (0, 0, 2),
        (0, 0, u32::MAX),
        (0, 1, 0),
        (0, 1 << 15, 0),
        (0, u16::MAX, 0),
        (1, 0, 0),
        (u32::MAX, 0, 0),
    ];
    for (occurrence, step_number, index) in cases {
        let case = format!("{occurrence}.{step_number}.{index}");
        let mut leader = begin();
        let job = accept(1, vec![step(2, Ms(500))]);
        apply(&mut leader, NOW + Ms(50), vec![job]);
        for number in 1..=3 {
            let event = failed(number, occurrence, step_number, index);
            let actions = apply(&mut leader, NOW + Ms(50 + number * 50), vec![event]);
            for action in actions {
                let Action::Commit(commit) = action else {
                    continue;
                };
                let mut written = commit.progress.iter();
                let is_clean = written.all(|(_, progress)| progress.steps.is_empty());
                assert!(is_clean, "{case}: {:?}", commit.progress);
            }
        }
        assert_eq!(leader.stage(id::Job(1)), Some(Stage::Queued), "{case}");
    }
}
