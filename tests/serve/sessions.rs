//! Tests of the sessions of agents, and of leaderships, that end because of a later leader.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::JOB;
use crate::cluster::HeldPolls;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::lag::Lag;
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

/// A leader whose writes get no answer still reads new jobs. The next leader starts these at once,
/// so the first one must not.
#[test]
fn a_leader_without_confirmed_writes_starts_no_new_job() {
    let fleet = Fleet::start(1);
    let (leader, agent) = start_leader_and_agent(&fleet);
    fleet.store.drop_heartbeats(true);
    // The heartbeat counts as stale after 2 s.
    thread::sleep(Duration::from_millis(1_200));
    let path = "/q/00000000000000c4";
    assert_eq!(fleet.send(agent.customer, "POST", path, JOB).0, 200);
    wait_until("the next leader", 10_000, || {
        agent.read_log().contains("kind=lead-begun")
    });
    fleet.store.drop_heartbeats(false);
    fleet.wait_for_completion(agent.customer, "00000000000000c4", 20_000);
    let starts = |entry: &Entry| {
        let log = entry.read_log();
        log.matches("kind=start task=00000000000000c4").count()
    };
    assert_eq!(starts(&leader), 0, "{}", leader.read_log());
    assert!(starts(&agent) > 0, "{}", agent.read_log());
    fleet.assert_no_violations();
}

/// The messages that a leader sent before it died wait in the connection of a suspended agent. They
/// are no sign that it lives when the agent reads them.
#[test]
fn a_resumed_agent_renews_no_lease_because_of_messages_from_before_its_suspension() {
    let fleet = Fleet::start(1);
    let (mut leader, agent) = start_leader_and_agent(&fleet);
    let epoch = {
        let cluster = fleet.cluster();
        cluster.workers["i-0"].fencing_token
    };
    agent.signal("-STOP");
    thread::sleep(Duration::from_millis(1_000));
    leader.signal("-KILL");
    leader.wait();
    // Leaders count on the last renewal within 3 s of the last contact.
    thread::sleep(Duration::from_millis(3_500));
    let resumed_at = Instant::now();
    agent.signal("-CONT");
    wait_until("the next leader", 10_000, || {
        agent.read_log().contains("kind=worker-known")
    });
    let cluster = fleet.cluster();
    let renewed_at = cluster.renewed_at[&epoch];
    let log = agent.read_log();
    assert!(
        renewed_at < resumed_at,
        "the lease was renewed for the dead leader {:?} after the agent was resumed: {log}",
        renewed_at - resumed_at
    );
}

/// Once the store may show that there is no leader, any entry may take the lead at once, so the one
/// that resigns must not start anything, although it has led for certain a moment ago.
#[test]
fn a_leader_that_resigns_starts_nothing_although_the_answer_of_the_store_is_lost() {
    let fleet = Fleet::start(1);
    let (leader, agent) = start_leader_and_agent(&fleet);
    fleet.store.lose_next_record_answer();
    leader.signal("-TERM");
    wait_until("the resignation", 5_000, || {
        fleet.store.has_lost_record_answer()
    });
    let job = "00000000000000c4";
    let path = format!("/q/{job}");
    assert_eq!(fleet.send(agent.customer, "POST", &path, JOB).0, 200);
    fleet.wait_for_completion(agent.customer, job, 20_000);
    let log = leader.read_log();
    let started = log
        .lines()
        .find(|line| line.contains("kind=start ") && line.contains(job));
    assert_eq!(started, None);
    fleet.assert_no_violations();
}

/// What a leader sent before it died may reach its agent seconds later, without a gap that the agent
/// could notice. The next leader counts on the last renewal within 3 s of the death.
#[test]
fn an_agent_renews_no_lease_for_long_because_of_delayed_messages() {
    const DELAY: Duration = Duration::from_millis(5_000);
    let fleet = Fleet::start(1);
    let mut leader = start(&fleet, &["a"]).remove(0);
    wait_until("the first leader", 5_000, || {
        leader.read_log().contains("kind=worker-known")
    });
    let lag = Lag::start(&fleet.spawner, leader.peer);
    let (real, shown) = (leader.peer.to_string(), lag.address.to_string());
    fleet.store.replace("lead", "record", &real, &shown);
    let agent = start(&fleet, &["b"]).remove(0);
    wait_until("the agent", 5_000, || {
        agent.read_log().contains("kind=watch-begun")
    });
    lag.grow(DELAY);
    thread::sleep(DELAY);
    let epoch = fleet.cluster().workers["i-0"].fencing_token;
    leader.signal("-KILL");
    leader.wait();
    let killed_at = Instant::now();
    // What was under way has been delivered by the end of this sleep.
    thread::sleep(DELAY + Duration::from_millis(3_500));
    let cluster = fleet.cluster();
    let renewed_at = cluster.renewed_at[&epoch];
    let log = agent.read_log();
    assert!(
        renewed_at < killed_at + Duration::from_millis(3_000),
        "the lease was renewed for the dead leader {:?} after its death: {log}",
        renewed_at - killed_at
    );
}

/// A worker that restarts while its agent is suspended fails no poll of it, and the ends of its next
/// life have the same numbers as those that the leader has acknowledged.
#[test]
fn a_resumed_agent_acknowledges_no_ends_of_the_next_life_of_its_worker() {
    let fleet = Fleet::start(1);
    let (leader, agent) = start_leader_and_agent(&fleet);
    let job = "00000000000000c5";
    fleet.submit(leader.customer, job, JOB);
    fleet.wait_for_completion(leader.customer, job, 10_000);
    wait_until("the acknowledgement", 5_000, || {
        fleet.cluster().workers["i-0"].ends.is_empty()
    });
    agent.signal("-STOP");
    // The worker answers the poll that is under way before it restarts.
    thread::sleep(Duration::from_millis(1_000));
    fleet.restart("i-0");
    // An agent that has been out of contact for 3 s does not poll.
    thread::sleep(Duration::from_millis(1_200));
    agent.signal("-CONT");
    thread::sleep(Duration::from_millis(1_500));
    fleet.assert_no_violations();
}
