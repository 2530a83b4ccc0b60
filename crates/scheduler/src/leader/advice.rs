//! Tickets of the advice service for queues whose policy allows only some workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;

use super::Action;
use super::Leader;
use crate::id;
use crate::placement;
use crate::placement::Wish;

/// The most workers of one question.
const MAX_WORKERS: usize = 30;
/// The most questions in progress: the service answers one after the other.
const MAX_QUESTIONS: usize = 4;
/// The time after a question without an answer until the next one for the step.
const RETRY: Ms = Ms(300);
/// A ticket is not used within this time of its end.
const MARGIN: Ms = Ms(300);

/// What is known of one step.
#[derive(Debug, Default)]
struct Step {
    /// Tickets with the time until which they are used.
    tickets: BTreeMap<Name, (Arc<str>, Ms)>,
    /// Workers that may not run the step, which does not change.
    refused: BTreeSet<Name>,
    /// Workers of the question in progress.
    asked: Vec<Name>,
    /// No question before this time.
    pause: Ms,
}

/// Questions and answers by step.
#[derive(Debug, Default)]
pub(super) struct Book {
    steps: BTreeMap<id::Step, Step>,
    questions: usize,
}

impl Book {
    /// The ticket of a step for a worker.
    pub(super) fn ticket(&self, step: id::Step, worker: &Name, now: Ms) -> Option<Arc<str>> {
        let (ticket, until) = self.steps.get(&step)?.tickets.get(worker)?;
        (*until > now).then(|| Arc::clone(ticket))
    }

    /// Forgets a ticket that a worker did not take.
    pub(super) fn drop_ticket(&mut self, step: id::Step, worker: &Name) {
        if let Some(step) = self.steps.get_mut(&step) {
            step.tickets.remove(worker);
        }
    }

    /// Forgets a step that has no tasks to start.
    pub(super) fn forget(&mut self, step: id::Step) {
        if let Some(step) = self.steps.remove(&step)
            && !step.asked.is_empty()
        {
            self.questions = self.questions.saturating_sub(1);
        }
    }
}

impl Leader {
    /// Asks about the best workers without an answer. Called when a step has tasks that no worker
    /// with a ticket has room for.
    pub(super) fn ask_advice(&mut self, now: Ms, wish: &Wish<'_>) {
        let step = self.advice.steps.entry(wish.step).or_default();
        if !step.asked.is_empty() || step.pause > now || self.advice.questions >= MAX_QUESTIONS {
            return;
        }
        let unknown = self.workers.iter().filter(|(name, _)| {
            let has_ticket = step
                .tickets
                .get(*name)
                .is_some_and(|(_, until)| *until > now);
            !has_ticket && !step.refused.contains(*name)
        });
        let open = Wish {
            tickets: None,
            ..*wish
        };
        let mut scored: Vec<(i64, Name)> = unknown
            .filter_map(|(name, worker)| {
                let points = placement::points(&open, &self.model, name, worker, now)?;
                Some((points, name.clone()))
            })
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.truncate(MAX_WORKERS);
        if scored.is_empty() {
            return;
        }
        step.asked = scored.into_iter().map(|(_, name)| name).collect();
        self.advice.questions += 1;
        let asked = step.asked.clone();
        self.log(format!(
            "kind=advice-asked step={} workers={}",
            wish.step,
            asked.len()
        ));
        self.actions.push(Action::Advise(wish.step, asked));
    }

    pub(super) fn advised(
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
            self.advice.questions = self.advice.questions.saturating_sub(1);
        }
        step.refused.extend(std::mem::take(&mut step.asked));
        for (name, ticket) in tickets {
            step.refused.remove(&name);
            step.tickets
                .insert(name, (ticket, now + valid.since(MARGIN)));
        }
    }

    pub(super) fn unadvised(&mut self, now: Ms, id: id::Step) {
        self.log(format!("kind=advice-missing step={id}"));
        let Some(step) = self.advice.steps.get_mut(&id) else {
            return;
        };
        if !step.asked.is_empty() {
            self.advice.questions = self.advice.questions.saturating_sub(1);
        }
        step.asked.clear();
        step.pause = now + RETRY;
    }
}
