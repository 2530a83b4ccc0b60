//! Moves tasks away from draining workers.

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use crate::fleet::Claim;
use crate::fleet::Class;
use crate::id::Run;
use crate::id::Task;
use crate::placement;
use crate::placement::Request;
use crate::task::Phase;

/// The interval of the passes over draining workers.
const PASS_INTERVAL: Ms = Ms(200);

impl Leader {
    /// Stops runs on draining workers that can continue on another worker. Short tasks without
    /// checkpoints run to their end.
    pub(super) fn move_from_draining(&mut self, now: Ms) {
        let is_early = now.since(self.last_drain) < PASS_INTERVAL;
        if is_early || !self.is_recovered || self.has_unheard_workers() {
            return;
        }
        self.last_drain = now;
        let draining = self.workers.iter().filter(|(_, worker)| {
            let registration = worker.registration.as_ref();
            registration.is_some_and(|registration| registration.is_draining)
                && !worker.runs.is_empty()
        });
        let names: Vec<Name> = draining.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.move_runs(now, &name);
        }
    }

    fn move_runs(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let runs: Vec<(Task, Run)> = worker.runs.iter().copied().collect();
        for (task, run) in runs {
            let Some(claim) = self.movable_claim(task, run) else {
                continue;
            };
            if let Some(target) = self.find_worker(now, &claim, task) {
                self.log(format!(
                    "kind=move task={task} run={run} from={name} to={target}"
                ));
                self.stop_run(now, task, run, "worker-draining");
            }
        }
    }

    /// Returns the claim of a run that loses little work when it is stopped, and `None` for other
    /// runs.
    pub(super) fn movable_claim(&mut self, id: Task, run: Run) -> Option<Claim> {
        let job = self.jobs.get_mut(&id.step.job)?;
        let claim = job.claim(id.step.step)?;
        let has_checkpoints = job.step_spec(id.step.step)?.has_checkpoints;
        let attempt = job.task(id)?.run(run)?;
        let is_running = attempt.phase == Phase::Running;
        let is_cheap = has_checkpoints || matches!(claim.class, Class::Serving(_));
        (is_running && is_cheap).then_some(claim)
    }

    /// Returns the best worker for a task now, or `None` if it fits nowhere.
    pub(super) fn find_worker(&self, now: Ms, claim: &Claim, id: Task) -> Option<Name> {
        let job = self.jobs.get(&id.step.job)?;
        let queue = self.queue(&job.queue)?;
        let request = Request {
            service: &queue.service,
            spec: job.step_spec(id.step.step)?,
            claim,
            step: id.step,
            tickets: None,
            failed_on: None,
            is_suspect: false,
            rack: None,
            avoids_slow: true,
            kept_slack: placement::AMPLE_SLACK,
        };
        let is_usable = |name: &Name| self.is_stored(name);
        placement::choose(&request, &self.model, self.workers.iter(), is_usable, now)
    }
}
