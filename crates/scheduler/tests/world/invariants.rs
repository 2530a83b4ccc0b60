//! The invariants that are checked at each start of a run.

use decision::name::Name;
use scheduler::id;
use scheduler::id::Task;
use scheduler::message::End;
use scheduler::message::Termination;

use super::Call;
use super::START_MS;
use super::World;

/// The most log lines that are shown for a violation.
const MAX_TRACE_LINES: usize = 150;

impl World {
    /// Returns the newest log lines up to the first violation that name its task, or no task.
    pub fn trace(&self) -> Vec<String> {
        let first = self
            .log
            .iter()
            .position(|line| line.contains(" violation "));
        let lines = &self.log[..first.map_or(0, |index| index + 1)];
        let task = lines.last().and_then(|line| line.split(' ').nth(2));
        let task = format!("task={}", task.unwrap_or_default());
        let shown = |line: &&String| {
            let is_other = ["kind=load", "kind=interference", "kind=job-"]
                .iter()
                .any(|kind| line.contains(kind));
            !is_other && (!line.contains("task=") || line.contains(&task))
        };
        let mut lines: Vec<String> = lines.iter().filter(shown).cloned().collect();
        lines.split_off(lines.len().saturating_sub(MAX_TRACE_LINES))
    }

    fn violate(&mut self, task: Task, what: &str) {
        self.log(&format!("violation {task} {what}"));
        let time = self.now - START_MS;
        self.violations.push(format!("{time}: {task} {what}"));
    }

    /// Checks that no leader has released a confirmed run for an expired lease sooner than a lease
    /// after its start.
    pub(super) fn check_early_releases(&mut self) {
        let replaced = self.replaced_leaders.iter().map(|(_, leader)| leader);
        let leaders = replaced.chain(self.leader.as_ref());
        let count: u64 = leaders.map(|it| it.tally().early_releases).sum();
        if count > self.early_releases {
            self.violate(
                Task::default(),
                "stands for a run that was released sooner than a lease after its start",
            );
        }
        self.early_releases = count;
    }

    /// Records the ends that a worker has discarded, and checks that no completed task started again
    /// after its end. An end counts only if the lease of the worker has not lapsed since.
    pub(super) fn record_acknowledged(&mut self, name: &Name, ends: Vec<End>) {
        for end in ends {
            if end.termination != Termination::Done {
                continue;
            }
            let worker = &self.workers[name];
            let ended_at = worker.end_times[&end.number];
            let started_at = self.started.get(&end.task).copied().unwrap_or_default();
            if started_at > ended_at && worker.lapsed_at < ended_at {
                let ended = ended_at - START_MS;
                self.violate(end.task, &format!("started again after its end at {ended}"));
            }
            self.acknowledged_done.insert(end.task);
        }
    }

    /// Checks the invariants that concern the start of a run.
    pub(super) fn check_start(&mut self, call: &Call) {
        let task = call.placement.task;
        let target = &call.placement.worker;
        self.started.insert(task, self.now);
        let others = self.workers.iter().filter(|(name, _)| *name != target);
        let other_worker = others
            .filter(|(_, worker)| worker.executions.contains_key(&task))
            .map(|(name, _)| name.clone())
            .next();
        if let Some(other) = other_worker {
            self.violate(task, &format!("runs on {other} and {target}"));
        }
        if self.acknowledged_done.contains(&task) {
            self.violate(task, "is done and starts again");
        }
        let booked = self.workers[target].booked();
        if !booked.fits(self.counted_size(target, call.sent)) {
            self.violate(task, &format!("brings {target} over its size"));
        }
        let spec = self.jobs[&task.step.job].1.spec.clone();
        for &before in &spec.steps[usize::from(task.step.step)].after {
            for index in 0..spec.steps[usize::from(before)].count {
                let step = id::Step {
                    step: before,
                    ..task.step
                };
                if !self.done.contains(&Task { step, index }) {
                    self.violate(task, &format!("starts before step {before}"));
                }
            }
        }
    }
}
