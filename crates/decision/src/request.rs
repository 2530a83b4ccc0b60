//! The request path: from a caller's request to one target and the whole answer back.

mod admit;
mod machine;
mod peers;
mod send;
mod settle;
mod work;

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

pub use self::machine::Machine;
use crate::clock::Ms;
use crate::config::Checked;
use crate::name::Name;
use crate::ticket::Ticket;
use crate::timeline::Note;
use crate::worker::Epoch;

/// A request as it arrived at this entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Unique within this entry's process; the shell counts up.
    pub id: u64,
    /// The service asked.
    pub service: Name,
    /// The kind of request, which selects what is learned about it.
    pub kind: Name,
    /// The team it counts against.
    pub team: Name,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The idempotency key, required when it must not be repeated.
    pub ticket: Option<Ticket>,
    /// When the caller gives up, by this entry's clock.
    pub deadline: Ms,
    /// Whether a peer forwarded it; it is then not forwarded for capacity again.
    pub forwarded: bool,
    /// The contents.
    pub body: Bytes,
}

/// A whole answer of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The target's HTTP status.
    pub status: u16,
    /// The contents.
    pub body: Bytes,
}

/// What a caller learns. There is no fourth outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran; here is the whole answer.
    Answered(Answer),
    /// It did not run, and this sending of it never will.
    Refused(Refusal),
    /// It may or may not have run.
    Unknown,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// It must not be repeated and carries no ticket.
    TicketNeeded,
    /// Its ticket expired before it was first used, or was never issued.
    TicketExpired,
    /// It would not be served before its deadline.
    Late,
    /// The queue is full.
    Full,
    /// The entry is stopping or not ready.
    Stopping,
    /// There is no such service.
    Missing,
    /// Every attempt failed before it could reach a target.
    Unreachable,
}

impl Refusal {
    /// Whether it holds for every sending with the same ticket. Another sending that is on its way
    /// at that moment must not run after this one was told that the request never will. Other
    /// refusals leave the ticket usable through another entry.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Late | Self::Full)
    }
}

/// Identifies one attempt within this entry's process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Attempt(pub u64);

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// A whole answer came.
    Answered(Answer),
    /// It did not reach the target or the peer, or the receiver vouched that it did not run.
    NotRun,
    /// The peer refused it, and vouched that it did not run.
    Refused(Refusal),
    /// It may have run: the connection broke, was silent too long, or the answer was cut short.
    Unknown,
}

/// A target that this entry owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The VM.
    pub vm: Name,
    /// The epoch to send with requests.
    pub epoch: Epoch,
    /// The failure domain.
    pub domain: Name,
    /// How many requests it serves at once.
    pub slots: u32,
    /// Slots in use by requests of former owners when it last reported.
    pub busy: u32,
    /// What it last reported about this entry's attempts, if it does.
    pub snapshot: Option<Snapshot>,
    /// Whether it receives no new requests.
    pub leaving: bool,
    /// Learned slowdown by batch work present, in percent; 100 is none.
    pub slowdown: u32,
}

/// A target's report of the attempts in progress there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// When the report was asked for.
    pub at: Ms,
    /// The attempts, by number.
    pub attempts: Vec<u64>,
}

/// What is known of a peer's request path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// The entry.
    pub entry: Name,
    /// Its process.
    pub incarnation: u64,
    /// Free slots when it last told.
    pub free: u32,
    /// Requests waiting when it last told.
    pub waiting: u32,
    /// Whether it takes no new work.
    pub stopping: bool,
    /// Issuers `(entry, incarnation)` whose tickets it answers for after a hand-over.
    pub adopted: Vec<(Name, u64)>,
}

/// The tickets of an incarnation, handed over at a planned stop.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Book {
    /// The issuing entry.
    pub issuer: Name,
    /// The issuing process.
    pub incarnation: u64,
    /// The secret that nonces are derived from.
    pub secret: u64,
    /// The number that would be issued next.
    pub next: u64,
    /// Issue times by age: all numbers below `.0` were issued before `.1` ms ago.
    pub issued: Vec<(u64, Ms)>,
    /// Used tickets: `None` when the answer is not kept or unknown.
    pub spent: Vec<(u64, Option<Outcome>)>,
}

/// What happens to the request path.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request came from a caller or a peer.
    Arrived(Call),
    /// The caller or peer waits for this request no longer.
    Withdrawn(u64),
    /// An attempt ended.
    Finished(Attempt, Ending),
    /// Time went by; sent every 10 ms and at [`Machine::next_timer`].
    Tick,
    /// The targets this entry owns, all of them.
    Targets(Vec<Target>),
    /// The live peers, all of them.
    Peers(Vec<Peer>),
    /// A configuration came into force.
    Config(Arc<Checked>),
    /// A leaving peer hands over its tickets.
    Adopt(Book),
    /// The entry stops: nothing new is taken, what is in flight ends.
    Stopping,
}

/// What the shell carries out for the request path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends a request to an owned target; ends with [`Event::Finished`].
    Send {
        /// The attempt.
        attempt: Attempt,
        /// The target.
        vm: Name,
        /// The epoch to send along.
        epoch: Epoch,
        /// The request.
        call: Arc<Call>,
        /// When the attempt has failed.
        timeout: Ms,
    },
    /// Sends a request to a peer; ends with [`Event::Finished`], with [`Ending::Refused`] when the
    /// peer refused it.
    Forward {
        /// The attempt.
        attempt: Attempt,
        /// The peer.
        entry: Name,
        /// The request.
        call: Arc<Call>,
        /// When the attempt has failed.
        timeout: Ms,
    },
    /// Gives up on an attempt: its connection is closed and never used again.
    Abandon(Attempt),
    /// Answers the caller or the forwarding peer.
    Reply {
        /// The request.
        call: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// The service time of an answered attempt, for the control path.
    Measured {
        /// The target.
        vm: Name,
        /// The service.
        service: Name,
        /// The kind.
        kind: Name,
        /// The time from sending to the whole answer.
        time: Ms,
    },
    /// Records an event.
    Note(Note),
}
