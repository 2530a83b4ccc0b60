//! Tracks jobs from their acceptance to their end, and maintains the queue of waiting steps.

use decision::clock::Ms;

use super::Leader;
use super::Rank;
use crate::age;
use crate::age::Age;
use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::job;
use crate::progress::Outcome;
use crate::progress::Progress;
use crate::task::Attempt;

impl Leader {
    pub(super) fn accept_job(
        &mut self,
        now: Ms,
        id: id::Job,
        row: u64,
        accepted: job::Accepted,
        progress: Option<Progress>,
    ) {
        let is_forgotten = self.forgotten.get(&id).is_some_and(|&last| row <= last);
        if self.jobs.contains_key(&id) || is_forgotten {
            return;
        }
        if let Err(error) = accepted.spec.validate_shape() {
            if self.unreadable.insert(id) {
                self.log(format!(
                    "kind=row-ignored table=jobs job={id} cause=\"{error}\""
                ));
            }
            return;
        }
        let job = job::Job::new(id, row, accepted, progress, &mut self.model, now);
        let tasks: u32 = job.spec.steps.iter().map(|step| step.count).sum();
        self.log(format!(
            "kind=job-learned job={id} queue={} tasks={tasks} row={row} stage={:?}",
            job.queue, job.visible_stage
        ));
        if let Some((_, at)) = job.progress.ended {
            self.inherited_ends.push((id, at));
        }
        let has_ended = job.has_ended();
        if job.spec.schedule.is_some() && !has_ended {
            self.scheduled.insert(id);
        }
        self.jobs.insert(id, job);
        if self.cancelled.remove(&id) {
            self.cancel_job(now, id);
        } else if !has_ended {
            self.begin_due(id);
        }
        self.adopt_unknown_runs(now, id);
        self.apply_recalled_ends(now, id);
    }

    /// Begins the occurrences of a job that are due.
    pub(super) fn begin_due(&mut self, id: id::Job) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let begun = job.begin_due_occurrences(self.unix);
        if job.next_occurrence >= job.spec.occurrences() {
            self.scheduled.remove(&id);
        }
        for &occurrence in &begun {
            job.record_due(occurrence, self.clock, self.unix);
        }
        for occurrence in begun {
            self.enqueue_occurrence(id, occurrence);
        }
    }

    /// Records that an earlier leader has begun the occurrence of a step.
    pub(super) fn discover_occurrence(&mut self, step: id::Step) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        if job.discover(step.occurrence) {
            self.log(format!(
                "kind=occurrence-discovered step={step} unix={}",
                self.unix
            ));
        }
    }

    /// Enqueues the unblocked steps of an occurrence, and closes it if all steps are completed.
    pub(super) fn enqueue_occurrence(&mut self, id: id::Job, occurrence: u32) {
        self.enqueue_unblocked(id, occurrence);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.close_occurrence(occurrence, self.unix);
        }
        self.schedule_write(id);
    }

    /// Enqueues the unblocked steps of an occurrence.
    pub(super) fn enqueue_unblocked(&mut self, id: id::Job, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let steps = job.spec.steps.len();
        let steps = (0..steps).map(job::step_number);
        let unblocked: Vec<u16> = steps
            .filter(|&step| job.is_unblocked(occurrence, step))
            .collect();
        for step in unblocked {
            self.enqueue(id::Step {
                job: id,
                occurrence,
                step,
            });
        }
    }

    /// Enqueues a step if it is unblocked and has tasks to start.
    pub(super) fn enqueue(&mut self, step: id::Step) {
        let Some(rank) = self.compute_rank(step) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let is_unblocked = job.is_unblocked(step.occurrence, step.step);
        let has_tasks = job
            .step(step)
            .is_some_and(|state| !state.startable().is_empty());
        if has_tasks && is_unblocked && !job.has_ended() && !self.ranks.contains_key(&step) {
            self.ranks.insert(step, rank);
            self.waiting.insert((rank, step));
        }
    }

    /// Returns a run that holds resources on a worker.
    pub(super) fn run_mut(&mut self, id: Task, run: Run) -> Option<&mut Attempt> {
        self.jobs.get_mut(&id.step.job)?.task(id)?.run(run)
    }

    /// Returns the rank of a step: the priority of its queue, and the latest start at which the
    /// rest of the job still meets the latency objective.
    pub(super) fn compute_rank(&self, step: id::Step) -> Option<Rank> {
        let job = self.jobs.get(&step.job)?;
        let remaining = *job.remaining.get(usize::from(step.step))?;
        let longest_chain = job.remaining.iter().copied().max().unwrap_or_default();
        let queue = self.queue(&job.queue);
        let (priority, stretch, latency_allowance) = match queue {
            Some(queue) => (queue.priority, queue.stretch, queue.latency_allowance),
            None => (u32::MAX, 1.0, Ms::ZERO),
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "a stretch is a small positive factor"
        )]
        let objective = Ms((longest_chain.0 as f64 * stretch) as u64) + latency_allowance;
        let latest_end = job.occurrence_age(step.occurrence).begin() + objective;
        Some(Rank {
            priority,
            latest_start: latest_end.since(remaining),
            row: job.row_version,
        })
    }

    /// Estimates the ages of the jobs that earlier leaders knew.
    pub(super) fn estimate_ages(&mut self, now: Ms) {
        let mut known: Vec<(u64, Ms, id::Job)> = self
            .jobs
            .values()
            .map(|job| (job.row_version, job.accepted_at, job.id))
            .collect();
        known.sort_unstable();
        let accepted: Vec<Ms> = known.iter().map(|&(_, at, _)| at).collect();
        let ages = age::estimate(self.unix, &accepted);
        for (&(_, _, id), age) in known.iter().zip(ages) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.age = Age::new(now, age);
            }
        }
        let waiting: Vec<id::Step> = self.ranks.keys().copied().collect();
        for step in waiting {
            self.dequeue(step);
            self.enqueue(step);
        }
    }

    pub(super) fn dequeue(&mut self, step: id::Step) {
        if let Some(rank) = self.ranks.remove(&step) {
            self.waiting.remove(&(rank, step));
        }
        self.tried.remove(&step);
    }

    pub(super) fn cancel_job(&mut self, now: Ms, id: id::Job) {
        let Some(job) = self.jobs.get_mut(&id) else {
            // The row of the job may arrive after the row of its cancellation.
            self.cancelled.insert(id);
            return;
        };
        if job.has_ended() {
            return;
        }
        job.end(Outcome::Cancelled, self.unix);
        self.log(format!("kind=job-cancelled job={id}"));
        self.stop_ended_job(now, id);
    }

    /// Stops the remaining runs of a job that has ended, and removes its waiting steps.
    pub(super) fn stop_ended_job(&mut self, now: Ms, id: id::Job) {
        self.scheduled.remove(&id);
        self.schedule_write(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut steps = Vec::new();
        let mut running = Vec::new();
        for (&occurrence, states) in &job.occurrences {
            for (index, state) in states.iter().enumerate() {
                let step = id::Step {
                    job: id,
                    occurrence,
                    step: job::step_number(index),
                };
                steps.push(step);
                for (number, task) in (0..).zip(&state.tasks) {
                    let task_id = Task {
                        step,
                        index: number,
                    };
                    running.extend(task.runs().iter().map(|attempt| (task_id, attempt.run)));
                }
            }
        }
        for step in steps {
            self.dequeue(step);
            self.advice.remove_step(step);
        }
        for (task, run) in running {
            self.stop_run(now, task, run, "job-ended");
        }
    }

    /// Schedules a write of the job's progress if it has changed since the last commit.
    pub(super) fn schedule_write(&mut self, id: id::Job) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.version > job.committed {
            // Ends of jobs are written at once, other progress in groups.
            let due = if job.has_ended() {
                Ms::ZERO
            } else {
                self.group_deadline(job)
            };
            let entry = self.dirty.entry(id).or_insert(due);
            *entry = (*entry).min(due);
        }
    }
}
