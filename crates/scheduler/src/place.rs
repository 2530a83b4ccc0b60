//! Chooses a worker for a task.
//!
//! Answers a fleet that is mostly booked by lasting tasks and gets bursts of wide steps: filling
//! tasks go where booked tasks leave processor time, other tasks keep to the worker's size.

use decision::clock::Ms;
use decision::name::Name;

use crate::fleet::Listing;
use crate::fleet::Worker;
use crate::fleet::counted;
use crate::id;
use crate::spec;

/// The share of its booked processors that a lasting task uses, in percent, as far as filling
/// tasks may count on the rest.
const SERVING_USE_PERCENT: u32 = 55;

/// The penalty of a worker on which runs failed one after the other, in points for each.
const STRIKE_POINTS: i64 = 400;
/// The bonus of the rack that holds the data, in points.
const RACK_POINTS: i64 = 2_000;
/// The penalty of the worker on which the task failed last, in points.
const FAILED_HERE_POINTS: i64 = 3_000;
/// The penalty of a filling task beside lasting ones, in points for a fully booked worker.
const BESIDE_SERVING_POINTS: i64 = 300;

/// What a task looks for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The service that runs the queue.
    pub service: &'a Name,
    /// What the customer said of the step.
    pub spec: &'a spec::Step,
    /// The step.
    pub step: id::Step,
    /// The worker on which the task failed last.
    pub failed_on: Option<&'a Name>,
    /// The rack that the other tasks of the step are on.
    pub rack: Option<&'a Name>,
}

/// Whether a worker takes new tasks at all.
#[must_use]
pub fn is_open(worker: &Worker, now: Ms) -> bool {
    worker.is_known
        && !worker.is_silent
        && worker.agent.is_some()
        && worker.avoid_until <= now
        && worker
            .listing
            .as_ref()
            .is_some_and(|listing| !listing.is_draining && Some(listing.born) == worker.born)
}

/// Whether the step could ever run on a worker with this registration.
#[must_use]
pub fn is_suitable(wish: &Wish<'_>, listing: &Listing) -> bool {
    let has_label = match &wish.spec.label {
        Some(label) => listing.labels.contains(label),
        None => true,
    };
    has_label && listing.service == *wish.service && counted(wish.spec).fits(listing.size)
}

/// The points of a worker for a task, or `None` when it does not fit. More is better.
#[must_use]
pub fn points(wish: &Wish<'_>, name: &Name, worker: &Worker, now: Ms) -> Option<i64> {
    let listing = worker.listing.as_ref()?;
    if !is_open(worker, now) || !is_suitable(wish, listing) {
        return None;
    }
    let room = listing.size.minus(worker.booked);
    if !counted(wish.spec).fits(room) {
        return None;
    }
    if let Some(most) = wish.spec.per_worker {
        let here = worker.steps.get(&wish.step).copied().unwrap_or(0);
        if here >= most {
            return None;
        }
    }
    let idle = idle_millicores(listing, worker);
    let is_crowded = idle < i64::from(wish.spec.need.millicores) || worker.no_filling_until > now;
    if wish.spec.is_filling && is_crowded {
        return None;
    }
    let mut points = idle * 1_000 / i64::from(listing.size.millicores.max(1));
    if wish.spec.is_filling {
        let serving = i64::from(worker.serving);
        points -= serving * BESIDE_SERVING_POINTS / i64::from(listing.size.millicores.max(1));
    }
    if wish.failed_on == Some(name) {
        points -= FAILED_HERE_POINTS;
    }
    points -= i64::from(worker.strikes) * STRIKE_POINTS;
    let rack = wish.spec.rack.as_ref().or(wish.rack);
    if rack.is_some_and(|rack| listing.labels.contains(rack)) {
        points += RACK_POINTS;
    }
    Some(points)
}

/// Processor time that the runs on a worker are expected to leave.
fn idle_millicores(listing: &Listing, worker: &Worker) -> i64 {
    let serving = worker.serving * SERVING_USE_PERCENT / 100;
    let others = worker.booked.millicores.saturating_sub(worker.serving);
    i64::from(listing.size.millicores)
        - i64::from(serving)
        - i64::from(others)
        - i64::from(worker.filling)
}

/// The best worker for a task.
pub fn choose<'a>(
    wish: &Wish<'_>,
    workers: impl Iterator<Item = (&'a Name, &'a Worker)>,
    now: Ms,
) -> Option<Name> {
    let scored = workers.filter_map(|(name, worker)| {
        let points = points(wish, name, worker, now)?;
        Some((points, name))
    });
    let best = scored.max_by_key(|&(points, _)| points)?;
    Some(best.1.clone())
}
