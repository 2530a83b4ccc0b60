//! Tests of large amounts of work that is due at once.

mod common;

use std::collections::BTreeSet;
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
use scheduler::id::Task;
use scheduler::interference::Model;
use scheduler::job::Accepted;
use scheduler::job::Job;
use scheduler::leader::Action;
use scheduler::leader::Commit;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::progress::Outcome;
use scheduler::progress::Progress;
use scheduler::progress::Stage;
use scheduler::spec;

/// The time of day.
const TODAY: Ms = Ms(1_700_000_000_000);
const MINUTE: Ms = Ms(60_000);
/// The most bytes of a row whose base64 form fits in 65,536.
const ROW_BYTES: usize = 49_152;

/// Returns a job of equal steps whose occurrences have all been due for a while.
fn overdue(steps: usize, width: u32, occurrences: u32) -> Accepted {
    let step = spec::Step {
        count: width,
        estimate: Ms(500),
        ..spec::Step::default()
    };
    let mut accepted = accepted_job(vec![step; steps]);
    accepted.spec.schedule = Some(spec::Schedule {
        first: Ms(TODAY.0 - MINUTE.0 * u64::from(occurrences)),
        interval: MINUTE,
        count: occurrences,
    });
    accepted
}

/// Returns the tasks of an occurrence.
fn tasks(job: &Job, occurrence: u32) -> Vec<Task> {
    let steps = (0..).zip(&job.spec.steps);
    let tasks = steps.flat_map(|(step, spec)| {
        let step = id::Step {
            job: job.id,
            occurrence,
            step,
        };
        (0..spec.count).map(move |index| Task { step, index })
    });
    tasks.collect()
}

/// All occurrences that were due began at once: 201,600 steps waited, and each pass over them took
/// longer than the interval between two ticks.
#[test]
fn few_of_many_due_occurrences_begin_at_once_and_all_are_completed_in_the_end() {
    let table = [
        (20, 1, 10_080),
        (1, 1, 100_000),
        (1, 20_000, 40),
        (64, 312, 100),
        (64, 1, 100_000),
    ];
    for (steps, width, occurrences) in table {
        let case = format!("{steps} steps of {width} tasks, {occurrences} times");
        let accepted = overdue(steps, width, occurrences);
        let mut model = Model::default();
        let id = id::Job(1);
        let mut job = Job::new(id, 5, accepted, None, &mut model, Ms::ZERO);
        let mut completed = 0;
        // The oldest occurrence takes longer than the others.
        let mut oldest = None;
        while !job.has_ended() {
            let begun = job.begin_due_occurrences(TODAY);
            let open: usize = job.occurrences.values().map(Vec::len).sum();
            assert!(open <= 2_048, "{case}: {open} steps are open");
            let size = rmp_serde::to_vec(&job.progress).expect("it can be encoded");
            assert!(size.len() <= ROW_BYTES, "{case}: {} bytes", size.len());
            let has_begun = !begun.is_empty();
            for occurrence in begun {
                completed += 1;
                if oldest.is_none() {
                    oldest = Some(occurrence);
                    continue;
                }
                complete(&mut job, occurrence);
            }
            if let Some(occurrence) = oldest.take_if(|_| !has_begun || completed == occurrences) {
                complete(&mut job, occurrence);
            }
        }
        assert_eq!(completed, occurrences, "{case}");
    }
}

fn complete(job: &mut Job, occurrence: u32) {
    for task in tasks(job, occurrence) {
        job.complete(task);
    }
    job.close_occurrence(occurrence, TODAY);
}

/// Passes events and a tick to the leader, and returns the tasks that it starts.
fn apply(leader: &mut Leader, now: Ms, events: Vec<Event>) -> Vec<Start> {
    apply_with_commit(leader, now, events).0
}

/// Does the same, and also returns the commit that it makes.
fn apply_with_commit(
    leader: &mut Leader,
    now: Ms,
    events: Vec<Event>,
) -> (Vec<Start>, Option<Commit>) {
    let confirmed = [Event::LeadConfirmed(now)];
    let all = confirmed.into_iter().chain(events);
    let all = all.chain([Event::Tick(TODAY)]);
    let mut actions: Vec<Action> = all.flat_map(|event| leader.handle(now, event)).collect();
    actions.extend(leader.schedule(now));
    let mut commits = actions.iter().filter_map(|action| match action {
        Action::Commit(commit) => Some(commit.clone()),
        _ => None,
    });
    let commit = commits.next();
    if commit.is_some() {
        actions.extend(leader.handle(now, Event::Committed));
    }
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Send(_, Order::Start(start)) => Some(start),
        _ => None,
    });
    (starts.collect(), commit)
}

/// Returns the report that these runs have ended, numbered from `first`.
fn ended(first: u64, runs: Vec<Start>) -> Event {
    let ended = (first..).zip(runs).map(|(number, start)| End {
        number,
        task: start.task,
        run: start.run,
        termination: Termination::Done,
        checkpoint: None,
    });
    polled(ended.collect())
}

/// Returns the report of the worker with these ends and no runs.
fn polled(ended: Vec<End>) -> Event {
    let observation = Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(Vec::new()),
        ended,
    };
    Event::Received(name("e"), Report::Polled(observation))
}

/// The same with a leader: each task of a backlog runs once, and the job is shown as completed.
#[test]
fn a_leader_completes_a_backlog_of_occurrences_that_do_not_all_begin_at_once() {
    const OCCURRENCES: u32 = 300;
    const STEPS: usize = 20;
    let mut leader = Leader::new(name("e"), Epoch(7), BOUNDS, Ms(20_000));
    let joined = vec![
        Event::Config(Arc::new(config())),
        Event::Recovered,
        Event::Joined(name("e"), name("d")),
        Event::RegistrationChanged(name("w"), Some(registration("d"))),
        ended(1, Vec::new()),
    ];
    apply(&mut leader, Ms(20_000), joined);
    let job = Event::Accepted(id::Job(1), 30, overdue(STEPS, 1, OCCURRENCES), None);
    let mut runs = apply(&mut leader, Ms(20_050), vec![job]);
    let mut seen = BTreeSet::new();
    let mut number = 1;
    for round in 0..1_000 {
        let count = runs.len() as u64;
        for run in &runs {
            assert!(seen.insert(run.task), "{} starts again", run.task);
        }
        let now = Ms(20_100 + round * 50);
        runs = apply(&mut leader, now, vec![ended(number, runs)]);
        number += count;
    }
    assert_eq!(seen.len(), OCCURRENCES as usize * STEPS);
    let completed = Stage::Ended(Outcome::Completed);
    assert_eq!(leader.stage(id::Job(1)), Some(completed));
}

/// Returns a job of which all tasks but the last have failed three times.
fn with_failures(id: u64, tasks: u32) -> Event {
    let step = spec::Step {
        count: tasks,
        ..spec::Step::default()
    };
    let mut progress = Progress::default();
    let failed =
        (0..tasks - 1).map(|index| (index, (1..=3).map(|run| Run((17 << 20) + run)).collect()));
    progress.steps.entry((0, 0)).or_default().failures = failed.collect();
    Event::Accepted(id::Job(id), id, accepted_job(vec![step]), Some(progress))
}

/// All jobs that had changed were written in one transaction, whatever its size, and the store
/// refuses one of more than 1 MB each time.
#[test]
fn a_commit_has_no_more_progress_than_a_transaction_takes() {
    const JOBS: u64 = 45;
    /// The most bytes whose base64 form leaves room for the keys in 1 MB.
    const TRANSACTION_BYTES: usize = 700_000;
    for widths in [[10, 10], [2_000, 2_000], [20_000, 20_000], [7_000, 20_000]] {
        let mut leader = Leader::new(name("e"), Epoch(7), BOUNDS, Ms(20_000));
        let mut events = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e"), name("d")),
            Event::RegistrationChanged(name("w"), Some(registration("d"))),
        ];
        let tasks = |id: u64| widths[usize::from(!id.is_multiple_of(2))];
        events.extend((0..JOBS).map(|id| with_failures(id, tasks(id))));
        events.push(Event::Recovered);
        apply(&mut leader, Ms(20_000), events);
        let failed = (0..JOBS).map(|id| End {
            number: id + 1,
            task: Task {
                step: id::Step {
                    job: id::Job(id),
                    ..id::Step::default()
                },
                index: tasks(id) - 1,
            },
            run: Run((17 << 20) + 4),
            termination: Termination::Failed,
            checkpoint: None,
        });
        let mut events = vec![polled(failed.collect())];
        let mut written = BTreeSet::new();
        for round in 0..JOBS * 4 {
            let now = Ms(20_050 + round * 50);
            let (_, commit) = apply_with_commit(&mut leader, now, std::mem::take(&mut events));
            let progress = commit.map(|commit| commit.progress).unwrap_or_default();
            let encoded = progress.iter().map(|(_, progress)| {
                let bytes = rmp_serde::to_vec(progress)
                    .expect("it can be encoded")
                    .len();
                assert!(bytes <= progress.bytes(), "{bytes}, {}", progress.bytes());
                bytes
            });
            let bytes: usize = encoded.sum();
            assert!(
                bytes <= TRANSACTION_BYTES,
                "{widths:?} tasks: {bytes} bytes"
            );
            written.extend(progress.into_iter().map(|(job, _)| job));
        }
        assert_eq!(written.len() as u64, JOBS, "{widths:?} tasks");
    }
}

/// The end of a job removes the rows that its progress took before, and a transaction has at most 100
/// entries.
#[test]
fn a_commit_ends_no_more_large_jobs_than_a_transaction_has_entries_for() {
    const JOBS: u64 = 45;
    /// The jobs of this many failed runs each take some 200 KB, or five rows.
    const TASKS: u32 = 6_000;
    let mut leader = Leader::new(name("e"), Epoch(7), BOUNDS, Ms(20_000));
    let mut events = vec![Event::Config(Arc::new(config()))];
    events.extend((0..JOBS).map(|id| with_failures(id, TASKS)));
    events.push(Event::Recovered);
    apply(&mut leader, Ms(20_000), events);
    let mut events: Vec<Event> = (0..JOBS).map(|id| Event::Cancelled(id::Job(id))).collect();
    let mut written = 0;
    for round in 0..JOBS {
        let now = Ms(20_050 + round * 50);
        let (_, commit) = apply_with_commit(&mut leader, now, std::mem::take(&mut events));
        let ended = commit.map_or(0, |commit| commit.progress.len());
        // A row each, and four to remove.
        assert!(ended * 5 <= 90, "{ended} jobs at once");
        written += ended;
    }
    assert_eq!(written as u64, JOBS);
}
