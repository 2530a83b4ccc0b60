//! Sending: the choice of a receiver, and the timers of an attempt.

use std::sync::Arc;

use super::Action;
use super::Attempt;
use super::Call;
use super::Machine;
use super::machine::EXPIRY_MARGIN;
use super::work::InFlight;
use super::work::Receiver;
use super::work::Route;
use super::work::Timer;
use crate::classify::Class;
use crate::clock::Ms;
use crate::name::Name;
use crate::route::Choice;
use crate::route::Criteria;
use crate::worker::Epoch;

/// The maximum number of attempts of one request, including forwards and hedges.
pub(super) const MAX_SENDS: u32 = 4;
/// Hedges are sent only while at least one in this many slots is free.
const HEDGE_FREE_DIVISOR: u32 = 4;

impl Machine {
    /// Sends queued requests while targets or peers have free slots.
    pub(super) fn dispatch(&mut self, now: Ms) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let mut services: Vec<Name> = waiting.map(|(service, _)| service.clone()).collect();
        while !services.is_empty() {
            services.retain(|service| self.dispatch_one(now, service));
        }
    }

    fn dispatch_one(&mut self, now: Ms, service: &Name) -> bool {
        let Some(queue) = self.queues.get(service) else {
            return false;
        };
        let mut heads = [queue.head(now, Class::Short), queue.head(now, Class::Long)];
        if self.table.long_underserved() {
            heads.reverse();
        }
        heads
            .into_iter()
            .flatten()
            .any(|id| self.try_send(now, id) || self.offload(now, id))
    }

    /// Sends a request to an owned target if one has a free slot. Returns whether it was sent.
    pub(super) fn try_send(&mut self, now: Ms, id: u64) -> bool {
        let Some(choice) = self.choose_target(now, id) else {
            return false;
        };
        self.dequeue(id);
        self.send(now, id, choice);
        true
    }

    /// Forwards a request to a peer with free slots, or to any peer if this entry has no usable
    /// target. Returns whether it was forwarded.
    pub(super) fn offload(&mut self, now: Ms, id: u64) -> bool {
        let request = &self.requests[&id];
        if !request.may_forward() || request.sends >= MAX_SENDS {
            return false;
        }
        let peer = if self.table.capacity() > 0 {
            self.peers.with_free_slots()
        } else {
            self.peers.least_loaded()
        };
        let Some(peer) = peer.cloned() else {
            return false;
        };
        self.dequeue(id);
        self.forward(now, id, peer);
        true
    }

    fn choose_target(&self, now: Ms, id: u64) -> Option<Choice> {
        let request = &self.requests[&id];
        let criteria = Criteria {
            limit_long: request.class == Class::Long && self.limits_long(now),
            repeatable: request.call.repeatable,
            excluded: &request.tried,
        };
        let choice = self.table.choose(now, &criteria);
        if choice.is_some() || request.tried.len() < self.table.usable() {
            return choice;
        }
        // Every target has failed this request once, so any of them may be tried again.
        self.table.choose(
            now,
            &Criteria {
                excluded: &[],
                ..criteria
            },
        )
    }

    fn dequeue(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let position = request.position.take();
        if let Some((position, queue)) = position.zip(self.queues.get_mut(&request.call.service)) {
            queue.serve(position);
        }
    }

    fn send(&mut self, now: Ms, id: u64, choice: Choice) {
        let attempt = self.next_attempt();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let call = Arc::clone(&request.call);
        let long = request.class == Class::Long;
        request.sends += 1;
        request.flights.push(attempt);
        self.table.acquire(choice, long);
        let timeout = now + self.attempt_timeout(&call);
        self.set_timers(now, attempt, &call, long);
        self.actions.push(Action::Send {
            attempt,
            vm: self.table.vm(choice.id).clone(),
            epoch: self.table.epoch(choice.id),
            call: Arc::clone(&call),
            timeout,
        });
        self.track(now, attempt, &call, Receiver::Target(choice), timeout, long);
    }

    /// Forwards a request to a peer. A request that is forwarded for capacity goes without its
    /// ticket: this entry keeps the ticket and makes sure that the request runs at most once.
    pub(super) fn forward(&mut self, now: Ms, id: u64, peer: Name) {
        let attempt = self.next_attempt();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.sends += 1;
        request.flights.push(attempt);
        let mut call = Arc::clone(&request.call);
        if request.route == Route::Serve && call.ticket.is_some() {
            Arc::make_mut(&mut call).ticket = None;
        }
        let deadline = request.deadline();
        // At the peer, a request that is not repeatable may run to completion after its deadline.
        let timeout = if call.repeatable {
            deadline
        } else {
            deadline + self.attempt_timeout(&call)
        };
        self.peers.record_forward(&peer);
        self.actions.push(Action::Forward {
            attempt,
            entry: peer.clone(),
            call: Arc::clone(&call),
            timeout,
        });
        self.track(now, attempt, &call, Receiver::Peer(peer), timeout, false);
    }

    fn track(
        &mut self,
        now: Ms,
        attempt: Attempt,
        call: &Call,
        receiver: Receiver,
        timeout: Ms,
        long: bool,
    ) {
        let expires = timeout + EXPIRY_MARGIN;
        self.timers.set(expires, Timer::Expiry(attempt));
        let epoch = match &receiver {
            Receiver::Target(choice) => self.table.epoch(choice.id),
            Receiver::Peer(_) => Epoch::default(),
        };
        let flight = InFlight {
            request: call.id,
            service: call.service.clone(),
            kind: call.kind.clone(),
            receiver,
            sent: now,
            epoch,
            expires,
            long,
            live: true,
        };
        self.flights.insert(attempt, flight);
    }

    /// Sets the timers after which a short request counts as long or is hedged.
    fn set_timers(&mut self, now: Ms, attempt: Attempt, call: &Call, long: bool) {
        if long {
            return;
        }
        if let Some(after) = self.classes.slow_after(&call.service, &call.kind) {
            self.timers.set(now + after, Timer::Slow(attempt));
        }
        let after = self.classes.hedge_after(&call.service, &call.kind);
        if let Some(after) = after.filter(|_| call.repeatable) {
            self.timers.set(now + after, Timer::Hedge(attempt));
        }
    }

    fn attempt_timeout(&self, call: &Call) -> Ms {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.service(&call.service));
        service.map_or(call.deadline, |service| service.attempt)
    }

    const fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt(self.attempts)
    }

    /// Counts the request of an attempt as long, because it runs longer than short requests do.
    pub(super) fn reclassify_as_long(&mut self, attempt: Attempt) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        if let Receiver::Target(choice) = flight.receiver
            && !flight.long
        {
            flight.long = true;
            self.table.mark_long(choice.id);
        }
    }

    /// Sends a second attempt when the first takes unusually long and enough slots are free.
    pub(super) fn hedge(&mut self, now: Ms, attempt: Attempt) {
        let Some(flight) = self.flights.get(&attempt).filter(|flight| flight.live) else {
            return;
        };
        let Receiver::Target(choice) = flight.receiver else {
            return;
        };
        let id = flight.request;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let queue = self.queues.get(&request.call.service);
        let has_waiting = queue.is_some_and(|queue| !queue.is_empty());
        let scarce = self.table.free() * HEDGE_FREE_DIVISOR < self.table.capacity();
        let may_hedge = request.flights.len() == 1 && request.sends < MAX_SENDS;
        if has_waiting || scarce || !may_hedge {
            return;
        }
        let tried = [&request.tried[..], &[choice.id]].concat();
        let criteria = Criteria {
            limit_long: false,
            repeatable: false,
            excluded: &tried,
        };
        let Some(other) = self.table.choose(now, &criteria) else {
            return;
        };
        if self.hedges.spend() {
            self.send(now, id, other);
            let request = self.requests.get_mut(&id);
            let request = request.expect("a request that was just sent is in progress");
            request.hedge = request.flights.last().copied();
        }
    }
}
