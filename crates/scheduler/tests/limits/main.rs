//! Properties of the leader over generated jobs, configurations, workers and rows, at and beyond
//! their limits.
//!
//! `PROPTEST_CASES=100000 cargo test -p scheduler --test limits` is their long form.

mod draw;
mod fleet;

use std::sync::Arc;

use decision::clock::Ms;
use decision::resource::Size;
use fleet::Fleet;
use fleet::name;
use proptest::collection;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use scheduler::config::Config;
use scheduler::id;
use scheduler::job::Accepted;
use scheduler::leader::Event;
use scheduler::progress::Outcome;
use scheduler::progress::Stage;
use scheduler::spec;

const JOB: id::Job = id::Job(1);
/// The number of rounds in which a job ends. Each completes at least one task where any fits.
const ROUNDS: usize = 3_000;
/// The crashes under the tasks of a step are stored under its number and this.
const CRASHES_OFFSET: u16 = 1 << 15;

fn config(cases: u32) -> ProptestConfig {
    let set = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: set.and_then(|text| text.parse().ok()).unwrap_or(cases),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    }
}

fn accepted(spec: &spec::Job) -> Accepted {
    Accepted {
        queue: name("queue"),
        spec: spec.clone(),
        at: Ms(1),
    }
}

/// Begins a leader that has read the rows, and gives it a job.
fn begin(now: Ms, unix: Ms, config: &Config, sizes: &[Size], spec: &spec::Job) -> Fleet {
    let lasting = (0..).zip(&spec.steps).filter(|(_, step)| step.is_lasting);
    let lasting = lasting.map(|(index, _)| index).collect();
    let mut fleet = Fleet::begin(now, unix, config.clone(), sizes, lasting);
    fleet.handle(Event::Recovered);
    fleet.round();
    fleet.handle(Event::Accepted(JOB, 30, accepted(spec), None));
    fleet
}

/// Returns whether the tasks of a step fit on the workers, each alone or all members of a gang.
fn fits(step: &spec::Step, sizes: &[Size]) -> bool {
    if step.label.as_ref().is_some_and(|label| **label != *"kind") {
        return false;
    }
    let rooms = sizes.iter().map(|&size| {
        let room = step.need.times_in(size);
        u64::from(room.min(step.per_worker.unwrap_or(u32::MAX)))
    });
    let needed = if step.is_gang { step.count } else { 1 };
    rooms.sum::<u64>() >= u64::from(needed)
}

/// Returns whether all tasks of a job run and end by themselves.
fn ends_by_itself(spec: &spec::Job, sizes: &[Size], unix: Ms) -> bool {
    let last = spec.occurrences() - 1;
    let is_due = spec.due(last).is_none_or(|due| due <= unix);
    let mut steps = spec.steps.iter();
    is_due && steps.all(|step| !step.is_lasting && fits(step, sizes))
}

proptest! {
    #![proptest_config(config(60))]

    /// An accepted job ends by its own tasks if they fit, and otherwise by a cancellation.
    #[test]
    fn an_accepted_job_ends_by_its_tasks_or_a_cancellation(
        spec in draw::job(),
        config in draw::config(),
        sizes in collection::vec(draw::size(), 1..5),
        now in draw::clock(),
        unix in draw::time_of_day(),
    ) {
        prop_assert_eq!(spec.validate(), Ok(()));
        let mut fleet = begin(now, unix, &config, &sizes, &spec);
        if ends_by_itself(&spec, &sizes, unix) {
            prop_assert!(fleet.run(JOB, ROUNDS), "it does not end");
            let completed = Some(Stage::Ended(Outcome::Completed));
            prop_assert_eq!(fleet.leader.stage(JOB), completed);
        } else {
            fleet.run(JOB, 20);
            fleet.handle(Event::Cancelled(JOB));
            prop_assert!(fleet.run(JOB, 40), "it is not cancelled");
        }
    }

    /// What is written of a job is about its own tasks, whatever workers report.
    #[test]
    fn odd_reports_of_workers_add_nothing_to_the_progress_of_a_job(
        spec in draw::job(),
        reports in collection::vec(draw::report(), 1..20),
    ) {
        let sizes = [draw::ROOM; 2];
        let mut fleet = begin(Ms(20_000), draw::TODAY, &draw::plain_config(), &sizes, &spec);
        fleet.round();
        for report in reports {
            fleet.report(report);
            fleet.round();
        }
        for commit in &fleet.commits {
            for (job, progress) in &commit.progress {
                prop_assert_eq!(*job, JOB);
                for (&(occurrence, number), step) in &progress.steps {
                    let own = spec.steps.get(usize::from(number % CRASHES_OFFSET));
                    prop_assert!(occurrence < spec.occurrences(), "occurrence {occurrence}");
                    let own = own.expect("the job has the step");
                    let beyond = step.failures.keys().find(|&&index| index >= own.count);
                    prop_assert_eq!(beyond, None);
                    prop_assert!(step.done.len() <= own.count.div_ceil(64) as usize);
                }
            }
        }
    }

    /// Rows that another build wrote, or that nobody should have written.
    #[test]
    fn odd_rows_are_carried_out_or_left_alone(
        specs in collection::vec(draw::odd_job(), 1..4),
        progress in proptest::option::of(draw::progress()),
        config in draw::config(),
        now in draw::clock(),
        unix in draw::time_of_day(),
    ) {
        let mut fleet = Fleet::begin(now, unix, config, &[draw::ROOM; 3], Vec::new());
        for (id, spec) in (1..).map(id::Job).zip(&specs) {
            fleet.handle(Event::Accepted(id, 3 + id.0, accepted(spec), progress.clone()));
        }
        fleet.handle(Event::Recovered);
        for _ in 0..10 {
            fleet.round();
        }
        let other = id::Job(99);
        fleet.handle(Event::Accepted(other, 31, accepted(&draw::plain_job()), None));
        prop_assert!(fleet.run(other, ROUNDS), "another job does not run");
    }
}

/// Guards against properties that hold because the drawn jobs do nothing.
#[test]
fn a_good_part_of_the_drawn_jobs_end_by_their_tasks() {
    const DRAWN: usize = 400;
    let mut runner = TestRunner::deterministic();
    let mut draw = || {
        let tree = draw::job().new_tree(&mut runner).expect("a job is drawn");
        tree.current()
    };
    let ending = (0..DRAWN).filter(|_| ends_by_itself(&draw(), &[draw::ROOM; 3], draw::TODAY));
    let ending = ending.count();
    assert!(ending > DRAWN / 5, "{ending} of {DRAWN}");
}

/// The largest jobs, on workers with room for all of their tasks at once: an event requires a
/// bounded number of actions.
#[test]
fn events_of_the_widest_jobs_require_bounded_actions() {
    const VAST: Size = Size {
        millicores: u32::MAX,
        memory_mb: u32::MAX,
        accelerators: u32::MAX,
    };
    let step = |count, is_gang| spec::Step {
        count,
        is_gang,
        ..draw::plain_job().steps[0].clone()
    };
    let widest = [
        vec![step(spec::MAX_TASKS, false)],
        vec![step(spec::MAX_TASKS, true)],
        vec![step(312, false); spec::MAX_STEPS],
        vec![step(1, false); spec::MAX_STEPS],
    ];
    for (case, steps) in widest.into_iter().enumerate() {
        for count in [1, spec::MAX_OCCURRENCES] {
            let schedule = spec::Schedule {
                first: Ms(1),
                interval: Ms::ZERO,
                count,
            };
            let spec = spec::Job {
                payload: Arc::from(""),
                steps: steps.clone(),
                schedule: Some(schedule),
            };
            assert_eq!(spec.validate(), Ok(()));
            let config = draw::plain_config();
            let mut fleet = begin(Ms(20_000), draw::TODAY, &config, &[VAST; 3], &spec);
            fleet.round();
            fleet.round();
            fleet.handle(Event::Cancelled(JOB));
            assert!(fleet.run(JOB, 40), "job {case}, {count} times");
        }
    }
}
