//! Invariants that must hold under faults, checked at the simulated workers in virtual time.

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

fn assert_no_violations(world: &World, seed: u64, case: &str) {
    assert!(
        world.violations.is_empty(),
        "{case}, seed {seed}: {:#?}\n{}",
        world.violations,
        world.trace().join("\n")
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
fn jobs_complete_without_faults() {
    let mut world = busy_world(1);
    world.run_until(15_000);
    assert_no_violations(&world, 1, "no faults");
    assert_completed(&world, 1, "no faults");
}

#[test]
fn invariants_hold_while_orders_and_answers_are_lost_or_late() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.faults = Faults {
            lost_answer: 0.1,
            late: 0.08,
            failed_run: 0.02,
            lost_commit: 0.2,
            ..Faults::default()
        };
        world.run_until(25_000);
        world.faults = Faults::default();
        world.run_until(60_000);
        assert_no_violations(&world, seed, "lost and late");
        assert_completed(&world, seed, "lost and late");
    }
}

#[test]
fn invariants_hold_over_changes_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.faults.lost_answer = 0.05;
        world.faults.late = 0.05;
        for round in 1..5 {
            world.run_until(1_000 + round * 1_370 + seed * 13);
            world.elect(round % 2 == 0);
        }
        world.faults = Faults::default();
        world.run_until(60_000);
        assert_no_violations(&world, seed, "leaders");
        assert_completed(&world, seed, "leaders");
    }
}

#[test]
fn invariants_hold_while_workers_crash_or_are_cut_off() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.run_until(2_000 + seed * 17);
        world.crash(&name("w0"), 1_500);
        world.partition(&name("w1"), 9_000);
        world.partition(&name("w2"), 2_500);
        world.run_until(4_000 + seed * 17);
        world.elect(true);
        world.run_until(60_000);
        assert_no_violations(&world, seed, "workers");
        assert_completed(&world, seed, "workers");
    }
}

#[test]
fn a_worker_without_a_registration_keeps_its_tasks_over_a_change_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.run_until(1_500 + seed * 31);
        world.remove_registration(&name("w3"));
        world.partition(&name("w3"), 3_000);
        world.run_until(1_700 + seed * 31);
        world.elect(false);
        world.run_until(60_000);
        assert_no_violations(&world, seed, "unlisted");
        assert_completed(&world, seed, "unlisted");
    }
}

#[test]
fn a_cancelled_job_leaves_no_runs() {
    let mut world = busy_world(3);
    world.run_until(1_400);
    world.cancel(0);
    world.run_until(2_000);
    let remaining = world
        .workers
        .values()
        .flat_map(|worker| worker.executions.keys())
        .filter(|task| task.step.job.0 == 0)
        .count();
    assert_eq!(remaining, 0);
    assert_eq!(world.stage(0), Some(Stage::Ended(Outcome::Cancelled)));
}

#[test]
fn a_job_fails_only_after_its_attempts_have_failed_on_workers() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.elect(false);
        world.faults.failed_run = 0.7;
        world.submit(0, chain(&[6], 800));
        for round in 1..40 {
            world.run_until(1_000 + round * 137);
            world.elect(false);
        }
        world.run_until(60_000);
        let worst = world.failures.values().copied().max().unwrap_or(0);
        let has_failed = world.stage(0) == Some(Stage::Ended(Outcome::Failed));
        assert_eq!(
            has_failed,
            worst >= MAX_ATTEMPTS,
            "seed {seed}: {worst} failures"
        );
        assert_no_violations(&world, seed, "attempts");
    }
}

#[test]
fn runs_of_jobs_unknown_to_a_new_leader_keep_their_resources() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 3);
        world.elect(false);
        world.run_until(1_200);
        world.submit(100, chain(&[20], 800));
        world.hidden.insert(Job(100));
        world.run_until(1_230 + seed);
        world.elect(false);
        for job in 0..JOBS {
            world.submit(job, chain(&[6], 800));
        }
        world.run_until(1_700 + seed);
        world.reveal_hidden_jobs();
        world.run_until(60_000);
        assert_no_violations(&world, seed, "hidden");
        assert_completed(&world, seed, "hidden");
    }
}

#[test]
fn invariants_hold_while_agents_lose_their_connections() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.faults.lost_answer = 0.05;
        world.faults.late = 0.03;
        for round in 0..12 {
            world.run_until(1_100 + round * 430 + seed * 7);
            // The first reconnection moves workers between agents, the second one loses answers.
            world.reconnect(&name(&format!("e{}", round % 3)), 20 + round * 13);
            world.reconnect(&name(&format!("e{}", (round + 1) % 3)), 1);
            if round == 7 {
                world.elect(true);
            }
        }
        world.faults = Faults::default();
        world.run_until(60_000);
        assert_no_violations(&world, seed, "reconnects");
        assert_completed(&world, seed, "reconnects");
    }
}

#[test]
fn long_running_tasks_move_away_from_a_draining_worker() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 4, 3);
        world.elect(false);
        world.run_until(1_500);
        let mut spec = chain(&[8], 60_000);
        spec.steps[0].is_lasting = true;
        world.runs_never_end = true;
        world.submit(0, spec);
        world.run_until(3_000);
        world.drain(&name("w0"));
        world.run_until(5_000);
        let remaining = world.workers[&name("w0")].executions.len();
        let all: usize = world
            .workers
            .values()
            .map(|worker| worker.executions.len())
            .sum();
        assert_eq!((remaining, all), (0, 8), "seed {seed}");
        assert_no_violations(&world, seed, "draining");
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
        world.run_until(3_000);
        world.elect(true);
        world.run_until(60_000);
        assert_no_violations(&world, seed, "tickets");
        assert_completed(&world, seed, "tickets");
    }
}

#[test]
fn a_worker_that_changes_its_agent_keeps_the_lease_of_the_first_one() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.runs_never_end = true;
        world.elect(false);
        for job in 0..4 {
            world.submit(job, chain(&[4], 800));
        }
        world.run_until(20_000 + seed * 9);
        for entry in ["e1", "e2", "e0"] {
            // The worker is unreachable while it is reassigned from one agent to another.
            world.partition(&name("w1"), 1_200);
            world.reconnect(&name(entry), 30);
            world.run_for(700);
        }
        world.run_for(8_000);
        assert_no_violations(&world, seed, "changed agents");
    }
}

#[test]
fn an_unresponsive_worker_keeps_its_tasks_over_two_quick_changes_of_the_leader() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.runs_never_end = true;
        world.elect(false);
        for job in 0..4 {
            world.submit(job, chain(&[4], 800));
        }
        world.run_until(20_000 + seed * 9);
        world.partition(&name("w1"), 12_000);
        world.run_for(300);
        for _ in 0..2 {
            world.elect(false);
            world.run_for(60);
        }
        world.run_for(20_000);
        assert_no_violations(&world, seed, "two leaders");
    }
}

#[test]
fn jobs_complete_while_entries_restart_and_are_cut_off_from_workers() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        for round in 0..6 {
            world.run_until(1_100 + round * 2_300 + seed * 13);
            let entry = name(&format!("e{}", 1 + (round + seed) % 2));
            world.cut(&name("e1"), &name("w3"), 1_000);
            world.kill(&entry, 300 + round * 400);
            world.max_join_delay = 200 + round * 100;
            if round == 3 {
                world.elect_at(&name("e0"), false);
            }
        }
        world.run_until(60_000);
        assert_no_violations(&world, seed, "entries");
        assert_completed(&world, seed, "entries");
    }
}
