//! The placement state machine.

use super::Event;
use super::Order;
use super::Read;
use super::Summary;
use super::index::Rooms;
use super::ledger::Key;
use super::ledger::Ledger;
use super::ledger::Signal;
use super::queue::Queue;
use super::queue::Shape;
use crate::clock::Ms;
use crate::name::Name;
use crate::operator::Progress;
use crate::piece::Piece;
use crate::resource::Size;
use crate::step::Step;
use crate::task::Any;

/// Placements in one step, so that other events are not held up behind a wave of tasks.
const MAX_STARTS: usize = 2_000;

/// Blocked classes tried again in one tick.
const MAX_RETRIES: usize = 256;

/// Failures of a task after which it has failed for good.
const MAX_FAILURES: u32 = 3;

/// Workers that fit and are compared for one placement.
const MAX_COMPARED: usize = 12;

/// The placement of tasks on the workers of owned groups.
#[derive(Debug)]
pub struct Board {
    ledger: Ledger,
    queue: Queue,
    rooms: Rooms,
    turn: usize,
}

impl Board {
    /// An empty board.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            ledger: Ledger::default(),
            queue: Queue::default(),
            rooms: Rooms::default(),
            turn: usize::try_from(seed % 1_024).unwrap_or(0),
        }
    }

    fn absorb(&mut self) {
        loop {
            let signals = self.ledger.signals();
            if signals.is_empty() {
                return;
            }
            for signal in signals {
                self.take(signal);
            }
        }
    }

    fn take(&mut self, signal: Signal) {
        match signal {
            Signal::Waiting(key) => self.enqueue(key),
            Signal::Room(worker) => self.reindex(worker),
            Signal::Removed(worker) => self.rooms.remove(worker),
            Signal::Failed(key, ..) => self.charge(key),
            _ => {}
        }
    }

    /// Counts a failure against the task.
    fn charge(&mut self, key: Key) {
        let Some(history) = self.ledger.history_mut(key) else {
            return;
        };
        history.failures += 1;
        if history.failures >= MAX_FAILURES {
            self.ledger.give_up(key);
        } else {
            self.ledger.retry(key);
        }
    }

    fn enqueue(&mut self, key: Key) {
        let Some(history) = self.ledger.task(key).and_then(Any::history) else {
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

    fn reindex(&mut self, worker: u32) {
        let Some(known) = self.ledger.workers[worker as usize].as_ref() else {
            return;
        };
        let group = known.group;
        let room = known.room(self.ledger.reserve);
        let placeable = self.ledger.placeable(worker);
        self.rooms.set(group, worker, placeable.then_some(room));
        if placeable {
            self.queue
                .unblock(MAX_RETRIES, |class| class.shape.group == group);
        }
    }

    fn dispatch(&mut self) {
        for _ in 0..MAX_STARTS {
            let held = &self.ledger.held;
            let share = |team: &Name| {
                held.get(team)
                    .map_or(0.0, |held| f64::from(held.millicores))
            };
            let Some(class) = self.queue.next(share) else {
                return;
            };
            self.place(class);
            self.absorb();
        }
    }

    fn place(&mut self, class: u32) {
        let Some(&(key, _)) = self.queue.class(class).tasks.front() else {
            return;
        };
        let waits = self.ledger.task(key).is_some_and(Any::waits);
        if !waits || !self.ledger.startable(key.piece) {
            return self.queue.pop(class);
        }
        let shape = self.queue.class(class).shape.clone();
        let grant = shape.size;
        match self.choose(&shape, grant) {
            Some(worker) => {
                self.queue.pop(class);
                self.ledger.start(key, worker, grant);
            }
            None => self.queue.block(class),
        }
    }

    fn choose(&mut self, shape: &Shape, grant: Size) -> Option<u32> {
        self.turn = self.turn.wrapping_add(1);
        let mut best: Option<(f64, u32)> = None;
        let mut compared = 0;
        let index = self.rooms.group(shape.group)?;
        index.search(grant, false, self.turn, |worker| {
            let known = self.ledger.worker(worker);
            let room = known.room(self.ledger.reserve);
            if grant.fits(room) {
                compared += 1;
                let left = f64::from(room.minus(grant).millicores);
                if best.is_none_or(|(least, _)| left < least) {
                    best = Some((left, worker));
                }
            }
            compared >= MAX_COMPARED
        });
        best.map(|(_, worker)| worker)
    }
}

impl Step for Board {
    type Event = Event;
    type Action = Order;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Order> {
        self.ledger.now = now;
        self.ledger.take(&event);
        self.absorb();
        if matches!(event, Event::Tick) {
            self.queue.unblock(MAX_RETRIES, |_| true);
        }
        self.dispatch();
        if matches!(event, Event::Tick) {
            self.ledger.process_cancels();
            self.absorb();
        }
        self.ledger.finish()
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
        self.ledger.summaries(|_| false)
    }

    fn held(&self) -> Vec<(Name, Size)> {
        self.ledger.team_holdings()
    }
}
