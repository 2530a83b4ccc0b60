//! Tests of what a leader may conclude from reports that it did not handle, rows that it has not
//! read, and tasks that it no longer keeps.

mod common;
mod echo;
mod known_red;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::fleet::Registration;
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
use scheduler::message::Finding;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome as CallOutcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::progress::Outcome;
use scheduler::progress::Progress;
use scheduler::progress::Stage;
use scheduler::spec;

const KNOWN_RED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");
/// The leader begins hours after its VM.
const BEGUN: Ms = Ms(40_000_000);
const EPOCH: Epoch = Epoch(17);
/// The version of a job's row that an earlier leader has read.
const OLD_ROW: u64 = 5;
/// The version of a job's row that was written after this leader took over.
const NEW_ROW: u64 = 30;
/// The run of an earlier leader.
const OLD_RUN: Run = Run(9);

/// The only task of the first occurrence.
const TASK: Task = {
    let step = id::Step {
        job: Job(1),
        occurrence: 0,
        step: 0,
    };
    Task { step, index: 0 }
};

/// Returns a job of one task.
fn accepted(row: u64) -> Event {
    let accepted = common::accepted_job(vec![spec::Step {
        count: 1,
        estimate: Ms(500),
        ..spec::Step::default()
    }]);
    Event::Accepted(Job(1), row, accepted, None)
}

/// Returns a job with three occurrences, of which the first is finished.
fn repeated() -> Event {
    let Event::Accepted(job, row, mut accepted, _) = accepted(OLD_ROW) else {
        unreachable!("the helper returns an accepted job");
    };
    accepted.spec.schedule = Some(spec::Schedule {
        first: Ms(BEGUN.0 - 1_000),
        interval: Ms(60_000),
        count: 3,
    });
    let progress = Progress {
        has_started: true,
        ended: None,
        finished_occurrences: 1,
        steps: BTreeMap::new(),
    };
    Event::Accepted(job, row, accepted, Some(progress))
}

fn registered(worker: &str) -> Event {
    Event::RegistrationChanged(name(worker), Some(registration("d1")))
}

fn joined(agent: &str) -> Event {
    Event::Joined(name(agent), name("d1"))
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

fn end(termination: Termination) -> End {
    End {
        number: 1,
        task: TASK,
        run: OLD_RUN,
        termination,
        checkpoint: None,
    }
}

/// Returns the report of `e1` on a worker.
fn polled(worker: &str, running: &[Task], ended: Vec<End>) -> Event {
    let running = running.iter().map(|&task| Running {
        task,
        run: OLD_RUN,
        checkpoint: None,
        percent: 0,
        measurement: 0,
    });
    let observation = Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: Ms(1),
        running: Some(running.collect()),
        ended,
    };
    Event::Received(name("e1"), Report::Polled(observation))
}

fn new_leader() -> Leader {
    let mut leader = Leader::new(name("e0"), EPOCH, BOUNDS, BEGUN);
    let events = vec![
        Event::Config(Arc::new(config())),
        joined("e1"),
        registered("silent"),
        registered("sound"),
    ];
    apply(&mut leader, Ms(0), events);
    leader
}

/// Passes events and a tick to the leader this long after its begin, and returns its actions.
fn apply(leader: &mut Leader, after: Ms, events: Vec<Event>) -> Vec<Action> {
    let now = BEGUN + after;
    let confirmed = [Event::LeadConfirmed(now)];
    let all = confirmed.into_iter().chain(events);
    let mut actions: Vec<Action> = all.flat_map(|event| leader.handle(now, event)).collect();
    actions.extend(echo::tick(leader, now));
    actions.extend(leader.schedule(now));
    if actions
        .iter()
        .any(|action| matches!(action, Action::Commit(_)))
    {
        actions.extend(leader.handle(now, Event::Committed));
    }
    actions
}

fn starts(actions: &[Action]) -> Vec<Task> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Send(_, Order::Start(start)) => Some(start.task),
        _ => None,
    });
    starts.collect()
}

/// Returns the leader of a run on `silent`, whose agent has reported failed polls and this time since
/// it last renewed the lease.
fn with_silent_worker(renewal_age: Ms) -> Leader {
    let mut leader = new_leader();
    let rows = vec![fleet(), accepted(OLD_ROW), Event::Recovered];
    apply(&mut leader, Ms(10), rows);
    let known = vec![
        polled("silent", &[TASK], Vec::new()),
        polled("sound", &[], Vec::new()),
    ];
    apply(&mut leader, Ms(20), known);
    let failure = Failure {
        worker: name("silent"),
        renewal_age,
        is_closed: false,
    };
    let failed = Event::Received(name("e1"), Report::PollFailed(failure));
    apply(&mut leader, Ms(20_000), vec![failed]);
    leader
}

/// The worker answers its agent again at the moment when it is assigned to another one, and then no
/// more.
fn assert_an_unhandled_answer_keeps_the_lease() {
    let mut leader = with_silent_worker(Ms(5_900));
    let late = vec![joined("e2"), polled("silent", &[TASK], Vec::new())];
    let mut actions = apply(&mut leader, Ms(20_100), late);
    actions.extend(apply(&mut leader, Ms(20_700), Vec::new()));
    actions.extend(apply(&mut leader, Ms(25_000), Vec::new()));
    assert_eq!(starts(&actions), []);
}

#[test]
fn a_renewal_after_a_failed_poll_counts_after_a_change_of_the_agent() {
    known_red::run(
        KNOWN_RED,
        "a_renewal_after_a_failed_poll_counts_after_a_change_of_the_agent",
        assert_an_unhandled_answer_keeps_the_lease,
    );
}

/// The worker leaves while it still has a run of a job whose row has not been read.
#[test]
fn a_worker_with_a_run_of_an_unknown_job_stays_in_the_fleet_when_it_is_unlisted() {
    let mut leader = new_leader();
    apply(&mut leader, Ms(10), vec![fleet(), Event::Recovered]);
    let known = vec![
        polled("silent", &[], Vec::new()),
        polled("sound", &[TASK], Vec::new()),
    ];
    apply(&mut leader, Ms(20), known);
    let unlisted = Event::RegistrationChanged(name("sound"), None);
    let actions = apply(&mut leader, Ms(100), vec![unlisted]);
    let fleets = actions.iter().filter_map(|action| match action {
        Action::Commit(commit) => commit.fleet.as_ref(),
        _ => None,
    });
    for fleet in fleets {
        let mut members = fleet.iter();
        assert!(members.any(|member| member.worker == name("sound")));
    }
}

/// The row arrives after the lease of the worker has lapsed.
fn assert_the_task_of_an_unknown_run_starts_again() {
    let mut leader = new_leader();
    apply(&mut leader, Ms(10), vec![fleet(), Event::Recovered]);
    let known = vec![
        polled("silent", &[], Vec::new()),
        polled("sound", &[TASK], Vec::new()),
    ];
    apply(&mut leader, Ms(20), known);
    let unlisted = Event::RegistrationChanged(name("sound"), None);
    apply(&mut leader, Ms(100), vec![unlisted]);
    let mut all = Vec::new();
    for second in 1..60 {
        let failure = Failure {
            worker: name("sound"),
            renewal_age: Ms(second * 1_000),
            is_closed: false,
        };
        let mut events = vec![
            polled("silent", &[], Vec::new()),
            Event::Received(name("e1"), Report::PollFailed(failure)),
        ];
        if second == 20 {
            events.push(accepted(NEW_ROW));
        }
        let actions = apply(&mut leader, Ms(second * 1_000), events);
        all.extend(starts(&actions));
    }
    assert_eq!(all.first(), Some(&TASK));
}

#[test]
fn a_task_whose_worker_left_before_its_job_was_read_starts_again() {
    known_red::run(
        KNOWN_RED,
        "a_task_whose_worker_left_before_its_job_was_read_starts_again",
        assert_the_task_of_an_unknown_run_starts_again,
    );
}

/// The feed of jobs is interrupted for longer than the end of an unknown job is kept.
fn assert_an_acknowledged_end_of_an_unknown_job_counts() {
    let mut leader = new_leader();
    apply(&mut leader, Ms(10), vec![fleet(), Event::Recovered]);
    let ended = || {
        vec![
            polled("silent", &[], Vec::new()),
            polled("sound", &[], vec![end(Termination::Done)]),
        ]
    };
    let mut actions = apply(&mut leader, Ms(20), ended());
    actions.extend(apply(&mut leader, Ms(10_100), ended()));
    let is_acknowledged = actions.iter().any(|action| {
        matches!(action, Action::Send(_, Order::Watch(watch)) if watch.acknowledged == Some((INCARNATION, 1)))
    });
    let actions = apply(&mut leader, Ms(11_000), vec![accepted(NEW_ROW)]);
    assert!(
        !is_acknowledged || starts(&actions).is_empty(),
        "{actions:?}"
    );
}

#[test]
fn a_task_does_not_start_after_its_end_was_acknowledged_before_its_job_was_read() {
    known_red::run(
        KNOWN_RED,
        "a_task_does_not_start_after_its_end_was_acknowledged_before_its_job_was_read",
        assert_an_acknowledged_end_of_an_unknown_job_counts,
    );
}

/// The job is not lost either: its end counts when its row arrives.
#[test]
fn an_end_that_was_acknowledged_before_its_job_was_read_counts_when_the_row_arrives() {
    let table = [
        (Termination::Done, Stage::Ended(Outcome::Completed)),
        (Termination::Failed, Stage::Ended(Outcome::Failed)),
        (Termination::Lapsed, Stage::Queued),
    ];
    for (termination, expected) in table {
        let mut strict = config();
        strict.queues[0].max_attempts = 1;
        let mut leader = new_leader();
        let rows = vec![
            Event::Config(Arc::new(strict)),
            fleet(),
            Event::Recovered,
            polled("silent", &[], Vec::new()),
        ];
        apply(&mut leader, Ms(10), rows);
        let ended = || vec![polled("sound", &[], vec![end(termination)])];
        apply(&mut leader, Ms(20), ended());
        let actions = apply(&mut leader, Ms(10_100), ended());
        let is_acknowledged = actions.iter().any(|action| {
            matches!(action, Action::Send(_, Order::Watch(watch)) if watch.acknowledged == Some((INCARNATION, 1)))
        });
        assert!(is_acknowledged, "{termination:?}: {actions:?}");
        apply(&mut leader, Ms(11_000), vec![accepted(NEW_ROW)]);
        apply(&mut leader, Ms(11_100), Vec::new());
        assert_eq!(leader.stage(Job(1)), Some(expected), "{termination:?}");
    }
}

/// A second run failed after its task was completed. The leader before wrote that the occurrence
/// is finished, and died before the worker learned that the end is acknowledged.
fn assert_a_failure_in_a_finished_occurrence_is_irrelevant() {
    let mut strict = config();
    strict.queues[0].max_attempts = 1;
    let mut leader = new_leader();
    let rows = vec![
        Event::Config(Arc::new(strict)),
        fleet(),
        repeated(),
        Event::Recovered,
    ];
    apply(&mut leader, Ms(10), rows);
    let failed = vec![polled("sound", &[], vec![end(Termination::Failed)])];
    apply(&mut leader, Ms(20), failed);
    apply(&mut leader, Ms(100), Vec::new());
    apply(&mut leader, Ms(200), Vec::new());
    assert_ne!(leader.stage(Job(1)), Some(Stage::Ended(Outcome::Failed)));
}

#[test]
fn a_failed_run_of_a_finished_occurrence_does_not_fail_the_job() {
    known_red::run(
        KNOWN_RED,
        "a_failed_run_of_a_finished_occurrence_does_not_fail_the_job",
        assert_a_failure_in_a_finished_occurrence_is_irrelevant,
    );
}

#[test]
fn a_run_of_a_finished_occurrence_is_stopped_at_once() {
    let mut leader = new_leader();
    apply(
        &mut leader,
        Ms(10),
        vec![fleet(), repeated(), Event::Recovered],
    );
    let listed = vec![polled("sound", &[TASK], Vec::new())];
    let actions = apply(&mut leader, Ms(20), listed);
    let is_stop = |action: &Action| matches!(action, Action::Send(_, Order::Stop(placement)) if placement.run == OLD_RUN);
    assert!(actions.iter().any(is_stop), "{actions:?}");
}

/// A cut that refuses connections keeps the worker from its agent; the store has dropped its
/// registration meanwhile. Its task was started again while the first run worked on.
#[test]
fn a_run_on_a_draining_worker_that_refuses_connections_keeps_its_lease() {
    let mut leader = new_leader();
    apply(
        &mut leader,
        Ms(10),
        vec![fleet(), accepted(OLD_ROW), Event::Recovered],
    );
    let known = vec![
        polled("silent", &[TASK], Vec::new()),
        polled("sound", &[], Vec::new()),
    ];
    apply(&mut leader, Ms(20), known);
    let draining = Registration {
        is_draining: true,
        ..registration("d1")
    };
    let failure = Failure {
        worker: name("silent"),
        renewal_age: Ms(900),
        is_closed: true,
    };
    let events = vec![
        Event::RegistrationChanged(name("silent"), Some(draining)),
        Event::RegistrationChanged(name("silent"), None),
        Event::Received(name("e1"), Report::PollFailed(failure)),
    ];
    let mut actions = apply(&mut leader, Ms(1_000), events);
    actions.extend(apply(&mut leader, Ms(2_000), Vec::new()));
    actions.extend(apply(&mut leader, Ms(9_500), Vec::new()));
    assert_eq!(starts(&actions), []);
    // By now leases have expired that agents of an earlier leader renewed after this one began.
    let lapsed = apply(&mut leader, Ms(9_600), Vec::new());
    assert_eq!(starts(&lapsed), [TASK]);
}

/// The same as in the test above, but the answer is handled before the worker changes its agent.
#[test]
fn a_renewal_that_is_reported_before_a_change_of_the_agent_counts() {
    let mut leader = with_silent_worker(Ms(5_900));
    let answered = vec![polled("silent", &[TASK], Vec::new()), joined("e2")];
    let mut actions = apply(&mut leader, Ms(20_100), answered);
    actions.extend(apply(&mut leader, Ms(20_700), Vec::new()));
    actions.extend(apply(&mut leader, Ms(25_000), Vec::new()));
    assert_eq!(starts(&actions), []);
}

/// Passes a tick to the leader and returns the tasks that it starts and the echoes that it asks for.
fn tick_alone(leader: &mut Leader, after: Ms) -> (Vec<Task>, Vec<Placement>) {
    let now = BEGUN + after;
    leader.handle(now, Event::LeadConfirmed(now));
    let mut actions = leader.handle(now, Event::Tick(now));
    actions.extend(leader.schedule(now));
    let echoes = actions.iter().filter_map(|action| match action {
        Action::Send(_, Order::Stop(placement)) => Some(placement.clone()),
        _ => None,
    });
    let echoes = echoes.filter(|placement| placement.echo_sent_at().is_some());
    (starts(&actions), echoes.collect())
}

fn echoed(echo: &Placement) -> Event {
    let report = Report::Stopped(echo.clone(), CallOutcome::Unsent, Ms(1));
    Event::Received(name("e1"), report)
}

/// A slow leader had not handled the reports of renewals when it took the leases for expired, and
/// started the tasks of workers that answered.
#[test]
fn a_lease_does_not_lapse_before_all_earlier_reports_of_its_agent_are_handled() {
    let mut leader = with_silent_worker(Ms(900));
    let (started, echoes) = tick_alone(&mut leader, Ms(26_000));
    // The lease was renewed at 19.1 s and lasts for 6.52 s.
    assert_eq!(started, []);
    let [echo] = &echoes[..] else {
        panic!("{echoes:?}");
    };
    // The report of an answer was sent before the echo.
    let late = vec![polled("silent", &[TASK], Vec::new()), echoed(echo)];
    assert_eq!(starts(&apply(&mut leader, Ms(27_500), late)), []);
    assert_eq!(starts(&apply(&mut leader, Ms(40_000), Vec::new())), []);
}

#[test]
fn a_lease_lapses_once_the_agent_has_reported_nothing_else_until_its_end() {
    let mut leader = with_silent_worker(Ms(900));
    assert_eq!(
        tick_alone(&mut leader, Ms(25_600)),
        (Vec::new(), Vec::new())
    );
    let (_, echoes) = tick_alone(&mut leader, Ms(25_700));
    assert_eq!(echoes.len(), 1);
    // The agent is not asked again at once.
    let pending = tick_alone(&mut leader, Ms(25_750));
    assert_eq!(pending, (Vec::new(), Vec::new()));
    leader.handle(BEGUN + Ms(25_760), echoed(&echoes[0]));
    assert_eq!(tick_alone(&mut leader, Ms(25_800)).0, [TASK]);
}

/// The answer is lost, or comes over a connection that the agent has replaced meanwhile.
#[test]
fn an_echo_counts_for_the_connection_on_which_it_was_asked() {
    let mut leader = with_silent_worker(Ms(900));
    let (_, first) = tick_alone(&mut leader, Ms(26_000));
    assert_eq!(first.len(), 1);
    let (_, second) = tick_alone(&mut leader, Ms(27_000));
    assert_eq!(second.len(), 1);
    let sound = polled("sound", &[], Vec::new());
    let events = [Event::Left(name("e1")), joined("e1"), sound];
    for event in events.into_iter().chain(second.iter().map(echoed)) {
        leader.handle(BEGUN + Ms(27_100), event);
    }
    // Leases that the agent renewed after its last contact count until then.
    let (started, echoes) = tick_alone(&mut leader, Ms(37_000));
    assert_eq!((started, echoes.len()), (Vec::new(), 1));
    leader.handle(BEGUN + Ms(37_010), echoed(&echoes[0]));
    assert_eq!(tick_alone(&mut leader, Ms(37_050)).0, [TASK]);
}

/// The reports wait until the rows are read. The first one tells that a worker refuses
/// connections, the second one lists the run of a worker that the store does not list at the moment.
fn assert_all_deferred_reports_count_before_a_lease_expires() {
    let mut leader = new_leader();
    let draining = Registration {
        is_draining: true,
        ..registration("d1")
    };
    let failure = Failure {
        worker: name("leaving"),
        renewal_age: Ms(900),
        is_closed: true,
    };
    let events = vec![
        Event::RegistrationChanged(name("leaving"), Some(draining)),
        Event::RegistrationChanged(name("leaving"), None),
        Event::Received(name("e1"), Report::PollFailed(failure)),
    ];
    apply(&mut leader, Ms(8_900), events);
    let events = vec![
        polled("silent", &[TASK], Vec::new()),
        polled("sound", &[], Vec::new()),
        Event::RegistrationChanged(name("silent"), None),
    ];
    apply(&mut leader, Ms(9_000), events);
    let rows = vec![fleet(), accepted(OLD_ROW), Event::Recovered];
    let mut actions = apply(&mut leader, Ms(10_000), rows);
    actions.extend(apply(&mut leader, Ms(12_000), Vec::new()));
    assert_eq!(starts(&actions), []);
}

#[test]
fn no_lease_lapses_while_the_deferred_reports_are_handled() {
    known_red::run(
        KNOWN_RED,
        "no_lease_lapses_while_the_deferred_reports_are_handled",
        assert_all_deferred_reports_count_before_a_lease_expires,
    );
}

/// Ends of unknown jobs that were acknowledged are kept for the life of the leader. Once as many are
/// kept as may be, a worker with further ones keeps them for ever, and hides all its other ends
/// behind them.
#[test]
fn ends_of_unknown_jobs_are_acknowledged_however_many_there_were_before() {
    const LISTED: u64 = 500;
    const KEPT: u64 = 20_000;
    let mut leader = new_leader();
    let rows = vec![fleet(), Event::Recovered];
    apply(&mut leader, Ms(10), rows);
    let mut after = Ms(20);
    let mut acknowledged = 0;
    for first in (0..=KEPT).step_by(500) {
        let ended = || {
            let ends = (1..=LISTED).map(|number| End {
                number: first + number,
                task: Task {
                    step: id::Step {
                        job: Job(1_000_000 + first + number),
                        ..TASK.step
                    },
                    ..TASK
                },
                ..end(Termination::Done)
            });
            vec![polled("sound", &[], ends.collect())]
        };
        // An end of an unknown job is acknowledged after 10 s; the worker lists it for a minute.
        for _ in 0..6 {
            for action in apply(&mut leader, after, ended()) {
                if let Action::Send(_, Order::Watch(watch)) = action
                    && let Some((INCARNATION, number)) = watch.acknowledged
                {
                    acknowledged = acknowledged.max(number);
                }
            }
            after += Ms(10_100);
        }
        assert_eq!(acknowledged, first + LISTED);
    }
}

/// Returns the number of the last watch of a worker among these orders, if there is one.
fn last_watch(actions: &[Action], worker: &str) -> Option<id::Watch> {
    let watches = actions.iter().filter_map(|action| match action {
        Action::Send(_, Order::Watch(watch)) if watch.worker == name(worker) => Some(watch.number),
        _ => None,
    });
    watches.fold(None, |_, watch| Some(watch))
}

fn watch_of(actions: &[Action], worker: &str) -> id::Watch {
    last_watch(actions, worker).expect("the worker is watched")
}

/// What the leader had received over an agent's earlier connection counted although the agent had
/// connected anew, so it was handled after newer answers. Lists from before a run began stopped it.
#[test]
fn a_run_is_not_stopped_by_lists_that_are_older_than_one_that_names_it() {
    let mut leader = new_leader();
    let rows = vec![fleet(), accepted(OLD_ROW), Event::Recovered];
    let actions = apply(&mut leader, Ms(10), rows);
    let former = watch_of(&actions, "sound");
    let list = |watch, polled_at, running: &[Task]| {
        let Event::Received(by, Report::Polled(observation)) = polled("sound", running, Vec::new())
        else {
            unreachable!("the helper returns an answer to a poll");
        };
        let observation = Observation {
            polled_at,
            ..observation
        };
        let report = Report::of_watch(watch, Finding::Polled(observation));
        Event::Received(by, report)
    };
    let rejoined = vec![Event::Left(name("e1")), joined("e1")];
    let actions = apply(&mut leader, Ms(15), rejoined);
    let present = watch_of(&actions, "sound");
    let known = vec![
        polled("silent", &[], Vec::new()),
        list(present, Ms(9_000), &[TASK]),
    ];
    apply(&mut leader, Ms(20), known);
    let earlier = [5_000, 5_800, 6_600].map(|polled_at| list(former, Ms(polled_at), &[]));
    let mut actions = apply(&mut leader, Ms(30), earlier.into());
    let newer = vec![list(present, Ms(9_800), &[TASK])];
    actions.extend(apply(&mut leader, Ms(40), newer));
    let is_stop = |action: &&Action| matches!(action, Action::Send(_, Order::Stop(placement)) if placement.run == OLD_RUN);
    assert_eq!(actions.iter().find(is_stop), None);
    assert_eq!(leader.tally().outdated_reports, 3);
}

/// The incarnation of a worker is the time of its start by its own clock, which may have been set back
/// before it started again. Its answers were ignored then, but they were no failed polls either, so
/// the runs of its former life lasted for ever.
#[test]
fn a_task_whose_worker_restarts_with_its_clock_set_back_starts_again() {
    let mut leader = new_leader();
    let rows = vec![fleet(), accepted(OLD_ROW), Event::Recovered];
    let mut watch = watch_of(&apply(&mut leader, Ms(10), rows), "silent");
    let list = |watch, incarnation, polled_at, running: &[Task]| {
        let Event::Received(by, Report::Polled(observation)) =
            polled("silent", running, Vec::new())
        else {
            unreachable!("the helper returns an answer to a poll");
        };
        let observation = Observation {
            incarnation,
            polled_at,
            ..observation
        };
        let report = Report::of_watch(watch, Finding::Polled(observation));
        Event::Received(by, report)
    };
    let known = vec![
        list(watch, INCARNATION, Ms(1), &[TASK]),
        polled("sound", &[], Vec::new()),
    ];
    apply(&mut leader, Ms(20), known);
    let earlier = Ms(INCARNATION.0 - 1);
    let reborn = Registration {
        incarnation: earlier,
        ..registration("d1")
    };
    let listed = Event::RegistrationChanged(name("silent"), Some(reborn));
    apply(&mut leader, Ms(900), vec![listed]);
    let mut started = Vec::new();
    for after in (1_000..60_000).step_by(800) {
        let answers = vec![
            list(watch, earlier, Ms(after), &[]),
            polled("sound", &[], Vec::new()),
        ];
        let actions = apply(&mut leader, Ms(after), answers);
        started.extend(starts(&actions));
        watch = last_watch(&actions, "silent").unwrap_or(watch);
    }
    assert_eq!(started, [TASK]);
}

/// An answer of the former life may come after one of the next life, whose clock was set back.
#[test]
fn an_answer_of_a_former_life_ends_no_run_of_the_next_one() {
    let mut leader = new_leader();
    let rows = vec![fleet(), accepted(OLD_ROW), Event::Recovered];
    let first = watch_of(&apply(&mut leader, Ms(10), rows), "sound");
    let list = |watch, incarnation, running: &[Task]| {
        let Event::Received(by, Report::Polled(observation)) = polled("sound", running, Vec::new())
        else {
            unreachable!("the helper returns an answer to a poll");
        };
        let observation = Observation {
            incarnation,
            ..observation
        };
        Event::Received(by, Report::of_watch(watch, Finding::Polled(observation)))
    };
    let former = INCARNATION;
    let next = Ms(INCARNATION.0 - 1);
    let known = vec![
        polled("silent", &[], Vec::new()),
        list(first, former, &[]),
        list(first, next, &[]),
    ];
    let second = watch_of(&apply(&mut leader, Ms(20), known), "sound");
    // The run is of the next life, and an answer of the former one comes late.
    let answers = [list(second, next, &[TASK]), list(second, former, &[])];
    let answers = answers.map(|answer| apply(&mut leader, Ms(30), vec![answer]));
    let mut actions = answers.concat();
    let third = last_watch(&actions, "sound").unwrap_or(second);
    let later = vec![list(third, next, &[TASK])];
    actions.extend(apply(&mut leader, Ms(40), later));
    actions.extend(apply(&mut leader, Ms(20_000), Vec::new()));
    let is_release = |action: &&Action| matches!(action, Action::Log(line) if line.contains("kind=run-released"));
    assert_eq!(actions.iter().find(is_release), None);
    assert_eq!(starts(&actions), []);
}
