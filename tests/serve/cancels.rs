//! Tests of how soon cancellations take effect.

use std::thread;
use std::time::Duration;

use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::start;

/// The time after the acknowledgement of a cancellation by which the leader has to know of it. The
/// platform allows 3 s until the last start.
const NOTICE_TIME: Duration = Duration::from_millis(1_000);
const TWO_STEP_JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":2,"cpu":500,"memMb":100,"estimateMs":150},
    {"count":2,"cpu":500,"memMb":100,"estimateMs":150,"after":[0]}]}"#;

/// Lets the runs of the first step of a job end as done, if they are still there, and panics if a
/// task of the second step starts within the time in which the lead may change.
#[track_caller]
fn assert_second_step_does_not_start(fleet: &Fleet, job: &str, entries: &[&Entry]) {
    {
        let mut cluster = fleet.cluster();
        cluster.runs_forever = false;
        let workers = cluster.workers.values_mut();
        for execution in workers.flat_map(|worker| worker.executions.values_mut()) {
            execution.ends_at = 0;
        }
    }
    thread::sleep(Duration::from_millis(4_000));
    for entry in entries {
        let log = entry.read_log();
        let start = format!("kind=start task={job}.0.1.");
        let started = log.lines().find(|line| line.contains(&start));
        assert_eq!(started, None);
    }
    fleet.assert_no_violations();
}

/// Entries whose connections to the store work go on cancelling jobs, and the leader keeps its
/// agents until they find its heartbeat unchanged.
#[test]
fn a_leader_that_is_cut_off_from_the_store_starts_no_task_of_a_job_cancelled_elsewhere() {
    let fleet = Fleet::start(1);
    fleet.cluster().runs_forever = true;
    let link = Proxy::start(&fleet.spawner, fleet.store_proxy.address);
    let leader = Entry::start("a", link.address);
    wait_until("the worker", 5_000, || {
        leader.read_log().contains("kind=worker-known")
    });
    let other = start(&fleet, &["b"]).remove(0);
    wait_until("the agent", 5_000, || {
        leader.read_log().contains("kind=agent-joined agent=b")
    });
    let job = "00000000000000d1";
    fleet.submit(other.customer, job, TWO_STEP_JOB);
    wait_until("the first step", 5_000, || fleet.cluster().running() == 2);
    link.set(Mode::Stall);
    let path = format!("/q/{job}");
    assert_eq!(fleet.send(other.customer, "DELETE", &path, "").0, 200);
    thread::sleep(NOTICE_TIME);
    assert_second_step_does_not_start(&fleet, job, &[&leader, &other]);
}
