//! The agents that are connected to the leader, ordered by the number of workers that they poll.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

/// The number of workers that is added to the load of the leader's own agent, because its process
/// also does the work of the leader.
const LEADER_EXTRA_WORKERS: usize = 6;
/// The time after which an agent that has not answered is asked for an echo again.
const ECHO_RETRY_DELAY: Ms = Ms(1_000);

/// An agent and its workers.
#[derive(Clone, Debug)]
struct Agent {
    domain: Name,
    /// The load of the agent without any worker.
    extra_load: usize,
    workers: BTreeSet<Name>,
    joined_at: Ms,
    /// All that the agent reported before this time has been handled.
    heard_until: Ms,
    /// The time when the agent was last asked for an echo; absent if it was not.
    asked_at: Option<Ms>,
}

impl Agent {
    fn load(&self) -> usize {
        self.workers.len() + self.extra_load
    }
}

/// The agents by entry, and by load within each failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Agents {
    all: BTreeMap<Name, Agent>,
    by_load: BTreeMap<Name, BTreeSet<(usize, Name)>>,
}

impl Agents {
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Adds an agent that is not connected yet, without workers. Returns whether it is the first of
    /// its failure domain.
    pub(super) fn insert(&mut self, now: Ms, entry: Name, domain: Name, is_own: bool) -> bool {
        let agent = Agent {
            domain: domain.clone(),
            extra_load: if is_own { LEADER_EXTRA_WORKERS } else { 0 },
            workers: BTreeSet::new(),
            joined_at: now,
            heard_until: Ms::ZERO,
            asked_at: None,
        };
        let in_domain = self.by_load.entry(domain).or_default();
        let is_first = in_domain.is_empty();
        in_domain.insert((agent.load(), entry.clone()));
        self.all.insert(entry, agent);
        is_first
    }

    /// Removes an agent and returns its workers, or `None` if it is not connected.
    pub(super) fn remove(&mut self, entry: &Name) -> Option<BTreeSet<Name>> {
        let agent = self.all.remove(entry)?;
        if let Some(in_domain) = self.by_load.get_mut(&agent.domain) {
            in_domain.remove(&(agent.load(), entry.clone()));
            if in_domain.is_empty() {
                self.by_load.remove(&agent.domain);
            }
        }
        Some(agent.workers)
    }

    /// Returns the failure domain of an agent.
    pub(super) fn domain(&self, entry: &Name) -> Option<&Name> {
        self.all.get(entry).map(|agent| &agent.domain)
    }

    /// Returns the number of workers of an agent, which is higher for the leader's own.
    pub(super) fn load(&self, entry: &Name) -> usize {
        self.all.get(entry).map_or(0, Agent::load)
    }

    /// Returns whether an agent polls a worker.
    pub(super) fn has_worker(&self, entry: &Name, worker: &Name) -> bool {
        let agent = self.all.get(entry);
        agent.is_some_and(|agent| agent.workers.contains(worker))
    }

    /// Returns the time before which all that an agent reported has been handled, and `None` for an
    /// agent that is not connected.
    pub(super) fn heard_until(&self, entry: &Name) -> Option<Ms> {
        let agent = self.all.get(entry);
        agent.map(|agent| agent.heard_until)
    }

    /// Returns whether an agent is to be asked for an echo now, and records that it was.
    pub(super) fn ask(&mut self, now: Ms, entry: &Name) -> bool {
        let Some(agent) = self.all.get_mut(entry) else {
            return false;
        };
        let is_due = agent
            .asked_at
            .is_none_or(|at| agent.heard_until >= at || now.since(at) >= ECHO_RETRY_DELAY);
        if is_due {
            agent.asked_at = Some(now);
        }
        is_due
    }

    /// Records the echo that an agent was asked for at a time. One of an earlier connection tells
    /// nothing of the reports of this one.
    pub(super) fn record_echo(&mut self, entry: &Name, sent_at: Ms) {
        let agent = self.all.get_mut(entry);
        if let Some(agent) = agent.filter(|agent| sent_at >= agent.joined_at) {
            agent.heard_until = agent.heard_until.max(sent_at);
        }
    }

    /// Adds a worker to those of an agent.
    pub(super) fn watch(&mut self, entry: &Name, worker: &Name) {
        self.update(entry, |workers| workers.insert(worker.clone()));
    }

    /// Removes a worker from those of an agent.
    pub(super) fn unwatch(&mut self, entry: &Name, worker: &Name) {
        self.update(entry, |workers| workers.remove(worker));
    }

    fn update(&mut self, entry: &Name, change: impl FnOnce(&mut BTreeSet<Name>) -> bool) {
        let Some(agent) = self.all.get_mut(entry) else {
            return;
        };
        let earlier = agent.load();
        if !change(&mut agent.workers) {
            return;
        }
        if let Some(in_domain) = self.by_load.get_mut(&agent.domain) {
            in_domain.remove(&(earlier, entry.clone()));
            in_domain.insert((agent.load(), entry.clone()));
        }
    }

    /// Returns the best agent for a worker in this failure domain: the one with the fewest workers
    /// there, or anywhere if the domain has none.
    pub(super) fn best(&self, domain: Option<&Name>) -> Option<&Name> {
        let near = domain.and_then(|domain| self.by_load.get(domain)?.first());
        let anywhere = || self.by_load.values().filter_map(BTreeSet::first).min();
        near.or_else(anywhere).map(|(_, entry)| entry)
    }

    /// Returns a move that evens out the loads within a failure domain: a worker, and the agent that
    /// is to poll it.
    pub(super) fn next_move(&self, domain: &Name) -> Option<(Name, Name)> {
        let in_domain = self.by_load.get(domain)?;
        let (least, to) = in_domain.first()?;
        let mut busiest = in_domain.iter().rev();
        let worker = busiest.find_map(|(load, from)| {
            let worker = self.all.get(from)?.workers.last()?;
            (*load > least + 1).then_some(worker)
        });
        Some((worker?.clone(), to.clone()))
    }

    /// Returns the failure domains that have agents.
    pub(super) fn domains(&self) -> Vec<Name> {
        self.by_load.keys().cloned().collect()
    }
}
