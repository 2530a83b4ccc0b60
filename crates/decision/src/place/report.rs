//! Reports of workers: how they change the states of tasks and what is booked.

use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::Signal;
use super::ledger::piece::Key;
use super::ledger::worker::Worker;
use crate::name::Name;
use crate::resource::Size;
use crate::task::Any;
use crate::task::Reason;
use crate::task::Running;
use crate::vm;
use crate::vm::Vm;
use crate::worker;
use crate::worker::Epoch;
use crate::worker::Report;
use crate::worker::State;
use crate::worker::Verb;

impl Ledger {
    /// Adds or updates a worker that accepted this entry's epoch, or reported again under it.
    pub(super) fn adopt_worker(&mut self, vm: Vm, epoch: Epoch, report: &Report) {
        let index = match self.worker_by_vm.get(&vm.name) {
            Some(&index) => index,
            None => self.add_worker(vm.clone(), epoch, report.capacity),
        };
        let worker = self.worker_mut(index);
        if epoch < worker.epoch {
            return;
        }
        worker.epoch = epoch;
        worker.fenced = false;
        worker.leaving |= vm.state == vm::State::Leaving;
        if worker.unlisted.take().is_some() {
            self.unlisted.retain(|&other| other != index);
        }
        self.apply_report(index, report);
    }

    fn add_worker(&mut self, vm: Vm, epoch: Epoch, capacity: Size) -> u32 {
        let group = self.group(&vm.group);
        let index = u32::try_from(self.workers.len()).expect("there are fewer than 2^32 workers");
        self.worker_by_vm.insert(vm.name.clone(), index);
        self.groups[group as usize].workers.insert(index);
        self.groups[group as usize].version += 1;
        self.workers.push(Some(Worker {
            leaving: vm.state == vm::State::Leaving,
            vm,
            group,
            epoch,
            capacity,
            service: Size::ZERO,
            busy: 0,
            booked: Size::ZERO,
            tasks: Vec::new(),
            kinds: Vec::new(),
            extra: Vec::new(),
            fenced: false,
            unresponsive: false,
            unlisted: None,
            acks: Vec::new(),
            ack_in_flight: false,
        }));
        index
    }

    /// Applies a report of a known worker.
    pub(super) fn apply_report(&mut self, index: u32, report: &Report) {
        let worker = self.worker_mut(index);
        if report.epoch < worker.epoch {
            return;
        }
        worker.unresponsive = false;
        worker.busy = report.busy;
        worker.service = report.service;
        let resized = worker.capacity != report.capacity;
        worker.capacity = report.capacity;
        let group = worker.group as usize;
        self.take_extras(index);
        self.groups[group].holders.remove(&index);
        if resized {
            self.groups[group].version += 1;
        }
        let mut reported_keys = Vec::with_capacity(report.tasks.len());
        for task in &report.tasks {
            if let Some(key) = self.find_in_group(group, &task.name) {
                if self.observe(index, key, task) {
                    reported_keys.push(key);
                }
            } else {
                self.add_extra(index, task.clone());
            }
        }
        self.check_missing(index, &reported_keys);
        self.signals.push(Signal::Room(index));
        self.signals.push(Signal::Reported(index));
    }

    /// Returns the held task of this name, if its piece belongs to the group. A worker of another
    /// group can run such a task only for an owner that was not fenced; the attempt is then counted
    /// among the extra attempts of that worker.
    pub(super) fn find_in_group(&self, group: usize, task: &Name) -> Option<Key> {
        let key = self.find_task(task)?;
        (self.piece(key.piece).group as usize == group).then_some(key)
    }

    /// Applies one reported attempt of a held task. Returns whether it is the current attempt.
    pub(super) fn observe(&mut self, index: u32, key: Key, reported: &worker::Task) -> bool {
        let current = self.clone_task(key);
        let booked = current.booking();
        let is_current = booked
            .is_some_and(|booking| booking.worker == index && booking.attempt == reported.attempt);
        match (current, reported.state) {
            (Any::Starting(task), State::Running) if is_current => {
                let running = task.confirm(reported, self.now);
                self.set_running(key, Any::Running(running));
            }
            (_, State::Running) if is_current => self.update_run(index, key, reported),
            (current, State::Running) if current.is_waiting() => {
                self.adopt_running(index, key, current, reported);
            }
            (_, State::Running) => self.stop_extra(index, reported),
            (_, State::Completed) => self.complete_task(index, key, booked, reported),
            (current, state) => self.end_attempt(index, key, current, is_current, reported, state),
        }
        is_current
    }

    fn set_running(&mut self, key: Key, running: Any) {
        self.set_task(key, running);
        let cancelled = self.piece(key.piece).cancelled;
        if cancelled {
            self.stop(key, Reason::Cancelled);
        }
    }

    fn adopt_running(&mut self, index: u32, key: Key, current: Any, reported: &worker::Task) {
        if let Some(history) = current.into_history() {
            if history.last_ended >= reported.attempt {
                // This attempt has already ended: the report or a repeated start arrived late.
                return self.stop_extra(index, reported);
            }
            let running = history.discover(index, reported, self.now);
            self.set_running(key, Any::Running(running));
        }
    }

    fn update_run(&mut self, index: u32, key: Key, reported: &worker::Task) {
        if let Some(run) = self.task_mut(key).run_mut() {
            run.update(reported);
        }
        if let Any::Evicting(task) = self.task_mut(key)
            && !task.state.awaited
        {
            task.state.awaited = true;
            let reason = task.state.reason;
            self.send_stop(index, key, reported.attempt, reason);
        }
    }

    /// Handles the tasks booked on a worker that its report lacks.
    fn check_missing(&mut self, index: u32, reported_keys: &[Key]) {
        let booked = self.worker(index).tasks.clone();
        for key in booked
            .into_iter()
            .filter(|key| !reported_keys.contains(key))
        {
            match self.clone_task(key) {
                Any::Starting(task) if !task.state.awaited => self.retry_start(key, task),
                Any::Running(task) => self.query_task(index, key, task.state),
                Any::Evicting(task) if !task.state.awaited => {
                    let attempt = task.state.run.booking.attempt;
                    let reason = task.state.reason;
                    if let Any::Evicting(task) = self.task_mut(key) {
                        task.state.awaited = true;
                    }
                    self.send_stop(index, key, attempt, reason);
                }
                _ => {}
            }
        }
    }

    /// Queries the worker for a running task that its report lacks, by repeating the throttle. The
    /// report may be older than the start, so that only the answer to a later command proves that
    /// the attempt has ended.
    fn query_task(&mut self, index: u32, key: Key, run: Running) {
        if run.missing || !self.may_command(index) {
            return;
        }
        if let Some(run) = self.task_mut(key).run_mut() {
            run.missing = true;
        }
        let verb = Verb::Throttle {
            task: self.task_name(key),
            share: run.share,
        };
        self.command(index, verb, Purpose::Throttle(key, run.booking.attempt));
    }
}
