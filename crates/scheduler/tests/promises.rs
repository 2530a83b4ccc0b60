//! Invariants that must hold under faults, checked at the simulated workers in virtual time.

mod crashes;
mod handover;
mod known_red;
mod recovery;
mod relisted;
mod world;

use decision::resource::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use scheduler::id::Job;
use scheduler::progress::Outcome;
use scheduler::progress::Stage;
use scheduler::spec;
use world::Faults;
use world::MAX_ATTEMPTS;
use world::World;
use world::chain;
use world::name;

/// The list of known failures at the root of the repository.
const KNOWN_RED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");
const JOBS: u64 = 12;
const SEEDS: u64 = 40;
/// The number of workers that have crashed under a task that may be given up.
const MIN_CRASHES: u32 = 2;
const FAILED: Stage = Stage::Ended(Outcome::Failed);
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

/// Asserts that all jobs are completed, except those that may be given up because two workers have
/// crashed under one of their tasks.
fn assert_completed_or_crashed(world: &World, seed: u64, case: &str) {
    for job in 0..JOBS {
        let crashes = world.most_crashes(job);
        let is_given_up = world.stage(job) == Some(FAILED) && crashes >= MIN_CRASHES;
        assert!(
            is_given_up || world.stage(job) == Some(COMPLETED),
            "{case}, seed {seed}, job {job}: {:?} after {crashes} crashes",
            world.stage(job)
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

#[test]
fn invariants_hold_while_polls_lose_their_answers_over_changes_of_the_leader() {
    for seed in 0..3 * SEEDS {
        let mut world = busy_world(seed);
        world.runs_never_end = seed % 2 == 0;
        world.faults.lost_poll = 0.4;
        for round in 1..10 {
            world.run_until(1_000 + round * 3_370 + seed * 13);
            world.elect_at(&name(&format!("e{}", (round + seed) % 3)), false);
        }
        world.run_for(6_000);
        world.faults = Faults::default();
        world.runs_never_end = false;
        world.run_until(60_000);
        assert_no_violations(&world, seed, "lost polls");
    }
}

#[test]
fn invariants_hold_when_the_leader_dies_with_its_own_agent_and_late_orders() {
    for seed in 0..2 * SEEDS {
        let mut world = busy_world(seed);
        world.elect_at(&name("e1"), false);
        world.run_for(900 + seed * 7);
        // The other agents join the next leader after its death, if at all.
        world.max_join_delay = 6_000;
        world.elect_at(&name("e2"), false);
        world.faults.late = 0.4;
        world.run_for(500 + seed * 11);
        world.kill(&name("e2"), 2_500);
        world.faults.late = 0.0;
        for worker in ["w0", "w2"] {
            world.partition(&name(worker), 5_000);
        }
        world.run_for(600 + seed * 17);
        world.max_join_delay = 500;
        world.elect_at(&name(if seed % 2 == 0 { "e0" } else { "e1" }), false);
        world.run_for(60_000);
        assert_no_violations(&world, seed, "dead leader");
        assert_completed(&world, seed, "dead leader");
    }
}

fn assert_invariants_over_restarts(case: &str, calls_end_with_workers: bool) {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        world.calls_end_with_workers = calls_end_with_workers;
        world.faults.late = 0.15;
        world.faults.lost_answer = 0.05;
        for round in 0..10 {
            world.run_until(1_200 + round * 630 + seed * 13);
            world.crash(&name(&format!("w{}", (round + seed) % 5)), 50 + round * 90);
        }
        world.faults = Faults::default();
        world.run_for(60_000);
        assert_no_violations(&world, seed, case);
        assert_completed_or_crashed(&world, seed, case);
    }
}

#[test]
fn invariants_hold_while_late_orders_end_with_restarted_workers() {
    assert_invariants_over_restarts("restarts", true);
}

#[test]
fn invariants_hold_while_late_orders_reach_restarted_workers() {
    known_red::run(
        KNOWN_RED,
        "invariants_hold_while_late_orders_reach_restarted_workers",
        || assert_invariants_over_restarts("restarts, orders outlive", false),
    );
}

#[test]
fn ends_of_a_restarted_worker_are_kept_until_the_leader_has_them() {
    for seed in 0..SEEDS {
        let mut world = busy_world(seed);
        // Polls out of turn find the new life of a worker before the regular ones do.
        world.faults.lost_answer = 0.2;
        for round in 0..10 {
            world.run_until(1_200 + round * 630 + seed * 13);
            world.crash(&name(&format!("w{}", (round + seed) % 5)), 50);
        }
        world.faults = Faults::default();
        world.run_for(60_000);
        assert_no_violations(&world, seed, "ends");
        assert_completed_or_crashed(&world, seed, "ends");
    }
}

#[test]
fn invariants_hold_while_a_replaced_leader_still_reaches_workers() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.runs_never_end = true;
        world.elect(false);
        for job in 0..4 {
            world.submit(job, chain(&[4], 800));
        }
        // Its agent has the workers to itself, because the others join late.
        world.max_join_delay = 9_000;
        world.elect_at(&name("e0"), false);
        world.run_for(1_000 + seed * 90);
        for (entry, worker) in [("e1", "w0"), ("e2", "w0"), ("e1", "w1"), ("e2", "w1")] {
            world.cut(&name(entry), &name(worker), 20_000);
        }
        world.max_join_delay = 500;
        world.elect_at(&name("e1"), true);
        world.run_for(30_000);
        assert_no_violations(&world, seed, "replaced leader");
    }
}

/// Replaces a leader that is cut off with two workers from the store and from all others for this
/// time, and checks the invariants.
fn assert_no_second_runs_while_a_leader_is_cut_off(time: u64, case: &str) {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.runs_never_end = true;
        world.elect(false);
        for job in 0..4 {
            world.submit(job, chain(&[4], 800));
        }
        // Its agent has the workers to itself, because the others join late.
        world.max_join_delay = 9_000;
        world.elect_at(&name("e0"), false);
        world.run_for(1_000 + seed * 90);
        for worker in ["w0", "w1"] {
            world.cut(&name("e1"), &name(worker), time);
            world.cut(&name("e2"), &name(worker), time);
        }
        for worker in ["w2", "w3", "w4"] {
            world.cut(&name("e0"), &name(worker), time);
        }
        world.max_join_delay = 500;
        world.elect_at(&name("e1"), true);
        world.run_for(30_000);
        assert_no_violations(&world, seed, case);
    }
}

#[test]
fn a_replaced_leader_that_is_cut_off_for_a_while_starts_no_task_of_the_other_side() {
    assert_no_second_runs_while_a_leader_is_cut_off(9_000, "cut off for a while");
}

#[test]
fn a_replaced_leader_that_is_cut_off_with_its_workers_keeps_no_task_that_starts_elsewhere() {
    known_red::run(
        KNOWN_RED,
        "a_replaced_leader_that_is_cut_off_with_its_workers_keeps_no_task_that_starts_elsewhere",
        || assert_no_second_runs_while_a_leader_is_cut_off(30_000, "cut off"),
    );
}

#[test]
fn a_job_that_a_replaced_leader_reads_too_runs_once() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 5, 3);
        world.elect(false);
        // Its agent has the workers to itself, because the others join late.
        world.max_join_delay = 9_000;
        world.elect_at(&name("e0"), false);
        world.run_for(1_000 + seed * 30);
        world.max_join_delay = 500;
        // Polls of the new leader are lost, so some workers do not know of it yet.
        world.faults.lost_poll = 0.4;
        world.elect_at(&name("e1"), true);
        for job in 0..JOBS {
            world.submit(job, chain(&[4], 800));
            world.run_for(60);
        }
        world.faults = Faults::default();
        world.run_for(30_000);
        assert_no_violations(&world, seed, "new jobs");
        assert_completed(&world, seed, "new jobs");
    }
}

/// Injects one fault or changes the leader.
fn disturb(world: &mut World, choice: u64, restarts_workers: bool) {
    let entry = name(&format!("e{}", choice % 3));
    let worker = name(&format!("w{}", choice % 5));
    match choice / 7 % 6 {
        0 => world.elect_at(&entry, choice.is_multiple_of(2)),
        1 => world.kill(&entry, 400 + choice % 3_000),
        2 => world.partition(&worker, choice % 9_000),
        3 => world.cut(&entry, &worker, choice % 12_000),
        4 if restarts_workers => world.crash(&worker, 50 + choice % 900),
        _ => world.reconnect(&entry, choice % 90),
    }
    if world.leader.is_none() {
        world.run_for(500 + choice % 2_500);
        world.elect_at(&name(&format!("e{}", choice / 3 % 3)), false);
    }
}

/// The faults of workers that come at random.
#[derive(Clone, Copy)]
enum Workers {
    /// No worker restarts.
    Stay,
    /// Workers restart, and calls in transit to them end with them.
    Restart,
    /// Workers restart, and late calls to them may reach their next life.
    RestartOutlived,
}

fn assert_invariants_at_random(case: &str, seeds: u64, workers: Workers) {
    for seed in 0..seeds {
        let mut world = busy_world(seed);
        world.calls_end_with_workers = matches!(workers, Workers::Restart);
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..20 {
            world.faults = Faults {
                lost_answer: 0.05,
                late: 0.1,
                lost_poll: 0.3,
                failed_run: 0.02,
                lost_commit: 0.1,
            };
            world.run_for(random.random_range(100..1_500));
            let choice = random.random_range(0..1_000_000);
            disturb(&mut world, choice, !matches!(workers, Workers::Stay));
        }
        world.faults = Faults::default();
        world.run_for(60_000);
        assert_no_violations(&world, seed, case);
        if matches!(workers, Workers::Stay) {
            assert_completed(&world, seed, case);
        } else {
            assert_completed_or_crashed(&world, seed, case);
        }
    }
}

#[test]
fn invariants_hold_while_faults_of_entries_and_calls_come_at_random() {
    assert_invariants_at_random("random entries", 10 * SEEDS, Workers::Stay);
}

#[test]
fn invariants_hold_while_all_faults_but_outliving_orders_come_at_random() {
    assert_invariants_at_random("random workers", 10 * SEEDS, Workers::Restart);
}

#[test]
fn invariants_hold_while_all_faults_come_at_random() {
    known_red::run(
        KNOWN_RED,
        "invariants_hold_while_all_faults_come_at_random",
        || assert_invariants_at_random("random", 2 * SEEDS, Workers::RestartOutlived),
    );
}

const FULL_SIZE: Size = Size {
    millicores: 8_000,
    memory_mb: 64_000,
    accelerators: 2,
};

/// Returns steps that need different resources of a worker: some only memory or accelerators, some
/// processors that others leave.
fn mixed_job(job: u64) -> spec::Job {
    let mut spec = chain(&[20, 30, 10, 20], 800);
    for (index, step) in (0..).zip(&mut spec.steps) {
        match (job + index) % 4 {
            0 => {}
            1 => step.need.millicores = 0,
            2 => step.is_filling = true,
            _ => step.need.accelerators = 1,
        }
    }
    spec
}

/// Returns a capacity that has one of these parts of each resource.
fn random_size(random: &mut StdRng) -> Size {
    let mut part = |whole: u32| whole * [0, 1, 2, 4][random.random_range(0..4)] / 4;
    Size {
        millicores: part(FULL_SIZE.millicores),
        memory_mb: part(FULL_SIZE.memory_mb / 4),
        accelerators: part(FULL_SIZE.accelerators * 2) / 2,
    }
}

fn resizing_world(seed: u64) -> World {
    let mut world = World::new(seed, 5, 3);
    for worker in world.workers.values_mut() {
        worker.size = FULL_SIZE;
    }
    world.elect(false);
    for job in 0..JOBS {
        world.submit(job, mixed_job(job));
    }
    // Its tasks hold what has shrunk for as long as the world lasts.
    let mut spec = chain(&[4], 800);
    spec.steps[0].is_lasting = true;
    spec.steps[0].need.accelerators = 1;
    world.submit(JOBS, spec);
    world
}

fn assert_within_capacities(case: &str, faults: Faults, changes_leader: bool) {
    for seed in 0..2 * SEEDS {
        let mut world = resizing_world(seed);
        let mut random = StdRng::seed_from_u64(seed);
        world.faults = faults;
        for round in 0..16 {
            // A shrink counts only after a while, so most capacities last longer than that.
            world.run_for(random.random_range(200..2_500));
            let worker = name(&format!("w{}", random.random_range(0..5)));
            world.resize(&worker, random_size(&mut random));
            if changes_leader && round % 5 == 4 {
                let entry = name(&format!("e{}", random.random_range(0..3)));
                world.elect_at(&entry, true);
            }
        }
        world.faults = Faults::default();
        for worker in 0..5 {
            world.resize(&name(&format!("w{worker}")), FULL_SIZE);
        }
        world.run_for(60_000);
        assert_no_violations(&world, seed, case);
        assert_completed(&world, seed, case);
    }
}

#[test]
fn starts_stay_within_capacities_that_shrink_and_grow() {
    assert_within_capacities("capacities", Faults::default(), false);
}

#[test]
fn starts_stay_within_changing_capacities_while_orders_are_lost_or_late() {
    let faults = Faults {
        lost_answer: 0.1,
        late: 0.08,
        lost_poll: 0.2,
        failed_run: 0.02,
        lost_commit: 0.1,
    };
    assert_within_capacities("capacities, lost orders", faults, false);
}

#[test]
fn starts_stay_within_changing_capacities_over_changes_of_the_leader() {
    let faults = Faults {
        lost_answer: 0.05,
        late: 0.05,
        ..Faults::default()
    };
    assert_within_capacities("capacities, leaders", faults, true);
}
