//! Tests of entries of other writers among the registrations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::JOB;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::server;
use crate::start;
use crate::store::base64;

/// The rows of a full page of the store.
const PAGE_ROWS: usize = 500;

/// Starts a server that counts the calls that reach it.
fn start_counter(fleet: &Fleet) -> (SocketAddr, Arc<AtomicU32>) {
    let calls = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&calls);
    let address = server::start(&fleet.spawner, move |_, _, _| {
        counter.fetch_add(1, Ordering::SeqCst);
        async { (StatusCode::NOT_FOUND, json!({})) }
    });
    (address, calls)
}

fn registration(address: &str) -> Value {
    json!({"service": "s", "address": address, "zone": "z", "state": "ready",
        "capacity": {"cpu": 2000, "memMb": 4000}, "labels": ["a", "r1"], "born": 7})
}

fn complete(fleet: &Fleet, entry: &Entry, job: &str) {
    fleet.submit(entry.customer, job, JOB);
    fleet.wait_for_completion(entry.customer, job, 10_000);
}

#[test]
fn a_worker_under_whose_name_another_writer_left_an_odd_entry_gets_no_tasks_until_it_is_mended() {
    let fleet = Fleet::start(1);
    let entries = start(&fleet, &["a"]);
    complete(&fleet, &entries[0], "00000000000000e4");
    let mended = fleet.store.raw_value("servers", "i-0");
    fleet.store.put("servers", "i-0", "[[[");
    wait_until("the end of the use", 5_000, || {
        !entries[0]
            .logged("registration-ignored", "worker")
            .is_empty()
    });
    let job = "00000000000000e5";
    fleet.submit(entries[0].customer, job, JOB);
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(fleet.state(entries[0].customer, job), "queued");
    fleet.store.put_raw("servers", "", "i-0", &mended);
    fleet.wait_for_completion(entries[0].customer, job, 10_000);
    fleet.assert_no_violations();
}

#[test]
fn entries_in_another_part_of_the_table_are_no_registrations() {
    let fleet = Fleet::start(1);
    let entries = start(&fleet, &["a"]);
    complete(&fleet, &entries[0], "00000000000000e6");
    let (address, calls) = start_counter(&fleet);
    let other = base64(registration(&address.to_string()).to_string().as_bytes());
    fleet.store.put_raw("servers", "odd", "i-0", &other);
    fleet.store.put_raw("servers", "odd", "i-9", &other);
    fleet
        .store
        .put_raw("op", "odd", "config", &base64(br#"{"version":99}"#));
    thread::sleep(Duration::from_millis(500));
    complete(&fleet, &entries[0], "00000000000000e7");
    assert_eq!(calls.load(Ordering::SeqCst), 0, "the row was used");
    fleet.assert_no_violations();
}

#[test]
fn a_list_whose_page_ends_with_an_odd_key_is_read_to_its_end() {
    let fleet = Fleet::start(1);
    let (address, _) = start_counter(&fleet);
    let valid = registration(&address.to_string()).to_string();
    for index in 0..PAGE_ROWS {
        let key = format!("a{index:03} &#%\"\u{e9}<");
        fleet.store.put("servers", &key, &valid);
    }
    let entries = start(&fleet, &["a"]);
    complete(&fleet, &entries[0], "00000000000000e8");
    fleet.assert_no_violations();
}
