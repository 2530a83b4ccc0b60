//! How requests are sent, retried and ended.

use std::sync::Arc;

use super::Action;
use super::Attempt;
use super::Call;
use super::Ending;
use super::Machine;
use super::Outcome;
use super::Refusal;
use super::machine::MARGIN;
use super::work::Due;
use super::work::InFlight;
use super::work::Route;
use super::work::To;
use crate::classify::Class;
use crate::clock::Ms;
use crate::health::Change;
use crate::name::Name;
use crate::route::Ask;
use crate::route::Choice;
use crate::timeline::Kind;
use crate::timeline::Note;

/// One request is sent at most so often, whatever the reason.
const MAX_SENDS: u32 = 4;
/// A status from here on says that the target failed.
const FAILED_STATUS: u16 = 500;

impl Machine {
    /// Sends waiting requests while there is room for them.
    pub(super) fn dispatch(&mut self, now: Ms) {
        let waiting = |machine: &Self| -> Vec<Name> {
            let queues = machine.queues.iter();
            let busy = queues.filter(|(_, queue)| !queue.is_empty());
            busy.map(|(service, _)| service.clone()).collect()
        };
        let mut services = waiting(self);
        while !services.is_empty() {
            services.retain(|service| self.dispatch_one(now, service));
        }
    }

    fn dispatch_one(&mut self, now: Ms, service: &Name) -> bool {
        let Some(queue) = self.queues.get(service) else {
            return false;
        };
        let mut heads = [queue.head(now, Class::Short), queue.head(now, Class::Long)];
        if self.table.long_scarce() {
            heads.reverse();
        }
        heads
            .into_iter()
            .flatten()
            .any(|id| self.start(now, id) || self.offload(now, id))
    }

    /// Sends a request to an owned target if one has room.
    pub(super) fn start(&mut self, now: Ms, id: u64) -> bool {
        let Some(choice) = self.choose(now, id) else {
            return false;
        };
        self.unqueue(id);
        self.send(now, id, choice);
        true
    }

    /// Sends a request to a peer with room, or to any if this entry cannot serve at all.
    pub(super) fn offload(&mut self, now: Ms, id: u64) -> bool {
        let request = &self.requests[&id];
        if !request.may_forward() || request.sends >= MAX_SENDS {
            return false;
        }
        let peer = if self.table.capacity() > 0 {
            self.peers.freest()
        } else {
            self.peers.least_loaded()
        };
        let Some(peer) = peer.cloned() else {
            return false;
        };
        self.unqueue(id);
        self.forward(now, id, peer);
        true
    }

    fn choose(&self, now: Ms, id: u64) -> Option<Choice> {
        let request = &self.requests[&id];
        let ask = Ask {
            bounded: request.class == Class::Long && self.bounded(now),
            repeatable: request.call.repeatable,
            tried: &request.tried,
        };
        let choice = self.table.choose(now, &ask);
        if choice.is_some() || request.tried.len() < self.table.usable() {
            return choice;
        }
        // Every target has failed it once: any may be tried again.
        self.table.choose(now, &Ask { tried: &[], ..ask })
    }

    fn unqueue(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let place = request.place.take();
        if let Some((place, queue)) = place.zip(self.queues.get_mut(&request.call.service)) {
            queue.serve(place);
        }
    }

    fn send(&mut self, now: Ms, id: u64, choice: Choice) {
        let attempt = self.attempt();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let call = Arc::clone(&request.call);
        let long = request.class == Class::Long;
        request.sends += 1;
        request.flights.push(attempt);
        self.table.take(choice, long);
        let timeout = now + self.attempt_timeout(&call);
        self.set_timers(now, attempt, &call, long);
        self.actions.push(Action::Send {
            attempt,
            vm: self.table.vm(choice.id).clone(),
            epoch: self.table.epoch(choice.id),
            call: Arc::clone(&call),
            timeout,
        });
        self.track(now, attempt, &call, To::Target(choice), timeout, long);
    }

    /// Sends a request to a peer. For capacity it goes without its ticket, which stays here: the
    /// peer runs it once on our word.
    pub(super) fn forward(&mut self, now: Ms, id: u64, peer: Name) {
        let attempt = self.attempt();
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
        // A request that must not be repeated may run to its end there after its deadline.
        let timeout = if call.repeatable {
            deadline
        } else {
            deadline + self.attempt_timeout(&call)
        };
        self.peers.count(&peer);
        self.actions.push(Action::Forward {
            attempt,
            entry: peer.clone(),
            call: Arc::clone(&call),
            timeout,
        });
        self.track(now, attempt, &call, To::Peer(peer), timeout, false);
    }

    fn track(&mut self, now: Ms, attempt: Attempt, call: &Call, to: To, timeout: Ms, long: bool) {
        let expires = timeout + MARGIN;
        self.timers.set(expires, Due::Expiry(attempt));
        let flight = InFlight {
            request: call.id,
            service: call.service.clone(),
            kind: call.kind.clone(),
            to,
            sent: now,
            expires,
            long,
            live: true,
        };
        self.flights.insert(attempt, flight);
    }

    /// Sets the timers that watch for a slow attempt.
    fn set_timers(&mut self, now: Ms, attempt: Attempt, call: &Call, long: bool) {
        if long {
            return;
        }
        if let Some(after) = self.classes.slow_after(&call.service, &call.kind) {
            self.timers.set(now + after, Due::Slow(attempt));
        }
        let after = self.classes.hedge_after(&call.service, &call.kind);
        if let Some(after) = after.filter(|_| call.repeatable) {
            self.timers.set(now + after, Due::Hedge(attempt));
        }
    }

    fn attempt_timeout(&self, call: &Call) -> Ms {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.service(&call.service));
        service.map_or(call.deadline, |service| service.attempt)
    }

    const fn attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt(self.attempts)
    }

    /// A short request runs long: from now on it counts as that.
    pub(super) fn slow(&mut self, attempt: Attempt) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        if let To::Target(choice) = flight.to
            && !flight.long
        {
            flight.long = true;
            self.table.lengthen(choice.id);
        }
    }

    /// Sends a second attempt when the first takes unusually long and there is room for it.
    pub(super) fn hedge(&mut self, now: Ms, attempt: Attempt) {
        let Some(flight) = self.flights.get(&attempt).filter(|flight| flight.live) else {
            return;
        };
        let To::Target(choice) = flight.to else {
            return;
        };
        let id = flight.request;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let queue = self.queues.get(&request.call.service);
        let crowded = queue.is_some_and(|queue| !queue.is_empty());
        let alone = request.flights.len() == 1 && request.sends < MAX_SENDS;
        if crowded || !alone || !self.hedges.covers() {
            return;
        }
        let tried = [&request.tried[..], &[choice.id]].concat();
        let ask = Ask {
            bounded: false,
            repeatable: false,
            tried: &tried,
        };
        let Some(other) = self.table.choose(now, &ask) else {
            return;
        };
        self.hedges.spend();
        self.send(now, id, other);
    }

    /// Takes in the ending of an attempt. Late and duplicate endings find no flight.
    pub(super) fn end(&mut self, now: Ms, attempt: Attempt, ending: Ending) {
        let Some(flight) = self.flights.get(&attempt).cloned() else {
            return;
        };
        match &flight.to {
            To::Target(choice) => self.end_at_target(now, attempt, &flight, *choice, &ending),
            To::Peer(peer) => {
                if matches!(ending, Ending::Refused(_) | Ending::NotRun) {
                    self.peers.refused(peer);
                }
                self.flights.remove(&attempt);
            }
        }
        if flight.live {
            self.settle_attempt(now, attempt, &flight, ending);
        }
    }

    fn end_at_target(
        &mut self,
        now: Ms,
        attempt: Attempt,
        flight: &InFlight,
        choice: Choice,
        ending: &Ending,
    ) {
        if flight.live {
            let answered =
                matches!(ending, Ending::Answered(answer) if answer.status < FAILED_STATUS);
            self.judge(now, choice, !answered);
            if answered {
                self.measure(now, flight, choice);
            }
        }
        // After a broken connection the target may still be running the request.
        if flight.live && *ending == Ending::Unknown && now < flight.expires {
            if let Some(flight) = self.flights.get_mut(&attempt) {
                flight.live = false;
            }
            return;
        }
        self.flights.remove(&attempt);
        self.table.release(choice.id, flight.long);
    }

    fn judge(&mut self, now: Ms, choice: Choice, failed: bool) {
        let kind = match self.table.record(now, choice, failed) {
            Change::None => return,
            Change::Quarantined => Kind::Quarantined,
            Change::Restored => Kind::Restored,
        };
        let vm = self.table.vm(choice.id).clone();
        self.actions.push(Action::Note(Note {
            kind,
            subject: vm.to_string(),
            epoch: Some(self.table.epoch(choice.id)),
            vm: Some(vm),
            cause: "share of failed requests".into(),
        }));
    }

    fn measure(&mut self, now: Ms, flight: &InFlight, choice: Choice) {
        let time = now.since(flight.sent);
        self.classes.record(&flight.service, &flight.kind, time);
        self.actions.push(Action::Measured {
            vm: self.table.vm(choice.id).clone(),
            service: flight.service.clone(),
            kind: flight.kind.clone(),
            time,
        });
    }

    /// An attempt ended without news.
    pub(super) fn time_out(&mut self, now: Ms, attempt: Attempt) {
        self.end(now, attempt, Ending::Unknown);
    }

    /// Carries an attempt's ending over to its request.
    fn settle_attempt(&mut self, now: Ms, attempt: Attempt, flight: &InFlight, ending: Ending) {
        let id = flight.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.flights.retain(|other| *other != attempt);
        if let To::Target(choice) = flight.to {
            request.tried.push(choice.id);
        }
        let repeatable = request.call.repeatable;
        match ending {
            Ending::Answered(answer) if answer.status >= FAILED_STATUS && repeatable => {
                request.ran = true;
                request.failed = Some(answer);
                self.retry(now, id, true);
            }
            Ending::Answered(answer) => self.finish(now, id, Outcome::Answered(answer)),
            Ending::Refused(refusal) if request.route == Route::Issuer => {
                self.finish(now, id, Outcome::Refused(refusal));
            }
            Ending::Refused(refusal) => {
                request.refusal = Some(refusal);
                self.retry(now, id, false);
            }
            Ending::NotRun => self.retry(now, id, false),
            Ending::Unknown => {
                request.ran = true;
                self.retry(now, id, true);
            }
        }
    }

    /// Sends a request again if that is allowed and worthwhile, or ends it. An attempt that may
    /// have run is `paid` for from the retry budget.
    fn retry(&mut self, now: Ms, id: u64, paid: bool) {
        let request = &self.requests[&id];
        if !request.flights.is_empty() {
            return;
        }
        let allowed = !request.ran || request.call.repeatable;
        let worthwhile = request.sends < MAX_SENDS && request.deadline() > now;
        if !allowed || !worthwhile || paid && !self.retries.spend() {
            self.fail(now, id);
            return;
        }
        let request = &self.requests[&id];
        let vm = request.tried.last().map(|id| self.table.vm(*id).clone());
        if request.route == Route::Serve {
            self.note(Kind::AttemptFailed, id, vm, "sent again".into());
            self.enqueue(id);
            return;
        }
        let ticket = request.call.ticket.as_ref();
        match ticket
            .and_then(|ticket| self.peers.responsible(ticket))
            .cloned()
        {
            Some(peer) => self.forward(now, id, peer),
            None => self.fail(now, id),
        }
    }

    /// Ends a request without an answer of its own.
    fn fail(&mut self, now: Ms, id: u64) {
        let refusal = self.requests[&id].refusal;
        self.give_up(now, id, refusal.unwrap_or(Refusal::Unreachable));
    }

    /// Ends a request: refused if it did not run and never will.
    pub(super) fn give_up(&mut self, now: Ms, id: u64, refusal: Refusal) {
        let request = &self.requests[&id];
        let may_run = request.ran || !request.flights.is_empty() || request.route == Route::Issuer;
        let outcome = match &request.failed {
            Some(answer) => Outcome::Answered(answer.clone()),
            None if may_run => Outcome::Unknown,
            None => Outcome::Refused(refusal),
        };
        self.finish(now, id, outcome);
    }

    /// Ends a request and answers everyone who waits for it.
    pub(super) fn finish(&mut self, now: Ms, id: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some((place, queue)) = request
            .place
            .zip(self.queues.get_mut(&request.call.service))
        {
            queue.remove(place);
        }
        for attempt in &request.flights {
            self.abandon(now, *attempt);
        }
        match (&request.key, &outcome) {
            (Some(key), Outcome::Refused(_)) => self.release(key),
            (Some(key), _) => self.settle(now, key, outcome.clone()),
            (None, _) => {}
        }
        for waiter in request.waiters {
            self.joined.remove(&waiter.call);
            self.reply(waiter.call, outcome.clone());
        }
    }

    /// Gives up on an attempt. Its slot stays booked until news or its expiry.
    fn abandon(&mut self, now: Ms, attempt: Attempt) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        flight.live = false;
        let (to, long) = (flight.to.clone(), flight.long);
        self.actions.push(Action::Abandon(attempt));
        match to {
            // One that ran far longer than usual counts against its target.
            To::Target(choice) if long => self.judge(now, choice, true),
            To::Target(choice) => self.table.skip(choice),
            To::Peer(_) => {
                self.flights.remove(&attempt);
            }
        }
    }

    /// Lets go the waiters whose deadline has passed.
    pub(super) fn expire(&mut self, now: Ms, id: u64) {
        self.drop_waiters(now, id, |_, deadline| deadline <= now);
    }

    /// Lets go a caller that waits no longer.
    pub(super) fn withdraw(&mut self, now: Ms, call: u64) {
        let id = self.joined.get(&call).copied().unwrap_or(call);
        self.drop_waiters(now, id, |waiter, _| waiter == call);
    }

    fn drop_waiters(&mut self, now: Ms, id: u64, leaves: impl Fn(u64, Ms) -> bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let leaves = |waiter: &super::work::Waiter| leaves(waiter.call, waiter.deadline);
        if !request.waiters.iter().any(leaves) {
            return;
        }
        let all = request.waiters.iter().all(leaves);
        if all && (request.flights.is_empty() || request.call.repeatable) {
            self.give_up(now, id, Refusal::Late);
            return;
        }
        // It goes on for the others, or for a retry with its ticket.
        let gone = request.waiters.extract_if(.., |waiter| leaves(waiter));
        let gone: Vec<u64> = gone.map(|waiter| waiter.call).collect();
        for call in gone {
            self.joined.remove(&call);
            self.reply(call, Outcome::Unknown);
        }
    }
}
