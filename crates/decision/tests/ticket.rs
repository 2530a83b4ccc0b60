//! Tests of the ticket ledger.

use bytes::Bytes;
use decision::clock::Ms;
use decision::name::Name;
use decision::request::Answer;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::ticket::Claim;
use decision::ticket::LIFETIME;
use decision::ticket::Ledger;
use decision::ticket::Ticket;

/// Tickets that are issued within this time share one expiry.
const EXPIRY_GRANULARITY: Ms = Ms(100);

fn ledger() -> Ledger {
    let issuer = Name::try_from("e1").expect("test names are valid");
    Ledger::new(issuer, 7, 11)
}

fn answered(bytes: usize) -> Outcome {
    Outcome::Answered(Answer {
        status: 200,
        body: Bytes::from(vec![1; bytes]),
    })
}

/// The use of a ticket between its issue at 0 and the claim under test.
#[derive(Clone, Copy, Debug)]
enum Usage {
    Nothing,
    Spent,
    Released,
    Settled,
}

/// Applies the usage at `at` and claims the ticket at `claimed_at`, at a successor if it was
/// `handed_over`.
fn claim(usage: Usage, at: Ms, claimed_at: Ms, handed_over: bool) -> Claim {
    let mut ledger = ledger();
    let ticket = ledger.mint(Ms::ZERO, 3).remove(1);
    if !matches!(usage, Usage::Nothing) {
        assert_eq!(ledger.claim(at, &ticket, 1), Claim::Spent);
    }
    match usage {
        Usage::Nothing | Usage::Spent => {}
        Usage::Released => ledger.release(ticket.sequence),
        Usage::Settled => ledger.settle(at, ticket.sequence, answered(3)),
    }
    if handed_over {
        // The successor's clock has another origin.
        let mut successor = Ledger::adopt(Ms(5), ledger.export(at));
        return successor.claim(Ms(5) + claimed_at.since(at), &ticket, 2);
    }
    ledger.claim(claimed_at, &ticket, 2)
}

/// Guards against tickets that can be used twice, too late or never, at the issuer and after a
/// handover.
#[test]
fn a_claim_depends_on_the_earlier_usage() {
    let later = LIFETIME + LIFETIME;
    let cases = [
        (Usage::Nothing, Ms(1), Ms(2), Claim::Spent, Claim::Spent),
        (
            Usage::Nothing,
            Ms(1),
            Ms(LIFETIME.0 - 101),
            Claim::Spent,
            Claim::Spent,
        ),
        (
            Usage::Nothing,
            Ms(1),
            LIFETIME + EXPIRY_GRANULARITY,
            Claim::Expired,
            Claim::Expired,
        ),
        (
            Usage::Nothing,
            LIFETIME + EXPIRY_GRANULARITY,
            later,
            Claim::Expired,
            Claim::Expired,
        ),
        (Usage::Released, Ms(1), Ms(2), Claim::Spent, Claim::Spent),
        (
            Usage::Released,
            Ms(1),
            LIFETIME + EXPIRY_GRANULARITY,
            Claim::Expired,
            Claim::Expired,
        ),
        (
            Usage::Spent,
            Ms(1),
            Ms(2),
            Claim::Running(1),
            Claim::Forgotten,
        ),
        (
            Usage::Spent,
            Ms(1),
            later,
            Claim::Running(1),
            Claim::Forgotten,
        ),
        (
            Usage::Settled,
            Ms(1),
            LIFETIME,
            Claim::Retained(answered(3)),
            Claim::Retained(answered(3)),
        ),
        (
            Usage::Settled,
            Ms(1),
            LIFETIME + Ms(1),
            Claim::Forgotten,
            Claim::Forgotten,
        ),
        (
            Usage::Settled,
            Ms(LIFETIME.0 - 1),
            later,
            Claim::Forgotten,
            Claim::Forgotten,
        ),
    ];
    for (usage, at, claimed_at, issuer, successor) in cases {
        let found = (
            claim(usage, at, claimed_at, false),
            claim(usage, at, claimed_at, true),
        );
        assert_eq!(
            found,
            (issuer, successor),
            "{usage:?} at {at}, claimed at {claimed_at}"
        );
    }
}

/// Guards against tickets that are accepted although they are forged or belong to another process.
#[test]
fn a_forged_ticket_is_not_accepted() {
    let mut ledger = ledger();
    let valid = ledger.mint(Ms::ZERO, 1).remove(0);
    let forged = [
        Ticket {
            nonce: valid.nonce ^ 1,
            ..valid.clone()
        },
        Ticket {
            sequence: 1,
            ..valid.clone()
        },
        Ticket {
            incarnation: 8,
            ..valid.clone()
        },
    ];
    for ticket in forged {
        assert_eq!(ledger.claim(Ms(1), &ticket, 1), Claim::Expired, "{ticket}");
    }
    assert_eq!(ledger.claim(Ms(1), &valid, 1), Claim::Spent);
}

/// Guards against a book that does not fit into one message, and against a successor that accepts a
/// used ticket that was left out of the book because of its size.
#[test]
fn a_large_book_fits_into_a_message_and_reuses_no_ticket() {
    let mut ledger = ledger();
    let tickets = ledger.mint(Ms::ZERO, 100_000);
    for ticket in &tickets[..90_000] {
        ledger.claim(Ms(1), ticket, 1);
        ledger.settle(Ms(1), ticket.sequence, answered(100));
    }
    let book = ledger.export(Ms(2));
    let bytes = rmp_serde::to_vec(&book)
        .expect("the book can be encoded")
        .len();
    assert!(bytes < 1 << 20, "the encoded book has {bytes} bytes");
    assert!(book.spent.iter().any(|(_, outcome)| outcome.is_some()));
    let mut successor = Ledger::adopt(Ms(0), book);
    let again = tickets[..90_000].iter().filter(|ticket| {
        matches!(
            successor.claim(Ms(1), ticket, 1),
            Claim::Spent | Claim::Expired
        )
    });
    assert_eq!(
        again.count(),
        0,
        "used tickets that would run again or be refused"
    );
    assert_eq!(successor.claim(Ms(1), &tickets[95_000], 1), Claim::Spent);
}

/// Guards against retained answers that use unbounded memory.
#[test]
fn the_oldest_large_answers_are_forgotten_first() {
    let mut ledger = ledger();
    let tickets = ledger.mint(Ms::ZERO, 5);
    for ticket in &tickets {
        ledger.claim(Ms(1), ticket, 1);
        ledger.settle(Ms(1), ticket.sequence, answered(8 << 20));
    }
    assert_eq!(ledger.claim(Ms(2), &tickets[0], 2), Claim::Forgotten);
    assert_eq!(
        ledger.claim(Ms(2), &tickets[4], 2),
        Claim::Retained(answered(8 << 20))
    );
}

/// Guards against a used ticket that a refusal makes usable again after its outcome was recorded.
#[test]
fn a_settled_ticket_is_never_released() {
    let mut ledger = ledger();
    let ticket = ledger.mint(Ms::ZERO, 1).remove(0);
    ledger.claim(Ms(1), &ticket, 1);
    ledger.settle(Ms(1), 0, Outcome::Unknown);
    ledger.release(0);
    ledger.settle(Ms(1), 0, Outcome::Refused(Refusal::Late));
    assert_eq!(
        ledger.claim(Ms(2), &ticket, 2),
        Claim::Retained(Outcome::Unknown)
    );
}
