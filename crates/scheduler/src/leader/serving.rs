//! Slows filling tasks down so that serving tasks stay within their latency limits.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;

use super::Leader;
use crate::fleet::Class;
use crate::id::Run;
use crate::id::Task;
use crate::interference::Image;
use crate::message::Order;
use crate::message::Placement;
use crate::message::Running;
use crate::pace;
use crate::pace::Fill;

/// A run that uses less than this part of its request and share has not reached its full load yet.
const MIN_VISIBLE_LOAD: f64 = 0.25;
/// A run with at most this share, in percent, is moved instead of being slowed further.
const MAX_MOVE_SHARE_PERCENT: u8 = 30;
/// The most runs that are moved after one poll.
const MAX_MOVES: usize = 2;
/// The time after a search without a result in which no run of the same image is tried to be moved,
/// because a search looks at the whole fleet.
const MOVE_SEARCH_INTERVAL: Ms = Ms(200);
/// The residual of the slack below which the worker itself counts as slow, if all its serving tasks
/// have it.
const SLOW_RESIDUAL: f64 = -1.3;
/// The number of serving tasks needed to distinguish a slow worker from a wrong estimate of one
/// image.
const MIN_SLOW_SERVING_TASKS: usize = 2;
/// The time for which a worker counts as slow after a poll that shows it.
const SLOW_DURATION: Ms = Ms(1_500);
/// The progress, in percent, that a long-running task reports while it serves.
const READY_PERCENT: u8 = 100;

/// A filling run on a worker. Loads are fractions of the worker's processors.
struct Filling {
    task: Task,
    run: Run,
    image: Image,
    /// The load that was measured.
    load: f64,
    /// The load that the run requested.
    requested: f64,
    share: Option<u8>,
}

impl Filling {
    /// Returns the expected load at full pace. A run that has just begun or is halted shows no load
    /// yet, so its request is used.
    fn full_load(&self) -> f64 {
        let share = f64::from(self.share.unwrap_or(100)) / 100.0;
        if self.load < self.requested * share * MIN_VISIBLE_LOAD || share <= 0.0 {
            self.requested
        } else {
            self.load / share
        }
    }
}

/// A serving run on a worker, with the ratio of its latency limit to its tail latency.
struct Serving {
    image: Image,
    slack: f64,
}

impl Leader {
    /// Applies the measurements of a poll and paces the filling runs on the worker.
    pub(super) fn apply_measurements(&mut self, now: Ms, name: &Name, running: &[Running]) {
        let (serving, filling) = self.classify_measurements(name, running);
        let loads = loads_by_image(&filling);
        if self.is_slow(&serving, &loads) {
            self.mark_slow(now, name);
        } else {
            self.record_residuals(name, &serving, &loads);
            self.train_model(&serving, &loads);
        }
        if serving.is_empty() || filling.is_empty() {
            self.pacers.remove(name);
            self.set_halted(name, false);
            self.set_paces(name, &filling, |_| 100, 0.0);
            return;
        }
        let mean = mean_share(&filling);
        self.congestion.record(now, mean, self.workers.len());
        let slacks = serving.iter().map(|serving| serving.slack);
        let tail_ratio = 1.0 / slacks.fold(f64::MAX, f64::min);
        let pacer = self.pacers.entry(name.clone()).or_default();
        let is_halted = pacer.update_halt(now, tail_ratio);
        let is_settled = pacer.is_settled(now);
        self.set_halted(name, is_halted);
        if is_halted {
            self.set_paces(name, &filling, |_| 0, tail_ratio);
            return self.move_slowed(now, name, &filling);
        }
        if !is_settled {
            return;
        }
        let mut shares = self.compute_shares(now, &serving, &filling).into_iter();
        let pace = move |_: &Filling| shares.next().unwrap_or(100);
        let is_changed = self.set_paces(name, &filling, pace, tail_ratio);
        if is_changed && let Some(pacer) = self.pacers.get_mut(name) {
            pacer.record_change(now);
        }
        self.move_slowed(now, name, &filling);
    }

    /// Returns the shares, in percent, at which the filling runs leave enough slack to the serving
    /// runs.
    fn compute_shares(&self, now: Ms, serving: &[Serving], filling: &[Filling]) -> Vec<u8> {
        let coefficient =
            |serving: &Serving, run: &Filling| self.model.coefficient(serving.image, run.image);
        let base_slack = serving.iter().map(|serving| {
            let taken = filling
                .iter()
                .map(|run| coefficient(serving, run) * run.load);
            serving.slack + taken.sum::<f64>()
        });
        let base_slack: Vec<f64> = base_slack.collect();
        let fills = filling.iter().map(|run| {
            let slack_costs = serving
                .iter()
                .map(|serving| coefficient(serving, run) * run.full_load());
            Fill {
                urgency: self.urgency(now, run.task.step),
                share: run.share.unwrap_or(100),
                slack_costs: slack_costs.collect(),
            }
        });
        let fills: Vec<Fill> = fills.collect();
        pace::shares(&base_slack, &fills)
    }

    /// Moves runs that were slowed down to workers where they cost no serving task its slack,
    /// because a step waits for its slowest task.
    fn move_slowed(&mut self, now: Ms, name: &Name, filling: &[Filling]) {
        let slowed = filling.iter().filter(|filling| {
            filling
                .share
                .is_some_and(|share| share <= MAX_MOVE_SHARE_PERCENT)
        });
        let slowed: Vec<(Task, Run)> = slowed.map(|filling| (filling.task, filling.run)).collect();
        let mut moved = 0;
        for (task, run) in slowed {
            if moved >= MAX_MOVES {
                return;
            }
            let Some(claim) = self.movable_claim(task, run) else {
                continue;
            };
            let searched = self.immovable.get(&claim.image);
            if searched.is_some_and(|&at| now.since(at) < MOVE_SEARCH_INTERVAL) {
                continue;
            }
            let target = self.find_worker(now, &claim, task);
            let Some(target) = target.filter(|target| target != name) else {
                self.immovable.insert(claim.image, now);
                continue;
            };
            moved += 1;
            self.log(format!(
                "kind=move task={task} run={run} from={name} to={target}"
            ));
            self.stop_run(now, task, run, "slowed-for-serving");
        }
    }

    /// Sets whether the worker gets no new filling runs because its serving tasks exceed their
    /// limits.
    fn set_halted(&mut self, name: &Name, is_halted: bool) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.is_halted != is_halted {
            worker.is_halted = is_halted;
            self.log(format!(
                "kind=filling-halted worker={name} halted={is_halted}"
            ));
        }
    }

    fn classify_measurements(
        &self,
        name: &Name,
        running: &[Running],
    ) -> (Vec<Serving>, Vec<Filling>) {
        let mut serving = Vec::new();
        let mut filling = Vec::new();
        let size = self.millicores_of(name);
        for row in running {
            let job = self.jobs.get(&row.task.step.job);
            let Some(claim) = job.and_then(|job| job.claim(row.task.step.step)) else {
                continue;
            };
            match claim.class {
                Class::Plain | Class::Serving(None) => {}
                Class::Filling => filling.push(Filling {
                    task: row.task,
                    run: row.run,
                    image: claim.image,
                    load: f64::from(row.measurement) / f64::from(size),
                    requested: f64::from(claim.millicores) / f64::from(size),
                    share: self.share(row.task, row.run),
                }),
                Class::Serving(Some(limit)) => {
                    if row.percent >= READY_PERCENT && row.measurement > 0 {
                        serving.push(Serving {
                            image: claim.image,
                            slack: limit / f64::from(row.measurement),
                        });
                    }
                }
            }
        }
        (serving, filling)
    }

    /// Returns the processors of a worker in millicores.
    fn millicores_of(&self, name: &Name) -> u32 {
        let registration = self
            .workers
            .get(name)
            .and_then(|worker| worker.registration.as_ref());
        registration.map_or(1, |registration| registration.size.millicores.max(1))
    }

    /// Returns whether the slack on a worker is so low that neither the load of the serving tasks
    /// nor the filling tasks beside them can be the cause.
    fn is_slow(&self, serving: &[Serving], loads: &[(Image, f64)]) -> bool {
        let is_low = |serving: &Serving| {
            self.model.residual(serving.image, serving.slack, loads) < SLOW_RESIDUAL
        };
        serving.len() >= MIN_SLOW_SERVING_TASKS && serving.iter().all(is_low)
    }

    fn mark_slow(&mut self, now: Ms, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let was_slow = worker.slow_until > now;
        worker.slow_until = now + SLOW_DURATION;
        if !was_slow {
            self.log(format!("kind=worker-slow worker={name}"));
        }
    }

    /// Records the lowest residual of each serving image on the worker.
    fn record_residuals(&mut self, name: &Name, serving: &[Serving], loads: &[(Image, f64)]) {
        let mut residuals: BTreeMap<Image, f64> = BTreeMap::new();
        for serving in serving {
            let residual = self.model.residual(serving.image, serving.slack, loads);
            let lowest = residuals.entry(serving.image).or_insert(residual);
            *lowest = lowest.min(residual);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.residuals = residuals;
        }
    }

    fn train_model(&mut self, serving: &[Serving], loads: &[(Image, f64)]) {
        for serving in serving {
            self.model.learn(serving.image, serving.slack, loads);
        }
    }

    /// Orders the paces that differ from those in force, and returns whether there were any. The
    /// log lines show `tail_ratio`, the worst tail latency as a ratio to its limit.
    fn set_paces(
        &mut self,
        name: &Name,
        filling: &[Filling],
        mut pace: impl FnMut(&Filling) -> u8,
        tail_ratio: f64,
    ) -> bool {
        let mut is_changed = false;
        for filling in filling {
            let share = pace(filling);
            if filling.share != Some(share) {
                self.send_pace(name, filling.task, filling.run, share, tail_ratio);
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns the share that a run was last ordered to work at, in percent, if that is known.
    fn share(&self, id: Task, run: Run) -> Option<u8> {
        let job = self.jobs.get(&id.step.job)?;
        let steps = job.occurrences.get(&id.step.occurrence)?;
        let step = steps.get(usize::from(id.step.step))?;
        let task = step.tasks.get(id.index as usize)?;
        let attempt = task.runs().iter().find(|attempt| attempt.run == run)?;
        attempt.share
    }

    fn send_pace(&mut self, name: &Name, task: Task, run: Run, share: u8, tail_ratio: f64) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let (Some(agent), Some(incarnation)) = (worker.agent.clone(), worker.incarnation) else {
            return;
        };
        if let Some(attempt) = self.run_mut(task, run) {
            attempt.share = Some(share);
        }
        self.log(format!(
            "kind=pace task={task} run={run} worker={name} percent={share} \
             tail_of_limit={tail_ratio:.2}"
        ));
        let placement = Placement {
            worker: name.clone(),
            incarnation,
            task,
            run,
        };
        self.send(&agent, Order::Pace(placement, share));
    }
}

/// Returns the mean share, in percent, at which filling runs were ordered to work.
fn mean_share(filling: &[Filling]) -> f64 {
    let shares = filling
        .iter()
        .map(|run| f64::from(run.share.unwrap_or(100)));
    #[expect(
        clippy::cast_precision_loss,
        reason = "numbers of runs are exact in an f64"
    )]
    let count = filling.len().max(1) as f64;
    shares.sum::<f64>() / count
}

/// Returns the loads of the filling runs, summed by image.
fn loads_by_image(filling: &[Filling]) -> Vec<(Image, f64)> {
    let mut loads: Vec<(Image, f64)> = Vec::new();
    for filling in filling {
        match loads.iter_mut().find(|(image, _)| *image == filling.image) {
            Some((_, load)) => *load += filling.load,
            None => loads.push((filling.image, filling.load)),
        }
    }
    loads
}
