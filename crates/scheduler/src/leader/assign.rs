//! Assigns each worker to the agent that polls it and renews its lease.

use std::collections::BTreeMap;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;

use super::Agent;
use super::LEADER_CONTACT_TIMEOUT;
use super::Leader;
use super::Member;
use crate::fleet::Registration;
use crate::fleet::Worker;
use crate::message::Order;
use crate::message::Watch;

/// The time added to a lease before its runs count as lost, to cover the slow clock of a worker and
/// messages in transit.
const LEASE_MARGIN: Ms = Ms(400);
/// The most by which the clock of a worker may run slow, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;

/// The number of workers that is added to the load of the leader's own agent, because its process
/// also does the work of the leader.
const LEADER_EXTRA_WORKERS: usize = 6;

impl Leader {
    /// Returns the time after the last renewal at which all leases of a worker have expired.
    pub(super) fn lease_expiry_delay(&self) -> Ms {
        let lease = self.bounds.lease.0;
        Ms(lease + lease * CLOCK_SLOW_PERCENT / 100) + LEASE_MARGIN
    }

    /// Adds the workers on which earlier leaders may have started tasks.
    pub(super) fn restore_fleet(&mut self, now: Ms, members: Vec<Member>) {
        self.is_fleet_synced = false;
        for member in members {
            let lease_expiry = self.initial_lease_expiry();
            let worker = self.workers.entry(member.worker.clone()).or_default();
            worker.is_inherited = true;
            worker.delay_lease_expiry(lease_expiry);
            self.stored_workers.insert(member.worker.clone());
            let name = member.worker.clone();
            self.fleet.insert(member);
            self.assign(now, &name);
        }
    }

    /// Returns the time at which a worker that never answers this leader has lost all runs that
    /// earlier leaders started.
    fn initial_lease_expiry(&self) -> Ms {
        self.started_at + LEADER_CONTACT_TIMEOUT + self.lease_expiry_delay()
    }

    pub(super) fn update_registration(
        &mut self,
        now: Ms,
        name: Name,
        registration: Option<Registration>,
    ) {
        self.is_fleet_synced = false;
        let lease_expiry = self.initial_lease_expiry();
        let is_new = !self.workers.contains_key(&name);
        if is_new && registration.is_none() {
            return;
        }
        let worker = self.workers.entry(name.clone()).or_default();
        if is_new {
            worker.delay_lease_expiry(lease_expiry);
        }
        let change = match (&worker.registration, &registration) {
            (None, Some(_)) => Some("listed"),
            (Some(_), None) => Some("unlisted"),
            (Some(old), Some(new)) if old.is_draining != new.is_draining => Some("draining"),
            (Some(old), Some(new)) if old.incarnation != new.incarnation => Some("reborn"),
            _ => None,
        };
        let resize = match (&worker.registration, &registration) {
            (Some(old), Some(new)) if old.size != new.size => Some((old.size, new.size)),
            _ => None,
        };
        let address = |registration: &Option<Registration>| {
            registration
                .as_ref()
                .map(|registration| Arc::clone(&registration.address))
        };
        let has_moved =
            registration.is_some() && address(&worker.registration) != address(&registration);
        if let Some(registration) = &registration {
            worker.was_draining = registration.is_draining;
            if registration.is_draining {
                worker.drained = Some(registration.incarnation);
            }
        }
        worker.registration = registration;
        let is_unused = worker.registration.is_none() && worker.is_known && worker.is_settled();
        if let Some(change) = change {
            self.log(format!("kind=worker-{change} worker={name}"));
        }
        if let Some((old, new)) = resize {
            self.log(format!(
                "kind=worker-resized worker={name} old={} new={}",
                describe(old),
                describe(new)
            ));
        }
        if is_unused {
            self.unwatch(&name);
            self.workers.remove(&name);
        } else if has_moved {
            self.assign(now, &name);
        }
    }

    pub(super) fn add_agent(&mut self, now: Ms, entry: Name, domain: Name) {
        self.log(format!("kind=agent-joined agent={entry} domain={domain}"));
        self.agents.insert(entry, Agent { domain, watched: 0 });
        self.count_watched();
        let names: Vec<Name> = self.workers.keys().cloned().collect();
        for name in names {
            self.assign(now, &name);
        }
    }

    pub(super) fn remove_agent(&mut self, now: Ms, entry: &Name) {
        if self.agents.remove(entry).is_none() {
            return;
        }
        self.log(format!("kind=agent-left agent={entry}"));
        let lease_expiry = now + LEADER_CONTACT_TIMEOUT + self.lease_expiry_delay();
        let mut orphans = Vec::new();
        for (name, worker) in &mut self.workers {
            if worker.agent.as_ref() == Some(entry) {
                worker.agent = None;
                worker.delay_lease_expiry(lease_expiry);
                orphans.push(name.clone());
            }
        }
        for name in orphans {
            self.mark_starts_unsure(now, &name);
            self.assign(now, &name);
        }
    }

    fn count_watched(&mut self) {
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for agent in self
            .workers
            .values()
            .filter_map(|worker| worker.agent.as_ref())
        {
            *counts.entry(agent).or_default() += 1;
        }
        for (name, agent) in &mut self.agents {
            agent.watched = counts.get(name).copied().unwrap_or(0);
        }
    }

    fn domain_of(&self, name: &Name, worker: &Worker) -> Option<Name> {
        let listed = worker
            .registration
            .as_ref()
            .map(|registration| &registration.domain);
        let stored = self.fleet.iter().find(|member| member.worker == *name);
        listed.or(stored.map(|member| &member.domain)).cloned()
    }

    fn address_of(&self, name: &Name, worker: &Worker) -> Option<Arc<str>> {
        let listed = worker
            .registration
            .as_ref()
            .map(|registration| &registration.address);
        let stored = self.fleet.iter().find(|member| member.worker == *name);
        listed.or(stored.map(|member| &member.address)).cloned()
    }

    /// Assigns a worker to the best agent and notifies the agents of a change. Agents in the
    /// failure domain of the worker come first, then those with the fewest workers.
    pub(super) fn assign(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let domain = self.domain_of(name, worker);
        let load = |entry: &Name, agent: &Agent| {
            let extra_workers = if *entry == self.entry {
                LEADER_EXTRA_WORKERS
            } else {
                0
            };
            let is_remote = domain.as_ref() != Some(&agent.domain);
            (is_remote, agent.watched + extra_workers)
        };
        let best = self
            .agents
            .iter()
            .min_by_key(|(entry, agent)| load(entry, agent));
        let Some((best, best_agent)) = best else {
            return;
        };
        let current = worker.agent.clone();
        if let Some((current_name, current_agent)) = current
            .as_ref()
            .and_then(|name| self.agents.get_key_value(name))
        {
            let (is_remote, current_load) = load(current_name, current_agent);
            let (is_best_remote, best_load) = load(best, best_agent);
            let is_better = is_remote && !is_best_remote
                || is_remote == is_best_remote && current_load > best_load + 1;
            if !is_better || *current_name == *best {
                return self.send_watch(name);
            }
        }
        let best = best.clone();
        self.unwatch(name);
        if let Some(agent) = self.agents.get_mut(&best) {
            agent.watched += 1;
        }
        // If the connection to the former agent is lost, it does not learn of the change.
        let min_expiry = now + LEADER_CONTACT_TIMEOUT + self.lease_expiry_delay();
        if let Some(worker) = self.workers.get_mut(name) {
            if current.is_some() {
                worker.min_lease_expiry = worker.min_lease_expiry.max(min_expiry);
                worker.lease_expiry = worker.lease_expiry.map(|at| at.max(min_expiry));
            }
            worker.agent = Some(best);
        }
        self.send_watch(name);
    }

    /// Sends the agent of a worker its address and the number up to which its ends are
    /// acknowledged.
    pub(super) fn send_watch(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (Some(agent), Some(address)) = (worker.agent.clone(), self.address_of(name, worker))
        else {
            return;
        };
        let watch = Watch {
            worker: name.clone(),
            address,
            acknowledged: worker
                .incarnation
                .map(|incarnation| (incarnation, worker.acknowledged)),
        };
        self.send(&agent, Order::Watch(watch));
    }

    pub(super) fn unwatch(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(agent) = worker.agent.take() else {
            return;
        };
        if let Some(state) = self.agents.get_mut(&agent) {
            state.watched = state.watched.saturating_sub(1);
            self.send(&agent, Order::Unwatch(name.clone()));
        }
    }
}

/// Returns a size as millicores, memory in MB and accelerators.
fn describe(size: Size) -> String {
    let Size {
        millicores,
        memory_mb,
        accelerators,
    } = size;
    format!("{millicores}/{memory_mb}/{accelerators}")
}
