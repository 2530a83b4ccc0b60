//! Tests of entries of other writers among the registrations.

use std::thread;
use std::time::Duration;

use crate::JOB;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::start;

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
