//! The course of the simulation.

use super::*;

impl World {
    pub(super) fn handle_event(&mut self, event: Event) {
        self.handle_event_in(Epoch(self.epoch), event);
    }

    /// Passes an event to the leader of this epoch, which may have been replaced.
    pub(super) fn handle_event_in(&mut self, epoch: Epoch, event: Event) {
        let now = Ms(self.now);
        let replaced = self.replaced_leaders.iter_mut();
        let mut leaders = replaced
            .map(|(_, leader)| leader)
            .chain(self.leader.as_mut());
        let Some(leader) = leaders.find(|leader| leader.epoch() == epoch) else {
            return;
        };
        let actions = leader.handle(now, event);
        self.perform(epoch, actions);
    }

    fn perform(&mut self, epoch: Epoch, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(agent, order) => {
                    let order = Delivery::Order(agent, epoch, order);
                    self.enqueue(self.now + MESSAGE_DELAY_MS, order);
                }
                Action::Commit(commit) => self.commit(epoch, commit),
                Action::Advise(step, workers) => {
                    let advice = Delivery::Advice(epoch, step, workers);
                    self.enqueue(self.now + ADVICE_DURATION_MS, advice);
                }
                Action::Log(line) => self.log(&format!("epoch={epoch} {line}")),
                Action::Resign(_) => self.enqueue(self.now, Delivery::Deposed(epoch)),
            }
        }
    }

    fn commit(&mut self, epoch: Epoch, commit: Commit) {
        // The store refuses the writes of a replaced leader, which cannot reach it.
        if epoch.0 != self.epoch {
            return;
        }
        let is_lost = !self.is_store_confirming || self.should_fail(self.faults.lost_commit);
        for (id, progress) in commit.progress {
            self.progress.insert(id, progress);
        }
        if let Some(fleet) = commit.fleet {
            self.fleet = fleet;
        }
        self.enqueue(
            self.now + COMMIT_DURATION_MS,
            Delivery::Commit(epoch, !is_lost),
        );
    }

    /// Runs the simulation until this time after [`START_MS`].
    pub fn run_until(&mut self, until: u64) {
        self.advance(START_MS + until);
    }

    pub fn run_for(&mut self, time: u64) {
        self.advance(self.now + time);
    }

    fn advance(&mut self, until: u64) {
        while self.now < until {
            self.now += 1;
            self.advance_workers();
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            if self.now.is_multiple_of(TICK_INTERVAL_MS) {
                self.tick();
            }
            self.schedule();
        }
    }

    pub(super) fn epochs(&self) -> Vec<Epoch> {
        let replaced = self.replaced_leaders.iter().map(|(_, leader)| leader);
        let leaders = replaced.chain(&self.leader);
        leaders.map(Leader::epoch).collect()
    }

    fn tick(&mut self) {
        let epochs = self.epochs();
        for agent in self.agents.values_mut() {
            if agent.is_connected && epochs.contains(&agent.epoch) {
                agent.last_contact = self.now;
            }
        }
        for epoch in epochs {
            self.handle_event_in(epoch, Event::Tick(self.unix(epoch)));
        }
        if self.is_store_confirming {
            self.handle_event(Event::LeadConfirmed(Ms(self.now)));
        }
        self.check_early_releases();
    }

    fn schedule(&mut self) {
        let now = Ms(self.now);
        let replaced = self.replaced_leaders.iter_mut();
        let leaders = replaced
            .map(|(_, leader)| leader)
            .chain(self.leader.as_mut());
        let actions: Vec<(Epoch, Vec<Action>)> = leaders
            .map(|leader| (leader.epoch(), leader.schedule(now)))
            .collect();
        for (epoch, actions) in actions {
            self.perform(epoch, actions);
        }
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            if worker.unreachable_until > now && !worker.is_partitioned {
                continue;
            }
            if worker.unreachable_until <= now {
                worker.is_partitioned = false;
            }
            for (task, termination) in worker.advance(now) {
                match termination {
                    Termination::Done => drop(self.done.insert(task)),
                    Termination::Failed => *self.failures.entry(task).or_default() += 1,
                    _ => {}
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Order(agent, epoch, order) => self.handle_order(&agent, epoch, order),
            Delivery::Report(epoch, agent, report) => {
                self.handle_event_in(epoch, Event::Received(agent, report));
            }
            Delivery::Join(agent) => self.join(&agent),
            Delivery::Left(epoch, agent) => self.remove_agent(epoch, &agent),
            Delivery::Listed(epoch) if epoch.0 == self.epoch => self.update_registrations(),
            Delivery::Listed(_) => {}
            Delivery::Recovered(epoch) => self.recover_late(epoch),
            Delivery::Deposed(epoch) => self.depose(epoch),
            Delivery::Called(call) => self.deliver_call(call),
            Delivery::Crash(call) => self.crash_under(&call),
            Delivery::Expire(worker) => self.remove_registration(&worker),
            Delivery::Appear(worker) => self.appear(worker),
            Delivery::Outcome(call, outcome) => self.handle_outcome(call, outcome),
            Delivery::PollDue(agent, worker, watch) => self.send_regular_poll(agent, worker, watch),
            Delivery::PollNow(call) => self.send_extra_poll(&call),
            Delivery::Polled(poll) => self.deliver_poll(poll),
            Delivery::PollHeld(poll, incarnation) => self.answer_poll(poll, incarnation),
            Delivery::PollAnswered(poll, observation, clock) => {
                self.handle_poll_answer(&poll, observation, clock);
            }
            Delivery::PollTimedOut(poll) => self.handle_poll_timeout(&poll),
            Delivery::Advice(epoch, step, workers) => {
                if epoch.0 == self.epoch {
                    self.answer_advice(step, workers);
                }
            }
            Delivery::Resized(worker) => self.list_size(&worker),
            Delivery::Commit(epoch, is_durable) => {
                let event = if is_durable {
                    Event::Committed
                } else {
                    Event::CommitUnconfirmed
                };
                self.handle_event_in(epoch, event);
            }
        }
    }
}
