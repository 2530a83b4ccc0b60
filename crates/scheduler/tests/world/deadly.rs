//! Tasks that crash the workers that start them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::name::Name;
use scheduler::id::Task;
use scheduler::spec;

use super::Call;
use super::Delivery;
use super::World;
use super::name;
use super::worker::Worker;

/// The time from a start to the crash.
const CRASH_DELAY_MS: u64 = 10;
/// The time from a crash until the registration is removed.
const EXPIRY_MS: u64 = 2_700;

/// The tasks that crash workers, and what happens at a crash.
#[derive(Default)]
pub struct Deadly {
    pub tasks: BTreeSet<Task>,
    /// The number of starts by deadly task.
    pub starts: BTreeMap<Task, u32>,
    /// The next life of a worker has another name.
    pub renames_workers: bool,
    /// The entry that gave the start dies with the worker.
    pub kills_givers: bool,
    /// The time for which a crashed worker is away, in ms.
    pub down: u64,
    /// The workers whose addresses refuse connections until this time.
    closed: BTreeMap<Name, u64>,
    /// The workers that were replaced by one of another name, with the time when it is up.
    replaced: BTreeMap<Name, u64>,
}

impl Deadly {
    /// Returns the highest number of starts of a deadly task.
    pub fn most_starts(&self) -> u32 {
        self.starts.values().copied().max().unwrap_or(0)
    }
}

impl World {
    /// Schedules the crash of a worker that has started a deadly task.
    pub(super) fn note_deadly_start(&mut self, call: &Call) {
        let task = call.placement.task;
        if !self.deadly.tasks.contains(&task) {
            return;
        }
        *self.deadly.starts.entry(task).or_default() += 1;
        self.enqueue(self.now + CRASH_DELAY_MS, Delivery::Crash(call.clone()));
    }

    pub(super) fn crash_under(&mut self, call: &Call) {
        let worker = &call.placement.worker;
        let down = self.deadly.down;
        if self.workers[worker].incarnation != call.placement.incarnation {
            return;
        }
        if self.deadly.kills_givers {
            self.kill(&call.agent, 500);
        }
        let until = if self.deadly.renames_workers {
            self.replace(worker, down);
            u64::MAX
        } else {
            self.crash(worker, down);
            self.now + down
        };
        self.deadly.closed.insert(worker.clone(), until);
    }

    /// Counts the crash of a worker against the tasks that it runs, and those whose ends are lost
    /// with it: nobody else knows that they had ended.
    pub(super) fn count_crash(&mut self, worker: &Name) {
        let state = &self.workers[worker];
        let ended = state.ends.iter().map(|end| end.task);
        let tasks: BTreeSet<Task> = state.executions.keys().copied().chain(ended).collect();
        for task in tasks {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    /// Returns the highest number of workers that crashed under a task of this job.
    pub fn most_crashes(&self, job: u64) -> u32 {
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|(task, _)| task.step.job.0 == job);
        crashes.map(|(_, count)| *count).max().unwrap_or(0)
    }

    /// Ends a worker for good; one of another name takes its address.
    pub fn replace(&mut self, worker: &Name, down: u64) {
        self.log(&format!("replace worker={worker} ms={down}"));
        self.count_crash(worker);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.executions.clear();
        state.is_partitioned = false;
        state.unreachable_until = u64::MAX;
        self.deadly.replaced.insert(worker.clone(), self.now + down);
        let next = name(&format!("{worker}x"));
        self.enqueue(self.now + EXPIRY_MS, Delivery::Expire(worker.clone()));
        self.enqueue(self.now + down, Delivery::Appear(next));
    }

    pub(super) fn appear(&mut self, worker: Name) {
        let Some(size) = self.workers.values().next().map(|state| state.size) else {
            return;
        };
        let mut fresh = Worker::new(size, self.now);
        fresh.up_since = self.now;
        self.workers.insert(worker.clone(), fresh);
        self.update_registration(&worker);
    }

    fn step_spec(&self, task: Task) -> &spec::Step {
        let (_, accepted) = &self.jobs[&task.step.job];
        &accepted.spec.steps[usize::from(task.step.step)]
    }

    /// Returns whether the members of the task's gang wait in vain for a deadly one.
    pub(super) fn is_in_deadly_gang(&self, task: Task) -> bool {
        let is_deadly = self
            .deadly
            .tasks
            .iter()
            .any(|deadly| deadly.step == task.step);
        is_deadly && self.step_spec(task).is_gang
    }

    /// Returns whether another worker answers at the address of this one.
    pub(super) fn is_replaced(&self, worker: &Name) -> bool {
        let up = self.deadly.replaced.get(worker);
        up.is_some_and(|up| *up <= self.now)
    }

    /// Returns whether the worker's address refuses connections.
    pub(super) fn is_closed(&self, worker: &Name) -> bool {
        let closed = self.deadly.closed.get(worker);
        closed.is_some_and(|until| *until > self.now)
    }
}
