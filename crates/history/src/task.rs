//! Checks where tasks ran, from which checkpoint they resumed and how they ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Job;
use decision::operator::Reply;

use crate::Check;
use crate::Event;
use crate::Fact;
use crate::Log;
use crate::Violation;
use crate::fact::Ending;

/// Checks that no two attempts of one task run at the same time.
pub fn single_place(log: &Log) -> Vec<Violation> {
    let mut running: BTreeMap<&Name, Vec<(&Name, u32, &Event)>> = BTreeMap::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::TaskStarted {
                vm, task, attempt, ..
            } => {
                let running_attempts = running.entry(task).or_default();
                running_attempts.push((vm, *attempt, event));
                if running_attempts.len() > 1 {
                    let events = running_attempts.iter().map(|(_, _, event)| *event);
                    let reason = "a task runs twice at once";
                    found.push(Violation::new(Check::SinglePlace, reason, events));
                }
            }
            Fact::TaskEnded {
                vm, task, attempt, ..
            } => {
                let running_attempts = running.entry(task).or_default();
                running_attempts.retain(|(at, number, _)| (*at, number) != (vm, attempt));
            }
            Fact::WorkerCrashed { vm } => {
                for running_attempts in running.values_mut() {
                    running_attempts.retain(|(at, ..)| *at != vm);
                }
            }
            _ => {}
        }
    }
    found
}

/// The attempts of one task.
#[derive(Default)]
struct Attempts<'a> {
    /// The worker and the start of each attempt.
    attempts: BTreeMap<u32, (&'a Name, &'a Event)>,
    /// The keys of the task's checkpoints.
    keys: BTreeSet<&'a str>,
    /// The end of the last attempt, if it was stopped and no later attempt has started.
    stopped: Option<&'a Event>,
}

impl<'a> Attempts<'a> {
    fn record_start(
        &mut self,
        vm: &'a Name,
        attempt: u32,
        from: Option<&str>,
        event: &'a Event,
    ) -> Option<Violation> {
        let violation = |reason, other: Option<&'a Event>| {
            let events = other.into_iter().chain([event]);
            Some(Violation::new(Check::ResumeOnce, reason, events))
        };
        if let Some((_, other)) = self.attempts.insert(attempt, (vm, event)) {
            return violation("an attempt was started twice", Some(other));
        }
        let newest = self.attempts.last_key_value();
        if let Some((_, (_, other))) = newest.filter(|(newest, _)| **newest > attempt) {
            return violation(
                "an older attempt was started after a newer one",
                Some(other),
            );
        }
        let evicted = self.stopped.take();
        let Some(key) = from else {
            let unresumed = evicted.filter(|_| !self.keys.is_empty());
            return unresumed.and_then(|stop| violation("evicted work began anew", Some(stop)));
        };
        if self.keys.contains(key) {
            None
        } else {
            violation("resumed from a checkpoint that is not the task's", evicted)
        }
    }
}

/// Checks that evicted work resumes exactly once: each attempt starts once, attempt numbers rise,
/// an evicted task that has checkpoints resumes from one of them, and a settled log leaves no task
/// stopped.
pub fn resume_once(log: &Log) -> Vec<Violation> {
    let mut tasks: BTreeMap<&Name, Attempts<'_>> = BTreeMap::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::TaskStarted {
                vm,
                task,
                attempt,
                from,
                ..
            } => {
                let state = tasks.entry(task).or_default();
                found.extend(state.record_start(vm, *attempt, from.as_deref(), event));
            }
            // An attempt that was not stored is lost with the VM, so its number may be used again.
            Fact::WorkerCrashed { vm } => {
                for state in tasks.values_mut() {
                    state.attempts.retain(|_, (at, _)| *at != vm);
                }
            }
            Fact::Checkpointed { task, key, .. } => {
                tasks.entry(task).or_default().keys.insert(key);
            }
            Fact::TaskEnded { task, ending, .. } => {
                let stopped = (*ending == Ending::Stopped).then_some(event);
                tasks.entry(task).or_default().stopped = stopped;
            }
            _ => {}
        }
    }
    if log.settled() {
        let jobs = Jobs::from_log(log);
        let uncancelled = tasks.iter().filter(|(task, _)| !jobs.cancelled(task));
        let stopped = uncancelled.filter_map(|(_, state)| state.stopped);
        let reason = "evicted work did not resume";
        found.extend(stopped.map(|event| Violation::new(Check::ResumeOnce, reason, [event])));
    }
    found
}

/// The jobs that were accepted, and those for which an operator sent a cancellation.
#[derive(Default)]
struct Jobs<'a> {
    accepted: Vec<(&'a Job, &'a Event)>,
    cancelled: BTreeSet<&'a str>,
}

impl<'a> Jobs<'a> {
    fn from_log(log: &'a Log) -> Self {
        let mut calls: BTreeMap<&Name, &Call> = BTreeMap::new();
        let mut jobs = Self::default();
        for event in log.events() {
            match &event.fact {
                Fact::Called { call } => {
                    calls.insert(&call.id, call);
                    // A cancellation counts when it is sent, because it may take effect even if
                    // its outcome is unknown.
                    if let Action::Cancel { job } = &call.action {
                        jobs.cancelled.insert(job);
                    }
                }
                Fact::Replied {
                    call,
                    reply: Reply::Accepted,
                } => {
                    if let Some(Action::Submit(job)) = calls.get(call).map(|call| &call.action) {
                        jobs.accept(job, event);
                    }
                }
                _ => {}
            }
        }
        jobs
    }

    fn accept(&mut self, job: &'a Job, event: &'a Event) {
        if self
            .accepted
            .iter()
            .all(|(known, _)| known.name != job.name)
        {
            self.accepted.push((job, event));
        }
    }

    fn cancelled(&self, task: &Name) -> bool {
        self.cancelled.contains(job_of(task))
    }
}

fn job_of(task: &Name) -> &str {
    task.split('#').next().unwrap_or_default()
}

/// How far one task has come.
#[derive(Default)]
struct Status<'a> {
    /// Completions that still count, with the worker and the number of the attempt.
    completed: Vec<(&'a Name, u32, &'a Event)>,
    /// Whether any attempt completed. The owner may have learned of it before the VM crashed.
    ever_completed: bool,
    /// Whether a worker was told that a completion is stored.
    acknowledged: bool,
    /// Whether the task finishes when it is granted the resources that it needs.
    feasible: bool,
    /// The outcome in the table.
    recorded: Option<(Ending, &'a Event)>,
}

impl<'a> Status<'a> {
    fn record_start(&self, event: &'a Event) -> Option<Violation> {
        let (.., done) = self.completed.last()?;
        let reason = "a completed task was started again";
        Some(Violation::new(Check::NothingLost, reason, [*done, event]))
    }

    fn record_outcome(&mut self, ending: Ending, event: &'a Event) -> Option<Violation> {
        let before = self.recorded.replace((ending, event));
        if let Some((_, other)) = before.filter(|(other, _)| *other != ending) {
            let reason = "the stored outcome of a task changed";
            return Some(Violation::new(Check::NothingLost, reason, [other, event]));
        }
        if ending == Ending::Failed && self.feasible {
            let reason = "a task that can finish was given up";
            return Some(Violation::new(Check::NothingLost, reason, [event]));
        }
        let reason = "a task is stored as done that no worker completed";
        (ending == Ending::Completed && !self.ever_completed)
            .then(|| Violation::new(Check::NothingLost, reason, [event]))
    }

    /// Drops the completions on a crashed VM that no owner had stored. They are lost with the VM,
    /// and the task has to run again.
    fn drop_unstored_completions(&mut self, vm: &Name) {
        if !self.acknowledged && self.recorded.is_none() {
            self.completed.retain(|(at, ..)| *at != vm);
        }
    }
}

/// Checks that no completed task is executed again, and that in a settled log every accepted task
/// has an outcome.
pub fn nothing_lost(log: &Log) -> Vec<Violation> {
    let mut statuses: BTreeMap<&str, Status<'_>> = BTreeMap::new();
    let mut feasible: BTreeSet<&str> = BTreeSet::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::Feasible { job } => {
                feasible.insert(job);
            }
            Fact::TaskStarted { task, .. } => {
                found.extend(statuses.entry(task).or_default().record_start(event));
            }
            Fact::TaskEnded {
                vm,
                task,
                attempt,
                ending: Ending::Completed,
            } => {
                let status = statuses.entry(task).or_default();
                status.completed.push((vm, *attempt, event));
                status.ever_completed = true;
            }
            Fact::Acknowledged { vm, task, attempt } => {
                let status = statuses.entry(task).or_default();
                let is_acknowledged =
                    |(at, number, _): &(&Name, u32, &Event)| (*at, number) == (vm, attempt);
                status.acknowledged |= status.completed.iter().any(is_acknowledged);
            }
            Fact::Recorded { task, ending } => {
                let status = statuses.entry(task).or_default();
                status.feasible = feasible.contains(job_of(task));
                found.extend(status.record_outcome(*ending, event));
            }
            Fact::WorkerCrashed { vm } => statuses
                .values_mut()
                .for_each(|status| status.drop_unstored_completions(vm)),
            _ => {}
        }
    }
    if log.settled() {
        found.extend(find_unfinished(&Jobs::from_log(log), &statuses));
    }
    found
}

fn find_unfinished(jobs: &Jobs<'_>, statuses: &BTreeMap<&str, Status<'_>>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (job, event) in &jobs.accepted {
        if jobs.cancelled.contains(&*job.name) {
            continue;
        }
        for index in 0..job.tasks {
            let name = format!("{}#{index}", job.name);
            let status = statuses.get(name.as_str());
            let ended = status
                .is_some_and(|status| !status.completed.is_empty() || status.recorded.is_some());
            if !ended {
                let reason = format!("accepted task {name} has no outcome");
                found.push(Violation::new(Check::NothingLost, &reason, [*event]));
            }
        }
    }
    found
}
