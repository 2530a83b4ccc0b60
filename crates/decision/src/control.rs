//! The control path: membership, ownership of groups, placement of tasks, protection of services
//! and configuration.

mod acquire;
mod adopt;
mod call;
mod drain;
mod drive;
mod exchange;
mod flush;
mod handover;
mod hold;
mod machine;
mod ownership;
mod scan;
mod status;
mod store;
mod stranded;
mod submit;
mod surplus;
mod unacknowledged;

use std::sync::Arc;

pub use self::machine::Machine;
use crate::clock::Ms;
use crate::config::Checked;
use crate::config::Version;
use crate::name::Name;
use crate::object;
use crate::operator;
use crate::peer::Envelope;
use crate::peer::Message;
use crate::request;
use crate::table;
use crate::timeline::Note;
use crate::vm::Vm;
use crate::worker;

/// Identifies an operation that the embedder carries out. Ids rise and are unique within the
/// process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// An input of the control path, processed in one step of the [`Machine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer, sent every 100 ms.
    Tick,
    /// The outcome of the [`Action::Table`] with this id.
    Table(Id, table::Outcome),
    /// The outcome of the [`Action::Object`] with this id.
    Object(Id, object::Outcome),
    /// The outcome of the [`Action::Worker`] with this id.
    Worker(Id, worker::Outcome),
    /// The platform's complete list of VMs, which the embedder reads every second.
    Vms(Vec<Vm>),
    /// A message from a peer that needs no answer from the control path, or the answer to a
    /// message that this entry sent.
    Peer(Envelope),
    /// A message from a peer, to be answered by an [`Action::Respond`] with the same number.
    PeerRequest(u64, Envelope),
    /// The peer did not answer the [`Action::Send`] with this id.
    Unanswered(Id),
    /// An operator's call, to be answered by an [`Action::OperatorReply`] with the same number.
    Operator(u64, operator::Call),
    /// The state of this entry's request path, which digests carry to peers.
    Load(request::Peer),
    /// A service time that the request path measured on an owned target.
    Measured {
        /// The VM of the target.
        vm: Name,
        /// The service that was called.
        service: Name,
        /// The kind of request.
        kind: Name,
        /// The measured service time.
        time: Ms,
    },
    /// The entry begins its graceful stop and hands its groups over.
    Stopping,
}

/// An output of the control path, which the embedder carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Runs a table operation, whose outcome arrives as [`Event::Table`].
    Table(Id, table::Operation),
    /// Runs an object store operation, whose outcome arrives as [`Event::Object`].
    Object(Id, object::Operation),
    /// Sends a command to a worker; the outcome arrives as [`Event::Worker`].
    Worker {
        /// The id under which the outcome is reported.
        id: Id,
        /// The VM of the worker.
        vm: Name,
        /// The command and the epoch under which it is sent.
        command: worker::Command,
    },
    /// Sends a message to a peer; results in [`Event::Peer`] or [`Event::Unanswered`].
    Send {
        /// The id under which a missing answer is reported.
        id: Id,
        /// The peer's address.
        to: std::net::SocketAddr,
        /// The message, without the envelope that the embedder adds.
        message: Message,
    },
    /// Answers the [`Event::PeerRequest`] with this number.
    Respond(u64, Message),
    /// Answers the [`Event::Operator`] with this number.
    OperatorReply(u64, operator::Reply),
    /// Replaces the set of owned targets in the request path.
    Targets(Vec<request::Target>),
    /// Replaces the set of live peers in the request path.
    Peers(Vec<request::Peer>),
    /// Puts a configuration into force in the request path.
    Config(Version, Arc<Checked>),
    /// Reports the end of the stop that [`Event::Stopping`] began: nothing is owned or in flight
    /// any more, or the time limit of the stop has passed.
    Stopped,
    /// Records an event in the timeline.
    Note(Note),
}

/// What an entry knows about itself when it starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The entry's name.
    pub entry: Name,
    /// The number of this process, which no other process ever has.
    pub incarnation: u64,
    /// The address at which peers reach the entry.
    pub address: std::net::SocketAddr,
    /// The failure domain in which the entry runs.
    pub domain: Name,
    /// Addresses at which other entries may be found.
    pub seeds: Vec<std::net::SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
}
