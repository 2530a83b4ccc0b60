//! Tasks that crash the workers that start them are given up, and no others.

use decision::clock::Ms;
use scheduler::id;
use scheduler::id::Task;
use scheduler::spec;

use super::FAILED;
use super::assert_completed;
use super::assert_no_violations;
use super::busy_world;
use crate::world::World;
use crate::world::chain;
use crate::world::name;

const SEEDS: u64 = 12;
/// The job with the deadly task.
const DEADLY: u64 = 100;
/// The platform allows that many starts: two after the third crash.
const MAX_STARTS: u32 = 5;
/// The starts after which the task is given up while one leader knows of all crashes.
const MAX_STARTS_OF_ONE_LEADER: u32 = 3;

fn task(index: u32) -> Task {
    let step = id::Step {
        job: id::Job(DEADLY),
        occurrence: 0,
        step: 0,
    };
    Task { step, index }
}

/// Returns a busy world with a job of which some tasks are deadly.
fn deadly_world(seed: u64, spec: spec::Job, deadly: &[u32]) -> World {
    let mut world = busy_world(seed);
    world.deadly.down = 2_000 + seed * 150;
    world.deadly.renames_workers = seed.is_multiple_of(2);
    world.deadly.tasks = deadly.iter().map(|&index| task(index)).collect();
    world.run_until(1_300 + seed * 61);
    world.submit(DEADLY, spec);
    world
}

fn assert_given_up(world: &World, seed: u64, case: &str, most: u32) {
    let starts = world.deadly.most_starts();
    assert!(
        starts <= most,
        "{case}, seed {seed}: {starts} starts\n{}",
        crash_lines(world).join("\n")
    );
    assert_eq!(world.stage(DEADLY), Some(FAILED), "{case}, seed {seed}");
    assert_no_violations(world, seed, case);
    assert_completed(world, seed, case);
}

fn crash_lines(world: &World) -> Vec<String> {
    let deadly = format!("task={}.0.0.", id::Job(DEADLY));
    let lines = world.log.iter().filter(|line| {
        [
            "crash",
            "replace",
            "elected",
            "kill",
            "kind=job-failed",
            "suspected",
        ]
        .iter()
        .any(|part| line.contains(part))
            || line.contains(&deadly)
    });
    lines.cloned().collect()
}

fn assert_given_up_in(case: &str, spec: &spec::Job, deadly: &[u32], lost_answer: f64) {
    for seed in 0..SEEDS {
        let mut world = deadly_world(seed, spec.clone(), deadly);
        world.faults.lost_answer = lost_answer;
        world.run_until(60_000);
        assert_given_up(&world, seed, case, MAX_STARTS_OF_ONE_LEADER);
    }
}

#[test]
fn a_task_that_crashes_its_workers_does_not_start_for_ever() {
    assert_given_up_in("one of four", &chain(&[4, 2], 800), &[1], 0.0);
}

#[test]
fn a_task_that_crashes_its_workers_before_they_answer_does_not_start_for_ever() {
    assert_given_up_in("unanswered", &chain(&[4], 800), &[0], 0.3);
}

#[test]
fn several_tasks_that_crash_their_workers_do_not_start_for_ever() {
    assert_given_up_in("all of six", &chain(&[6], 800), &[0, 1, 2, 3, 4, 5], 0.0);
}

#[test]
fn a_gang_that_crashes_its_workers_does_not_start_for_ever() {
    let mut spec = chain(&[3], 800);
    spec.steps[0].is_gang = true;
    assert_given_up_in("gang", &spec, &[2], 0.0);
}

#[test]
fn a_long_running_task_that_crashes_its_workers_does_not_start_for_ever() {
    let mut spec = chain(&[2], 800);
    spec.steps[0].is_lasting = true;
    assert_given_up_in("lasting", &spec, &[0], 0.0);
}

#[test]
fn a_speculative_task_that_crashes_its_workers_does_not_start_for_ever() {
    let mut spec = chain(&[2], 800);
    spec.steps[0].is_speculative = true;
    assert_given_up_in("speculative", &spec, &[0], 0.0);
}

#[test]
fn an_occurrence_that_crashes_its_workers_does_not_start_for_ever() {
    let mut spec = chain(&[2], 800);
    spec.schedule = Some(spec::Schedule {
        first: Ms(1),
        interval: Ms(1_000),
        count: 3,
    });
    assert_given_up_in("occurrence", &spec, &[0], 0.0);
}

#[test]
fn crashes_under_a_task_are_counted_over_changes_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = deadly_world(seed, chain(&[4], 800), &[1]);
        for round in 0..8 {
            world.run_for(4_000 + round * 370 + seed * 90);
            world.elect(round % 2 == 0);
        }
        world.run_until(100_000);
        assert_given_up(&world, seed, "leaders", MAX_STARTS);
    }
}

#[test]
fn crashes_under_a_task_are_counted_when_the_entry_that_gave_the_start_dies_too() {
    for seed in 0..SEEDS {
        let mut world = deadly_world(seed, chain(&[4], 800), &[1]);
        world.deadly.kills_givers = true;
        for round in 0..300 {
            world.run_for(200);
            if world.leader.is_none() {
                world.elect_at(&name(&format!("e{}", round % 3)), false);
            }
        }
        world.run_until(100_000);
        assert_given_up(&world, seed, "givers", MAX_STARTS);
    }
}

#[test]
fn no_job_is_given_up_when_workers_crash_for_another_cause() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        for round in 0..4 {
            world.run_for(2_900 + seed * 23);
            let first = (seed + round) % 5;
            world.crash(&name(&format!("w{first}")), 1_000);
            world.crash(&name(&format!("w{}", (first + 2) % 5)), 1_500);
        }
        world.run_until(100_000);
        assert_no_violations(&world, seed, "other cause");
        assert_completed(&world, seed, "other cause");
    }
}

#[test]
fn no_job_is_given_up_when_workers_are_cut_off_and_run_on() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        for round in 0..6 {
            world.run_for(900 + seed * 23);
            for worker in 0..5 {
                world.partition(&name(&format!("w{worker}")), 8_000);
            }
            world.run_for(9_000 + round * 13);
        }
        world.run_until(100_000);
        assert_no_violations(&world, seed, "cut off");
        assert_completed(&world, seed, "cut off");
        let has_counted = world
            .log
            .iter()
            .any(|line| line.contains("kind=task-suspected"));
        assert!(!has_counted, "seed {seed}: a cut counts as a crash");
    }
}
