//! The summary of a demo, counted from the events that callers and stand-ins recorded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use decision::clock::Ms;
use decision::operator::Action;
use decision::operator::Reply;
use decision::request::Outcome;
use hdrhistogram::Histogram;
use history::Check;
use history::Ending;
use history::Event;
use history::Fact;
use history::Log;
use history::Violation;
use serde::Serialize;

/// The counts and times of one demo.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests, each counted once however often it was sent.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests whose last outcome was a refusal.
    pub refused: u64,
    /// Requests whose last outcome was unknown, or whose connection broke.
    pub unknown: u64,
    /// Requests that never got any outcome.
    pub lost: u64,
    /// Violations by requests and tasks that ran more often than allowed.
    pub duplicated: u64,
    /// Answers that were incomplete or belonged to another request, and refusals of requests that
    /// ran.
    pub wrong_answers: u64,
    /// Times at which a worker was given more work than its capacity.
    pub overcommitted: u64,
    /// Times at which a task ran on two workers at once.
    pub double_placed: u64,
    /// Tasks of accepted jobs.
    pub batch_submitted: u64,
    /// Tasks that completed.
    pub batch_done: u64,
    /// Attempts of tasks that were stopped before they completed.
    pub evictions: u64,
    /// Attempts of tasks that resumed from a checkpoint.
    pub resumed: u64,
    /// The longest time from storing a configuration until it was in force at the last entry.
    pub config_seconds: f64,
    /// The median time from the first sending of a request to its answer.
    pub p50_ms: f64,
    /// The 99th percentile of the time from the first sending of a request to its answer.
    pub p99_ms: f64,
    /// The violations of the checks on the history, in words.
    pub violations: Vec<String>,
}

impl Summary {
    /// Whether no check was violated, no request was lost and all batch work is done.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.violations.is_empty()
            && self.lost == 0
            && self.requests > 0
            && self.batch_done == self.batch_submitted
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            answered,
            refused,
            unknown,
            ..
        } = self;
        writeln!(
            f,
            "requests   {requests}: {answered} answered, {refused} refused, {unknown} unknown"
        )?;
        writeln!(
            f,
            "latency    p50 {:.1} ms, p99 {:.1} ms",
            self.p50_ms, self.p99_ms
        )?;
        writeln!(
            f,
            "batch      {} of {} tasks done",
            self.batch_done, self.batch_submitted
        )?;
        writeln!(f, "evictions  {}, resumed {}", self.evictions, self.resumed)?;
        writeln!(
            f,
            "config     in force everywhere after {:.2} s",
            self.config_seconds
        )?;
        write!(f, "promises   {} broken", self.violations.len())?;
        self.violations
            .iter()
            .try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

impl From<&Log> for Summary {
    fn from(log: &Log) -> Self {
        let violations = history::check(log);
        let of = |checks: &[Check]| count(&violations, checks);
        let mut summary = Self {
            duplicated: of(&[Check::AtMostOnce, Check::ResumeOnce]),
            wrong_answers: of(&[Check::WholeAnswer, Check::TrueRefusal]),
            overcommitted: of(&[Check::Capacity]),
            double_placed: of(&[Check::SinglePlace]),
            violations: violations.iter().map(ToString::to_string).collect(),
            ..Self::default()
        };
        summary.count_requests(log.events());
        summary.count_tasks(log.events());
        summary.config_seconds = config_seconds(log.events());
        summary
    }
}

fn count(violations: &[Violation], checks: &[Check]) -> u64 {
    violations
        .iter()
        .filter(|violation| checks.contains(&violation.check))
        .count() as u64
}

impl Summary {
    fn count_requests(&mut self, events: &[Event]) {
        let mut sent: BTreeMap<u64, Ms> = BTreeMap::new();
        let mut last: BTreeMap<u64, (Ms, &Option<Outcome>)> = BTreeMap::new();
        for event in events {
            match &event.fact {
                Fact::Sent { request, .. } => {
                    sent.entry(*request).or_insert(event.at);
                }
                Fact::Received {
                    request, outcome, ..
                } => {
                    last.insert(*request, (event.at, outcome));
                }
                _ => {}
            }
        }
        let mut times = Histogram::<u64>::new(3).expect("three digits are supported");
        for (request, at) in &sent {
            match last.get(request) {
                Some((end, Some(Outcome::Answered(_)))) => {
                    self.answered += 1;
                    times.saturating_record(end.since(*at).0);
                }
                Some((_, Some(Outcome::Refused(_)))) => self.refused += 1,
                Some(_) => self.unknown += 1,
                None => self.lost += 1,
            }
        }
        self.requests = sent.len() as u64;
        self.p50_ms = times.value_at_quantile(0.5) as f64;
        self.p99_ms = times.value_at_quantile(0.99) as f64;
    }

    fn count_tasks(&mut self, events: &[Event]) {
        let mut submitted = BTreeMap::new();
        let mut done = BTreeSet::new();
        for event in events {
            match &event.fact {
                Fact::Called { call } => {
                    if let Action::Submit(job) = &call.action {
                        submitted.insert(&call.id, u64::from(job.tasks));
                    }
                }
                Fact::Replied {
                    call,
                    reply: Reply::Accepted,
                } => {
                    self.batch_submitted += submitted.remove(call).unwrap_or_default();
                }
                Fact::TaskEnded {
                    task,
                    ending: Ending::Completed,
                    ..
                } => {
                    done.insert(task);
                }
                Fact::TaskEnded {
                    ending: Ending::Stopped,
                    ..
                } => self.evictions += 1,
                Fact::TaskStarted { from: Some(_), .. } => self.resumed += 1,
                _ => {}
            }
        }
        self.batch_done = done.len() as u64;
    }
}

fn config_seconds(events: &[Event]) -> f64 {
    let mut stored = BTreeMap::new();
    let mut longest = Ms::ZERO;
    for event in events {
        match &event.fact {
            Fact::Stored { version } => {
                stored.insert(version, event.at);
            }
            Fact::InForce { version, .. } => {
                if let Some(at) = stored.get(version) {
                    longest = longest.max(event.at.since(*at));
                }
            }
            _ => {}
        }
    }
    longest.0 as f64 / 1_000.0
}
