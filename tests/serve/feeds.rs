//! Tests of how soon a leader learns of changes of the store whose feed call gets no answer.

use std::thread;
use std::time::Duration;

use crate::JOB;
use crate::cancels;
use crate::cancels::Cut;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::proxy::Mode;
use crate::start;

/// The platform allows starts on a worker for this long after its draining was acknowledged, and
/// the same time until a configuration is in force.
const PROMISED_TIME: Duration = Duration::from_millis(2_000);

#[test]
fn no_task_starts_on_a_draining_worker_although_the_feed_call_gets_no_answer() {
    let fleet = Fleet::start(1);
    let leader = start(&fleet, &["a"]).remove(0);
    wait_until("the worker", 5_000, || {
        leader.read_log().contains("kind=worker-known")
    });
    fleet.store.lose_next_feed("servers");
    fleet.register(0, "draining");
    thread::sleep(PROMISED_TIME);
    let job = "00000000000000f1";
    fleet.submit(leader.customer, job, JOB);
    thread::sleep(Duration::from_millis(2_000));
    let log = leader.read_log();
    let started = log.lines().find(|line| line.contains("kind=start "));
    assert_eq!(started, None);
}

#[test]
fn a_configuration_is_in_force_in_time_although_the_feed_call_gets_no_answer() {
    let fleet = Fleet::start(1);
    let leader = start(&fleet, &["a"]).remove(0);
    wait_until("the leader", 5_000, || {
        leader.read_log().contains("kind=lead-begun")
    });
    fleet.store.lose_next_feed("op");
    fleet.configure(2);
    thread::sleep(PROMISED_TIME);
    let versions = leader.logged("config-in-force", "version");
    assert_eq!(versions.last().map(String::as_str), Some("2"));
}

#[test]
fn a_job_starts_soon_although_the_feed_call_gets_no_answer() {
    let fleet = Fleet::start(1);
    let leader = start(&fleet, &["a"]).remove(0);
    wait_until("the worker", 5_000, || {
        leader.read_log().contains("kind=worker-known")
    });
    fleet.store.lose_next_feed("jobs");
    let job = "00000000000000f2";
    fleet.submit(leader.customer, job, JOB);
    thread::sleep(PROMISED_TIME);
    let log = leader.read_log();
    assert!(log.contains(&format!("kind=job-learned job={job}")));
}

/// An agent reports a configuration that is newer than the one in the leader's heartbeat.
#[test]
fn a_configuration_reaches_a_leader_that_is_cut_off_from_the_store_in_time() {
    let fleet = Fleet::start(1);
    let cut = Cut::start(&fleet, "00000000000000f4");
    cut.link.set(Mode::Stall);
    fleet.configure(2);
    thread::sleep(PROMISED_TIME);
    for entry in [&cut.leader, &cut.agent] {
        let versions = entry.logged("config-in-force", "version");
        assert_eq!(versions.last().map(String::as_str), Some("2"));
    }
}

#[test]
fn a_leader_that_is_cut_off_from_the_store_starts_nothing_on_a_draining_worker() {
    let fleet = Fleet::start(1);
    let job = "00000000000000f3";
    let cut = Cut::start(&fleet, job);
    cut.link.set(Mode::Stall);
    fleet.register(0, "draining");
    thread::sleep(PROMISED_TIME + Duration::from_millis(100));
    cancels::assert_second_step_does_not_start(&fleet, job, &[&cut.leader, &cut.agent]);
}

/// Where the store serves nobody, no entry can know of a worker that drains, and work has to go on.
#[test]
fn tasks_start_while_the_store_serves_nobody() {
    let fleet = Fleet::start(1);
    let job = "00000000000000f5";
    let cut = Cut::start(&fleet, job);
    fleet.store.set_silent(true);
    thread::sleep(PROMISED_TIME + Duration::from_millis(100));
    cancels::end_first_step(&fleet);
    let start = format!("kind=start task={job}.0.1.");
    wait_until("the second step", 1_000, || {
        cut.leader.read_log().contains(&start)
    });
}

/// A store that is slow for all entries serves the leader too, so that it learns of draining workers.
#[test]
fn tasks_start_while_the_store_is_slow_for_all_entries() {
    let fleet = Fleet::start(1);
    let job = "00000000000000f6";
    let cut = Cut::start(&fleet, job);
    // Requests and answers are each delayed by this time.
    fleet
        .store_proxy
        .set(Mode::Slow(Duration::from_millis(400)));
    thread::sleep(Duration::from_millis(4_000));
    cancels::end_first_step(&fleet);
    let start = format!("kind=start task={job}.0.1.");
    wait_until("the second step", 3_000, || {
        cut.leader.read_log().contains(&start)
    });
    assert!(!cut.leader.read_log().contains("kind=starts-held"));
}
