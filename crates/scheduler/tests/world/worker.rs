//! A simulated worker that follows the platform's rules for fencing, leases, run numbers and the
//! acknowledgement of ends.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::resource::Size;
use scheduler::id::Epoch;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::End;
use scheduler::message::Outcome;
use scheduler::message::Running;
use scheduler::message::Termination;

pub const STOP_GRACE_MS: u64 = 500;
pub const MAX_LEASE_MS: u64 = 6_000;

#[derive(Clone, Debug)]
pub struct Execution {
    pub run: Run,
    pub ends_at: u64,
    pub termination: Termination,
    pub size: Size,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub size: Size,
    pub incarnation: Ms,
    /// The time by which the worker's clock is behind that of the simulation.
    pub clock_offset: u64,
    pub fencing_token: Epoch,
    pub executions: BTreeMap<Task, Execution>,
    pub ends: Vec<End>,
    /// The times of the ends, by number.
    pub end_times: BTreeMap<u64, u64>,
    pub next_end: u64,
    pub lease_end: u64,
    /// The last time at which the lease had lapsed.
    pub lapsed_at: u64,
    /// The highest run number that was stopped or has ended, by task.
    pub ended_runs: BTreeMap<Task, Run>,
    /// The time from which this life of the worker accepts connections.
    pub up_since: u64,
    /// The worker is down or cut off until this time.
    pub unreachable_until: u64,
    /// Runs continue while the worker is unreachable.
    pub is_partitioned: bool,
}

impl Worker {
    pub fn new(size: Size, now: u64) -> Self {
        Self {
            size,
            incarnation: Ms(1_000_000 + now),
            clock_offset: now,
            fencing_token: Epoch(0),
            executions: BTreeMap::new(),
            ends: Vec::new(),
            end_times: BTreeMap::new(),
            next_end: 1,
            lease_end: 0,
            lapsed_at: 0,
            ended_runs: BTreeMap::new(),
            up_since: 0,
            unreachable_until: 0,
            is_partitioned: false,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        now - self.clock_offset
    }

    pub fn booked(&self) -> Size {
        let sizes = self.executions.values().map(|execution| execution.size);
        sizes.fold(Size::ZERO, Size::plus)
    }

    fn end(&mut self, now: u64, task: Task, termination: Termination) {
        if let Some(execution) = self.executions.remove(&task) {
            self.ended_runs.insert(task, execution.run);
            self.ends.push(End {
                number: self.next_end,
                task,
                run: execution.run,
                termination,
                checkpoint: None,
            });
            self.end_times.insert(self.next_end, now);
            self.next_end += 1;
        }
    }

    /// Ends the runs that are over by now, and returns their tasks and how they ended.
    pub fn advance(&mut self, now: u64) -> Vec<(Task, Termination)> {
        let has_lapsed = self.clock(now) > self.lease_end;
        if has_lapsed {
            self.lapsed_at = now;
        }
        let ended: Vec<(Task, Termination)> = self
            .executions
            .iter()
            .filter_map(|(task, execution)| {
                if execution.ends_at <= now {
                    Some((*task, execution.termination))
                } else {
                    has_lapsed.then_some((*task, Termination::Lapsed))
                }
            })
            .collect();
        for &(task, termination) in &ended {
            self.end(now, task, termination);
        }
        ended
    }

    pub fn accept_token(&mut self, token: Epoch) -> bool {
        if token < self.fencing_token {
            return false;
        }
        self.fencing_token = token;
        true
    }

    pub fn extend_lease(&mut self, now: u64, deadline: u64) {
        let max_end = self.clock(now) + MAX_LEASE_MS;
        self.lease_end = self.lease_end.max(deadline.min(max_end));
    }

    /// Discards the ends up to this number and returns them.
    pub fn acknowledge(&mut self, number: u64) -> Vec<End> {
        let (kept, discarded) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|end| end.number > number);
        self.ends = kept;
        discarded
    }

    pub fn start(&mut self, now: u64, task: Task, execution: Execution, deadline: u64) -> Outcome {
        if deadline < self.clock(now) {
            return Outcome::Late;
        }
        self.extend_lease(now, deadline);
        if self
            .executions
            .get(&task)
            .is_some_and(|old| old.run == execution.run)
        {
            return Outcome::Done;
        }
        let is_old = self
            .ended_runs
            .get(&task)
            .is_some_and(|old| *old >= execution.run);
        if is_old || self.executions.contains_key(&task) {
            return Outcome::Old;
        }
        self.executions.insert(task, execution);
        Outcome::Done
    }

    pub fn stop(&mut self, now: u64, task: Task, run: Run) -> Outcome {
        match self.executions.get_mut(&task) {
            Some(execution) if execution.run == run => {
                if execution.ends_at > now + STOP_GRACE_MS {
                    execution.ends_at = now + STOP_GRACE_MS;
                    execution.termination = Termination::Stopped;
                }
            }
            _ => {
                let highest = self.ended_runs.entry(task).or_insert(run);
                *highest = (*highest).max(run);
            }
        }
        Outcome::Done
    }

    pub fn running(&self) -> Vec<Running> {
        self.executions
            .iter()
            .map(|(task, execution)| Running {
                task: *task,
                run: execution.run,
                checkpoint: None,
                percent: 0,
                measurement: 0,
            })
            .collect()
    }
}
