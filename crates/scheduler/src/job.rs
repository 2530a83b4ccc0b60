//! The state of a job that the leader runs: its tasks, its progress and the part of it that is
//! durable.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::age::Age;
use crate::fleet::Claim;
use crate::id;
use crate::interference::Model;
use crate::over::Over;
use crate::progress::NUMBER_BYTES;
use crate::progress::Outcome;
use crate::progress::Progress;
use crate::progress::STEP_BYTES;
use crate::progress::Stage;
use crate::spec;
use crate::task::Attempt;
use crate::task::Task;

/// The most bytes of progress of the open occurrences of a job, without its failed runs. A value that
/// takes more than one row is slow to write.
const MAX_OPEN_BYTES: usize = 32 << 10;

/// A job as an entry accepted and stored it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// The name of the queue that the job was submitted to.
    pub queue: Name,
    /// The job as the customer submitted it.
    pub spec: spec::Job,
    /// The time of acceptance, in ms since 1970.
    pub at: Ms,
}

/// The tasks of one step of one occurrence.
#[derive(Clone, Debug)]
pub struct Step {
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that are not completed.
    pub unfinished: u32,
    /// The indices of the uncompleted tasks without a run.
    startable: BTreeSet<u32>,
    /// This leader has seen a run of a step before this one, so no earlier leader can have started
    /// tasks of this step.
    pub is_fresh: bool,
}

impl Step {
    fn new(count: u32) -> Self {
        Self {
            tasks: vec![Task::default(); count as usize],
            unfinished: count,
            startable: (0..count).collect(),
            is_fresh: false,
        }
    }

    fn has_runs(&self) -> bool {
        self.tasks.iter().any(|task| !task.runs().is_empty())
    }

    /// Returns the indices of the uncompleted tasks without a run.
    #[must_use]
    pub const fn startable(&self) -> &BTreeSet<u32> {
        &self.startable
    }

    /// Adds a run of a task, which does not start meanwhile.
    pub fn add_run(&mut self, index: u32, attempt: Attempt) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            task.add_run(attempt);
            self.startable.remove(&index);
        }
    }

    /// Removes a run that is over and returns it. Its task may start again if it must.
    pub fn remove_run(&mut self, over: &Over) -> Option<Attempt> {
        let index = over.task().index;
        let task = self.tasks.get_mut(index as usize)?;
        let attempt = task.remove_run(over)?;
        if task.is_startable() {
            self.startable.insert(index);
        }
        Some(attempt)
    }
}

/// The state of a job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The identity that the customer chose.
    pub id: id::Job,
    /// The name of the queue.
    pub queue: Name,
    /// The job as the customer submitted it.
    pub spec: Arc<spec::Job>,
    /// The time when this leader learned of the job, by its own clock. Other leaders may start the
    /// job unless this one certainly held the lead then.
    pub learned_at: Ms,
    /// The time of acceptance in ms since 1970, by the clock of the entry that accepted the job.
    pub accepted_at: Ms,
    /// The age of the job, which counts for its rank only. It outlasts leaders as far as the times of
    /// acceptance are credible.
    pub age: Age,
    /// The ages of the occurrences in progress of a scheduled job, which begin when they are due.
    pub occurrence_ages: BTreeMap<u32, Age>,
    /// The version of the job's row in the store.
    pub row_version: u64,
    /// The resources that one task takes from a worker, by step.
    pub claims: Vec<Claim>,
    /// The longest chain of estimated run times from each step to the end of the job.
    pub remaining: Vec<Ms>,
    /// The state that a new leader must know.
    pub progress: Progress,
    /// The number of changes of the progress so far.
    pub version: u64,
    /// The newest version of the progress that is durable.
    pub committed: u64,
    /// The most bytes that the progress took in the store so far, or is about to take.
    pub written_bytes: usize,
    /// The version of the progress that last changed the crashes under tasks.
    crashes_version: u64,
    /// The stage that customers are shown, which reflects only durable progress.
    pub visible_stage: Stage,
    /// The occurrences in progress, each with its steps. They include those that an earlier leader
    /// began and that are not due yet by the clock of this one.
    pub occurrences: BTreeMap<u32, Vec<Step>>,
    /// The next occurrence to become due, counted from 0.
    pub next_occurrence: u32,
    /// The most occurrences from the oldest one in progress on that begin.
    max_open: u32,
}

impl Job {
    /// Creates the state of a job from the progress that earlier leaders stored.
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
        let max_open = max_open_occurrences(&accepted.spec);
        Self {
            id,
            queue: accepted.queue,
            claims,
            remaining: accepted.spec.remaining(),
            spec: Arc::new(accepted.spec),
            learned_at: now,
            accepted_at: accepted.at,
            age: Age::new(now, Ms::ZERO),
            occurrence_ages: BTreeMap::new(),
            row_version: row,
            visible_stage: progress.stage(),
            next_occurrence: progress.finished_occurrences,
            written_bytes: progress.bytes(),
            progress,
            version: 0,
            committed: 0,
            crashes_version: 0,
            occurrences: BTreeMap::new(),
            max_open,
        }
    }

    /// Returns whether the job has ended; the end may not be durable yet.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.progress.ended.is_some()
    }

    /// Counts a change of the progress that must become durable.
    pub const fn bump_version(&mut self) {
        self.version += 1;
    }

    /// Records that the progress is durable up to this version.
    pub fn commit(&mut self, version: u64) {
        self.committed = self.committed.max(version);
        if self.committed == self.version {
            self.visible_stage = self.progress.stage();
        }
    }

    /// Begins the occurrences that are due, as far as the open ones leave room, and returns their
    /// numbers. Any number can be due at once; the others begin when older ones are completed.
    pub fn begin_due_occurrences(&mut self, unix: Ms) -> Vec<u32> {
        let mut begun = Vec::new();
        while self.next_occurrence < self.spec.occurrences() {
            let occurrence = self.next_occurrence;
            if self.spec.due(occurrence).is_some_and(|due| due > unix) || !self.has_room() {
                break;
            }
            self.next_occurrence += 1;
            self.begin(occurrence);
            begun.push(occurrence);
        }
        begun
    }

    /// Records the age of an occurrence that begins at a time by the clock of this leader and at this
    /// time of day.
    pub fn record_due(&mut self, occurrence: u32, now: Ms, unix: Ms) {
        if let Some(due) = self.spec.due(occurrence) {
            let age = Age::new(now, unix.since(due));
            self.occurrence_ages.insert(occurrence, age);
        }
    }

    /// Returns the time since an occurrence could have begun.
    #[must_use]
    pub fn occurrence_age(&self, occurrence: u32) -> Age {
        let own = self.occurrence_ages.get(&occurrence);
        own.copied().unwrap_or(self.age)
    }

    /// Returns whether another occurrence may begin.
    fn has_room(&mut self) -> bool {
        if self.open_occurrences() >= self.max_open {
            // Runs may have been left when the last task was completed, and may have ended since.
            self.remove_finished_occurrences();
        }
        self.open_occurrences() < self.max_open
    }

    /// Returns the number of occurrences from the oldest one in progress to the last one begun.
    const fn open_occurrences(&self) -> u32 {
        self.next_occurrence
            .saturating_sub(self.progress.finished_occurrences)
    }

    /// Records that an earlier leader has begun an occurrence, whose runs and ends count although it
    /// may not be due yet by the clock of this leader. Returns whether this is new.
    pub fn discover(&mut self, occurrence: u32) -> bool {
        let expected = self.next_occurrence..self.spec.occurrences();
        expected.contains(&occurrence) && !self.has_ended() && self.begin(occurrence)
    }

    /// Creates the tasks of an occurrence and returns whether it had none.
    fn begin(&mut self, occurrence: u32) -> bool {
        if self.occurrences.contains_key(&occurrence) {
            return false;
        }
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
        true
    }

    /// Returns whether the occurrence has become due, and all steps that this one waits for are
    /// completed and have no second runs left. A later leader that sees such a run relies on it that
    /// the steps after it are untouched.
    #[must_use]
    pub fn is_unblocked(&self, occurrence: u32, step: u16) -> bool {
        if occurrence >= self.next_occurrence {
            return false;
        }
        let Some(steps) = self.occurrences.get(&occurrence) else {
            return false;
        };
        let predecessors = &self.spec.steps[usize::from(step)].after;
        predecessors.iter().all(|&index| {
            let (spec, state) = (
                &self.spec.steps[usize::from(index)],
                &steps[usize::from(index)],
            );
            let has_copies = spec.is_gang || spec.is_speculative;
            state.unfinished == 0 && (has_copies || !state.has_runs())
        })
    }

    /// Records that this leader has seen a run of a step before the step was completed.
    pub fn mark_successors_fresh(&mut self, id: id::Step) {
        let Some(steps) = self.occurrences.get_mut(&id.occurrence) else {
            return;
        };
        for (spec, step) in self.spec.steps.iter().zip(steps) {
            step.is_fresh |= spec.after.contains(&id.step);
        }
    }

    /// Returns the state of a step in progress.
    pub fn step(&mut self, id: id::Step) -> Option<&mut Step> {
        self.occurrences
            .get_mut(&id.occurrence)?
            .get_mut(usize::from(id.step))
    }

    /// Returns the resources that one task of a step takes from a worker.
    #[must_use]
    pub fn claim(&self, step: u16) -> Option<Claim> {
        self.claims.get(usize::from(step)).copied()
    }

    /// Returns a step as the customer specified it.
    #[must_use]
    pub fn step_spec(&self, step: u16) -> Option<&spec::Step> {
        self.spec.steps.get(usize::from(step))
    }

    /// Returns the state of a task in progress.
    pub fn task(&mut self, id: id::Task) -> Option<&mut Task> {
        self.step(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// Returns the checkpoint from which the next run of a task resumes. All members of a gang have
    /// to resume from the same one, and that of any member is valid: the newest is used.
    pub fn start_checkpoint(&mut self, id: id::Task) -> Option<Arc<str>> {
        let is_gang = self
            .step_spec(id.step.step)
            .is_some_and(|spec| spec.is_gang);
        if !is_gang {
            return self.task(id)?.checkpoint.clone();
        }
        let members = self.step(id.step)?.tasks.iter();
        let saved = members.filter(|task| task.checkpoint.is_some());
        saved
            .max_by_key(|task| task.checkpoint_at)?
            .checkpoint
            .clone()
    }

    /// Completes a task and returns whether this completed its step.
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

    /// Records a failed run of a task and returns the number of failed runs. A repeated call for
    /// the same run has no effect.
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

    /// Records that a worker crashed under a run, and returns the number of crashes under its task.
    /// A repeated call for the same run has no effect.
    pub fn record_crash(&mut self, id: id::Task, run: id::Run) -> usize {
        if self.progress.record_crash(id, run) {
            self.bump_version();
            self.crashes_version = self.version;
        }
        self.progress.crashes(id)
    }

    /// Removes the record of a crash under a run, because its worker has not crashed.
    pub fn retract_crash(&mut self, id: id::Task, run: id::Run) {
        if self.progress.retract_crash(id, run) {
            self.bump_version();
        }
    }

    /// Returns whether a worker crashed under a task.
    #[must_use]
    pub fn is_suspect(&self, id: id::Task) -> bool {
        self.progress.crashes(id) > 0
    }

    /// Returns whether all crashes under tasks are durable, so that a later leader counts them too.
    #[must_use]
    pub const fn are_crashes_durable(&self) -> bool {
        self.committed >= self.crashes_version
    }

    /// Closes an occurrence if all its steps are completed, and ends the job if no other occurrence
    /// is left.
    pub fn close_occurrence(&mut self, occurrence: u32, unix: Ms) {
        let is_done = self
            .occurrences
            .get(&occurrence)
            .is_some_and(|steps| steps.iter().all(|step| step.unfinished == 0));
        if !is_done {
            return;
        }
        if self.spec.occurrences() > 1 {
            self.remove_finished_occurrences();
        }
        let mut unbegun = self.next_occurrence..self.spec.occurrences();
        let have_all_begun = unbegun.all(|number| self.occurrences.contains_key(&number));
        let has_unfinished_tasks = self
            .occurrences
            .values()
            .any(|steps| steps.iter().any(|step| step.unfinished > 0));
        if have_all_begun && !has_unfinished_tasks {
            self.end(Outcome::Completed, unix);
        }
    }

    /// Removes the oldest occurrences that are completed and have no runs left.
    fn remove_finished_occurrences(&mut self) {
        while let Some(steps) = self.occurrences.get(&self.progress.finished_occurrences) {
            let has_work = steps
                .iter()
                .any(|step| step.unfinished > 0 || step.has_runs());
            if has_work {
                return;
            }
            let finished = self.progress.finished_occurrences;
            self.occurrences.remove(&finished);
            self.occurrence_ages.remove(&finished);
            self.progress.steps.retain(|key, _| key.0 != finished);
            self.progress.finished_occurrences += 1;
            self.next_occurrence = self.next_occurrence.max(finished + 1);
            self.bump_version();
        }
    }

    /// Ends the job; a job that has ended keeps its first outcome.
    pub fn end(&mut self, outcome: Outcome, unix: Ms) {
        if self.progress.ended.is_none() {
            self.progress.ended = Some((outcome, unix));
            self.progress.steps.clear();
            self.bump_version();
        }
    }
}

/// Returns how many occurrences of a job may be open: as many as have at most [`spec::MAX_TASKS`]
/// tasks and [`MAX_OPEN_BYTES`] of progress, and at least one.
fn max_open_occurrences(spec: &spec::Job) -> u32 {
    let tasks: usize = spec.steps.iter().map(|step| step.count as usize).sum();
    let bytes: usize = spec.steps.iter().map(progress_bytes).sum();
    let by_tasks = spec::MAX_TASKS as usize / tasks.max(1);
    let by_bytes = MAX_OPEN_BYTES / bytes.max(1);
    u32::try_from(by_tasks.min(by_bytes)).map_or(u32::MAX, |most| most.max(1))
}

/// Returns the most bytes that the completed tasks of a step take in the row of the progress.
/// Long-running tasks are never completed.
const fn progress_bytes(step: &spec::Step) -> usize {
    if step.is_lasting {
        return 0;
    }
    let words = step.count.div_ceil(u64::BITS) as usize;
    STEP_BYTES + words * NUMBER_BYTES
}

/// Returns the number of a step by its index; [`spec::MAX_STEPS`] bounds it.
#[must_use]
pub fn step_number(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}
