//! Tests of what customers see: accepted, cancelled and refused requests.

use std::time::Instant;

use crate::JOB;
use crate::LONG_RUNNING_JOB;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::start;

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
    // An entry can be ready before its leader has counted the waiting jobs.
    wait_until("the counts of the leader", 5_000, || {
        fleet.send(entries[0].customer, "GET", "/q/", "").0 == 200
    });
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
