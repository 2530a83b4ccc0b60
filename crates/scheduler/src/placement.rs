//! Chooses a worker for a task.
//!
//! Most of the fleet is booked by long-running tasks while bursts of wide steps arrive. Filling
//! tasks are therefore placed where booked tasks leave processor time unused, and all other tasks
//! stay within the size of the worker.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;

use crate::fleet::Claim;
use crate::fleet::Class;
use crate::fleet::Registration;
use crate::fleet::Worker;
use crate::id;
use crate::interference::Image;
use crate::interference::Model;
use crate::spec;

/// The part of its booked processors that a long-running task is expected to use, in percent.
/// Filling tasks may use the rest.
const SERVING_USE_PERCENT: i64 = 50;

/// The penalty of a worker for each of its consecutive failed runs.
const FAILURE_PENALTY: i64 = 400;
/// The bonus of the rack that holds the data.
const RACK_BONUS: i64 = 2_000;
/// The penalty of the worker on which the task failed last.
const FAILED_HERE_PENALTY: i64 = 3_000;
/// The penalty of a worker for each run that a task loses if it crashes the worker.
const LOST_RUN_PENALTY: i64 = 200;
/// The penalty of a worker with long-running tasks that may be lost in the same way.
const LOST_SERVING_PENALTY: i64 = 2_000;
/// The penalty of a worker with another run that has just begun, because a crash would not tell
/// which of both was the cause.
const AMBIGUITY_PENALTY: i64 = 5_000;
/// The time for which a run has just begun in this sense.
const RECENT_START: Ms = Ms(1_100);
/// The bonus of a worker on which suspects of the same job are on trial already.
const SAME_TRIAL_BONUS: i64 = 4_000;
/// The penalty of a filling task for each unit of slack that it takes from serving tasks.
const SLACK_COST_PENALTY: f64 = 450.0;
/// The bonus of a worker for each serving task of the same image, so that images that are sensitive
/// to the same filling work are kept together.
const SAME_IMAGE_BONUS: i64 = 500;
/// The slack that filling tasks leave to serving tasks if a delay would make a job late. It is
/// above 1 because the load of serving tasks fluctuates.
pub const MIN_SLACK: f64 = 1.15;
/// The slack that filling tasks leave to serving tasks if a delay costs little.
pub const AMPLE_SLACK: f64 = 1.4;
/// The slack that one filling task may take from a serving task regardless of the slack that is
/// left.
const NEGLIGIBLE_SLACK_COST: f64 = 0.08;
/// Slow workers are avoided only while at most one in this many workers is slow.
const MIN_WORKERS_PER_SLOW: usize = 4;

/// The requirements and preferences of a task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service whose workers run the queue.
    pub service: &'a Name,
    /// The step as the customer specified it.
    pub spec: &'a spec::Step,
    /// The resources that one task takes from a worker.
    pub claim: &'a Claim,
    /// The step of the task.
    pub step: id::Step,
    /// The workers for which the step has a ticket; absent if the queue needs none.
    pub tickets: Option<&'a BTreeSet<Name>>,
    /// The worker on which the task failed last; absent if it has not failed.
    pub failed_on: Option<&'a Name>,
    /// A worker crashed when the task had just begun there.
    pub is_suspect: bool,
    /// The rack that all tasks of the step should share; absent if they need not share one.
    pub rack: Option<&'a Name>,
    /// Slow workers are not eligible.
    pub avoids_slow: bool,
    /// The slack that a filling task must leave to each serving task.
    pub kept_slack: f64,
}

/// Returns whether a worker accepts new tasks at all.
#[must_use]
pub fn is_open(worker: &Worker, now: Ms) -> bool {
    worker.is_known
        && !worker.is_unresponsive
        && worker.unknown_runs.is_empty()
        && worker.agent.is_some()
        && worker.avoid_until <= now
        && worker.registration.as_ref().is_some_and(|registration| {
            !registration.is_draining && Some(registration.incarnation) == worker.incarnation
        })
}

/// Returns whether so few workers are slow that the others can carry the work.
pub fn can_avoid_slow<'a>(workers: impl Iterator<Item = &'a Worker>, now: Ms) -> bool {
    let mut all = 0;
    let mut slow = 0;
    for worker in workers {
        all += 1;
        slow += usize::from(worker.slow_until > now);
    }
    slow * MIN_WORKERS_PER_SLOW <= all
}

/// Returns whether an empty worker with this registration could run the step.
#[must_use]
pub fn is_suitable(request: &Request<'_>, registration: &Registration) -> bool {
    let has_label = match &request.spec.label {
        Some(label) => registration.labels.contains(label),
        None => true,
    };
    has_label
        && registration.service == *request.service
        && request.claim.size.fits(registration.size)
}

/// Returns whether a worker of the service has the free capacity for a task, regardless of its
/// other requirements.
#[must_use]
pub fn has_room(request: &Request<'_>, worker: &Worker, now: Ms) -> bool {
    worker.registration.as_ref().is_some_and(|registration| {
        registration.service == *request.service
            && is_open(worker, now)
            && fits_beside(request.claim.size, registration, worker)
    })
}

/// Returns whether a task keeps the worker within its capacity. A capacity that has shrunk may be
/// exceeded in a dimension that the task does not need.
fn fits_beside(size: Size, registration: &Registration, worker: &Worker) -> bool {
    let capacity = registration.size;
    worker.booked.fits(capacity) && size.fits(capacity.minus(worker.booked))
}

/// Returns the most tasks of a step that a worker can take. Those that fill may find less.
#[must_use]
pub fn room(request: &Request<'_>, model: &Model, name: &Name, worker: &Worker, now: Ms) -> u32 {
    let Some(registration) = &worker.registration else {
        return 0;
    };
    if score(request, model, name, worker, now).is_none() {
        return 0;
    }
    let free = registration.size.minus(worker.booked);
    let by_size = request.claim.size.times_in(free);
    let here = worker.steps.get(&request.step).copied().unwrap_or(0);
    let by_limit = request
        .spec
        .per_worker
        .unwrap_or(u32::MAX)
        .saturating_sub(here);
    by_size.min(by_limit)
}

/// Returns the score of a worker for a task, or `None` if the task does not fit. Higher is better.
#[must_use]
pub fn score(
    request: &Request<'_>,
    model: &Model,
    name: &Name,
    worker: &Worker,
    now: Ms,
) -> Option<i64> {
    let registration = worker.registration.as_ref()?;
    if !is_open(worker, now) || !is_suitable(request, registration) {
        return None;
    }
    if request.avoids_slow && worker.slow_until > now {
        return None;
    }
    if request
        .tickets
        .is_some_and(|tickets| !tickets.contains(name))
    {
        return None;
    }
    let trial = worker.trial_job(now);
    if trial.is_some_and(|job| job != request.step.job) {
        return None;
    }
    if !fits_beside(request.claim.size, registration, worker) {
        return None;
    }
    if let Some(limit) = request.spec.per_worker {
        let tasks_here = worker.steps.get(&request.step).copied().unwrap_or(0);
        if tasks_here >= limit {
            return None;
        }
    }
    let idle = idle_millicores(registration, worker);
    let rejects_filling = worker.is_halted || idle < i64::from(request.claim.millicores);
    if request.spec.is_filling && rejects_filling {
        return None;
    }
    let mut score = idle * 1_000 / i64::from(registration.size.millicores.max(1));
    match request.claim.class {
        Class::Plain => {}
        Class::Filling => {
            let taken = slack_cost(request, model, registration, worker)?;
            #[expect(
                clippy::cast_possible_truncation,
                reason = "scores are small numbers; the cast saturates"
            )]
            let penalty = (taken * SLACK_COST_PENALTY) as i64;
            score -= penalty;
        }
        Class::Serving(_) => {
            let group = worker.serving_groups.get(&request.claim.image);
            let same = group.map_or(0, |group| i64::from(group.count));
            score += same * SAME_IMAGE_BONUS;
        }
    }
    if request.failed_on == Some(name) {
        score -= FAILED_HERE_PENALTY;
    }
    score -= i64::from(worker.consecutive_failures) * FAILURE_PENALTY;
    if request.is_suspect {
        score -= trial_cost(worker, now);
    }
    let rack = request.spec.rack.as_ref().or(request.rack);
    if rack.is_some_and(|rack| registration.labels.contains(rack)) {
        score += RACK_BONUS;
    }
    Some(score)
}

/// Returns the penalty of a worker for a task that may crash it.
fn trial_cost(worker: &Worker, now: Ms) -> i64 {
    if worker.trial_job(now).is_some() {
        return -SAME_TRIAL_BONUS;
    }
    let mut cost = i64::try_from(worker.runs.len()).unwrap_or(i64::MAX / LOST_RUN_PENALTY);
    cost *= LOST_RUN_PENALTY;
    if worker.serving_millicores > 0 {
        cost += LOST_SERVING_PENALTY;
    }
    if now.since(worker.last_start) < RECENT_START {
        cost += AMBIGUITY_PENALTY;
    }
    cost
}

/// Returns the slack that a filling task takes from the serving tasks on a worker, or `None` if one
/// of them would be left with too little.
fn slack_cost(
    request: &Request<'_>,
    model: &Model,
    registration: &Registration,
    worker: &Worker,
) -> Option<f64> {
    let claim = request.claim;
    let load = share(claim.millicores, registration);
    let mut taken = 0.0;
    for (&serving, group) in &worker.serving_groups {
        let cost = model.coefficient(serving, claim.image) * load;
        let residual = worker.residuals.get(&serving).copied().unwrap_or(0.0);
        let slack = model.slack(serving, loads(registration, worker)) + residual.min(0.0);
        if cost > NEGLIGIBLE_SLACK_COST && slack - cost < request.kept_slack {
            return None;
        }
        taken += cost * f64::from(group.count);
    }
    Some(taken)
}

/// Returns the loads of filling tasks on a worker by image, as fractions of its processors.
pub fn loads<'a>(
    registration: &'a Registration,
    worker: &'a Worker,
) -> impl Iterator<Item = (Image, f64)> + 'a {
    let loads = worker.filling_by_image.iter();
    loads.map(|(&image, &millicores)| (image, share(millicores, registration)))
}

fn share(millicores: u32, registration: &Registration) -> f64 {
    f64::from(millicores) / f64::from(registration.size.millicores.max(1))
}

/// Returns the processor time that the runs on a worker are expected to leave unused, in
/// millicores.
fn idle_millicores(registration: &Registration, worker: &Worker) -> i64 {
    let serving = i64::from(worker.serving_millicores) * SERVING_USE_PERCENT / 100;
    let others = worker
        .booked
        .millicores
        .saturating_sub(worker.serving_millicores);
    i64::from(registration.size.millicores)
        - serving
        - i64::from(others)
        - i64::from(worker.filling_millicores)
}

/// Returns the worker with the highest score for a task among those that `is_usable` accepts.
pub fn choose<'a>(
    request: &Request<'_>,
    model: &Model,
    workers: impl Iterator<Item = (&'a Name, &'a Worker)>,
    is_usable: impl Fn(&Name) -> bool,
    now: Ms,
) -> Option<Name> {
    let candidates = workers.filter_map(|(name, worker)| {
        let score = score(request, model, name, worker, now)?;
        // Few workers have a score, so `is_usable` is called last.
        is_usable(name).then_some((score, name))
    });
    let best = candidates.max_by_key(|&(score, _)| score)?;
    Some(best.1.clone())
}
