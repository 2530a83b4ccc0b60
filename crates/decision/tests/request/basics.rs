//! Outcomes of single requests, slots and the stop of an entry.

use decision::clock::Ms;
use decision::request::Attempt;
use decision::request::Call;
use decision::request::Ending;
use decision::request::Event;
use decision::request::Machine;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::request::Snapshot;
use decision::request::Target;
use decision::step::Step;
use decision::ticket::Ticket;

use crate::fixture::answer;
use crate::fixture::call;
use crate::fixture::config;
use crate::fixture::identity;
use crate::fixture::machine;
use crate::fixture::order;
use crate::fixture::peer;
use crate::fixture::replies;
use crate::fixture::sent;
use crate::fixture::target;

/// Drives one call whose attempts end as given. Returns the number of attempts and the outcome, or
/// `None` while the call is in progress.
fn drive(machine: &mut Machine, call: Call, endings: &[Ending]) -> (usize, Option<Outcome>) {
    let mut attempts = 0;
    let mut actions = machine.step(Ms(1), Event::Arrived(call));
    for ending in endings {
        if let [(attempt, _)] = sent(&actions)[..] {
            attempts += 1;
            actions = machine.step(Ms(2), Event::Finished(attempt, ending.clone()));
        }
    }
    attempts += sent(&actions).len();
    let outcome = replies(&actions).pop().map(|(_, outcome)| outcome);
    (attempts, outcome)
}

/// Guards against repeated runs of a request with a ticket, refusals of requests that may have run
/// and lost answers.
#[test]
fn the_outcome_of_a_request_follows_from_its_attempts() {
    let answered = |status| Some(Outcome::Answered(answer(status)));
    let refused = |refusal| Some(Outcome::Refused(refusal));
    let ended = |status| Ending::Answered(answer(status));
    let cases = [
        ("answer", false, vec![ended(200)], 1, answered(200)),
        ("order fails", false, vec![ended(500)], 1, answered(500)),
        (
            "order lost",
            false,
            vec![Ending::Unknown],
            1,
            Some(Outcome::Unknown),
        ),
        (
            "order not run",
            false,
            vec![Ending::NotRun, ended(200)],
            2,
            answered(200),
        ),
        (
            "order never runs",
            false,
            vec![Ending::NotRun; 4],
            4,
            refused(Refusal::Unreachable),
        ),
        (
            "order not run, then lost",
            false,
            vec![Ending::NotRun, Ending::Unknown],
            2,
            Some(Outcome::Unknown),
        ),
        (
            "retry without budget",
            true,
            vec![Ending::Unknown],
            1,
            Some(Outcome::Unknown),
        ),
        ("in flight", true, vec![], 1, None),
    ];
    for (case, repeatable, endings, attempts, outcome) in cases {
        let mut machine = machine(&["v1", "v2", "v3", "v4"]);
        let ticket = machine.mint(Ms::ZERO, 1).remove(0);
        let call = if repeatable {
            call(1)
        } else {
            order(1, &ticket)
        };
        let found = drive(&mut machine, call, &endings);
        assert_eq!(found, (attempts, outcome), "{case}");
    }
}

/// Guards against requests that are admitted although they can never be served.
#[test]
fn calls_that_cannot_be_served_are_refused_at_once() {
    let forged = Ticket {
        sequence: 0,
        nonce: 3,
        ..machine(&[]).mint(Ms::ZERO, 1).remove(0)
    };
    let foreign = Ticket {
        incarnation: 99,
        ..forged.clone()
    };
    let missing = Call {
        service: crate::fixture::name("none"),
        ..call(1)
    };
    let late = Call {
        deadline: Ms(1),
        ..call(1)
    };
    let no_ticket = Call {
        repeatable: false,
        ..call(1)
    };
    let refused = Outcome::Refused;
    let cases = [
        ("no ticket", no_ticket, refused(Refusal::TicketNeeded)),
        ("forged", order(1, &forged), refused(Refusal::TicketExpired)),
        ("foreign", order(1, &foreign), Outcome::Unknown),
        ("missing service", missing, refused(Refusal::Missing)),
        ("late", late, refused(Refusal::Late)),
    ];
    for (case, call, outcome) in cases {
        let mut machine = machine(&["v1"]);
        assert_eq!(drive(&mut machine, call, &[]), (0, Some(outcome)), "{case}");
    }
    let mut unconfigured = Machine::new(&identity("e1"));
    let outcome = Some(Outcome::Refused(Refusal::Stopping));
    assert_eq!(
        drive(&mut unconfigured, call(1), &[]),
        (0, outcome),
        "not configured"
    );
}

/// Guards against a retry with the same ticket that runs the request again or gets no answer.
#[test]
fn a_retry_joins_the_attempt_and_then_gets_the_retained_answer() {
    let mut machine = machine(&["v1"]);
    let ticket = machine.mint(Ms::ZERO, 1).remove(0);
    let first = machine.step(Ms(1), Event::Arrived(order(1, &ticket)));
    let (attempt, _) = sent(&first)[0];
    let joined = machine.step(Ms(2), Event::Arrived(order(2, &ticket)));
    assert_eq!((sent(&joined), replies(&joined)), (vec![], vec![]));
    let ending = Ending::Answered(answer(200));
    let done = machine.step(Ms(3), Event::Finished(attempt, ending.clone()));
    let complete = Outcome::Answered(answer(200));
    assert_eq!(
        replies(&done),
        [(1, complete.clone()), (2, complete.clone())]
    );
    assert!(
        machine
            .step(Ms(3), Event::Finished(attempt, ending))
            .is_empty()
    );
    let retained = machine.step(Ms(900), Event::Arrived(order(3, &ticket)));
    assert_eq!(replies(&retained), [(3, complete)]);
    assert!(machine.idle());
}

/// Guards against more requests on a target than it has slots.
#[test]
fn requests_beyond_the_slots_wait_or_go_to_a_peer() {
    let mut machine = Machine::new(&identity("e1"));
    machine.step(Ms::ZERO, config(2));
    let mut adopted = target("v1");
    adopted.busy = 6;
    machine.step(Ms::ZERO, Event::Targets(vec![adopted.clone()]));
    machine.step(Ms::ZERO, Event::Targets(vec![adopted]));
    let mut receivers = Vec::new();
    let mut attempts: Vec<Attempt> = Vec::new();
    let mut refused = Vec::new();
    machine.step(Ms::ZERO, Event::Peers(vec![peer("e2", 1)]));
    for id in 0..6 {
        let actions = machine.step(Ms(1), Event::Arrived(call(id)));
        refused.extend(replies(&actions));
        for (attempt, receiver) in sent(&actions) {
            attempts.push(attempt);
            receivers.push(receiver.to_string());
        }
    }
    assert_eq!(receivers, ["v1", "v1", "e2"]);
    assert_eq!(refused, [(5, Outcome::Refused(Refusal::Full))]);
    assert_eq!(machine.summary(Ms(1)).waiting, 2);
    let ending = Ending::Answered(answer(200));
    let actions = machine.step(Ms(2), Event::Finished(attempts[0], ending));
    assert_eq!(
        sent(&actions).len(),
        1,
        "a free slot serves a waiting request"
    );
}

/// Guards against requests in flight that are aborted by a planned stop.
#[test]
fn a_stopping_entry_completes_requests_in_flight() {
    let mut machine = machine(&["v1"]);
    let ticket = machine.mint(Ms::ZERO, 2);
    let actions = machine.step(Ms(1), Event::Arrived(order(1, &ticket[0])));
    machine.step(Ms(1), Event::Stopping);
    assert!(!machine.idle());
    let refused = machine.step(Ms(2), Event::Arrived(order(2, &ticket[1])));
    let outcome = Outcome::Refused(Refusal::Stopping);
    assert_eq!(replies(&refused), [(2, outcome)]);
    let ending = Ending::Answered(answer(200));
    let done = machine.step(Ms(3), Event::Finished(sent(&actions)[0].0, ending));
    assert_eq!(replies(&done).len(), 1);
    assert!(machine.idle());
}

/// Guards against a slot that is released although its request still runs at the target. The
/// connection stops delivering data, so the attempt times out without a result.
#[test]
fn a_slot_without_a_result_stays_acquired_until_the_target_reports() {
    let report = |at: u64, attempts: &[u64]| Target {
        slots: 1,
        snapshot: Some(Snapshot {
            at: Ms(at),
            attempts: attempts.to_vec(),
        }),
        ..target("v1")
    };
    let cases: [(&str, u64, &[u64], u32); 4] = [
        ("requested before the attempt can have arrived", 900, &[], 0),
        ("still running", 6_000, &[1], 0),
        ("no longer running", 6_000, &[], 1),
        ("another one running", 6_000, &[2], 1),
    ];
    for (case, at, attempts, free) in cases {
        let mut machine = machine(&["v1"]);
        machine.step(Ms::ZERO, Event::Targets(vec![report(0, &[])]));
        let actions = machine.step(Ms(1), Event::Arrived(call(1)));
        assert_eq!(sent(&actions).len(), 1, "{case}");
        machine.step(Ms(5_000), Event::Tick);
        assert_eq!(
            machine.summary(Ms(5_000)).free,
            0,
            "{case}: before the report"
        );
        machine.step(Ms(7_000), Event::Targets(vec![report(at, attempts)]));
        assert_eq!(machine.summary(Ms(7_000)).free, free, "{case}");
    }
}
