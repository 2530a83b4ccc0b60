//! Events that add, change or remove workers and pieces, and queries over all of them.

use std::sync::Arc;

use super::Event;
use super::Summary;
use super::ledger::Ledger;
use super::ledger::Signal;
use super::ledger::piece::Key;
use super::ledger::piece::Piece;
use crate::clock::Ms;
use crate::config::Checked;
use crate::name::Name;
use crate::operator::Progress;
use crate::piece;
use crate::resource::Size;
use crate::task::Any;
use crate::task::LEASE_EXPIRY;
use crate::task::Reason;
use crate::worker;

/// Maximum number of task cancellations processed in one tick, so that a burst of them does not
/// delay placement.
const MAX_CANCELS: usize = 500;

impl Ledger {
    /// Applies an event. Events that concern only the placement policy have no effect.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Config(config) => self.configure(config),
            Event::Adopted { vm, epoch, report } => self.adopt_worker(vm.clone(), *epoch, report),
            Event::Leaving(vm, leaving) => self.with_worker(vm, |ledger, index| {
                ledger.worker_mut(index).leaving = *leaving;
                ledger.signals.push(Signal::Room(index));
            }),
            Event::Unlisted(vm) => self.with_worker(vm, Self::mark_unlisted),
            Event::GroupLost(group) => self.remove_group(group),
            Event::Frozen(group, frozen) => {
                let index = self.group(group);
                let before = &mut self.groups[index as usize].frozen;
                if std::mem::replace(before, *frozen) != *frozen {
                    self.signal_group(index);
                }
            }
            Event::Fenced(vm) => self.with_worker(vm, Self::fence),
            Event::Caretaker(group, only) => {
                let index = self.group(group);
                let before = &mut self.groups[index as usize].caretaker;
                if std::mem::replace(before, *only) != *only {
                    self.signal_group(index);
                }
            }
            Event::Piece { group, piece, old } => self.add_piece(group, piece, *old),
            Event::Moved(name) => self.remove_piece(name),
            Event::Cancel(job) => self.cancel(job),
            Event::Stored(name) => self.confirm_store(name),
            Event::Ended(id, outcome) => self.handle_command_end(*id, outcome),
            Event::HeldElsewhere(_) | Event::Measured { .. } => {}
            Event::Tick => self.tick(),
        }
    }

    fn with_worker(&mut self, vm: &Name, act: impl FnOnce(&mut Self, u32)) {
        if let Some(&index) = self.worker_by_vm.get(vm) {
            act(self, index);
        }
    }

    fn configure(&mut self, config: &Arc<Checked>) {
        self.config = Arc::clone(config);
        let services = config.document().services.iter();
        self.reserve = services.fold(Size::ZERO, |sum, service| sum.plus(service.reserved));
        for index in self.worker_indices() {
            self.signals.push(Signal::Room(index));
        }
        for group in &mut self.groups {
            group.version += 1;
        }
    }

    /// Returns the indices of all workers.
    #[must_use]
    pub fn worker_indices(&self) -> Vec<u32> {
        let workers = self.workers.iter().enumerate();
        let present = workers.filter(|(_, worker)| worker.is_some());
        present
            .filter_map(|(index, _)| u32::try_from(index).ok())
            .collect()
    }

    /// Signals all workers and waiting tasks of a group, so that the policy considers them again.
    fn signal_group(&mut self, group: u32) {
        let group = &self.groups[group as usize];
        let mut workers: Vec<u32> = group.workers.iter().copied().collect();
        let mut pieces: Vec<u32> = group.pieces.iter().copied().collect();
        workers.sort_unstable();
        pieces.sort_unstable();
        self.signals.extend(workers.into_iter().map(Signal::Room));
        for piece in pieces {
            self.signal_waiting(piece);
        }
    }

    fn signal_waiting(&mut self, piece: u32) {
        if !self.startable(piece) {
            return;
        }
        let tasks = self.piece(piece).tasks.iter().zip(0..);
        let waiting = tasks.filter(|(task, _)| task.is_waiting());
        let signals: Vec<_> = waiting
            .map(|(_, task)| Signal::Waiting(Key { piece, task }))
            .collect();
        self.signals.extend(signals);
    }

    fn mark_unlisted(&mut self, index: u32) {
        let now = self.now;
        let worker = self.worker_mut(index);
        if worker.unlisted.is_none() {
            worker.unlisted = Some(now);
            self.unlisted.push(index);
        }
        let group = self.worker(index).group as usize;
        self.groups[group].version += 1;
        self.signals.push(Signal::Room(index));
    }

    fn remove_group(&mut self, group: &Name) {
        let Some(&index) = self.group_by_name.get(group) else {
            return;
        };
        let group = &self.groups[index as usize];
        let mut pieces: Vec<Name> = group
            .pieces
            .iter()
            .map(|&piece| self.piece(piece).name.clone())
            .collect();
        let mut workers: Vec<u32> = group.workers.iter().copied().collect();
        pieces.sort_unstable();
        workers.sort_unstable();
        pieces.iter().for_each(|piece| self.remove_piece(piece));
        workers
            .into_iter()
            .for_each(|worker| self.remove_worker(worker));
        let group = &mut self.groups[index as usize];
        group.frozen = false;
        group.caretaker = false;
    }

    fn remove_worker(&mut self, index: u32) {
        self.signals.push(Signal::Removed(index));
        if let Some(worker) = self.workers[index as usize].take() {
            self.worker_by_vm.remove(&worker.vm.name);
            let group = &mut self.groups[worker.group as usize];
            group.workers.remove(&index);
            group.holders.remove(&index);
            group.version += 1;
        }
        self.unlisted.retain(|&other| other != index);
        self.in_flight.retain(|_, (worker, _)| *worker != index);
    }

    fn add_piece(&mut self, group: &Name, piece: &piece::Piece, old: bool) {
        if let Some(&held) = self.piece_by_name.get(&piece.name) {
            if piece.cancelled {
                self.cancel_piece(held);
            }
            return;
        }
        let group = self.group(group);
        let index = u32::try_from(self.pieces.len()).expect("there are fewer than 2^32 pieces");
        let records = piece.tasks.iter().cloned();
        self.pieces.push(Some(Piece {
            name: piece.name.clone(),
            group,
            job: piece.job.clone(),
            first: piece.first,
            tasks: records.map(Any::from).collect(),
            cancelled: false,
            old,
            change: 0,
            ordered: None,
            queued: false,
            stored: 0,
            acks: Vec::new(),
        }));
        self.piece_by_name.insert(piece.name.clone(), index);
        let job = self.jobs.entry(piece.job.name.clone()).or_default();
        job.push(index);
        self.groups[group as usize].pieces.insert(index);
        self.attach_extras(group);
        if piece.cancelled {
            self.cancel_piece(index);
        }
        self.signal_waiting(index);
    }

    /// Removes a piece. The resources that its tasks hold stay booked on their workers.
    fn remove_piece(&mut self, name: &Name) {
        let Some(index) = self.piece_by_name.remove(name) else {
            return;
        };
        let tasks = self.piece(index).tasks.iter().zip(0..);
        let booked: Vec<_> = tasks
            .filter_map(|(task, at)| Some((at, task.booking()?, task.run().copied())))
            .collect();
        for (task, booking, run) in booked {
            let key = Key { piece: index, task };
            let name = self.task_name(key);
            let kind = self.piece(index).job.kind.clone();
            self.unbook(key, booking);
            let task = worker::Task {
                name,
                attempt: booking.attempt,
                kind,
                grant: booking.grant,
                used: Size::ZERO,
                progress: run.map_or(Ms::ZERO, |run| run.progress),
                saved: run.map_or(Ms::ZERO, |run| run.saved),
                throttle: run.map_or(100, |run| run.share),
                state: worker::State::Running,
            };
            self.add_extra(booking.worker, task);
        }
        if let Some(piece) = self.pieces[index as usize].take() {
            self.groups[piece.group as usize].pieces.remove(&index);
            if let Some(pieces) = self.jobs.get_mut(&piece.job.name) {
                pieces.retain(|&other| other != index);
                if pieces.is_empty() {
                    self.jobs.remove(&piece.job.name);
                }
            }
        }
    }

    fn cancel(&mut self, job: &Name) {
        for index in self.jobs.get(job).cloned().unwrap_or_default() {
            self.cancel_piece(index);
        }
    }

    fn cancel_piece(&mut self, index: u32) {
        let piece = self.piece_mut(index);
        if piece.cancelled {
            return;
        }
        piece.cancelled = true;
        let open = piece.tasks.iter().zip(0..);
        let keys: Vec<Key> = open
            .filter(|(task, _)| !task.has_ended())
            .map(|(_, task)| Key { piece: index, task })
            .collect();
        self.cancels.extend(keys);
        self.mark_changed(index);
    }

    fn tick(&mut self) {
        let due = self.unlisted.iter().copied().filter(|&index| {
            let unlisted = self.worker(index).unlisted.unwrap_or(self.now);
            self.now >= self.last_unanswered_start(index, unlisted) + LEASE_EXPIRY
        });
        for index in due.collect::<Vec<_>>() {
            self.expire_worker(index);
            self.remove_worker(index);
        }
    }

    /// Processes the next cancellations; called after the placement of each tick.
    pub(crate) fn process_cancels(&mut self) {
        for _ in 0..MAX_CANCELS.min(self.cancels.len()) {
            if let Some(key) = self.cancels.pop_front()
                && self.task(key).is_some()
            {
                self.cancel_task(key);
            }
        }
    }

    fn cancel_task(&mut self, key: Key) {
        match self.clone_task(key) {
            Any::Pending(_) | Any::Resuming(_) => self.set_task(key, Any::Cancelled),
            Any::Running(_) => {
                self.stop(key, Reason::Cancelled);
                // No command may be sent to the worker now, so that the stop is tried again later.
                if matches!(self.task_mut(key), Any::Running(_)) {
                    self.cancels.push_back(key);
                }
            }
            Any::Evicting(mut task) => {
                task.state.reason = Reason::Cancelled;
                self.set_task(key, Any::Evicting(task));
            }
            Any::Starting(_) | Any::Done | Any::Cancelled | Any::Failed => {}
        }
    }

    /// Returns the progress of one job, or of all jobs in the order of their names.
    #[must_use]
    pub fn progress(&self, job: Option<&Name>) -> Vec<Progress> {
        let mut names: Vec<&Name> = match job {
            Some(name) => self
                .jobs
                .get_key_value(name)
                .map(|(k, _)| k)
                .into_iter()
                .collect(),
            None => self.jobs.keys().collect(),
        };
        names.sort_unstable();
        names
            .into_iter()
            .map(|name| self.job_progress(name))
            .collect()
    }

    fn job_progress(&self, name: &Name) -> Progress {
        let mut sum = Progress {
            job: name.clone(),
            pending: 0,
            running: 0,
            done: 0,
            cancelled: 0,
            failed: 0,
        };
        for &index in &self.jobs[name] {
            for task in &self.piece(index).tasks {
                match task {
                    Any::Pending(_) | Any::Resuming(_) => sum.pending += 1,
                    Any::Starting(_) | Any::Running(_) | Any::Evicting(_) => sum.running += 1,
                    Any::Done => sum.done += 1,
                    Any::Cancelled => sum.cancelled += 1,
                    Any::Failed => sum.failed += 1,
                }
            }
        }
        sum
    }

    /// Returns a summary of each worker; `quarantined` returns whether the worker at an index is.
    #[must_use]
    pub fn summaries(&self, quarantined: impl Fn(u32) -> bool) -> Vec<Summary> {
        let summary = |index: u32| {
            let worker = self.worker(index);
            let usable = self.placeable(index);
            let extra = worker.extra.iter();
            let running = extra.filter(|task| task.state == worker::State::Running);
            let tasks = worker.tasks.len() + running.count();
            Summary {
                vm: worker.vm.name.clone(),
                group: self.groups[worker.group as usize].name.clone(),
                booked: worker.booked,
                room: if usable {
                    worker.room(self.reserve)
                } else {
                    Size::ZERO
                },
                tasks: u32::try_from(tasks).unwrap_or(u32::MAX),
                quarantined: quarantined(index),
            }
        };
        self.worker_indices().into_iter().map(summary).collect()
    }

    /// Returns the resources that the tasks of each team hold, in the order of the teams' names.
    #[must_use]
    pub fn team_holdings(&self) -> Vec<(Name, Size)> {
        let holds = |(_, size): &(&Name, &Size)| **size != Size::ZERO;
        let held = self.held.iter().filter(holds);
        let mut held: Vec<_> = held.map(|(team, size)| (team.clone(), *size)).collect();
        held.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        held
    }
}
