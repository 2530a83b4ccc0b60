//! Workers, pieces and bookings: what is known to run, or may run, where.

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
    EvictionAborted(Key),
    /// An attempt completed.
    Completed(Key, Booking, worker::Task),
    /// An attempt failed; the task waits until it is released by [`Ledger::retry`].
    Failed(Key, Booking, Fault, worker::Task),
}

/// The tasks of one kind on a worker.
#[derive(Clone, Debug)]
pub struct Usage {
    /// The kind.
    pub kind: Name,
    /// How many tasks.
    pub count: u32,
    /// What they hold of the processors.
    pub millicores: u32,
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
    /// The kinds among them.
    pub kinds: Vec<Usage>,
    /// Other attempts that it reported.
    pub extra: Vec<worker::Task>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether it refused our epoch.
    pub fenced: bool,
    /// Whether a command was not answered since its last report.
    pub unresponsive: bool,
    /// When its VM left the platform's list.
    pub unlisted: Option<Ms>,
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
    pub not_before: Ms,
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
pub enum Purpose {
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
    StopExtra(Name),
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
    pub(super) piece_names: HashMap<Name, u32>,
    pub(super) jobs: HashMap<Name, Vec<u32>>,
    pub(super) group_names: HashMap<Name, u32>,
    pub(super) in_flight: HashMap<Id, (u32, Purpose)>,
    pub(super) cancels: std::collections::VecDeque<Key>,
    pub(super) unlisted: Vec<u32>,
    pub(super) dirty: Vec<u32>,
    pub(super) to_ack: Vec<u32>,
    pub(super) late_acks: Vec<u32>,
    pub(super) signals: Vec<Signal>,
    orders: Vec<Order>,
    last_id: u64,
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

    /// The kinds with the shares of the processors that their tasks hold.
    pub fn presence(&self) -> impl Iterator<Item = Presence<'_>> + Clone {
        self.kinds.iter().map(|held| Presence {
            kind: &held.kind,
            share: self.share(held.millicores),
        })
    }

    /// The share of the worker's processors that this is.
    #[must_use]
    pub fn share(&self, millicores: u32) -> f64 {
        f64::from(millicores) / f64::from(self.capacity.millicores.max(1))
    }

    /// Whether commands may be sent.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        !self.fenced && self.unlisted.is_none()
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

    pub(super) fn task_mut(&mut self, key: Key) -> &mut Any {
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
            && !worker.unresponsive
            && !self.groups[worker.group as usize].caretaker
    }

    fn book(&mut self, key: Key, booking: Booking) {
        let piece = self.pieces[key.piece as usize].as_ref();
        let job = &piece.expect("piece indices in use stay valid").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("worker indices in use stay valid");
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
        let job = &piece.expect("piece indices in use stay valid").job;
        let worker = self.workers[booking.worker as usize].as_mut();
        let worker = worker.expect("worker indices in use stay valid");
        worker.booked = worker.booked.minus(booking.grant);
        worker.tasks.retain(|&other| other != key);
        worker.discount_kind(&job.kind, booking.grant.millicores);
        if let Some(held) = self.held.get_mut(&job.team) {
            *held = held.minus(booking.grant);
        }
        self.signals.push(Signal::Room(booking.worker));
    }

    /// Replaces the state of a task, moving its booking along, and tells when it starts to wait.
    /// A task of a cancelled job ends instead of waiting.
    pub(super) fn set_task(&mut self, key: Key, next: Any) {
        let waited = self.task_mut(key).is_waiting();
        self.set_task_silently(key, next);
        if !waited && self.task_mut(key).is_waiting() {
            self.signals.push(Signal::Waiting(key));
        }
    }

    /// As [`Self::put`], but the task is left for the policy to release.
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

    /// A copy of the task, for a transition that [`Self::put`] completes.
    pub(super) fn clone_task(&self, key: Key) -> Any {
        self.piece(key.piece).tasks[usize::from(key.task)].clone()
    }

    /// Marks the piece as changed and returns the change's number.
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

    /// Adds an order.
    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
    }

    /// Adds a note to the timeline.
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

    /// Takes what the policy has to take in.
    pub fn take_signals(&mut self) -> Vec<Signal> {
        std::mem::take(&mut self.signals)
    }

    /// Orders the stores and acknowledgements that are due, and takes all orders.
    pub fn take_orders(&mut self) -> Vec<Order> {
        self.order_stores();
        self.order_acks();
        std::mem::take(&mut self.orders)
    }

    /// The stored form of a piece.
    #[must_use]
    pub fn stored_form(&self, name: &Name) -> Option<piece::Piece> {
        let held = self.piece(*self.piece_names.get(name)?);
        Some(piece::Piece {
            name: held.name.clone(),
            job: held.job.clone(),
            first: held.first,
            tasks: held.tasks.iter().map(Any::record).collect(),
            cancelled: held.cancelled,
        })
    }
}
