//! The messages that entries exchange.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Ms;
use crate::config::Document;
use crate::config::Version;
use crate::name::Name;
use crate::operator;
use crate::request;
use crate::resource::Size;
use crate::ticket::Ticket;
use crate::worker::Epoch;

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The entry that sent the message.
    pub from: Name,
    /// The process of the entry that sent the message.
    pub incarnation: u64,
    /// The sender's Lamport counter, which orders the events of different entries.
    pub lamport: u64,
    /// The message itself.
    pub message: Message,
}

/// A request of one entry to another, or the answer to one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Exchanges membership; sent every 500 ms and answered by the receiver's own digest.
    Digest(Digest),
    /// Asks the receiver to run a request; answered by [`Message::Outcome`].
    Forward(Forward),
    /// Returns the outcome of a forwarded request.
    Outcome(request::Outcome),
    /// Distributes a configuration after it was accepted; answered by [`Message::Digest`].
    Config {
        /// The version under which the configuration was accepted.
        version: Version,
        /// The accepted configuration.
        document: Document,
    },
    /// Hands groups over to the receiver, for rebalancing or at a planned stop; answered by
    /// [`Message::Done`].
    HandOver(Vec<Group>),
    /// Hands tickets over to the receiver at a planned stop; answered by [`Message::Done`].
    Book(request::Book),
    /// Notifies the receiver that a job piece was stored for a group that it owns; answered by
    /// [`Message::Done`].
    Job {
        /// The group for which the piece was stored.
        group: Name,
        /// The job to which the piece belongs.
        job: Name,
    },
    /// Notifies the receiver that an operator took a worker out of service or returned it; answered
    /// by [`Message::Done`].
    Drain {
        /// The VM of the worker.
        vm: Name,
        /// Whether the worker is taken out of service.
        leave: bool,
    },
    /// Passes on an operator's call that the receiver can handle; answered by
    /// [`Message::Operated`].
    Operate(operator::Call),
    /// Returns the result of an operator's call.
    Operated(operator::Reply),
    /// Confirms that the message was processed.
    Done,
}

/// A forwarded request. Unlike [`request::Call`] it carries no id and a relative deadline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forward {
    /// The service that the request is addressed to.
    pub service: Name,
    /// The kind of request within the service.
    pub kind: Name,
    /// The team whose weight in the queue applies to the request.
    pub team: Name,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key. Absent if the request is repeatable or forwarded for capacity.
    pub ticket: Option<Ticket>,
    /// The time left until the deadline.
    pub remaining: Ms,
    /// The request body.
    pub body: Bytes,
}

/// A group with the epoch under which the receiver may act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The name of the group.
    pub name: Name,
    /// The epoch of the sender with the step increased by one.
    pub epoch: Epoch,
}

/// The membership information that an entry has about itself and others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's own state.
    pub member: Member,
    /// The other members known to the sender, each with the age of the information.
    pub others: Vec<(Member, Ms)>,
}

/// The state of one entry, as it is distributed to all entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The name of the entry.
    pub entry: Name,
    /// Identifies the process of the entry.
    pub incarnation: u64,
    /// The address at which peers reach the entry.
    pub address: std::net::SocketAddr,
    /// The failure domain in which the entry runs.
    pub domain: Name,
    /// The number of the last heartbeat, which increases with each digest and each write of the
    /// row of this incarnation.
    pub beat: u64,
    /// The version of the configuration in force at the entry.
    pub version: Version,
    /// The load of the entry's request path.
    pub request: request::Peer,
    /// The resources of its workers that are free for batch work, by group.
    pub room: Vec<(Name, Size)>,
    /// The resources granted to its tasks, by team.
    pub held: Vec<(Name, Size)>,
}
