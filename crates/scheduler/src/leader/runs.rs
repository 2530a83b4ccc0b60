//! Compares the runs that workers list, or no longer list, with the booked ones.

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::message::Observation;
use crate::message::Order;
use crate::message::Placement;
use crate::message::Running;
use crate::over::Over;
use crate::task::Attempt;
use crate::task::Phase;

/// The time after which the outcome of a start is no longer expected.
const START_TIMEOUT: Ms = Ms(2_500);

/// The number of consecutive polls that must miss a run before it counts as lost.
const MAX_MISSED_POLLS: u8 = 3;

/// The time for which a run or an end of an unknown job is left alone, because the row of the job
/// may still arrive.
pub(super) const UNKNOWN_JOB_TIMEOUT: Ms = Ms(10_000);

impl Leader {
    pub(super) fn observe_run(&mut self, now: Ms, observation: &Observation, row: &Running) {
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
        task.record_checkpoint(now, row.checkpoint.as_ref());
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
                    self.include_start(row.task, row.run);
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
        let has_other_run = !task.runs().is_empty();
        task.is_seen = true;
        let attempt = Attempt {
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
        };
        if let Some(step) = job.step(id.step) {
            step.add_run(id.index, attempt);
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
    pub(super) fn observe_unknown_run(
        &mut self,
        now: Ms,
        observation: &Observation,
        task: Task,
        run: Run,
    ) {
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
            let mut latest = incarnation;
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.unknown_runs.remove(&(task, run));
                // The run is voided in the incarnation that answers.
                latest = worker.incarnation.unwrap_or(latest);
            }
            self.discover_occurrence(task.step);
            self.adopt_run(now, &worker, latest, task, run, Phase::Unsure);
        }
    }

    /// Handles a booked run that the worker did not report.
    pub(super) fn handle_missing_run(
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
        if let Some(over) = Over::stopped(attempt, id, entry, observation) {
            return self.release(now, over);
        }
        match attempt.phase {
            Phase::Starting if now.since(attempt.phase_since) >= START_TIMEOUT => {
                // The answer was lost with the agent that polled the worker before.
                self.mark_unsure(now, id, run);
            }
            Phase::Starting => {}
            Phase::Unsure => {
                if attempt.stopped_at.is_none() {
                    self.stop_run(now, id, run, "start-unanswered");
                }
            }
            Phase::Running | Phase::Stopping => {
                attempt.missed_polls += 1;
                if attempt.missed_polls >= MAX_MISSED_POLLS && attempt.phase == Phase::Running {
                    self.stop_run(now, id, run, "not-listed");
                }
            }
        }
    }
}
