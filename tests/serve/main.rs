//! Tests of entries as real processes against a fake platform.

mod cluster;
mod entry;
mod fleet;
#[path = "../../crates/scheduler/tests/known_red/mod.rs"]
mod known_red;
mod proxy;
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

use std::io::Read;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use entry::Entry;
use fleet::Fleet;
use fleet::wait_until;

const JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":6,"cpu":500,"memMb":100,"estimateMs":150},
    {"count":3,"cpu":500,"memMb":100,"estimateMs":150,"after":[0]}]}"#;
const LONG_RUNNING_JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":2,"cpu":500,"memMb":100,"estimateMs":150,"longRunning":true}]}"#;

fn start(fleet: &Fleet, names: &[&str]) -> Vec<Entry> {
    let entries: Vec<Entry> = names.iter().map(|name| fleet.entry(name)).collect();
    for entry in &entries {
        fleet.wait_for_readiness(entry.ready, 5_000);
    }
    entries
}

#[test]
fn a_job_submitted_at_several_entries_runs_once() {
    let fleet = Fleet::start(3);
    let entries = start(&fleet, &["a", "b", "c"]);
    let job = "00000000000000a1";
    fleet.submit(entries[0].customer, job, JOB);
    fleet.submit(entries[1].customer, job, JOB);
    fleet.wait_for_completion(entries[2].customer, job, 10_000);
    fleet.submit(entries[0].customer, job, JOB);
    let done: Vec<u32> = fleet.cluster().done.values().copied().collect();
    assert_eq!(done, [1; 9]);
    fleet.assert_no_violations();
}

#[test]
fn requests_that_cannot_be_served_get_specific_status_codes() {
    let fleet = Fleet::start(1);
    let entries = start(&fleet, &["a"]);
    let cases = [
        ("GET", "/q/00000000000000ff", "", 410),
        ("DELETE", "/q/00000000000000ff", "", 410),
        ("GET", "/none/00000000000000ff", "", 404),
        ("POST", "/none/00000000000000ff", JOB, 404),
        ("POST", "/q/not-a-job", JOB, 400),
        ("POST", "/q/00000000000000ff", "{", 400),
        ("PUT", "/q/00000000000000ff", JOB, 405),
        ("GET", "/q/", "", 200),
    ];
    for (method, path, body, status) in cases {
        let found = fleet.send(entries[0].customer, method, path, body).0;
        assert_eq!(found, status, "{method} {path}");
    }
}

#[test]
fn a_cancelled_job_is_stopped_on_its_workers() {
    let fleet = Fleet::start(2);
    fleet.cluster().runs_forever = true;
    let entries = start(&fleet, &["a", "b"]);
    let path = "/q/00000000000000b2";
    let running = || fleet.cluster().running();
    fleet.submit(entries[0].customer, "00000000000000b2", LONG_RUNNING_JOB);
    wait_until("both tasks", 5_000, || running() == 2);
    assert_eq!(fleet.send(entries[1].customer, "DELETE", path, "").0, 200);
    wait_until("the end of both tasks", 3_000, || running() == 0);
    wait_until("the stage", 2_000, || {
        fleet.state(entries[0].customer, "00000000000000b2") == "cancelled"
    });
    fleet.assert_no_violations();
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
fn signals_reload_and_stop_an_entry() {
    let fleet = Fleet::start(1);
    let mut entries = start(&fleet, &["a", "b"]);
    entries[0].signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    assert!(!entries[0].has_ended());
    fleet.configure(2);
    entries[0].signal("-TERM");
    let ready = entries[0].ready;
    wait_until("the readiness check to fail", 1_000, || {
        fleet.send(ready, "GET", "/readiness", "").0 == 503
    });
    wait_until("exit after SIGTERM", 6_000, || entries[0].has_ended());
    assert_eq!(entries[0].wait(), Some(0));
    let job = "00000000000000d4";
    fleet.wait_for_acceptance(entries[1].customer, job, JOB, 5_000);
    fleet.wait_for_completion(entries[1].customer, job, 10_000);
    fleet.assert_no_violations();
}

#[test]
fn a_silent_store_means_quick_and_true_refusals() {
    let fleet = Fleet::start(2);
    let entries = start(&fleet, &["a", "b"]);
    fleet.store.set_silent(true);
    let mut refused = Vec::new();
    wait_until("a refusal within 500 ms", 15_000, || {
        let id = format!("00000000000000e{}", refused.len() % 10);
        let started_at = Instant::now();
        let (status, _) = fleet.send(entries[0].customer, "POST", &format!("/q/{id}"), JOB);
        let is_quick = started_at.elapsed().as_millis() < 500;
        refused.push((id, status));
        status == 503 && is_quick
    });
    let (last, _) = refused.pop().expect("at least one submission was refused");
    fleet.store.set_silent(false);
    let job = "00000000000000ef";
    fleet.wait_for_acceptance(entries[1].customer, job, JOB, 10_000);
    fleet.wait_for_completion(entries[1].customer, job, 10_000);
    assert_eq!(
        fleet
            .send(entries[1].customer, "GET", &format!("/q/{last}"), "")
            .0,
        410
    );
    fleet.assert_no_violations();
}

#[test]
fn an_unread_log_does_not_block_requests() {
    let fleet = Fleet::start(1);
    let (entry, mut log) = Entry::start_with_unread_log("a", fleet.store_proxy.address);
    fleet.wait_for_readiness(entry.ready, 5_000);
    // Each request logs one line. The log queue and the pipe together hold fewer lines than this.
    for _ in 0..8_000 {
        assert_eq!(fleet.send(entry.customer, "POST", "/q/no-job", "").0, 400);
    }
    let reader = thread::spawn(move || {
        let mut output = Vec::new();
        let mut chunk = [0; 64 << 10];
        while let Ok(count) = log.read(&mut chunk) {
            output.extend_from_slice(&chunk[..count]);
            if count == 0 || String::from_utf8_lossy(&output).contains("kind=log-dropped") {
                break;
            }
        }
        String::from_utf8_lossy(&output).into_owned()
    });
    wait_until("the count of dropped lines", 10_000, || {
        fleet.send(entry.customer, "POST", "/q/no-job", "");
        reader.is_finished()
    });
    let output = reader.join().expect("the reader thread does not panic");
    let dropped = output.split("kind=log-dropped").nth(1).unwrap_or_default();
    let count = dropped
        .split("lines=")
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next());
    let count: u64 = count.and_then(|raw| raw.parse().ok()).unwrap_or(0);
    assert!(count > 1_000, "{count} lines were counted as dropped");
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

#[test]
fn metrics_count_workers_whose_leases_expired() {
    let fleet = Fleet::start(2);
    let entries = start(&fleet, &["a"]);
    let value = |name: &str| {
        let (_, text) = fleet.send(entries[0].metrics, "GET", "/metrics", "");
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit_once(' ')?.1.parse::<u64>().ok()
    };
    let values = || ["lapses_total", "second_runs_total", "unheard"].map(value);
    wait_until("the end of the election", 5_000, || {
        value("leads_total") == Some(1) && values() == [Some(0); 3]
    });
    let job = "00000000000000aa";
    fleet.submit(entries[0].customer, job, JOB);
    fleet.wait_for_completion(entries[0].customer, job, 10_000);
    fleet.worker_proxies[0].set(proxy::Mode::Stall);
    wait_until("the lapse", 15_000, || value("lapses_total") == Some(1));
    assert_eq!(values(), [Some(1), Some(0), Some(0)]);
}

#[test]
fn the_log_tells_for_which_leader_a_worker_was_polled_and_since_when_its_lease_runs() {
    let fleet = Fleet::start(1);
    fleet.worker_proxies[0].set(proxy::Mode::Stall);
    let entries = start(&fleet, &["a"]);
    let entry = &entries[0];
    wait_until("a failed poll without a lease", 10_000, || {
        !entry.logged("look-failed", "renewed_ago_ms").is_empty()
    });
    assert_eq!(entry.logged("look-failed", "renewed_ago_ms")[0], "none");
    let first = entry.logged("lead-begun", "epoch");
    assert_eq!(entry.logged("look-failed", "epoch")[0], first[0]);
    assert_eq!(entry.logged("watch-begun", "epoch"), first);
    fleet.worker_proxies[0].set(proxy::Mode::Pass);
    wait_until("an answer of the worker", 10_000, || {
        !entry.logged("worker-known", "worker").is_empty()
    });
    // The poll after an answer renews the lease.
    thread::sleep(Duration::from_millis(1_000));
    fleet.worker_proxies[0].set(proxy::Mode::Stall);
    wait_until("a failed poll with a lease", 10_000, || {
        let ages = entry.logged("look-failed", "renewed_ago_ms");
        ages.iter()
            .any(|age| age.parse().is_ok_and(|age: u64| age < 10_000))
    });
    entry.signal("-STOP");
    thread::sleep(Duration::from_millis(2_500));
    entry.signal("-CONT");
    wait_until("the polls for the next leader", 10_000, || {
        entry.logged("watch-begun", "epoch").len() == 2
            && entry.logged("watch-ended", "epoch") == first
    });
    let epochs = entry.logged("lead-begun", "epoch");
    assert_eq!(entry.logged("watch-begun", "epoch"), epochs);
}
