//! Changes of the leader, and the connections of agents to it.

use super::*;

/// The longest time until the own agent of a new leader connects to it.
const MAX_OWN_JOIN_DELAY_MS: u64 = 50;
/// The time after which a leader notices that an agent is gone.
const DISCONNECT_MS: u64 = 1_400;
/// The longest time until a replaced leader learns of it.
const MAX_DEPOSITION_MS: u64 = 12_000;

impl World {
    /// Makes the first entry the leader, which all agents join at once. An earlier leader that is
    /// kept continues to send orders to its own agent only.
    pub fn elect(&mut self, keep_replaced: bool) {
        self.replace_leader(name("e0"), keep_replaced);
        self.handle_event(Event::Fleet(self.fleet.clone()));
        let agents: Vec<Name> = self.agents.keys().cloned().collect();
        for entry in agents {
            self.join(&entry);
        }
        self.recover();
        self.update_registrations();
    }

    /// Makes this entry the leader, which agents join one after the other while it reads the store.
    /// An earlier leader of another entry that is kept leads its own agent for some time. It is only
    /// replaced after the store has confirmed none of its writes for a while.
    pub fn elect_at(&mut self, entry: &Name, keep_replaced: bool) {
        let is_kept = keep_replaced && self.leader.is_some() && self.leader_entry != *entry;
        if is_kept {
            self.is_store_confirming = false;
            self.run_for(UNCHANGED_TIMEOUT.0);
            self.is_store_confirming = true;
        }
        self.replace_leader(entry.clone(), is_kept);
        self.depose_on(entry);
        let epoch = Epoch(self.epoch);
        let recovered = self.now + self.random.random_range(1..self.max_recovery);
        self.enqueue(recovered, Delivery::Recovered(epoch));
        let listed = self.now + self.random.random_range(1..self.max_recovery);
        self.enqueue(listed, Delivery::Listed(epoch));
        for agent in self.agents.keys().cloned().collect::<Vec<_>>() {
            let max_delay = if agent == *entry {
                MAX_OWN_JOIN_DELAY_MS
            } else {
                self.max_join_delay
            };
            let delay = self.random.random_range(0..max_delay);
            self.enqueue(self.now + delay, Delivery::Join(agent));
        }
        if let Some((_, leader)) = self.replaced_leaders.last()
            && is_kept
        {
            let epoch = leader.epoch();
            let delay = self.random.random_range(0..MAX_DEPOSITION_MS);
            self.enqueue(self.now + delay, Delivery::Deposed(epoch));
        }
    }

    /// Lets the leader resign, and makes this entry the leader.
    pub fn hand_over(&mut self, entry: &Name) {
        self.leader = None;
        self.elect_at(entry, false);
    }

    /// Ends the replaced leaders of an entry that leads again.
    fn depose_on(&mut self, entry: &Name) {
        self.replaced_leaders.retain(|(name, _)| name != entry);
        if let Some(agent) = self.agents.get_mut(entry) {
            agent.is_connected = false;
        }
    }

    fn replace_leader(&mut self, entry: Name, keep_replaced: bool) {
        let old_entry = std::mem::replace(&mut self.leader_entry, entry.clone());
        let is_kept_apart = keep_replaced && old_entry != entry;
        if let Some(old) = self.leader.take()
            && keep_replaced
        {
            self.replaced_leaders.push((old_entry.clone(), old));
        }
        for (name, agent) in &mut self.agents {
            if agent.epoch.0 == self.epoch && !(is_kept_apart && *name == old_entry) {
                agent.is_connected = false;
            }
        }
        self.joined.clear();
        self.epoch += 7;
        let bounds = Bounds {
            lease: Ms(MAX_LEASE_MS),
            retention: Ms(120_000),
            harm: Ms(4_000),
        };
        let epoch = Epoch(self.epoch);
        self.log(&format!("elected entry={entry} epoch={epoch}"));
        self.leader = Some(Leader::new(entry, epoch, bounds, Ms(self.now)));
        self.handle_event(Event::Config(Arc::new(config(self.needs_ticket))));
        self.handle_event(Event::Tick(self.unix(epoch)));
    }

    /// Returns the time of day by the clock of the entry that leads in this epoch.
    pub(super) fn unix(&self, epoch: Epoch) -> Ms {
        let replaced = self.replaced_leaders.iter();
        let mut replaced = replaced.filter(|(_, leader)| leader.epoch() == epoch);
        let entry = replaced.next().map_or(&self.leader_entry, |(name, _)| name);
        let lag = self.clock_lags.get(entry).copied().unwrap_or_default();
        Ms(self.now - lag)
    }

    fn recover(&mut self) {
        for (id, (row, accepted)) in self.jobs.clone() {
            if self.hidden.contains(&id) {
                continue;
            }
            let progress = self.progress.get(&id).cloned();
            self.handle_event(Event::Accepted(id, row, accepted, progress));
        }
        for id in self.cancelled.clone() {
            self.handle_event(Event::Cancelled(id));
        }
        self.handle_event(Event::Recovered);
    }

    pub(super) fn update_registrations(&mut self) {
        let workers: Vec<Name> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.update_registration(&worker);
        }
    }

    pub(super) fn recover_late(&mut self, epoch: Epoch) {
        if epoch.0 == self.epoch {
            self.handle_event(Event::Fleet(self.fleet.clone()));
            self.recover();
        }
    }

    /// Stops an entry with its leader and agent and starts it again after this time. Its calls in
    /// transit to workers remain.
    pub fn kill(&mut self, entry: &Name, down: u64) {
        self.log(&format!("kill entry={entry} ms={down}"));
        self.queue.retain(|_, delivery| delivery.survives(entry));
        let epoch = self.agents[entry].epoch;
        let agent = Agent {
            down_until: self.now + down,
            ..Agent::default()
        };
        self.agents.insert(entry.clone(), agent);
        self.replaced_leaders.retain(|(name, _)| name != entry);
        if *entry == self.leader_entry {
            self.leader = None;
            for agent in self.agents.values_mut() {
                agent.is_connected &= agent.epoch.0 != self.epoch;
            }
        }
        let left = Delivery::Left(epoch, entry.clone());
        self.enqueue(self.now + DISCONNECT_MS, left);
        self.enqueue(self.now + down, Delivery::Join(entry.clone()));
    }

    /// Disconnects an agent from the leader and connects it again after the gap, unless it follows
    /// a replaced leader.
    pub fn reconnect(&mut self, entry: &Name, gap: u64) {
        let agent = &self.agents[entry];
        if agent.is_connected && agent.epoch.0 != self.epoch {
            return;
        }
        // Reports in transit are lost with the connection.
        self.queue.retain(
            |_, delivery| !matches!(delivery, Delivery::Report(_, from, _) if from == entry),
        );
        if let Some(agent) = self.agents.get_mut(entry) {
            agent.is_connected = false;
        }
        self.joined.remove(entry);
        self.handle_event(Event::Left(entry.clone()));
        self.run_for(gap);
        self.join(entry);
    }

    pub(super) fn remove_agent(&mut self, epoch: Epoch, entry: &Name) {
        let is_connected = self.agents[entry].is_connected;
        if epoch.0 == self.epoch && !is_connected && self.joined.remove(entry) {
            self.handle_event(Event::Left(entry.clone()));
        }
    }

    /// Connects an agent to the leader, unless it is down or follows a leader.
    pub(super) fn join(&mut self, entry: &Name) {
        let (now, epoch) = (self.now, Epoch(self.epoch));
        let Some(agent) = self.agents.get_mut(entry) else {
            return;
        };
        if agent.is_connected || self.leader.is_none() {
            return;
        }
        if agent.down_until > now {
            let at = agent.down_until;
            return self.enqueue(at, Delivery::Join(entry.clone()));
        }
        let watches = std::mem::take(&mut agent.watches).into_iter();
        let watches =
            watches.map(|(worker, watch)| (worker, watch.lease, watch.known.into_keys().collect()));
        let known = agent.inventory.collect(Ms(now), watches);
        let hello = Hello {
            entry: entry.clone(),
            domain: name("d"),
            epoch,
            known,
        };
        agent.epoch = epoch;
        agent.is_connected = true;
        agent.last_contact = now;
        if !self.joined.insert(entry.clone()) {
            self.handle_event(Event::Left(entry.clone()));
        }
        self.handle_event(Event::Received(entry.clone(), Report::Hello(hello)));
        self.handle_event(Event::Joined(entry.clone(), name("d")));
    }

    /// Returns whether the entry also runs the replaced leader of this epoch.
    pub(super) fn is_own_agent(&self, entry: &Name, epoch: Epoch) -> bool {
        let mut replaced = self.replaced_leaders.iter();
        replaced.any(|(name, leader)| name == entry && leader.epoch() == epoch)
    }

    /// Ends a replaced leader, whose own agent then joins the new leader.
    pub(super) fn depose(&mut self, epoch: Epoch) {
        let replaced = self.replaced_leaders.iter();
        let Some(index) = replaced
            .map(|(_, leader)| leader.epoch())
            .position(|other| other == epoch)
        else {
            return;
        };
        self.log(&format!("deposed epoch={epoch}"));
        let (entry, _) = self.replaced_leaders.remove(index);
        let agent = self.agents.get_mut(&entry);
        if let Some(agent) = agent.filter(|agent| agent.epoch == epoch) {
            agent.is_connected = false;
            self.join(&entry);
        }
    }
}

impl Delivery {
    /// Returns whether the delivery takes place although the entry was killed. Calls to workers
    /// then get no answer.
    fn survives(&mut self, entry: &Name) -> bool {
        match self {
            Self::Called(call) => {
                call.is_answered &= call.agent != *entry;
                true
            }
            Self::Polled(poll) => {
                poll.is_answered &= poll.agent != *entry;
                true
            }
            Self::Order(agent, ..) | Self::Report(_, agent, _) | Self::PollDue(agent, ..) => {
                agent != entry
            }
            Self::Outcome(call, _) | Self::PollNow(call) => call.agent != *entry,
            Self::PollHeld(poll, _) | Self::PollAnswered(poll, ..) | Self::PollTimedOut(poll) => {
                poll.agent != *entry
            }
            _ => true,
        }
    }
}
