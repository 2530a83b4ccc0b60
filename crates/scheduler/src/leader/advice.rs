//! Obtains tickets from the advice service for queues whose policy allows only some workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

use super::Action;
use super::Leader;
use crate::id;
use crate::placement;
use crate::placement::Request;

/// The most workers in one request to the advice service.
const MAX_WORKERS: usize = 30;
/// The most requests in progress at a time, because the service answers one after the other.
const MAX_REQUESTS: usize = 4;
/// The delay after a failed request until the next request for the same step.
const RETRY_DELAY: Ms = Ms(300);
/// A ticket is no longer used within this time of its expiry.
const EXPIRY_MARGIN: Ms = Ms(300);

/// The tickets and refusals of one step.
#[derive(Debug, Default)]
struct Step {
    /// The tickets by worker, each with the time until which it may be used.
    tickets: BTreeMap<Name, (Arc<str>, Ms)>,
    /// The workers that may not run the step; the service never reverses a refusal.
    refused: BTreeSet<Name>,
    /// The workers of the request in progress; empty if there is none.
    asked: Vec<Name>,
    /// No request is sent for the step before this time.
    retry_after: Ms,
}

/// The tickets by step, and the number of requests in progress.
#[derive(Debug, Default)]
pub(super) struct Cache {
    steps: BTreeMap<id::Step, Step>,
    requests: usize,
}

impl Cache {
    /// Returns the ticket of a step for a worker, unless it is missing or about to expire.
    pub(super) fn ticket(&self, step: id::Step, worker: &Name, now: Ms) -> Option<Arc<str>> {
        let (ticket, until) = self.steps.get(&step)?.tickets.get(worker)?;
        (*until > now).then(|| Arc::clone(ticket))
    }

    /// Removes a ticket that the worker refused.
    pub(super) fn drop_ticket(&mut self, step: id::Step, worker: &Name) {
        if let Some(step) = self.steps.get_mut(&step) {
            step.tickets.remove(worker);
        }
    }

    /// Removes a step that has no more tasks to start.
    pub(super) fn remove_step(&mut self, step: id::Step) {
        if let Some(step) = self.steps.remove(&step)
            && !step.asked.is_empty()
        {
            self.requests = self.requests.saturating_sub(1);
        }
    }
}

impl Leader {
    /// Requests advice on the best workers for which there is none yet. The caller has found that
    /// no worker with a ticket has room for all tasks of the step.
    pub(super) fn request_advice(&mut self, now: Ms, request: &Request<'_>) {
        let step = self.advice.steps.entry(request.step).or_default();
        if !step.asked.is_empty() || step.retry_after > now || self.advice.requests >= MAX_REQUESTS
        {
            return;
        }
        let unknown = self.workers.iter().filter(|(name, _)| {
            let has_ticket = step
                .tickets
                .get(*name)
                .is_some_and(|(_, until)| *until > now);
            !has_ticket && !step.refused.contains(*name)
        });
        let open = Request {
            tickets: None,
            ..*request
        };
        let mut candidates: Vec<(i64, Name)> = unknown
            .filter_map(|(name, worker)| {
                let score = placement::score(&open, &self.model, name, worker, now)?;
                Some((score, name.clone()))
            })
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates.truncate(MAX_WORKERS);
        if candidates.is_empty() {
            return;
        }
        step.asked = candidates.into_iter().map(|(_, name)| name).collect();
        self.advice.requests += 1;
        let asked = step.asked.clone();
        self.log(format!(
            "kind=advice-asked step={} workers={}",
            request.step,
            asked.len()
        ));
        self.actions.push(Action::Advise(request.step, asked));
    }

    pub(super) fn handle_advice(
        &mut self,
        now: Ms,
        id: id::Step,
        tickets: Vec<(Name, Arc<str>)>,
        valid: Ms,
    ) {
        self.log(format!(
            "kind=advice-given step={id} good={} valid_ms={}",
            tickets.len(),
            valid.0
        ));
        let Some(step) = self.advice.steps.get_mut(&id) else {
            return;
        };
        if !step.asked.is_empty() {
            self.advice.requests = self.advice.requests.saturating_sub(1);
        }
        step.refused.extend(std::mem::take(&mut step.asked));
        for (name, ticket) in tickets {
            step.refused.remove(&name);
            step.tickets
                .insert(name, (ticket, now + valid.since(EXPIRY_MARGIN)));
        }
    }

    pub(super) fn handle_advice_failure(&mut self, now: Ms, id: id::Step) {
        self.log(format!("kind=advice-missing step={id}"));
        let Some(step) = self.advice.steps.get_mut(&id) else {
            return;
        };
        if !step.asked.is_empty() {
            self.advice.requests = self.advice.requests.saturating_sub(1);
        }
        step.asked.clear();
        step.retry_after = now + RETRY_DELAY;
    }
}
