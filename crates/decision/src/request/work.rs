//! Requests and attempts in progress, and their timers.

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

/// A forwarding peer gets its reply this long before the deadline, so that a refusal arrives in
/// time and the peer does not have to report the outcome as unknown.
const PEER_REPLY_MARGIN: Ms = Ms(15);

/// A call that waits for the outcome of a request.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    pub call: u64,
    pub deadline: Ms,
}

impl Waiter {
    pub fn new(call: &Call) -> Self {
        let margin = if call.forwarded {
            PEER_REPLY_MARGIN
        } else {
            Ms::ZERO
        };
        Self {
            call: call.id,
            deadline: call.deadline - margin,
        }
    }
}

/// Where a request may go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// The request goes to an owned target, or over at most one hop to a peer with free slots.
    Serve,
    /// The request goes to the peer that is responsible for its ticket.
    Issuer,
}

/// The ticket that a request uses.
#[derive(Clone, Debug)]
pub struct Key {
    /// The adopted issuer as `(entry, incarnation)`, or `None` for tickets of this process.
    pub issuer: Option<(Name, u64)>,
    pub number: u64,
}

/// A request in progress, with all calls that wait for its outcome.
#[derive(Debug)]
pub struct Request {
    pub call: Arc<Call>,
    pub waiters: Vec<Waiter>,
    pub key: Option<Key>,
    pub route: Route,
    pub class: Class,
    pub arrived: Ms,
    pub position: Option<Position>,
    /// The attempts in flight whose result still counts for the request.
    pub flights: Vec<Attempt>,
    /// The hedge: a second attempt, sent while the first is in flight.
    pub hedge: Option<Attempt>,
    /// The targets at which an attempt failed.
    pub tried: Vec<route::Id>,
    /// The number of attempts so far, including forwards and hedges.
    pub sends: u32,
    /// Whether an attempt that has ended may have run.
    pub may_have_run: bool,
    /// The last answer with an error status, which is returned if no attempt succeeds.
    pub error_answer: Option<Answer>,
    pub peer_refusal: Option<Refusal>,
}

impl Request {
    /// Returns the latest deadline of all waiters.
    pub fn deadline(&self) -> Ms {
        let deadlines = self.waiters.iter().map(|waiter| waiter.deadline);
        deadlines.max().unwrap_or(Ms::ZERO)
    }

    /// Returns whether the request may be forwarded to a peer for capacity. A request that a peer
    /// forwarded here for capacity may not; one that was forwarded here because of its ticket may.
    pub fn may_forward(&self) -> bool {
        self.route == Route::Serve && (!self.call.forwarded || self.key.is_some())
    }
}

/// The receiver of an attempt.
#[derive(Clone, Debug)]
pub enum Receiver {
    Target(route::Choice),
    Peer(Name),
}

/// An attempt in flight, or one that was abandoned and still occupies a slot.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub request: u64,
    pub service: Name,
    pub kind: Name,
    pub receiver: Receiver,
    pub sent: Ms,
    /// The epoch under which the attempt was sent to a target; the default for peers.
    pub epoch: Epoch,
    /// When the attempt counts as over if no result arrives.
    pub expires: Ms,
    pub long: bool,
    /// Whether the result of the attempt still counts for the request.
    pub live: bool,
}

/// The kinds of timers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The deadline of a waiter of the request with this id has passed.
    Deadline(u64),
    /// The attempt is over if it has no result yet.
    Expiry(Attempt),
    /// The attempt has run so long that its short request counts as long.
    Slow(Attempt),
    /// The attempt has run so long that a hedge is worth sending.
    Hedge(Attempt),
}

/// The pending timers, ordered by due time.
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
