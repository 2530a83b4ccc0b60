//! A worker by the platform's rules: fencing, leases, run numbers, ends until acknowledged.

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

pub const STOP_GRACE: u64 = 200;
pub const MAX_LEASE: u64 = 6_000;

#[derive(Clone, Debug)]
pub struct Busy {
    pub run: Run,
    pub ends_at: u64,
    pub termination: Termination,
    pub size: Size,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub size: Size,
    pub incarnation: Ms,
    /// Its clock is this far behind the world's.
    pub origin: u64,
    pub token: Epoch,
    pub busy: BTreeMap<Task, Busy>,
    pub ends: Vec<End>,
    pub next_end: u64,
    pub lease_end: u64,
    /// The highest run stopped or ended by task.
    pub ended_runs: BTreeMap<Task, Run>,
    /// Down, or without a path to anybody, until then.
    pub dark_until: u64,
    /// It runs on while dark.
    pub is_cut: bool,
}

impl Worker {
    pub fn new(size: Size, now: u64) -> Self {
        Self {
            size,
            incarnation: Ms(1_000_000 + now),
            origin: now,
            token: Epoch(0),
            busy: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            lease_end: 0,
            ended_runs: BTreeMap::new(),
            dark_until: 0,
            is_cut: false,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        now - self.origin
    }

    pub fn booked(&self) -> Size {
        let sizes = self.busy.values().map(|busy| busy.size);
        sizes.fold(Size::ZERO, Size::plus)
    }

    fn end(&mut self, task: Task, termination: Termination) {
        if let Some(busy) = self.busy.remove(&task) {
            self.ended_runs.insert(task, busy.run);
            self.ends.push(End {
                number: self.next_end,
                task,
                run: busy.run,
                termination,
                checkpoint: None,
            });
            self.next_end += 1;
        }
    }

    /// Ends what is over by now; returns the tasks and how they ended.
    pub fn advance(&mut self, now: u64) -> Vec<(Task, Termination)> {
        let has_lapsed = self.clock(now) > self.lease_end;
        let over: Vec<(Task, Termination)> = self
            .busy
            .iter()
            .filter_map(|(task, busy)| {
                if busy.ends_at <= now {
                    Some((*task, busy.termination))
                } else {
                    has_lapsed.then_some((*task, Termination::Lapsed))
                }
            })
            .collect();
        for &(task, termination) in &over {
            self.end(task, termination);
        }
        over
    }

    pub fn obeys(&mut self, token: Epoch) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        true
    }

    pub fn extend(&mut self, now: u64, deadline: u64) {
        let most = self.clock(now) + MAX_LEASE;
        self.lease_end = self.lease_end.max(deadline.min(most));
    }

    pub fn start(&mut self, now: u64, task: Task, busy: Busy, deadline: u64) -> Outcome {
        if deadline < self.clock(now) {
            return Outcome::Late;
        }
        self.extend(now, deadline);
        if self.busy.get(&task).is_some_and(|old| old.run == busy.run) {
            return Outcome::Done;
        }
        let is_old = self
            .ended_runs
            .get(&task)
            .is_some_and(|old| *old >= busy.run);
        if is_old || self.busy.contains_key(&task) {
            return Outcome::Old;
        }
        self.busy.insert(task, busy);
        Outcome::Done
    }

    pub fn stop(&mut self, now: u64, task: Task, run: Run) -> Outcome {
        match self.busy.get_mut(&task) {
            Some(busy) if busy.run == run => {
                if busy.ends_at > now + STOP_GRACE {
                    busy.ends_at = now + STOP_GRACE;
                    busy.termination = Termination::Stopped;
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
        self.busy
            .iter()
            .map(|(task, busy)| Running {
                task: *task,
                run: busy.run,
                checkpoint: None,
                percent: 0,
                measurement: 0,
            })
            .collect()
    }
}
