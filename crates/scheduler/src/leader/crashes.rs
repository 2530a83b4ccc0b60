//! Finds the tasks that crash the workers that start them, and gives them up.
//!
//! A crash ends all runs on a worker, and nothing tells which of them was the cause. Those that had
//! just begun are suspects. A suspect starts again only where no task of another job starts beside
//! it for a while, so that a second crash shows whether it is the cause.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use crate::agent::REPORT_INTERVAL;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::task::Phase;

/// A run on a worker that has answered this long after the start is not the cause of a crash.
const MIN_SURVIVAL: Ms = Ms(300);
/// The time for which no other task starts beside a suspect: until an answer must have shown that
/// the worker survived.
pub(super) const TRIAL_DURATION: Ms = Ms(MIN_SURVIVAL.0 + REPORT_INTERVAL.0);
/// The number of crashes under a task after which it is given up, if only tasks of its job had just
/// begun there and no other worker is lost at about that time.
const MIN_CRASHES: usize = 2;
/// The number of crashes under a task after which it is given up.
const MAX_CRASHES: usize = 3;
/// The time for which a crash counts as recent.
const CAUSE_MEMORY: Ms = Ms(10_000);
/// The time for which a worker that answers again shows that it had not crashed.
const RETRACTION_TIME: Ms = Ms(120_000);

/// The observation from which a crash is concluded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// The worker answers in a later incarnation.
    Restarted,
    /// Another worker answers at its address.
    Replaced,
    /// The leases expired, and its address refused connections since its last answer.
    Refused,
    /// The leases expired, and its registration was removed.
    Unlisted,
}

impl Evidence {
    /// Returns whether the worker may also have been cut off, and still run.
    const fn is_weak(self) -> bool {
        matches!(self, Self::Unlisted)
    }
}

/// The crash of a worker.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// The time when the leader concluded that the worker had crashed.
    at: Ms,
    suspects: Vec<(Task, Run)>,
}

impl Leader {
    /// Returns whether a worker crashed when the task had just begun there.
    pub(super) fn is_suspect(&self, task: Task) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.is_suspect(task))
    }

    /// Returns whether a worker crashed when one of these tasks of a step had just begun there.
    pub(super) fn has_suspects(&self, step: id::Step, indices: &[u32]) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| {
            let mut tasks = indices.iter().map(|&index| Task { step, index });
            job.progress.has_crashes(step) && tasks.any(|task| job.is_suspect(task))
        })
    }

    /// Concludes from what is known of a worker whose leases have expired whether it has crashed.
    pub(super) fn record_crash_at_lapse(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let Some(incarnation) = worker.incarnation else {
            return;
        };
        let evidence = match &worker.registration {
            _ if worker.refused_since.is_some() => Evidence::Refused,
            None => Evidence::Unlisted,
            Some(registration) if registration.incarnation > incarnation => Evidence::Restarted,
            Some(_) => return,
        };
        self.record_crash(now, name, incarnation, evidence);
    }

    /// Counts the crash of an incarnation of a worker against the runs that had just begun there. A
    /// repeated call has no effect.
    pub(super) fn record_crash(
        &mut self,
        now: Ms,
        name: &Name,
        incarnation: Ms,
        evidence: Evidence,
    ) {
        let key = (name.clone(), incarnation);
        if self.crashes.contains_key(&key) {
            return;
        }
        let worker = self.workers.get(name);
        let Some(worker) = worker.filter(|worker| worker.drained != Some(incarnation)) else {
            return;
        };
        let last_answer = worker.last_answer;
        let suspects = self.find_suspects(name, incarnation);
        self.log(format!(
            "kind=worker-crashed worker={name} born={incarnation} evidence={evidence:?} \
             answered_ago_ms={} suspects={}",
            now.since(last_answer).0,
            suspects.len()
        ));
        let crash = Crash {
            at: now,
            suspects: suspects.clone(),
        };
        self.crashes
            .retain(|_, crash| now.since(crash.at) < RETRACTION_TIME);
        self.crashes.insert(key, crash);
        if suspects.is_empty() {
            return;
        }
        self.tally.crashes += 1;
        let limit = self.crash_limit(now, name, &suspects, evidence);
        for (task, run) in suspects {
            self.suspect(now, name, task, run, limit, evidence);
        }
    }

    /// Counts a crash against the suspects of a step that this leader has not seen to run: an earlier
    /// one may have started them again and ended before it could count what came of it. That alone
    /// gives no job up.
    pub(super) fn assume_crashes(&mut self, step: id::Step) {
        let assumed = Run::unused(self.epoch);
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        if !job.progress.has_crashes(step) {
            return;
        }
        let Some(state) = job.step(step) else {
            return;
        };
        let unseen = state.startable().iter().copied();
        let unseen = unseen.filter(|&index| !state.tasks[index as usize].is_seen);
        let mut tasks: Vec<Task> = unseen.map(|index| Task { step, index }).collect();
        tasks.retain(|&task| (1..MAX_CRASHES - 1).contains(&job.progress.crashes(task)));
        if tasks.is_empty() {
            return;
        }
        for task in tasks {
            job.record_crash(task, assumed);
        }
        self.schedule_write(step.job);
    }

    /// Returns the runs on a worker that it did not answer for long enough after their start.
    fn find_suspects(&mut self, name: &Name, incarnation: Ms) -> Vec<(Task, Run)> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let (last_answer, refused_since) = (worker.last_answer, worker.refused_since);
        let mut runs: Vec<(Task, Run)> = worker.runs.iter().copied().collect();
        runs.retain(|&(task, run)| {
            self.run_mut(task, run).is_some_and(|attempt| {
                let is_certain =
                    attempt.is_listed || matches!(attempt.phase, Phase::Running | Phase::Stopping);
                // An unanswered start may have reached a worker that was down already.
                let is_likely = refused_since.is_some_and(|at| {
                    at >= attempt.started_at && at.since(attempt.started_at) < TRIAL_DURATION
                });
                attempt.incarnation == incarnation
                    && last_answer.since(attempt.started_at) < MIN_SURVIVAL
                    && (is_certain || is_likely)
            })
        });
        runs
    }

    /// Returns the number of crashes after which suspects are given up that were lost in this one.
    fn crash_limit(
        &self,
        now: Ms,
        name: &Name,
        suspects: &[(Task, Run)],
        evidence: Evidence,
    ) -> usize {
        let jobs: BTreeSet<id::Job> = suspects.iter().map(|(task, _)| task.step.job).collect();
        let is_other = |crash: &Crash| {
            let mut tasks = crash.suspects.iter().map(|(task, _)| task);
            !tasks.any(|task| jobs.contains(&task.step.job))
        };
        let mut recent = self.crashes.values();
        let has_others = recent.any(|crash| now.since(crash.at) < CAUSE_MEMORY && is_other(crash));
        let is_alone = !has_others && !self.are_others_silent(name);
        if jobs.len() == 1 && is_alone && !evidence.is_weak() {
            MIN_CRASHES
        } else {
            MAX_CRASHES
        }
    }

    /// Returns whether other workers do not answer, and nothing was concluded from it yet.
    fn are_others_silent(&self, crashed: &Name) -> bool {
        self.workers.iter().any(|(name, worker)| {
            let born = worker.incarnation.unwrap_or_default();
            let is_counted = self.crashes.contains_key(&(name.clone(), born));
            name != crashed && worker.is_unresponsive && !is_counted
        })
    }

    /// Counts a crash against a run, and gives its job up if this brings the task to the limit.
    fn suspect(
        &mut self,
        now: Ms,
        name: &Name,
        task: Task,
        run: Run,
        limit: usize,
        evidence: Evidence,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.has_ended() || job.task(task).is_none_or(|state| state.is_done) {
            return;
        }
        let crashes = job.record_crash(task, run);
        let observed = job.progress.observed_crashes(task);
        self.log(format!(
            "kind=task-suspected task={task} run={run} worker={name} crashes={crashes} limit={limit}"
        ));
        // A crash that was merely assumed does not make up for weak evidence of another.
        let counted = if evidence.is_weak() {
            observed
        } else {
            crashes
        };
        if counted >= limit && observed >= MIN_CRASHES {
            self.tally.crashing_jobs += 1;
            self.fail_job(now, task.step.job, "crashes-workers");
        }
        self.schedule_write(task.step.job);
    }

    /// Takes the crash of a worker back when the same incarnation answers.
    pub(super) fn retract_crash(&mut self, name: &Name, incarnation: Ms) {
        let Some(crash) = self.crashes.remove(&(name.clone(), incarnation)) else {
            return;
        };
        self.log(format!(
            "kind=worker-not-crashed worker={name} born={incarnation} suspects={}",
            crash.suspects.len()
        ));
        for (task, run) in crash.suspects {
            if let Some(job) = self.jobs.get_mut(&task.step.job) {
                job.retract_crash(task, run);
            }
            self.schedule_write(task.step.job);
        }
    }
}
