//! What agents see on workers.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use super::LEADER_CONTACT_TIMEOUT;
use super::Leader;
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
use crate::task::Active;
use crate::task::Phase;

/// The time after which the outcome of a start no longer comes.
const START_TIMEOUT: Ms = Ms(2_500);

/// Looks in a row without a run after which it counts as gone.
const MISSES: u8 = 3;

/// How long a run or an end of an unknown job is left alone.
pub(super) const UNLEARNED: Ms = Ms(10_000);

impl Leader {
    pub(super) fn handle_note(&mut self, now: Ms, entry: &Name, note: Report) {
        let needs_jobs = !matches!(
            note,
            Report::QueryStage(..) | Report::Beat | Report::Config(_) | Report::Store(..)
        );
        if needs_jobs && !self.is_recovered {
            self.early.push((entry.clone(), note));
            return;
        }
        match note {
            Report::Hello(hello) => self.keep_accounts(now, hello),
            // The embedder carries these out.
            Report::Beat | Report::Config(_) | Report::Store(..) => {}
            Report::Polled(look) => self.look(now, entry, look),
            Report::PollFailed(missed) => self.miss(now, entry, &missed),
            Report::Started(placement, outcome) => self.started(now, &placement, outcome),
            Report::Stopped(placement, outcome, at) => {
                self.stopped(now, entry, &placement, outcome, at)
            }
            Report::QueryStage(number, job) => {
                let stage = self.stage(job);
                self.send(entry, Order::Stage(number, stage));
            }
        }
    }

    /// Keeps what an agent knows of workers from the orders of an earlier leader, for the case that
    /// they do not answer. A worker that answers also tells of ends, which the agent does not know.
    fn keep_accounts(&mut self, now: Ms, hello: Hello) {
        let lease = LEADER_CONTACT_TIMEOUT + self.lease_end();
        for (name, ago, placements) in hello.known {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            if !worker.is_known {
                let lapses = Ms(now.0.saturating_sub(ago.0)) + lease;
                worker.lapses = Some(lapses.max(worker.lapses.unwrap_or_default()));
                // Two agents may have started tasks there one after the other.
                worker.account.get_or_insert_default().extend(placements);
            }
        }
    }

    /// Books what an earlier leader started on a worker that does not answer.
    fn use_account(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get_mut(name).filter(|worker| !worker.is_known) else {
            return;
        };
        let Some(placements) = worker.account.take() else {
            return;
        };
        worker.is_known = true;
        for placement in placements {
            self.adopt(
                now,
                name,
                placement.incarnation,
                placement.task,
                placement.run,
                Phase::Unsure,
            );
        }
    }

    fn look(&mut self, now: Ms, entry: &Name, look: Observation) {
        let Some(worker) = self.workers.get_mut(&look.worker) else {
            return;
        };
        if worker.agent.as_ref() != Some(entry)
            || worker
                .incarnation
                .is_some_and(|incarnation| incarnation > look.incarnation)
        {
            return;
        }
        worker.is_unresponsive = false;
        worker.lapses = None;
        if worker.incarnation != Some(look.incarnation) {
            let is_restart = worker.incarnation.is_some();
            worker.restart(look.incarnation);
            if is_restart {
                self.log(format!(
                    "kind=worker-restarted worker={} born={}",
                    look.worker, look.incarnation
                ));
            }
            self.lose_runs(
                now,
                &look.worker,
                Some(look.incarnation),
                "worker-restarted",
            );
        }
        let is_first = self.workers.get_mut(&look.worker).is_some_and(|worker| {
            let is_first = !worker.is_known;
            worker.is_known = look.running.is_some() || worker.is_known;
            is_first && worker.is_known
        });
        for end in &look.ended {
            self.end_run(now, &look.worker, look.incarnation, end);
        }
        if let Some(running) = &look.running {
            self.compare(now, entry, &look, running);
        }
        if is_first {
            self.log(format!(
                "kind=worker-known worker={} agent={entry} born={} running={} ended={}",
                look.worker,
                look.incarnation,
                look.running.as_ref().map_or(0, Vec::len),
                look.ended.len()
            ));
            self.send_watch(&look.worker);
        }
        self.acknowledge(&look.worker);
    }

    /// Compares what runs with what should run.
    fn compare(&mut self, now: Ms, entry: &Name, look: &Observation, running: &[Running]) {
        let mut seen: BTreeSet<(Task, Run)> = BTreeSet::new();
        for row in running {
            seen.insert((row.task, row.run));
            self.see_run(now, look, row);
        }
        let Some(worker) = self.workers.get_mut(&look.worker) else {
            return;
        };
        worker.unlearned.retain(|run| seen.contains(run));
        let absent: Vec<(Task, Run)> = worker.runs.difference(&seen).copied().collect();
        for (task, run) in absent {
            self.miss_run(now, entry, look, task, run);
        }
        self.note_figures(now, &look.worker, running);
    }

    fn see_run(&mut self, now: Ms, look: &Observation, row: &Running) {
        let is_over = self
            .jobs
            .get(&row.task.step.job)
            .is_none_or(|job| job.has_ended());
        let known = self
            .jobs
            .get_mut(&row.task.step.job)
            .and_then(|job| job.task(row.task));
        let Some(task) = known else {
            return self.see_unlearned(now, look, row.task, row.run);
        };
        if row.checkpoint.is_some() {
            task.checkpoint.clone_from(&row.checkpoint);
        }
        let is_done = task.is_done;
        match task.run(row.run) {
            Some(active) => {
                active.misses = 0;
                active.percent = row.percent;
                active.measurement = row.measurement;
                if matches!(active.phase, Phase::Starting | Phase::Unsure) && !is_over {
                    active.phase = Phase::Running;
                    active.since = now;
                    active.stop_sent = None;
                    active.stopped_at = None;
                    self.unsettled.remove(&(row.task, row.run));
                    self.mark_started(row.task);
                }
            }
            None => {
                self.adopt(
                    now,
                    &look.worker,
                    look.incarnation,
                    row.task,
                    row.run,
                    Phase::Running,
                );
            }
        }
        if is_done || is_over {
            self.stop_run(now, row.task, row.run, "not-wanted");
        }
    }

    /// Books a run that this leader did not start. A second run of a task is stopped.
    pub(super) fn adopt(
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
        let is_second = !task.runs.is_empty();
        task.runs.push(Active {
            worker: name.clone(),
            incarnation,
            run,
            phase,
            since: now,
            stop_sent: None,
            stopped_at: None,
            stopped_by: None,
            misses: 0,
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
            "kind=run-adopted task={id} run={run} worker={name} second={is_second}"
        ));
        if phase == Phase::Running {
            self.mark_started(id);
        } else {
            self.unsettled.insert((id, run), now);
        }
        if is_second && !is_speculative {
            self.stop_run(now, id, run, "second-run");
        }
    }

    /// Handles a run of a job that this leader has not learned of: its row may be on the way.
    fn see_unlearned(&mut self, now: Ms, look: &Observation, task: Task, run: Run) {
        let placement = Placement {
            worker: look.worker.clone(),
            incarnation: look.incarnation,
            task,
            run,
        };
        if let Some(worker) = self.workers.get_mut(&look.worker) {
            worker.unlearned.insert((task, run));
        }
        let since = *self.unlearned.entry(placement.clone()).or_insert(now);
        if now.since(since) < UNLEARNED {
            return;
        }
        let worker = self.workers.get(&look.worker);
        let Some(agent) = worker.and_then(|worker| worker.agent.clone()) else {
            return;
        };
        self.log(format!(
            "kind=stop task={task} run={run} worker={} reason=unknown-job",
            look.worker
        ));
        self.send(&agent, Order::Stop(placement));
    }

    /// Books the runs of a job that were seen before it was learned of.
    pub(super) fn adopt_unlearned(&mut self, now: Ms, id: id::Job) {
        let found: Vec<Placement> = self
            .unlearned
            .keys()
            .filter(|placement| placement.task.step.job == id)
            .cloned()
            .collect();
        for placement in found {
            self.unlearned.remove(&placement);
            let Placement {
                worker,
                incarnation,
                task,
                run,
            } = placement;
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.unlearned.remove(&(task, run));
            }
            self.adopt(now, &worker, incarnation, task, run, Phase::Unsure);
        }
    }

    /// Handles a booked run that a look did not show.
    fn miss_run(&mut self, now: Ms, entry: &Name, look: &Observation, id: Task, run: Run) {
        let Some(active) = self.run_mut(id, run) else {
            return;
        };
        if active.stopped_at.is_some() && active.stopped_by.as_ref() != Some(entry) {
            // Another agent had the answer, and its clock tells nothing about this look.
            active.stopped_at = None;
        }
        let is_stopped = active.stopped_at.is_some_and(|at| look.polled_at > at);
        match active.phase {
            Phase::Starting if now.since(active.since) >= START_TIMEOUT => {
                // The answer was lost with an agent that had the worker before.
                self.mark_unsure(now, id, run);
            }
            Phase::Starting => {}
            Phase::Unsure if !is_stopped => {
                if active.stopped_at.is_none() {
                    self.stop_run(now, id, run, "start-unanswered");
                }
            }
            Phase::Unsure => self.release(now, id, run, "never-started"),
            Phase::Stopping if is_stopped => self.release(now, id, run, "stopped"),
            Phase::Running | Phase::Stopping => {
                active.misses += 1;
                if active.misses >= MISSES && active.phase == Phase::Running {
                    self.stop_run(now, id, run, "not-listed");
                }
            }
        }
    }

    fn miss(&mut self, now: Ms, entry: &Name, missed: &Failure) {
        let (name, ago) = (&missed.worker, missed.renewal_age);
        let lease = self.lease_end();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.agent.as_ref() != Some(entry) {
            return;
        }
        let lapses = Ms(now.0.saturating_sub(ago.0)) + lease;
        let is_new = !worker.is_unresponsive;
        worker.is_unresponsive = true;
        let has_left = worker.was_draining && worker.registration.is_none() && missed.is_closed;
        if worker.is_known {
            let lapses = lapses.max(worker.lease_floor);
            worker.lapses = Some(worker.lapses.unwrap_or_default().max(lapses));
        }
        self.use_account(now, name);
        if has_left {
            // A worker that drained, is no longer registered and does not listen has ended.
            if let Some(worker) = self.workers.get_mut(name) {
                worker.lapses = Some(now);
            }
            return self.expire_leases(now);
        }
        if is_new {
            self.log(format!(
                "kind=worker-silent worker={name} agent={entry} renewed_ago_ms={}",
                ago.0
            ));
        }
    }

    /// Gives up the runs on workers that were silent until all leases expired.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        let expired: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.lapses.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.lose_runs(now, &name, None, "lease-expired");
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            worker.is_known = true;
            worker.is_unresponsive = true;
            worker.lapses = None;
            self.log(format!("kind=worker-lapsed worker={name}"));
            if self
                .workers
                .get(&name)
                .is_some_and(|w| w.registration.is_none())
            {
                self.unwatch(&name);
                self.workers.remove(&name);
                self.is_fleet_compared = false;
            }
        }
    }

    /// Releases the runs on a worker, except those of the incarnation `kept`.
    fn lose_runs(&mut self, now: Ms, name: &Name, kept: Option<Ms>, reason: &'static str) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let runs: Vec<(Task, Run)> = worker.runs.iter().copied().collect();
        for (task, run) in runs {
            let incarnation = self.run_mut(task, run).map(|active| active.incarnation);
            if incarnation.is_none() || incarnation != kept {
                self.release(now, task, run, reason);
            }
        }
    }
}
