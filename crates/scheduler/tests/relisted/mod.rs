//! Invariants while workers are cut off and lose their registrations at the same time, again and again.

use decision::name::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::World;
use super::assert_completed;
use super::assert_no_violations;
use super::busy_world;
use super::world::Faults;
use super::world::chain;
use super::world::name;

const SEEDS: u64 = 60;
const LAST_FAULT_MS: u64 = 40_000;
const END_MS: u64 = 110_000;
/// Cuts that last a little less, as long as, and a little more than a lease of 6 s.
const CUTS_MS: std::ops::Range<u64> = 4_800..7_200;

/// What happens to a worker at a time.
enum Step {
    Cut(u64),
    Unlist,
    List,
    Move,
}

/// Draws cuts of a worker, some of which overlap, and around each of them the loss and the return of
/// its registration, at times at another address.
fn draw(random: &mut StdRng, worker: &Name) -> Vec<(u64, Name, Step)> {
    let mut steps = Vec::new();
    let mut at = random.random_range(1_500..4_000);
    while at < LAST_FAULT_MS {
        let length = random.random_range(CUTS_MS);
        let back = at + length;
        let unlisted = random.random_range(at..back);
        let listed = random
            .random_range(back - 300..back + 300)
            .max(unlisted + 1);
        steps.push((at, worker.clone(), Step::Cut(length)));
        steps.push((unlisted, worker.clone(), Step::Unlist));
        if random.random_bool(0.3) {
            steps.push((listed, worker.clone(), Step::Move));
        }
        steps.push((listed, worker.clone(), Step::List));
        at = back + random.random_range(0..1_200);
    }
    steps
}

fn play(world: &mut World, random: &mut StdRng) {
    let workers = ["w1", "w2", "w3"].map(name);
    let mut steps: Vec<(u64, Name, Step)> = workers
        .iter()
        .flat_map(|worker| draw(random, worker))
        .collect();
    steps.sort_by_key(|(at, ..)| *at);
    let mut jobs = 100;
    for (at, worker, step) in steps {
        world.run_until(at);
        match step {
            Step::Cut(length) => world.partition(&worker, length),
            Step::Unlist => world.remove_registration(&worker),
            Step::List => {
                world.restore_registration(&worker);
                // Work that waits starts on the worker as soon as it answers.
                world.submit(jobs, chain(&[6], 1_200));
                jobs += 1;
            }
            Step::Move => world.move_address(&worker),
        }
    }
}

#[test]
fn invariants_hold_while_workers_are_cut_off_and_unlisted_at_once() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = busy_world(seed);
        world.faults = Faults {
            lost_poll: 0.02,
            lost_answer: 0.02,
            ..Faults::default()
        };
        play(&mut world, &mut random);
        world.faults = Faults::default();
        world.run_until(END_MS);
        assert_no_violations(&world, seed, "cut off and unlisted");
        assert_completed(&world, seed, "cut off and unlisted");
    }
}
