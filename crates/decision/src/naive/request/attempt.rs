//! Attempts: how they are sent to targets and peers, and what follows from their ends.

use std::sync::Arc;

use super::InFlight;
use super::Machine;
use super::SLOTS;
use crate::clock::Ms;
use crate::name::Name;
use crate::request::Action;
use crate::request::Attempt;
use crate::request::Call;
use crate::request::Ending;
use crate::request::Outcome;
use crate::request::Peer;
use crate::request::Refusal;
use crate::request::Target;

/// HTTP statuses from this one on count as a failure of the target.
const FAILED_STATUS: u16 = 500;

impl Machine {
    pub(super) fn dispatch(&mut self, now: Ms) {
        while let Some(id) = self.waiting.front().copied() {
            if !self.requests.contains_key(&id) {
                self.waiting.pop_front();
                continue;
            }
            if let Some(target) = self.next_target() {
                self.send(now, id, &target);
            } else if self.targets.is_empty() && !self.requests[&id].call.forwarded {
                let Some(peer) = self.next_peer() else {
                    return;
                };
                self.forward(now, id, peer);
            } else {
                return;
            }
            self.waiting.pop_front();
        }
    }

    fn next_target(&mut self) -> Option<Target> {
        for step in 1..=self.targets.len() {
            let index = (self.rotation + step) % self.targets.len();
            let target = &self.targets[index];
            if !target.leaving && self.busy_at(&target.vm) < SLOTS {
                self.rotation = index;
                return Some(target.clone());
            }
        }
        None
    }

    fn next_peer(&mut self) -> Option<Name> {
        let peers: Vec<&Peer> = self.peers.iter().filter(|peer| !peer.stopping).collect();
        self.rotation += 1;
        let peer = peers.get(self.rotation.checked_rem(peers.len())?)?;
        Some(peer.entry.clone())
    }

    fn send(&mut self, now: Ms, id: u64, target: &Target) {
        *self.busy.entry(target.vm.clone()).or_default() += 1;
        let call = Arc::clone(&self.requests[&id].call);
        let (attempt, timeout) = self.register_attempt(now, &call, Some(target.vm.clone()));
        self.actions.push(Action::Send {
            attempt,
            vm: target.vm.clone(),
            epoch: target.epoch,
            call,
            timeout,
        });
    }

    pub(super) fn forward(&mut self, now: Ms, id: u64, entry: Name) {
        let request = &self.requests[&id];
        let mut call = Arc::clone(&request.call);
        if request.ticketed {
            Arc::make_mut(&mut call).ticket = None;
        }
        let (attempt, timeout) = self.register_attempt(now, &call, None);
        self.actions.push(Action::Forward {
            attempt,
            entry,
            call,
            timeout,
        });
    }

    fn register_attempt(&mut self, now: Ms, call: &Call, vm: Option<Name>) -> (Attempt, Ms) {
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.service(&call.service));
        let timeout = now + service.map_or(Ms(1_000), |service| service.attempt);
        let flight = InFlight {
            request: call.id,
            vm,
            sent: now,
            timeout,
        };
        self.flights.insert(attempt, flight);
        if let Some(request) = self.requests.get_mut(&call.id) {
            request.flight = Some(attempt);
        }
        (attempt, timeout)
    }

    pub(super) fn end_attempt(&mut self, now: Ms, attempt: Attempt, ending: Ending) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        self.release_slot(&flight);
        let id = flight.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.flight = None;
        let at_issuer = request.call.ticket.is_some() && !request.ticketed;
        match ending {
            Ending::Answered(answer) if answer.status < FAILED_STATUS => {
                self.report_service_time(now, flight, id);
                self.finish(now, id, Outcome::Answered(answer));
                return;
            }
            Ending::Answered(answer) => request.failed = Some(answer),
            Ending::Unknown => request.may_have_run = true,
            Ending::Refused(refusal) if at_issuer && !request.call.repeatable => {
                self.finish(now, id, Outcome::Refused(refusal));
                return;
            }
            Ending::Refused(_) | Ending::NotRun => {}
        }
        let may_retry = request.call.repeatable && request.call.deadline > now;
        if may_retry {
            self.waiting.push_back(id);
        } else {
            self.fail(now, id, Refusal::Unreachable);
        }
    }

    fn report_service_time(&mut self, now: Ms, flight: InFlight, id: u64) {
        let call = &self.requests[&id].call;
        let (service, kind) = (call.service.clone(), call.kind.clone());
        if let Some(vm) = flight.vm {
            let time = now.since(flight.sent);
            self.actions.push(Action::Measured {
                vm,
                service,
                kind,
                time,
            });
        }
    }

    pub(super) fn abandon(&mut self, attempt: Attempt) {
        self.actions.push(Action::Abandon(attempt));
        if let Some(flight) = self.flights.remove(&attempt) {
            self.release_slot(&flight);
        }
    }

    fn release_slot(&mut self, flight: &InFlight) {
        if let Some(vm) = &flight.vm
            && let Some(busy) = self.busy.get_mut(vm)
        {
            *busy = busy.saturating_sub(1);
        }
    }
}
