//! Admission: new requests are sent, forwarded, queued, or refused early.

use std::sync::Arc;

use super::Call;
use super::Machine;
use super::Outcome;
use super::Refusal;
use super::work::Key;
use super::work::Request;
use super::work::Route;
use super::work::Timer;
use super::work::Waiter;
use crate::classify::Class;
use crate::clock::Ms;
use crate::name::Name;
use crate::queue::Item;
use crate::queue::Queue;

/// A request is refused early when its expected wait exceeds this share of the time left until its
/// deadline. A higher share answers hardly more requests at a peak, because waiting adds no
/// capacity, but makes every answer later.
const MAX_WAIT_PERCENT: u64 = 20;
/// While short requests are expected, long requests may exceed their share of the slots only if at
/// least one in this many slots is free.
const SHORT_RESERVE_DIVISOR: u32 = 8;
/// For this long after the last short request, slots are reserved for further short requests.
const SHORT_WINDOW: Ms = Ms(10_000);

impl Machine {
    /// Admits a request that is to be served by this entry, or by a peer with free capacity.
    pub(super) fn admit(&mut self, now: Ms, call: Call, key: Option<Key>) {
        if let Some(refusal) = self.initial_refusal(now, &call) {
            match &key {
                Some(key) if refusal.is_final() => {
                    self.settle_ticket(now, key, Outcome::Refused(refusal));
                }
                Some(key) => self.release_ticket(key),
                None => {}
            }
            self.refuse(call.id, refusal);
            return;
        }
        let id = self.insert(now, call, key, Route::Serve);
        self.retries.earn();
        self.hedges.earn();
        let request = &self.requests[&id];
        let class = request.class;
        if class == Class::Short {
            self.short_expected_until = now + SHORT_WINDOW;
        }
        let service = request.call.service.clone();
        let none_waiting = self
            .queues
            .get(&service)
            .is_none_or(|queue| queue.waiting(class) == 0);
        if none_waiting && self.try_send(now, id) || self.offload(now, id) {
            return;
        }
        if let Some(refusal) = self.queue_refusal(now, id) {
            self.finish(now, id, Outcome::Refused(refusal));
            return;
        }
        self.enqueue(now, id);
    }

    fn initial_refusal(&self, now: Ms, call: &Call) -> Option<Refusal> {
        let config = self.config.as_ref().filter(|_| !self.stopping);
        let Some(config) = config else {
            return Some(Refusal::Stopping);
        };
        if config.service(&call.service).is_none() {
            return Some(Refusal::Missing);
        }
        (Waiter::new(call).deadline <= now).then_some(Refusal::Late)
    }

    pub(super) fn insert(&mut self, now: Ms, call: Call, key: Option<Key>, route: Route) -> u64 {
        let id = call.id;
        let waiter = Waiter::new(&call);
        self.timers.set(waiter.deadline, Timer::Deadline(id));
        let request = Request {
            class: self.classes.class(&call.service, &call.kind),
            call: Arc::new(call),
            waiters: vec![waiter],
            key,
            route,
            arrived: now,
            position: None,
            flights: Vec::new(),
            hedge: None,
            tried: Vec::new(),
            sends: 0,
            may_have_run: false,
            error_answer: None,
            peer_refusal: None,
        };
        self.requests.insert(id, request);
        id
    }

    /// Returns why a request cannot be queued, or `None` if it can. When the queue is full, a
    /// waiting request of the team that holds most for its weight is refused to make room, unless
    /// that is the team of the new request.
    pub(super) fn queue_refusal(&mut self, now: Ms, id: u64) -> Option<Refusal> {
        let request = &self.requests[&id];
        let team = &request.call.team;
        let weight = self.weight(team);
        let queue = self.queues.get(&request.call.service)?;
        let remaining = request.deadline().since(now);
        let class = request.class;
        let mean = self.classes.mean(&request.call.service, class);
        let mean = mean.unwrap_or(Ms::ZERO);
        let ahead = queue.ahead(now, team, weight, class) as u64;
        let slots = u64::from(self.table.share(class, self.limits_long(now)));
        if slots > 0 && ahead * mean.0 / slots > remaining.0 * MAX_WAIT_PERCENT / 100 {
            return Some(Refusal::Late);
        }
        if !queue.is_full() {
            return None;
        }
        let Some(victim) = queue.victim(now, team, weight) else {
            return Some(Refusal::Full);
        };
        self.abort(now, victim, Refusal::Full);
        None
    }

    /// Appends a request to the queue of its service.
    pub(super) fn enqueue(&mut self, now: Ms, id: u64) {
        let request = &self.requests[&id];
        let call = Arc::clone(&request.call);
        let item = Item {
            call: id,
            team: call.team.clone(),
            weight: self.weight(&call.team),
            class: request.class,
            arrived: request.arrived,
            entered: now,
            deadline: request.deadline(),
            cost: self
                .classes
                .mean(&call.service, request.class)
                .unwrap_or(Ms(1)),
        };
        let limit = self.queue_limit(&call.service);
        let queue = self
            .queues
            .entry(call.service.clone())
            .or_insert_with(|| Queue::new(limit));
        let position = queue.push(item);
        if let Some(request) = self.requests.get_mut(&id) {
            request.position = Some(position);
        }
    }

    fn weight(&self, team: &Name) -> u32 {
        let config = self.config.as_ref();
        let team = config.and_then(|config| config.team(team));
        team.map_or(1, |team| team.weight)
    }

    fn queue_limit(&self, service: &Name) -> usize {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.service(service));
        service.map_or(0, |service| service.queue as usize)
    }

    /// Returns whether long requests are limited to their share of the slots. They are while short
    /// requests wait, and while few slots are free and more short requests are expected.
    pub(super) fn limits_long(&self, now: Ms) -> bool {
        let short_waits = |queue: &Queue| queue.waiting(Class::Short) > 0;
        let scarce = self.table.free() * SHORT_RESERVE_DIVISOR < self.table.capacity();
        scarce && now < self.short_expected_until || self.queues.values().any(short_waits)
    }
}
