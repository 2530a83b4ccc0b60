//! Keeps filling tasks from slowing lasting tasks beyond their limits.

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use crate::id::Run;
use crate::id::Task;
use crate::message::Order;
use crate::message::Place;
use crate::message::Running;
use crate::pace::Pacer;
use crate::task::Phase;

impl Leader {
    /// Takes in the figures of a look and paces the filling runs of the worker.
    pub(super) fn note_figures(&mut self, now: Ms, name: &Name, running: &[Running]) {
        let mut tail_percent = None;
        let mut filling = Vec::new();
        for row in running {
            let Some(spec) = self
                .jobs
                .get(&row.task.step.job)
                .and_then(|job| job.step_spec(row.task.step.step))
            else {
                continue;
            };
            if let Some(limit) = spec.tail_limit {
                let percent = u64::from(row.figure) * 100 / limit.0.max(1);
                tail_percent = tail_percent.max(Some(percent));
            }
            if spec.is_filling {
                filling.push((row.task, row.run, row.percent));
            }
        }
        let (Some(tail_percent), false) = (tail_percent, filling.is_empty()) else {
            self.pacers.remove(name);
            return self.restore_pace(name, &filling);
        };
        let pacer = self
            .pacers
            .entry(name.clone())
            .or_insert_with(Pacer::default);
        let share = pacer.update(now, tail_percent);
        for (task, run, percent) in filling {
            if percent != share {
                self.pace(name, task, run, share, tail_percent);
            }
        }
    }

    fn restore_pace(&mut self, name: &Name, filling: &[(Task, Run, u8)]) {
        for &(task, run, percent) in filling {
            if percent < 100 {
                self.pace(name, task, run, 100, 0);
            }
        }
    }

    fn pace(&mut self, name: &Name, task: Task, run: Run, share: u8, tail_percent: u64) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (Some(agent), Some(born)) = (worker.agent.clone(), worker.born) else {
            return;
        };
        self.log(format!(
            "kind=pace task={task} run={run} worker={name} percent={share} tail_percent={tail_percent}"
        ));
        let place = Place {
            worker: name.clone(),
            born,
            task,
            run,
        };
        self.send(&agent, Order::Pace(place, share));
    }

    /// Stops filling runs where pacing alone did not help in time.
    pub(super) fn protect_serving(&mut self, now: Ms) {
        let limit = Ms(self.bounds.harm.0 / 2);
        let harmed: Vec<Name> = self
            .pacers
            .iter()
            .filter(|(_, pacer)| pacer.is_over_for(now, limit))
            .map(|(name, _)| name.clone())
            .collect();
        for name in harmed {
            if let Some(pacer) = self.pacers.get_mut(&name) {
                pacer.restart(now);
            }
            for (task, run) in self.filling_runs(&name) {
                self.stop_run(now, task, run, "serving-tail-over-limit");
            }
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.no_filling_until = now + self.bounds.harm;
            }
        }
    }

    fn filling_runs(&mut self, name: &Name) -> Vec<(Task, Run)> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let runs: Vec<(Task, Run)> = worker.runs.iter().copied().collect();
        let mut filling = Vec::new();
        for (task, run) in runs {
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let is_filling = job
                .step_spec(task.step.step)
                .is_some_and(|spec| spec.is_filling);
            let is_running = job
                .task(task)
                .and_then(|state| state.run(run))
                .is_some_and(|active| active.phase == Phase::Running);
            if is_filling && is_running {
                filling.push((task, run));
            }
        }
        filling
    }
}
