//! Tests of how soon cancellations take effect.

use std::thread;
use std::time::Duration;

use crate::JOB;
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

/// A leader whose connections to the store can be cut off, and an agent that keeps its own.
pub struct Cut {
    pub leader: Entry,
    pub agent: Entry,
    pub link: Proxy,
}

impl Cut {
    /// Starts both entries and a job of two steps whose first step runs until
    /// [`assert_second_step_does_not_start`].
    pub fn start(fleet: &Fleet, job: &str) -> Self {
        fleet.cluster().runs_forever = true;
        let link = Proxy::start(&fleet.spawner, fleet.store_proxy.address);
        let leader = Entry::start("a", link.address);
        wait_until("the worker", 5_000, || {
            leader.read_log().contains("kind=worker-known")
        });
        let agent = start(fleet, &["b"]).remove(0);
        wait_until("the agent", 5_000, || {
            leader.read_log().contains("kind=agent-joined agent=b")
        });
        fleet.submit(agent.customer, job, TWO_STEP_JOB);
        wait_until("the first step", 5_000, || fleet.cluster().running() == 2);
        Self {
            leader,
            agent,
            link,
        }
    }
}

/// Lets the runs of the first step of a job end as done.
pub fn end_first_step(fleet: &Fleet) {
    let mut cluster = fleet.cluster();
    cluster.runs_forever = false;
    let workers = cluster.workers.values_mut();
    for execution in workers.flat_map(|worker| worker.executions.values_mut()) {
        execution.ends_at = 0;
    }
}

/// Lets the runs of the first step of a job end as done, if they are still there, and panics if a
/// task of the second step starts within the time in which the lead may change.
#[track_caller]
pub fn assert_second_step_does_not_start(fleet: &Fleet, job: &str, entries: &[&Entry]) {
    end_first_step(fleet);
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
    let job = "00000000000000d1";
    let cut = Cut::start(&fleet, job);
    cut.link.set(Mode::Stall);
    let path = format!("/q/{job}");
    assert_eq!(fleet.send(cut.agent.customer, "DELETE", &path, "").0, 200);
    thread::sleep(NOTICE_TIME);
    assert_second_step_does_not_start(&fleet, job, &[&cut.leader, &cut.agent]);
}

/// A 410 promises that no such job exists. The store may carry out the write of a job seconds after
/// the entry that sent it has given up.
#[test]
fn a_job_whose_write_is_under_way_when_it_is_cancelled_never_runs() {
    let fleet = Fleet::start(1);
    let entries = start(&fleet, &["a", "b"]);
    let job = "00000000000000d2";
    let path = format!("/q/{job}");
    fleet.store.delay_next_acceptance();
    thread::scope(|scope| {
        let submission = scope.spawn(|| fleet.send(entries[0].customer, "POST", &path, JOB).0);
        wait_until("the write of the job", 5_000, || {
            fleet.store.has_delayed_acceptance()
        });
        let status = fleet.send(entries[1].customer, "DELETE", &path, "").0;
        assert_eq!(status, 410);
        let status = submission.join().expect("the submission ends");
        assert_eq!(status, 504);
    });
    wait_until("the stage", 6_000, || {
        fleet.state(entries[1].customer, job) == "cancelled"
    });
    thread::sleep(Duration::from_millis(1_000));
    let cluster = fleet.cluster();
    assert!(cluster.done.is_empty(), "{:?}", cluster.done);
    assert_eq!(cluster.running(), 0);
}

/// The row of a cancellation without a job must not stay, nor show a job that nobody submitted.
#[test]
fn a_job_submitted_long_after_its_unknown_id_was_cancelled_is_a_new_one() {
    let fleet = Fleet::start(1);
    let entry = start(&fleet, &["a"]).remove(0);
    let job = "00000000000000d3";
    let path = format!("/q/{job}");
    let is_stored = || fleet.store.has_row("jobs", "3", &format!("c{job}"));
    assert_eq!(fleet.send(entry.customer, "DELETE", &path, "").0, 410);
    assert!(is_stored());
    assert_eq!(fleet.send(entry.customer, "GET", &path, "").0, 410);
    wait_until("the removal of the cancellation", 40_000, || !is_stored());
    assert_eq!(fleet.send(entry.customer, "GET", &path, "").0, 410);
    fleet.submit(entry.customer, job, JOB);
    fleet.wait_for_completion(entry.customer, job, 10_000);
    fleet.assert_no_violations();
}

/// A wave of cancellations of unknown jobs must not use up the writes that the store allows.
#[test]
fn cancellations_of_many_unknown_jobs_are_refused_beyond_a_bound() {
    let fleet = Fleet::start(1);
    let entry = start(&fleet, &["a"]).remove(0);
    let job = "00000000000000d4";
    fleet.submit(entry.customer, job, JOB);
    let mut statuses = Vec::new();
    for index in 0..60 {
        let path = format!("/q/00000000000d{index:04x}");
        statuses.push(fleet.send(entry.customer, "DELETE", &path, "").0);
    }
    let gone = statuses.iter().filter(|&&status| status == 410).count();
    assert!(statuses.iter().all(|status| [410, 503].contains(status)));
    assert!((1..40).contains(&gone), "{statuses:?}");
    // Jobs that exist are cancelled without this bound.
    let path = format!("/q/{job}");
    assert_eq!(fleet.send(entry.customer, "DELETE", &path, "").0, 200);
}
