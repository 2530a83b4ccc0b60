//! The placement baseline: it places tasks first fit by declared size, and evicts the youngest
//! task.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::clock::Ms;
use crate::interference::Model;
use crate::name::Name;
use crate::operator::Progress;
use crate::piece::Piece;
use crate::place::Event;
use crate::place::Order;
use crate::place::Read;
use crate::place::Summary;
use crate::place::ledger::Ledger;
use crate::place::ledger::Signal;
use crate::place::ledger::piece::Key;
use crate::resource::Size;
use crate::step::Step;
use crate::task::Any;
use crate::task::Booking;
use crate::task::Reason;
use crate::worker::Fault;

/// Number of failures after which a task has failed for good.
const MAX_FAILURES: u32 = 3;

/// Minimum time between two evictions on one worker.
const EVICTION_INTERVAL: Ms = Ms(1_000);

/// Weight of a new service time in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The baseline's state of a worker: the mean ratio of service times and the last eviction.
#[derive(Clone, Copy, Debug)]
struct View {
    ratio: f64,
    last_eviction: Ms,
}

impl Default for View {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            last_eviction: Ms::ZERO,
        }
    }
}

/// The baseline board. It shares the ledger with the current board, but none of its policy.
#[derive(Debug, Default)]
pub struct Board {
    ledger: Ledger,
    waiting: VecDeque<Key>,
    views: Vec<View>,
    model: Model,
    needs_dispatch: bool,
}

impl Board {
    /// Creates an empty board. The seed is not used, because the baseline makes no random choice.
    #[must_use]
    pub fn new(_seed: u64) -> Self {
        Self::default()
    }

    fn process_signals(&mut self) {
        loop {
            let signals = self.ledger.take_signals();
            if signals.is_empty() {
                return;
            }
            for signal in signals {
                match signal {
                    Signal::Waiting(key) => {
                        self.waiting.push_back(key);
                        self.needs_dispatch = true;
                    }
                    Signal::Room(_) => self.needs_dispatch = true,
                    Signal::Failed(key, booking, fault, _) => {
                        self.attempt_failed(key, booking, fault)
                    }
                    _ => {}
                }
            }
        }
    }

    fn attempt_failed(&mut self, key: Key, booking: Booking, fault: Fault) {
        let Some(history) = self.ledger.history_mut(key) else {
            return;
        };
        history.failures += 1;
        if fault == Fault::Memory {
            history.memory_floor = booking.grant.memory_mb.saturating_mul(2);
        }
        if history.failures >= MAX_FAILURES {
            self.ledger.fail_permanently(key);
        } else {
            self.ledger.requeue(key);
        }
    }

    /// Tries to place each waiting task on the first worker where it fits.
    fn dispatch(&mut self) {
        let mut full = BTreeSet::new();
        for _ in 0..self.waiting.len() {
            let Some(key) = self.waiting.pop_front() else {
                return;
            };
            let is_waiting = self.ledger.task(key).is_some_and(Any::is_waiting);
            if !is_waiting || !self.ledger.startable(key.piece) {
                continue;
            }
            let piece = self.ledger.piece(key.piece);
            let (group, mut grant) = (piece.group, piece.job.size);
            let history = self.ledger.task(key).and_then(Any::history);
            let floor = history.map_or(0, |history| history.memory_floor);
            grant.memory_mb = grant.memory_mb.max(floor);
            let shape = (group, grant.millicores, grant.memory_mb, grant.accelerators);
            let worker = if full.contains(&shape) {
                None
            } else {
                self.first_fit(group, grant)
            };
            if let Some(worker) = worker {
                self.ledger.start(key, worker, grant);
            } else {
                full.insert(shape);
                self.waiting.push_back(key);
            }
        }
    }

    fn first_fit(&self, group: u32, grant: Size) -> Option<u32> {
        let workers = self.ledger.workers.iter().zip(0..);
        let mut adopted = workers.filter_map(|(worker, index)| Some((worker.as_ref()?, index)));
        let fits = adopted.find(|(worker, index)| {
            worker.group == group
                && grant.fits(worker.room(self.ledger.reserve))
                && self.ledger.placeable(*index)
        });
        fits.map(|(_, index)| index)
    }

    fn record_service_time(&mut self, vm: &Name, service: &Name, request: &Name, time: Ms) {
        let Some(&worker) = self.ledger.worker_by_vm.get(vm) else {
            return;
        };
        let present: Vec<_> = self.ledger.worker(worker).presence().collect();
        let ratio = self.model.observe(service, request, time, &present);
        let view = self.view(worker);
        view.ratio += (ratio - view.ratio) * SAMPLE_WEIGHT;
        let max_slowdown = f64::from(self.ledger.config.document().limits.slowdown) / 100.0;
        let now = self.ledger.now;
        let view = self.view(worker);
        if view.ratio > max_slowdown && now.since(view.last_eviction) >= EVICTION_INTERVAL {
            view.last_eviction = now;
            self.evict_youngest(worker);
        }
    }

    fn view(&mut self, worker: u32) -> &mut View {
        let at = worker as usize;
        if self.views.len() <= at {
            self.views.resize(at + 1, View::default());
        }
        &mut self.views[at]
    }

    fn evict_youngest(&mut self, worker: u32) {
        let tasks = self.ledger.worker(worker).tasks.iter();
        let running = tasks.filter_map(|&key| match self.ledger.task(key)? {
            Any::Running(task) => Some((task.state.since, key)),
            _ => None,
        });
        if let Some((_, key)) = running.max() {
            self.ledger.stop(key, Reason::Evicted);
        }
    }
}

impl Step for Board {
    type Event = Event;
    type Action = Order;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Order> {
        self.ledger.now = now;
        self.ledger.apply(&event);
        self.process_signals();
        if let Event::Measured {
            vm,
            service,
            kind,
            time,
        } = &event
        {
            self.record_service_time(vm, service, kind, *time);
            self.process_signals();
        }
        if std::mem::take(&mut self.needs_dispatch) {
            self.dispatch();
            self.process_signals();
        }
        if matches!(event, Event::Tick) {
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
        self.ledger.summaries(|_| false)
    }

    fn held(&self) -> Vec<(Name, Size)> {
        self.ledger.team_holdings()
    }
}
