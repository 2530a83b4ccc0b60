//! What an entry remembers of the tickets of one incarnation.

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

/// An unused ticket expires after this time, and an answer is kept for it.
pub const LIFETIME: Ms = Ms(120_000);
/// Tickets issued within this time share one expiry, which bounds the number of expiries.
const EXPIRY_GRANULARITY: Ms = Ms(100);
/// Bodies of retained answers; beyond this the oldest are forgotten.
const MAX_RETAINED_BYTES: usize = 32 << 20;
/// Leaves remaining_bytes for the envelope in the 1 MiB limit of peer messages.
const MAX_BOOK_BYTES: usize = 900 << 10;
/// Upper bound of the encoded size of one used ticket without its answer.
const MAX_SPENT_BYTES: usize = 12;
/// Upper bound of the encoded size of an answer without its body.
const MAX_OUTCOME_BYTES: usize = 64;

/// What a presented ticket allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Never used; now spent by the caller of [`Ledger::claim`].
    Spent,
    /// In use by this request.
    Running(u64),
    /// Used; here is the outcome.
    Retained(Outcome),
    /// Not usable and never used: it expired or was not issued.
    Expired,
    /// It may have been used; its outcome is not kept.
    Forgotten,
}

#[derive(Debug)]
enum State {
    Running(u64),
    Retained(Outcome),
}

/// Numbers below `below` that are unused at `at` have expired.
#[derive(Debug)]
struct Expiry {
    below: u64,
    at: Ms,
}

/// The tickets of one incarnation: issued, in use, and used with their outcomes.
#[derive(Debug)]
pub struct Ledger {
    issuer: Name,
    incarnation: u64,
    secret: u64,
    next: u64,
    /// Unused numbers below this have expired. It never falls.
    expired_below: u64,
    expiries: VecDeque<Expiry>,
    used: Bits,
    states: HashMap<u64, State>,
    retained: VecDeque<(Ms, u64)>,
    retained_bytes: usize,
}

impl Ledger {
    /// An empty ledger of a new incarnation.
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

    /// The ledger that continues a book handed over.
    #[must_use]
    pub fn adopt(now: Ms, book: Book) -> Self {
        let mut ledger = Self::new(book.issuer, book.incarnation, book.secret);
        ledger.next = book.next;
        for (below, age) in book.issued {
            let at = now + LIFETIME.since(age);
            ledger.expiries.push_back(Expiry { below, at });
        }
        // Everything in the book was issued before it was adopted.
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

    /// Whether the ticket names this ledger's incarnation.
    #[must_use]
    pub fn covers(&self, ticket: &Ticket) -> bool {
        ticket.incarnation == self.incarnation && ticket.issuer == self.issuer
    }

    /// Issues tickets.
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

    /// Says what the ticket allows, and spends it for `call` if it was never used.
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

    /// Takes back a spent ticket whose request was refused before it could run.
    pub fn release(&mut self, number: u64) {
        if let Some(State::Running(_)) = self.states.get(&number) {
            self.states.remove(&number);
            self.used.clear(number);
        }
    }

    /// Keeps the outcome of a spent ticket.
    pub fn settle(&mut self, now: Ms, number: u64, outcome: Outcome) {
        if let Some(State::Running(_)) = self.states.get(&number) {
            self.retain(now, number, outcome);
        }
    }

    /// Forgets what has outlived its time.
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

    /// The book for a successor; the ledger must not be used after it.
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
                    if body_bytes(outcome) + MAX_OUTCOME_BYTES <= remaining_bytes =>
                {
                    remaining_bytes -= body_bytes(outcome) + MAX_OUTCOME_BYTES;
                    Some(outcome.clone())
                }
                _ => None,
            };
            spent.push((number, outcome));
        }
        spent.reverse();
        // The first entry bounds what is remembered: the fate of unlisted numbers below it is
        // unknown to the successor.
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

    /// The first output of a stream cipher keyed with the secret and the number, so that nonces
    /// seen reveal nothing about others.
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
