//! Accounts for batch work: the work that was executed, the part of it that counts, and evictions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;
use decision::worker::State;
use decision::worker::Task;
use standin::worker::Change;

use crate::scenario::Scenario;

/// The batch results up to the time of the summary, which is the end of the measured window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// The number of tasks that finished.
    pub done: u64,
    /// The number of stops by command of tasks whose job was not cancelled.
    pub evictions: u64,
    /// The work that was not lost, in core milliseconds.
    pub useful: f64,
    /// All work that was executed, in core milliseconds.
    pub executed: f64,
}

/// The work of one task.
#[derive(Debug, Default)]
struct Usage {
    /// The work of all ended attempts.
    executed: Ms,
    /// The progress from which the next attempt can resume.
    saved: Ms,
    /// The worker, the first and the last progress of the running attempt.
    running: Option<(usize, Ms, Ms)>,
    /// The number of cores that the task uses under its last grant.
    cores: f64,
    done: bool,
}

/// The accounts of all tasks.
#[derive(Debug)]
pub(crate) struct Ledger {
    usages: BTreeMap<Name, Usage>,
    /// The number of cores that each task of each job can use.
    cores: BTreeMap<Name, Vec<f64>>,
    /// Jobs for which an operator sent a cancellation.
    cancelled: BTreeSet<Name>,
    /// Stopped tasks that were not started again and whose stop is not yet known to be by command.
    stopped: BTreeSet<Name>,
    evictions: u64,
}

fn job_name(task: &Name) -> &str {
    task.split('#').next().unwrap_or_default()
}

impl Ledger {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let cores = |plan: &crate::scenario::Plan| {
            let needs = plan.needs.iter();
            let cores = needs.map(|need| f64::from(need.size.millicores) / 1_000.0);
            (plan.job.name.clone(), cores.collect())
        };
        Self {
            usages: BTreeMap::new(),
            cores: scenario.jobs.iter().map(cores).collect(),
            cancelled: BTreeSet::new(),
            stopped: BTreeSet::new(),
            evictions: 0,
        }
    }

    /// Records that a cancellation of a job was sent, after which stops of its tasks do not count
    /// as evictions.
    pub(crate) fn record_cancellation(&mut self, job: &Name) {
        self.cancelled.insert(job.clone());
    }

    /// Records that a task was stopped by command.
    pub(crate) fn record_commanded_stop(&mut self, task: &Name) {
        if self.stopped.remove(task) && !self.cancelled.contains(job_name(task)) {
            self.evictions += 1;
        }
    }

    pub(crate) fn apply(&mut self, vm: usize, change: &Change) {
        match change {
            Change::Started(task, _) => {
                self.stopped.remove(&task.name);
                let granted = f64::from(task.grant.millicores) / 1_000.0;
                let cores = self.cores(&task.name).min(granted);
                let usage = self.usages.entry(task.name.clone()).or_default();
                usage.cores = cores;
                usage.running = Some((vm, task.progress, task.progress));
            }
            Change::Saved(..) | Change::Acknowledged(_) | Change::Overfull(_) => {}
            Change::Ended(task) => {
                if task.state == State::Stopped {
                    self.stopped.insert(task.name.clone());
                }
                let usage = self.usages.entry(task.name.clone()).or_default();
                usage.end(task.progress);
                usage.saved = usage.saved.max(task.saved);
                usage.done |= task.state == State::Completed;
                if task.state == State::Completed {
                    usage.saved = usage.saved.max(task.progress);
                }
            }
        }
    }

    pub(crate) fn record_progress<'a>(&mut self, vm: usize, tasks: impl Iterator<Item = &'a Task>) {
        for task in tasks {
            if let Some(usage) = self.usages.get_mut(&task.name) {
                usage.saved = usage.saved.max(task.saved);
                if let Some((at, _, last)) = &mut usage.running
                    && *at == vm
                {
                    *last = task.progress;
                }
            }
        }
    }

    pub(crate) fn record_crash(&mut self, vm: usize) {
        for usage in self.usages.values_mut() {
            if let Some((at, _, last)) = usage.running
                && at == vm
            {
                usage.end(last);
            }
        }
    }

    pub(crate) fn summary(&self) -> Summary {
        let mut summary = Summary {
            evictions: self.evictions,
            ..Summary::default()
        };
        for (task, usage) in &self.usages {
            let cores = usage.cores;
            let (first, last) = usage
                .running
                .map_or((Ms::ZERO, Ms::ZERO), |(_, first, last)| (first, last));
            let executed = usage.executed + last.since(first);
            let kept = usage.saved.max(last);
            summary.done += u64::from(usage.done);
            summary.executed += executed.0 as f64 * cores;
            if !self.cancelled.contains(job_name(task)) {
                summary.useful += kept.0 as f64 * cores;
            }
        }
        summary
    }

    fn cores(&self, task: &Name) -> f64 {
        let index = task.split('#').nth(1).and_then(|index| index.parse().ok());
        let cores = self.cores.get(job_name(task)).zip(index);
        cores.map_or(0.0, |(cores, index): (&Vec<f64>, usize)| cores[index])
    }
}

impl Usage {
    fn end(&mut self, progress: Ms) {
        if let Some((_, first, _)) = self.running.take() {
            self.executed += progress.since(first);
        }
    }
}
