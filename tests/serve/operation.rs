//! Tests of what operators use: signals, the log and metrics.

use std::io::Read;
use std::thread;
use std::time::Duration;

use crate::JOB;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::proxy::Mode;
use crate::start;

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
    fleet.worker_proxies[0].set(Mode::Stall);
    wait_until("the lapse", 15_000, || value("lapses_total") == Some(1));
    assert_eq!(values(), [Some(1), Some(0), Some(0)]);
}

#[test]
fn the_log_tells_for_which_leader_a_worker_was_polled_and_since_when_its_lease_runs() {
    let fleet = Fleet::start(1);
    fleet.worker_proxies[0].set(Mode::Stall);
    let entries = start(&fleet, &["a"]);
    let entry = &entries[0];
    wait_until("a failed poll without a lease", 10_000, || {
        !entry.logged("look-failed", "renewed_ago_ms").is_empty()
    });
    assert_eq!(entry.logged("look-failed", "renewed_ago_ms")[0], "none");
    let first = entry.logged("lead-begun", "epoch");
    assert_eq!(entry.logged("look-failed", "epoch")[0], first[0]);
    assert_eq!(entry.logged("watch-begun", "epoch"), first);
    fleet.worker_proxies[0].set(Mode::Pass);
    wait_until("an answer of the worker", 10_000, || {
        !entry.logged("worker-known", "worker").is_empty()
    });
    // The poll after an answer renews the lease.
    thread::sleep(Duration::from_millis(1_000));
    fleet.worker_proxies[0].set(Mode::Stall);
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

/// Without these lines nothing at the agent names the tasks of a second run.
#[test]
fn the_log_of_the_agent_names_each_order_that_it_carried_out_and_the_age_of_its_contact() {
    let fleet = Fleet::start(1);
    let entries = start(&fleet, &["a"]);
    let job = "00000000000000aa";
    fleet.submit(entries[0].customer, job, JOB);
    fleet.wait_for_completion(entries[0].customer, job, 10_000);
    let started = entries[0].logged("start", "task");
    assert!(!started.is_empty());
    wait_until("the lines of all orders", 2_000, || {
        entries[0].logged("order-answered", "task").len() == started.len()
    });
    let mut answered = entries[0].logged("order-answered", "task");
    answered.sort_unstable();
    let mut expected = started.clone();
    expected.sort_unstable();
    assert_eq!(answered, expected);
    assert!(
        entries[0]
            .logged("order-answered", "outcome")
            .iter()
            .all(|outcome| outcome == "Done")
    );
    let ages = entries[0].logged("order-answered", "contact_ms");
    assert!(
        ages.iter()
            .all(|age| age.parse::<u64>().is_ok_and(|age| age <= 3_000))
    );
}
