//! Chooses a worker for a task.
//!
//! Answers a fleet that is mostly booked by lasting tasks and gets bursts of wide steps: filling
//! tasks go where booked tasks leave processor time, other tasks keep to the worker's size.

use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;

use crate::fleet::Claim;
use crate::fleet::Class;
use crate::fleet::Registration;
use crate::fleet::Worker;
use crate::id;
use crate::interference::Image;
use crate::interference::Model;
use crate::spec;

/// The share of its booked processors that a lasting task uses, in percent, as far as filling
/// tasks may count on the rest.
const SERVING_USE_PERCENT: u32 = 50;

/// The penalty of a worker on which runs failed one after the other, in points for each.
const FAILURE_PENALTY: i64 = 400;
/// The bonus of the rack that holds the data, in points.
const RACK_BONUS: i64 = 2_000;
/// The penalty of the worker on which the task failed last, in points.
const FAILED_HERE_PENALTY: i64 = 3_000;
/// The penalty of a filling task for the slack that it takes from serving ones, in points.
const SLACK_COST_PENALTY: f64 = 450.0;
/// The bonus of a worker for a serving task beside others of its image, in points for each: images
/// that suffer from the same filling work are kept together.
const SAME_IMAGE_BONUS: i64 = 500;
/// The slack that filling tasks leave to serving ones where a delay makes a job late: above 1, since
/// the load of serving tasks swings.
pub const MIN_SLACK: f64 = 1.15;
/// The slack that they leave where the delay costs little.
pub const AMPLE_SLACK: f64 = 1.4;
/// The slack that one filling task may take from any serving task.
const NEGLIGIBLE_SLACK_COST: f64 = 0.08;
/// With more slow workers than one of this many, slow ones are used as well.
const MIN_WORKERS_PER_SLOW: usize = 4;

/// What a task looks for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service that runs the queue.
    pub service: &'a Name,
    /// What the customer said of the step.
    pub spec: &'a spec::Step,
    /// What a task takes.
    pub claim: &'a Claim,
    /// The step.
    pub step: id::Step,
    /// The workers with a ticket for the step, where the queue needs one.
    pub tickets: Option<&'a BTreeSet<Name>>,
    /// The worker on which the task failed last.
    pub failed_on: Option<&'a Name>,
    /// The rack that the other tasks of the step are on.
    pub rack: Option<&'a Name>,
    /// Slow workers are left out.
    pub avoids_slow: bool,
    /// The slack that is left to serving tasks.
    pub kept_slack: f64,
}

/// Whether a worker takes new tasks at all.
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

/// Whether so few workers are slow that the others can carry the work.
pub fn can_avoid_slow<'a>(workers: impl Iterator<Item = &'a Worker>, now: Ms) -> bool {
    let mut all = 0;
    let mut slow = 0;
    for worker in workers {
        all += 1;
        slow += usize::from(worker.slow_until > now);
    }
    slow * MIN_WORKERS_PER_SLOW <= all
}

/// Whether the step could ever run on a worker with this registration.
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

/// Whether a worker of the service has the size that a task needs, whatever else it asks for.
#[must_use]
pub fn has_room(request: &Request<'_>, worker: &Worker, now: Ms) -> bool {
    worker.registration.as_ref().is_some_and(|registration| {
        let room = registration.size.minus(worker.booked);
        registration.service == *request.service
            && is_open(worker, now)
            && request.claim.size.fits(room)
    })
}

/// The points of a worker for a task, or `None` when it does not fit. More is better.
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
    let room = registration.size.minus(worker.booked);
    if !request.claim.size.fits(room) {
        return None;
    }
    if let Some(most) = request.spec.per_worker {
        let here = worker.steps.get(&request.step).copied().unwrap_or(0);
        if here >= most {
            return None;
        }
    }
    let idle = idle_millicores(registration, worker);
    let is_crowded = worker.is_halted || idle < i64::from(request.claim.millicores);
    if request.spec.is_filling && is_crowded {
        return None;
    }
    let mut score = idle * 1_000 / i64::from(registration.size.millicores.max(1));
    match request.claim.class {
        Class::Plain => {}
        Class::Filling => {
            let taken = slack_cost(request, model, registration, worker)?;
            #[expect(
                clippy::cast_possible_truncation,
                reason = "points are small numbers; the cast saturates"
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
    let rack = request.spec.rack.as_ref().or(request.rack);
    if rack.is_some_and(|rack| registration.labels.contains(rack)) {
        score += RACK_BONUS;
    }
    Some(score)
}

/// The slack that a filling task takes from the serving tasks on a worker, or `None` when one would
/// be left with too little.
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

/// The loads of filling tasks on a worker, as shares of its processors.
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

/// Processor time that the runs on a worker are expected to leave.
fn idle_millicores(registration: &Registration, worker: &Worker) -> i64 {
    let serving = worker.serving_millicores * SERVING_USE_PERCENT / 100;
    let others = worker
        .booked
        .millicores
        .saturating_sub(worker.serving_millicores);
    i64::from(registration.size.millicores)
        - i64::from(serving)
        - i64::from(others)
        - i64::from(worker.filling_millicores)
}

/// The best worker for a task among those that are usable at all.
pub fn choose<'a>(
    request: &Request<'_>,
    model: &Model,
    workers: impl Iterator<Item = (&'a Name, &'a Worker)>,
    is_usable: impl Fn(&Name) -> bool,
    now: Ms,
) -> Option<Name> {
    let candidates = workers.filter_map(|(name, worker)| {
        let score = score(request, model, name, worker, now)?;
        // Few workers come this far, so that the look-up is done last.
        is_usable(name).then_some((score, name))
    });
    let best = candidates.max_by_key(|&(score, _)| score)?;
    Some(best.1.clone())
}
