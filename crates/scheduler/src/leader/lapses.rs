//! Decides when the leases of workers that do not answer have expired.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use super::LEADER_CONTACT_TIMEOUT;
use super::Leader;
use crate::id::Run;
use crate::id::Task;
use crate::message::Failure;
use crate::message::Hello;
use crate::message::Order;
use crate::message::Placement;

impl Leader {
    /// Records the renewals of an agent for an earlier leader. Its list of runs is not used, because
    /// other agents, which may be lost, can have started runs on the same workers.
    pub(super) fn record_earlier_renewals(&mut self, now: Ms, hello: &Hello) {
        let lease = LEADER_CONTACT_TIMEOUT + self.lease_expiry_delay();
        for (name, renewal_age, _) in &hello.known {
            let unheard = self.workers.get_mut(name);
            if let Some(worker) = unheard.filter(|worker| !worker.is_known) {
                worker.delay_lease_expiry(Ms(now.0.saturating_sub(renewal_age.0)) + lease);
            }
        }
    }

    pub(super) fn handle_poll_failure(&mut self, now: Ms, entry: &Name, failure: &Failure) {
        let (name, renewal_age) = (&failure.worker, failure.renewal_age);
        let lease = self.lease_expiry_delay();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.agent.as_ref() != Some(entry) {
            return;
        }
        let lease_expiry = Ms(now.0.saturating_sub(renewal_age.0)) + lease;
        let is_new = !worker.is_unresponsive;
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
            worker.expect_lease_expiry(lease_expiry);
        }
        if is_new {
            self.log(format!(
                "kind=worker-silent worker={name} agent={entry} renewed_ago_ms={}",
                renewal_age.0
            ));
        }
    }

    /// Releases the runs on workers that did not answer until all their leases expired. If another
    /// entry may have taken the lead before, its agents may have renewed them. Until the rows of
    /// earlier leaders are read, reports are deferred, and they may tell of renewals too. So may
    /// reports that this leader has not handled yet, because it is slow or was suspended.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        if !self.is_recovered {
            return;
        }
        let has_expired = |at: Ms| at <= now && at < self.certain_until;
        let mut expired = Vec::new();
        let mut unheard = BTreeSet::new();
        for (name, worker) in &self.workers {
            let Some(at) = worker.lease_expiry.filter(|&at| has_expired(at)) else {
                continue;
            };
            match &worker.agent {
                Some(agent) if !self.agents.has_heard(agent, at) => {
                    unheard.insert(agent.clone());
                }
                _ => expired.push(name.clone()),
            }
        }
        for agent in unheard {
            if self.agents.ask(now, &agent) {
                self.log(format!("kind=echo-asked agent={agent} cause=leases-over"));
                let echo = Placement::echo(self.entry.clone(), now);
                self.send(&agent, Order::Stop(echo));
            }
        }
        for name in expired {
            self.record_crash_at_lapse(now, &name);
            let lost = self.workers.get(&name).map_or(0, |it| it.runs.len());
            self.release_lost_runs(now, &name, None, "lease-expired");
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            let line = format!(
                "kind=worker-lapsed worker={name} agent={} known={} past_bound_ms={} \
                 past_floor_ms={} answered_ago_ms={} runs={}",
                worker.agent.as_deref().unwrap_or("none"),
                worker.is_known,
                now.since(worker.lease_expiry.unwrap_or(now)).0,
                now.since(worker.min_lease_expiry).0,
                now.since(worker.last_answer).0,
                lost
            );
            worker.is_known = true;
            worker.is_unresponsive = true;
            worker.lease_expiry = None;
            worker.has_lapsed = true;
            self.unknown_runs
                .retain(|placement, _| placement.worker != name);
            self.log(line);
            self.tally.lapses += 1;
            if self
                .workers
                .get(&name)
                .is_some_and(|worker| worker.registration.is_none())
            {
                self.remove_worker(&name);
                self.is_fleet_synced = false;
            }
        }
    }

    /// Releases the runs on a worker, except those of the incarnation `kept`. A start that no
    /// incarnation has listed may reach or have reached that one, so it is voided there first.
    pub(super) fn release_lost_runs(
        &mut self,
        now: Ms,
        name: &Name,
        kept: Option<Ms>,
        reason: &'static str,
    ) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let runs: Vec<(Task, Run)> = worker.runs.iter().copied().collect();
        for (task, run) in runs {
            let attempt = self.run_mut(task, run);
            if attempt.as_ref().map(|attempt| attempt.incarnation) == kept {
                continue;
            }
            match (attempt, kept) {
                (Some(attempt), Some(kept)) if attempt.may_outlive_incarnation() => {
                    attempt.incarnation = kept;
                    attempt.stop_sent = None;
                    self.stop_run(now, task, run, reason);
                }
                _ => self.release(now, task, run, reason),
            }
        }
    }
}
