//! Requests and attempts in progress.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Answer;
use super::Attempt;
use super::Call;
use super::Refusal;
use crate::classify::Class;
use crate::clock::Ms;
use crate::name::Name;
use crate::queue::Position;
use crate::route;
use crate::worker::Epoch;

/// A peer is answered this much before its deadline, so that a refusal reaches it in time and the
/// outcome is not unknown to it.
const PEER_REPLY_MARGIN: Ms = Ms(15);

/// A caller that waits for the outcome of a request.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    pub call: u64,
    pub deadline: Ms,
}

impl Waiter {
    pub fn new(call: &Call) -> Self {
        let early = if call.forwarded {
            PEER_REPLY_MARGIN
        } else {
            Ms::ZERO
        };
        Self {
            call: call.id,
            deadline: call.deadline - early,
        }
    }
}

/// Where a request may go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// To an owned target, or once to a peer with free slots.
    Serve,
    /// To the peer that answers for its ticket.
    Issuer,
}

/// The ticket that a request has spent.
#[derive(Clone, Debug)]
pub struct Key {
    /// The adopted issuer, or `None` for our own tickets.
    pub issuer: Option<(Name, u64)>,
    pub number: u64,
}

/// A request in progress, with everyone who waits for it.
#[derive(Debug)]
pub struct Request {
    pub call: Arc<Call>,
    pub waiters: Vec<Waiter>,
    pub key: Option<Key>,
    pub route: Route,
    pub class: Class,
    pub arrived: Ms,
    pub place: Option<Position>,
    /// Attempts in flight.
    pub flights: Vec<Attempt>,
    /// The second attempt, sent while the first is in flight.
    pub hedge: Option<Attempt>,
    /// Targets that failed it.
    pub tried: Vec<route::Id>,
    pub sends: u32,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// The answer of a target that failed.
    pub error_answer: Option<Answer>,
    pub peer_refusal: Option<Refusal>,
}

impl Request {
    /// When the last waiter gives up.
    pub fn deadline(&self) -> Ms {
        let deadlines = self.waiters.iter().map(|waiter| waiter.deadline);
        deadlines.max().unwrap_or(Ms::ZERO)
    }

    /// Whether it may go to a peer for capacity: once, and not when it came from a peer for that.
    /// A request that came for its ticket may.
    pub fn may_forward(&self) -> bool {
        self.route == Route::Serve && (!self.call.forwarded || self.key.is_some())
    }
}

/// Where an attempt went.
#[derive(Clone, Debug)]
pub enum Receiver {
    Target(route::Choice),
    Peer(Name),
}

/// An attempt in flight, or one whose slot is still booked.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub request: u64,
    pub service: Name,
    pub kind: Name,
    pub receiver: Receiver,
    pub sent: Ms,
    /// The epoch it was sent under, to a target.
    pub epoch: Epoch,
    /// When the slot is given back without news.
    pub expires: Ms,
    pub long: bool,
    /// Whether its ending still counts for the request.
    pub live: bool,
}

/// What falls due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The deadline of a waiter of this request.
    Deadline(u64),
    /// The end of an attempt without news.
    Expiry(Attempt),
    /// The time after which a short request counts as long.
    Slow(Attempt),
    /// The time after which a hedge is worth sending.
    Hedge(Attempt),
}

/// What falls due, in order.
#[derive(Debug, Default)]
pub struct Timers(BTreeSet<(Ms, Timer)>);

impl Timers {
    pub fn set(&mut self, at: Ms, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub fn cancel(&mut self, at: Ms, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    pub fn next(&self) -> Option<Ms> {
        self.0.first().map(|(at, _)| *at)
    }

    pub fn pop(&mut self, now: Ms) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
