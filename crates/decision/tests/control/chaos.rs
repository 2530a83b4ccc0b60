//! Tests with several faults at once, with fixed seeds.

use decision::operator::Reply;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::start;
use crate::world::Faults;
use crate::world::World;
use crate::world::sample::job;
use crate::world::sample::reconfigure;
use crate::world::sample::submit;
use crate::world::sample::vm;

const TASKS: usize = 200;

/// Injects a random fault into an entry other than the first, a worker or the connection to one.
/// Some draws start an entry or two conflicting reconfigurations instead.
fn inject_fault(world: &mut World, random: &mut StdRng, round: u64) {
    let victim = format!("e{}", random.random_range(1..4));
    let is_present = world.entries.contains_key(&*victim);
    let vm = vm(random.random_range(0..16)).name;
    match random.random_range(0..8) {
        0 if world.entries.len() > 2 => world.crash(&victim),
        1 if is_present => world.pause(&victim, random.random_range(2_000..30_000)),
        2 if is_present => world.stop(&victim),
        3 => world.crash_worker(&vm),
        4 => world.partition(None, &vm, random.random_range(1_000..60_000)),
        5 => world.partition(Some("e0"), &vm, random.random_range(1_000..60_000)),
        6 => {
            let expected = world.table.configs.len() as u64;
            world.call("e0", reconfigure(&format!("a{round}"), expected, 3));
            world.call("e1", reconfigure(&format!("b{round}"), expected, 4));
        }
        _ => world.join(&format!("late-{round}")),
    }
}

// Guards against tasks that run twice or are lost, and against commands out of epoch order, while
// answers and messages are lost and entries crash, pause, stop and join.
#[test]
fn every_task_runs_once() {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(seed);
        let faults = Faults {
            lost_answers: random.random_range(0..20_u32).saturating_sub(5),
            lost_messages: random.random_range(0..10),
            outages: vec![(60_000, 60_000 + random.random_range(0..30_000))],
            slow: vec![(100_000, 110_000)],
            ..Faults::default()
        };
        let mut world = start(seed, 4, 16, faults);
        world.run(10_000);
        for round in 0..4_u64 {
            let call = submit(&format!("c{round}"), job(&format!("j{round}"), 50));
            world.call("e0", call.clone());
            world.run(world.now + 9_000);
            world.call("e0", call);
            inject_fault(&mut world, &mut random, round);
            inject_fault(&mut world, &mut random, round + 10);
            world.run(world.now + random.random_range(5_000..20_000));
        }
        world.run(world.now + 30_000);
        for round in 0..4_u64 {
            let call = submit(&format!("c{round}"), job(&format!("j{round}"), 50));
            let accepted = (0..5).any(|_| {
                let number = world.call("e0", call.clone());
                world.run(world.now + 9_000);
                world.replies[&number].1 == Reply::Accepted
            });
            assert!(accepted, "seed {seed}, round {round}");
        }
        world.run(world.now + 300_000);
        let done = (0..4).map(|round| world.done(&format!("j{round}")));
        world.assert_clean();
        assert_eq!(done.sum::<usize>(), TASKS, "seed {seed}");
        let kept = world.workers.values().map(|worker| worker.task_count());
        assert_eq!(
            kept.sum::<usize>(),
            0,
            "seed {seed}: ended tasks left at workers"
        );
    }
}

// Guards against a write rate that grows with the load. The delay of commits must grow instead.
#[test]
fn writes_stay_within_the_budget() {
    let mut world = start(1, 9, 60, Faults::default());
    world.run(20_000);
    for index in 0..10 {
        world.call(
            "e0",
            submit(&format!("c{index}"), job(&format!("j{index}"), 400)),
        );
    }
    let mut peak = 0;
    while world.now < 120_000 {
        let before = world.table.written;
        world.run(world.now + 10_000);
        peak = peak.max(world.table.written - before);
    }
    let per_s = peak / 10;
    assert!(per_s <= decision::commit::ROWS_PER_S, "{per_s} rows/s");
    world.assert_clean();
}
