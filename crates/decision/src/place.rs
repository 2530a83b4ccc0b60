//! Placement of tasks on the workers of owned groups.

mod board;
mod choose;
mod command;
mod events;
mod index;
pub(crate) mod ledger;
mod monitor;
mod outcome;
mod queue;
mod report;
mod reserve;
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

/// Identifies a command within one board.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(pub u64);

/// What happens to a board.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Config(Arc<Checked>),
    /// A worker of an owned group accepted our epoch; its report is the truth now.
    Adopted {
        /// The worker.
        vm: Vm,
        /// The epoch.
        epoch: Epoch,
        /// Its state.
        report: Report,
    },
    /// A worker is leaving, or returns to service.
    Leaving(Name, bool),
    /// A worker's VM is gone from the platform's list. Its tasks stay booked until their lease
    /// and the clock bound have passed.
    Unlisted(Name),
    /// The group was lost or handed over: its workers and pieces are forgotten.
    GroupLost(Name),
    /// Tasks of this group's stored pieces are frozen, because some worker of the group may run
    /// them unseen, or no longer so.
    Frozen(Name, bool),
    /// A worker refused our epoch; it belongs to another entry now.
    Fenced(Name),
    /// Whether only renewals are allowed in this group, as its caretaker.
    Caretaker(Name, bool),
    /// A piece assigned to an owned group was read from the table or newly stored.
    Piece {
        /// The group.
        group: Name,
        /// The piece.
        piece: Piece,
        /// Whether it was stored before the group was taken over, so that freezing applies.
        old: bool,
    },
    /// A piece was moved away; it is forgotten.
    Moved(Name),
    /// A job was cancelled.
    Cancel(Name),
    /// The state of this piece, as of the last [`Order::Store`] taken, is stored.
    Stored(Name),
    /// A command ended.
    Ended(Id, worker::Outcome),
    /// What the tasks of a team hold on the workers of all other entries.
    HeldElsewhere(Vec<(Name, Size)>),
    /// A service time was seen.
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
    /// Time went by; sent every 100 ms.
    Tick,
}

/// What the control path carries out for a board.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Commands a worker under the owner's epoch; ends with [`Event::Ended`].
    Command {
        /// The command.
        id: Id,
        /// The worker.
        vm: Name,
        /// What to do.
        verb: Verb,
    },
    /// The piece changed and is to be stored with the next commit; ends with [`Event::Stored`].
    Store(Name),
    /// The piece's waiting tasks cannot start here soon; it may be moved to a group with room.
    Surplus(Name),
    /// The slowdown that batch work causes to services on this worker, in percent.
    Slowdown(Name, u32),
    /// Records an event.
    Note(Note),
}

/// A worker as the board sees it, for status, digests and targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The worker.
    pub vm: Name,
    /// The group.
    pub group: Name,
    /// What is booked for tasks.
    pub booked: Size,
    /// What is free for more tasks.
    pub room: Size,
    /// How many tasks are booked.
    pub tasks: u32,
    /// Whether it is quarantined because everything it starts fails.
    pub quarantined: bool,
}

/// Reads of a board, beside its events.
pub trait Read {
    /// The current state of a piece, to be stored.
    fn piece(&self, name: &Name) -> Option<Piece>;
    /// The progress of the pieces held of a job, or of all jobs.
    fn progress(&self, job: Option<&Name>) -> Vec<Progress>;
    /// All adopted workers.
    fn workers(&self) -> Vec<Summary>;
    /// What the tasks of each team hold here.
    fn held(&self) -> Vec<(Name, Size)>;
}
