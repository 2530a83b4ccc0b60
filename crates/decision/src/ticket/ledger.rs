//! The record of the tickets of one incarnation: issued, in use and used.

use std::collections::HashMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Ticket;
use super::bits::Bits;
use crate::clock::Ms;
use crate::name::Name;
use crate::request::Book;
use crate::request::Outcome;

/// How long an unused ticket stays valid, and how long the outcome of a used one is retained.
pub const LIFETIME: Ms = Ms(120_000);
/// Tickets that are issued within this time share one expiry, which bounds the number of records.
const EXPIRY_GRANULARITY: Ms = Ms(100);
/// The maximum total size of retained answer bodies. Above it the oldest answers are evicted.
const MAX_RETAINED_BYTES: usize = 32 << 20;
/// The maximum encoded size of a book, which leaves room for the envelope within the 1 MiB limit of
/// peer messages.
const MAX_BOOK_BYTES: usize = 900 << 10;
/// An upper bound of the encoded size of one used ticket without its outcome.
const MAX_SPENT_BYTES: usize = 12;
/// An upper bound of the encoded size of an outcome without the body of its answer.
const MAX_OUTCOME_OVERHEAD_BYTES: usize = 64;

/// The result of presenting a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The ticket was unused. It is now spent for the call that was passed to [`Ledger::claim`].
    Spent,
    /// The ticket is in use by the request with this id.
    Running(u64),
    /// The ticket was used, with this outcome.
    Retained(Outcome),
    /// The ticket was never used and cannot be: it expired or was not issued.
    Expired,
    /// The ticket may have been used, but its outcome is not retained.
    Forgotten,
}

#[derive(Debug)]
enum State {
    Running(u64),
    Retained(Outcome),
}

/// Tickets with numbers below `below` that are unused at `at` expire then.
#[derive(Debug)]
struct Expiry {
    below: u64,
    at: Ms,
}

/// The tickets of one incarnation, with the outcomes of those that were used recently.
#[derive(Debug)]
pub struct Ledger {
    issuer: Name,
    incarnation: u64,
    secret: u64,
    next: u64,
    /// Unused tickets with numbers below this have expired. It never decreases.
    expired_below: u64,
    expiries: VecDeque<Expiry>,
    used: Bits,
    states: HashMap<u64, State>,
    /// Numbers with a retained outcome, each with the time until which it is retained.
    retained: VecDeque<(Ms, u64)>,
    retained_bytes: usize,
}

impl Ledger {
    /// Creates the empty ledger of a new incarnation.
    #[must_use]
    pub fn new(issuer: Name, incarnation: u64, secret: u64) -> Self {
        Self {
            issuer,
            incarnation,
            secret,
            next: 0,
            expired_below: 0,
            expiries: VecDeque::new(),
            used: Bits::default(),
            states: HashMap::new(),
            retained: VecDeque::new(),
            retained_bytes: 0,
        }
    }

    /// Creates the ledger that continues a book that was handed over.
    #[must_use]
    pub fn adopt(now: Ms, book: Book) -> Self {
        let mut ledger = Self::new(book.issuer, book.incarnation, book.secret);
        ledger.next = book.next;
        for (below, age) in book.issued {
            let at = now + LIFETIME.since(age);
            ledger.expiries.push_back(Expiry { below, at });
        }
        // All tickets in the book were issued before its adoption, so they expire by this time.
        let expiry = Expiry {
            below: book.next,
            at: now + LIFETIME,
        };
        ledger.expiries.push_back(expiry);
        let known_from = ledger.expiries.front().map_or(0, |expiry| expiry.below);
        let first = book.spent.iter().map(|(number, _)| *number).min();
        ledger
            .used
            .forget_below(known_from.min(first.unwrap_or(known_from)));
        for (number, outcome) in book.spent {
            ledger.used.set(number);
            if let Some(outcome) = outcome {
                ledger.retain(now, number, outcome);
            }
        }
        ledger.used.forget_below(known_from);
        ledger.advance(now);
        ledger
    }

    /// Returns whether the ticket names the issuer and incarnation of this ledger.
    #[must_use]
    pub fn covers(&self, ticket: &Ticket) -> bool {
        ticket.incarnation == self.incarnation && ticket.issuer == self.issuer
    }

    /// Issues this many new tickets.
    pub fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket> {
        let first = self.next;
        self.next += count as u64;
        match self.expiries.back_mut() {
            Some(expiry) if expiry.at > now + LIFETIME => expiry.below = self.next,
            _ => self.expiries.push_back(Expiry {
                below: self.next,
                at: now + LIFETIME + EXPIRY_GRANULARITY,
            }),
        }
        (first..self.next)
            .map(|sequence| self.ticket(sequence))
            .collect()
    }

    /// Determines the state of a presented ticket, and spends it for `call` if it is unused.
    pub fn claim(&mut self, now: Ms, ticket: &Ticket, call: u64) -> Claim {
        self.advance(now);
        let number = ticket.sequence;
        let valid = self.covers(ticket) && number < self.next && ticket.nonce == self.nonce(number);
        if !valid {
            return Claim::Expired;
        }
        match self.states.get(&number) {
            Some(State::Running(call)) => return Claim::Running(*call),
            Some(State::Retained(outcome)) => return Claim::Retained(outcome.clone()),
            None => {}
        }
        match self.used.get(number) {
            Some(false) if number >= self.expired_below => {
                self.used.set(number);
                self.states.insert(number, State::Running(call));
                Claim::Spent
            }
            Some(false) => Claim::Expired,
            Some(true) | None => Claim::Forgotten,
        }
    }

    /// Makes a spent ticket usable again after its request was refused before it could run.
    pub fn release(&mut self, number: u64) {
        if let Some(State::Running(_)) = self.states.get(&number) {
            self.states.remove(&number);
            self.used.clear(number);
        }
    }

    /// Records the outcome of a spent ticket.
    pub fn settle(&mut self, now: Ms, number: u64, outcome: Outcome) {
        if let Some(State::Running(_)) = self.states.get(&number) {
            self.retain(now, number, outcome);
        }
    }

    /// Expires unused tickets, and evicts outcomes that are past their time or exceed the memory
    /// limit.
    pub fn advance(&mut self, now: Ms) {
        while let Some(expiry) = self.expiries.front().filter(|expiry| expiry.at <= now) {
            self.expired_below = expiry.below;
            self.expiries.pop_front();
        }
        while let Some((until, _)) = self.retained.front() {
            if *until > now && self.retained_bytes <= MAX_RETAINED_BYTES {
                break;
            }
            self.evict_oldest();
        }
    }

    /// Returns the ticket state for a successor. The ledger must not be used afterwards.
    #[must_use]
    pub fn export(&self, now: Ms) -> Book {
        let mut issued: Vec<(u64, Ms)> = self
            .expiries
            .iter()
            .map(|expiry| {
                (
                    expiry.below,
                    (LIFETIME + EXPIRY_GRANULARITY).since(expiry.at.since(now)),
                )
            })
            .collect();
        let mut spent = Vec::new();
        let mut remaining_bytes =
            MAX_BOOK_BYTES - issued.len().min(MAX_BOOK_BYTES / 64) * MAX_SPENT_BYTES;
        let mut known_from = self.used.start();
        for number in self
            .used
            .iter_descending()
            .take_while(|number| *number < self.next)
        {
            if remaining_bytes < MAX_SPENT_BYTES {
                known_from = number + 1;
                break;
            }
            remaining_bytes -= MAX_SPENT_BYTES;
            let outcome = match self.states.get(&number) {
                Some(State::Retained(outcome))
                    if body_bytes(outcome) + MAX_OUTCOME_OVERHEAD_BYTES <= remaining_bytes =>
                {
                    remaining_bytes -= body_bytes(outcome) + MAX_OUTCOME_OVERHEAD_BYTES;
                    Some(outcome.clone())
                }
                _ => None,
            };
            spent.push((number, outcome));
        }
        spent.reverse();
        // The first pair marks the number from which on the book is complete. The successor cannot
        // know whether unlisted numbers below it were used.
        issued.retain(|(below, _)| *below > known_from.max(self.expired_below));
        if self.expired_below > known_from {
            issued.insert(0, (self.expired_below, LIFETIME));
        }
        issued.insert(0, (known_from, LIFETIME));
        Book {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
            secret: self.secret,
            next: self.next,
            issued,
            spent,
        }
    }

    fn ticket(&self, sequence: u64) -> Ticket {
        Ticket {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
            sequence,
            nonce: self.nonce(sequence),
        }
    }

    /// Derives the nonce of a ticket: the first output of a stream cipher keyed with the secret and
    /// the number, so that known nonces reveal nothing about others.
    fn nonce(&self, sequence: u64) -> u64 {
        let mut key = [0; 32];
        key[..8].copy_from_slice(&self.secret.to_le_bytes());
        key[8..16].copy_from_slice(&self.incarnation.to_le_bytes());
        key[16..24].copy_from_slice(&sequence.to_le_bytes());
        StdRng::from_seed(key).next_u64()
    }

    fn retain(&mut self, now: Ms, number: u64, outcome: Outcome) {
        self.retained_bytes += body_bytes(&outcome);
        self.retained.push_back((now + LIFETIME, number));
        self.states.insert(number, State::Retained(outcome));
    }

    fn evict_oldest(&mut self) {
        let Some((_, number)) = self.retained.pop_front() else {
            return;
        };
        if let Some(State::Retained(outcome)) = self.states.remove(&number) {
            self.retained_bytes -= body_bytes(&outcome);
        }
    }
}

const fn body_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered(answer) => answer.body.len(),
        Outcome::Refused(_) | Outcome::Unknown => 0,
    }
}
