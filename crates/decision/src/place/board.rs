//! The placement state machine, which applies events to the ledger and the placement policy.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::Event;
use super::Order;
use super::Read;
use super::Summary;
use super::index::Rooms;
use super::ledger::Ledger;
use super::ledger::Signal;
use super::ledger::piece::Key;
use super::queue::Queue;
use super::queue::Shape;
use super::view::Failures;
use super::view::View;
use crate::clock::Ms;
use crate::estimate::Estimate;
use crate::fair::Shares;
use crate::interference::Model;
use crate::name::Name;
use crate::operator::Progress;
use crate::piece::Piece;
use crate::protect::Stage;
use crate::resource::Size;
use crate::step::Step;
use crate::task::Any;

/// Maximum number of blocked classes that are unblocked in one tick, or when the free capacity of a
/// worker grows.
const MAX_UNBLOCKED: usize = 256;

/// The delay before a resume is tried again after its checkpoint was unreadable.
const RESUME_DELAY: Ms = Ms(5_000);

/// Number of ticks over which the monitoring of all workers is spread.
const MONITOR_SHARDS: u64 = 10;

/// The state machine that places tasks on the workers of owned groups.
#[derive(Debug)]
pub struct Board {
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    pub(super) rooms: Rooms,
    pub(super) shares: Shares,
    pub(super) views: Vec<View>,
    /// The estimates of task sizes and run times for each kind.
    pub(super) kinds: HashMap<Name, Estimate>,
    /// The estimates for each job, which are more specific.
    pub(super) jobs: HashMap<Name, Estimate>,
    pub(super) model: Model,
    pub(super) job_failures: HashMap<Name, Failures>,
    /// The largest amounts that workers of each group have for batch work, with the version of the
    /// group for which they were computed.
    pub(super) largest: HashMap<u32, (u64, Size)>,
    /// Waiting tasks that may not be placed before the given time.
    pub(super) delayed: BTreeSet<(Ms, Key)>,
    pub(super) checkpoints_paused_until: Ms,
    pub(super) ticks: u64,
    /// Selects at which workers a search starts; it is increased with each search.
    pub(super) rotation: usize,
}

impl Board {
    /// Creates an empty board. The seed varies at which workers searches start.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            ledger: Ledger::default(),
            queue: Queue::default(),
            rooms: Rooms::default(),
            shares: Shares::default(),
            views: Vec::new(),
            kinds: HashMap::new(),
            jobs: HashMap::new(),
            model: Model::default(),
            job_failures: HashMap::new(),
            largest: HashMap::new(),
            delayed: BTreeSet::new(),
            checkpoints_paused_until: Ms::ZERO,
            ticks: 0,
            rotation: usize::try_from(seed % 1_024).unwrap_or(0),
        }
    }

    /// Handles the signals of the ledger until there are no more.
    pub(super) fn process_signals(&mut self) {
        loop {
            let signals = self.ledger.take_signals();
            if signals.is_empty() {
                return;
            }
            for signal in signals {
                self.handle_signal(signal);
            }
        }
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            Signal::Waiting(key) => self.handle_waiting(key),
            Signal::Room(worker) => self.reindex(worker),
            Signal::Removed(worker) => self.drop_worker(worker),
            Signal::Reported(worker) => self.learn_usage(worker),
            Signal::Completed(key, booking, reported) => {
                self.attempt_completed(key, booking, &reported)
            }
            Signal::Failed(key, booking, fault, reported) => {
                self.attempt_failed(key, booking, fault, &reported)
            }
            Signal::EvictionAborted(key) => self.eviction_aborted(key),
        }
    }

    /// Handles a task that has begun to wait.
    fn handle_waiting(&mut self, key: Key) {
        let history = self.ledger.task(key).and_then(Any::history);
        if history.is_some_and(|history| history.refused_resumes > 0) {
            // The worker could not read the checkpoint; the object store may be down.
            self.delayed.insert((self.ledger.now + RESUME_DELAY, key));
        } else {
            self.enqueue(key);
        }
    }

    /// Puts a waiting task in the queue for placement.
    fn enqueue(&mut self, key: Key) {
        let Some(task) = self.ledger.task(key).filter(|task| task.is_waiting()) else {
            return;
        };
        let Some(history) = task.history() else {
            return;
        };
        let piece = self.ledger.piece(key.piece);
        let shape = Shape {
            group: piece.group,
            team: piece.job.team.clone(),
            urgent: piece.job.urgent,
            kind: piece.job.kind.clone(),
            size: piece.job.size,
            memory_floor: history.memory_floor,
        };
        self.queue.push(shape, key, self.ledger.now);
    }

    pub(super) fn view(&mut self, worker: u32) -> &mut View {
        let at = worker as usize;
        if self.views.len() <= at {
            self.views.resize_with(at + 1, View::default);
        }
        &mut self.views[at]
    }

    /// Updates the indices with the free capacity of a worker.
    pub(super) fn reindex(&mut self, worker: u32) {
        let Some(known) = self.ledger.workers[worker as usize].as_ref() else {
            return;
        };
        let group = known.group;
        let now = self.ledger.now;
        let reserve = self.ledger.reserve;
        let batch_capacity = known.capacity.minus(reserve);
        let tasks = u32::try_from(known.tasks.len()).unwrap_or(u32::MAX);
        let room = known.room(reserve);
        let placeable = self.ledger.placeable(worker);
        let view = self.view(worker);
        let allowed = view.health.allows(now, tasks) && view.guard.stage() < Stage::Paused;
        let room = (placeable && allowed).then_some(room);
        let grown = match (view.room, room) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(before), Some(after)) => !after.fits(before),
        };
        view.room = room;
        let before = std::mem::replace(&mut view.batch_capacity, batch_capacity);
        self.shares.resize(before, batch_capacity);
        self.rooms.set(group, worker, room);
        if grown {
            self.queue.unblock(group, MAX_UNBLOCKED);
        }
    }

    fn drop_worker(&mut self, worker: u32) {
        self.rooms.remove(worker);
        let view = std::mem::take(self.view(worker));
        self.shares.resize(view.batch_capacity, Size::ZERO);
        if let Some(class) = view.reserved {
            self.queue.class_mut(class).reserved = None;
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        let now = self.ledger.now;
        while let Some(&(due, key)) = self.delayed.first() {
            if due > now {
                break;
            }
            self.delayed.pop_first();
            self.enqueue(key);
        }
        let shard = self.ticks % MONITOR_SHARDS;
        let workers = self.ledger.worker_indices();
        let due = workers
            .into_iter()
            .filter(|&worker| u64::from(worker) % MONITOR_SHARDS == shard);
        for worker in due {
            self.monitor(worker);
        }
        if shard == 0 {
            self.offer_surplus();
            self.reserve_workers();
        }
        self.queue.unblock_some(MAX_UNBLOCKED);
    }
}

impl Step for Board {
    type Event = Event;
    type Action = Order;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Order> {
        self.ledger.now = now;
        self.ledger.apply(&event);
        self.process_signals();
        let ticked = matches!(event, Event::Tick);
        match event {
            Event::HeldElsewhere(held) => self.shares.set_held_elsewhere(held),
            Event::Measured {
                vm,
                service,
                kind,
                time,
            } => self.record_service_time(&vm, &service, &kind, time),
            Event::Tick => self.tick(),
            _ => {}
        }
        self.dispatch();
        if ticked {
            self.ledger.process_cancels();
            self.process_signals();
        }
        self.ledger.take_orders()
    }
}

impl Read for Board {
    fn piece(&self, name: &Name) -> Option<Piece> {
        self.ledger.stored_form(name)
    }

    fn progress(&self, job: Option<&Name>) -> Vec<Progress> {
        self.ledger.progress(job)
    }

    fn workers(&self) -> Vec<Summary> {
        let quarantined = |worker: u32| {
            let view = self.views.get(worker as usize);
            view.is_some_and(|view| view.health.quarantined())
        };
        self.ledger.summaries(quarantined)
    }

    fn held(&self) -> Vec<(Name, Size)> {
        self.ledger.team_holdings()
    }
}
