//! Sends orders to start and stop runs, and handles their outcomes.

use decision::clock::Ms;
use decision::name::Name;

use super::Action;
use super::Leader;
use super::crashes::Evidence;
use crate::id::Run;
use crate::id::Task;
use crate::message::Order;
use crate::message::Outcome;
use crate::message::Placement;
use crate::over::Over;
use crate::task::Phase;

/// The delay after which an order to stop without effect is sent again.
const STOP_RETRY_DELAY: Ms = Ms(700);
/// The time for which a worker that refused a start gets no new tasks.
const REFUSED_START_COOLDOWN: Ms = Ms(500);

impl Leader {
    pub(super) fn mark_started(&mut self, id: Task) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        if !job.progress.has_started {
            job.progress.has_started = true;
            job.bump_version();
            self.schedule_write(id.step.job);
        }
    }

    pub(super) fn handle_start_outcome(
        &mut self,
        now: Ms,
        placement: &Placement,
        outcome: Outcome,
    ) {
        let id = placement.task;
        if outcome != Outcome::Unsent {
            self.include_start(id, placement.run);
        }
        let Some(attempt) = self.run_mut(id, placement.run) else {
            return;
        };
        if outcome == Outcome::Done {
            if attempt.phase == Phase::Starting {
                attempt.phase = Phase::Running;
                attempt.phase_since = now;
            }
            return self.mark_started(id);
        }
        self.log(format!(
            "kind=start-failed task={id} run={} worker={} outcome={outcome:?}",
            placement.run, placement.worker
        ));
        match outcome {
            Outcome::Done => {}
            Outcome::Fenced => self.actions.push(Action::Resign("fenced by a worker")),
            Outcome::Unknown => self.mark_unsure(now, id, placement.run),
            Outcome::Invalid => {
                self.release_refused(now, placement, outcome);
                self.fail_job(now, id.step.job, "invalid-for-worker");
            }
            Outcome::Ticket => {
                self.advice.drop_ticket(id.step, &placement.worker);
                self.release_refused(now, placement, outcome);
            }
            Outcome::Old | Outcome::Late => self.release_refused(now, placement, outcome),
            Outcome::Room | Outcome::Unsent | Outcome::Unhealthy | Outcome::Reborn => {
                if let Some(worker) = self.workers.get_mut(&placement.worker) {
                    worker.avoid_until = worker.avoid_until.max(now + REFUSED_START_COOLDOWN);
                }
                self.release_refused(now, placement, outcome);
            }
        }
    }

    /// Records that the order to start a run was sent, which renews the lease of its worker whatever
    /// the answer is.
    pub(super) fn include_start(&mut self, id: Task, run: Run) {
        let Some(attempt) = self.run_mut(id, run) else {
            return;
        };
        let (name, ordered_at) = (attempt.worker.clone(), attempt.started_at);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.renewals.include(ordered_at);
        }
    }

    fn release_refused(&mut self, now: Ms, placement: &Placement, outcome: Outcome) {
        let attempt = self.run_mut(placement.task, placement.run);
        let over = attempt.and_then(|attempt| Over::refused(attempt, placement, outcome));
        if let Some(over) = over {
            self.release(now, over);
        }
    }

    pub(super) fn mark_unsure(&mut self, now: Ms, id: Task, run: Run) {
        let Some(attempt) = self.run_mut(id, run) else {
            return;
        };
        if attempt.phase == Phase::Starting {
            attempt.phase = Phase::Unsure;
            attempt.phase_since = now;
            self.unsettled.insert((id, run), now);
        }
    }

    /// Marks the starts on a worker whose answers were lost with the connection to its agent.
    pub(super) fn mark_starts_unsure(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let runs: Vec<(Task, Run)> = worker.runs.iter().copied().collect();
        for (task, run) in runs {
            self.mark_unsure(now, task, run);
        }
    }

    /// Orders a run to stop. A run whose start is unanswered is voided, so that it cannot start
    /// later.
    pub(super) fn stop_run(&mut self, now: Ms, id: Task, run: Run, reason: &'static str) {
        let Some(attempt) = self.run_mut(id, run) else {
            return;
        };
        if attempt
            .stop_sent
            .is_some_and(|at| now.since(at) < STOP_RETRY_DELAY)
        {
            return;
        }
        let is_new = attempt.stop_sent.is_none();
        attempt.stop_sent = Some(now);
        if matches!(attempt.phase, Phase::Running) {
            attempt.phase = Phase::Stopping;
            attempt.phase_since = now;
            attempt.missed_polls = 0;
        } else if attempt.phase == Phase::Starting {
            attempt.phase = Phase::Unsure;
            attempt.phase_since = now;
        }
        attempt.stopped_at = None;
        let is_unsure = attempt.phase == Phase::Unsure;
        let placement = Placement {
            worker: attempt.worker.clone(),
            incarnation: attempt.incarnation,
            task: id,
            run,
        };
        self.unsettled.insert((id, run), now);
        if is_new {
            self.log(format!(
                "kind=stop task={id} run={run} worker={} reason={reason}",
                placement.worker
            ));
        }
        let agent = self.workers.get(&placement.worker);
        if let Some(agent) = agent.and_then(|worker| worker.agent.clone()) {
            let order = if is_unsure {
                Order::Void(placement)
            } else {
                Order::Stop(placement)
            };
            self.send(&agent, order);
        }
    }

    pub(super) fn handle_stop_outcome(
        &mut self,
        now: Ms,
        entry: &Name,
        placement: &Placement,
        outcome: Outcome,
        at: Ms,
    ) {
        let Some(attempt) = self.run_mut(placement.task, placement.run) else {
            return;
        };
        let is_for_earlier_life = attempt.incarnation != placement.incarnation;
        match outcome {
            Outcome::Fenced => self.actions.push(Action::Resign("fenced by a worker")),
            // The life that answers now is ordered to stop the run too.
            _ if is_for_earlier_life => {}
            Outcome::Done | Outcome::Old => {
                attempt.stopped_at = Some(at);
                attempt.stopped_by = Some(entry.clone());
            }
            Outcome::Reborn => {
                let incarnation = attempt.incarnation;
                let over = Over::replaced(attempt, placement, outcome);
                self.record_crash(now, &placement.worker, incarnation, Evidence::Replaced);
                if let Some(over) = over {
                    self.release(now, over);
                }
            }
            other => self.log(format!(
                "kind=stop-failed task={} run={} worker={} outcome={other:?}",
                placement.task, placement.run, placement.worker
            )),
        }
    }

    /// Repeats the orders to stop that have had no effect yet.
    pub(super) fn retry_stops(&mut self, now: Ms) {
        let late: Vec<(Task, Run)> = self
            .unsettled
            .iter()
            .filter(|(_, since)| now.since(**since) >= STOP_RETRY_DELAY)
            .map(|(&key, _)| key)
            .collect();
        for (task, run) in late {
            self.unsettled.insert((task, run), now);
            let is_answered = self
                .run_mut(task, run)
                .map(|attempt| attempt.stopped_at.is_some());
            match is_answered {
                None => drop(self.unsettled.remove(&(task, run))),
                Some(true) => {}
                Some(false) => self.stop_run(now, task, run, "repeated"),
            }
        }
    }
}
