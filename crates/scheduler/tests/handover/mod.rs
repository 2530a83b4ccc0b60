//! How long the tasks of a worker that no longer answers wait, over changes of the leader.

use std::collections::BTreeSet;

use decision::name::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::KNOWN_RED;
use super::assert_no_violations;
use super::known_red;
use super::world::Faults;
use super::world::World;
use super::world::chain;
use super::world::name;

const SEEDS: u64 = 12;
const ENTRIES: usize = 6;
const WORKERS: usize = 5;
const CHANGES: [usize; 5] = [0, 1, 2, 3, 5];
/// The time from the loss of the worker, or from a change of the leader, to the next change, in ms.
const CHANGE_INTERVAL: u64 = 1_200;
/// The time without a leader after one was killed or frozen, in ms.
const VACANCY: u64 = 2_900;
/// The time in which a leader reads the rows and agents join it, in ms.
const CHANGE_TIME: u64 = 1_000;
/// The time after which a leader that knows nothing of a worker counts its leases as expired, in ms:
/// the contact timeout of agents, a lease by a slow clock, and the margin.
const FULL_WAIT: u64 = 3_000 + 6_120 + 400;
/// The longest time for which the tests wait for a start, in ms.
const WAIT_LIMIT: u64 = 60_000;

/// How a leader ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Resigned,
    Killed,
    /// The entry no longer leads, but its agent goes on.
    Frozen,
}

fn entry(number: usize) -> Name {
    name(&format!("e{}", number % ENTRIES))
}

/// Returns a world in which one task that lasts runs, and its worker.
fn world(seed: u64) -> (World, Name) {
    let mut world = World::new(seed, WORKERS, ENTRIES);
    world.elect(false);
    let mut job = chain(&[1], 800);
    job.steps[0].is_lasting = true;
    world.submit(0, job);
    world.run_for(2_000 + seed * 37);
    let worker = running_on(&world).pop_first();
    (world, worker.expect("the task runs"))
}

/// Returns the workers on which tasks run.
fn running_on(world: &World) -> BTreeSet<Name> {
    let workers = world.workers.iter();
    let busy = workers.filter(|(_, worker)| !worker.executions.is_empty());
    busy.map(|(name, _)| name.clone()).collect()
}

fn change_leader(world: &mut World, from: usize, ending: Ending) {
    match ending {
        Ending::Resigned => world.hand_over(&entry(from + 1)),
        Ending::Killed => {
            world.kill(&entry(from), WAIT_LIMIT);
            world.run_for(VACANCY);
            world.elect_at(&entry(from + 1), false);
        }
        Ending::Frozen => {
            world.leader = None;
            world.run_for(VACANCY);
            world.elect_at(&entry(from + 1), false);
        }
    }
}

/// Returns the time from the loss of a worker to the start of its task elsewhere, in ms.
fn wait_over(seed: u64, endings: &[Ending]) -> u64 {
    let (mut world, lost) = world(seed);
    let lost_at = world.now;
    world.partition(&lost, 2 * WAIT_LIMIT);
    for (from, &ending) in endings.iter().enumerate() {
        world.run_for(CHANGE_INTERVAL);
        change_leader(&mut world, from, ending);
    }
    let others = |world: &World| running_on(world).iter().any(|worker| *worker != lost);
    while !others(&world) && world.now - lost_at < WAIT_LIMIT {
        world.run_for(10);
    }
    assert_no_violations(&world, seed, "handover");
    world.now - lost_at
}

/// Asserts that the wait over changes is at most that without changes and this time.
fn assert_waits(endings: impl Fn(usize) -> Vec<Ending>, more: u64) {
    for seed in 0..SEEDS {
        let bound = wait_over(seed, &[]) + more + CHANGE_TIME;
        let waits = CHANGES.map(|changes| (changes, wait_over(seed, &endings(changes))));
        let is_kept = waits.iter().all(|(_, wait)| *wait <= bound);
        assert!(is_kept, "seed {seed}, at most {bound} ms: {waits:?}");
    }
}

#[test]
fn tasks_of_a_lost_worker_wait_once_over_leaders_that_resign() {
    known_red::run(
        KNOWN_RED,
        "tasks_of_a_lost_worker_wait_once_over_leaders_that_resign",
        || assert_waits(|changes| vec![Ending::Resigned; changes], 0),
    );
}

#[test]
fn tasks_of_a_lost_worker_wait_once_more_over_a_killed_leader_and_others_that_resign() {
    let endings = |changes: usize| {
        let mut endings = vec![Ending::Resigned; changes];
        endings
            .iter_mut()
            .take(1)
            .for_each(|it| *it = Ending::Killed);
        endings
    };
    known_red::run(
        KNOWN_RED,
        "tasks_of_a_lost_worker_wait_once_more_over_a_killed_leader_and_others_that_resign",
        || assert_waits(endings, FULL_WAIT),
    );
}

#[test]
fn tasks_of_a_lost_worker_wait_once_more_over_killed_leaders() {
    known_red::run(
        KNOWN_RED,
        "tasks_of_a_lost_worker_wait_once_more_over_killed_leaders",
        || assert_waits(|changes| vec![Ending::Killed; changes], FULL_WAIT),
    );
}

#[test]
fn tasks_of_a_lost_worker_wait_once_more_over_frozen_leaders() {
    known_red::run(
        KNOWN_RED,
        "tasks_of_a_lost_worker_wait_once_more_over_frozen_leaders",
        || assert_waits(|changes| vec![Ending::Frozen; changes], FULL_WAIT),
    );
}

/// Changes the leader, or disturbs a worker or an entry.
fn disturb(world: &mut World, random: &mut StdRng) {
    let chosen = entry(random.random_range(0..ENTRIES));
    let worker = name(&format!("w{}", random.random_range(0..WORKERS)));
    match random.random_range(0..12) {
        0..5 => world.hand_over(&chosen),
        5 => world.elect_at(&chosen, false),
        6 => world.kill(&chosen, random.random_range(100..4_000)),
        7 => world.partition(&worker, random.random_range(500..9_000)),
        8 => world.cut(&chosen, &worker, random.random_range(500..9_000)),
        9 => world.crash(&worker, random.random_range(50..900)),
        10 => world.drain(&name("w0")),
        _ => world.reconnect(&chosen, random.random_range(1..90)),
    }
    if world.leader.is_none() {
        world.run_for(random.random_range(450..3_000));
        world.elect_at(&entry(random.random_range(0..ENTRIES)), false);
    }
}

#[test]
fn invariants_hold_over_leaders_that_resign_at_random() {
    const ROUNDS: u64 = 24;
    for seed in 0..3 * SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(seed, WORKERS, ENTRIES);
        world.calls_end_with_workers = true;
        world.elect(false);
        for round in 0..ROUNDS {
            world.max_join_delay = random.random_range(50..3_000);
            world.max_recovery = [300, 2_000][random.random_range(0..2)];
            world.runs_never_end = random.random_bool(0.5);
            world.faults = Faults {
                lost_answer: 0.05,
                late: 0.1,
                lost_poll: random.random_range(0.0..0.5),
                failed_run: 0.02,
                lost_commit: 0.1,
            };
            world.submit(round, chain(&[random.random_range(1..6), 2], 800));
            world.run_for(random.random_range(50..2_500));
            disturb(&mut world, &mut random);
        }
        world.run_for(20_000);
        assert_no_violations(&world, seed, "random handovers");
    }
}
