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

/// The longest line of the log about an odd entry.
const MAX_LINE_BYTES: usize = 600;
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

/// Returns odd entries that show `address`.
fn odd_values(address: SocketAddr) -> Vec<String> {
    let valid = registration(&address.to_string());
    let with = |field: &str, value: Value| {
        let mut odd = valid.clone();
        odd[field] = value;
        odd.to_string()
    };
    let long = "x".repeat(45_000);
    let mut values = vec![
        with("state", "asleep".into()),
        with("state", json!(long)),
        with("service", json!(4)),
        with("born", json!(long)),
        with("zone", "".into()),
        with("capacity", json!({"cpu": 4_294_967_296_u64})),
        with("address", format!("{}:70000", address.ip()).into()),
        with("address", format!("{}:0", address.ip()).into()),
        with("address", json!(long)),
        with("labels", json!([1])),
        valid.to_string().replace("\"born\":7", "\"born\":1e400"),
        valid
            .to_string()
            .replace("\"born\":7", "\"born\":7,\"born\":7"),
        valid.to_string().replace("2000", "18446744073709551616"),
        String::new(),
        "[".repeat(48_000),
        "{\"a\":".repeat(9_000),
    ];
    for depth in [200, 20_000] {
        let nested = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        values.push(valid.to_string().replace("\"r1\"", &nested));
        values.push(nested);
    }
    values
}

fn put_odd_entries(fleet: &Fleet, prefix: &str, address: SocketAddr) {
    for (index, value) in odd_values(address).iter().enumerate() {
        fleet
            .store
            .put("servers", &format!("{prefix}-{index}"), value);
    }
    let valid = registration(&address.to_string()).to_string();
    for key in [
        "",
        " ",
        "a b",
        "\u{e9}",
        "a\"b\\",
        "a&from=z#%zz",
        &"k".repeat(200),
    ] {
        fleet
            .store
            .put("servers", &format!("{prefix}{key}\u{1}"), &valid);
    }
    fleet
        .store
        .put_raw("servers", "", &format!("{prefix}-raw"), "no base64!");
    fleet
        .store
        .put_raw("servers", "", &format!("{prefix}-empty"), "");
}

fn complete(fleet: &Fleet, entry: &Entry, job: &str) {
    fleet.submit(entry.customer, job, JOB);
    fleet.wait_for_completion(entry.customer, job, 10_000);
}

#[test]
fn entries_serve_on_beside_odd_registrations_and_leave_those_alone() {
    let fleet = Fleet::start(2);
    let (address, calls) = start_counter(&fleet);
    put_odd_entries(&fleet, "first", address);
    let mut entries = start(&fleet, &["a", "b"]);
    complete(&fleet, &entries[0], "00000000000000e1");
    put_odd_entries(&fleet, "second", address);
    complete(&fleet, &entries[1], "00000000000000e2");
    for index in 0..odd_values(address).len() {
        fleet.store.remove("servers", &format!("first-{index}"));
    }
    complete(&fleet, &entries[0], "00000000000000e3");
    thread::sleep(Duration::from_millis(500));
    assert_eq!(calls.load(Ordering::SeqCst), 0, "an odd entry was polled");
    for entry in &mut entries {
        assert!(!entry.has_ended());
        let log = entry.read_log();
        let longest = log.lines().map(str::len).max();
        assert!(
            longest <= Some(MAX_LINE_BYTES),
            "a line has {longest:?} bytes"
        );
        assert_eq!(entry.logged("watch-refused", "worker"), [""; 0]);
    }
    // An odd entry that is mended names a worker.
    let valid = registration(&address.to_string()).to_string();
    fleet.store.put("servers", "second-0", &valid);
    wait_until("a poll of the mended entry", 5_000, || {
        calls.load(Ordering::SeqCst) > 0
    });
    fleet.assert_no_violations();
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
