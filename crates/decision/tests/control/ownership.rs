//! Tests of the ownership of groups while entries join, stop and fail.

use crate::start;
use crate::world::Faults;
use crate::world::World;
use crate::world::sample::job;
use crate::world::sample::submit;
use crate::world::sample::vm;

const GROUPS: usize = 10;

fn all_owned(world: &World) -> bool {
    let live = world
        .entries
        .iter()
        .filter(|(_, entry)| entry.stopped.is_none());
    live.map(|(name, _)| world.owned(name)).sum::<usize>() == GROUPS
}

/// The time in ms until every group has a live owner, or the limit.
fn ms_until_owned(world: &mut World, limit: u64) -> u64 {
    let from = world.now;
    while !all_owned(world) && world.now < from + limit {
        world.run(world.now + 50);
    }
    world.now - from
}

// Guards against groups that stay without an owner after their owner crashed.
#[test]
fn a_dead_entry_is_replaced_within_10_s() {
    for (seed, entries) in [(1, 3), (2, 6), (3, 9)] {
        let mut world = start(seed, entries, GROUPS * 2, Faults::default());
        world.run(20_000);
        world.call("e0", submit("c1", job("j", 300)));
        world.run(30_000);
        let victim = world
            .workers
            .values()
            .filter_map(|worker| worker.owner.clone());
        let victim = victim.filter(|owner| **owner != *"e0").max().unwrap();
        world.crash(&victim);
        assert!(!all_owned(&world));
        let took = ms_until_owned(&mut world, 20_000);
        assert!(took <= 10_000, "{entries} entries: {took} ms");
        world.run(120_000);
        assert_eq!(world.completed("j"), 300);
        world.assert_clean();
    }
}

// Guards against a new member that receives no groups, or all of them at once.
#[test]
fn groups_move_to_a_new_member() {
    let mut world = start(4, 2, GROUPS * 2, Faults::default());
    world.run(20_000);
    world.call("e0", submit("c1", job("j", 300)));
    world.run(25_000);
    world.join("late");
    world.run(27_000);
    assert!(world.owned("late") <= GROUPS / 2);
    world.run(60_000);
    assert!(world.owned("late") >= 1);
    assert!(all_owned(&world));
    world.run(120_000);
    assert_eq!(world.completed("j"), 300);
    world.assert_clean();
}

// Guards against a planned stop after which groups have no owner until a timeout.
#[test]
fn a_stopping_entry_hands_over_at_once() {
    let mut world = start(5, 3, GROUPS * 2, Faults::default());
    world.run(20_000);
    world.call("e0", submit("c1", job("j", 300)));
    world.run(25_000);
    world.stop("e1");
    let took = ms_until_owned(&mut world, 20_000);
    assert!(took <= 2_000, "{took} ms");
    world.run(world.now + 2_000);
    assert!(world.entries["e1"].stopped.is_some());
    world.run(120_000);
    assert_eq!(world.completed("j"), 300);
    world.assert_clean();
}

// Guards against an entry that cannot stop because no other entry can receive its groups.
#[test]
fn the_last_entry_stops_too() {
    let mut world = start(6, 1, GROUPS * 2, Faults::default());
    world.run(20_000);
    world.stop("e0");
    world.run(23_000);
    assert!(world.entries["e0"].stopped.is_some());
    world.join("e1");
    let took = ms_until_owned(&mut world, 20_000);
    assert!(took <= 3_000, "{took} ms");
    world.assert_clean();
}

// Guards against workers without an owner when an entry crashes while the table is down.
#[test]
fn a_caretaker_serves_during_an_outage() {
    let faults = Faults {
        outages: vec![(20_000, 90_000)],
        ..Faults::default()
    };
    let mut world = start(7, 3, GROUPS * 2, faults);
    world.run(15_000);
    world.call("e0", submit("c1", job("j", 300)));
    world.run(25_000);
    world.crash("e1");
    let took = ms_until_owned(&mut world, 20_000);
    assert!(took <= 10_000, "{took} ms");
    let targets = world.entries.values().map(|entry| entry.targets.len());
    assert_eq!(targets.sum::<usize>(), GROUPS * 2);
    world.run(200_000);
    assert!(all_owned(&world));
    assert_eq!(world.completed("j"), 300);
    world.assert_clean();
}

// Guards against a planned stop that works only while the table answers.
#[test]
fn a_handover_needs_no_table() {
    let faults = Faults {
        outages: vec![(20_000, 60_000)],
        ..Faults::default()
    };
    let mut world = start(8, 3, GROUPS * 2, faults);
    world.run(25_000);
    world.stop("e2");
    let took = ms_until_owned(&mut world, 20_000);
    assert!(took <= 2_000, "{took} ms");
    world.run(80_000);
    assert!(all_owned(&world));
    world.assert_clean();
}

// Guards against an entry that acts after a pause on what it knew before. Meanwhile another entry
// may have acquired its groups.
#[test]
fn a_paused_entry_does_not_act_on_old_state() {
    for (seed, pause) in [(1, 4_000), (2, 9_000), (3, 12_000), (4, 40_000)] {
        let mut world = start(seed, 3, GROUPS * 2, Faults::default());
        world.run(20_000);
        world.call("e0", submit("c1", job("j", 400)));
        world.run(25_000);
        world.pause("e1", pause);
        world.run(200_000);
        assert!(all_owned(&world), "{pause}");
        assert_eq!(world.completed("j"), 400, "{pause}");
        world.assert_clean();
    }
}

// Guards against work that stays in a group whose workers and owner are all lost. Such a group is
// no longer in the list from which owners are planned.
#[test]
fn work_of_a_lost_rack_moves() {
    for crash in [false, true] {
        let mut world = start(9, 3, GROUPS * 2, Faults::default());
        world.run(20_000);
        world.call("e0", submit("c1", job("j", 300)));
        world.run(24_000);
        let victim = world.workers[&vm(0).name].owner.clone().unwrap();
        world.crash_worker(&vm(0).name);
        world.crash_worker(&vm(1).name);
        if crash {
            world.crash(&victim);
        }
        world.run(200_000);
        assert_eq!(world.done("j"), 300, "owner crashed: {crash}");
        world.assert_clean();
    }
}

// Guards against the row of a dead entry, which stays in the table, being taken as evidence that
// the entry is live.
#[test]
fn a_dead_entry_stays_dead() {
    let mut world = start(10, 3, GROUPS * 2, Faults::default());
    world.run(20_000);
    world.crash("e1");
    world.run(40_000);
    let epochs = |world: &World| {
        let workers = world.workers.values();
        Vec::from_iter(workers.map(|worker| worker.epoch))
    };
    let before = epochs(&world);
    world.run(300_000);
    assert_eq!(epochs(&world), before);
    assert!(all_owned(&world));
}
