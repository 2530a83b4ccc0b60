//! Tests of entries as real processes against a fake platform: what follows a change or loss of the
//! leader, and, in modules, requests, operation, sessions and a soak.

mod cancels;
mod cluster;
mod entry;
mod feeds;
mod fleet;
#[path = "../../crates/scheduler/tests/known_red/mod.rs"]
mod known_red;
mod lag;
mod leaving;
mod malformed;
mod odd;
mod operation;
mod proxy;
mod requests;
mod server;
mod sessions;
mod soak;
mod store;
#[allow(
    dead_code,
    reason = "the simulation in virtual time uses more of this worker"
)]
#[path = "../../crates/scheduler/tests/world/worker.rs"]
mod worker;

use std::thread;
use std::time::Duration;

use entry::Entry;
use fleet::Fleet;
use fleet::wait_until;

const JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":6,"cpu":500,"memMb":100,"estimateMs":150},
    {"count":3,"cpu":500,"memMb":100,"estimateMs":150,"after":[0]}]}"#;
const LONG_RUNNING_JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":2,"cpu":500,"memMb":100,"estimateMs":150,"longRunning":true}]}"#;

/// Starts entries and waits until each is ready.
fn start(fleet: &Fleet, names: &[&str]) -> Vec<Entry> {
    let entries: Vec<Entry> = names.iter().map(|name| fleet.entry(name)).collect();
    for entry in &entries {
        fleet.wait_for_readiness(entry.ready, 5_000);
    }
    entries
}

#[test]
fn jobs_complete_although_each_entry_is_killed_in_turn() {
    let fleet = Fleet::start(3);
    let mut entries = start(&fleet, &["a", "b", "c"]);
    let ids: Vec<String> = (1..=9)
        .map(|index| format!("00000000000000c{index}"))
        .collect();
    for (index, id) in ids.iter().enumerate() {
        let to = entries[index % 3].customer;
        assert_eq!(
            fleet.send(to, "POST", &format!("/q/{id}"), JOB).0,
            200,
            "{id}"
        );
    }
    for (index, name) in ["a", "b", "c"].into_iter().enumerate() {
        entries[index].signal("-KILL");
        assert!(entries[index].wait().is_none());
        entries[index] = fleet.entry(name);
        fleet.wait_for_readiness(entries[index].ready, 5_000);
    }
    for id in &ids {
        fleet.wait_for_completion(entries[0].customer, id, 30_000);
    }
    fleet.assert_no_violations();
}

#[test]
fn a_write_that_is_done_late_does_not_undo_a_later_one() {
    let fleet = Fleet::start(3);
    let mut entries = start(&fleet, &["a"]);
    fleet.store.delay_next_progress_write();
    let job = "00000000000000f5";
    fleet.submit(entries[0].customer, job, JOB);
    wait_until("the delayed write", 5_000, || fleet.store.has_delayed());
    fleet.wait_for_completion(entries[0].customer, job, 15_000);
    // The store has attempted the delayed write by the end of this sleep. A new leader then reads
    // the stored progress.
    thread::sleep(Duration::from_millis(3_000));
    entries[0].signal("-KILL");
    entries[0].wait();
    let next = start(&fleet, &["b"]);
    wait_until("the stage", 10_000, || {
        !fleet.state(next[0].customer, job).is_empty()
    });
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(fleet.state(next[0].customer, job), "completed");
    fleet.assert_no_violations();
}

#[test]
fn a_job_whose_progress_cannot_be_read_does_not_run_again() {
    let fleet = Fleet::start(2);
    let mut entries = start(&fleet, &["a"]);
    let job = "00000000000000f6";
    fleet.submit(entries[0].customer, job, JOB);
    fleet.wait_for_completion(entries[0].customer, job, 15_000);
    entries[0].signal("-KILL");
    entries[0].wait();
    fleet.store.put("progress", job, "x");
    let next = start(&fleet, &["b"]);
    thread::sleep(Duration::from_millis(4_000));
    drop(next);
    fleet.assert_no_violations();
}

#[test]
fn a_leader_keeps_its_own_agent_while_the_store_refuses_writes() {
    let fleet = Fleet::start(2);
    fleet.cluster().runs_forever = true;
    let entries = start(&fleet, &["a"]);
    let to = entries[0].customer;
    let running = || fleet.cluster().running();
    fleet.submit(to, "00000000000000a6", LONG_RUNNING_JOB);
    wait_until("both tasks", 5_000, || running() == 2);
    fleet.store.refuse_writes(true);
    thread::sleep(Duration::from_millis(13_000));
    assert_eq!(
        running(),
        2,
        "a task stopped because its worker's lease expired"
    );
    fleet.store.refuse_writes(false);
    fleet.cluster().runs_forever = false;
    let job = "00000000000000a7";
    fleet.wait_for_acceptance(to, job, JOB, 5_000);
    fleet.wait_for_completion(to, job, 10_000);
    fleet.assert_no_violations();
}

#[test]
fn a_frozen_leader_is_replaced_and_finds_out_before_it_acts() {
    known_red::run(
        concat!(env!("CARGO_MANIFEST_DIR"), "/KNOWN-RED.txt"),
        "a_frozen_leader_is_replaced_and_finds_out_before_it_acts",
        replace_a_frozen_leader,
    );
}

/// Stops a leader for so long that another entry has to take the lead, and continues it.
fn replace_a_frozen_leader() {
    let fleet = Fleet::start(2);
    let mut entries = start(&fleet, &["a"]);
    entries.extend(start(&fleet, &["b"]));
    let to = entries[1].customer;
    entries[0].signal("-STOP");
    fleet.submit(to, "00000000000000a8", JOB);
    wait_until("completion without the frozen leader", 6_000, || {
        fleet.state(to, "00000000000000a8") == "completed"
    });
    entries[0].signal("-CONT");
    let resumed = entries[0].customer;
    let job = "00000000000000a9";
    fleet.wait_for_acceptance(resumed, job, JOB, 5_000);
    fleet.wait_for_completion(resumed, job, 10_000);
    fleet.assert_no_violations();
}

#[test]
fn a_leader_that_was_suspended_leads_anew_before_it_starts_anything() {
    let fleet = Fleet::start(2);
    let entries = start(&fleet, &["a"]);
    let to = entries[0].customer;
    fleet.submit(to, "00000000000000b8", JOB);
    fleet.wait_for_completion(to, "00000000000000b8", 10_000);
    entries[0].signal("-STOP");
    thread::sleep(Duration::from_millis(2_500));
    entries[0].signal("-CONT");
    wait_until("a new epoch", 5_000, || {
        let log = entries[0].read_log();
        log.contains("reason=\"suspended\"") && log.matches("kind=lead-begun").count() == 2
    });
    let job = "00000000000000b9";
    fleet.submit(to, job, JOB);
    fleet.wait_for_completion(to, job, 10_000);
    fleet.assert_no_violations();
}
