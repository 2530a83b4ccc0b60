//! The registrations of the workers, and the faults that concern them.

use super::*;

impl World {
    /// Sends the leader the current registration of a worker.
    pub fn update_registration(&mut self, worker: &Name) {
        let state = &self.workers[worker];
        let registration = Registration {
            service: name("service"),
            address: Arc::from(format!("10.0.0.1:{}", self.moves.get(worker).unwrap_or(&0))),
            domain: name("d"),
            size: self.listed_sizes.get(worker).copied().unwrap_or(state.size),
            labels: vec![name("r0")],
            incarnation: state.incarnation,
            is_draining: self.draining.contains(worker),
        };
        let registration = (!self.unregistered.contains(worker)).then_some(registration);
        self.handle_event(Event::RegistrationChanged(worker.clone(), registration));
    }

    /// Changes the capacity of a worker, which the store lists after at most one interval.
    pub fn resize(&mut self, worker: &Name, size: Size) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let former = std::mem::replace(&mut state.size, size);
        self.log(&format!("resize worker={worker} size={size:?}"));
        self.listed_sizes.entry(worker.clone()).or_insert(former);
        let formers = self.former_sizes.entry(worker.clone()).or_default();
        formers.push((self.now, former));
        let delay = self.random.random_range(0..REGISTRATION_INTERVAL_MS);
        self.enqueue(self.now + delay, Delivery::Resized(worker.clone()));
    }

    pub(super) fn list_size(&mut self, worker: &Name) {
        let size = self.workers[worker].size;
        self.listed_sizes.insert(worker.clone(), size);
        self.update_registration(worker);
    }

    /// Returns the capacity that counts for a start that was ordered at this time: a larger one of
    /// before still counts for [`SHRINK_GRACE_MS`].
    pub(super) fn counted_size(&self, worker: &Name, ordered: u64) -> Size {
        let formers = self.former_sizes.get(worker).into_iter().flatten();
        let recent = formers.filter(|(changed, _)| changed + SHRINK_GRACE_MS >= ordered);
        recent.fold(self.workers[worker].size, |size, (_, former)| {
            size.max(*former)
        })
    }

    /// Returns the step of a task as it was submitted.
    pub(super) fn step_of(&self, task: Task) -> &spec::Step {
        &self.jobs[&task.step.job].1.spec.steps[usize::from(task.step.step)]
    }

    /// Lists a worker at another address, without a restart.
    pub fn move_address(&mut self, worker: &Name) {
        *self.moves.entry(worker.clone()).or_default() += 1;
        self.update_registration(worker);
    }

    /// Sets a worker to draining.
    pub fn drain(&mut self, worker: &Name) {
        self.draining.insert(worker.clone());
        self.update_registration(worker);
    }

    pub fn remove_registration(&mut self, worker: &Name) {
        self.unregistered.insert(worker.clone());
        self.update_registration(worker);
    }

    /// Lists a worker again.
    pub fn restore_registration(&mut self, worker: &Name) {
        self.unregistered.remove(worker);
        self.update_registration(worker);
    }

    /// Restarts a worker, which loses all its runs.
    pub fn crash(&mut self, worker: &Name, down: u64) {
        let size = self.workers[worker].size;
        let mut fresh = Worker::new(size, self.now);
        fresh.up_since = self.now + down;
        fresh.unreachable_until = fresh.up_since;
        self.log(&format!("crash worker={worker} ms={down}"));
        self.count_crash(worker);
        self.workers.insert(worker.clone(), fresh);
        self.update_registration(worker);
    }

    /// Cuts a worker off from one entry while its runs continue.
    pub fn cut(&mut self, entry: &Name, worker: &Name, time: u64) {
        self.log(&format!("cut entry={entry} worker={worker} ms={time}"));
        let pair = (entry.clone(), worker.clone());
        self.cuts.insert(pair, self.now + time);
    }

    /// Returns whether a call of this entry reaches the worker. A late call waits at the worker
    /// until it is carried out, so that no cut holds it up.
    pub(super) fn is_reachable(&self, entry: &Name, worker: &Name, sent: u64) -> bool {
        if self.calls_end_with_workers && sent < self.workers[worker].up_since {
            return false;
        }
        let is_late = self.now - sent >= MIN_LATE_MS;
        let cut = self.cuts.get(&(entry.clone(), worker.clone()));
        let is_cut = cut.is_some_and(|until| *until > self.now);
        let state = &self.workers[worker];
        let is_up = state.unreachable_until <= self.now;
        is_up && !is_cut || is_late && (is_up || state.is_partitioned)
    }

    /// Cuts a worker off from all agents while its runs continue.
    pub fn partition(&mut self, worker: &Name, time: u64) {
        let until = self.now + time;
        self.log(&format!("partition worker={worker} ms={time}"));
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.unreachable_until = until;
            worker.is_partitioned = true;
        }
    }
}
