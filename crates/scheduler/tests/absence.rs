//! Tests of what a leader and its agents may conclude from an answer that is missing, old or meant
//! for something else.

mod common;
mod echo;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::agent::Lease;
use scheduler::election;
use scheduler::election::Record;
use scheduler::election::View;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Step;
use scheduler::id::Task;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::LEADER_CONTACT_TIMEOUT;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::End;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::spec;

const EPOCH: Epoch = Epoch(17);
/// The version of a job's row that was written after the leader took over.
const NEW_ROW: u64 = 30;
const NEXT_INCARNATION: Ms = Ms(78);
/// The leader begins hours after its VM.
const BEGUN: Ms = Ms(40_000_000);

fn unregistered(worker: &str) -> Event {
    Event::RegistrationChanged(name(worker), None)
}

fn registered(worker: &str) -> Event {
    Event::RegistrationChanged(name(worker), Some(registration("d1")))
}

/// Returns a job of one task.
fn accepted(job: u64, row: u64) -> Event {
    let accepted = common::accepted_job(vec![spec::Step {
        count: 1,
        estimate: Ms(500),
        ..spec::Step::default()
    }]);
    Event::Accepted(Job(job), row, accepted, None)
}

fn observation(worker: &str, incarnation: Ms, polled_at: Ms) -> Observation {
    Observation {
        worker: name(worker),
        incarnation,
        polled_at,
        running: Some(Vec::new()),
        ended: Vec::new(),
    }
}

/// Returns an observation of the end of a run as the first one of its worker.
fn ended(start: &Start, termination: Termination) -> Observation {
    let end = End {
        number: 1,
        task: start.task,
        run: start.run,
        termination,
        checkpoint: None,
    };
    Observation {
        ended: vec![end],
        ..observation(&start.worker, INCARNATION, BEGUN)
    }
}

fn polled(agent: &str, worker: &str) -> Event {
    let report = Report::Polled(observation(worker, INCARNATION, BEGUN));
    Event::Received(name(agent), report)
}

/// A leader with the agent `e1` that has read the rows of the store.
struct Fixture {
    leader: Leader,
    /// The workers in the fleet that the leader wrote last.
    stored: Vec<Name>,
    /// The numbers up to which ends were acknowledged last, by worker.
    acknowledged: BTreeMap<Name, u64>,
}

impl Fixture {
    fn begin() -> Self {
        let mut fixture = Self {
            leader: Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN),
            stored: Vec::new(),
            acknowledged: BTreeMap::new(),
        };
        let events = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e1"), name("d1")),
            Event::Recovered,
        ];
        fixture.apply(Ms(0), events);
        fixture
    }

    /// Passes events and a tick to the leader this long after it began, and returns the starts that
    /// it orders. The store confirms that it leads.
    fn apply(&mut self, after: Ms, events: Vec<Event>) -> Vec<Start> {
        let now = BEGUN + after;
        self.leader.handle(now, Event::LeadConfirmed(now));
        self.apply_unconfirmed(after, events)
    }

    /// Does the same while the store confirms no write of the leader.
    fn apply_unconfirmed(&mut self, after: Ms, events: Vec<Event>) -> Vec<Start> {
        let now = BEGUN + after;
        let mut actions = Vec::new();
        for event in events {
            actions.extend(self.leader.handle(now, event));
        }
        actions.extend(echo::tick(&mut self.leader, now));
        actions.extend(self.leader.schedule(now));
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Send(_, Order::Start(start)) => starts.push(start),
                Action::Send(_, Order::Watch(watch)) => {
                    let (_, number) = watch.acknowledged.unwrap_or_default();
                    self.acknowledged.insert(watch.worker, number);
                }
                Action::Commit(commit) => {
                    if let Some(fleet) = commit.fleet {
                        self.stored = fleet.into_iter().map(|member| member.worker).collect();
                    }
                }
                _ => {}
            }
        }
        starts
    }
}

#[test]
fn a_start_that_the_next_life_of_a_worker_answered_is_not_lost_with_the_life_before() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w"), registered("w2")]);
    let known = vec![
        Event::Committed,
        polled("e1", "w"),
        polled("e1", "w2"),
        accepted(1, NEW_ROW),
    ];
    let starts = fixture.apply(Ms(20), known);
    let [start] = &starts[..] else {
        panic!("{starts:?}");
    };
    // The worker has restarted under its name, lists nothing, and then carries out the order. The
    // answer to the order overtakes that to the poll.
    let list = observation(&start.worker, NEXT_INCARNATION, BEGUN + Ms(25));
    let answers = vec![
        Event::Received(
            name("e1"),
            Report::Started(start.placement(), Outcome::Done),
        ),
        Event::Received(name("e1"), Report::Polled(list)),
    ];
    assert_eq!(fixture.apply(Ms(30), answers), []);
}

/// The next leader would not poll it, and take the tasks for unfinished.
#[test]
fn a_worker_with_ends_that_are_not_durable_stays_in_the_stored_fleet() {
    // More than one write can hold.
    const JOBS: u64 = 60;
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    let jobs = (0..JOBS).map(|job| accepted(job, NEW_ROW)).collect();
    let mut starts = fixture.apply(Ms(30), jobs);
    for round in 1..10 {
        starts.extend(fixture.apply(Ms(30 + round), Vec::new()));
    }
    assert_eq!(starts.len() as u64, JOBS);
    let ends = (1..).zip(&starts).map(|(number, start)| {
        let mut end = ended(start, Termination::Done).ended.remove(0);
        end.number = number;
        end
    });
    let observation = Observation {
        ended: ends.collect(),
        ..observation("w", INCARNATION, BEGUN + Ms(40))
    };
    let ended = Event::Received(name("e1"), Report::Polled(observation));
    fixture.apply(Ms(50), vec![ended, unregistered("w")]);
    assert_eq!(fixture.stored, [name("w")]);
    fixture.apply(Ms(60), vec![Event::Committed]);
    assert_eq!(fixture.stored, [name("w")]);
    assert_eq!(fixture.acknowledged[&name("w")], 45);
}

#[test]
fn no_task_starts_on_a_worker_that_an_unconfirmed_write_removed_from_the_stored_fleet() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    // Its registration expires while the store is away. The store carries out the write of the
    // fleet without the worker but does not confirm it.
    fixture.apply(Ms(100), vec![unregistered("w")]);
    assert_eq!(fixture.stored, []);
    fixture.apply(Ms(1_600), vec![Event::CommitUnconfirmed, registered("w")]);
    fixture.apply(Ms(1_800), vec![polled("e1", "w")]);
    let starts = fixture.apply(Ms(1_810), vec![accepted(1, NEW_ROW)]);
    // Another leader would not know that the worker may have runs of this one.
    assert!(
        starts.is_empty() || fixture.stored == [name("w")],
        "{starts:?}, stored: {:?}",
        fixture.stored
    );
    let starts = fixture.apply(Ms(1_850), vec![Event::Committed]);
    assert_eq!(fixture.stored, [name("w")]);
    assert_eq!(starts.len(), 1);
}

#[test]
fn no_task_starts_on_a_worker_that_a_write_in_progress_removes_from_the_stored_fleet() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    fixture.apply(Ms(100), vec![unregistered("w")]);
    fixture.apply(Ms(110), vec![registered("w")]);
    fixture.apply(Ms(120), vec![polled("e1", "w")]);
    let starts = fixture.apply(Ms(130), vec![accepted(1, NEW_ROW)]);
    assert_eq!((starts, &fixture.stored[..]), (Vec::new(), &[][..]));
    // The next write lists the worker again.
    assert_eq!(fixture.apply(Ms(170), vec![Event::Committed]), []);
    assert_eq!(fixture.stored, [name("w")]);
    assert_eq!(fixture.apply(Ms(210), vec![Event::Committed]).len(), 1);
}

#[test]
fn a_completed_job_whose_rows_are_not_removed_yet_does_not_run_again() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    let starts = fixture.apply(Ms(30), vec![accepted(1, NEW_ROW)]);
    let [start] = &starts[..] else {
        panic!("{starts:?}");
    };
    let done = Event::Received(name("e1"), Report::Polled(ended(start, Termination::Done)));
    fixture.apply(Ms(900), vec![done]);
    fixture.apply(Ms(910), vec![Event::Committed]);
    // The time to keep the job passes, and the write that removes its rows is under way when the
    // store, which has discarded its history, is read anew.
    let over = Ms(900) + BOUNDS.retention + Ms(100);
    fixture.apply(over, vec![polled("e1", "w")]);
    let again = fixture.apply(over + Ms(100), vec![accepted(1, NEW_ROW)]);
    assert_eq!(again, []);
    let unconfirmed = vec![Event::CommitUnconfirmed, accepted(1, NEW_ROW)];
    assert_eq!(fixture.apply(over + Ms(1_600), unconfirmed), []);
    fixture.apply(over + Ms(1_800), vec![Event::Committed]);
    // The read may be older than the removal.
    let again = fixture.apply(over + Ms(1_900), vec![accepted(1, NEW_ROW)]);
    assert_eq!(again, []);
    let newer = vec![accepted(1, NEW_ROW + 50)];
    assert_eq!(fixture.apply(over + Ms(2_000), newer).len(), 1);
}

#[test]
fn a_lease_outlasts_a_change_of_agents_that_the_first_agent_does_not_learn() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(5), vec![Event::Left(name("e1"))]);
    fixture.apply(
        Ms(10),
        vec![Event::Joined(name("e1"), name("d2")), registered("w")],
    );
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    let starts = fixture.apply(Ms(30), vec![accepted(1, NEW_ROW)]);
    assert_eq!(starts.len(), 1);
    fixture.apply(Ms(40), vec![registered("w2")]);
    // From here on the first agent hears nothing more. It does not learn that an agent in the domain
    // of the worker takes over, and renews the lease for 3 s.
    let handover = Ms(60_000);
    let events = vec![
        Event::Committed,
        polled("e1", "w"),
        Event::Joined(name("e2"), name("d1")),
    ];
    fixture.apply(handover, events);
    fixture.apply(handover + Ms(1_400), vec![Event::Left(name("e1"))]);
    let lease_end = LEADER_CONTACT_TIMEOUT + BOUNDS.lease + Ms(BOUNDS.lease.0 * 2 / 100);
    let mut starts = Vec::new();
    for round in 1.. {
        let after = Ms(round * 700);
        if after >= lease_end {
            break;
        }
        let failure = Failure {
            worker: name("w"),
            renewal_age: after,
            is_closed: false,
        };
        let failed = Event::Received(name("e2"), Report::PollFailed(failure));
        starts.extend(fixture.apply(handover + after, vec![polled("e2", "w2"), failed]));
    }
    assert_eq!(starts, []);
    let over = handover + lease_end + Ms(500);
    assert_eq!(fixture.apply(over, vec![polled("e2", "w2")]).len(), 1);
}

#[test]
fn no_end_is_acknowledged_to_a_worker_that_may_have_restarted_since_its_last_answer() {
    let mut lease = Lease::new(BOUNDS.lease, BEGUN);
    let acknowledged = Some((INCARNATION, 50));
    lease.record_answer(BEGUN, Ms(1_000), INCARNATION);
    assert_eq!(lease.acknowledged(BEGUN, acknowledged), 50);
    // The worker has lost its power with this poll. The next poll may be the first one of its next
    // life, which counts its ends anew.
    lease.record_failure(BEGUN + Ms(100));
    assert_eq!(lease.acknowledged(BEGUN + Ms(100), acknowledged), 0);
    let answered = BEGUN + Ms(200);
    lease.record_answer(answered, Ms(1_200), INCARNATION);
    assert_eq!(lease.acknowledged(answered, acknowledged), 50);
}

#[test]
fn a_leader_that_may_have_been_replaced_counts_no_lease_as_expired() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    let starts = fixture.apply(Ms(30), vec![accepted(1, NEW_ROW)]);
    assert_eq!(starts.len(), 1);
    fixture.apply(Ms(40), vec![registered("w2")]);
    fixture.apply(Ms(20_000), vec![Event::Committed, polled("e1", "w")]);
    // From here on the leader and its agent reach neither the store nor the worker. Another leader
    // may have renewed the lease.
    for round in 1..=30 {
        let age = Ms(round * 500);
        let failure = Failure {
            worker: name("w"),
            renewal_age: age,
            is_closed: false,
        };
        let failed = Event::Received(name("e1"), Report::PollFailed(failure));
        let events = vec![polled("e1", "w2"), failed];
        assert_eq!(fixture.apply_unconfirmed(Ms(20_000) + age, events), []);
    }
    // No other entry had taken the lead by now, so nobody has.
    let starts = fixture.apply(Ms(36_000), vec![polled("e1", "w2")]);
    assert_eq!(starts.len(), 1);
}

#[test]
fn a_run_whose_end_is_beyond_a_full_list_of_ends_does_not_start_again() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    let starts = fixture.apply(Ms(30), vec![accepted(1, NEW_ROW)]);
    let [start] = &starts[..] else {
        panic!("{starts:?}");
    };
    let running = Running {
        task: start.task,
        run: start.run,
        checkpoint: None,
        percent: 0,
        measurement: 0,
    };
    let listed = Observation {
        running: Some(vec![running]),
        ..observation("w", INCARNATION, BEGUN)
    };
    fixture.apply(
        Ms(40),
        vec![Event::Received(name("e1"), Report::Polled(listed))],
    );
    // The worker lists 500 ends at a time. The store confirms no write, so none is acknowledged.
    let end = |number: u64| End {
        number,
        task: Task {
            step: Step {
                job: Job(1_000 + number),
                ..start.task.step
            },
            index: 0,
        },
        run: Run(number),
        termination: Termination::Done,
        checkpoint: None,
    };
    for round in 0..12 {
        let after = Ms(900 + round * 800);
        let full = Observation {
            ended: (1..=500).map(end).collect(),
            ..observation("w", INCARNATION, BEGUN + after)
        };
        let stopped = Report::Stopped(start.placement(), Outcome::Done, BEGUN + Ms(after.0 - 1));
        let events = [stopped, Report::Polled(full)];
        let events = events.map(|report| Event::Received(name("e1"), report));
        assert_eq!(fixture.apply(after, events.into()), []);
    }
}

#[test]
fn a_new_job_is_not_started_by_two_leaders_if_the_first_one_refused_connections() {
    // An entry whose connections the leader's address refused twice reads its record and a recent
    // heartbeat.
    let record = Record {
        entry: Some(name("e0")),
        instance: 1,
        address: Arc::from("10.0.0.1:7720"),
    };
    let view = View {
        record: Some((EPOCH, record)),
        heartbeat_age: Some(Ms(100)),
        unchanged: Ms::ZERO,
        is_vacant: true,
    };
    let takes_over = election::should_campaign(&view, &name("e1"), 1);
    // The first leader is alive: a write that it sent 100 ms before was confirmed.
    let mut first = Fixture::begin();
    first.apply(Ms(10), vec![registered("w")]);
    first.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    first.apply(Ms(10_000), vec![polled("e1", "w")]);
    // The second one has not heard the worker of the first one yet.
    let member = |worker| Member {
        worker: name(worker),
        address: Arc::from("10.0.0.1:1"),
        domain: name("d1"),
    };
    let mut second = Fixture {
        leader: Leader::new(name("e1"), Epoch(20), BOUNDS, BEGUN + Ms(10_100)),
        stored: Vec::new(),
        acknowledged: BTreeMap::new(),
    };
    let events = vec![
        Event::Config(Arc::new(config())),
        Event::Fleet(vec![member("w"), member("w2")]),
        Event::Joined(name("e1"), name("d1")),
        Event::Recovered,
        registered("w"),
        registered("w2"),
        polled("e1", "w2"),
    ];
    second.apply(Ms(10_100), events);
    // Both read the row of a job that was written after the takeover.
    let mut starts = first.apply_unconfirmed(Ms(10_200), vec![accepted(1, NEW_ROW)]);
    starts.extend(second.apply(Ms(10_200), vec![accepted(1, NEW_ROW)]));
    assert!(!takes_over || starts.len() == 1, "{starts:?}");
}

#[test]
fn a_member_of_a_gang_does_not_start_again_while_another_one_holds_the_run_before() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w")]);
    fixture.apply(Ms(20), vec![Event::Committed, polled("e1", "w")]);
    let Event::Accepted(id, row, mut gang, progress) = accepted(1, NEW_ROW) else {
        unreachable!("the event is an accepted job");
    };
    gang.spec.steps[0].count = 2;
    gang.spec.steps[0].is_gang = true;
    let starts = fixture.apply(Ms(30), vec![Event::Accepted(id, row, gang, progress)]);
    let [first, second] = &starts[..] else {
        panic!("{starts:?}");
    };
    // One member is refused; the order of the other one is answered late or never.
    let refused = Report::Started(first.placement(), Outcome::Unsent);
    fixture.apply(Ms(40), vec![Event::Received(name("e1"), refused)]);
    let mut started = Vec::new();
    for round in 1..10 {
        let after = Ms(40 + round * 100);
        started.extend(fixture.apply(after, Vec::new()));
    }
    let unknown = Report::Started(second.placement(), Outcome::Unknown);
    started.extend(fixture.apply(Ms(1_000), vec![Event::Received(name("e1"), unknown)]));
    assert_eq!(started, []);
}

#[test]
fn a_failed_run_of_a_job_whose_own_failure_is_not_durable_is_not_acknowledged() {
    let mut fixture = Fixture::begin();
    fixture.apply(Ms(10), vec![registered("w"), registered("w2")]);
    let known = vec![Event::Committed, polled("e1", "w"), polled("e1", "w2")];
    fixture.apply(Ms(20), known);
    let Event::Accepted(id, row, mut job, progress) = accepted(1, NEW_ROW) else {
        unreachable!("the event is an accepted job");
    };
    job.spec.steps[0].count = 2;
    job.spec.steps[0].per_worker = Some(1);
    let mut starts = fixture.apply(Ms(30), vec![Event::Accepted(id, row, job, progress)]);
    starts.sort_by_key(|start| start.task.index);
    let [mut first, second] = <[Start; 2]>::try_from(starts).expect("both tasks start");
    // The first task fails as often as it may.
    for number in 1..=3 {
        let mut observation = ended(&first, Termination::Failed);
        observation.ended[0].number = number;
        let failed = Event::Received(name("e1"), Report::Polled(observation));
        let after = Ms(1_000 * number);
        if number == 3 {
            fixture.apply(after, vec![failed]);
        } else {
            let again = fixture.apply(after, vec![failed]);
            first = again.into_iter().next().expect("the task starts again");
            fixture.apply(after + Ms(50), Vec::new());
            fixture.apply(after + Ms(100), vec![Event::Committed]);
        }
    }
    // The store has not confirmed that the job has failed when a run of the second task fails. The
    // next leader may find neither.
    let failed = ended(&second, Termination::Failed);
    fixture.apply(
        Ms(3_010),
        vec![Event::Received(name("e1"), Report::Polled(failed))],
    );
    assert_eq!(fixture.acknowledged[&second.worker], 0);
    fixture.apply(Ms(3_100), vec![Event::Committed]);
    fixture.apply(Ms(3_200), vec![Event::Committed]);
    assert_eq!(fixture.acknowledged[&second.worker], 1);
}
