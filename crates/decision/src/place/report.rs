//! Reports of workers: how they change the states of tasks and what is booked.

use super::Order;
use super::ledger::Ack;
use super::ledger::Key;
use super::ledger::Ledger;
use super::ledger::Purpose;
use super::ledger::Signal;
use super::ledger::Worker;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::Booking;
use crate::task::LEASE_EXPIRY;
use crate::task::Reason;
use crate::task::Running;
use crate::timeline::Kind;
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
        let extra = std::mem::take(&mut worker.extra);
        worker.booked = worker.booked.minus(running_grants(&extra));
        let group = worker.group as usize;
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
    fn find_in_group(&self, group: usize, task: &Name) -> Option<Key> {
        let key = self.find_task(task)?;
        (self.piece(key.piece).group as usize == group).then_some(key)
    }

    pub(super) fn add_extra(&mut self, index: u32, task: worker::Task) {
        let worker = self.worker_mut(index);
        if task.state == State::Running {
            worker.booked = worker.booked.plus(task.grant);
        }
        worker.extra.push(task);
        let group = worker.group as usize;
        self.groups[group].holders.insert(index);
    }

    /// Matches the extra attempts that workers of a group reported earlier with the tasks of a new
    /// piece.
    pub(super) fn attach_extras(&mut self, group: u32) {
        let holders = std::mem::take(&mut self.groups[group as usize].holders);
        for index in holders {
            let worker = self.worker_mut(index);
            let extra = std::mem::take(&mut worker.extra);
            worker.booked = worker.booked.minus(running_grants(&extra));
            for task in extra {
                if let Some(key) = self.find_in_group(group as usize, &task.name) {
                    self.observe(index, key, &task);
                } else {
                    self.add_extra(index, task);
                }
            }
            self.signals.push(Signal::Room(index));
        }
    }

    /// Applies one reported attempt of a held task. Returns whether it is the current attempt.
    fn observe(&mut self, index: u32, key: Key, reported: &worker::Task) -> bool {
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
        if let Some(history) = history(current) {
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

    /// Stops an attempt that should not run. Its resources stay booked until a report lacks it.
    fn stop_extra(&mut self, index: u32, reported: &worker::Task) {
        self.add_extra(index, reported.clone());
        let is_stopping = self.in_flight.values().any(|(worker, purpose)| {
            *worker == index
                && matches!(purpose, Purpose::StopExtra(name) if *name == reported.name)
        });
        if !is_stopping && self.may_command(index) {
            let verb = Verb::Stop {
                task: reported.name.clone(),
                attempt: reported.attempt,
                checkpoint: None,
            };
            self.command(index, verb, Purpose::StopExtra(reported.name.clone()));
        }
    }

    fn complete_task(
        &mut self,
        index: u32,
        key: Key,
        booked: Option<Booking>,
        reported: &worker::Task,
    ) {
        let unanswered_at = self
            .task_mut(key)
            .history()
            .and_then(|history| history.unanswered_at);
        let is_new = !self.task_mut(key).has_ended();
        if is_new {
            let elsewhere = booked.filter(|booking| booking.worker != index);
            self.set_task(key, Any::Done);
            self.record_event(
                Kind::TaskDone,
                &reported.name,
                Some(index),
                "reported by the worker",
            );
            let booking = booked.filter(|booking| booking.worker == index);
            let booking = booking.unwrap_or(Booking {
                worker: index,
                attempt: reported.attempt,
                grant: reported.grant,
            });
            self.signals
                .push(Signal::Completed(key, booking, reported.clone()));
            if let Some(other) = elsewhere {
                self.stop_superseded(key, other);
            }
        }
        self.schedule_ack(index, key, reported, unanswered_at, is_new);
    }

    /// Stops the booked attempt of a task that another worker has completed. Its resources stay
    /// booked until a report shows that it has ended.
    fn stop_superseded(&mut self, key: Key, other: Booking) {
        let task = self.task_name(key);
        let held = worker::Task {
            name: task.clone(),
            attempt: other.attempt,
            kind: self.piece(key.piece).job.kind.clone(),
            grant: other.grant,
            used: Size::ZERO,
            progress: Ms::ZERO,
            saved: Ms::ZERO,
            throttle: 100,
            state: State::Running,
        };
        self.add_extra(other.worker, held);
        if self.may_command(other.worker) {
            let verb = Verb::Stop {
                task: task.clone(),
                attempt: other.attempt,
                checkpoint: None,
            };
            self.command(other.worker, verb, Purpose::StopExtra(task));
        }
    }

    /// Handles the reported end of an attempt that failed or was stopped.
    fn end_attempt(
        &mut self,
        index: u32,
        key: Key,
        current: Any,
        is_current: bool,
        reported: &worker::Task,
        state: State,
    ) {
        let unanswered_at = current.history().and_then(|history| history.unanswered_at);
        let is_unrecorded = current
            .history()
            .is_some_and(|history| history.last_ended < reported.attempt);
        let is_newest = current
            .history()
            .is_some_and(|history| history.attempt <= reported.attempt);
        let is_new = is_unrecorded && (is_current || (current.is_waiting() && is_newest));
        if is_new {
            match state {
                State::Failed(fault) => self.fail_attempt(index, key, current, reported, fault),
                _ => self.stop_attempt(key, current, reported),
            }
        } else if state == State::Stopped && reported.saved > Ms::ZERO {
            self.adopt_unrecorded_checkpoint(key, reported);
        }
        self.schedule_ack(index, key, reported, unanswered_at, is_new);
    }

    /// Adopts the checkpoint of an earlier attempt that the stored record may lack.
    fn adopt_unrecorded_checkpoint(&mut self, key: Key, reported: &worker::Task) {
        let task = self.task_name(key);
        if let Some(history) = self.history_mut(key)
            && history.last_ended < reported.attempt
            && history.checkpoint.is_none()
        {
            history.last_ended = reported.attempt;
            history.set_checkpoint(task::checkpoint_key(&task, reported.attempt), false);
            self.mark_changed(key.piece);
        }
    }

    fn fail_attempt(
        &mut self,
        index: u32,
        key: Key,
        current: Any,
        reported: &worker::Task,
        fault: worker::Fault,
    ) {
        let booking = current.booking().unwrap_or(Booking {
            worker: index,
            attempt: reported.attempt,
            grant: reported.grant,
        });
        if matches!(&current, Any::Evicting(task) if task.state.reason == Reason::Cancelled) {
            return self.set_task(key, Any::Cancelled);
        }
        let next = self.interrupted(key, current, reported);
        self.set_task_silently(key, next);
        if self.task_mut(key).is_waiting() {
            self.signals
                .push(Signal::Failed(key, booking, fault, reported.clone()));
        }
    }

    /// Returns the state of a task whose attempt ended at its last checkpoint.
    fn interrupted(&self, key: Key, current: Any, reported: &worker::Task) -> Any {
        let task = self.task_name(key);
        let mut next = match current {
            Any::Starting(start) => start.confirm(reported, self.now).interrupt(&task),
            Any::Running(mut run) => {
                run.state.update(reported);
                run.interrupt(&task)
            }
            Any::Evicting(evict) => {
                let mut run = evict.abort_eviction();
                run.state.update(reported);
                run.interrupt(&task)
            }
            waiting => match history(waiting) {
                Some(history) => history.discover(0, reported, self.now).interrupt(&task),
                None => Any::Failed,
            },
        };
        if let Some(history) = next.history_mut() {
            history.last_ended = reported.attempt;
            history.attempt = history.attempt.max(reported.attempt);
        }
        next
    }

    /// Handles an attempt that was stopped by this entry, by a former owner, or because its lease
    /// expired.
    fn stop_attempt(&mut self, key: Key, current: Any, reported: &worker::Task) {
        let task = self.task_name(key);
        let saved = reported.saved == reported.progress && reported.saved > Ms::ZERO;
        let mut next = match current {
            Any::Evicting(mut evict) => {
                evict.state.run.update(reported);
                evict.stop(&task, reported.saved == reported.progress)
            }
            waiting if waiting.is_waiting() && saved => {
                self.adopt_earlier_eviction(&task, waiting, reported)
            }
            other => self.interrupted(key, other, reported),
        };
        if let Some(history) = next.history_mut() {
            history.last_ended = reported.attempt;
            history.attempt = history.attempt.max(reported.attempt);
        }
        self.set_task(key, next);
    }

    /// Returns the state of a task that a former owner evicted. The checkpoint was probably
    /// written, but the stored record may lack it.
    fn adopt_earlier_eviction(&self, task: &Name, waiting: Any, reported: &worker::Task) -> Any {
        let Some(mut history) = history(waiting) else {
            return Any::Failed;
        };
        let key = task::checkpoint_key(task, reported.attempt);
        if history.checkpoint.as_deref() != Some(&key) {
            history.evictions += 1;
            history.set_checkpoint(key, false);
        }
        history.into_waiting()
    }

    /// Schedules the acknowledgement of an ended attempt for when the change of the piece is stored
    /// and no late start of the attempt can arrive any more.
    fn schedule_ack(
        &mut self,
        index: u32,
        key: Key,
        reported: &worker::Task,
        unanswered_at: Option<Ms>,
        is_new: bool,
    ) {
        let is_scheduled = |ack: &Ack| {
            ack.worker == index && ack.task == key.task && ack.attempt == reported.attempt
        };
        if self.piece(key.piece).acks.iter().any(is_scheduled) {
            return;
        }
        let not_before =
            unanswered_at.map_or(self.now, |unanswered_at| unanswered_at + LEASE_EXPIRY);
        let open = !self.task_mut(key).has_ended();
        let change = if is_new || open {
            self.mark_changed(key.piece)
        } else {
            self.piece(key.piece).change
        };
        self.pieces_to_ack.push(key.piece);
        self.piece_mut(key.piece).acks.push(Ack {
            worker: index,
            task: key.task,
            attempt: reported.attempt,
            change,
            not_before,
        });
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

    pub(super) fn may_command(&self, index: u32) -> bool {
        let worker = self.worker(index);
        worker.reachable() && !self.groups[worker.group as usize].caretaker
    }

    pub(super) fn order_stores(&mut self) {
        for index in std::mem::take(&mut self.dirty) {
            let Some(piece) = self.pieces[index as usize].as_mut() else {
                continue;
            };
            piece.queued = false;
            if piece.ordered.is_none() {
                piece.ordered = Some(piece.change);
                let name = piece.name.clone();
                self.order(Order::Store(name));
            }
        }
    }
}

/// Returns the sum of the grants of running attempts.
fn running_grants(tasks: &[worker::Task]) -> Size {
    let running = tasks.iter().filter(|task| task.state == State::Running);
    running.fold(Size::ZERO, |sum, task| sum.plus(task.grant))
}

fn history(task: Any) -> Option<task::History> {
    match task {
        Any::Pending(task) => Some(task.history),
        Any::Resuming(task) => Some(task.history),
        Any::Starting(task) => Some(task.history),
        Any::Running(task) => Some(task.history),
        Any::Evicting(task) => Some(task.history),
        Any::Done | Any::Cancelled | Any::Failed => None,
    }
}
