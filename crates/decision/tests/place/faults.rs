//! Tests of placement under faults: no task is lost or runs twice, and no worker is overcommitted.

use decision::clock::Ms;
use decision::naive;
use decision::piece::Record;
use decision::place::Board;
use decision::place::Event;
use decision::place::Order;
use decision::place::Read;
use decision::step::Step;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::fake::Faults;
use crate::fake::World;
use crate::fake::check::is_open;
use crate::fake::job;
use crate::fake::name;
use crate::fake::piece;
use crate::fake::size;
use crate::fake::worker::Need;

/// Time limit that suffices for the work, its retries and several expirations of leases.
const TIME_LIMIT: Ms = Ms(1_200_000);

#[test]
fn tasks_run_once_without_faults() {
    let mut world = world::<Board>(1, 3);
    let need = need(3_000, 500);
    world.submit(piece(job("a", 50, size(1_000, 1_000, 0))), need);
    world.run_until_ended(TIME_LIMIT);
    let done = |record: &Record| *record == Record::Done;
    assert!(world.records().iter().all(done));
    assert!(world.starts.values().all(|starts| starts.len() == 1));
}

/// An incident at some point of a run. The index selects a worker or, for `Cancel`, a job.
#[derive(Clone, Copy, Debug)]
enum Incident {
    Kill(usize),
    Partition(usize),
    BreakWorker(usize),
    Restart,
    Cancel(usize),
    ToggleObjectStore,
}

fn incident() -> impl Strategy<Value = Incident> {
    (0..6, 0..5usize).prop_map(|(kind, index)| match kind {
        0 => Incident::Kill(index),
        1 => Incident::Partition(index),
        2 => Incident::BreakWorker(index),
        3 => Incident::Restart,
        4 => Incident::Cancel(index),
        _ => Incident::ToggleObjectStore,
    })
}

fn faults() -> impl Strategy<Value = Faults> {
    let percent = (0..10u32, 0..10u32, 0..10u32, 0..10u32, 0..30u32, 0..50u32);
    percent.prop_map(
        |(unsent, lost_request, lost_answer, late_request, late_report, late_store)| Faults {
            unsent,
            lost_request,
            lost_answer,
            late_request,
            late_report,
            late_store,
        },
    )
}

fn world<B: Placement>(seed: u64, workers: usize) -> World<B> {
    let capacities = vec![size(8_000, 8_000, 0); workers];
    World::new(B::empty(seed), seed, &capacities, size(1_000, 1_000, 0))
}

/// A board that can be created empty, to replace a failed one.
trait Placement: Step<Event = Event, Action = Order> + Read {
    fn empty(seed: u64) -> Self;
}

impl Placement for Board {
    fn empty(seed: u64) -> Self {
        Self::new(seed)
    }
}

impl Placement for naive::Board {
    fn empty(seed: u64) -> Self {
        Self::new(seed)
    }
}

const fn need(work: u64, memory_mb: u32) -> Need {
    Need {
        work: Ms(work),
        size: size(1_000, memory_mb, 0),
        fails: false,
    }
}

fn apply<B: Placement>(world: &mut World<B>, incident: Incident, seed: u64) {
    match incident {
        // One worker is never killed, so that the work can be completed.
        Incident::Kill(index) if index > 0 => world.kill(index),
        Incident::Kill(_) => {}
        Incident::Partition(index) => world.partition(index),
        Incident::BreakWorker(index) => world.workers[index].broken = true,
        Incident::Restart => world.restart(B::empty(seed)),
        Incident::Cancel(index) => world.cancel(&name(["a", "b", "c", "d", "e"][index])),
        Incident::ToggleObjectStore => world.objects.up = !world.objects.up,
    }
}

/// Runs three jobs under faults until all tasks have ended, and returns the world. The world itself
/// checks the invariants after each change.
fn run<B: Placement>(seed: u64, faults: Faults, incidents: &[(u64, Incident)]) -> World<B> {
    let mut world = world::<B>(seed, 5);
    world.faults = faults;
    world.traffic = true;
    world.slowdowns.insert(name("kind-b"), 4.0);
    for (raw, work) in [("a", 1_000), ("b", 8_000), ("c", 30_000)] {
        let job = job(raw, 20, size(1_000, 1_000, 0));
        world.submit(piece(job), need(work, 700));
    }
    for (after, incident) in incidents {
        world.run(Ms(*after));
        apply(&mut world, *incident, seed);
    }
    world.run(Ms(10_000));
    world.end_faults();
    world.run_until_ended(TIME_LIMIT);
    for (task, count) in &world.completions {
        let again = world.starts[task].len() > 1;
        assert!(*count == 1 || again, "{task} completed {count} times");
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..ProptestConfig::default()
    })]

    /// Guards against tasks that are lost or run twice, overcommitted workers, outcomes that are
    /// acknowledged before they are stored, and failures of broken workers that count against
    /// tasks.
    #[test]
    fn promises_hold_under_faults(
        seed in any::<u64>(),
        faults in faults(),
        incidents in proptest::collection::vec((1_000..20_000u64, incident()), 0..8),
    ) {
        let world = run::<Board>(seed, faults, &incidents);
        let records = world.records();
        let ended = |record: &Record| matches!(record, Record::Done | Record::Cancelled);
        assert!(records.iter().all(ended), "not done: {records:?}");
    }

    /// Guards against faults in the shared life cycle of tasks that only the decisions of the
    /// baseline reach. The baseline counts failures of broken workers against tasks, so that tasks
    /// may fail.
    #[test]
    fn promises_hold_under_faults_for_the_baseline(
        seed in any::<u64>(),
        faults in faults(),
        incidents in proptest::collection::vec((1_000..20_000u64, incident()), 0..8),
    ) {
        let world = run::<naive::Board>(seed, faults, &incidents);
        let records = world.records();
        assert!(!records.iter().any(is_open), "tasks are lost: {records:?}");
    }
}

/// Guards against violations that longer runs of the properties above found with this input.
#[test]
fn inputs_of_longer_runs_keep_the_invariants_for_the_baseline() {
    let faults = Faults {
        unsent: 1,
        lost_request: 3,
        lost_answer: 2,
        late_request: 3,
        late_report: 0,
        late_store: 38,
    };
    let incidents = [
        (2_708, Incident::Partition(4)),
        (1_903, Incident::Kill(3)),
        (3_531, Incident::Cancel(4)),
        (6_630, Incident::ToggleObjectStore),
    ];
    let world = run::<naive::Board>(16_643_122_330_157_084_494, faults, &incidents);
    assert!(!world.records().iter().any(is_open));
}

/// Guards against violations that longer runs of the properties above found with this input.
#[test]
fn inputs_of_longer_runs_keep_the_invariants() {
    let faults = Faults {
        unsent: 8,
        lost_request: 4,
        lost_answer: 2,
        late_request: 0,
        late_report: 5,
        late_store: 48,
    };
    let incidents = [
        (10_740, Incident::Kill(0)),
        (9_396, Incident::BreakWorker(4)),
        (8_063, Incident::Cancel(4)),
        (12_644, Incident::BreakWorker(3)),
        (18_862, Incident::BreakWorker(0)),
        (8_436, Incident::BreakWorker(2)),
        (14_099, Incident::Cancel(4)),
    ];
    let world = run::<Board>(8_228_951_837_679_331_033, faults, &incidents);
    let records = world.records();
    let ended = |record: &Record| matches!(record, Record::Done | Record::Cancelled);
    assert!(records.iter().all(ended), "not done: {records:?}");
}
