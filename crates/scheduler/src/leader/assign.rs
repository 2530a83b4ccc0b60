//! Assigns each worker to the agent that polls it and renews its lease.

use std::ops::Bound;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;

use super::LEADER_CONTACT_TIMEOUT;
use super::Leader;
use super::Member;
use crate::fleet::Registration;
use crate::fleet::Worker;
use crate::id;
use crate::message::Order;
use crate::message::Watch;

/// The time added to a lease before its runs count as lost, to cover the slow clock of a worker and
/// messages in transit.
const LEASE_MARGIN: Ms = Ms(400);
/// The most by which the clock of a worker may run slow, in percent.
const CLOCK_SLOW_PERCENT: u64 = 2;

/// The number of workers from which on agents get their workers in small portions after a
/// takeover.
const LARGE_FLEET_WORKERS: usize = 64;
/// The most workers that one agent of a large fleet gets while others may still connect. Without
/// this limit the first agents would begin to poll the whole fleet and hand most of it on.
const MAX_EARLY_WORKERS: usize = 16;
/// The time after the last connection of an agent in which others are expected.
const JOIN_INTERVAL: Ms = Ms(200);
/// The time after a takeover in which agents are expected in any case.
const MIN_JOIN_TIME: Ms = Ms(500);
/// The time after a takeover from which on no further agents are expected.
const MAX_JOIN_TIME: Ms = Ms(1_000);

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
            let renewal = self.last_earlier_renewal(&member.worker);
            let worker = self.workers.entry(member.worker.clone()).or_default();
            worker.is_inherited = true;
            worker.hold_until(renewal);
            if worker.agent.is_none() {
                self.unwatched.insert(member.worker.clone());
            }
            self.stored_workers.insert(member.worker.clone());
            let name = member.worker.clone();
            self.fleet.insert(name.clone(), member);
            self.assign(now, &name);
        }
    }

    /// Records that the workers on which earlier leaders may have started tasks are unknown: those
    /// that are listed, and others.
    pub(super) fn hold_fleet(&mut self) {
        self.is_fleet_unread = true;
        for worker in self.workers.values_mut() {
            worker.is_inherited = true;
        }
    }

    /// Returns whether runs of earlier leaders may be on workers that this leader does not know.
    pub(super) fn is_fleet_held(&self, now: Ms) -> bool {
        let earlier = self.started_at + LEADER_CONTACT_TIMEOUT + self.lease_expiry_delay();
        let expiry = earlier.max(self.fleet_held_until);
        self.is_fleet_unread && (now < expiry || self.certain_until <= expiry)
    }

    /// Returns the latest time at which agents may have renewed the lease of a worker that is not
    /// among those of this leader: for earlier leaders, or under a watch that ended when it was
    /// removed.
    fn last_earlier_renewal(&self, name: &Name) -> Ms {
        let removed = self.removed_workers.get(name).copied();
        let earlier = self.started_at + LEADER_CONTACT_TIMEOUT;
        earlier.max(removed.unwrap_or_default())
    }

    pub(super) fn update_registration(
        &mut self,
        now: Ms,
        name: Name,
        registration: Option<Registration>,
    ) {
        let renewal = self.last_earlier_renewal(&name);
        let is_new = !self.workers.contains_key(&name);
        if is_new && registration.is_none() {
            return;
        }
        let worker = self.workers.entry(name.clone()).or_default();
        worker.improved_at = now;
        let place = |registration: &Option<Registration>| {
            registration
                .as_ref()
                .map(|it| (Arc::clone(&it.address), it.domain.clone()))
        };
        let is_stored_alike = place(&worker.registration) == place(&registration);
        self.is_fleet_synced &= is_stored_alike && !is_new;
        if is_new {
            worker.is_inherited = self.is_fleet_unread;
            worker.hold_until(renewal);
            self.unwatched.insert(name.clone());
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
        if let Some(registration) = &registration
            && registration.is_draining
        {
            worker.drained = Some(registration.incarnation);
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
            self.remove_worker(now, &name);
        } else if has_moved {
            self.move_watch(now, &name);
        }
    }

    pub(super) fn add_agent(&mut self, now: Ms, entry: Name, domain: Name) {
        self.remove_agent(now, &entry);
        self.log(format!("kind=agent-joined agent={entry} domain={domain}"));
        self.last_join = now;
        let is_own = entry == self.entry;
        let is_first = self.agents.insert(now, entry, domain.clone(), is_own);
        if is_first {
            self.recall_workers(now, &domain);
        }
        self.assign_unwatched(now);
        for domain in self.agents.domains() {
            while let Some((worker, agent)) = self.agents.next_move(&domain) {
                self.reassign(now, &worker, agent);
            }
        }
    }

    /// Assigns the workers in a failure domain that agents of other domains poll to its own agents.
    fn recall_workers(&mut self, now: Ms, domain: &Name) {
        let away = self.workers.iter().filter(|(name, worker)| {
            worker.agent.is_some() && self.domain_of(name, worker).as_ref() == Some(domain)
        });
        let away: Vec<Name> = away.map(|(name, _)| name.clone()).collect();
        for name in away {
            self.reassign_if_better(now, &name);
        }
    }

    /// Assigns the workers without an agent, as far as agents may get more of them now.
    pub(super) fn assign_unwatched(&mut self, now: Ms) {
        let mut next = self.unwatched.first().cloned();
        while let Some(name) = next {
            if !self.reassign_if_better(now, &name) && !self.may_watch_more(now) {
                return;
            }
            let later = (Bound::Excluded(name), Bound::Unbounded);
            next = self.unwatched.range(later).next().cloned();
        }
    }

    pub(super) fn remove_agent(&mut self, now: Ms, entry: &Name) {
        let Some(orphans) = self.agents.remove(entry) else {
            return;
        };
        self.log(format!("kind=agent-left agent={entry}"));
        for name in &orphans {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.agent = None;
                let last_renewal = now + LEADER_CONTACT_TIMEOUT;
                worker.end_watch(last_renewal);
                worker.hold_until(last_renewal);
                self.unwatched.insert(name.clone());
            }
        }
        for name in orphans {
            self.mark_starts_unsure(now, &name);
            self.reassign_if_better(now, &name);
        }
    }

    fn domain_of(&self, name: &Name, worker: &Worker) -> Option<Name> {
        let listed = worker.registration.as_ref();
        let listed = listed.map(|registration| &registration.domain);
        let stored = || self.fleet.get(name).map(|member| &member.domain);
        listed.or_else(stored).cloned()
    }

    fn address_of(&self, name: &Name, worker: &Worker) -> Option<Arc<str>> {
        let listed = worker.registration.as_ref();
        let listed = listed.map(|registration| &registration.address);
        let stored = || self.fleet.get(name).map(|member| &member.address);
        listed.or_else(stored).cloned()
    }

    /// Assigns a worker to the best agent, and notifies its agent of its address.
    fn assign(&mut self, now: Ms, name: &Name) {
        if !self.reassign_if_better(now, name) {
            self.send_watch(name);
        }
    }

    /// Assigns a worker that has another address to the best agent, and begins another watch if that
    /// is the present one.
    fn move_watch(&mut self, now: Ms, name: &Name) {
        if !self.reassign_if_better(now, name) {
            self.renew_watch(now, name);
        }
    }

    /// Begins another watch of a worker by its present agent.
    pub(super) fn renew_watch(&mut self, now: Ms, name: &Name) {
        self.begin_watch(now, name);
        self.send_watch(name);
    }

    /// Ends the present watch of a worker, if it has one, and gives it the number of another one.
    fn begin_watch(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.end_watch(now + LEADER_CONTACT_TIMEOUT);
        self.watch_count += 1;
        worker.watch = id::Watch(self.watch_count);
    }

    /// Assigns a worker to another agent if that one is in the failure domain of the worker and the
    /// present one is not, or if it has clearly fewer workers. Returns whether it did.
    fn reassign_if_better(&mut self, now: Ms, name: &Name) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let domain = self.domain_of(name, worker);
        let Some(best) = self.agents.best(domain.as_ref()) else {
            return false;
        };
        let is_remote = |entry: &Name| self.agents.domain(entry) != domain.as_ref();
        let is_better = match &worker.agent {
            Some(current) if is_remote(current) != is_remote(best) => is_remote(current),
            Some(current) => self.agents.load(current) > self.agents.load(best) + 1,
            None => !self.expects_agents(now) || self.agents.load(best) < MAX_EARLY_WORKERS,
        };
        if is_better {
            let best = best.clone();
            self.reassign(now, name, best);
        }
        is_better
    }

    /// Returns whether some agent may get another worker now.
    fn may_watch_more(&self, now: Ms) -> bool {
        let idlest = self.agents.best(None);
        let has_few = |entry| self.agents.load(entry) < MAX_EARLY_WORKERS;
        idlest.is_some_and(|entry| !self.expects_agents(now) || has_few(entry))
    }

    /// Returns whether many agents are likely to connect soon, because this leader has just begun.
    fn expects_agents(&self, now: Ms) -> bool {
        let age = now.since(self.started_at);
        let is_joining = now.since(self.last_join) < JOIN_INTERVAL && age < MAX_JOIN_TIME;
        self.workers.len() > LARGE_FLEET_WORKERS && (age < MIN_JOIN_TIME || is_joining)
    }

    /// Assigns a worker to this agent and notifies both.
    fn reassign(&mut self, now: Ms, name: &Name, agent: Name) {
        self.unwatch(now, name);
        self.agents.watch(&agent, name);
        self.unwatched.remove(name);
        self.begin_watch(now, name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.agent = Some(agent);
            worker.improved_at = now;
        }
        self.forget_stop_answers(name);
        self.send_watch(name);
    }

    /// Forgets the answers to orders to stop runs on a worker, which are repeated. An agent of the
    /// same entry may have another clock than the one that received them.
    fn forget_stop_answers(&mut self, name: &Name) {
        for (task, run) in self.runs_on(name) {
            if let Some(attempt) = self.run_mut(task, run) {
                attempt.stopped_at = None;
            }
        }
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
            number: worker.watch,
        };
        self.send(&agent, Order::Watch(watch));
    }

    /// Takes a worker from its agent, if it has one. The agent may renew the lease until it learns of
    /// that, or for as long as an agent does after it has lost the leader.
    fn unwatch(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.end_watch(now + LEADER_CONTACT_TIMEOUT);
        let Some(agent) = worker.agent.take() else {
            return;
        };
        self.unwatched.insert(name.clone());
        if self.agents.has_worker(&agent, name) {
            self.agents.unwatch(&agent, name);
            self.send(&agent, Order::Unwatch(name.clone()));
        }
    }

    /// Forgets a worker on which nothing runs, except for how long its lease may still be renewed.
    pub(super) fn remove_worker(&mut self, now: Ms, name: &Name) {
        self.unwatch(now, name);
        self.unwatched.remove(name);
        if let Some(worker) = self.workers.remove(name) {
            self.removed_workers
                .insert(name.clone(), worker.renewals.others());
        }
    }

    /// Forgets the removed workers whose leases have all expired.
    pub(super) fn forget_removed_workers(&mut self, now: Ms) {
        let lease = self.lease_expiry_delay();
        self.removed_workers
            .retain(|_, renewal| *renewal + lease > now);
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
