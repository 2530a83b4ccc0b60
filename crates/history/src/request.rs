//! Compares the outcomes that callers received with the runs on targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use decision::clock::Ms;
use decision::request::Outcome;

use crate::Check;
use crate::Event;
use crate::Fact;
use crate::Log;
use crate::Violation;
use crate::answer;
use crate::fact::Life;

/// The time after the deadline within which a caller has to receive an outcome.
const OUTCOME_GRACE: Ms = Ms(5_000);

/// One sending of a request and the outcome that its caller received.
struct Sending<'a> {
    sent: &'a Event,
    body: &'a Bytes,
    repeatable: bool,
    deadline: Ms,
    received: Option<(&'a Event, &'a Option<Outcome>)>,
}

/// A request with its sendings by number and the starts of its runs.
#[derive(Default)]
struct Request<'a> {
    sendings: BTreeMap<u32, Sending<'a>>,
    runs: Vec<&'a Event>,
}

fn collect_requests(log: &Log) -> BTreeMap<u64, Request<'_>> {
    let mut requests: BTreeMap<u64, Request<'_>> = BTreeMap::new();
    let mut bodies: BTreeMap<&Bytes, u64> = BTreeMap::new();
    for event in log.events() {
        if let Fact::Sent {
            request,
            sending,
            repeatable,
            deadline,
            body,
            ..
        } = &event.fact
        {
            bodies.insert(body, *request);
            let new_sending = Sending {
                sent: event,
                body,
                repeatable: *repeatable,
                deadline: *deadline,
                received: None,
            };
            let known = requests.entry(*request).or_default();
            known.sendings.insert(*sending, new_sending);
        }
    }
    for event in log.events() {
        match &event.fact {
            Fact::Received {
                request,
                sending,
                outcome,
            } => {
                let known = requests.entry(*request).or_default();
                if let Some(sending) = known.sendings.get_mut(sending) {
                    sending.received = Some((event, outcome));
                }
            }
            Fact::RunStarted { body, .. } => {
                let known = bodies.get(body).and_then(|id| requests.get_mut(id));
                known.into_iter().for_each(|known| known.runs.push(event));
            }
            _ => {}
        }
    }
    requests
}

/// Checks that every sending ends with an outcome, and that every answer is complete and belongs to
/// the caller's own request.
pub fn whole_answer(log: &Log) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in collect_requests(log).values() {
        let bodies = request.sendings.values().map(|sending| sending.body);
        let answers: BTreeSet<Bytes> = bodies.map(|body| answer(body)).collect();
        for sending in request.sendings.values() {
            found.extend(wrong_answer(request, sending, &answers));
            found.extend(missing_outcome(sending, log));
        }
    }
    found
}

fn wrong_answer(
    request: &Request<'_>,
    sending: &Sending<'_>,
    answers: &BTreeSet<Bytes>,
) -> Option<Violation> {
    let (event, Some(Outcome::Answered(answered))) = sending.received? else {
        return None;
    };
    if !answers.contains(&answered.body) {
        let reason = "the answer belongs to another request or is not whole";
        return Some(Violation::new(
            Check::WholeAnswer,
            reason,
            [sending.sent, event],
        ));
    }
    let ran = request.runs.iter().any(|run| run.at <= event.at);
    let reason = "the answer came without a run";
    (!ran).then(|| Violation::new(Check::WholeAnswer, reason, [sending.sent, event]))
}

fn missing_outcome(sending: &Sending<'_>, log: &Log) -> Option<Violation> {
    let until = sending.sent.at + sending.deadline + OUTCOME_GRACE;
    if sending.received.is_some() || log.end() <= until || was_paused(sending, until, log) {
        return None;
    }
    let reason = "no outcome came";
    Some(Violation::new(Check::WholeAnswer, reason, [sending.sent]))
}

/// Whether the entry was paused at some time while the caller waited. A paused entry cannot answer.
fn was_paused(sending: &Sending<'_>, until: Ms, log: &Log) -> bool {
    let Fact::Sent { entry, .. } = &sending.sent.fact else {
        return false;
    };
    let mut paused = false;
    for event in log.events().iter().take_while(|event| event.at <= until) {
        let Fact::Entry {
            entry: changed,
            life,
        } = &event.fact
        else {
            continue;
        };
        if changed == entry {
            let was_paused = paused && event.at >= sending.sent.at;
            if was_paused {
                return true;
            }
            paused = *life == Life::Paused;
        }
    }
    paused
}

/// Checks that a refused sending did not run and does not run later. For a request that must not be
/// repeated, no earlier sending may have run either, because its caller concludes from the refusal
/// that the request did not run.
pub fn true_refusal(log: &Log) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in collect_requests(log).values() {
        for (number, sending) in &request.sendings {
            let Some((event, Some(Outcome::Refused(_)))) = sending.received else {
                continue;
            };
            let later = request.sendings.range(number + 1..);
            let next = later
                .filter(|(_, later)| later.body == sending.body)
                .map(|(_, later)| later.sent.at)
                .next();
            let contradicts = |run: &&&Event| {
                let ran_after_sending = has_body(run, sending.body)
                    && run.at >= sending.sent.at
                    && next.is_none_or(|next| run.at < next);
                ran_after_sending || (!sending.repeatable && run.at < event.at)
            };
            if let Some(run) = request.runs.iter().find(contradicts) {
                let reason = "refused as not run, but it ran";
                let events = [sending.sent, run, event];
                found.push(Violation::new(Check::TrueRefusal, reason, events));
            }
        }
    }
    found
}

fn has_body(run: &Event, expected: &Bytes) -> bool {
    matches!(&run.fact, Fact::RunStarted { body, .. } if body == expected)
}

/// Checks that a request that must not be repeated runs at most once over all its sendings.
pub fn at_most_once(log: &Log) -> Vec<Violation> {
    let requests = collect_requests(log);
    let is_not_repeatable =
        |request: &&Request<'_>| request.sendings.values().any(|sent| !sent.repeatable);
    let ran_repeatedly = |request: &&Request<'_>| request.runs.len() > 1;
    let found = requests
        .values()
        .filter(is_not_repeatable)
        .filter(ran_repeatedly);
    let reason = "a request that must not be repeated ran more than once";
    found
        .map(|request| Violation::new(Check::AtMostOnce, reason, request.runs.iter().copied()))
        .collect()
}
