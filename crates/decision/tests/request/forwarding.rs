//! Forwarding between entries, for tickets and for capacity.

use decision::clock::Ms;
use decision::request::Action;
use decision::request::Call;
use decision::request::Ending;
use decision::request::Event;
use decision::request::Machine;
use decision::request::Outcome;
use decision::request::Peer;
use decision::request::Refusal;
use decision::step::Step;
use decision::ticket::Ticket;

use crate::fixture::answer;
use crate::fixture::call;
use crate::fixture::identity;
use crate::fixture::machine;
use crate::fixture::name;
use crate::fixture::order;
use crate::fixture::peer;
use crate::fixture::replies;
use crate::fixture::sent;

fn foreign() -> Ticket {
    Machine::new(&identity("e2")).mint(Ms::ZERO, 1).remove(0)
}

fn adopter(entry: &str, issuer: &str) -> Peer {
    Peer {
        adopted: vec![(name(issuer), 7)],
        ..peer(entry, 0)
    }
}

/// Guards against requests that are forwarded to an entry that does not know the state of their
/// tickets.
#[test]
fn a_foreign_ticket_goes_to_the_responsible_peer() {
    let restarted = Peer {
        incarnation: 8,
        ..peer("e2", 8)
    };
    let cases = [
        (
            "issuer",
            vec![peer("e2", 0), peer("e3", 8)],
            false,
            Some("e2"),
        ),
        (
            "adopter",
            vec![peer("e2", 0), adopter("e3", "e2")],
            false,
            Some("e3"),
        ),
        ("restarted issuer", vec![restarted], false, None),
        ("unreachable", vec![peer("e3", 8)], false, None),
        ("second hop", vec![peer("e2", 0)], true, None),
    ];
    for (case, peers, forwarded, receiver) in cases {
        let mut machine = machine(&["v1"]);
        machine.step(Ms::ZERO, Event::Peers(peers));
        let call = Call {
            forwarded,
            ..order(1, &foreign())
        };
        let actions = machine.step(Ms(1), Event::Arrived(call));
        let receivers: Vec<String> = sent(&actions)
            .iter()
            .map(|(_, to)| to.to_string())
            .collect();
        assert_eq!(receivers, Vec::from_iter(receiver), "{case}");
        let unknown = if receiver.is_none() {
            vec![(1, Outcome::Unknown)]
        } else {
            vec![]
        };
        assert_eq!(replies(&actions), unknown, "{case}");
    }
}

/// Guards against a refusal of a foreign ticket that the issuer did not make.
#[test]
fn only_the_issuer_refuses_a_foreign_ticket() {
    let refused = Outcome::Refused(Refusal::TicketExpired);
    let cases = [
        (
            Ending::Answered(answer(200)),
            1,
            Outcome::Answered(answer(200)),
        ),
        (Ending::Refused(Refusal::TicketExpired), 1, refused),
        (Ending::NotRun, 1, Outcome::Unknown),
        (Ending::Unknown, 1, Outcome::Unknown),
    ];
    for (ending, sends, outcome) in cases {
        let mut machine = machine(&["v1"]);
        machine.step(Ms::ZERO, Event::Peers(vec![peer("e2", 0)]));
        let mut actions = machine.step(Ms(1), Event::Arrived(order(1, &foreign())));
        let mut count = 0;
        while let [(attempt, _)] = sent(&actions)[..] {
            count += 1;
            actions = machine.step(Ms(2), Event::Finished(attempt, ending.clone()));
        }
        assert_eq!(
            (count, replies(&actions)),
            (sends, vec![(1, outcome)]),
            "{ending:?}"
        );
    }
}

/// Guards against a request that runs both at the issuer of its ticket and at the successor.
#[test]
fn a_handover_moves_tickets_to_the_successor() {
    let mut first = machine(&["v1"]);
    let tickets = first.mint(Ms::ZERO, 3);
    let actions = first.step(Ms(1), Event::Arrived(order(1, &tickets[0])));
    let done = Ending::Answered(answer(200));
    first.step(Ms(2), Event::Finished(sent(&actions)[0].0, done));
    first.step(Ms(3), Event::Stopping);
    assert!(first.idle());
    let book = first.hand_over_tickets(Ms(4));
    assert!(
        first.mint(Ms(4), 1).is_empty(),
        "no ticket is issued after the handover"
    );

    let lost = first.step(Ms(5), Event::Arrived(order(2, &tickets[1])));
    assert_eq!(
        replies(&lost),
        [(2, Outcome::Unknown)],
        "no successor is known"
    );
    first.step(Ms(5), Event::Peers(vec![adopter("e2", "e1")]));
    let moved = first.step(Ms(5), Event::Arrived(order(3, &tickets[1])));
    assert_eq!(sent(&moved).len(), 1, "forwarded to the successor");

    let mut successor = Machine::new(&identity("e2"));
    successor.step(Ms(900), crate::fixture::config(9));
    let targets = vec![crate::fixture::target("v2")];
    successor.step(Ms(900), Event::Targets(targets));
    successor.step(Ms(900), Event::Adopt(book.clone()));
    let adopted = successor.summary(Ms(900)).adopted;
    assert_eq!(adopted, [(name("e1"), 7)], "the adoption is announced");
    let complete = Outcome::Answered(answer(200));
    let retained = successor.step(Ms(901), Event::Arrived(order(1, &tickets[0])));
    assert_eq!(
        replies(&retained),
        [(1, complete)],
        "the answer is retained after the handover"
    );
    let run = successor.step(Ms(901), Event::Arrived(order(2, &tickets[1])));
    assert_eq!(sent(&run).len(), 1, "a request with an unused ticket runs");
    successor.step(Ms(902), Event::Adopt(book));
    let again = successor.step(Ms(902), Event::Arrived(order(3, &tickets[1])));
    assert!(
        sent(&again).is_empty(),
        "a book that is delivered again makes no ticket usable again"
    );
}

/// Guards against a request that runs twice because it is forwarded for capacity together with its
/// ticket, and against entries without targets that cannot serve requests with their own tickets.
#[test]
fn an_order_is_forwarded_for_capacity_without_its_ticket() {
    for forwarded in [false, true] {
        let mut machine = machine(&[]);
        machine.step(Ms::ZERO, Event::Peers(vec![peer("e2", 0), peer("e3", 3)]));
        let ticket = machine.mint(Ms::ZERO, 1).remove(0);
        let order = Call {
            forwarded,
            ..order(1, &ticket)
        };
        let actions = machine.step(Ms(1), Event::Arrived(order));
        let Some(Action::Forward {
            attempt,
            entry,
            call,
            ..
        }) = actions.first()
        else {
            panic!("the first action does not forward the request: {actions:?}");
        };
        assert_eq!((&**entry, &call.ticket), ("e3", &None));
        let full = Ending::Refused(Refusal::Full);
        let second = machine.step(Ms(2), Event::Finished(*attempt, full));
        assert_eq!(
            sent(&second).len(),
            1,
            "a refused order goes to another peer"
        );
    }
    let mut machine = machine(&[]);
    machine.step(Ms::ZERO, Event::Peers(vec![peer("e2", 3)]));
    let forwarded = Call {
        forwarded: true,
        ..call(1)
    };
    let actions = machine.step(Ms(1), Event::Arrived(forwarded));
    assert!(sent(&actions).is_empty(), "at most one hop for capacity");
}
