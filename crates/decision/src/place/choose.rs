//! The choice of the task to place next, and of the worker to place it on.

use super::board::Board;
use super::ledger::piece::Key;
use super::ledger::worker::Worker;
use super::queue::Shape;
use super::view::View;
use crate::clock::Ms;
use crate::interference::Presence;
use crate::name::Name;
use crate::resource::Size;
use crate::task::Any;

/// Maximum number of placement attempts in one step, so that a burst of tasks does not delay other
/// events.
const MAX_PLACEMENTS: usize = 2_000;

/// Maximum number of suitable workers that are compared for one placement.
const MAX_COMPARED: usize = 12;

/// How long a kind whose interference is not yet measured keeps other such kinds off a worker.
const TRIAL_PERIOD: Ms = Ms(5_000);

/// Waiting time after which a task may be placed beside a service that it is expected to slow down.
const SLOWDOWN_ALLOWED_AFTER: Ms = Ms(10_000);

/// Weight of the expected slowdown at full load, relative to the tightness of the fit (0 to 1).
const SLOWDOWN_WEIGHT: f64 = 2.0;

/// Penalty for each task of the same kind on the worker, so that jobs are spread over workers.
const SPREAD_WEIGHT: f64 = 0.05;

/// Penalty for the worker on which the task failed last or slowed down a service.
const AVOID_WEIGHT: f64 = 10.0;

/// Share of a worker's request slots in use from which an expected slowdown above the limit rules
/// the worker out.
const LOADED_SHARE: f64 = 0.25;

/// A task to be placed, with what the choice of its worker depends on.
struct Demand<'a> {
    class: u32,
    shape: &'a Shape,
    /// The worker on which the task failed last, or from which it was evicted last.
    avoid: Option<u32>,
    /// Whether the interference of the task's kind with some service is not yet measured.
    unmeasured: bool,
    /// Whether the task has waited for at least [`SLOWDOWN_ALLOWED_AFTER`].
    overdue: bool,
}

impl Board {
    /// Places waiting tasks until no class is ready or the maximum for one step is reached.
    pub(super) fn dispatch(&mut self) {
        for _ in 0..MAX_PLACEMENTS {
            let ledger = &self.ledger;
            let share = |team: &Name| {
                let own = ledger.held.get(team).copied().unwrap_or_default();
                self.shares.dominant_share(&ledger.config, team, own)
            };
            let Some(class) = self.queue.next(share) else {
                return;
            };
            self.place(class);
            self.process_signals();
        }
    }

    fn place(&mut self, class: u32) {
        let Some(&(key, since)) = self.queue.class(class).tasks.front() else {
            return;
        };
        let overdue = self.ledger.now.since(since) >= SLOWDOWN_ALLOWED_AFTER;
        let is_waiting = self.ledger.task(key).is_some_and(Any::is_waiting);
        if !is_waiting || !self.ledger.startable(key.piece) {
            return self.queue.pop(class);
        }
        let shape = self.queue.class(class).shape.clone();
        let grant = self.grant(key, &shape);
        let history = self.ledger.task(key).and_then(Any::history);
        let demand = Demand {
            class,
            shape: &shape,
            avoid: history.and_then(|history| history.avoid),
            unmeasured: self.is_unmeasured(&shape.kind),
            overdue,
        };
        if !self.within_quota(&shape, grant) {
            return self.queue.block(class, false);
        }
        let chosen = self.choose(&demand, grant);
        let chosen = chosen.or_else(|| {
            // If the corrected size fits on no worker of the group, the declared size is tried.
            let declared = shape.size;
            let retry = declared != grant && !self.feasible(shape.group, grant);
            retry.then(|| self.choose(&demand, declared))?
        });
        match chosen {
            Some((worker, grant)) => {
                self.queue.pop(class);
                self.start(class, key, worker, grant);
            }
            None => {
                let possible =
                    self.feasible(shape.group, grant) || self.feasible(shape.group, shape.size);
                self.queue.block(class, possible);
            }
        }
    }

    fn start(&mut self, class: u32, key: Key, worker: u32, grant: Size) {
        let now = self.ledger.now;
        let kind = self.ledger.piece(key.piece).job.kind.clone();
        let unmeasured = self.is_unmeasured(&kind);
        let view = self.view(worker);
        view.health.record_start();
        let trying = view.trial.as_ref().is_some_and(|(tried, _)| *tried == kind);
        if unmeasured && !trying {
            view.trial = Some((kind, now));
        }
        if let Some(reserved) = self.queue.class_mut(class).reserved.take() {
            self.view(reserved).reserved = None;
        }
        self.ledger.start(key, worker, grant);
    }

    /// Returns the size to grant, estimated from tasks of the same job or, if none has been
    /// observed, from tasks of the same kind.
    fn grant(&mut self, key: Key, shape: &Shape) -> Size {
        let largest = self.largest_batch_capacity(shape.group);
        let job = self.jobs.get(&self.ledger.piece(key.piece).job.name);
        match job.or_else(|| self.kinds.get(&shape.kind)) {
            Some(estimate) => estimate.grant(shape.size, shape.memory_floor, largest),
            None => {
                let floor = shape.memory_floor.min(largest.memory_mb);
                let memory_mb = shape.size.memory_mb.max(floor);
                Size {
                    memory_mb,
                    ..shape.size
                }
            }
        }
    }

    /// Returns the largest amount of each resource that any worker of the group has for batch work.
    pub(super) fn largest_batch_capacity(&mut self, group: u32) -> Size {
        let version = self.ledger.groups[group as usize].version;
        if let Some((known, largest)) = self.largest.get(&group)
            && *known == version
        {
            return *largest;
        }
        let workers = self.ledger.groups[group as usize].workers.iter();
        let capacities = workers.map(|&worker| self.batch_capacity(worker));
        let largest = capacities.fold(Size::ZERO, Size::max);
        self.largest.insert(group, (version, largest));
        largest
    }

    /// Returns what a worker has for batch work beside the reservations of the services, whether or
    /// not it is booked.
    pub(super) fn batch_capacity(&self, worker: u32) -> Size {
        let worker = self.ledger.worker(worker);
        worker.capacity.minus(self.ledger.reserve)
    }

    /// Returns whether some worker of the group could hold `grant` if no other task ran there.
    pub(super) fn feasible(&self, group: u32, grant: Size) -> bool {
        let mut workers = self.ledger.groups[group as usize].workers.iter();
        workers.any(|&worker| {
            let known = self.ledger.worker(worker);
            known.reachable() && !known.leaving && grant.fits(self.batch_capacity(worker))
        })
    }

    fn within_quota(&self, shape: &Shape, grant: Size) -> bool {
        let own = self.ledger.held.get(&shape.team).copied();
        let own = own.unwrap_or_default();
        let config = &self.ledger.config;
        self.shares.within_quota(config, &shape.team, own, grant)
    }

    /// Returns whether the interference of the kind with some service is not yet measured.
    fn is_unmeasured(&self, kind: &Name) -> bool {
        let services = &self.ledger.config.document().services;
        let mut names = services.iter().map(|service| &service.name);
        names.any(|service| !self.model.is_known(service, kind))
    }

    fn choose(&mut self, demand: &Demand<'_>, grant: Size) -> Option<(u32, Size)> {
        self.rotation = self.rotation.wrapping_add(1);
        let shape = demand.shape;
        // A class may use the worker reserved for it even if that one has accelerators. Otherwise
        // it and a class that needs the accelerators would wait for each other.
        let reserved = self.queue.class(demand.class).reserved.is_some();
        let wanted = self.queue.wants_accelerators(shape.group);
        let exclude_accelerators = grant.accelerators == 0 && !reserved && wanted;
        let mut best: Option<(f64, u32)> = None;
        let mut compared = 0;
        let index = self.rooms.group(shape.group)?;
        index.search(grant, exclude_accelerators, self.rotation, |at| {
            let worker = self.ledger.worker(at);
            let view = &self.views[at as usize];
            let room = worker.room(self.ledger.reserve);
            if !grant.fits(room) || !self.is_allowed(demand, worker, view) {
                return false;
            }
            let Some(score) = self.score(demand, grant, room, worker) else {
                return false;
            };
            let penalty = if demand.avoid == Some(at) {
                AVOID_WEIGHT
            } else {
                0.0
            };
            compared += 1;
            if best.is_none_or(|(least, _)| score + penalty < least) {
                best = Some((score + penalty, at));
            }
            compared >= MAX_COMPARED
        });
        best.map(|(_, worker)| (worker, grant))
    }

    fn is_allowed(&self, demand: &Demand<'_>, worker: &Worker, view: &View) -> bool {
        let shape = demand.shape;
        let now = self.ledger.now;
        let tasks = u32::try_from(worker.tasks.len()).unwrap_or(u32::MAX);
        let reserved = view
            .reserved
            .is_some_and(|reserved| reserved != demand.class);
        let trial = view.trial.as_ref();
        // Without recent measurements there is no traffic: the trial could learn nothing, and there
        // is no service to protect.
        let tried = demand.unmeasured
            && view.guard.is_fresh(now)
            && trial.is_some_and(|(kind, since)| {
                *kind != shape.kind && now.since(*since) < TRIAL_PERIOD && self.is_unmeasured(kind)
            });
        let throttled = view.share(&shape.kind) < 100;
        !reserved && !tried && !throttled && view.health.allows(now, tasks)
    }

    /// Returns the score of a worker, where lower is better, or `None` if the worker is loaded and
    /// the expected slowdown of a service is above the limit. An overdue task may still go there as
    /// the only one of its kind; otherwise it would never start where services are always loaded.
    fn score(&self, demand: &Demand<'_>, grant: Size, room: Size, worker: &Worker) -> Option<f64> {
        let shape = demand.shape;
        let load = f64::from(worker.busy) / f64::from(worker.vm.slots.max(1));
        let mut score = 1.0 - tightness(grant, room);
        let same = worker.kinds.iter().find(|held| held.kind == shape.kind);
        let same = same.map_or(0, |held| held.count);
        score += f64::from(same) * SPREAD_WEIGHT;
        if worker.busy > 0 {
            let slowdown = self.expected_slowdown(shape, grant, worker);
            let max_slowdown = f64::from(self.ledger.config.document().limits.slowdown) / 100.0;
            if slowdown > max_slowdown && load >= LOADED_SHARE && (same > 0 || !demand.overdue) {
                return None;
            }
            score += (slowdown - 1.0).max(0.0) * load * SLOWDOWN_WEIGHT;
        }
        Some(score)
    }

    /// Returns the slowdown expected for the most affected service with one more task of this
    /// shape.
    fn expected_slowdown(&self, shape: &Shape, grant: Size, worker: &Worker) -> f64 {
        let added = Presence {
            kind: &shape.kind,
            share: worker.share(grant.millicores),
        };
        let services = self.ledger.config.document().services.iter();
        let slowdowns = services.map(|service| {
            let present = worker.presence().chain([added]);
            self.model.slowdown(&service.name, present)
        });
        slowdowns.fold(1.0, f64::max)
    }
}

/// Returns the share of the free capacity that a grant takes, for the resource where it is largest.
fn tightness(grant: Size, room: Size) -> f64 {
    let part = |grant: u32, room: u32| f64::from(grant) / f64::from(room.max(1));
    let processors = part(grant.millicores, room.millicores);
    let memory = part(grant.memory_mb, room.memory_mb);
    processors
        .max(memory)
        .max(part(grant.accelerators, room.accelerators))
}
