//! Workers, pieces and bookings: which task attempts run, or may run, on which workers.

mod booking;
mod output;
pub(crate) mod piece;
pub(crate) mod worker;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use self::piece::Key;
use self::piece::Piece;
use self::worker::Worker;
use super::Id;
use super::Order;
use crate::clock::Ms;
use crate::config::Checked;
use crate::name::Name;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::Booking;
use crate::worker::Fault;
use crate::worker::Task;

/// A notification from the ledger to the placement policy after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Signal {
    /// A task waits to be started or resumed.
    Waiting(Key),
    /// The free capacity of a worker changed, or whether tasks may be placed on it.
    Room(u32),
    /// A report of a worker was applied.
    Reported(u32),
    /// A worker was removed from the ledger.
    Removed(u32),
    /// The eviction of a task was aborted, because its checkpoint could not be written.
    EvictionAborted(Key),
    /// An attempt completed, with its booking and its last reported state.
    Completed(Key, Booking, Task),
    /// An attempt failed. The task is not placed again before the policy calls [`Ledger::requeue`].
    Failed(Key, Booking, Fault, Task),
}

/// A group of workers with the pieces assigned to it.
#[derive(Debug)]
pub struct Group {
    /// The name of the group.
    pub name: Name,
    /// Whether tasks of old pieces may not be started.
    pub frozen: bool,
    /// Whether this entry is only the caretaker of the group and sends no commands to its workers.
    pub caretaker: bool,
    /// The indices of its workers.
    pub workers: HashSet<u32>,
    /// The indices of its pieces.
    pub pieces: HashSet<u32>,
    /// The workers with attempts in [`Worker::extra`].
    pub holders: BTreeSet<u32>,
    /// A counter that rises when the set of workers or their capacities change.
    pub version: u64,
}

/// The purpose of a command in flight, which decides what follows from its end.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// The start of a task's attempt.
    Start(Key, u32),
    /// The stop of a task's attempt.
    Stop(Key, u32),
    /// The throttling of a task's attempt; also used to query whether the attempt is on the worker.
    Throttle(Key, u32),
    /// A checkpoint of a running task.
    Checkpoint,
    /// An acknowledgement of ended attempts.
    Acknowledge,
    /// The stop of an attempt of the named task that should not run.
    StopExtra(Name),
}

/// The state of all workers, pieces and commands in flight.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The time of the event being handled.
    pub now: Ms,
    /// The configuration in force.
    pub config: Arc<Checked>,
    /// The resources that each worker keeps free for services: the sum of their reservations.
    pub reserve: Size,
    /// The workers by index; `None` after a worker was removed. Indices are not reused.
    pub workers: Vec<Option<Worker>>,
    /// The pieces by index; `None` after a piece was removed. Indices are not reused.
    pub pieces: Vec<Option<Piece>>,
    /// The groups by index.
    pub groups: Vec<Group>,
    /// The resources booked for the tasks of each team.
    pub held: HashMap<Name, Size>,
    pub(crate) worker_by_vm: HashMap<Name, u32>,
    pub(super) piece_by_name: HashMap<Name, u32>,
    /// The indices of the held pieces of each job.
    pub(super) jobs: HashMap<Name, Vec<u32>>,
    pub(super) group_by_name: HashMap<Name, u32>,
    /// The commands in flight, each with the index of its worker and its purpose.
    pub(super) in_flight: HashMap<Id, (u32, Purpose)>,
    /// Tasks of cancelled jobs that may have to be stopped, in the order of processing.
    pub(super) cancels: std::collections::VecDeque<Key>,
    /// Adopted workers whose VMs are not listed any more. They are removed when their leases have
    /// certainly expired.
    pub(super) unlisted: Vec<u32>,
    /// Changed pieces for which a store is to be ordered.
    pub(super) dirty: Vec<u32>,
    /// Pieces with acknowledgements that may be due.
    pub(super) pieces_to_ack: Vec<u32>,
    /// Workers that ended an acknowledgement, so that the next one can be sent.
    pub(super) workers_to_ack: Vec<u32>,
    pub(super) signals: Vec<Signal>,
    orders: Vec<Order>,
    last_id: u64,
}

impl Ledger {
    /// Returns the worker at an index.
    ///
    /// # Panics
    ///
    /// If the worker was removed.
    #[must_use]
    pub fn worker(&self, index: u32) -> &Worker {
        self.workers[index as usize]
            .as_ref()
            .expect("the worker at this index was not removed")
    }

    pub(super) fn worker_mut(&mut self, index: u32) -> &mut Worker {
        self.workers[index as usize]
            .as_mut()
            .expect("the worker at this index was not removed")
    }

    /// Returns the piece at an index.
    ///
    /// # Panics
    ///
    /// If the piece was removed.
    #[must_use]
    pub fn piece(&self, index: u32) -> &Piece {
        self.pieces[index as usize]
            .as_ref()
            .expect("the piece at this index was not removed")
    }

    pub(super) fn piece_mut(&mut self, index: u32) -> &mut Piece {
        self.pieces[index as usize]
            .as_mut()
            .expect("the piece at this index was not removed")
    }

    /// Returns the state of a task, if its piece is still held.
    #[must_use]
    pub fn task(&self, key: Key) -> Option<&Any> {
        let piece = self.pieces.get(key.piece as usize)?.as_ref()?;
        piece.tasks.get(usize::from(key.task))
    }

    /// Returns the history of a task for changes, unless the task has ended.
    pub fn history_mut(&mut self, key: Key) -> Option<&mut task::History> {
        let piece = self.pieces.get_mut(key.piece as usize)?.as_mut()?;
        piece.tasks.get_mut(usize::from(key.task))?.history_mut()
    }

    /// Returns the running attempt of a task for changes, if there is one.
    pub fn run_mut(&mut self, key: Key) -> Option<&mut task::Running> {
        let piece = self.pieces.get_mut(key.piece as usize)?.as_mut()?;
        piece.tasks.get_mut(usize::from(key.task))?.run_mut()
    }

    pub(super) fn task_mut(&mut self, key: Key) -> &mut Any {
        &mut self.piece_mut(key.piece).tasks[usize::from(key.task)]
    }

    /// Returns the name of a task, `job#index`.
    #[must_use]
    pub fn task_name(&self, key: Key) -> Name {
        let piece = self.piece(key.piece);
        let index = piece.first + u32::from(key.task);
        let raw = format!("{}#{index}", piece.job.name);
        Name::try_from(raw).expect("a job's name leaves room for a task's index")
    }

    pub(super) fn find_task(&self, task: &Name) -> Option<Key> {
        let (job, index) = task.rsplit_once('#')?;
        let index: u32 = index.parse().ok()?;
        let pieces = self.jobs.get(job)?;
        pieces.iter().find_map(|&at| {
            let piece = self.piece(at);
            let offset = index.checked_sub(piece.first)?;
            let task = u16::try_from(offset).ok()?;
            (usize::from(task) < piece.tasks.len()).then_some(Key { piece: at, task })
        })
    }

    pub(super) fn group(&mut self, name: &Name) -> u32 {
        if let Some(&found) = self.group_by_name.get(name) {
            return found;
        }
        let index = u32::try_from(self.groups.len()).expect("there are fewer than 2^32 groups");
        self.groups.push(Group {
            name: name.clone(),
            frozen: false,
            caretaker: false,
            workers: HashSet::new(),
            pieces: HashSet::new(),
            holders: BTreeSet::new(),
            version: 0,
        });
        self.group_by_name.insert(name.clone(), index);
        index
    }

    /// Returns whether tasks of the piece may be started now.
    #[must_use]
    pub fn startable(&self, index: u32) -> bool {
        let piece = self.piece(index);
        let group = &self.groups[piece.group as usize];
        !(piece.cancelled || group.caretaker || (piece.old && group.frozen))
    }

    /// Returns whether tasks may be placed on the worker. The policy may still exclude the worker.
    #[must_use]
    pub fn placeable(&self, index: u32) -> bool {
        let worker = self.worker(index);
        worker.reachable()
            && !worker.leaving
            && !worker.unresponsive
            && !self.groups[worker.group as usize].caretaker
    }

    /// Returns a copy of a task's state, for a transition that [`Self::set_task`] completes.
    pub(super) fn clone_task(&self, key: Key) -> Any {
        self.piece(key.piece).tasks[usize::from(key.task)].clone()
    }
}
