//! What must hold under faults, checked on the workers' side in virtual time.

mod world;

use scheduler::id::Job;
use scheduler::progress::Outcome;
use scheduler::progress::Stage;
use world::Faults;
use world::MAX_ATTEMPTS;
use world::World;
use world::chain;
use world::name;

const JOBS: u64 = 12;
const SEEDS: u64 = 40;
const COMPLETED: Stage = Stage::Ended(Outcome::Completed);

fn busy_world(seed: u64) -> World {
    let mut world = World::new(seed, 5, 3);
    world.elect(false);
    for job in 0..JOBS {
        world.submit(job, chain(&[4, 3, 2], 800));
    }
    world
}

fn assert_kept(world: &World, seed: u64, case: &str) {
    assert!(
        world.broken.is_empty(),
        "{case}, seed {seed}: {:?}",
        world.broken
    );
}

fn assert_completed(world: &World, seed: u64, case: &str) {
    for job in 0..JOBS {
        assert_eq!(
            world.stage(job),
            Some(COMPLETED),
            "{case}, seed {seed}, job {job}"
        );
    }
}

#[test]
fn jobs_complete_on_a_calm_day() {
    let mut world = busy_world(1);
    world.run(15_000);
    assert_kept(&world, 1, "calm");
    assert_completed(&world, 1, "calm");
}

#[test]
fn promises_hold_while_orders_and_answers_are_lost_or_late() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.faults = Faults {
            lost_answer: 0.1,
            late: 0.08,
            failed_run: 0.02,
            lost_commit: 0.2,
        };
        world.run(25_000);
        world.faults = Faults::default();
        world.run(60_000);
        assert_kept(&world, seed, "lost and late");
        assert_completed(&world, seed, "lost and late");
    }
}

#[test]
fn promises_hold_over_changes_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.faults.lost_answer = 0.05;
        world.faults.late = 0.05;
        for turn in 1..5 {
            world.run(1_000 + turn * 1_370 + seed * 13);
            world.elect(turn % 2 == 0);
        }
        world.faults = Faults::default();
        world.run(60_000);
        assert_kept(&world, seed, "leaders");
        assert_completed(&world, seed, "leaders");
    }
}

#[test]
fn promises_hold_while_workers_crash_or_are_cut_off() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.run(2_000 + seed * 17);
        world.crash(&name("w0"), 1_500);
        world.cut(&name("w1"), 9_000);
        world.cut(&name("w2"), 2_500);
        world.run(4_000 + seed * 17);
        world.elect(true);
        world.run(60_000);
        assert_kept(&world, seed, "workers");
        assert_completed(&world, seed, "workers");
    }
}

#[test]
fn a_worker_without_a_registration_keeps_its_tasks_over_a_change_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.run(1_500 + seed * 31);
        world.unlist(&name("w3"));
        world.cut(&name("w3"), 3_000);
        world.run(1_700 + seed * 31);
        world.elect(false);
        world.run(60_000);
        assert_kept(&world, seed, "unlisted");
        assert_completed(&world, seed, "unlisted");
    }
}

#[test]
fn a_cancelled_job_leaves_nothing_behind() {
    let mut world = busy_world(3);
    world.run(1_400);
    world.cancel(0);
    world.run(2_000);
    let left = world
        .workers
        .values()
        .flat_map(|worker| worker.busy.keys())
        .filter(|task| task.step.job.0 == 0)
        .count();
    assert_eq!(left, 0);
    assert_eq!(world.stage(0), Some(Stage::Ended(Outcome::Cancelled)));
}

#[test]
fn a_job_fails_only_after_its_attempts_have_failed_on_workers() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.elect(false);
        world.faults.failed_run = 0.7;
        world.submit(0, chain(&[6], 800));
        for turn in 1..40 {
            world.run(1_000 + turn * 137);
            world.elect(false);
        }
        world.run(60_000);
        let worst = world.failures.values().copied().max().unwrap_or(0);
        let has_failed = world.stage(0) == Some(Stage::Ended(Outcome::Failed));
        assert_eq!(
            has_failed,
            worst >= MAX_ATTEMPTS,
            "seed {seed}: {worst} failures"
        );
        assert_kept(&world, seed, "attempts");
    }
}

#[test]
fn runs_of_jobs_that_a_new_leader_has_not_learned_of_hold_their_room() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 3);
        world.elect(false);
        world.run(1_200);
        world.submit(100, chain(&[20], 800));
        world.hidden.insert(Job(100));
        world.run(1_230 + seed);
        world.elect(false);
        for job in 0..JOBS {
            world.submit(job, chain(&[6], 800));
        }
        world.run(1_700 + seed);
        world.reveal();
        world.run(60_000);
        assert_kept(&world, seed, "hidden");
        assert_completed(&world, seed, "hidden");
    }
}

#[test]
fn promises_hold_while_agents_lose_their_connections() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.faults.lost_answer = 0.05;
        world.faults.late = 0.03;
        for turn in 0..12 {
            world.run(1_100 + turn * 430 + seed * 7);
            // The first connection moves workers between agents, the second one loses answers.
            world.reconnect(&name(&format!("e{}", turn % 3)), 20 + turn * 13);
            world.reconnect(&name(&format!("e{}", (turn + 1) % 3)), 1);
            if turn == 7 {
                world.elect(true);
            }
        }
        world.faults = Faults::default();
        world.run(60_000);
        assert_kept(&world, seed, "reconnects");
        assert_completed(&world, seed, "reconnects");
    }
}

#[test]
fn lasting_tasks_move_away_from_a_draining_worker() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 4, 3);
        world.elect(false);
        world.run(1_500);
        let mut spec = chain(&[8], 60_000);
        spec.steps[0].is_lasting = true;
        world.lasts = true;
        world.submit(0, spec);
        world.run(3_000);
        world.drain(&name("w0"));
        world.run(5_000);
        let left = world.workers[&name("w0")].busy.len();
        let all: usize = world.workers.values().map(|worker| worker.busy.len()).sum();
        assert_eq!((left, all), (0, 8), "seed {seed}");
        assert_kept(&world, seed, "draining");
    }
}

#[test]
fn steps_of_a_queue_with_a_policy_start_with_tickets_only() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.needs_ticket = true;
        world.elect(false);
        for job in 0..JOBS {
            world.submit(job, chain(&[4, 3, 2], 800));
        }
        world.run(3_000);
        world.elect(true);
        world.run(60_000);
        assert_kept(&world, seed, "tickets");
        assert_completed(&world, seed, "tickets");
    }
}

#[test]
fn a_worker_that_changes_its_agent_keeps_the_lease_of_the_first_one() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.lasts = true;
        world.elect(false);
        for job in 0..4 {
            world.submit(job, chain(&[4], 800));
        }
        world.run(20_000 + seed * 9);
        for entry in ["e1", "e2", "e0"] {
            // The worker falls silent while it passes from one agent to another.
            world.cut(&name("w1"), 1_200);
            world.reconnect(&name(entry), 30);
            world.run(world.now + 700);
        }
        world.run(world.now + 8_000);
        assert_kept(&world, seed, "changed agents");
    }
}

#[test]
fn a_silent_worker_keeps_its_tasks_over_two_quick_changes_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.lasts = true;
        world.elect(false);
        for job in 0..4 {
            world.submit(job, chain(&[4], 800));
        }
        world.run(20_000 + seed * 9);
        world.cut(&name("w1"), 12_000);
        world.run(world.now + 300);
        for _ in 0..2 {
            world.elect(false);
            world.run(world.now + 60);
        }
        world.run(world.now + 20_000);
        assert_kept(&world, seed, "two leaders");
    }
}
