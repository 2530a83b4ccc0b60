//! Placement of batch tasks on the workers of owned groups.
//!
//! The ledger records which tasks are booked on which workers, and the board decides which waiting
//! task starts where and which running task is throttled or evicted.

mod acknowledge;
mod answer;
mod board;
mod choose;
mod command;
mod ended;
mod events;
mod extra;
mod index;
pub(crate) mod ledger;
mod monitor;
mod outcome;
mod queue;
mod report;
mod reserve;
mod store;
mod view;

use std::sync::Arc;

pub use self::board::Board;
use crate::clock::Ms;
use crate::config::Checked;
use crate::name::Name;
use crate::operator::Progress;
use crate::piece::Piece;
use crate::resource::Size;
use crate::timeline::Note;
use crate::vm::Vm;
use crate::worker;
use crate::worker::Epoch;
use crate::worker::Report;
use crate::worker::Verb;

/// The identifier of a command, unique within one board.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// An input of a board.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<Checked>),
    /// A worker of an owned group accepted this entry's epoch, or reported again under it. The
    /// report replaces what was recorded of the worker before.
    Adopted {
        /// The worker's VM.
        vm: Vm,
        /// The epoch that the worker accepted.
        epoch: Epoch,
        /// The worker's state, including all tasks on it.
        report: Report,
    },
    /// A worker is leaving (`true`), or returns to service (`false`). Nothing is placed on a worker
    /// that is leaving.
    Leaving(Name, bool),
    /// A worker's VM was removed from the platform's list. Its tasks stay booked until their lease
    /// and the clock bound have passed.
    Unlisted(Name),
    /// The ownership of a group was lost or handed over. Its workers and pieces are removed.
    GroupLost(Name),
    /// Whether the waiting tasks of this group's old pieces are frozen. They are while a worker of
    /// the group that has not yet reported may still run them.
    Frozen(Name, bool),
    /// A worker refused this entry's epoch, because another entry owns it now.
    Fenced(Name),
    /// Whether this entry is only the caretaker of a group and may do no more than renew leases.
    Caretaker(Name, bool),
    /// A piece assigned to an owned group was read from the table or newly stored.
    Piece {
        /// The group that the piece is assigned to.
        group: Name,
        /// The piece as it is stored.
        piece: Piece,
        /// Whether the piece was stored before the group was taken over, so that freezing applies.
        old: bool,
    },
    /// A piece was moved to another group, or ended some time ago, and is removed here.
    Moved(Name),
    /// A job was cancelled: its waiting tasks end and its running tasks are stopped.
    Cancel(Name),
    /// The state that this piece had at its last [`Order::Store`] is now in the table.
    Stored(Name),
    /// A command was answered, or ended without an answer.
    Ended(Id, worker::Outcome),
    /// The resources that the tasks of each team hold on the workers of all other entries.
    HeldElsewhere(Vec<(Name, Size)>),
    /// The time that a target took for a request was measured.
    Measured {
        /// The VM of the target.
        vm: Name,
        /// The service of the request.
        service: Name,
        /// The kind of the request.
        kind: Name,
        /// The service time.
        time: Ms,
    },
    /// The periodic timer, sent every 100 ms.
    Tick,
}

/// An output of a board, which the control path carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Commands a worker under the owner's epoch; ends with [`Event::Ended`].
    Command {
        /// The identifier that the end of the command refers to.
        id: Id,
        /// The VM of the worker.
        vm: Name,
        /// What the worker is asked to do.
        verb: Verb,
    },
    /// Stores the changed state of a piece with the next commit; ends with [`Event::Stored`].
    Store(Name),
    /// Offers a piece to other groups with free capacity, because its waiting tasks cannot start
    /// here soon.
    Surplus(Name),
    /// Reports how much batch work slows down the services on this worker: their service time in
    /// percent of the time without batch work.
    Slowdown(Name, u32),
    /// Records an event in the timeline.
    Note(Note),
}

/// The state of a worker, for status answers, digests and the list of targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The worker's VM.
    pub vm: Name,
    /// The group that the worker belongs to.
    pub group: Name,
    /// The resources booked for tasks.
    pub booked: Size,
    /// The resources free for more tasks; zero while nothing may be placed on the worker.
    pub room: Size,
    /// The number of booked tasks and of other attempts that run on the worker.
    pub tasks: u32,
    /// Whether the worker is quarantined, because the tasks that it starts fail.
    pub quarantined: bool,
}

/// Queries of a board's state, which have no side effect.
pub trait Read {
    /// Returns the current state of a piece in its stored form, if the board holds the piece.
    fn piece(&self, name: &Name) -> Option<Piece>;
    /// Returns the progress of one job, or of all jobs, counted over the pieces held here.
    fn progress(&self, job: Option<&Name>) -> Vec<Progress>;
    /// Returns a summary of each adopted worker.
    fn workers(&self) -> Vec<Summary>;
    /// Returns the resources that the tasks of each team hold on the workers of this board.
    fn held(&self) -> Vec<(Name, Size)>;
}
