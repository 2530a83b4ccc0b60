//! A job that the leader runs: its tasks, its progress and what of it is durable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Claim;
use crate::id;
use crate::interference::Model;
use crate::progress::Outcome;
use crate::progress::Progress;
use crate::progress::Stage;
use crate::spec;
use crate::task::Task;

/// A job as an entry accepted and stored it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// The queue.
    pub queue: Name,
    /// What the customer submitted.
    pub spec: spec::Job,
    /// When it was accepted, in ms since 1970.
    pub at: Ms,
}

/// The tasks of one step of one occurrence.
#[derive(Clone, Debug)]
pub struct Step {
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// How many are not done.
    pub unfinished: u32,
    /// Tasks without a run that are not done.
    pub startable: BTreeSet<u32>,
}

impl Step {
    fn new(count: u32) -> Self {
        Self {
            tasks: vec![Task::default(); count as usize],
            unfinished: count,
            startable: (0..count).collect(),
        }
    }
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identity.
    pub id: id::Job,
    /// The queue.
    pub queue: Name,
    /// What the customer submitted.
    pub spec: Arc<spec::Job>,
    /// When this leader learned of it, on its own clock.
    pub known_since: Ms,
    /// The store's version of its row.
    pub row_version: u64,
    /// What the tasks of each step take from a worker.
    pub claims: Vec<Claim>,
    /// The longest chain of estimates from each step to the end.
    pub remaining: Vec<Ms>,
    /// What a new leader has to know.
    pub progress: Progress,
    /// Counts changes of the progress.
    pub version: u64,
    /// The newest change that is durable.
    pub committed: u64,
    /// What customers are shown: only what is durable.
    pub visible_stage: Stage,
    /// Occurrences in progress.
    pub occurrences: BTreeMap<u32, Vec<Step>>,
    /// The next occurrence to begin.
    pub next_occurrence: u32,
}

impl Job {
    /// A job with the progress that earlier leaders stored.
    #[must_use]
    pub fn new(
        id: id::Job,
        row: u64,
        accepted: Accepted,
        progress: Option<Progress>,
        model: &mut Model,
        now: Ms,
    ) -> Self {
        let steps = accepted.spec.steps.iter();
        let claims = steps.map(|step| Claim::new(step, model)).collect();
        let progress = progress.unwrap_or_default();
        Self {
            id,
            queue: accepted.queue,
            claims,
            remaining: accepted.spec.remaining(),
            spec: Arc::new(accepted.spec),
            known_since: now,
            row_version: row,
            visible_stage: progress.stage(),
            next_occurrence: progress.finished_occurrences,
            progress,
            version: 0,
            committed: 0,
            occurrences: BTreeMap::new(),
        }
    }

    /// Whether it has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.progress.ended.is_some()
    }

    /// Notes a change of the progress that must become durable.
    pub const fn bump_version(&mut self) {
        self.version += 1;
    }

    /// Notes that changes up to this one are durable.
    pub fn commit(&mut self, version: u64) {
        self.committed = self.committed.max(version);
        if self.committed == self.version {
            self.visible_stage = self.progress.stage();
        }
    }

    /// Begins the occurrences that are due and returns them.
    pub fn begin_due_occurrences(&mut self, unix: Ms) -> Vec<u32> {
        let mut begun = Vec::new();
        while self.next_occurrence < self.spec.occurrences() {
            let occurrence = self.next_occurrence;
            if self.spec.due(occurrence).is_some_and(|due| due > unix) {
                break;
            }
            self.next_occurrence += 1;
            self.begin(occurrence);
            begun.push(occurrence);
        }
        begun
    }

    fn begin(&mut self, occurrence: u32) {
        let steps = self.spec.steps.iter().map(|step| Step::new(step.count));
        let mut steps: Vec<Step> = steps.collect();
        for (index, step) in steps.iter_mut().enumerate() {
            let Some(progress) = self.progress.steps.get(&(occurrence, step_number(index))) else {
                continue;
            };
            for (task, state) in (0..).zip(&mut step.tasks) {
                if progress.is_done(task) {
                    state.is_done = true;
                    step.unfinished -= 1;
                    step.startable.remove(&task);
                }
            }
        }
        self.occurrences.insert(occurrence, steps);
    }

    /// Whether all steps before this one are done.
    #[must_use]
    pub fn is_unblocked(&self, occurrence: u32, step: u16) -> bool {
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return false;
        };
        let before = &self.spec.steps[usize::from(step)].after;
        before
            .iter()
            .all(|&index| steps[usize::from(index)].unfinished == 0)
    }

    /// The state of a step in progress.
    pub fn step(&mut self, id: id::Step) -> Option<&mut Step> {
        self.occurrences
            .get_mut(&id.occurrence)?
            .get_mut(usize::from(id.step))
    }

    /// What a task of a step takes from a worker.
    #[must_use]
    pub fn claim(&self, step: u16) -> Option<Claim> {
        self.claims.get(usize::from(step)).copied()
    }

    /// What the customer said of a step.
    #[must_use]
    pub fn step_spec(&self, step: u16) -> Option<&spec::Step> {
        self.spec.steps.get(usize::from(step))
    }

    /// The state of a task in progress.
    pub fn task(&mut self, id: id::Task) -> Option<&mut Task> {
        self.step(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// Notes that a task is done. Returns whether its whole step is done now.
    pub fn complete(&mut self, id: id::Task) -> bool {
        let is_lasting = self
            .step_spec(id.step.step)
            .is_some_and(|spec| spec.is_lasting);
        let Some(step) = self.step(id.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return false;
        };
        if task.is_done || is_lasting {
            return false;
        }
        task.is_done = true;
        step.unfinished -= 1;
        step.startable.remove(&id.index);
        let is_step_done = step.unfinished == 0;
        let key = (id.step.occurrence, id.step.step);
        self.progress
            .steps
            .entry(key)
            .or_default()
            .complete(id.index);
        self.bump_version();
        is_step_done
    }

    /// Counts a failed run of a task, once, and returns how many there are.
    pub fn record_failure(&mut self, id: id::Task, run: id::Run) -> usize {
        let key = (id.step.occurrence, id.step.step);
        let step = self.progress.steps.entry(key).or_default();
        let failures = step.failures.entry(id.index).or_default();
        let is_new = failures.insert(run);
        let count = failures.len();
        if is_new {
            self.bump_version();
        }
        count
    }

    /// Closes an occurrence whose steps are all done, and the job with the last one.
    pub fn close_occurrence(&mut self, occurrence: u32, unix: Ms) {
        let is_done = self
            .occurrences
            .get(&occurrence)
            .is_some_and(|steps| steps.iter().all(|step| step.unfinished == 0));
        if !is_done {
            return;
        }
        let is_oldest = occurrence == self.progress.finished_occurrences;
        if is_oldest && self.spec.occurrences() > 1 {
            self.remove_finished_occurrences();
        }
        let all = self.spec.occurrences();
        let open = self
            .occurrences
            .values()
            .any(|steps| steps.iter().any(|step| step.unfinished > 0));
        if self.next_occurrence >= all && !open {
            self.end(Outcome::Completed, unix);
        }
    }

    /// Forgets the oldest occurrences that are done.
    fn remove_finished_occurrences(&mut self) {
        while let Some(steps) = self.occurrences.get(&self.progress.finished_occurrences) {
            let has_work = steps.iter().any(|step| {
                step.unfinished > 0 || step.tasks.iter().any(|task| !task.runs.is_empty())
            });
            if has_work {
                return;
            }
            let finished = self.progress.finished_occurrences;
            self.occurrences.remove(&finished);
            self.progress.steps.retain(|key, _| key.0 != finished);
            self.progress.finished_occurrences += 1;
            self.bump_version();
        }
    }

    /// Ends the job.
    pub fn end(&mut self, outcome: Outcome, unix: Ms) {
        if self.progress.ended.is_none() {
            self.progress.ended = Some((outcome, unix));
            self.progress.steps.clear();
            self.bump_version();
        }
    }
}

/// The number of a step by its index; [`spec::MAX_STEPS`] bounds it.
#[must_use]
pub fn step_number(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}
