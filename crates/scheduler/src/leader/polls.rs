//! Handles the reports of agents on the workers that they poll.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use super::LEADER_CONTACT_TIMEOUT;
use super::Leader;
use super::crashes::Evidence;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::message::Failure;
use crate::message::Hello;
use crate::message::Observation;
use crate::message::Order;
use crate::message::Placement;
use crate::message::Report;
use crate::message::Running;
use crate::task::Attempt;
use crate::task::Phase;

/// The time after which the outcome of a start is no longer expected.
const START_TIMEOUT: Ms = Ms(2_500);

/// The most ends that a worker lists at a time. It keeps any further ones until these are
/// acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// The number of consecutive polls that must miss a run before it counts as lost.
const MAX_MISSED_POLLS: u8 = 3;

/// The time for which a run or an end of an unknown job is left alone, because the row of the job
/// may still arrive.
pub(super) const UNKNOWN_JOB_TIMEOUT: Ms = Ms(10_000);

impl Leader {
    pub(super) fn handle_report(&mut self, now: Ms, entry: &Name, report: Report) {
        let needs_jobs = !matches!(
            report,
            Report::QueryStage(..) | Report::Beat | Report::Config(_) | Report::Store(..)
        );
        if needs_jobs && !self.is_recovered {
            self.deferred_reports.push((entry.clone(), report));
            return;
        }
        match report {
            Report::Hello(hello) => self.record_earlier_renewals(now, &hello),
            // The embedder handles these reports.
            Report::Beat | Report::Config(_) | Report::Store(..) => {}
            Report::Polled(observation) => self.apply_observation(now, entry, observation),
            Report::PollFailed(failure) => self.handle_poll_failure(now, entry, &failure),
            Report::Started(placement, outcome) => {
                self.handle_start_outcome(now, &placement, outcome)
            }
            Report::Stopped(placement, outcome, at) => {
                self.handle_stop_outcome(now, entry, &placement, outcome, at)
            }
            Report::QueryStage(number, job) => {
                let stage = self.stage(job);
                self.send(entry, Order::Stage(number, stage));
            }
        }
    }

    /// Records the renewals of an agent for an earlier leader. Its list of runs is not used, because
    /// other agents, which may be lost, can have started runs on the same workers.
    fn record_earlier_renewals(&mut self, now: Ms, hello: &Hello) {
        let lease = LEADER_CONTACT_TIMEOUT + self.lease_expiry_delay();
        for (name, renewal_age, _) in &hello.known {
            let unheard = self.workers.get_mut(name);
            if let Some(worker) = unheard.filter(|worker| !worker.is_known) {
                worker.delay_lease_expiry(Ms(now.0.saturating_sub(renewal_age.0)) + lease);
            }
        }
    }

    fn apply_observation(&mut self, now: Ms, entry: &Name, observation: Observation) {
        let Some(worker) = self.workers.get_mut(&observation.worker) else {
            return;
        };
        if worker.agent.as_ref() != Some(entry)
            || worker
                .incarnation
                .is_some_and(|incarnation| incarnation > observation.incarnation)
        {
            return;
        }
        worker.is_unresponsive = false;
        worker.lease_expiry = None;
        worker.has_lapsed = false;
        self.is_fleet_synced &= !worker.is_unreached;
        worker.is_unreached = false;
        let earlier = worker.incarnation;
        if earlier == Some(observation.incarnation) {
            worker.last_answer = now;
            worker.refused_since = None;
        }
        self.retract_crash(&observation.worker, observation.incarnation);
        if earlier != Some(observation.incarnation) {
            if let Some(earlier) = earlier {
                self.record_crash(now, &observation.worker, earlier, Evidence::Restarted);
            }
            if let Some(worker) = self.workers.get_mut(&observation.worker) {
                worker.restart(observation.incarnation);
                worker.last_answer = now;
                worker.refused_since = None;
            }
            if earlier.is_some() {
                self.log(format!(
                    "kind=worker-restarted worker={} born={}",
                    observation.worker, observation.incarnation
                ));
                // The agent must no longer acknowledge the ends of the incarnation before.
                self.send_watch(&observation.worker);
            }
            self.release_lost_runs(
                now,
                &observation.worker,
                Some(observation.incarnation),
                "worker-restarted",
            );
        }
        let is_first = self
            .workers
            .get_mut(&observation.worker)
            .is_some_and(|worker| {
                let is_first = !worker.is_known;
                worker.is_known = observation.running.is_some() || worker.is_known;
                is_first && worker.is_known
            });
        for end in &observation.ended {
            self.handle_end(now, &observation.worker, observation.incarnation, end);
        }
        if let Some(running) = &observation.running {
            self.reconcile(now, entry, &observation, running);
        }
        if is_first {
            self.log(format!(
                "kind=worker-known worker={} agent={entry} born={} running={} ended={}",
                observation.worker,
                observation.incarnation,
                observation.running.as_ref().map_or(0, Vec::len),
                observation.ended.len()
            ));
            self.send_watch(&observation.worker);
        }
        self.acknowledge(&observation.worker);
    }

    /// Compares the runs that the worker reports with the booked ones.
    fn reconcile(&mut self, now: Ms, entry: &Name, observation: &Observation, running: &[Running]) {
        let mut reported: BTreeSet<(Task, Run)> = BTreeSet::new();
        for row in running {
            reported.insert((row.task, row.run));
            self.observe_run(now, observation, row);
        }
        let Some(worker) = self.workers.get_mut(&observation.worker) else {
            return;
        };
        worker.unknown_runs.retain(|run| reported.contains(run));
        let mut missing: Vec<(Task, Run)> = worker.runs.difference(&reported).copied().collect();
        if observation.ended.len() >= MAX_LISTED_ENDS {
            // The missing runs may have ended in a way that the worker has not listed yet.
            missing.clear();
        }
        for (task, run) in missing {
            self.handle_missing_run(now, entry, observation, task, run);
        }
        self.apply_measurements(now, &observation.worker, running);
    }

    fn observe_run(&mut self, now: Ms, observation: &Observation, row: &Running) {
        let is_job_over = self
            .jobs
            .get(&row.task.step.job)
            .is_none_or(|job| job.has_ended());
        self.discover_occurrence(row.task.step);
        let known = self
            .jobs
            .get_mut(&row.task.step.job)
            .and_then(|job| job.task(row.task));
        let Some(task) = known else {
            return self.observe_unknown_run(now, observation, row.task, row.run);
        };
        if row.checkpoint.is_some() {
            task.checkpoint.clone_from(&row.checkpoint);
        }
        let is_done = task.is_done;
        match task.run(row.run) {
            Some(attempt) => {
                attempt.is_listed |= attempt.incarnation == observation.incarnation;
                attempt.missed_polls = 0;
                attempt.percent = row.percent;
                attempt.measurement = row.measurement;
                if matches!(attempt.phase, Phase::Starting | Phase::Unsure) && !is_job_over {
                    attempt.phase = Phase::Running;
                    attempt.phase_since = now;
                    attempt.stop_sent = None;
                    attempt.stopped_at = None;
                    self.unsettled.remove(&(row.task, row.run));
                    self.mark_started(row.task);
                }
            }
            None => {
                self.adopt_run(
                    now,
                    &observation.worker,
                    observation.incarnation,
                    row.task,
                    row.run,
                    Phase::Running,
                );
            }
        }
        if is_done || is_job_over {
            self.stop_run(now, row.task, row.run, "not-wanted");
        }
    }

    /// Books a run that this leader did not start. It is stopped if its task already has a run and
    /// is not speculative.
    pub(super) fn adopt_run(
        &mut self,
        now: Ms,
        name: &Name,
        incarnation: Ms,
        id: Task,
        run: Run,
        phase: Phase,
    ) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let Some(claim) = job.claim(id.step.step) else {
            return;
        };
        let is_speculative = job
            .step_spec(id.step.step)
            .is_some_and(|spec| spec.is_speculative);
        let Some(task) = job.task(id) else {
            return;
        };
        if task.run(run).is_some() {
            return;
        }
        let has_other_run = !task.runs.is_empty();
        task.is_seen = true;
        task.runs.push(Attempt {
            worker: name.clone(),
            incarnation,
            run,
            started_at: Ms::ZERO,
            is_listed: phase == Phase::Running,
            phase,
            phase_since: now,
            stop_sent: None,
            stopped_at: None,
            stopped_by: None,
            missed_polls: 0,
            share: None,
            percent: 0,
            measurement: 0,
        });
        if let Some(step) = job.step(id.step) {
            step.startable.remove(&id.index);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.book(&claim, id, run);
        }
        self.log(format!(
            "kind=run-adopted task={id} run={run} worker={name} second={has_other_run}"
        ));
        if phase == Phase::Running {
            self.mark_started(id);
        } else {
            self.unsettled.insert((id, run), now);
        }
        if has_other_run && !is_speculative {
            self.tally.second_runs += 1;
            self.stop_run(now, id, run, "second-run");
        }
    }

    /// Records a run whose task this leader does not know. It stops the run if the job no longer
    /// needs it, or if the row of the job does not arrive in time.
    fn observe_unknown_run(&mut self, now: Ms, observation: &Observation, task: Task, run: Run) {
        let placement = Placement {
            worker: observation.worker.clone(),
            incarnation: observation.incarnation,
            task,
            run,
        };
        if let Some(worker) = self.workers.get_mut(&observation.worker) {
            worker.unknown_runs.insert((task, run));
        }
        let is_job_known = self.jobs.contains_key(&task.step.job);
        if !is_job_known {
            let since = *self.unknown_runs.entry(placement.clone()).or_insert(now);
            let is_unreadable = self.unreadable.contains(&task.step.job);
            if is_unreadable || now.since(since) < UNKNOWN_JOB_TIMEOUT {
                return;
            }
        }
        let worker = self.workers.get(&observation.worker);
        let Some(agent) = worker.and_then(|worker| worker.agent.clone()) else {
            return;
        };
        let reason = if is_job_known {
            "not-wanted"
        } else {
            "unknown-job"
        };
        self.log(format!(
            "kind=stop task={task} run={run} worker={} reason={reason}",
            observation.worker
        ));
        self.send(&agent, Order::Stop(placement));
    }

    /// Books the runs of a job that were observed before the job was known.
    pub(super) fn adopt_unknown_runs(&mut self, now: Ms, id: id::Job) {
        let found: Vec<Placement> = self
            .unknown_runs
            .keys()
            .filter(|placement| placement.task.step.job == id)
            .cloned()
            .collect();
        for placement in found {
            self.unknown_runs.remove(&placement);
            let Placement {
                worker,
                incarnation,
                task,
                run,
            } = placement;
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.unknown_runs.remove(&(task, run));
            }
            self.discover_occurrence(task.step);
            self.adopt_run(now, &worker, incarnation, task, run, Phase::Unsure);
        }
    }

    /// Handles a booked run that the worker did not report.
    fn handle_missing_run(
        &mut self,
        now: Ms,
        entry: &Name,
        observation: &Observation,
        id: Task,
        run: Run,
    ) {
        let Some(attempt) = self.run_mut(id, run) else {
            return;
        };
        if attempt.stopped_at.is_some() && attempt.stopped_by.as_ref() != Some(entry) {
            // Another agent received the answer, and its clock cannot be compared with the time of
            // this poll.
            attempt.stopped_at = None;
        }
        let is_stopped = attempt
            .stopped_at
            .is_some_and(|at| observation.polled_at > at);
        match attempt.phase {
            Phase::Starting if now.since(attempt.phase_since) >= START_TIMEOUT => {
                // The answer was lost with the agent that polled the worker before.
                self.mark_unsure(now, id, run);
            }
            Phase::Starting => {}
            Phase::Unsure if !is_stopped => {
                if attempt.stopped_at.is_none() {
                    self.stop_run(now, id, run, "start-unanswered");
                }
            }
            Phase::Unsure => self.release(now, id, run, "never-started"),
            Phase::Stopping if is_stopped => self.release(now, id, run, "stopped"),
            Phase::Running | Phase::Stopping => {
                attempt.missed_polls += 1;
                if attempt.missed_polls >= MAX_MISSED_POLLS && attempt.phase == Phase::Running {
                    self.stop_run(now, id, run, "not-listed");
                }
            }
        }
    }

    fn handle_poll_failure(&mut self, now: Ms, entry: &Name, failure: &Failure) {
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
        let has_left = worker.was_draining && worker.registration.is_none() && failure.is_closed;
        if !worker.has_lapsed || !worker.runs.is_empty() {
            worker.expect_lease_expiry(lease_expiry);
        }
        if has_left {
            // A worker that was draining, is no longer registered and refuses connections has
            // exited.
            if let Some(worker) = self.workers.get_mut(name) {
                worker.lease_expiry = Some(now);
            }
            return;
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
    /// earlier leaders are read, reports are deferred, and they may tell of renewals too.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        if !self.is_recovered {
            return;
        }
        let has_expired = |at: Ms| at <= now && at < self.certain_until;
        let expired: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.lease_expiry.is_some_and(has_expired))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.record_crash_at_lapse(now, &name);
            self.release_lost_runs(now, &name, None, "lease-expired");
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            let line = format!(
                "kind=worker-lapsed worker={name} agent={} known={} past_bound_ms={} \
                 past_floor_ms={}",
                worker.agent.as_deref().unwrap_or("none"),
                worker.is_known,
                now.since(worker.lease_expiry.unwrap_or(now)).0,
                now.since(worker.min_lease_expiry).0
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
                self.unwatch(&name);
                self.workers.remove(&name);
                self.is_fleet_synced = false;
            }
        }
    }

    /// Releases the runs on a worker, except those of the incarnation `kept`. A start that no
    /// incarnation has listed may reach or have reached that one, so it is voided there first.
    fn release_lost_runs(&mut self, now: Ms, name: &Name, kept: Option<Ms>, reason: &'static str) {
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
