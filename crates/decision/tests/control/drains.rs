//! Tests of drains during an outage of the table.

use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Reply;

use crate::start;
use crate::world::Faults;
use crate::world::World;
use crate::world::sample::name;
use crate::world::sample::reconfigure;

const WORKERS: usize = 12;

/// The number of targets to which entries still send requests.
fn open_targets(world: &World) -> usize {
    let live = world
        .entries
        .values()
        .filter(|entry| entry.stopped.is_none());
    let targets = live.flat_map(|entry| &entry.targets);
    targets.filter(|target| !target.leaving).count()
}

/// Drains all workers, and starts an outage of the table as soon as all drains are accepted.
fn drain_and_fail(world: &mut World) {
    assert_eq!(open_targets(world), WORKERS, "before the drain");
    let drains = (0..WORKERS).map(|index| {
        let vm = name(&format!("vm-{index}"));
        let action = Action::Drain { vm, leave: true };
        let id = name(&format!("c{index}"));
        Call { id, action }
    });
    let drains: Vec<Call> = drains.collect();
    let numbers: Vec<u64> = drains
        .into_iter()
        .map(|call| world.call("e0", call))
        .collect();
    while !numbers
        .iter()
        .all(|number| world.replies.contains_key(number))
    {
        world.run(world.now + 1);
    }
    for number in numbers {
        assert_eq!(world.replies[&number].1, Reply::Accepted);
    }
    world.faults.outages = vec![(world.now, world.now + 60_000)];
}

// Guards against an owner that learns of a drain only from the table. The table may fail right
// after the drain was accepted.
#[test]
fn a_drain_takes_effect_in_an_outage() {
    for (seed, lost_messages) in [(1, 0), (2, 0), (3, 10), (4, 10)] {
        let mut world = start(seed, 3, WORKERS, Faults::default());
        world.run(20_000);
        world.faults.lost_messages = lost_messages;
        drain_and_fail(&mut world);
        world.run(world.now + 3_000);
        assert_eq!(open_targets(&world), 0, "seed {seed}");
    }
}

// Guards against an entry that starts during an outage and sends to workers that were drained
// before its start.
#[test]
fn an_entry_that_starts_in_an_outage_learns_of_drains() {
    let mut world = start(4, 3, WORKERS, Faults::default());
    world.run(10_000);
    world.call("e0", reconfigure("config", 0, 2));
    world.run(20_000);
    drain_and_fail(&mut world);
    world.run(25_000);
    world.stop("e1");
    world.run(28_000);
    world.join("e1");
    world.run(31_000);
    world.stop("e2");
    world.run(40_000);
    assert!(!world.entries[&name("e1")].targets.is_empty());
    assert_eq!(open_targets(&world), 0);
}
