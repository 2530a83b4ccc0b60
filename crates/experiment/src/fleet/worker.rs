//! A worker with the state of its VM and its connections.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::worker::Reply;
use decision::worker::State;
use standin::worker::Model;

use super::IDLE_CHECK_AFTER;
use super::Request;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;

/// The time after its start during which the usage of a running task is reported as zero.
const USAGE_LAG: Ms = Ms(2_000);

/// The pool of connections from one entry to one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pool {
    /// The connections in use.
    pub open: u32,
    /// The largest number of connections that were in use at the same time.
    pub(super) size: u32,
    /// The established connections over which nothing arrives any more.
    pub(super) silent: u32,
    last_used: Us,
}

/// A worker with the state of its VM.
#[derive(Debug)]
pub(crate) struct Worker {
    pub model: Model,
    /// The time of the VM's crash, absent while the VM runs.
    pub crashed_at: Option<Us>,
    /// The worker is cut off from the network until this time.
    pub partitioned_until: Us,
    /// The start of each attempt, by task and attempt.
    pub(super) started: BTreeMap<(Name, u32), Ms>,
    /// The connection pools by index of the entry.
    pub pools: BTreeMap<usize, Pool>,
    /// Requests that arrived while all slots were in use.
    pub waiting: VecDeque<Request>,
}

impl Worker {
    pub(super) fn running(&self) -> impl Iterator<Item = &decision::worker::Task> {
        let running = |task: &&decision::worker::Task| task.state == State::Running;
        self.model.tasks().filter(running)
    }

    /// The slowdown of a kind of request by the running tasks, in percent.
    pub(crate) fn interference(&self, scenario: &Scenario, kind: usize, now: Us) -> f64 {
        let whole = f64::from(self.model.vm().capacity.millicores);
        let sum = self.running().map(|task| {
            let interference = scenario
                .batch
                .get(&task.kind)
                .map_or(0, |batch| batch.interference[kind]);
            let share = f64::from(task.used.millicores) / whole;
            f64::from(interference) * share * f64::from(task.throttle) / 100.0
        });
        // The interference between the same kinds grows with the load and varies over time.
        let load = 0.5 + f64::from(self.model.busy()) / f64::from(self.model.vm().slots);
        let drift = 1.0 + 0.4 * (now as f64 / (20 * SECOND) as f64).sin();
        sum.sum::<f64>() * load * drift
    }

    /// Acquires a connection from an entry and returns whether the connection is silent.
    pub(crate) fn acquire_connection(&mut self, entry: usize, now: Us) -> bool {
        let pool = self.pools.entry(entry).or_default();
        if now > pool.last_used + IDLE_CHECK_AFTER {
            pool.silent = 0;
        }
        pool.last_used = now;
        pool.open += 1;
        pool.size = pool.size.max(pool.open);
        let silent = pool.silent > 0;
        pool.silent = pool.silent.saturating_sub(1);
        silent
    }

    /// Removes the usage of recently started tasks from a reply, because usage is reported late.
    pub(super) fn hide_recent_usage(&self, reply: &mut Reply, now: Ms) {
        let Reply::Done(report) = reply else {
            return;
        };
        // The usage of an ended task is known at its end, so only running tasks are affected.
        let running = |task: &&mut decision::worker::Task| task.state == State::Running;
        for task in report.tasks.iter_mut().filter(running) {
            let since = self.started.get(&(task.name.clone(), task.attempt));
            if since.is_none_or(|since| now.since(*since) < USAGE_LAG) {
                task.used = Size::ZERO;
            }
        }
    }
}
