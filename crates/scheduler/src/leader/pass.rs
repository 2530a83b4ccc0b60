//! One pass over the waiting steps, and which of them it need not try.

use decision::name::Name;

use crate::fleet::Claim;
use crate::fleet::Class;
use crate::placement::Request;

/// The most steps without room that one pass tries in each class before it skips the other steps of
/// that class. The limit is per class so that long-running tasks that wait for room do not hold up
/// filling ones.
const MAX_UNPLACED_STEPS: usize = 24;

/// The results of one pass over the waiting steps.
#[derive(Default)]
pub(super) struct Pass {
    pub(super) starts: usize,
    pub(super) has_unheard_workers: bool,
    /// Slow workers are not eligible.
    pub(super) avoids_slow: bool,
    /// Some steps found no room.
    pub(super) is_crowded: bool,
    unplaced: Vec<Unplaced>,
    /// The number of plain, filling and serving steps that were tried and found no room.
    tried: [usize; 3],
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
            ..Self::default()
        }
    }

    /// Returns whether a step may find room, given the steps that found none before it.
    pub(super) fn should_try(&mut self, request: &Request<'_>) -> bool {
        let is_covered = self
            .unplaced
            .iter()
            .any(|unplaced| unplaced.covers(request));
        let is_worth_trying =
            !is_covered && self.tried[class_index(request.claim)] < MAX_UNPLACED_STEPS;
        self.is_crowded |= !is_worth_trying;
        is_worth_trying
    }

    /// Records a step that could not be placed; `is_special` is set if the cause is a constraint that
    /// other steps do not have.
    pub(super) fn record_unplaced(&mut self, request: &Request<'_>, is_special: bool) {
        self.is_crowded = true;
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
    /// Returns whether the request needs at least as much as this step, so that it finds no room
    /// either.
    fn covers(&self, request: &Request<'_>) -> bool {
        let claim = request.claim;
        let is_alike = match self.claim.class {
            Class::Filling => {
                claim.image == self.claim.image && request.kept_slack >= self.kept_slack
            }
            Class::Plain | Class::Serving(_) => true,
        };
        is_alike
            && class_index(claim) == class_index(&self.claim)
            && *request.service == self.service
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
