//! Workers, pieces and bookings: what is known to run, or may run, where.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use super::Id;
use super::Order;
use crate::clock::Ms;
use crate::config::Checked;
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

/// A task of a held piece.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The piece's index.
    pub piece: u32,
    /// The task's index within the piece.
    pub task: u16,
}

/// What a ledger tells the placement policy after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Signal {
    /// A task waits to be started.
    Waiting(Key),
    /// The room, or the fitness for placement, of a worker changed.
    Room(u32),
    /// A worker reported.
    Reported(u32),
    /// A worker was forgotten.
    Removed(u32),
    /// A task goes on because its checkpoint could not be written.
    Spared(Key),
    /// An attempt completed.
    Completed(Key, Booking, worker::Task),
    /// An attempt failed; the task waits until it is released by [`Ledger::retry`].
    Failed(Key, Booking, Fault, worker::Task),
}

/// A worker and what is booked on it.
#[derive(Debug)]
pub struct Worker {
    /// The VM.
    pub vm: Vm,
    /// The group's index.
    pub group: u32,
    /// The epoch under which it was adopted.
    pub epoch: Epoch,
    /// What it has.
    pub capacity: Size,
    /// Used by services when last measured.
    pub service: Size,
    /// Requests in progress when last reported.
    pub busy: u32,
    /// What is booked for tasks.
    pub booked: Size,
    /// Tasks of held pieces booked here.
    pub tasks: Vec<Key>,
    /// How many of them there are of each kind.
    pub kinds: Vec<(Name, u32)>,
    /// Other attempts that it reported.
    pub extra: Vec<worker::Task>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether it refused our epoch.
    pub fenced: bool,
    /// Whether a command was not answered since its last report.
    pub silent: bool,
    /// When its VM left the platform's list.
    pub gone: Option<Ms>,
    /// Ended attempts to acknowledge with the next command.
    pub acks: Vec<(Name, u32)>,
    /// Whether an acknowledgement is in flight.
    pub acking: bool,
}

/// An ended attempt that its worker keeps until acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ack {
    /// The worker.
    pub worker: u32,
    /// The task within the piece.
    pub task: u16,
    /// The attempt.
    pub attempt: u32,
    /// The change of the piece that must be stored first.
    pub change: u64,
    /// A late start of the attempt could still arrive until then and would run again.
    pub after: Ms,
}

/// A piece and its tasks.
#[derive(Debug)]
pub struct Piece {
    /// The piece's name.
    pub name: Name,
    /// The group's index.
    pub group: u32,
    /// The job.
    pub job: Job,
    /// The index within the job of the first task.
    pub first: u32,
    /// The tasks.
    pub tasks: Vec<Any>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether it was stored before the group was taken over.
    pub old: bool,
    /// Counts changes.
    pub change: u64,
    /// The changes made before the outstanding store was ordered.
    pub ordered: Option<u64>,
    /// Whether a store is about to be ordered.
    pub queued: bool,
    /// The changes known to be stored.
    pub stored: u64,
    /// Ended attempts to acknowledge.
    pub acks: Vec<Ack>,
}

/// A group of workers.
#[derive(Debug)]
pub struct Group {
    /// The group's name.
    pub name: Name,
    /// Whether old pieces are frozen.
    pub frozen: bool,
    /// Whether only renewals are allowed.
    pub caretaker: bool,
    /// Its workers.
    pub workers: HashSet<u32>,
    /// Its pieces.
    pub pieces: HashSet<u32>,
    /// Workers that reported attempts of tasks that are not held.
    pub holders: BTreeSet<u32>,
    /// Rises when its set of workers or their capacities change.
    pub version: u64,
}

/// What a command in flight was about.
#[derive(Clone, Debug)]
pub enum Call {
    /// A start.
    Start(Key, u32),
    /// A stop.
    Stop(Key, u32),
    /// A throttle; also used to ask whether a task is present.
    Throttle(Key, u32),
    /// A checkpoint.
    Checkpoint,
    /// An acknowledgement.
    Acknowledge,
    /// The stop of an attempt that should not run.
    Stray(Name),
}

/// Everything known about workers, pieces and commands.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The time of the event being handled.
    pub now: Ms,
    /// The configuration in force.
    pub config: Arc<Checked>,
    /// What each worker keeps free for services.
    pub reserve: Size,
    /// Workers by index.
    pub workers: Vec<Option<Worker>>,
    /// Pieces by index.
    pub pieces: Vec<Option<Piece>>,
    /// Groups by index.
    pub groups: Vec<Group>,
    /// What tasks of each team hold here.
    pub held: HashMap<Name, Size>,
    pub(crate) vms: HashMap<Name, u32>,
    pub(super) named: HashMap<Name, u32>,
    pub(super) jobs: HashMap<Name, Vec<u32>>,
    pub(super) group_names: HashMap<Name, u32>,
    pub(super) calls: HashMap<Id, (u32, Call)>,
    pub(super) cancels: std::collections::VecDeque<Key>,
    pub(super) gone: Vec<u32>,
    pub(super) dirty: Vec<u32>,
    pub(super) to_ack: Vec<u32>,
    pub(super) late_acks: Vec<u32>,
    pub(super) signals: Vec<Signal>,
    orders: Vec<Order>,
    last: u64,
}

impl Worker {
    /// What batch work may use.
    #[must_use]
    pub fn limit(&self, reserve: Size) -> Size {
        self.capacity.minus(reserve.max(self.service))
    }

    /// What is free for more tasks.
    #[must_use]
    pub fn room(&self, reserve: Size) -> Size {
        self.limit(reserve).minus(self.booked)
    }

    fn count_kind(&mut self, kind: &Name) {
        match self.kinds.iter_mut().find(|(known, _)| known == kind) {
            Some((_, count)) => *count += 1,
            None => self.kinds.push((kind.clone(), 1)),
        }
    }

    fn discount_kind(&mut self, kind: &Name) {
        if let Some(at) = self.kinds.iter().position(|(known, _)| known == kind) {
            self.kinds[at].1 -= 1;
            if self.kinds[at].1 == 0 {
                self.kinds.swap_remove(at);
            }
        }
    }

    /// Whether commands may be sent.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        !self.fenced && self.gone.is_none()
    }
}

impl Ledger {
    /// The worker at an index that is in use.
    #[must_use]
    pub fn worker(&self, index: u32) -> &Worker {
        self.workers[index as usize]
            .as_ref()
            .expect("worker indices in use stay valid")
    }

    pub(super) fn worker_mut(&mut self, index: u32) -> &mut Worker {
        self.workers[index as usize]
            .as_mut()
            .expect("worker indices in use stay valid")
    }

    /// The piece of a task.
    #[must_use]
    pub fn piece(&self, index: u32) -> &Piece {
        self.pieces[index as usize]
            .as_ref()
            .expect("piece indices in use stay valid")
    }

    pub(super) fn piece_mut(&mut self, index: u32) -> &mut Piece {
        self.pieces[index as usize]
            .as_mut()
            .expect("piece indices in use stay valid")
    }

    /// The task, if its piece is still held.
    #[must_use]
    pub fn task(&self, key: Key) -> Option<&Any> {
        let piece = self.pieces.get(key.piece as usize)?.as_ref()?;
        piece.tasks.get(usize::from(key.task))
    }

    /// The history of a task that has not ended, for changes.
    pub fn history_mut(&mut self, key: Key) -> Option<&mut task::History> {
        let piece = self.pieces.get_mut(key.piece as usize)?.as_mut()?;
        piece.tasks.get_mut(usize::from(key.task))?.history_mut()
    }

    /// The running attempt of a task, for changes.
    pub fn run_mut(&mut self, key: Key) -> Option<&mut task::Running> {
        let piece = self.pieces.get_mut(key.piece as usize)?.as_mut()?;
        piece.tasks.get_mut(usize::from(key.task))?.run_mut()
    }

    pub(super) fn slot(&mut self, key: Key) -> &mut Any {
        &mut self.piece_mut(key.piece).tasks[usize::from(key.task)]
    }

    /// The task's name.
    #[must_use]
    pub fn task_name(&self, key: Key) -> Name {
        let piece = self.piece(key.piece);
        let index = piece.first + u32::from(key.task);
        let raw = format!("{}#{index}", piece.job.name);
        Name::try_from(raw).expect("a job's name leaves room for a task's index")
    }

    pub(super) fn find(&self, task: &Name) -> Option<Key> {
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
        if let Some(&found) = self.group_names.get(name) {
            return found;
        }
        let index = u32::try_from(self.groups.len()).expect("groups fit in an index");
        self.groups.push(Group {
            name: name.clone(),
            frozen: false,
            caretaker: false,
            workers: HashSet::new(),
            pieces: HashSet::new(),
            holders: BTreeSet::new(),
            version: 0,
        });
        self.group_names.insert(name.clone(), index);
        index
    }

    /// Whether tasks of the piece may be started now.
    #[must_use]
    pub fn startable(&self, index: u32) -> bool {
        let piece = self.piece(index);
        let group = &self.groups[piece.group as usize];
        !(piece.cancelled || group.caretaker || (piece.old && group.frozen))
    }

    /// Whether tasks may be placed on the worker, as far as the ledger knows.
    #[must_use]
    pub fn placeable(&self, index: u32) -> bool {
        let worker = self.worker(index);
        worker.reachable()
            && !worker.leaving
            && !worker.silent
            && !self.groups[worker.group as usize].caretaker
    }

    fn book(&mut self, key: Key, booking: Booking) {
        let piece = self.pieces[key.piece as usize].as_ref();
        let job = &piece.expect("piece indices in use stay valid").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("worker indices in use stay valid");
        worker.booked = worker.booked.plus(booking.grant);
        worker.tasks.push(key);
        worker.count_kind(&job.kind);
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
        let job = &piece.expect("piece indices in use stay valid").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("worker indices in use stay valid");
        worker.booked = worker.booked.minus(booking.grant);
        worker.tasks.retain(|&other| other != key);
        worker.discount_kind(&job.kind);
        if let Some(held) = self.held.get_mut(&job.team) {
            *held = held.minus(booking.grant);
        }
        self.signals.push(Signal::Room(booking.worker));
    }

    /// Replaces the state of a task, moving its booking along, and tells when it starts to wait.
    /// A task of a cancelled job ends instead of waiting.
    pub(super) fn put(&mut self, key: Key, next: Any) {
        let waited = self.slot(key).waits();
        self.put_quietly(key, next);
        if !waited && self.slot(key).waits() {
            self.signals.push(Signal::Waiting(key));
        }
    }

    /// As [`Self::put`], but the task is left for the policy to release.
    pub(super) fn put_quietly(&mut self, key: Key, next: Any) {
        let cancel = next.waits() && self.piece(key.piece).cancelled;
        let next = if cancel { Any::Cancelled } else { next };
        let before = self.slot(key).booking();
        let after = next.booking();
        let ends = next.ended() && !self.slot(key).ended();
        *self.slot(key) = next;
        if before != after {
            if let Some(booking) = before {
                self.unbook(key, booking);
            }
            if let Some(booking) = after {
                self.book(key, booking);
            }
        }
        if ends {
            self.changed(key.piece);
        }
    }

    /// A copy of the task, for a transition that [`Self::put`] completes.
    pub(super) fn copy(&self, key: Key) -> Any {
        self.piece(key.piece).tasks[usize::from(key.task)].clone()
    }

    /// Marks the piece as changed and returns the change's number.
    pub(super) fn changed(&mut self, index: u32) -> u64 {
        let piece = self.piece_mut(index);
        piece.change += 1;
        let change = piece.change;
        if piece.ordered.is_none() && !piece.queued {
            piece.queued = true;
            self.dirty.push(index);
        }
        change
    }

    pub(super) fn command(&mut self, worker: u32, verb: Verb, call: Call) {
        self.last += 1;
        let id = Id(self.last);
        self.calls.insert(id, (worker, call));
        let vm = self.worker(worker).vm.name.clone();
        self.orders.push(Order::Command { id, vm, verb });
    }

    /// Adds an order.
    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
    }

    /// Adds a note to the timeline.
    pub fn note(&mut self, kind: Kind, subject: &str, worker: Option<u32>, cause: &str) {
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

    /// Takes what the policy has to take in.
    pub fn signals(&mut self) -> Vec<Signal> {
        std::mem::take(&mut self.signals)
    }

    /// Orders the stores and acknowledgements that are due, and takes all orders.
    pub fn finish(&mut self) -> Vec<Order> {
        self.order_stores();
        self.order_acks();
        std::mem::take(&mut self.orders)
    }

    /// The stored form of a piece.
    #[must_use]
    pub fn stored_form(&self, name: &Name) -> Option<piece::Piece> {
        let held = self.piece(*self.named.get(name)?);
        Some(piece::Piece {
            name: held.name.clone(),
            job: held.job.clone(),
            first: held.first,
            tasks: held.tasks.iter().map(Any::record).collect(),
            cancelled: held.cancelled,
        })
    }
}
