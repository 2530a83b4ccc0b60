//! The request path routes a caller's request to one target and returns the whole answer.

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

/// A request as this entry received it from a caller or a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifies the request within this entry's process. The embedder counts up.
    pub id: u64,
    /// The service that the request is addressed to.
    pub service: Name,
    /// The kind of request within the service. Service times are learned per service and kind.
    pub kind: Name,
    /// The team whose weight in the queue applies to the request.
    pub team: Name,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key. A request that is not repeatable must carry one, unless a peer
    /// forwards it for capacity.
    pub ticket: Option<Ticket>,
    /// When the caller stops waiting, by this entry's clock.
    pub deadline: Ms,
    /// Whether a peer forwarded the request. If so, it is not forwarded for capacity again.
    pub forwarded: bool,
    /// The request body, which is passed on to the target unchanged.
    pub body: Bytes,
}

/// A complete answer of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status that the target returned.
    pub status: u16,
    /// The response body, which is passed on to the caller unchanged.
    pub body: Bytes,
}

/// The result that a caller gets. No other outcome is possible.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The request ran, and the target's answer is complete.
    Answered(Answer),
    /// The request did not run, and this submission of it never will.
    Refused(Refusal),
    /// The request may or may not have run.
    Unknown,
}

/// The reason why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Refusal {
    /// The request is not repeatable and carries no ticket.
    TicketNeeded,
    /// The ticket expired before it was first used, or was never issued.
    TicketExpired,
    /// The request would not be served before its deadline.
    Late,
    /// The queue of the service is full.
    Full,
    /// The entry is stopping, or has no configuration yet.
    Stopping,
    /// The configuration has no service of this name.
    Missing,
    /// Every attempt failed before it could reach a target.
    Unreachable,
}

impl Refusal {
    /// Returns whether the refusal applies to every submission with the same ticket. A caller that
    /// got such a refusal was told that the request never runs, so another submission that is
    /// under way at that moment must not run either. After other refusals the ticket can still be
    /// used through another entry.
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
    /// The receiver returned a complete answer.
    Answered(Answer),
    /// The attempt did not reach the target or the peer, or the receiver confirmed that it did not
    /// run.
    NotRun,
    /// The peer refused the request and confirmed that it did not run.
    Refused(Refusal),
    /// The attempt may have run: the connection broke, the receiver did not answer in time, or the
    /// answer was truncated.
    Unknown,
}

/// A target that this entry owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The VM on which the target runs.
    pub vm: Name,
    /// The ownership epoch, which is sent with each request.
    pub epoch: Epoch,
    /// The failure domain of the VM. Targets in the entry's own domain are preferred.
    pub domain: Name,
    /// The number of requests that the target serves at once.
    pub slots: u32,
    /// Slots in use by requests of former owners when the target last reported.
    pub busy: u32,
    /// The last report of this entry's attempts in progress. Absent until the target reports.
    pub snapshot: Option<Snapshot>,
    /// Whether the target gets no new requests because it is being taken out of service.
    pub leaving: bool,
    /// The learned slowdown caused by batch work on the VM, in percent; 100 means no slowdown.
    pub slowdown: u32,
}

/// A target's report of this entry's attempts that are in progress there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// When the report was requested, by this entry's clock.
    pub at: Ms,
    /// The numbers of the attempts in progress, as in [`Attempt`].
    pub attempts: Vec<u64>,
}

/// The load of a peer's request path, as the peer reports it to other entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// The entry that reports.
    pub entry: Name,
    /// Identifies the process of the entry; a restarted entry has a new incarnation.
    pub incarnation: u64,
    /// The number of free slots at the time of the report.
    pub free: u32,
    /// The number of queued requests at the time of the report.
    pub waiting: u32,
    /// Whether the peer accepts no new requests.
    pub stopping: bool,
    /// The issuers, as `(entry, incarnation)`, whose tickets the peer took over at a handover.
    pub adopted: Vec<(Name, u64)>,
}

/// The ticket state of an incarnation, which is handed over to a successor at a planned stop.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Book {
    /// The entry that issued the tickets.
    pub issuer: Name,
    /// The process of the entry that issued the tickets.
    pub incarnation: u64,
    /// The secret from which nonces are derived.
    pub secret: u64,
    /// The sequence number that would have been issued next.
    pub next: u64,
    /// Pairs of a number and an age: all tickets below the number were issued at least that long
    /// before the handover, within the granularity of expiries.
    pub issued: Vec<(u64, Ms)>,
    /// The numbers of used tickets with their outcomes; `None` when the outcome is not retained or
    /// not known.
    pub spent: Vec<(u64, Option<Outcome>)>,
}

/// The input of the request path's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller or a peer sent a request.
    Arrived(Call),
    /// The caller or peer no longer waits for the request with this id.
    Withdrawn(u64),
    /// An attempt ended.
    Finished(Attempt, Ending),
    /// Lets timers fire and tickets expire. Sent every 10 ms and at [`Machine::next_timer`].
    Tick,
    /// The complete list of the targets that this entry owns.
    Targets(Vec<Target>),
    /// The complete list of live peers.
    Peers(Vec<Peer>),
    /// A configuration came into force.
    Config(Arc<Checked>),
    /// A peer that is stopping hands over its tickets.
    Adopt(Book),
    /// The entry is stopping: it refuses new requests and completes those in flight.
    Stopping,
}

/// An instruction of the request path to the embedder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends a request to an owned target. The embedder reports the result with
    /// [`Event::Finished`].
    Send {
        /// Identifies the attempt in [`Event::Finished`].
        attempt: Attempt,
        /// The VM of the target.
        vm: Name,
        /// The ownership epoch to send with the request.
        epoch: Epoch,
        /// The request to send.
        call: Arc<Call>,
        /// The point in time at which an attempt without an answer counts as failed.
        timeout: Ms,
    },
    /// Sends a request to a peer. The embedder reports the result with [`Event::Finished`], which
    /// carries [`Ending::Refused`] when the peer refused the request.
    Forward {
        /// Identifies the attempt in [`Event::Finished`].
        attempt: Attempt,
        /// The entry to forward to.
        entry: Name,
        /// The request to forward.
        call: Arc<Call>,
        /// The point in time at which an attempt without an answer counts as failed.
        timeout: Ms,
    },
    /// Abandons an attempt: its connection is closed and never used again.
    Abandon(Attempt),
    /// Answers the caller or the forwarding peer.
    Reply {
        /// The id of the request.
        call: u64,
        /// The outcome to return.
        outcome: Outcome,
    },
    /// Reports the service time of an answered attempt to the control path.
    Measured {
        /// The VM of the target.
        vm: Name,
        /// The service of the request.
        service: Name,
        /// The kind of the request.
        kind: Name,
        /// The time from sending the request to receiving the complete answer.
        time: Ms,
    },
    /// Records an event in the timeline.
    Note(Note),
}
