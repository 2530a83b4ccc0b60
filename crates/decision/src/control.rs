//! The control path: membership, ownership, placement, protection of services, configuration.

mod adopt;
mod call;
mod drain;
mod drive;
mod exchange;
mod flush;
mod handover;
mod leftover;
mod machine;
mod own;
mod scan;
mod status;
mod store;
mod stranded;
mod submit;
mod surplus;

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

/// Identifies an operation that the shell carries out, within this entry's process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// What happens to the control path.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went by; sent every 100 ms.
    Tick,
    /// A table operation ended.
    Table(Id, table::Outcome),
    /// An object operation ended.
    Object(Id, object::Outcome),
    /// A worker command ended.
    Worker(Id, worker::Outcome),
    /// The platform's list of VMs, whole; read every second.
    Vms(Vec<Vm>),
    /// A message from a peer that needs no answer from the control path, or an answer to a
    /// message of ours.
    Peer(Envelope),
    /// A message from a peer that waits for [`Action::Respond`].
    PeerRequest(u64, Envelope),
    /// A message of ours was not answered.
    Unanswered(Id),
    /// An operator's call, to be answered by [`Action::OperatorReply`].
    Operator(u64, operator::Call),
    /// The state of this entry's request path, for digests.
    Load(request::Peer),
    /// A service time seen on an owned target.
    Measured {
        /// The target.
        vm: Name,
        /// The service.
        service: Name,
        /// The kind of request.
        kind: Name,
        /// The time taken.
        time: Ms,
    },
    /// The entry stops: groups are handed over.
    Stopping,
}

/// What the shell carries out for the control path.
#[derive(Clone, Debug)]
pub enum Action {
    /// Asks the table; ends with [`Event::Table`].
    Table(Id, table::Operation),
    /// Asks the object store; ends with [`Event::Object`].
    Object(Id, object::Operation),
    /// Commands a worker; ends with [`Event::Worker`].
    Worker {
        /// The operation.
        id: Id,
        /// The worker.
        vm: Name,
        /// The command.
        command: worker::Command,
    },
    /// Sends to a peer; ends with [`Event::Peer`] or [`Event::Unanswered`].
    Send {
        /// The operation.
        id: Id,
        /// The peer's address.
        to: std::net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Answers a peer's message.
    Respond(u64, Message),
    /// Answers an operator's call.
    OperatorReply(u64, operator::Reply),
    /// The owned targets changed; goes to the request path.
    Targets(Vec<request::Target>),
    /// The live peers changed; goes to the request path.
    Peers(Vec<request::Peer>),
    /// A configuration came into force; goes to the request path.
    Config(Version, Arc<Checked>),
    /// Nothing is owned or in flight any more after [`Event::Stopping`].
    Stopped,
    /// Records an event.
    Note(Note),
}

/// What an entry knows of itself when it starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The entry's name.
    pub entry: Name,
    /// The process, unique for all time.
    pub incarnation: u64,
    /// Where peers reach it.
    pub address: std::net::SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Where other entries may be found.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Seeds the randomness.
    pub seed: u64,
}
