//! One pass over the waiting steps, and which of them it need not try.

use std::collections::BTreeSet;

use decision::name::Name;

use crate::fleet::Claim;
use crate::fleet::Class;
use crate::id;
use crate::placement::Request;

/// The most steps without room that one pass tries in each class before it skips the other steps of
/// that class. The limit is per class so that long-running tasks that wait for room do not hold up
/// filling ones.
const MAX_UNPLACED_STEPS: usize = 24;
/// The most steps without room that one pass tries in turn in each class after that, so that a small
/// step starts although many before it find no room for long.
const MAX_UNPLACED_IN_TURN: usize = 4;
/// The most overdue steps without room that one pass tries in each class before those that are on
/// time.
const MAX_UNPLACED_OVERDUE: usize = 8;

/// The results of one pass over the waiting steps.
#[derive(Default)]
pub(super) struct Pass {
    pub(super) starts: usize,
    pub(super) has_unheard_workers: bool,
    /// Slow workers are not eligible.
    pub(super) avoids_slow: bool,
    /// Some steps found no room.
    pub(super) is_crowded: bool,
    /// Some steps were not tried because too many of their class had found no room.
    pub(super) has_skipped: bool,
    unplaced: Vec<Unplaced>,
    /// The steps that found no room.
    steps: BTreeSet<id::Step>,
    /// The number of plain, filling and serving steps that were tried and found no room.
    tried: [usize; 3],
    /// The most such steps of each class.
    limit: usize,
}

/// The requirements of a step that found no room because of its size alone.
struct Unplaced {
    service: Name,
    claim: Claim,
    kept_slack: f64,
}

impl Pass {
    pub(super) fn new(has_unheard_workers: bool, avoids_slow: bool) -> Self {
        Self {
            has_unheard_workers,
            avoids_slow,
            limit: MAX_UNPLACED_STEPS,
            ..Self::default()
        }
    }

    /// Sets how many steps without room are tried before a step, which is overdue and comes before
    /// those that are on time, or is not.
    pub(super) const fn allow(&mut self, is_first: bool) {
        self.limit = if is_first {
            MAX_UNPLACED_OVERDUE
        } else {
            MAX_UNPLACED_STEPS
        };
    }

    /// Lets the pass try further steps of each class.
    pub(super) const fn allow_more(&mut self) {
        self.limit = MAX_UNPLACED_STEPS + MAX_UNPLACED_IN_TURN;
        self.tried = [MAX_UNPLACED_STEPS; 3];
        self.has_skipped = false;
    }

    /// Returns whether no further step of any class is tried by its urgency.
    pub(super) fn is_exhausted(&self) -> bool {
        self.tried.iter().all(|&tried| tried >= MAX_UNPLACED_STEPS)
    }

    /// Returns whether a step may find room, given the steps that found none before it.
    pub(super) fn should_try(
        &mut self,
        step: id::Step,
        service: &Name,
        claim: &Claim,
        kept_slack: f64,
    ) -> bool {
        let mut unplaced = self.unplaced.iter();
        let is_allowed = self.tried[class_index(claim)] < self.limit;
        self.has_skipped |= !is_allowed;
        let is_worth_trying = is_allowed
            && !self.steps.contains(&step)
            && !unplaced.any(|unplaced| unplaced.covers(service, claim, kept_slack));
        self.is_crowded |= !is_worth_trying;
        is_worth_trying
    }

    /// Records a step that could not be placed; `is_special` is set if the cause is a constraint that
    /// other steps do not have.
    pub(super) fn record_unplaced(&mut self, request: &Request<'_>, is_special: bool) {
        self.is_crowded = true;
        self.steps.insert(request.step);
        self.tried[class_index(request.claim)] += 1;
        if !is_special {
            self.unplaced.push(Unplaced {
                service: request.service.clone(),
                claim: *request.claim,
                kept_slack: request.kept_slack,
            });
        }
    }
}

impl Unplaced {
    /// Returns whether a step with this claim needs at least as much as this one, so that it finds no
    /// room either.
    fn covers(&self, service: &Name, claim: &Claim, kept_slack: f64) -> bool {
        let is_alike = match self.claim.class {
            Class::Filling => claim.image == self.claim.image && kept_slack >= self.kept_slack,
            Class::Plain | Class::Serving(_) => true,
        };
        is_alike
            && class_index(claim) == class_index(&self.claim)
            && *service == self.service
            && self.claim.size.fits(claim.size)
            && claim.millicores >= self.claim.millicores
    }
}

/// Returns whether a step needs more than free capacity; `has_suspects` is set if some of its tasks
/// start only apart from others.
pub(super) fn is_constrained(request: &Request<'_>, has_suspects: bool) -> bool {
    let spec = request.spec;
    has_suspects
        || spec.is_gang
        || spec.label.is_some()
        || spec.per_worker.is_some()
        || request.tickets.is_some()
}

/// Returns the index of the claim's class in [`Pass::tried`].
const fn class_index(claim: &Claim) -> usize {
    match claim.class {
        Class::Plain => 0,
        Class::Filling => 1,
        Class::Serving(_) => 2,
    }
}
