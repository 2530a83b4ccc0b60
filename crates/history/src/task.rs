//! Where tasks ran, from what they resumed and how they ended.

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

/// No two workers run attempts of one task at the same time.
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

#[derive(Default)]
struct Attempts<'a> {
    attempts: BTreeMap<u32, (&'a Name, &'a Event)>,
    keys: BTreeSet<&'a str>,
    stopped: Option<&'a Event>,
}

impl<'a> Attempts<'a> {
    fn start(
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

/// Evicted work resumes exactly once: each attempt starts once, attempts rise, evicted work with
/// a checkpoint resumes from one of its own, and in a settled log none is left stopped.
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
                found.extend(state.start(vm, *attempt, from.as_deref(), event));
            }
            // Of an attempt that was not stored yet, nothing is left; its number is used again.
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
        let left = tasks.iter().filter(|(task, _)| !jobs.cancelled(task));
        let stopped = left.filter_map(|(_, state)| state.stopped);
        let reason = "evicted work did not resume";
        found.extend(stopped.map(|event| Violation::new(Check::ResumeOnce, reason, [event])));
    }
    found
}

/// What operators were told about jobs.
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
                    // A cancellation without a known outcome may have taken effect.
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

#[derive(Default)]
struct Status<'a> {
    /// Completions that count, with their attempts.
    completed: Vec<(&'a Name, u32, &'a Event)>,
    /// Whether it ever completed; an owner may have heard of it before the VM died.
    ever_completed: bool,
    acknowledged: bool,
    /// Whether it ends by itself when it is granted what it needs.
    feasible: bool,
    recorded: Option<(Ending, &'a Event)>,
}

impl<'a> Status<'a> {
    fn start(&self, event: &'a Event) -> Option<Violation> {
        let (.., done) = self.completed.last()?;
        let reason = "a completed task was started again";
        Some(Violation::new(Check::NothingLost, reason, [*done, event]))
    }

    fn record(&mut self, ending: Ending, event: &'a Event) -> Option<Violation> {
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

    /// A completion that no owner had stored is lost with its VM, and the task has to run again.
    fn crash(&mut self, vm: &Name) {
        if !self.acknowledged && self.recorded.is_none() {
            self.completed.retain(|(at, ..)| *at != vm);
        }
    }
}

/// No task is executed twice, and in a settled log every accepted task has an outcome.
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
                found.extend(statuses.entry(task).or_default().start(event));
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
                let of = |(at, number, _): &(&Name, u32, &Event)| (*at, number) == (vm, attempt);
                status.acknowledged |= status.completed.iter().any(of);
            }
            Fact::Recorded { task, ending } => {
                let status = statuses.entry(task).or_default();
                status.feasible = feasible.contains(job_of(task));
                found.extend(status.record(*ending, event));
            }
            Fact::WorkerCrashed { vm } => statuses.values_mut().for_each(|status| status.crash(vm)),
            _ => {}
        }
    }
    if log.settled() {
        found.extend(unfinished(&Jobs::from_log(log), &statuses));
    }
    found
}

fn unfinished(jobs: &Jobs<'_>, statuses: &BTreeMap<&str, Status<'_>>) -> Vec<Violation> {
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
