//! Workers, pieces and bookings: which task attempts run, or may run, on which workers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use super::Id;
use super::Order;
use crate::clock::Ms;
use crate::config::Checked;
use crate::interference::Presence;
use crate::name::Name;
use crate::operator::Job;
use crate::piece;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::Booking;
use crate::timeline::Kind;
use crate::timeline::Note;
use crate::vm::Vm;
use crate::worker;
use crate::worker::Epoch;
use crate::worker::Fault;
use crate::worker::Verb;

/// The key of a task of a held piece.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The index of the piece in [`Ledger::pieces`].
    pub piece: u32,
    /// The index of the task within the piece.
    pub task: u16,
}

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
    Completed(Key, Booking, worker::Task),
    /// An attempt failed. The task is not placed again before the policy calls [`Ledger::requeue`].
    Failed(Key, Booking, Fault, worker::Task),
}

/// The number of tasks of one kind on a worker, and the processors that they hold.
#[derive(Clone, Debug)]
pub struct Usage {
    /// The kind of the tasks.
    pub kind: Name,
    /// The number of tasks.
    pub count: u32,
    /// The processor time granted to them, in thousandths of a core.
    pub millicores: u32,
}

/// A worker with the resources and tasks booked on it.
#[derive(Debug)]
pub struct Worker {
    /// The VM as the platform lists it.
    pub vm: Vm,
    /// The index of its group in [`Ledger::groups`].
    pub group: u32,
    /// The epoch under which the worker was adopted.
    pub epoch: Epoch,
    /// The capacity that the worker last reported.
    pub capacity: Size,
    /// The resources that services on the worker used when last measured.
    pub service: Size,
    /// The number of requests in progress when last reported.
    pub busy: u32,
    /// The resources booked for tasks, including running attempts in `extra`.
    pub booked: Size,
    /// The tasks of held pieces that are booked on the worker.
    pub tasks: Vec<Key>,
    /// The kinds of these tasks.
    pub kinds: Vec<Usage>,
    /// Attempts on the worker that belong to no task booked here.
    pub extra: Vec<worker::Task>,
    /// Whether the worker is leaving; nothing is placed on it.
    pub leaving: bool,
    /// Whether the worker refused this entry's epoch; no commands are sent to it.
    pub fenced: bool,
    /// Whether a command failed or was refused for lack of room since the last report; nothing is
    /// placed on the worker.
    pub unresponsive: bool,
    /// When the VM was removed from the platform's list; `None` while it is listed.
    pub unlisted: Option<Ms>,
    /// Ended attempts to acknowledge, by task name and attempt.
    pub acks: Vec<(Name, u32)>,
    /// Whether an acknowledgement is in flight.
    pub ack_in_flight: bool,
}

/// The pending acknowledgement of an ended attempt, which its worker keeps until then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// The index of the worker that reported the end.
    pub worker: u32,
    /// The index of the task within the piece.
    pub task: u16,
    /// The number of the attempt.
    pub attempt: u32,
    /// The number of the piece's change that must be stored before.
    pub change: u64,
    /// The earliest time to acknowledge. A late start of the attempt can still arrive before, and
    /// would run the task again if the worker had removed the attempt.
    pub not_before: Ms,
}

/// A held piece with the current states of its tasks.
#[derive(Debug)]
pub struct Piece {
    /// The name of the piece, `job.number`.
    pub name: Name,
    /// The index of its group in [`Ledger::groups`].
    pub group: u32,
    /// The declaration of the job.
    pub job: Job,
    /// The index of the first task within the job.
    pub first: u32,
    /// The states of the tasks in index order.
    pub tasks: Vec<Any>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the piece was stored before the group was taken over, so that freezing applies.
    pub old: bool,
    /// The number of changes made to the piece.
    pub change: u64,
    /// The number of changes that the outstanding store covers; `None` if no store is outstanding.
    pub ordered: Option<u64>,
    /// Whether the piece is listed for the next round of stores.
    pub queued: bool,
    /// The number of changes known to be stored.
    pub stored: u64,
    /// Acknowledgements that are not yet due.
    pub acks: Vec<Ack>,
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

impl Worker {
    /// Returns what batch work may use: the capacity without the services' reservation or, in each
    /// dimension where it is larger, their measured use.
    #[must_use]
    pub fn limit(&self, reserve: Size) -> Size {
        self.capacity.minus(reserve.max(self.service))
    }

    /// Returns the capacity that is free for more tasks.
    #[must_use]
    pub fn room(&self, reserve: Size) -> Size {
        self.limit(reserve).minus(self.booked)
    }

    fn count_kind(&mut self, kind: &Name, millicores: u32) {
        match self.kinds.iter_mut().find(|held| held.kind == *kind) {
            Some(held) => {
                held.count += 1;
                held.millicores += millicores;
            }
            None => self.kinds.push(Usage {
                kind: kind.clone(),
                count: 1,
                millicores,
            }),
        }
    }

    fn discount_kind(&mut self, kind: &Name, millicores: u32) {
        if let Some(at) = self.kinds.iter().position(|held| held.kind == *kind) {
            let held = &mut self.kinds[at];
            held.count -= 1;
            held.millicores = held.millicores.saturating_sub(millicores);
            if held.count == 0 {
                self.kinds.swap_remove(at);
            }
        }
    }

    /// Returns the kinds of tasks on the worker with the shares of its processors that they hold.
    pub fn presence(&self) -> impl Iterator<Item = Presence<'_>> + Clone {
        self.kinds.iter().map(|held| Presence {
            kind: &held.kind,
            share: self.share(held.millicores),
        })
    }

    /// Converts processor time to a share of the worker's processors.
    #[must_use]
    pub fn share(&self, millicores: u32) -> f64 {
        f64::from(millicores) / f64::from(self.capacity.millicores.max(1))
    }

    /// Returns whether commands may be sent to the worker.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        !self.fenced && self.unlisted.is_none()
    }
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

    fn book(&mut self, key: Key, booking: Booking) {
        let piece = self.pieces[key.piece as usize].as_ref();
        let job = &piece.expect("the piece at this index was not removed").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("the worker at this index was not removed");
        worker.booked = worker.booked.plus(booking.grant);
        worker.tasks.push(key);
        worker.count_kind(&job.kind, booking.grant.millicores);
        match self.held.get_mut(&job.team) {
            Some(held) => *held = held.plus(booking.grant),
            None => {
                self.held.insert(job.team.clone(), booking.grant);
            }
        }
        self.signals.push(Signal::Room(booking.worker));
    }

    pub(super) fn unbook(&mut self, key: Key, booking: Booking) {
        let piece = self.pieces[key.piece as usize].as_ref();
        let job = &piece.expect("the piece at this index was not removed").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("the worker at this index was not removed");
        worker.booked = worker.booked.minus(booking.grant);
        worker.tasks.retain(|&other| other != key);
        worker.discount_kind(&job.kind, booking.grant.millicores);
        if let Some(held) = self.held.get_mut(&job.team) {
            *held = held.minus(booking.grant);
        }
        self.signals.push(Signal::Room(booking.worker));
    }

    /// Replaces the state of a task, updates its booking, and signals when the task begins to wait.
    /// A task of a cancelled job ends instead of waiting.
    pub(super) fn set_task(&mut self, key: Key, next: Any) {
        let waited = self.task_mut(key).is_waiting();
        self.set_task_silently(key, next);
        if !waited && self.task_mut(key).is_waiting() {
            self.signals.push(Signal::Waiting(key));
        }
    }

    /// Does the same as [`Self::set_task`] without the signal: the policy decides when a failed
    /// task may be placed again.
    pub(super) fn set_task_silently(&mut self, key: Key, next: Any) {
        let cancel = next.is_waiting() && self.piece(key.piece).cancelled;
        let next = if cancel { Any::Cancelled } else { next };
        let before = self.task_mut(key).booking();
        let after = next.booking();
        let ends = next.has_ended() && !self.task_mut(key).has_ended();
        *self.task_mut(key) = next;
        if before != after {
            if let Some(booking) = before {
                self.unbook(key, booking);
            }
            if let Some(booking) = after {
                self.book(key, booking);
            }
        }
        if ends {
            self.mark_changed(key.piece);
        }
    }

    /// Returns a copy of a task's state, for a transition that [`Self::set_task`] completes.
    pub(super) fn clone_task(&self, key: Key) -> Any {
        self.piece(key.piece).tasks[usize::from(key.task)].clone()
    }

    /// Marks a piece as changed and returns the number of the change.
    pub(super) fn mark_changed(&mut self, index: u32) -> u64 {
        let piece = self.piece_mut(index);
        piece.change += 1;
        let change = piece.change;
        if piece.ordered.is_none() && !piece.queued {
            piece.queued = true;
            self.dirty.push(index);
        }
        change
    }

    pub(super) fn command(&mut self, worker: u32, verb: Verb, purpose: Purpose) {
        self.last_id += 1;
        let id = Id(self.last_id);
        self.in_flight.insert(id, (worker, purpose));
        let vm = self.worker(worker).vm.name.clone();
        self.orders.push(Order::Command { id, vm, verb });
    }

    /// Adds an order to the output of this step.
    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
    }

    /// Records an event in the timeline.
    pub fn record_event(&mut self, kind: Kind, subject: &str, worker: Option<u32>, cause: &str) {
        let known = worker.and_then(|index| self.workers[index as usize].as_ref());
        let note = Note {
            kind,
            subject: subject.to_owned(),
            vm: known.map(|worker| worker.vm.name.clone()),
            epoch: known.map(|worker| worker.epoch),
            cause: cause.to_owned(),
        };
        self.orders.push(Order::Note(note));
    }

    /// Removes and returns the signals that the policy has not yet handled.
    pub fn take_signals(&mut self) -> Vec<Signal> {
        std::mem::take(&mut self.signals)
    }

    /// Adds the stores and acknowledgements that are due, and removes and returns all orders.
    pub fn take_orders(&mut self) -> Vec<Order> {
        self.order_stores();
        self.order_acks();
        std::mem::take(&mut self.orders)
    }

    /// Returns a piece in its stored form, if it is held.
    #[must_use]
    pub fn stored_form(&self, name: &Name) -> Option<piece::Piece> {
        let held = self.piece(*self.piece_by_name.get(name)?);
        Some(piece::Piece {
            name: held.name.clone(),
            job: held.job.clone(),
            first: held.first,
            tasks: held.tasks.iter().map(Any::record).collect(),
            cancelled: held.cancelled,
        })
    }
}
