//! Messages between entries.

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

/// A message in its envelope.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The sending entry.
    pub from: Name,
    /// The sending process.
    pub incarnation: u64,
    /// The sender's Lamport counter.
    pub lamport: u64,
    /// The contents.
    pub message: Message,
}

/// What one entry tells or asks another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Sent every 500 ms; answered by the receiver's own digest.
    Digest(Digest),
    /// A request to be run by the receiver; answered by [`Message::Outcome`].
    Forward(Forward),
    /// The outcome of a forwarded request.
    Outcome(request::Outcome),
    /// A configuration, pushed after acceptance; answered by [`Message::Digest`].
    Config {
        /// The version.
        version: Version,
        /// The contents.
        document: Document,
    },
    /// Groups given to the receiver at a planned stop; answered by [`Message::Done`].
    HandOver(Vec<Group>),
    /// Tickets given to the receiver at a planned stop; answered by [`Message::Done`].
    Book(request::Book),
    /// A job piece was stored for a group that the receiver owns; answered by [`Message::Done`].
    Job {
        /// The group.
        group: Name,
        /// The job.
        job: Name,
    },
    /// A worker was taken out of service by an operator, or returned to it; answered by
    /// [`Message::Done`].
    Drain {
        /// The worker.
        vm: Name,
        /// Whether it leaves.
        leave: bool,
    },
    /// An operator's call that the receiver can settle; answered by [`Message::Operated`].
    Operate(operator::Call),
    /// The result of an operator's call.
    Operated(operator::Reply),
    /// The message was taken in.
    Done,
}

/// A forwarded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forward {
    /// The service asked.
    pub service: Name,
    /// The kind.
    pub kind: Name,
    /// The team.
    pub team: Name,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its ticket.
    pub ticket: Option<Ticket>,
    /// The time left until its deadline.
    pub remaining: Ms,
    /// The contents.
    pub body: Bytes,
}

/// A group with the epoch under which the receiver may act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Group {
    /// The group.
    pub name: Name,
    /// The epoch: the giver's, with the next step.
    pub epoch: Epoch,
}

/// An entry's summary of itself and of what it heard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    pub member: Member,
    /// Other members that the sender heard of, with the age of the news.
    pub others: Vec<(Member, Ms)>,
}

/// What is known of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The entry.
    pub entry: Name,
    /// Its process.
    pub incarnation: u64,
    /// Where peers reach it.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Rises with each digest of the incarnation.
    pub beat: u64,
    /// The configuration in force.
    pub version: Version,
    /// What its request path offers.
    pub request: request::Peer,
    /// Free room for batch work on its workers, by group.
    pub room: Vec<(Name, Size)>,
    /// What its tasks hold, by team.
    pub held: Vec<(Name, Size)>,
}
