//! Monitoring of each worker: protection of its services, evictions and periodic checkpoints.

use super::Order;
use super::board::Board;
use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::interference::Presence;
use crate::name::Name;
use crate::protect::Action;
use crate::task::Any;
use crate::task::Reason;
use crate::task::Running;
use crate::timeline::Kind;

/// How long evictions and checkpoints are paused after a checkpoint could not be written.
pub const CHECKPOINT_PAUSE: Ms = Ms(10_000);

/// Minimum run time of an attempt before it may be evicted, so that each attempt makes progress.
const MIN_RUN_TIME: Ms = Ms(2_000);

/// Run time from which a task is taken to influence measurements, which lag.
const MEASUREMENT_LAG: Ms = Ms(500);

/// Minimum change of a worker's slowdown that is reported, in percentage points.
const SLOWDOWN_STEP: u32 = 10;

/// Amount of unsaved work from which a running task is asked for a checkpoint.
const MAX_UNSAVED_WORK: Ms = Ms(300_000);

impl Board {
    /// Updates the interference model and the worker's guard with a measured service time.
    pub(super) fn record_service_time(
        &mut self,
        vm: &Name,
        service: &Name,
        request: &Name,
        time: Ms,
    ) {
        let Some(&worker) = self.ledger.worker_by_vm.get(vm) else {
            return;
        };
        let now = self.ledger.now;
        let throttled = self.view(worker).throttled.clone();
        let known = self.ledger.worker(worker);
        let measurable = known
            .presence()
            .filter(|presence| self.is_measurable(worker, presence.kind));
        let present: Vec<_> = measurable
            .map(|presence| match &throttled {
                Some((kind, share)) if kind == presence.kind => Presence {
                    share: presence.share * f64::from(*share) / 100.0,
                    ..presence
                },
                _ => presence,
            })
            .collect();
        let ratio = self.model.observe(service, request, time, &present);
        self.view(worker).guard.observe(now, ratio);
    }

    /// Returns whether a task of the kind has run for long enough to influence measurements.
    fn is_measurable(&self, worker: u32, kind: &Name) -> bool {
        let now = self.ledger.now;
        let mut tasks = self.ledger.worker(worker).tasks.iter();
        tasks.any(|&key| {
            let run = self.ledger.task(key).and_then(Any::run);
            run.is_some_and(|run| now.since(run.since) >= MEASUREMENT_LAG)
                && self.ledger.piece(key.piece).job.kind == *kind
        })
    }

    /// Performs the periodic work for a worker; called once a second.
    pub(super) fn monitor(&mut self, worker: u32) {
        let now = self.ledger.now;
        let max_slowdown = f64::from(self.ledger.config.document().limits.slowdown) / 100.0;
        self.report_slowdown(worker);
        let idle = self.ledger.worker(worker).tasks.is_empty();
        let view = self.view(worker);
        if idle && view.health.probing() {
            view.health.abort_probe(now);
        }
        match view.guard.decide(now, max_slowdown) {
            Action::Keep | Action::Pause => {}
            Action::Throttle(share) => self.throttle_worst_kind(worker, share),
            Action::Evict => self.evict(worker, "a service is slowed down"),
            Action::Release => self.view(worker).throttled = None,
        }
        if self.overbooked(worker) {
            self.evict(worker, "the reservation of the services grew");
        }
        self.apply_throttle(worker);
        self.checkpoint_most_unsaved(worker);
        self.reindex(worker);
        self.process_signals();
    }

    fn report_slowdown(&mut self, worker: u32) {
        let now = self.ledger.now;
        let view = self.view(worker);
        let percent = (view.guard.ratio(now) * 100.0).round() as u32;
        let reported = if view.reported_slowdown == 0 {
            100
        } else {
            view.reported_slowdown
        };
        if percent.abs_diff(reported) >= SLOWDOWN_STEP {
            view.reported_slowdown = percent;
            let vm = self.ledger.worker(worker).vm.name.clone();
            self.ledger.order(Order::Slowdown(vm, percent));
        }
    }

    fn overbooked(&self, worker: u32) -> bool {
        let known = self.ledger.worker(worker);
        !known.booked.fits(self.batch_capacity(worker))
    }

    fn throttle_worst_kind(&mut self, worker: u32, share: u8) {
        let view = &self.views[worker as usize];
        let kind = match &view.throttled {
            Some((kind, _)) => Some(kind.clone()),
            None => self.worst_kind(worker),
        };
        if let Some(kind) = kind {
            let subject = kind.to_string();
            self.view(worker).throttled = Some((kind, share));
            let cause = "a service is slowed down";
            self.ledger
                .record_event(Kind::TaskThrottled, &subject, Some(worker), cause);
        }
    }

    /// Returns the kind that slows down a service most; among equals, the one that holds the most
    /// processors.
    fn worst_kind(&self, worker: u32) -> Option<Name> {
        let known = self.ledger.worker(worker);
        let services = &self.ledger.config.document().services;
        let slowdown = |presence: &Presence<'_>| {
            let slowdowns = services.iter();
            let slowdowns =
                slowdowns.map(|service| self.model.slowdown(&service.name, [*presence]));
            slowdowns.fold(1.0, f64::max)
        };
        let worst = known.presence().max_by(|a, b| {
            let by_share = || a.share.total_cmp(&b.share);
            let by_slowdown = slowdown(a).total_cmp(&slowdown(b));
            by_slowdown
                .then_with(by_share)
                .then_with(|| b.kind.cmp(a.kind))
        });
        worst.map(|presence| presence.kind.clone())
    }

    /// Sends a throttle to each running task whose processor share differs from the wanted one.
    fn apply_throttle(&mut self, worker: u32) {
        let tasks = self.ledger.worker(worker).tasks.clone();
        for key in tasks {
            let Some(Any::Running(task)) = self.ledger.task(key) else {
                continue;
            };
            let kind = &self.ledger.piece(key.piece).job.kind;
            let wanted = self.views[worker as usize].share(kind);
            if task.state.share != wanted {
                self.ledger.throttle(key, wanted);
            }
        }
    }

    /// Evicts the task with the least unsaved work, preferring tasks of the throttled kind.
    fn evict(&mut self, worker: u32, cause: &str) {
        let now = self.ledger.now;
        if now < self.checkpoints_paused_until {
            return;
        }
        let view = &self.views[worker as usize];
        let throttled = view.throttled.as_ref().map(|(kind, _)| kind);
        let tasks = self.ledger.worker(worker).tasks.iter();
        let candidates = tasks.filter_map(|&key| {
            let run = self.evictable(key)?;
            let other_kind =
                throttled.is_some_and(|kind| self.ledger.piece(key.piece).job.kind != *kind);
            Some((other_kind, run.unsaved(), key))
        });
        if let Some((_, _, key)) = candidates.min() {
            let subject = self.ledger.task_name(key);
            self.ledger.stop(key, Reason::Evicted);
            if let Some(history) = self.ledger.history_mut(key) {
                history.avoid = Some(worker);
            }
            self.ledger
                .record_event(Kind::TaskEvicted, &subject, Some(worker), cause);
        }
    }

    fn evictable(&self, key: Key) -> Option<&Running> {
        let Some(Any::Running(task)) = self.ledger.task(key) else {
            return None;
        };
        let max_evictions = self.ledger.config.document().limits.evictions;
        let has_run_enough = self.ledger.now.since(task.state.since) >= MIN_RUN_TIME;
        (task.history.evictions < max_evictions && has_run_enough).then_some(&task.state)
    }

    /// Asks the task with the most unsaved work for a checkpoint, so that the loss of its VM costs
    /// at most a few minutes of work.
    fn checkpoint_most_unsaved(&mut self, worker: u32) {
        if self.ledger.now < self.checkpoints_paused_until {
            return;
        }
        let tasks = self.ledger.worker(worker).tasks.iter();
        let unsaved = tasks.filter_map(|&key| match self.ledger.task(key)? {
            Any::Running(task) => Some((task.state.unsaved(), key)),
            _ => None,
        });
        if let Some((unsaved, key)) = unsaved.max()
            && unsaved >= MAX_UNSAVED_WORK
        {
            self.ledger.checkpoint(key);
        }
    }
}
