//! Fake workers of the platform, which note violations of invariants.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use decision::clock::Ms;
use decision::resource::Size;
use http::StatusCode;
use scheduler::id::Epoch;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::Outcome;
use scheduler::message::Termination;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

use crate::worker::Execution;
use crate::worker::Worker;

/// How long each task runs unless [`Cluster::runs_forever`] is set.
pub const RUN_MS: u64 = 150;

/// The state of all workers, and the violations of invariants that they have observed.
#[derive(Default)]
pub struct Cluster {
    pub workers: BTreeMap<String, Worker>,
    /// How often each task has completed.
    pub done: BTreeMap<Task, u32>,
    /// Starts of a task that was running elsewhere or done, or that exceeded the worker's capacity.
    pub violations: Vec<String>,
    /// Whether tasks that start now run until they are stopped.
    pub runs_forever: bool,
    /// Which polls are held back; `None` answers all.
    pub held_polls: Option<HeldPolls>,
    /// How often a call with this fencing token was refused because the worker had seen a higher
    /// one.
    pub fenced_calls: BTreeMap<Epoch, u32>,
    /// The time of the last poll that extended a lease, by its fencing token.
    pub renewed_at: BTreeMap<Epoch, Instant>,
}

/// Holds back the polls of the leader of one epoch until a later leader polls, whose own polls get
/// no answer.
pub struct HeldPolls {
    pub epoch: Epoch,
    /// Whether a poll of a later leader has arrived.
    pub has_later: bool,
    /// The number of held polls that have been answered since.
    pub answered: u32,
}

impl HeldPolls {
    pub const fn of(epoch: Epoch) -> Self {
        Self {
            epoch,
            has_later: false,
            answered: 0,
        }
    }

    /// Returns whether a poll with this fencing token may be answered now.
    fn may_answer(&mut self, token: Epoch) -> bool {
        self.has_later |= token > self.epoch;
        self.has_later && token <= self.epoch
    }
}

impl Cluster {
    /// Returns the number of tasks that run now.
    pub fn running(&self) -> usize {
        let workers = self.workers.values();
        workers.map(|worker| worker.executions.len()).sum()
    }

    /// Starts a worker anew under its id and its address. Its connections stay open.
    pub fn restart(&mut self, name: &str, now: u64) {
        let worker = self.workers.get_mut(name).expect("the worker exists");
        let earlier = worker.incarnation;
        *worker = Worker::new(worker.size, now);
        worker.incarnation = worker.incarnation.max(earlier + Ms(1));
    }

    fn advance(&mut self, now: u64) {
        for worker in self.workers.values_mut() {
            for (task, how) in worker.advance(now) {
                if how == Termination::Done {
                    *self.done.entry(task).or_default() += 1;
                }
            }
        }
    }

    /// Returns the response to a poll, or `None` while the poll waits.
    fn poll(
        &mut self,
        name: &str,
        now: u64,
        end: u64,
        token: Epoch,
        body: &Value,
    ) -> Option<(StatusCode, Value)> {
        let held = self.held_polls.as_mut();
        if held.is_some_and(|held| !held.may_answer(token)) {
            return None;
        }
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if !worker.accept_token(token) {
            return Some(self.refuse_token(token));
        }
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            worker.extend_lease(now, deadline);
            self.renewed_at.insert(token, Instant::now());
        }
        let upto = body["ackedUpto"].as_u64().unwrap_or(0);
        if upto >= worker.next_end {
            let what = format!(
                "{name} was told that ends up to {upto} are acknowledged, but {} is the next one",
                worker.next_end
            );
            // A poll that waits comes here again.
            if !self.violations.contains(&what) {
                self.violations.push(what);
            }
        }
        worker.ends.retain(|end| end.number > upto);
        if worker.ends.is_empty() && now < end {
            return None;
        }
        if let Some(held) = &mut self.held_polls {
            held.answered += 1;
        }
        Some((StatusCode::OK, status_json(worker, now)))
    }

    fn refuse_token(&mut self, token: Epoch) -> (StatusCode, Value) {
        *self.fenced_calls.entry(token).or_default() += 1;
        refusal("fence")
    }

    fn order(
        &mut self,
        name: &str,
        now: u64,
        path: &str,
        token: Epoch,
        body: &Value,
    ) -> (StatusCode, Value) {
        let task: Task = body["task"]
            .as_str()
            .unwrap_or_default()
            .parse()
            .expect("the task id is valid");
        let run = Run(body["runId"].as_u64().unwrap_or(0));
        let runs_elsewhere = self
            .workers
            .iter()
            .any(|(other, worker)| other != name && worker.executions.contains_key(&task));
        let is_done = self.done.contains_key(&task);
        let runs_forever = self.runs_forever;
        let worker = self.workers.get_mut(name).expect("the worker exists");
        if !worker.accept_token(token) {
            return self.refuse_token(token);
        }
        let outcome = match path {
            "/run-start" => {
                let busy = Execution {
                    run,
                    ends_at: now + if runs_forever { 1_000_000 } else { RUN_MS },
                    termination: Termination::Done,
                    size: Size {
                        millicores: 500,
                        memory_mb: 100,
                        accelerators: 0,
                    },
                };
                let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
                let outcome = worker.start(now, task, busy, deadline);
                let is_over = !worker.booked().fits(worker.size);
                if outcome == Outcome::Done && (runs_elsewhere || is_done || is_over) {
                    let what = format!(
                        "{task} started on {name} at {now} ms: runs elsewhere: {runs_elsewhere}, \
                         done before: {is_done}, exceeds capacity: {is_over}"
                    );
                    self.violations.push(what);
                }
                outcome
            }
            _ => worker.stop(now, task, run),
        };
        match outcome {
            Outcome::Done => (StatusCode::OK, json!({"clockMs": 0})),
            Outcome::Late => refusal("late"),
            _ => refusal("old"),
        }
    }
}

/// Answers a call to the worker `name` once it is carried out; a poll may wait. A restart breaks the
/// calls that are under way.
pub async fn respond(
    cluster: &Mutex<Cluster>,
    name: &str,
    started_at: Instant,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let now = || u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let token = Epoch(body["fencingToken"].as_u64().unwrap_or(0));
    let end = now() + body["waitMs"].as_u64().unwrap_or(0);
    let mut life = None;
    loop {
        let now = now();
        {
            let mut cluster = cluster.lock().expect("no holder of this lock panics");
            cluster.advance(now);
            let incarnation = cluster.workers[name].incarnation;
            if *life.get_or_insert(incarnation) != incarnation {
                return (StatusCode::SERVICE_UNAVAILABLE, json!({}));
            }
            if path != "/hold" {
                return cluster.order(name, now, path, token, body);
            }
            if let Some(response) = cluster.poll(name, now, end, token, body) {
                return response;
            }
        }
        Timer::after(Duration::from_millis(5)).await;
    }
}

fn refusal(reason: &str) -> (StatusCode, Value) {
    (
        StatusCode::CONFLICT,
        json!({"clockMs": 0, "reason": reason}),
    )
}

fn status_json(worker: &Worker, now: u64) -> Value {
    let running: Vec<Value> = worker
        .executions
        .iter()
        .map(|(task, busy)| json!([task.to_string(), busy.run.0, "", 0, 0]))
        .collect();
    let ended: Vec<Value> = worker
        .ends
        .iter()
        .map(|end| {
            let how = match end.termination {
                Termination::Done => "done",
                Termination::Stopped => "stopped",
                Termination::Lapsed => "lapsed",
                _ => "failed",
            };
            json!([end.number, end.task.to_string(), end.run.0, how, ""])
        })
        .collect();
    json!({"clockMs": worker.clock(now), "born": worker.incarnation.0, "running": running, "ended": ended})
}
