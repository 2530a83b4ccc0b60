//! The shares at which the filling tasks of one worker work.
//!
//! Answers a serving task whose tail rises within seconds because of what fills beside it or because
//! of its own load: runs yield one after the other, those first whose delay costs least, until each
//! serving task has enough slack. Shares fall at once and rise in steps.

use std::cmp::Reverse;

use decision::clock::Ms;

/// Above this tail, as a share of the limit, a serving task counts as near its limit.
const NEAR_LIMIT: f64 = 0.96;
/// The least share that a filling task keeps, in percent.
const MIN_SHARE_PERCENT: u8 = 10;
/// By how much a share rises at the most with each change, in percent.
const MAX_RISE_PERCENT: u8 = 40;
/// The least time between two changes: a figure covers the last half second.
const SETTLE_TIME: Ms = Ms(600);
/// The slack that a filling run takes from a serving task below which it is not slowed.
const NEGLIGIBLE_SLACK_COST: f64 = 0.05;
/// The slack to which filling runs are slowed: above 1, since a figure is half a second old.
const TARGET_SLACK: f64 = 1.125;

/// What the delay of a filling run costs; the least comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Its job is late already.
    Late,
    /// Its job has time to spare.
    Early,
    /// Its job is late if it waits.
    Critical,
}

/// A filling run beside serving tasks.
#[derive(Clone, Debug)]
pub struct Fill {
    /// What its delay costs.
    pub urgency: Urgency,
    /// The share that it works at, in percent.
    pub share: u8,
    /// The slack that it takes from each serving task at full pace.
    pub slack_costs: Vec<f64>,
}

/// The shares of filling runs, in percent, at which each serving task keeps enough slack as far as
/// that is possible. `unpressed` is the slack of each serving task without them.
#[must_use]
pub fn shares(base_slack: &[f64], fills: &[Fill]) -> Vec<u8> {
    let mut shares = vec![100; fills.len()];
    let mut order: Vec<usize> = (0..fills.len()).collect();
    let max_slack_cost = |index: usize| {
        let most = fills[index].slack_costs.iter().copied().fold(0.0, f64::max);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "an order needs no more than thousandths"
        )]
        let thousandths = (most * 1_000.0) as i64;
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

/// A share less a part of the full pace, but not below the least.
fn reduced(share: u8, part: f64) -> u8 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the part is clamped to percent"
    )]
    let less = (part * 100.0).ceil().clamp(0.0, 100.0) as u8;
    share.saturating_sub(less).max(MIN_SHARE_PERCENT).min(share)
}

/// How long a tail may be over its limit until all filling tasks halt.
const HALT_DELAY: Ms = Ms(1_600);
/// After a halt of this length a tail that is still over its limit has another cause.
const HALT_DURATION: Ms = Ms(2_200);

/// What is known of the pace of one worker.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    changed: Option<Ms>,
    over_since: Option<Ms>,
    halted_since: Option<Ms>,
    /// A halt has shown that the filling tasks are not the cause.
    is_cleared: bool,
}

impl Pacer {
    /// Whether the figures show the last change of the shares.
    #[must_use]
    pub fn is_settled(&self, now: Ms) -> bool {
        self.changed.is_none_or(|at| now.since(at) >= SETTLE_TIME)
    }

    /// Notes a change of the shares.
    pub const fn record_change(&mut self, now: Ms) {
        self.changed = Some(now);
    }

    /// Takes in the worst tail of all, as a share of its limit, and returns whether all filling
    /// tasks shall halt: what is believed of their presses may be wrong.
    pub fn update_halt(&mut self, now: Ms, tail: f64) -> bool {
        // A figure is rough: one just below the limit does not end the time over it.
        if tail < NEAR_LIMIT {
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
