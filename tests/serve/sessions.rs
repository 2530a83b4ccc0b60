//! Tests of the sessions of agents, and of leaderships, that end because of a later leader.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use crate::JOB;
use crate::cluster::HeldPolls;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::start;

/// Panics if an entry began to lead twice in one epoch.
#[track_caller]
fn assert_each_epoch_was_led_once(entry: &Entry) {
    let epochs = entry.logged("lead-begun", "epoch");
    let distinct: BTreeSet<&String> = epochs.iter().collect();
    assert_eq!(distinct.len(), epochs.len(), "epochs led: {epochs:?}");
}

/// Starts a leader and then an agent that polls the only worker.
fn start_leader_and_agent(fleet: &Fleet) -> (Entry, Entry) {
    let leader = start(fleet, &["a"]).remove(0);
    wait_until("the first leader", 5_000, || {
        leader.read_log().contains("kind=worker-known")
    });
    let agent = start(fleet, &["b"]).remove(0);
    wait_until("the agent", 5_000, || {
        leader.read_log().contains("kind=agent-joined agent=b")
    });
    // The agent polls the worker by the end of this sleep.
    thread::sleep(Duration::from_millis(1_500));
    (leader, agent)
}

/// A poll of an agent's earlier session may be answered after the next session began. Its list is
/// older than the last orders of the earlier leader, and the worker has not seen the new token.
#[test]
fn an_answer_to_a_poll_of_an_earlier_leader_does_not_count_for_the_next_one() {
    let fleet = Fleet::start(1);
    let (mut leader, agent) = start_leader_and_agent(&fleet);
    {
        let mut cluster = fleet.cluster();
        let epoch = cluster.workers["i-0"].fencing_token;
        cluster.held_polls = Some(HeldPolls::of(epoch));
    }
    leader.signal("-KILL");
    leader.wait();
    wait_until("an answer to a held poll", 10_000, || {
        let cluster = fleet.cluster();
        let held = cluster.held_polls.as_ref();
        held.is_some_and(|held| held.answered > 0)
    });
    thread::sleep(Duration::from_millis(700));
    let log = agent.read_log();
    assert!(
        !log.contains("kind=worker-known"),
        "the leader counts a worker as known that has answered none of its polls: {log}"
    );
    fleet.cluster().held_polls = None;
    let job = "00000000000000c1";
    fleet.submit(agent.customer, job, JOB);
    fleet.wait_for_completion(agent.customer, job, 20_000);
    fleet.assert_no_violations();
}

/// A leader that a worker refuses while the store still shows its record must not begin to lead
/// again in the same epoch, because it would issue the same run numbers again.
#[test]
fn a_leader_fenced_by_a_worker_leads_anew_in_a_later_epoch() {
    let fleet = Fleet::start(1);
    let entry = start(&fleet, &["a"]).remove(0);
    wait_until("the worker", 5_000, || {
        entry.read_log().contains("kind=worker-known")
    });
    fleet.fence("i-0");
    let job = "00000000000000c2";
    fleet.submit(entry.customer, job, JOB);
    wait_until("the next leadership", 10_000, || {
        entry.logged("lead-begun", "epoch").len() >= 2
    });
    assert_each_epoch_was_led_once(&entry);
    fleet.wait_for_completion(entry.customer, job, 20_000);
    assert_each_epoch_was_led_once(&entry);
    fleet.assert_no_violations();
}

/// A refused poll shows that a later leader exists. The agent leaves the leader that it polled for,
/// and a leader whose own agent is refused stops leading.
#[test]
fn a_refused_poll_ends_the_session_and_the_leadership() {
    let fleet = Fleet::start(1);
    let (leader, agent) = start_leader_and_agent(&fleet);
    fleet.fence("i-0");
    wait_until("the end of the session", 5_000, || {
        let log = agent.read_log();
        let mut lines = log.lines();
        lines.any(|line| {
            line.contains("kind=leader-deposed") && line.contains("reason=fenced-by-worker")
        })
    });
    wait_until("the end of the leadership", 10_000, || {
        leader.read_log().contains("kind=lead-ended")
    });
    let job = "00000000000000c3";
    fleet.wait_for_acceptance(agent.customer, job, JOB, 10_000);
    fleet.wait_for_completion(agent.customer, job, 20_000);
    let cluster = fleet.cluster();
    // One refused call and at most three further ones with the same token.
    let is_bounded = cluster.fenced_calls.values().all(|&count| count <= 4);
    assert!(is_bounded, "refused calls: {:?}", cluster.fenced_calls);
    drop(cluster);
    fleet.assert_no_violations();
}
