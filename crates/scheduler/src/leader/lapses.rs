//! Decides when the leases of workers that do not answer have expired.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use super::LEADER_CONTACT_TIMEOUT;
use super::Leader;
use crate::fleet::Life;
use crate::id::Run;
use crate::id::Task;
use crate::message::Failure;
use crate::message::Hello;
use crate::message::Observation;
use crate::message::Order;
use crate::message::Placement;
use crate::over::Lapse;
use crate::over::Over;
use crate::over::Standing;
use crate::over::Unproven;

impl Leader {
    /// Records the renewals of an agent for an earlier leader. Its list of runs is not used, because
    /// other agents, which may be lost, can have started runs on the same workers.
    pub(super) fn record_earlier_renewals(&mut self, now: Ms, hello: &Hello) {
        for (name, renewal_age, _) in &hello.known {
            let renewal = Ms(now.0.saturating_sub(renewal_age.0)) + LEADER_CONTACT_TIMEOUT;
            if self.is_fleet_unread {
                // The worker may be one that this leader does not know.
                let expiry = renewal + self.lease_expiry_delay();
                self.fleet_held_until = self.fleet_held_until.max(expiry);
            }
            let unheard = self.workers.get_mut(name);
            if let Some(worker) = unheard.filter(|worker| !worker.is_known) {
                worker.hold_until(renewal);
            }
        }
    }

    pub(super) fn handle_poll_failure(&mut self, now: Ms, entry: &Name, failure: &Failure) {
        let (name, renewal_age) = (&failure.worker, failure.renewal_age);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let is_new = !worker.is_unresponsive;
        let watch = worker.watch;
        worker.is_unresponsive = true;
        if failure.is_closed {
            worker.refused_since.get_or_insert(now);
        }
        if worker.has_lapsed && worker.incarnation.is_none() && !worker.is_unreached {
            worker.is_unreached = true;
            self.is_fleet_synced = false;
        }
        // Neither refused connections nor a removed registration show that a worker has exited, not
        // even after it was draining: a cut between it and the others looks the same.
        if !worker.has_lapsed || !worker.runs.is_empty() {
            let last_poll = Ms(now.0.saturating_sub(renewal_age.0));
            worker.renewals.expect_none_after(last_poll);
        }
        if is_new {
            self.log(format!(
                "kind=worker-silent worker={name} agent={entry} watch={watch} renewed_ago_ms={}",
                renewal_age.0
            ));
        }
    }

    /// Releases the runs on workers that did not answer until all their leases expired.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        let standing = Standing {
            now,
            lease: self.lease_expiry_delay(),
            certain_until: self.certain_until,
            is_recovered: self.is_recovered,
        };
        let mut lapses = Vec::new();
        let mut unheard = BTreeSet::new();
        for (name, worker) in &self.workers {
            let heard_until = |agent: &Name| self.agents.heard_until(agent);
            match Lapse::prove(&standing, name, worker, heard_until) {
                Ok(lapse) => lapses.push(lapse),
                Err(Unproven::Unheard(agent)) => drop(unheard.insert(agent)),
                Err(Unproven::Early) => {}
            }
        }
        for agent in unheard {
            if self.agents.ask(now, &agent) {
                self.log(format!("kind=echo-asked agent={agent} cause=leases-over"));
                let echo = Placement::echo(self.entry.clone(), now);
                self.send(&agent, Order::Stop(echo));
            }
        }
        for lapse in lapses {
            self.handle_lapse(now, lapse);
        }
    }

    fn handle_lapse(&mut self, now: Ms, lapse: Lapse) {
        let name = lapse.worker().clone();
        let lease = self.lease_expiry_delay();
        self.record_crash_at_lapse(now, &name);
        let lost = self.release_lapsed_runs(now, &lapse);
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        let line = format!(
            "kind=worker-lapsed worker={name} agent={} known={} past_bound_ms={} \
             past_floor_ms={} answered_ago_ms={} runs={lost}",
            worker.agent.as_deref().unwrap_or("none"),
            worker.is_known,
            now.since(lapse.expired_at()).0,
            now.since(worker.renewals.others() + lease).0,
            now.since(worker.last_answer).0,
        );
        worker.record_lapse(lapse);
        let is_unlisted = worker.registration.is_none();
        self.unknown_runs
            .retain(|placement, _| placement.worker != name);
        self.log(line);
        self.tally.lapses += 1;
        if is_unlisted {
            self.remove_worker(now, &name);
            self.is_fleet_synced = false;
        }
    }

    /// Releases the runs on a worker whose leases have expired, and returns how many there were.
    fn release_lapsed_runs(&mut self, now: Ms, lapse: &Lapse) -> usize {
        let runs = self.runs_on(lapse.worker());
        for &(task, run) in &runs {
            let attempt = self.run_mut(task, run);
            if let Some(over) = attempt.and_then(|attempt| lapse.ends(attempt, task)) {
                self.record_expired_lease(now, lapse, task, run);
                self.release(now, over);
            }
        }
        runs.len()
    }

    /// Logs what shows that the lease of a run has expired, and counts the run if it is younger than
    /// a lease.
    fn record_expired_lease(&mut self, now: Ms, lapse: &Lapse, task: Task, run: Run) {
        let Some(worker) = self.workers.get(lapse.worker()) else {
            return;
        };
        let agent = worker.agent.as_deref().unwrap_or("none");
        let last_poll = worker.renewals.last_poll();
        let renewed_ago = last_poll.map(|at| now.since(at).0.to_string());
        let line = format!(
            "kind=lease-expired task={task} run={run} worker={} agent={agent} watch={} \
             expired_ago_ms={} renewed_ago_ms={} answered_ago_ms={}",
            lapse.worker(),
            worker.watch,
            now.since(lapse.expired_at()).0,
            renewed_ago.as_deref().unwrap_or("none"),
            now.since(worker.last_answer).0,
        );
        self.log(line);
        let lease = self.bounds.lease;
        let is_early = self
            .run_mut(task, run)
            .is_some_and(|attempt| attempt.is_confirmed() && now.since(attempt.started_at) < lease);
        self.tally.early_releases += u64::from(is_early);
    }

    /// Releases the runs of the earlier incarnations of a worker that has answered in a later one. A
    /// start that no incarnation has listed may reach or have reached that one, so it is voided there
    /// first.
    pub(super) fn release_outlived_runs(&mut self, now: Ms, life: Life, observation: &Observation) {
        for (task, run) in self.runs_on(&observation.worker) {
            let Some(attempt) = self.run_mut(task, run) else {
                continue;
            };
            if attempt.incarnation == observation.incarnation {
                continue;
            }
            if let Some(over) = Over::outlived(attempt, task, life, observation) {
                self.release(now, over);
            } else {
                attempt.incarnation = observation.incarnation;
                attempt.stop_sent = None;
                self.stop_run(now, task, run, "worker-restarted");
            }
        }
    }

    pub(super) fn runs_on(&self, name: &Name) -> Vec<(Task, Run)> {
        let worker = self.workers.get(name);
        worker.map_or_else(Vec::new, |worker| worker.runs.iter().copied().collect())
    }
}
