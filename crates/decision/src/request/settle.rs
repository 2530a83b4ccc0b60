//! How attempts and requests end.

use super::Action;
use super::Attempt;
use super::Ending;
use super::Machine;
use super::Outcome;
use super::Refusal;
use super::Snapshot;
use super::send::MAX_SENDS;
use super::work::Due;
use super::work::InFlight;
use super::work::Route;
use super::work::To;
use super::work::Waiter;
use crate::clock::Ms;
use crate::health::Change;
use crate::route::Choice;
use crate::route::Table;
use crate::timeline::Kind;
use crate::timeline::Note;

/// An entry that cannot serve asks at most so many peers.
const MAX_FORWARDS: u32 = 2;
/// A status from here on says that the target failed.
const FAILED_STATUS: u16 = 500;
/// A request that was sent this long before a report was asked for has arrived or never will.
const TRANSIT: Ms = Ms(1_000);

impl Machine {
    /// Takes in the ending of an attempt. Late and duplicate endings find no flight.
    pub(super) fn end(&mut self, now: Ms, attempt: Attempt, ending: Ending) {
        let Some(flight) = self.flights.get(&attempt).cloned() else {
            return;
        };
        match &flight.to {
            To::Target(choice) => self.end_at_target(now, attempt, &flight, *choice, &ending),
            To::Peer(peer) => {
                match ending {
                    Ending::Refused(_) | Ending::NotRun => self.peers.refused(peer),
                    Ending::Answered(_) | Ending::Unknown => self.peers.uncount(peer),
                }
                self.forget(attempt);
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
        // After a broken connection the target may still be running the request. One that refused
        // it while a slot was free by our count may still run another that we no longer count.
        let in_doubt = matches!(ending, Ending::Unknown | Ending::NotRun);
        if flight.live && in_doubt && now < flight.expires {
            if let Some(flight) = self.flights.get_mut(&attempt) {
                flight.live = false;
            }
            return;
        }
        if *ending == Ending::Unknown && self.table.snapshot(choice.id).is_some() {
            // The target tells when the request is no longer in progress there.
            self.doubtful.insert(attempt);
            if let Some(flight) = self.flights.get_mut(&attempt) {
                flight.live = false;
            }
            return;
        }
        self.doubtful.remove(&attempt);
        self.forget(attempt);
        self.table.release(choice.id, flight.long);
    }

    /// Gives back the slots of attempts without news that their targets no longer report.
    pub(super) fn reconcile(&mut self) {
        let over = self.doubtful.extract_if(.., |attempt| {
            let flight = self.flights.get(attempt);
            flight.is_none_or(|flight| ended(&self.table, *attempt, flight))
        });
        for attempt in Vec::from_iter(over) {
            let Some(flight) = self.flights.get(&attempt).cloned() else {
                continue;
            };
            self.forget(attempt);
            if let To::Target(choice) = flight.to {
                self.table.release(choice.id, flight.long);
            }
        }
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

    fn forget(&mut self, attempt: Attempt) {
        if let Some(flight) = self.flights.remove(&attempt) {
            self.timers.cancel(flight.expires, Due::Expiry(attempt));
        }
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
        let at_peer = matches!(flight.to, To::Peer(_));
        let repeatable = request.call.repeatable;
        match ending {
            Ending::Answered(answer) if answer.status >= FAILED_STATUS && repeatable => {
                request.ran = true;
                request.failed = Some(answer);
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
                request.refusal = Some(refusal);
                self.keep(now, id);
            }
            Ending::NotRun if request.route == Route::Serve && at_peer => self.keep(now, id),
            Ending::NotRun => self.retry(now, id, false),
            Ending::Unknown => {
                request.ran = true;
                self.retry(now, id, true);
            }
        }
    }

    /// A peer refused a request: it waits here if it can be served in time, or goes to one other
    /// peer if this entry cannot serve at all.
    fn keep(&mut self, now: Ms, id: u64) {
        let request = &self.requests[&id];
        let hopeless = if self.table.capacity() > 0 {
            self.admission(now, id).is_some()
        } else {
            request.sends >= MAX_FORWARDS
        };
        if hopeless {
            self.fail(now, id);
        } else {
            self.retry(now, id, false);
        }
    }

    /// Sends a request again if that is allowed and worthwhile, or ends it. An attempt that may
    /// have run is `paid` for from the retry budget.
    fn retry(&mut self, now: Ms, id: u64, paid: bool) {
        let request = &self.requests[&id];
        if !request.flights.is_empty() {
            return;
        }
        // The issuer may have refused it together with other sendings of the same ticket. Another
        // sending by us could then run although the others were told that it never will.
        let allowed = request.route == Route::Serve && (!request.ran || request.call.repeatable);
        let worthwhile = request.sends < MAX_SENDS && request.deadline() > now;
        if !allowed || !worthwhile || paid && !self.retries.spend() {
            self.fail(now, id);
            return;
        }
        let request = &self.requests[&id];
        let vm = request.tried.last().map(|id| self.table.vm(*id).clone());
        self.note(Kind::AttemptFailed, id, vm, "sent again".into());
        self.enqueue(now, id);
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
            (Some(key), Outcome::Refused(refusal)) if !refusal.is_final() => self.release(key),
            (Some(key), _) => self.settle(now, key, outcome.clone()),
            (None, _) => {}
        }
        for waiter in request.waiters {
            self.timers.cancel(waiter.deadline, Due::Deadline(id));
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
            To::Target(choice) => self.table.cancel_probe(choice),
            To::Peer(_) => self.forget(attempt),
        }
    }

    /// Lets go the waiters whose deadline has passed.
    pub(super) fn expire(&mut self, now: Ms, id: u64) {
        self.drop_waiters(now, id, Refusal::Late, |_, deadline| deadline <= now);
    }

    /// Lets go a caller that waits no longer.
    pub(super) fn withdraw(&mut self, now: Ms, call: u64) {
        let id = self.joined.get(&call).copied().unwrap_or(call);
        // Nobody hears this refusal, so the ticket stays usable for a retry.
        self.drop_waiters(now, id, Refusal::Unreachable, |waiter, _| waiter == call);
    }

    fn drop_waiters(
        &mut self,
        now: Ms,
        id: u64,
        refusal: Refusal,
        leaves: impl Fn(u64, Ms) -> bool,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let leaves = |waiter: &Waiter| leaves(waiter.call, waiter.deadline);
        if !request.waiters.iter().any(leaves) {
            return;
        }
        let all = request.waiters.iter().all(leaves);
        if all && (request.flights.is_empty() || request.call.repeatable) {
            self.give_up(now, id, refusal);
            return;
        }
        // It goes on for the others, or for a retry with its ticket.
        let gone = request.waiters.extract_if(.., |waiter| leaves(waiter));
        let gone: Vec<Waiter> = gone.collect();
        let kept: Vec<Ms> = request
            .waiters
            .iter()
            .map(|waiter| waiter.deadline)
            .collect();
        for waiter in gone {
            // Waiters with the same deadline share a timer.
            if !kept.contains(&waiter.deadline) {
                self.timers.cancel(waiter.deadline, Due::Deadline(id));
            }
            self.joined.remove(&waiter.call);
            self.reply(waiter.call, Outcome::Unknown);
        }
    }
}

/// Whether a target no longer runs an attempt. Under a new epoch its report counts the attempt
/// among those of former owners.
fn ended(table: &Table, attempt: Attempt, flight: &InFlight) -> bool {
    let To::Target(choice) = flight.to else {
        return true;
    };
    if !table.owns(choice.id, flight.epoch) {
        return true;
    }
    let after = |snapshot: &&Snapshot| snapshot.at >= flight.sent + TRANSIT;
    let snapshot = table.snapshot(choice.id).filter(after);
    snapshot.is_some_and(|snapshot| !snapshot.attempts.contains(&attempt.0))
}
