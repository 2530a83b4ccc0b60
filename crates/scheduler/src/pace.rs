//! Computes the shares of full speed at which the filling tasks of one worker may work.
//!
//! The tail latency of a serving task can rise within seconds, through the filling tasks beside it
//! or through its own load. Filling runs then yield one after the other, those whose delay costs
//! least first, until each serving task has enough slack. Shares fall at once and rise in steps.

use std::cmp::Reverse;

use decision::clock::Ms;

/// From this ratio of tail latency to its limit, a serving task counts as near its limit.
const NEAR_LIMIT: f64 = 0.96;
/// The lowest share of a filling run that is not halted, in percent.
const MIN_SHARE_PERCENT: u8 = 10;
/// The most by which a share rises with one change, in percentage points.
const MAX_RISE_PERCENT: u8 = 40;
/// The least time between two changes, because a measurement covers the last half second.
const SETTLE_TIME: Ms = Ms(600);
/// A filling run that takes at most this much slack from a serving task is not slowed for it.
const NEGLIGIBLE_SLACK_COST: f64 = 0.05;
/// The slack that filling runs are slowed to preserve. It is above 1 because a measurement is half
/// a second old.
const TARGET_SLACK: f64 = 1.125;

/// The cost of delaying a filling run; runs with the lowest cost yield first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// The job of the run is late already.
    Late,
    /// The job of the run has time to spare.
    Early,
    /// The job of the run becomes late if the run is delayed.
    Critical,
}

/// A filling run beside serving tasks.
#[derive(Clone, Debug)]
pub struct Fill {
    /// The cost of delaying the run.
    pub urgency: Urgency,
    /// The share of full speed that the run works at, in percent.
    pub share: u8,
    /// The slack that the run takes from each serving task at full pace, in the order of the
    /// serving tasks.
    pub slack_costs: Vec<f64>,
}

/// Returns the shares of the filling runs, in percent, at which each serving task keeps enough
/// slack as far as that is possible. `base_slack` is the slack of each serving task without filling
/// runs.
#[must_use]
pub fn shares(base_slack: &[f64], fills: &[Fill]) -> Vec<u8> {
    let mut shares = vec![100; fills.len()];
    let mut order: Vec<usize> = (0..fills.len()).collect();
    let max_slack_cost = |index: usize| {
        let max_cost = fills[index].slack_costs.iter().copied().fold(0.0, f64::max);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "thousandths are precise enough for an order"
        )]
        let thousandths = (max_cost * 1_000.0) as i64;
        thousandths
    };
    order.sort_by_key(|&index| (fills[index].urgency, Reverse(max_slack_cost(index))));
    for (task, &base_slack) in base_slack.iter().enumerate() {
        let taken = fills.iter().zip(&shares);
        let taken: f64 = taken
            .map(|(fill, &share)| fill.slack_costs[task] * f64::from(share) / 100.0)
            .sum();
        let mut shortfall = TARGET_SLACK - (base_slack - taken);
        for &index in &order {
            let slack_cost = fills[index].slack_costs[task];
            if shortfall <= 0.0 {
                break;
            }
            if slack_cost <= NEGLIGIBLE_SLACK_COST {
                continue;
            }
            let share = reduced(shares[index], shortfall / slack_cost);
            shortfall -= slack_cost * f64::from(shares[index] - share) / 100.0;
            shares[index] = share;
        }
    }
    for (share, fill) in shares.iter_mut().zip(fills) {
        *share = (*share).min(fill.share.saturating_add(MAX_RISE_PERCENT));
    }
    shares
}

/// Reduces a share by a fraction of the full pace, but not below the minimum.
fn reduced(share: u8, fraction: f64) -> u8 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the fraction is clamped to percent"
    )]
    let reduction = (fraction * 100.0).ceil().clamp(0.0, 100.0) as u8;
    share
        .saturating_sub(reduction)
        .max(MIN_SHARE_PERCENT)
        .min(share)
}

/// The time for which a tail latency may exceed its limit before all filling tasks are halted.
const HALT_DELAY: Ms = Ms(1_600);
/// The length of a halt, after which a tail latency that still exceeds its limit has another cause.
const HALT_DURATION: Ms = Ms(2_200);

/// The state of the pacing of one worker.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    /// The time of the last change of the shares.
    changed: Option<Ms>,
    /// The time since when a tail latency has exceeded its limit.
    over_since: Option<Ms>,
    halted_since: Option<Ms>,
    /// A halt has shown that the filling tasks are not the cause of a high tail latency.
    is_cleared: bool,
}

impl Pacer {
    /// Returns whether the measurements reflect the last change of the shares.
    #[must_use]
    pub fn is_settled(&self, now: Ms) -> bool {
        self.changed.is_none_or(|at| now.since(at) >= SETTLE_TIME)
    }

    /// Records a change of the shares.
    pub const fn record_change(&mut self, now: Ms) {
        self.changed = Some(now);
    }

    /// Updates the halt with the worst tail latency of all serving tasks, as a ratio to its limit,
    /// and returns whether all filling runs must be halted. A halt covers the case that the
    /// interference coefficients are wrong.
    pub fn update_halt(&mut self, now: Ms, tail_ratio: f64) -> bool {
        // Measurements are imprecise, so one just below the limit does not end the time over the
        // limit.
        if tail_ratio < NEAR_LIMIT {
            self.over_since = None;
            self.is_cleared = false;
            self.halted_since = None;
            return false;
        }
        let over_since = *self.over_since.get_or_insert(now);
        match self.halted_since {
            Some(since) if now.since(since) >= HALT_DURATION => {
                self.halted_since = None;
                self.is_cleared = true;
                false
            }
            Some(_) => true,
            None if self.is_cleared || now.since(over_since) < HALT_DELAY => false,
            None => {
                self.halted_since = Some(now);
                true
            }
        }
    }
}
