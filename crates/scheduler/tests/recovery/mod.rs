//! Invariants over slow recoveries, quick changes of the leader on many workers, workers that are
//! not listed for a while, and clocks that differ.

use decision::clock::Ms;
use decision::name::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::spec;

use super::COMPLETED;
use super::assert_no_violations;
use super::world::Faults;
use super::world::World;
use super::world::chain;
use super::world::name;

const SEEDS: u64 = 30;
/// The seeds of the test with many workers.
const LARGE_SEEDS: u64 = 3;

fn assert_completed(world: &World, jobs: u64, seed: u64) {
    for job in 0..jobs {
        assert_eq!(world.stage(job), Some(COMPLETED), "seed {seed}, job {job}");
    }
}

fn entry(number: u64) -> Name {
    name(&format!("e{number}"))
}

#[test]
fn occurrences_run_once_under_leaders_whose_clocks_differ() {
    const JOBS: u64 = 8;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.clock_lags = [(entry(1), 2_400), (entry(2), 900)].into();
        world.elect_at(&entry(0), false);
        for job in 0..JOBS {
            let schedule = spec::Schedule {
                first: Ms(world.now + 1_000 + job * 130),
                interval: Ms(700),
                count: 6,
            };
            let mut spec = chain(&[3, 2], 800);
            spec.schedule = Some(schedule);
            world.submit(job, spec);
        }
        world.faults.lost_poll = 0.1;
        world.faults.lost_commit = 0.2;
        for round in 1..8 {
            world.run_until(1_000 + round * 930 + seed * 13);
            world.elect_at(&entry((round + seed) % 3), false);
        }
        world.faults = Faults::default();
        world.run_until(60_000);
        assert_no_violations(&world, seed, "clocks");
        assert_completed(&world, JOBS, seed);
    }
}

#[test]
fn invariants_hold_while_new_leaders_read_the_rows_for_longer_than_a_lease() {
    const JOBS: u64 = 8;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 4);
        world.elect(false);
        world.runs_never_end = true;
        for job in 0..JOBS {
            world.submit(job, chain(&[3], 800));
        }
        world.run_for(1_000 + seed * 7);
        world.max_recovery = 16_000;
        for round in 0..3 {
            world.faults.lost_poll = 0.1;
            world.elect_at(&entry((round + seed) % 4), false);
            world.run_for(1_200 + seed * 31);
            for worker in ["w1", "w3"] {
                world.remove_registration(&name(worker));
            }
            world.run_for(5_000);
            world.kill(&entry((round + seed + 1) % 4), 700);
            world.faults.lost_poll = 0.6;
            world.run_for(10_000);
            for worker in ["w1", "w3"] {
                world.restore_registration(&name(worker));
            }
        }
        world.faults = Faults::default();
        world.runs_never_end = false;
        world.run_for(30_000);
        assert_no_violations(&world, seed, "slow recovery");
    }
}

#[test]
fn invariants_hold_over_quick_changes_of_the_leader_on_many_workers() {
    const JOBS: u64 = 60;
    for seed in 0..LARGE_SEEDS {
        let mut world = World::new(seed, 300, 12);
        world.elect(false);
        world.faults.lost_poll = 0.15;
        world.faults.late = 0.05;
        for job in 0..JOBS {
            world.submit(job, chain(&[16, 8], 800));
        }
        for round in 1..8 {
            world.run_for(500 + round * 170 + seed * 13);
            world.kill(&entry((round + seed) % 12), 900);
            world.elect_at(&entry((round + seed + 5) % 12), false);
            world.run_for(300 + seed * 40);
            world.elect_at(&entry((round + seed + 1) % 12), false);
            for worker in 0..12 {
                let worker = name(&format!("w{}", (round * 31 + worker * 17) % 300));
                world.remove_registration(&worker);
                world.partition(&worker, 2_000 + round * 500);
            }
            world.run_for(400);
            for worker in 0..12 {
                let worker = name(&format!("w{}", (round * 31 + worker * 17) % 300));
                world.restore_registration(&worker);
            }
        }
        world.faults = Faults::default();
        world.run_for(25_000);
        assert_no_violations(&world, seed, "many workers");
        assert_completed(&world, JOBS, seed);
    }
}

/// Submits a job, half of the time with occurrences.
fn submit_at_random(world: &mut World, random: &mut StdRng, job: u64) {
    let mut spec = chain(&[random.random_range(1..6), 2], 800);
    if random.random_bool(0.5) {
        spec.schedule = Some(spec::Schedule {
            first: Ms(world.now + random.random_range(0..4_000)),
            interval: Ms(random.random_range(100..3_000)),
            count: random.random_range(1..4),
        });
    }
    world.submit(job, spec);
}

/// Changes the leader or disturbs a worker or an entry.
fn disturb(world: &mut World, random: &mut StdRng) {
    let chosen = entry(random.random_range(0..4));
    let worker = name(&format!("w{}", random.random_range(0..6)));
    match random.random_range(0..10) {
        0..3 => world.elect_at(&chosen, random.random_bool(0.5)),
        3 => world.kill(&chosen, random.random_range(100..4_000)),
        4 => world.partition(&worker, random.random_range(500..9_000)),
        5 => world.remove_registration(&worker),
        6 => world.restore_registration(&worker),
        7 => world.crash(&worker, random.random_range(50..900)),
        8 => world.drain(&name(&format!("w{}", random.random_range(0..3)))),
        _ => world.reconnect(&chosen, random.random_range(1..90)),
    }
    if world.leader.is_none() {
        world.run_for(random.random_range(450..3_000));
        world.elect_at(&entry(random.random_range(0..4)), false);
    }
}

#[test]
fn invariants_hold_over_slow_recoveries_unlisted_workers_and_differing_clocks_at_random() {
    const ROUNDS: u64 = 24;
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(seed, 6, 4);
        world.calls_end_with_workers = true;
        world.elect(false);
        for round in 0..ROUNDS {
            let lag = random.random_range(0..2_500);
            world.clock_lags.insert(entry(round % 4), lag);
            world.max_join_delay = random.random_range(50..3_000);
            world.max_recovery = [300, 2_000, 16_000][random.random_range(0..3)];
            world.faults = Faults {
                lost_answer: 0.05,
                late: 0.1,
                lost_poll: random.random_range(0.0..0.5),
                failed_run: 0.02,
                lost_commit: 0.1,
            };
            submit_at_random(&mut world, &mut random, round);
            world.run_for(random.random_range(50..2_500));
            disturb(&mut world, &mut random);
        }
        world.faults = Faults::default();
        for worker in 0..6 {
            world.restore_registration(&name(&format!("w{worker}")));
        }
        world.run_for(60_000);
        assert_no_violations(&world, seed, "random recoveries");
        assert_completed(&world, ROUNDS, seed);
    }
}
