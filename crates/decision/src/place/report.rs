//! Taking in what workers report.

use super::Order;
use super::ledger::Ack;
use super::ledger::Call;
use super::ledger::Key;
use super::ledger::Ledger;
use super::ledger::Signal;
use super::ledger::Worker;
use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::task;
use crate::task::Any;
use crate::task::Booking;
use crate::task::LAPSE;
use crate::task::Running;
use crate::task::Why;
use crate::timeline::Kind;
use crate::vm;
use crate::vm::Vm;
use crate::worker;
use crate::worker::Epoch;
use crate::worker::Report;
use crate::worker::State;
use crate::worker::Verb;

impl Ledger {
    /// A worker accepted our epoch, or reported again under it.
    pub(super) fn adopted(&mut self, vm: Vm, epoch: Epoch, report: &Report) {
        let index = match self.vms.get(&vm.name) {
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
        if worker.gone.take().is_some() {
            self.gone.retain(|&other| other != index);
        }
        self.take_report(index, report);
    }

    fn add_worker(&mut self, vm: Vm, epoch: Epoch, capacity: Size) -> u32 {
        let group = self.group(&vm.group);
        let index = u32::try_from(self.workers.len()).expect("workers fit in an index");
        self.vms.insert(vm.name.clone(), index);
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
            silent: false,
            gone: None,
            acks: Vec::new(),
            acking: false,
        }));
        index
    }

    /// Takes in a report of a known worker.
    pub(super) fn take_report(&mut self, index: u32, report: &Report) {
        let worker = self.worker_mut(index);
        if report.epoch < worker.epoch {
            return;
        }
        worker.silent = false;
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
        let mut seen = Vec::with_capacity(report.tasks.len());
        for task in &report.tasks {
            if let Some(key) = self.find_in(group, &task.name) {
                if self.observe(index, key, task) {
                    seen.push(key);
                }
            } else {
                self.keep_extra(index, task.clone());
            }
        }
        self.look_for_missing(index, &seen);
        self.signals.push(Signal::Room(index));
        self.signals.push(Signal::Reported(index));
    }

    /// A held task of a group. A worker of another group can have it only from an owner that was not
    /// fenced; it holds room there and is booked nowhere.
    fn find_in(&self, group: usize, task: &Name) -> Option<Key> {
        let key = self.find(task)?;
        (self.piece(key.piece).group as usize == group).then_some(key)
    }

    pub(super) fn keep_extra(&mut self, index: u32, task: worker::Task) {
        let worker = self.worker_mut(index);
        if task.state == State::Running {
            worker.booked = worker.booked.plus(task.grant);
        }
        worker.extra.push(task);
        let group = worker.group as usize;
        self.groups[group].holders.insert(index);
    }

    /// Takes attempts of a new piece out of what its workers reported before it arrived.
    pub(super) fn attach(&mut self, group: u32) {
        let holders = std::mem::take(&mut self.groups[group as usize].holders);
        for index in holders {
            let worker = self.worker_mut(index);
            let extra = std::mem::take(&mut worker.extra);
            worker.booked = worker.booked.minus(running_grants(&extra));
            for task in extra {
                if let Some(key) = self.find_in(group as usize, &task.name) {
                    self.observe(index, key, &task);
                } else {
                    self.keep_extra(index, task);
                }
            }
            self.signals.push(Signal::Room(index));
        }
    }

    /// Takes in one reported attempt of a held task. Returns whether it is the current attempt.
    fn observe(&mut self, index: u32, key: Key, seen: &worker::Task) -> bool {
        let current = self.copy(key);
        let booked = current.booking();
        let here = booked
            .is_some_and(|booking| booking.worker == index && booking.attempt == seen.attempt);
        match (current, seen.state) {
            (Any::Starting(task), State::Running) if here => {
                let running = task.confirm(seen, self.now);
                self.run(key, Any::Running(running));
            }
            (_, State::Running) if here => self.refresh(index, key, seen),
            (current, State::Running) if current.waits() => {
                self.find_running(index, key, current, seen);
            }
            (_, State::Running) => self.stray(index, seen),
            (_, State::Completed) => self.complete(index, key, booked, seen),
            (current, state) => self.end(index, key, current, here, seen, state),
        }
        here
    }

    fn run(&mut self, key: Key, running: Any) {
        self.put(key, running);
        let cancelled = self.piece(key.piece).cancelled;
        if cancelled {
            self.stop(key, Why::Cancelled);
        }
    }

    fn find_running(&mut self, index: u32, key: Key, current: Any, seen: &worker::Task) {
        if let Some(history) = history(current) {
            if history.settled >= seen.attempt {
                // The end of this attempt is known: the report is late, or a late start arrived.
                return self.stray(index, seen);
            }
            let running = history.found(index, seen, self.now);
            self.run(key, Any::Running(running));
        }
    }

    fn refresh(&mut self, index: u32, key: Key, seen: &worker::Task) {
        if let Some(run) = self.slot(key).run_mut() {
            run.see(seen);
        }
        if let Any::Evicting(task) = self.slot(key)
            && !task.state.awaited
        {
            task.state.awaited = true;
            let why = task.state.why;
            self.send_stop(index, key, seen.attempt, why);
        }
    }

    /// Stops an attempt that should not run, and keeps its resources booked.
    fn stray(&mut self, index: u32, seen: &worker::Task) {
        self.keep_extra(index, seen.clone());
        let asked = self.calls.values().any(|(worker, call)| {
            *worker == index && matches!(call, Call::Stray(name) if *name == seen.name)
        });
        if !asked && self.may_command(index) {
            let verb = Verb::Stop {
                task: seen.name.clone(),
                attempt: seen.attempt,
                checkpoint: None,
            };
            self.command(index, verb, Call::Stray(seen.name.clone()));
        }
    }

    fn complete(&mut self, index: u32, key: Key, booked: Option<Booking>, seen: &worker::Task) {
        let doubt = self.slot(key).history().and_then(|history| history.doubt);
        let fresh = !self.slot(key).ended();
        if fresh {
            let elsewhere = booked.filter(|booking| booking.worker != index);
            self.put(key, Any::Done);
            self.note(
                Kind::TaskDone,
                &seen.name,
                Some(index),
                "reported by the worker",
            );
            let booking = booked.filter(|booking| booking.worker == index);
            let booking = booking.unwrap_or(Booking {
                worker: index,
                attempt: seen.attempt,
                grant: seen.grant,
            });
            self.signals
                .push(Signal::Completed(key, booking, seen.clone()));
            if let Some(other) = elsewhere {
                self.stop_superseded(key, other);
            }
        }
        self.settle(index, key, seen, doubt, fresh);
    }

    /// Stops an attempt whose task is done elsewhere. Its resources stay booked until a report
    /// shows that it has ended.
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
        self.keep_extra(other.worker, held);
        if self.may_command(other.worker) {
            let verb = Verb::Stop {
                task: task.clone(),
                attempt: other.attempt,
                checkpoint: None,
            };
            self.command(other.worker, verb, Call::Stray(task));
        }
    }

    /// Takes in an attempt that failed or was stopped.
    fn end(
        &mut self,
        index: u32,
        key: Key,
        current: Any,
        here: bool,
        seen: &worker::Task,
        state: State,
    ) {
        let doubt = current.history().and_then(|history| history.doubt);
        let unsettled = current
            .history()
            .is_some_and(|history| history.settled < seen.attempt);
        let newest = current
            .history()
            .is_some_and(|history| history.attempt <= seen.attempt);
        let fresh = unsettled && (here || (current.waits() && newest));
        if fresh {
            match state {
                State::Failed(fault) => self.fail(index, key, current, seen, fault),
                _ => self.stopped(key, current, seen),
            }
        } else if state == State::Stopped && seen.saved > Ms::ZERO {
            self.learn_checkpoint(key, seen);
        }
        self.settle(index, key, seen, doubt, fresh);
    }

    /// An earlier attempt left a checkpoint that the stored record may lack.
    fn learn_checkpoint(&mut self, key: Key, seen: &worker::Task) {
        let task = self.task_name(key);
        if let Some(history) = self.history_mut(key)
            && history.settled < seen.attempt
            && history.checkpoint.is_none()
        {
            history.settled = seen.attempt;
            history.save(task::checkpoint(&task, seen.attempt), false);
            self.changed(key.piece);
        }
    }

    fn fail(
        &mut self,
        index: u32,
        key: Key,
        current: Any,
        seen: &worker::Task,
        fault: worker::Fault,
    ) {
        let booking = current.booking().unwrap_or(Booking {
            worker: index,
            attempt: seen.attempt,
            grant: seen.grant,
        });
        if matches!(&current, Any::Evicting(task) if task.state.why == Why::Cancelled) {
            return self.put(key, Any::Cancelled);
        }
        let next = self.interrupted(key, current, seen);
        self.put_quietly(key, next);
        if self.slot(key).waits() {
            self.signals
                .push(Signal::Failed(key, booking, fault, seen.clone()));
        }
    }

    /// The state after an attempt ended at its last checkpoint.
    fn interrupted(&self, key: Key, current: Any, seen: &worker::Task) -> Any {
        let task = self.task_name(key);
        let mut next = match current {
            Any::Starting(start) => start.confirm(seen, self.now).interrupt(&task),
            Any::Running(mut run) => {
                run.state.see(seen);
                run.interrupt(&task)
            }
            Any::Evicting(evict) => {
                let mut run = evict.spare();
                run.state.see(seen);
                run.interrupt(&task)
            }
            waiting => match history(waiting) {
                Some(history) => history.found(0, seen, self.now).interrupt(&task),
                None => Any::Failed,
            },
        };
        if let Some(history) = next.history_mut() {
            history.settled = seen.attempt;
            history.attempt = history.attempt.max(seen.attempt);
        }
        next
    }

    /// An attempt was stopped by us, by an owner before us, or by the lapse of its lease.
    fn stopped(&mut self, key: Key, current: Any, seen: &worker::Task) {
        let task = self.task_name(key);
        let saved = seen.saved == seen.progress && seen.saved > Ms::ZERO;
        let mut next = match current {
            Any::Evicting(mut evict) => {
                evict.state.run.see(seen);
                evict.stop(&task, seen.saved == seen.progress)
            }
            waiting if waiting.waits() && saved => self.evicted_before(&task, waiting, seen),
            other => self.interrupted(key, other, seen),
        };
        if let Some(history) = next.history_mut() {
            history.settled = seen.attempt;
            history.attempt = history.attempt.max(seen.attempt);
        }
        self.put(key, next);
    }

    /// An eviction by an owner before us: its checkpoint probably exists, but is not stored.
    fn evicted_before(&self, task: &Name, waiting: Any, seen: &worker::Task) -> Any {
        let Some(mut history) = history(waiting) else {
            return Any::Failed;
        };
        let key = task::checkpoint(task, seen.attempt);
        if history.checkpoint.as_deref() != Some(&key) {
            history.evictions += 1;
            history.save(key, false);
        }
        history.wait()
    }

    /// Has an ended attempt acknowledged once what it changed is stored.
    fn settle(
        &mut self,
        index: u32,
        key: Key,
        seen: &worker::Task,
        doubt: Option<Ms>,
        fresh: bool,
    ) {
        let known =
            |ack: &Ack| ack.worker == index && ack.task == key.task && ack.attempt == seen.attempt;
        if self.piece(key.piece).acks.iter().any(known) {
            return;
        }
        let after = doubt.map_or(self.now, |doubt| doubt + LAPSE);
        let open = !self.slot(key).ended();
        let change = if fresh || open {
            self.changed(key.piece)
        } else {
            self.piece(key.piece).change
        };
        self.to_ack.push(key.piece);
        self.piece_mut(key.piece).acks.push(Ack {
            worker: index,
            task: key.task,
            attempt: seen.attempt,
            change,
            after,
        });
    }

    /// Tasks booked here that the worker does not show.
    fn look_for_missing(&mut self, index: u32, seen: &[Key]) {
        let booked = self.worker(index).tasks.clone();
        for key in booked.into_iter().filter(|key| !seen.contains(key)) {
            match self.copy(key) {
                Any::Starting(task) if !task.state.awaited => self.retry_start(key, task),
                Any::Running(task) => self.ask(index, key, task.state),
                Any::Evicting(task) if !task.state.awaited => {
                    let attempt = task.state.run.booking.attempt;
                    let why = task.state.why;
                    if let Any::Evicting(task) = self.slot(key) {
                        task.state.awaited = true;
                    }
                    self.send_stop(index, key, attempt, why);
                }
                _ => {}
            }
        }
    }

    /// Asks for a running task that a report lacks. The report may have been made before the
    /// start, so only an answer to a later command proves that the task is gone.
    fn ask(&mut self, index: u32, key: Key, run: Running) {
        if run.missing || !self.may_command(index) {
            return;
        }
        if let Some(run) = self.slot(key).run_mut() {
            run.missing = true;
        }
        let verb = Verb::Throttle {
            task: self.task_name(key),
            share: run.share,
        };
        self.command(index, verb, Call::Throttle(key, run.booking.attempt));
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

/// What attempts outside the held tasks hold.
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
