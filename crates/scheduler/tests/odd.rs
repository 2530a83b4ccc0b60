//! Tests of reports with values that no sound agent or worker sends.

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
use scheduler::id::Run;
use scheduler::id::Step;
use scheduler::id::Task;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::End;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::spec;

const BEGUN: Ms = Ms(40_000_000);
const JOB: Job = Job(1);
/// The least value, a usual one and the greatest one.
const TIMES: [Ms; 3] = [Ms::ZERO, INCARNATION, Ms(u64::MAX)];
const RUNS: [Run; 3] = [Run(0), Run(17 << 20 | 1), Run(u64::MAX)];
const INDICES: [u32; 3] = [0, 1, u32::MAX];

/// Returns tasks of a known and an unknown job, most of which do not exist.
fn tasks() -> Vec<Task> {
    let mut tasks = Vec::new();
    for job in [JOB, Job(u64::MAX)] {
        for occurrence in INDICES {
            for step in [0, u16::MAX] {
                let step = Step {
                    job,
                    occurrence,
                    step,
                };
                tasks.extend(INDICES.map(|index| Task { step, index }));
            }
        }
    }
    tasks
}

fn observation(incarnation: Ms, task: Task, run: Run) -> Observation {
    let row = Running {
        task,
        run,
        checkpoint: Some(Arc::from("")),
        percent: u8::MAX,
        measurement: u32::MAX,
    };
    let ends = [
        Termination::Done,
        Termination::Failed,
        Termination::Stopped,
        Termination::Lapsed,
        Termination::Broken,
        Termination::Alone,
    ];
    let end = |termination| End {
        number: u64::MAX,
        task,
        run,
        termination,
        checkpoint: None,
    };
    Observation {
        worker: name("w"),
        incarnation,
        polled_at: Ms(u64::MAX),
        running: Some(vec![row.clone(), row]),
        ended: ends.map(end).into(),
    }
}

/// Returns reports on a run on a worker.
fn reports(worker: &str, incarnation: Ms, task: Task, run: Run) -> Vec<Report> {
    let placement = Placement {
        worker: name(worker),
        incarnation,
        task,
        run,
    };
    let outcomes = [
        Outcome::Done,
        Outcome::Old,
        Outcome::Late,
        Outcome::Room,
        Outcome::Ticket,
        Outcome::Reborn,
        Outcome::Unhealthy,
        Outcome::Unsent,
        Outcome::Unknown,
    ];
    let mut reports = vec![
        Report::Hello(Hello {
            entry: name("e1"),
            domain: name("d1"),
            epoch: Epoch(u64::MAX),
            known: vec![(name(worker), incarnation, vec![placement.clone()])],
        }),
        Report::Polled(Observation {
            worker: name(worker),
            ..observation(incarnation, task, run)
        }),
        Report::PollFailed(Failure {
            worker: name(worker),
            renewal_age: incarnation,
            is_closed: true,
        }),
        Report::QueryStage(u64::MAX, task.step.job),
    ];
    for outcome in outcomes {
        let stopped = Finding::Stopped(placement.clone(), outcome, incarnation);
        reports.push(Report::Started(placement.clone(), outcome));
        reports.push(Report::Stopped(placement.clone(), outcome, incarnation));
        reports.push(Report::Watched(id::Watch(u64::MAX), stopped.clone()));
        reports.push(Report::Watched(id::Watch(1), stopped));
    }
    reports
}

/// Passes an event to the leader, and confirms the commits that follow.
fn apply(leader: &mut Leader, now: Ms, event: Event) {
    leader.handle(now, Event::LeadConfirmed(now));
    let mut actions = leader.handle(now, event);
    actions.extend(echo::tick(leader, now));
    actions.extend(leader.schedule(now));
    if actions.iter().any(|it| matches!(it, Action::Commit(_))) {
        leader.handle(now, Event::Committed);
    }
}

fn leader() -> Leader {
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, BEGUN);
    let step = spec::Step {
        count: 2,
        estimate: Ms(60_000),
        ..spec::Step::default()
    };
    let events = [
        Event::Config(Arc::new(config())),
        Event::Recovered,
        Event::Joined(name("e1"), name("d1")),
        Event::RegistrationChanged(name("w"), Some(registration("d1"))),
        Event::Accepted(JOB, 30, common::accepted_job(vec![step]), None),
    ];
    for event in events {
        apply(&mut leader, BEGUN, event);
    }
    leader
}

/// One message with odd values took a process down.
#[test]
fn no_report_ends_the_process_of_the_leader() {
    for task in tasks() {
        for run in RUNS {
            for incarnation in TIMES {
                let mut leader = leader();
                for (count, worker) in (0..).zip(["w", "unknown", "w"]) {
                    for report in reports(worker, incarnation, task, run) {
                        let now = BEGUN + Ms(count * 10_000);
                        apply(&mut leader, now, Event::Received(name("e1"), report));
                    }
                }
            }
        }
    }
}
