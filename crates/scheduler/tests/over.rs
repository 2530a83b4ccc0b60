//! Tests of what proves that a run is over.

use decision::clock::Ms;
use decision::name::Name;
use scheduler::fleet::Life;
use scheduler::fleet::Worker;
use scheduler::id;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Running;
use scheduler::message::Termination;
use scheduler::over::Lapse;
use scheduler::over::MAX_LISTED_ENDS;
use scheduler::over::Over;
use scheduler::over::Standing;
use scheduler::over::Unproven;
use scheduler::task;
use scheduler::task::Attempt;
use scheduler::task::Phase;

const INCARNATION: Ms = Ms(77);
const NEXT_INCARNATION: Ms = Ms(INCARNATION.0 + 1);
/// The time after its last renewal by which a lease has expired.
const LEASE: Ms = Ms(400);
const RUN: Run = Run(9);
const OTHER_RUN: Run = Run(10);
const TASK: Task = {
    let step = id::Step {
        job: Job(1),
        occurrence: 0,
        step: 0,
    };
    Task { step, index: 0 }
};

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

/// Returns a run on `w` that was ordered to stop, which the worker has answered to `e1`.
fn stopping() -> Attempt {
    Attempt {
        worker: name("w"),
        incarnation: INCARNATION,
        run: RUN,
        started_at: Ms(100),
        is_listed: true,
        phase: Phase::Stopping,
        phase_since: Ms(200),
        stop_sent: Some(Ms(200)),
        stopped_at: Some(Ms(300)),
        stopped_by: Some(name("e1")),
        missed_polls: 0,
        share: None,
        percent: 0,
        measurement: 0,
    }
}

fn placement() -> Placement {
    Placement {
        worker: name("w"),
        incarnation: INCARNATION,
        task: TASK,
        run: RUN,
    }
}

fn listed(run: Run) -> Running {
    Running {
        task: TASK,
        run,
        checkpoint: None,
        percent: 0,
        measurement: 0,
    }
}

fn end(number: u64, termination: Termination) -> End {
    End {
        number,
        task: TASK,
        run: RUN,
        termination,
        checkpoint: None,
    }
}

/// Returns the answer to a poll that was sent after the answer to the stop.
fn later_poll() -> Observation {
    Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at: Ms(301),
        running: Some(vec![listed(OTHER_RUN)]),
        ended: Vec::new(),
    }
}

fn reason(over: Option<Over>) -> Option<&'static str> {
    over.map(|over| {
        assert_eq!((over.task(), over.run()), (TASK, RUN));
        over.reason()
    })
}

#[test]
fn a_run_has_stopped_if_a_later_poll_by_the_agent_that_got_the_answer_does_not_list_it() {
    type Change = fn(&mut Attempt, &mut Observation);
    let table: [(&str, Change, Option<&str>); 14] = [
        ("stopping", |_, _| {}, Some("stopped")),
        (
            "unsure",
            |run, _| run.phase = Phase::Unsure,
            Some("never-started"),
        ),
        ("starting", |run, _| run.phase = Phase::Starting, None),
        ("running", |run, _| run.phase = Phase::Running, None),
        ("not answered", |run, _| run.stopped_at = None, None),
        (
            "poll at the same time",
            |_, poll| poll.polled_at = Ms(300),
            None,
        ),
        ("earlier poll", |_, poll| poll.polled_at = Ms(1), None),
        (
            "another agent",
            |run, _| run.stopped_by = Some(name("e2")),
            None,
        ),
        ("another worker", |_, poll| poll.worker = name("w2"), None),
        (
            "later life",
            |_, poll| poll.incarnation = NEXT_INCARNATION,
            None,
        ),
        (
            "earlier life",
            |run, _| run.incarnation = NEXT_INCARNATION,
            None,
        ),
        (
            "listed",
            |_, poll| poll.running = Some(vec![listed(RUN)]),
            None,
        ),
        ("no list", |_, poll| poll.running = None, None),
        (
            "full list of ends",
            |_, poll| poll.ended = vec![end(1, Termination::Done); MAX_LISTED_ENDS],
            None,
        ),
    ];
    for (case, change, expected) in table {
        let (mut run, mut poll) = (stopping(), later_poll());
        change(&mut run, &mut poll);
        let over = Over::stopped(&run, TASK, &name("e1"), &poll);
        assert_eq!(reason(over), expected, "{case}");
    }
}

#[test]
fn a_start_never_begins_if_the_worker_refused_it_or_it_was_not_sent() {
    let table = [
        (Outcome::Done, None),
        (Outcome::Fenced, None),
        (Outcome::Unknown, None),
        (Outcome::Old, Some("start-refused")),
        (Outcome::Late, Some("start-refused")),
        (Outcome::Room, Some("start-refused")),
        (Outcome::Reborn, Some("start-refused")),
        (Outcome::Unhealthy, Some("start-refused")),
        (Outcome::Unsent, Some("start-refused")),
        (Outcome::Ticket, Some("ticket-refused")),
        (Outcome::Invalid, Some("refused-as-invalid")),
    ];
    for (outcome, expected) in table {
        let over = Over::refused(&stopping(), &placement(), outcome);
        assert_eq!(reason(over), expected, "{outcome:?}");
        let elsewhere = Placement {
            worker: name("w2"),
            ..placement()
        };
        assert_eq!(Over::refused(&stopping(), &elsewhere, outcome), None);
    }
}

#[test]
fn a_run_is_over_if_another_worker_answers_the_order_to_stop_it() {
    for outcome in [
        Outcome::Done,
        Outcome::Old,
        Outcome::Unknown,
        Outcome::Unsent,
    ] {
        assert_eq!(Over::replaced(&stopping(), &placement(), outcome), None);
    }
    let in_later_life = Attempt {
        incarnation: NEXT_INCARNATION,
        ..stopping()
    };
    let over = Over::replaced(&in_later_life, &placement(), Outcome::Reborn);
    assert_eq!(over, None);
    let over = Over::replaced(&stopping(), &placement(), Outcome::Reborn);
    assert_eq!(reason(over), Some("worker-restarted"));
}

#[test]
fn a_later_life_of_the_worker_ends_the_runs_that_the_former_one_listed() {
    type Change = fn(&mut Attempt, &mut Observation);
    let table: [(&str, Change, Option<&str>); 6] = [
        ("later life", |_, _| {}, Some("worker-restarted")),
        (
            "same life",
            |run, _| run.incarnation = NEXT_INCARNATION,
            None,
        ),
        ("another worker", |_, poll| poll.worker = name("w2"), None),
        ("never listed", |run, _| run.is_listed = false, None),
        ("unanswered", |run, _| run.phase = Phase::Starting, None),
        ("voided", |run, _| run.phase = Phase::Unsure, None),
    ];
    for (case, change, expected) in table {
        let (mut run, mut poll) = (stopping(), later_poll());
        poll.incarnation = NEXT_INCARNATION;
        change(&mut run, &mut poll);
        let over = Over::outlived(&run, TASK, Life::Later, &poll);
        assert_eq!(reason(over), expected, "{case}");
        for life in [Life::Same, Life::Unclear] {
            assert_eq!(Over::outlived(&run, TASK, life, &poll), None, "{case}");
        }
    }
}

#[test]
fn a_run_is_over_if_the_latest_life_of_its_worker_lists_its_end() {
    let worker = Worker {
        incarnation: Some(INCARNATION),
        ..Worker::default()
    };
    let table = [
        (Termination::Done, "done"),
        (Termination::Failed, "failed"),
        (Termination::Stopped, "stopped"),
        (Termination::Lapsed, "lapsed"),
        (Termination::Broken, "gang-broken"),
        (Termination::Alone, "gang-alone"),
    ];
    let ended = |incarnation, termination, worker_name| {
        let end = end(1, termination);
        Over::ended(&worker, incarnation, &end, &name(worker_name), &stopping())
    };
    for (termination, expected) in table {
        let over = ended(INCARNATION, termination, "w");
        assert_eq!(reason(over), Some(expected));
        assert_eq!(ended(NEXT_INCARNATION, termination, "w"), None);
        assert_eq!(ended(INCARNATION, termination, "w2"), None);
    }
}

#[test]
fn only_a_run_without_an_attempt_was_never_ordered() {
    let mut state = task::Task::default();
    let over = Over::never_ordered(&state, TASK, RUN);
    assert_eq!(reason(over), Some("never-ordered"));
    state.add_run(stopping());
    assert_eq!(Over::never_ordered(&state, TASK, RUN), None);
    assert!(Over::never_ordered(&state, TASK, OTHER_RUN).is_some());
}

#[test]
fn leases_have_expired_if_a_leader_that_certainly_leads_has_handled_all_reports_until_then() {
    type Change = fn(&mut Standing, &mut Worker);
    type Row = (&'static str, Change, Option<Ms>, Result<(), Unproven>);
    let early = Err(Unproven::Early);
    let unheard = || Err(Unproven::Unheard(name("e1")));
    let table: [Row; 11] = [
        ("over", |_, _| {}, Some(Ms(500)), Ok(())),
        ("agent not connected", |_, _| {}, None, Ok(())),
        (
            "no agent",
            |_, worker| worker.agent = None,
            Some(Ms(0)),
            Ok(()),
        ),
        ("unheard", |_, _| {}, Some(Ms(499)), unheard()),
        (
            "now",
            |standing, _| standing.now = Ms(500),
            Some(Ms(500)),
            Ok(()),
        ),
        (
            "before",
            |standing, _| standing.now = Ms(499),
            Some(Ms(500)),
            early.clone(),
        ),
        (
            "uncertain",
            |standing, _| standing.certain_until = Ms(500),
            Some(Ms(500)),
            early.clone(),
        ),
        (
            "rows unread",
            |standing, _| standing.is_recovered = false,
            Some(Ms(500)),
            early.clone(),
        ),
        (
            "no expiry",
            |_, worker| worker.renewals.continue_renewing(),
            Some(Ms(500)),
            early.clone(),
        ),
        (
            "a lease of another agent",
            |_, worker| worker.hold_until(Ms(601 - LEASE.0)),
            Some(Ms(700)),
            early.clone(),
        ),
        (
            "a later start",
            |_, worker| worker.renewals.include(Ms(601 - LEASE.0)),
            Some(Ms(700)),
            early,
        ),
    ];
    for (case, change, heard_until, expected) in table {
        let mut standing = Standing {
            now: Ms(600),
            lease: LEASE,
            certain_until: Ms(501),
            is_recovered: true,
        };
        let mut worker = Worker {
            agent: Some(name("e1")),
            ..Worker::default()
        };
        worker.renewals.expect_none_after(Ms(500 - LEASE.0));
        change(&mut standing, &mut worker);
        let lapse = Lapse::prove(&standing, &name("w"), &worker, |_| heard_until);
        assert_eq!(
            lapse.as_ref().map(|_| ()).map_err(Clone::clone),
            expected,
            "{case}"
        );
        if let Ok(lapse) = lapse {
            assert_eq!(reason(lapse.ends(&stopping(), TASK)), Some("lease-expired"));
            let elsewhere = Attempt {
                worker: name("w2"),
                ..stopping()
            };
            assert_eq!(lapse.ends(&elsewhere, TASK), None);
        }
    }
}
