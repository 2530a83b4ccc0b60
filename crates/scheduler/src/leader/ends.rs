//! Handles the ends of runs.

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use super::runs::UNKNOWN_JOB_TIMEOUT;
use crate::age;
use crate::fleet::Pending;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::message::End;
use crate::message::Termination;
use crate::over::Over;
use crate::progress::Outcome;

/// The number of consecutive failed runs after which a worker is quarantined.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// The time for which a quarantined worker gets no new tasks.
const QUARANTINE_DURATION: Ms = Ms(2_500);

impl Leader {
    /// Handles the end of a run. A repeated report of the same end has no effect.
    pub(super) fn handle_end(&mut self, now: Ms, name: &Name, incarnation: Ms, end: &End) {
        let is_job_known = self.jobs.contains_key(&end.task.step.job);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.incarnation != Some(incarnation) || end.number <= worker.acknowledged {
            return;
        }
        let since = match worker.pending.get(&end.number) {
            Some(Pending::Unknown(since)) => *since,
            Some(_) => return,
            None => now,
        };
        let is_expected =
            now.since(since) < UNKNOWN_JOB_TIMEOUT || self.unreadable.contains(&end.task.step.job);
        if !is_job_known && is_expected {
            worker.pending.insert(end.number, Pending::Unknown(since));
            return;
        }
        worker.pending.insert(end.number, Pending::Settled);
        if !is_job_known {
            self.recall.keep(end);
        }
        let id = end.task;
        self.discover_occurrence(id.step);
        if let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task(id)) {
            task.record_checkpoint(now, end.checkpoint.as_ref());
        }
        match end.termination {
            Termination::Done => self.complete_run(now, name, incarnation, end),
            Termination::Failed => self.fail_run(now, name, incarnation, end),
            Termination::Stopped
            | Termination::Lapsed
            | Termination::Broken
            | Termination::Alone => {
                self.release_ended(now, name, incarnation, end);
            }
        }
    }

    fn complete_run(&mut self, now: Ms, name: &Name, incarnation: Ms, end: &End) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.consecutive_failures = 0;
        }
        let id = end.task;
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let spec = job.step_spec(id.step.step);
        // An earlier leader may have learned of the end of another copy or member.
        let is_only_run = !spec.is_some_and(|spec| spec.is_gang || spec.is_speculative);
        let runs = job.task(id).map(|task| task.runs());
        if is_only_run && matches!(runs, Some([only]) if only.run == end.run) {
            job.mark_successors_fresh(id.step);
        }
        let is_step_done = self.complete_tasks(id);
        // Another member or copy may have completed the task in progress that is not durable yet.
        self.record_pending(name, end.number, id.step.job);
        self.log(format!(
            "kind=run-ended task={id} run={} worker={name} how=done n={}",
            end.run, end.number
        ));
        self.release_ended(now, name, incarnation, end);
        self.stop_duplicates(now, id);
        if is_step_done {
            self.finish_step(now, id.step);
        }
        self.schedule_write(id.step.job);
    }

    /// Completes a task, or all tasks of its gang. Returns whether that completed the step.
    pub(super) fn complete_tasks(&mut self, id: Task) -> bool {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return false;
        };
        let is_gang = job.step_spec(id.step.step).is_some_and(|spec| spec.is_gang);
        if !is_gang {
            return job.complete(id);
        }
        let count = job.step(id.step).map_or(0, |step| step.tasks.len());
        let mut is_step_done = false;
        for index in (0..).take(count) {
            is_step_done |= job.complete(Task {
                step: id.step,
                index,
            });
        }
        is_step_done
    }

    /// Stops the other runs of a completed task.
    fn stop_duplicates(&mut self, now: Ms, id: Task) {
        let duplicates: Vec<Run> = self
            .jobs
            .get_mut(&id.step.job)
            .and_then(|job| job.task(id))
            .map(|task| task.runs().iter().map(|attempt| attempt.run).collect())
            .unwrap_or_default();
        for run in duplicates {
            self.stop_run(now, id, run, "task-done");
        }
    }

    pub(super) fn finish_step(&mut self, now: Ms, step: id::Step) {
        self.dequeue(step);
        self.advice.remove_step(step);
        let unix = self.unix;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        job.close_occurrence(step.occurrence, unix);
        if job.has_ended() {
            let waited = age::shifted(now).since(job.occurrence_age(step.occurrence).begin());
            self.log(format!(
                "kind=job-completed job={} ms={}",
                step.job, waited.0
            ));
            return self.stop_ended_job(now, step.job);
        }
        self.enqueue_occurrence(step.job, step.occurrence);
    }

    fn fail_run(&mut self, now: Ms, name: &Name, incarnation: Ms, end: &End) {
        let id = end.task;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.consecutive_failures += 1;
            if worker.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                worker.avoid_until = now + QUARANTINE_DURATION;
                self.log(format!("kind=worker-quarantined worker={name}"));
            }
        }
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let is_lasting = job
            .step_spec(id.step.step)
            .is_some_and(|spec| spec.is_lasting);
        if let Some(task) = job.task(id) {
            task.failed_on = Some(name.clone());
        }
        let failures = self.count_failure(end);
        if !is_lasting {
            // Without the progress that makes the failure irrelevant, it counts.
            self.record_pending(name, end.number, id.step.job);
            self.schedule_write(id.step.job);
        }
        self.log(format!(
            "kind=run-ended task={id} run={} worker={name} how=failed n={} failures={failures}",
            end.run, end.number
        ));
        self.fail_exhausted_job(now, id.step.job, failures);
        self.release_ended(now, name, incarnation, end);
    }

    /// Counts a failed run against its task, and returns the number of its failed runs, or 0 if they
    /// do not matter.
    pub(super) fn count_failure(&mut self, end: &End) -> usize {
        let id = end.task;
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return 0;
        };
        let spec = job.step_spec(id.step.step);
        let is_lasting = spec.is_some_and(|spec| spec.is_lasting);
        // A finished occurrence has no tasks, and neither has one that the job does not have.
        let is_open = job.task(id).is_some_and(|task| !task.is_done);
        if is_lasting || !is_open || job.has_ended() {
            return 0;
        }
        job.record_failure(id, end.run)
    }

    /// Fails a job if a task of it has failed this often.
    pub(super) fn fail_exhausted_job(&mut self, now: Ms, id: id::Job, failures: usize) {
        let max_attempts = self.max_attempts(id);
        if failures >= max_attempts {
            self.fail_job(now, id, "max-attempts");
        }
    }

    fn max_attempts(&self, id: id::Job) -> usize {
        let queue = self.jobs.get(&id).map(|job| &job.queue);
        let queue = queue.and_then(|name| self.queue(name));
        queue.map_or(usize::MAX, |queue| queue.max_attempts.max(1) as usize)
    }

    pub(super) fn fail_job(&mut self, now: Ms, id: id::Job, reason: &'static str) {
        let unix = self.unix;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.has_ended() {
            return;
        }
        job.end(Outcome::Failed, unix);
        self.log(format!("kind=job-failed job={id} reason={reason}"));
        self.stop_ended_job(now, id);
    }

    /// Keeps an end from being acknowledged until the progress of its job is durable.
    fn record_pending(&mut self, name: &Name, number: u64, job: id::Job) {
        let version = self.jobs.get(&job).map_or(0, |job| job.version);
        if let Some(worker) = self.workers.get_mut(name) {
            worker
                .pending
                .insert(number, Pending::Progress(job, version));
        }
    }

    /// Acknowledges the ends of a worker whose effect is durable.
    pub(super) fn acknowledge(&mut self, name: &Name) {
        let jobs = &self.jobs;
        let is_durable =
            |id: id::Job, version: u64| jobs.get(&id).is_none_or(|job| job.committed >= version);
        let is_new = self
            .workers
            .get_mut(name)
            .is_some_and(|worker| worker.acknowledge(is_durable));
        if is_new {
            self.send_watch(name);
        }
    }

    /// Releases a run whose end its worker lists.
    fn release_ended(&mut self, now: Ms, name: &Name, incarnation: Ms, end: &End) {
        let job = self.jobs.get_mut(&end.task.step.job);
        let attempt = job
            .and_then(|job| job.task(end.task))
            .and_then(|task| task.run(end.run));
        let worker = self.workers.get(name);
        if let (Some(worker), Some(attempt)) = (worker, attempt)
            && let Some(over) = Over::ended(worker, incarnation, end, name, attempt)
        {
            self.release(now, over);
        }
    }

    /// Releases the resources of a run that is over, and enqueues its task if it must run again.
    pub(super) fn release(&mut self, now: Ms, over: Over) {
        let (id, run, reason) = (over.task(), over.run(), over.reason());
        self.unsettled.remove(&(id, run));
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let Some(claim) = job.claim(id.step.step) else {
            return;
        };
        let Some(step) = job.step(id.step) else {
            return;
        };
        let Some(attempt) = step.remove_run(&over) else {
            return;
        };
        let is_startable = step.startable().contains(&id.index);
        let is_done = job.task(id).is_some_and(|task| task.is_done);
        if let Some(worker) = self.workers.get_mut(&attempt.worker) {
            worker.free(&claim, over);
            worker.improved_at = now;
        }
        if reason != "done" {
            self.log(format!(
                "kind=run-released task={id} run={run} worker={} reason={reason} phase={:?} ms={}",
                attempt.worker,
                attempt.phase,
                now.since(attempt.phase_since).0
            ));
        }
        if is_startable {
            self.enqueue(id.step);
        }
        if is_done {
            // The steps after it may have waited for this run.
            self.enqueue_unblocked(id.step.job, id.step.occurrence);
        }
    }
}
