//! Tests of a new leader before every worker of the earlier leaders has answered it.

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
use scheduler::agent::Lease;
use scheduler::counts::Counts;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Member;
use scheduler::message::End;
use scheduler::message::Failure;
use scheduler::message::Heartbeat;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::progress::Outcome;
use scheduler::progress::Progress;
use scheduler::progress::Stage;
use scheduler::spec;

/// The leader begins hours after its VM.
const BEGUN: Ms = Ms(40_000_000);
const EPOCH: Epoch = Epoch(17);
/// The version of a job's row that an earlier leader has read.
const OLD_ROW: u64 = 5;
/// The version of a job's row that was written after this leader took over.
const NEW_ROW: u64 = 30;
/// The run of an earlier leader.
const OLD_RUN: Run = Run(9);
/// The time after the takeover at which no lease of earlier leaders can last.
const LEASES_OVER: Ms = Ms(9_600);

fn task(job: u64, step: u16) -> Task {
    let step = id::Step {
        job: Job(job),
        occurrence: 0,
        step,
    };
    Task { step, index: 0 }
}

/// Returns a job of single tasks, each after the one before it.
fn accepted(job: u64, row: u64, steps: u16) -> Event {
    let steps = (0..steps).map(|step| spec::Step {
        count: 1,
        estimate: Ms(500),
        after: step.checked_sub(1).into_iter().collect(),
        ..spec::Step::default()
    });
    let accepted = common::accepted_job(steps.collect());
    Event::Accepted(Job(job), row, accepted, None)
}

fn registered(worker: &str) -> Event {
    Event::RegistrationChanged(name(worker), Some(registration("d1")))
}

fn observation(worker: &str, running: &[Task]) -> Observation {
    let running = running.iter().map(|&task| Running {
        task,
        run: OLD_RUN,
        checkpoint: None,
        percent: 0,
        measurement: 0,
    });
    Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(running.collect()),
        ended: Vec::new(),
    }
}

fn polled(worker: &str, running: &[Task]) -> Event {
    received(Report::Polled(observation(worker, running)))
}

fn completed(worker: &str, task: Task) -> Event {
    ended(worker, task, Termination::Done)
}

fn ended(worker: &str, task: Task, termination: Termination) -> Event {
    let end = End {
        number: 1,
        task,
        run: OLD_RUN,
        termination,
        checkpoint: None,
    };
    received(Report::Polled(Observation {
        ended: vec![end],
        ..observation(worker, &[])
    }))
}

/// Returns the event that the store lists both workers.
fn fleet() -> Event {
    let member = |worker| Member {
        worker: name(worker),
        address: Arc::from("10.0.0.1:1"),
        domain: name("d1"),
    };
    Event::Fleet(vec![member("silent"), member("sound")])
}

fn failed(worker: &str, renewal_age: Ms) -> Event {
    received(Report::PollFailed(Failure {
        worker: name(worker),
        renewal_age,
        is_closed: false,
    }))
}

fn received(report: Report) -> Event {
    Event::Received(name("e1"), report)
}

/// A leader that has just taken over two workers, `silent` and `sound`, with one agent.
struct Takeover {
    leader: Leader,
}

impl Takeover {
    /// Begins with these jobs in the store. The agent remembers these tasks as runs on `silent`.
    fn begin(jobs: Vec<Event>, remembered: &[Task]) -> Self {
        let placements = remembered.iter().map(|&task| Placement {
            worker: name("silent"),
            incarnation: INCARNATION,
            task,
            run: OLD_RUN,
        });
        let hello = Hello {
            entry: name("e1"),
            domain: name("d1"),
            epoch: EPOCH,
            known: vec![(name("silent"), Ms(500), placements.collect())],
        };
        let mut events = vec![
            Event::Config(Arc::new(config())),
            fleet(),
            received(Report::Hello(hello)),
            Event::Joined(name("e1"), name("d1")),
        ];
        events.extend(jobs);
        events.extend([Event::Recovered, registered("silent"), registered("sound")]);
        let mut takeover = Self {
            leader: Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN),
        };
        takeover.apply(Ms(0), events);
        takeover
    }

    /// Passes events and a tick to the leader this long after the takeover, and returns the tasks
    /// that it starts.
    fn apply(&mut self, after: Ms, events: Vec<Event>) -> Vec<Task> {
        self.leader
            .handle(BEGUN + after, Event::LeadConfirmed(BEGUN + after));
        self.apply_unconfirmed(after, events)
    }

    /// Does the same while the store confirms no write of the leader.
    fn apply_unconfirmed(&mut self, after: Ms, events: Vec<Event>) -> Vec<Task> {
        let now = BEGUN + after;
        let mut actions = Vec::new();
        for event in events {
            actions.extend(self.leader.handle(now, event));
        }
        actions.extend(echo::tick(&mut self.leader, now));
        actions.extend(self.leader.schedule(now));
        let starts = actions.into_iter().filter_map(|action| match action {
            Action::Send(_, Order::Start(Start { task, .. })) => Some(task),
            _ => None,
        });
        starts.collect()
    }
}

#[test]
fn a_leader_that_has_not_read_all_jobs_reports_no_count_of_them() {
    let mut leader = Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN);
    leader.handle(BEGUN, Event::Config(Arc::new(config())));
    assert_eq!(leader.heartbeat(Ms::ZERO).waiting, []);
    leader.handle(BEGUN, accepted(1, OLD_ROW, 1));
    assert_eq!(leader.heartbeat(Ms::ZERO).waiting, []);
    leader.handle(BEGUN, Event::Recovered);
    let counts = leader.heartbeat(Ms::ZERO).waiting;
    assert_eq!(counts.iter().map(|(_, count)| count).sum::<u32>(), 1);
}

/// The same row can be read again after the store discarded the history of the table of jobs.
#[test]
fn a_job_that_was_read_before_its_rows_were_removed_does_not_run_again() {
    let done = |event| match event {
        Event::Accepted(job, row, accepted, _) => {
            let progress = Progress {
                has_started: true,
                ended: Some((Outcome::Completed, BEGUN)),
                finished_occurrences: 1,
                steps: BTreeMap::new(),
            };
            Event::Accepted(job, row, accepted, Some(progress))
        }
        other => other,
    };
    let both = || vec![polled("silent", &[]), polled("sound", &[])];
    let mut takeover = Takeover::begin(vec![done(accepted(1, OLD_ROW, 1))], &[]);
    assert_eq!(takeover.apply(Ms(10), both()), []);
    let later = BOUNDS.retention + Ms(1_000);
    assert_eq!(takeover.apply(later, both()), []);
    let again = vec![accepted(1, OLD_ROW, 1)];
    assert_eq!(takeover.apply(later + Ms(100), again), []);
    let submitted_again = vec![accepted(1, NEW_ROW, 1)];
    let starts = takeover.apply(later + Ms(200), submitted_again);
    assert_eq!(starts, [task(1, 0)]);
}

#[test]
fn a_run_survives_a_failed_poll_by_an_agent_that_never_renewed_its_lease() {
    let mut takeover = Takeover::begin(vec![accepted(1, OLD_ROW, 1)], &[task(1, 0)]);
    let mut lease = Lease::new(BOUNDS.lease, BEGUN);
    let mut fail = |after: Ms| failed("silent", lease.record_failure(BEGUN + after));
    let mut starts = takeover.apply(Ms(10), vec![polled("sound", &[])]);
    starts.extend(takeover.apply(Ms(1_400), vec![fail(Ms(1_400))]));
    starts.extend(takeover.apply(Ms(2_200), vec![polled("silent", &[task(1, 0)])]));
    // This poll was sent before the one that was answered.
    starts.extend(takeover.apply(Ms(2_300), vec![fail(Ms(2_300))]));
    starts.extend(takeover.apply(Ms(2_400), Vec::new()));
    assert_eq!(starts, []);
}

#[test]
fn a_task_of_a_dead_agent_does_not_start_elsewhere_while_its_worker_may_still_run_it() {
    // The agent was not the last one of the worker and remembers nothing of the task.
    let mut takeover = Takeover::begin(vec![accepted(1, OLD_ROW, 1)], &[]);
    let mut starts = takeover.apply(Ms(10), vec![polled("sound", &[])]);
    for round in 1..10 {
        let after = Ms(round * 900);
        starts.extend(takeover.apply(after, vec![failed("silent", after)]));
    }
    assert_eq!(starts, []);
    assert_eq!(takeover.apply(LEASES_OVER, Vec::new()), [task(1, 0)]);
}

#[test]
fn a_silent_worker_does_not_hold_back_tasks_that_cannot_run_there() {
    let jobs = vec![accepted(1, OLD_ROW, 2), accepted(2, NEW_ROW, 1)];
    let mut takeover = Takeover::begin(jobs, &[]);
    let first = polled("sound", &[task(1, 0)]);
    assert_eq!(takeover.apply(Ms(40), vec![first]), [task(2, 0)]);
    let second = completed("sound", task(1, 0));
    assert_eq!(takeover.apply(Ms(300), vec![second]), [task(1, 1)]);
}

#[test]
fn a_task_whose_run_was_seen_to_end_starts_again_while_another_worker_is_silent() {
    let cases = [(Vec::new(), vec![]), (vec![task(1, 0)], vec![task(1, 0)])];
    for (seen, started) in cases {
        let mut takeover = Takeover::begin(vec![accepted(1, OLD_ROW, 1)], &[]);
        assert_eq!(takeover.apply(Ms(40), vec![polled("sound", &seen)]), []);
        let end = ended("sound", task(1, 0), Termination::Failed);
        assert_eq!(takeover.apply(Ms(300), vec![end]), started, "{seen:?}");
    }
}

#[test]
fn a_job_that_a_later_leader_may_start_too_waits_until_the_lead_is_confirmed() {
    // The time of the last confirmed write before the job, and whether the job starts at once.
    for (confirmed, is_certain) in [
        (None, false),
        (Some(Ms(1_000)), false),
        (Some(Ms(1_800)), true),
    ] {
        let mut takeover = Takeover::begin(Vec::new(), &[]);
        let known = vec![polled("sound", &[]), polled("silent", &[])];
        takeover.apply_unconfirmed(Ms(10), known);
        if let Some(sent) = confirmed {
            takeover.apply(sent, Vec::new());
        }
        let job = vec![accepted(1, NEW_ROW, 1)];
        let started = takeover.apply_unconfirmed(Ms(2_000), job);
        assert_eq!(!started.is_empty(), is_certain, "{confirmed:?}");
        let later = takeover.apply_unconfirmed(Ms(9_000), Vec::new());
        assert_eq!(later, [], "{confirmed:?}");
        let confirmed_later = takeover.apply(Ms(9_500), Vec::new());
        assert_eq!(confirmed_later.is_empty(), is_certain, "{confirmed:?}");
    }
}

/// A later leader that sees the second run end would take it for the only one, and the next step for
/// one that no earlier leader can have started.
#[test]
fn a_step_waits_for_second_runs_of_the_completed_tasks_before_it() {
    let mut takeover = Takeover::begin(vec![accepted(1, OLD_ROW, 2)], &[]);
    let known = vec![polled("sound", &[task(1, 0)]), polled("silent", &[])];
    assert_eq!(takeover.apply(Ms(40), known), []);
    for round in 1..10 {
        let after = Ms(round * 900);
        let events = vec![failed("sound", after), polled("silent", &[])];
        assert_eq!(takeover.apply(after, events), []);
    }
    let second = takeover.apply(LEASES_OVER, Vec::new());
    assert_eq!(second, [task(1, 0)]);
    // The first run had ended before its lease did.
    let first = completed("sound", task(1, 0));
    assert_eq!(takeover.apply(LEASES_OVER + Ms(100), vec![first]), []);
    let end = End {
        number: 1,
        task: task(1, 0),
        run: Run::new(EPOCH, 1),
        termination: Termination::Stopped,
        checkpoint: None,
    };
    let second = received(Report::Polled(Observation {
        ended: vec![end],
        ..observation("silent", &[])
    }));
    let started = takeover.apply(LEASES_OVER + Ms(200), vec![second]);
    assert_eq!(started, [task(1, 1)]);
}

/// An earlier leader may have ended the job without reaching the worker.
#[test]
fn runs_of_a_job_that_ended_under_an_earlier_leader_are_stopped_at_once() {
    let Event::Accepted(id, row, job, _) = accepted(1, OLD_ROW, 1) else {
        unreachable!("the event is an accepted job");
    };
    let cancelled = Progress {
        has_started: true,
        ended: Some((Outcome::Cancelled, BEGUN)),
        ..Progress::default()
    };
    let job = Event::Accepted(id, row, job, Some(cancelled));
    let mut takeover = Takeover::begin(vec![job], &[]);
    let observed = polled("sound", &[task(1, 0)]);
    let actions = takeover.leader.handle(BEGUN + Ms(10), observed);
    let stops = actions.into_iter().filter_map(|action| match action {
        Action::Send(_, Order::Stop(placement)) => Some((placement.task, placement.run)),
        _ => None,
    });
    assert_eq!(stops.collect::<Vec<_>>(), [(task(1, 0), OLD_RUN)]);
}

#[test]
fn runs_and_ends_of_a_job_that_cannot_be_read_are_left_to_a_later_leader() {
    let mut takeover = Takeover::begin(vec![Event::Unreadable(Job(1))], &[]);
    let mut orders = Vec::new();
    for round in 0..20 {
        let now = BEGUN + Ms(round * 1_000);
        for event in [
            completed("silent", task(1, 0)),
            polled("sound", &[task(1, 1)]),
        ] {
            orders.extend(takeover.leader.handle(now, event));
        }
    }
    let is_final = |action: &Action| match action {
        Action::Send(_, Order::Stop(_)) => true,
        Action::Send(_, Order::Watch(watch)) => {
            watch.acknowledged.is_some_and(|(_, number)| number > 0)
        }
        _ => false,
    };
    orders.retain(is_final);
    assert_eq!(orders, []);
}

#[test]
fn leases_that_agents_renew_while_the_leader_reads_the_rows_do_not_lapse() {
    let mut takeover = Takeover {
        leader: Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN),
    };
    let begin = vec![
        Event::Config(Arc::new(config())),
        Event::Joined(name("e1"), name("d1")),
        registered("silent"),
        registered("sound"),
    ];
    takeover.apply(Ms(0), begin);
    let renewed = vec![polled("silent", &[task(1, 0)])];
    takeover.apply(Ms(9_000), renewed);
    takeover.apply(LEASES_OVER, Vec::new());
    // The agent that has renewed the lease is lost.
    let change = vec![
        Event::Left(name("e1")),
        Event::Joined(name("e2"), name("d1")),
    ];
    takeover.apply(LEASES_OVER + Ms(100), change);
    let rows = vec![fleet(), accepted(1, OLD_ROW, 1), Event::Recovered];
    let mut starts = takeover.apply(LEASES_OVER + Ms(400), rows);
    let other = Report::Polled(observation("sound", &[]));
    let other = Event::Received(name("e2"), other);
    starts.extend(takeover.apply(LEASES_OVER + Ms(500), vec![other]));
    starts.extend(takeover.apply(Ms(15_000), Vec::new()));
    assert_eq!(starts, []);
}

/// Returns a job of single tasks, each after the one before it, that is due this long after the
/// takeover and then each second.
fn scheduled(steps: u16, due: Ms, count: u32) -> Event {
    let Event::Accepted(id, row, mut accepted, progress) = accepted(1, OLD_ROW, steps) else {
        unreachable!("the event is an accepted job");
    };
    accepted.spec.schedule = Some(spec::Schedule {
        first: BEGUN + due,
        interval: Ms(1_000),
        count,
    });
    Event::Accepted(id, row, accepted, progress)
}

/// The clock of the leader before was ahead of the clock of this one.
#[test]
fn an_occurrence_that_an_earlier_leader_began_is_not_started_again_when_it_is_due() {
    let known = || polled("silent", &[]);
    let cases = [
        ("runs", polled("sound", &[task(1, 0)])),
        ("has ended", completed("sound", task(1, 0))),
    ];
    let started = cases.map(|(case, event)| {
        let mut takeover = Takeover::begin(vec![scheduled(1, Ms(2_000), 2)], &[]);
        let mut starts = takeover.apply(Ms(10), vec![event, known()]);
        starts.extend(takeover.apply(Ms(1_990), Vec::new()));
        starts.extend(takeover.apply(Ms(2_010), Vec::new()));
        (case, starts)
    });
    assert_eq!(started, [("runs", vec![]), ("has ended", vec![])]);
}

#[test]
fn a_step_of_an_occurrence_that_an_earlier_leader_began_waits_until_it_is_due() {
    let mut takeover = Takeover::begin(vec![scheduled(2, Ms(2_000), 2)], &[]);
    let ended = vec![completed("sound", task(1, 0)), polled("silent", &[])];
    assert_eq!(takeover.apply(Ms(10), ended), []);
    assert_eq!(takeover.apply(Ms(1_990), Vec::new()), []);
    assert_eq!(takeover.apply(Ms(2_010), Vec::new()), [task(1, 1)]);
}

#[test]
fn a_job_whose_occurrences_an_earlier_leader_began_goes_on_and_ends() {
    let mut takeover = Takeover::begin(vec![scheduled(1, Ms(2_000), 2)], &[]);
    let ended = vec![completed("sound", task(1, 0)), polled("silent", &[])];
    assert_eq!(takeover.apply(Ms(10), ended), []);
    assert_eq!(takeover.apply(Ms(2_010), Vec::new()), []);
    let mut second = task(1, 0);
    second.step.occurrence = 1;
    assert_eq!(takeover.apply(Ms(3_010), Vec::new()), [second]);

    let mut takeover = Takeover::begin(vec![scheduled(1, Ms(2_000), 1)], &[]);
    let ended = vec![completed("sound", task(1, 0)), polled("silent", &[])];
    assert_eq!(takeover.apply(Ms(10), ended), []);
    takeover.apply(Ms(100), vec![Event::Committed]);
    takeover.apply(Ms(200), vec![Event::Committed]);
    let ended = Some(Stage::Ended(Outcome::Completed));
    assert_eq!(takeover.leader.stage(Job(1)), ended);
}

/// A leader that has read no jobs yet does not know that none wait, and one that the store does not
/// serve does not learn of new ones.
#[test]
fn the_counts_of_waiting_jobs_outlast_a_change_of_the_leader() {
    let mut leader = Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN);
    leader.handle(BEGUN, Event::Config(Arc::new(config())));
    leader.handle(BEGUN, accepted(1, OLD_ROW, 1));
    let unread = leader.heartbeat(Ms::ZERO);
    leader.handle(BEGUN, Event::Recovered);
    let read = leader.heartbeat(Ms::ZERO);
    let earlier = Heartbeat {
        waiting: vec![(name("queue"), 7)],
        ..Heartbeat::default()
    };
    let unserved = Heartbeat {
        store_age: Ms(3_000),
        ..earlier.clone()
    };
    let none = Heartbeat::default;
    // Two heartbeats, the second 1 s after the first, and the age of the second.
    let cases = [
        (none(), unread.clone(), Ms::ZERO, None),
        (earlier.clone(), unread.clone(), Ms::ZERO, Some(7)),
        (earlier.clone(), unread.clone(), Ms(3_000), Some(7)),
        (earlier.clone(), unread.clone(), Ms(3_001), None),
        (earlier, read, Ms(4_000), Some(1)),
        (none(), unserved.clone(), Ms(1_000), Some(7)),
        (none(), unserved, Ms(1_001), None),
    ];
    for (first, second, age, count) in cases {
        let mut counts = Counts::default();
        counts.update(BEGUN, &first);
        counts.update(BEGUN + Ms(1_000), &second);
        let now = BEGUN + Ms(1_000) + age;
        assert_eq!(
            counts.waiting_in(now, "queue"),
            count,
            "{first:?} {second:?}"
        );
    }
}

/// The queues of an operator with many customers fill the heartbeats to all agents otherwise.
#[test]
fn heartbeats_count_only_the_queues_in_which_jobs_wait() {
    let mut config = config();
    let mut queue = config.queues[0].clone();
    queue.name = name("idle");
    config.queues.push(queue);
    let mut leader = Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN);
    leader.handle(BEGUN, Event::Config(Arc::new(config)));
    leader.handle(BEGUN, Event::Recovered);
    let mut counts = Counts::default();
    counts.update(BEGUN, &leader.heartbeat(Ms::ZERO));
    assert_eq!(counts.waiting_in(BEGUN, "queue"), Some(0));
    leader.handle(BEGUN, accepted(1, OLD_ROW, 1));
    let heartbeat = leader.heartbeat(Ms::ZERO);
    assert_eq!(heartbeat.waiting, [(name("queue"), 1)]);
    counts.update(BEGUN, &heartbeat);
    assert_eq!(counts.waiting_in(BEGUN, "idle"), Some(0));
}

/// A worker that had more unacknowledged ends than it lists counted as known, and a task whose end
/// it did not list yet was started again.
#[test]
fn a_worker_is_not_known_by_a_full_list_of_ends() {
    let mut takeover = Takeover::begin(vec![accepted(1, OLD_ROW, 1)], &[]);
    let listed = |ends: Vec<End>| {
        received(Report::Polled(Observation {
            ended: ends,
            ..observation("silent", &[])
        }))
    };
    let other = |number| End {
        number,
        task: task(1_000 + number, 0),
        run: Run(number),
        termination: Termination::Stopped,
        checkpoint: None,
    };
    let full = || listed((1..=500).map(other).collect());
    let mut started = takeover.apply(Ms(10), vec![polled("sound", &[]), full()]);
    started.extend(takeover.apply(Ms(900), vec![full()]));
    // By now the ends of unknown jobs are acknowledged.
    started.extend(takeover.apply(Ms(10_100), vec![full()]));
    let last = End {
        number: 501,
        task: task(1, 0),
        run: OLD_RUN,
        termination: Termination::Done,
        checkpoint: None,
    };
    started.extend(takeover.apply(Ms(10_200), vec![listed(vec![last])]));
    started.extend(takeover.apply(Ms(11_000), Vec::new()));
    assert_eq!(started, []);
}

/// A list of workers that could not be read counted as no list, and tasks were started again that
/// ran on workers of earlier leaders.
#[test]
fn no_task_starts_before_all_leases_have_expired_if_the_fleet_cannot_be_read() {
    for is_listed in [false, true] {
        let leader = Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN);
        let mut takeover = Takeover { leader };
        let mut events = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e1"), name("d1")),
            registered("sound"),
            Event::FleetUnreadable,
            accepted(1, OLD_ROW, 1),
            Event::Recovered,
        ];
        if is_listed {
            events.push(registered("silent"));
        }
        let mut started = takeover.apply(Ms(0), events);
        for after in [100, 900, 1_700, 9_000, 9_500] {
            let events = vec![Event::Committed, polled("sound", &[])];
            started.extend(takeover.apply(Ms(after), events));
        }
        assert_eq!(started, [], "{is_listed}");
        for after in [LEASES_OVER.0, 9_700, 9_800] {
            let events = vec![Event::Committed, polled("sound", &[])];
            started.extend(takeover.apply(Ms(after), events));
        }
        assert_eq!(started, [task(1, 0)], "{is_listed}");
    }
}

/// An agent that followed an earlier leader for longer tells how recently it renewed a lease. That
/// counts only for workers that this leader knows, and if the list of workers cannot be read, the
/// others are those on which tasks may run.
#[test]
fn no_task_starts_before_leases_that_agents_renewed_late_have_expired_if_the_fleet_cannot_be_read()
{
    const JOINED: Ms = Ms(5_000);
    for is_readable in [true, false] {
        let leader = Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN);
        let mut takeover = Takeover { leader };
        let list = if is_readable {
            fleet()
        } else {
            Event::FleetUnreadable
        };
        let events = vec![
            Event::Config(Arc::new(config())),
            Event::Joined(name("e1"), name("d1")),
            registered("sound"),
            list,
            accepted(1, OLD_ROW, 1),
            Event::Recovered,
        ];
        let mut started = takeover.apply(Ms(0), events);
        let sound = || vec![Event::Committed, polled("sound", &[])];
        started.extend(takeover.apply(Ms(100), sound()));
        let run = Placement {
            worker: name("silent"),
            incarnation: INCARNATION,
            task: task(1, 0),
            run: OLD_RUN,
        };
        let hello = Hello {
            entry: name("e2"),
            domain: name("d1"),
            epoch: EPOCH,
            known: vec![(name("silent"), Ms(0), vec![run])],
        };
        let joined = vec![
            Event::Received(name("e2"), Report::Hello(hello)),
            Event::Joined(name("e2"), name("d1")),
        ];
        started.extend(takeover.apply(JOINED, joined));
        // A lease that was renewed at that moment lasts 6 s, and 2 % longer by a slow clock.
        let lease = BOUNDS.lease + Ms(BOUNDS.lease.0 / 50);
        for after in (5_100..(JOINED + lease).0).step_by(400) {
            started.extend(takeover.apply(Ms(after), sound()));
        }
        assert_eq!(started, [], "readable: {is_readable}");
    }
}
