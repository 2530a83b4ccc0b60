//! Completion: how attempts and requests end, and which attempts are retried.

use super::Action;
use super::Attempt;
use super::Ending;
use super::Machine;
use super::Outcome;
use super::Refusal;
use super::Snapshot;
use super::send::MAX_SENDS;
use super::work::InFlight;
use super::work::Receiver;
use super::work::Route;
use super::work::Timer;
use super::work::Waiter;
use crate::clock::Ms;
use crate::health::Change;
use crate::route::Choice;
use crate::route::Table;
use crate::timeline::Kind;
use crate::timeline::Note;

/// An entry without usable targets forwards a request to at most this many peers.
const MAX_FORWARDS: u32 = 2;
/// HTTP statuses from this one on count as a failure of the target.
const FAILED_STATUS: u16 = 500;
/// A request that was sent at least this long before a target's report was requested has arrived
/// at the target or never will, so the report is conclusive about it.
const MAX_TRANSIT: Ms = Ms(1_000);

impl Machine {
    /// Handles the end of an attempt. Late and duplicate endings are ignored, because their attempt
    /// is no longer recorded.
    pub(super) fn end_attempt(&mut self, now: Ms, attempt: Attempt, ending: Ending) {
        let Some(flight) = self.flights.get(&attempt).cloned() else {
            return;
        };
        match &flight.receiver {
            Receiver::Target(choice) => {
                self.end_attempt_at_target(now, attempt, &flight, *choice, &ending)
            }
            Receiver::Peer(peer) => {
                match ending {
                    Ending::Refused(_) | Ending::NotRun => self.peers.record_refusal(peer),
                    Ending::Answered(_) | Ending::Unknown => self.peers.record_completion(peer),
                }
                self.remove_flight(attempt);
            }
        }
        if flight.live {
            self.apply_ending(now, attempt, &flight, ending);
        }
    }

    fn end_attempt_at_target(
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
            self.record_health(now, choice, !answered);
            if answered {
                self.record_service_time(now, flight, choice);
            }
        }
        // After a broken connection the target may still be running the request. A target that
        // refused it although this entry counted a free slot may still be running another request
        // that is no longer counted here. In both cases the slot stays acquired until it expires.
        let in_doubt = matches!(ending, Ending::Unknown | Ending::NotRun);
        if flight.live && in_doubt && now < flight.expires {
            if let Some(flight) = self.flights.get_mut(&attempt) {
                flight.live = false;
            }
            return;
        }
        if *ending == Ending::Unknown && self.table.snapshot(choice.id).is_some() {
            // The target's reports show when the request is no longer in progress there.
            self.unresolved.insert(attempt);
            if let Some(flight) = self.flights.get_mut(&attempt) {
                flight.live = false;
            }
            return;
        }
        self.unresolved.remove(&attempt);
        self.remove_flight(attempt);
        self.table.release(choice.id, flight.long);
    }

    /// Releases the slots of attempts that ended without a result and that their targets no longer
    /// report as in progress.
    pub(super) fn reconcile(&mut self) {
        let ended = self.unresolved.extract_if(.., |attempt| {
            let flight = self.flights.get(attempt);
            flight.is_none_or(|flight| has_ended(&self.table, *attempt, flight))
        });
        for attempt in Vec::from_iter(ended) {
            let Some(flight) = self.flights.get(&attempt).cloned() else {
                continue;
            };
            self.remove_flight(attempt);
            if let Receiver::Target(choice) = flight.receiver {
                self.table.release(choice.id, flight.long);
            }
        }
    }

    fn record_health(&mut self, now: Ms, choice: Choice, failed: bool) {
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

    fn record_service_time(&mut self, now: Ms, flight: &InFlight, choice: Choice) {
        let time = now.since(flight.sent);
        self.classes.record(&flight.service, &flight.kind, time);
        self.actions.push(Action::Measured {
            vm: self.table.vm(choice.id).clone(),
            service: flight.service.clone(),
            kind: flight.kind.clone(),
            time,
        });
    }

    fn remove_flight(&mut self, attempt: Attempt) {
        if let Some(flight) = self.flights.remove(&attempt) {
            self.timers.cancel(flight.expires, Timer::Expiry(attempt));
        }
    }

    /// Ends an attempt whose timeout and expiry margin passed without a result.
    pub(super) fn time_out(&mut self, now: Ms, attempt: Attempt) {
        self.end_attempt(now, attempt, Ending::Unknown);
    }

    /// Finishes or retries a request after one of its attempts ended.
    fn apply_ending(&mut self, now: Ms, attempt: Attempt, flight: &InFlight, ending: Ending) {
        let id = flight.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.flights.retain(|other| *other != attempt);
        if let Receiver::Target(choice) = flight.receiver {
            request.tried.push(choice.id);
        }
        let at_peer = matches!(flight.receiver, Receiver::Peer(_));
        let repeatable = request.call.repeatable;
        match ending {
            Ending::Answered(answer) if answer.status >= FAILED_STATUS && repeatable => {
                request.may_have_run = true;
                request.error_answer = Some(answer);
                self.retry(now, id, true);
            }
            Ending::Answered(answer) => {
                if let Some(hedge) = request.hedge {
                    self.hedges.record(hedge == attempt);
                }
                self.finish(now, id, Outcome::Answered(answer));
            }
            Ending::Refused(refusal) if request.route == Route::Issuer => {
                self.finish(now, id, Outcome::Refused(refusal));
            }
            Ending::Refused(refusal) => {
                request.peer_refusal = Some(refusal);
                self.handle_peer_refusal(now, id);
            }
            Ending::NotRun if request.route == Route::Serve && at_peer => {
                self.handle_peer_refusal(now, id)
            }
            Ending::NotRun => self.retry(now, id, false),
            Ending::Unknown => {
                request.may_have_run = true;
                self.retry(now, id, true);
            }
        }
    }

    /// Handles a peer's refusal. The request waits here if it can be served in time. If this entry
    /// has no usable target, the request is forwarded to one other peer.
    fn handle_peer_refusal(&mut self, now: Ms, id: u64) {
        let request = &self.requests[&id];
        let unservable = if self.table.capacity() > 0 {
            self.queue_refusal(now, id).is_some()
        } else {
            request.sends >= MAX_FORWARDS
        };
        if unservable {
            self.fail(now, id);
        } else {
            self.retry(now, id, false);
        }
    }

    /// Queues a request for another attempt if that is allowed and can still succeed, and fails it
    /// otherwise. The retry is `charged` to the retry budget if the last attempt may have run.
    fn retry(&mut self, now: Ms, id: u64, charged: bool) {
        let request = &self.requests[&id];
        if !request.flights.is_empty() {
            return;
        }
        // A request that was forwarded for its ticket is not sent again. The issuer may have
        // refused it together with other submissions with the same ticket, and another attempt
        // could then run although the other callers were told that the request never runs.
        let allowed =
            request.route == Route::Serve && (!request.may_have_run || request.call.repeatable);
        let worthwhile = request.sends < MAX_SENDS && request.deadline() > now;
        if !allowed || !worthwhile || charged && !self.retries.spend() {
            self.fail(now, id);
            return;
        }
        let request = &self.requests[&id];
        let vm = request.tried.last().map(|id| self.table.vm(*id).clone());
        self.record_event(
            Kind::AttemptFailed,
            id,
            vm,
            "the attempt failed and the request is sent again".into(),
        );
        self.enqueue(now, id);
    }

    /// Ends a request after its last attempt failed, with the refusal of a peer if there was one.
    fn fail(&mut self, now: Ms, id: u64) {
        let refusal = self.requests[&id].peer_refusal;
        self.abort(now, id, refusal.unwrap_or(Refusal::Unreachable));
    }

    /// Ends a request without a successful answer. It is refused only if no attempt can have run.
    pub(super) fn abort(&mut self, now: Ms, id: u64, refusal: Refusal) {
        let request = &self.requests[&id];
        let may_have_run =
            request.may_have_run || !request.flights.is_empty() || request.route == Route::Issuer;
        let outcome = match &request.error_answer {
            Some(answer) => Outcome::Answered(answer.clone()),
            None if may_have_run => Outcome::Unknown,
            None => Outcome::Refused(refusal),
        };
        self.finish(now, id, outcome);
    }

    /// Ends a request and replies to every call that waits for it.
    pub(super) fn finish(&mut self, now: Ms, id: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some((position, queue)) = request
            .position
            .zip(self.queues.get_mut(&request.call.service))
        {
            queue.remove(position);
        }
        for attempt in &request.flights {
            self.abandon(now, *attempt);
        }
        match (&request.key, &outcome) {
            (Some(key), Outcome::Refused(refusal)) if !refusal.is_final() => {
                self.release_ticket(key)
            }
            (Some(key), _) => self.settle_ticket(now, key, outcome.clone()),
            (None, _) => {}
        }
        for waiter in request.waiters {
            self.timers.cancel(waiter.deadline, Timer::Deadline(id));
            self.joined.remove(&waiter.call);
            self.reply(waiter.call, outcome.clone());
        }
    }

    /// Abandons an attempt. Its slot stays acquired until the attempt ends or expires.
    fn abandon(&mut self, now: Ms, attempt: Attempt) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        flight.live = false;
        let (receiver, long) = (flight.receiver.clone(), flight.long);
        self.actions.push(Action::Abandon(attempt));
        match receiver {
            // An attempt that ran far longer than usual counts as a failure of its target.
            Receiver::Target(choice) if long => self.record_health(now, choice, true),
            Receiver::Target(choice) => self.table.cancel_probe(choice),
            Receiver::Peer(_) => self.remove_flight(attempt),
        }
    }

    /// Replies to the waiters whose deadline has passed.
    pub(super) fn expire_waiters(&mut self, now: Ms, id: u64) {
        self.drop_waiters(now, id, Refusal::Late, |_, deadline| deadline <= now);
    }

    /// Removes a call whose caller no longer waits.
    pub(super) fn withdraw(&mut self, now: Ms, call: u64) {
        let id = self.joined.get(&call).copied().unwrap_or(call);
        // The caller does not get this refusal. It is not final, so the ticket stays usable for a
        // retry.
        self.drop_waiters(now, id, Refusal::Unreachable, |waiter, _| waiter == call);
    }

    fn drop_waiters(
        &mut self,
        now: Ms,
        id: u64,
        refusal: Refusal,
        drops: impl Fn(u64, Ms) -> bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let drops = |waiter: &Waiter| drops(waiter.call, waiter.deadline);
        if !request.waiters.iter().any(drops) {
            return;
        }
        let drops_all = request.waiters.iter().all(drops);
        if drops_all && (request.flights.is_empty() || request.call.repeatable) {
            self.abort(now, id, refusal);
            return;
        }
        // The request continues for the remaining waiters, or so that its outcome is known if the
        // caller retries with the same ticket.
        let dropped = request.waiters.extract_if(.., |waiter| drops(waiter));
        let dropped: Vec<Waiter> = dropped.collect();
        let remaining_deadlines: Vec<Ms> = request
            .waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .collect();
        for waiter in dropped {
            // Waiters with the same deadline share one timer.
            if !remaining_deadlines.contains(&waiter.deadline) {
                self.timers.cancel(waiter.deadline, Timer::Deadline(id));
            }
            self.joined.remove(&waiter.call);
            self.reply(waiter.call, Outcome::Unknown);
        }
    }
}

/// Returns whether a target no longer runs an attempt. After a change of epoch the attempt counts
/// as over here, because the target reports it among the requests of former owners.
fn has_ended(table: &Table, attempt: Attempt, flight: &InFlight) -> bool {
    let Receiver::Target(choice) = flight.receiver else {
        return true;
    };
    if !table.owns(choice.id, flight.epoch) {
        return true;
    }
    let after = |snapshot: &&Snapshot| snapshot.at >= flight.sent + MAX_TRANSIT;
    let snapshot = table.snapshot(choice.id).filter(after);
    snapshot.is_some_and(|snapshot| !snapshot.attempts.contains(&attempt.0))
}
