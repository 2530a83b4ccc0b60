//! The share at which the filling tasks of one worker work.
//!
//! Answers a serving task whose tail rises within seconds because of what fills beside it: the
//! share falls fast when the tail nears its limit and rises slowly when there is room.

use decision::clock::Ms;

/// Below this tail, in percent of the limit, the share rises.
const CALM_PERCENT: u64 = 70;
/// Above this tail, in percent of the limit, the share falls.
const NEAR_PERCENT: u64 = 88;
/// Above this tail, in percent of the limit, the share falls to the least.
const OVER_PERCENT: u64 = 100;
/// The least share that a filling task keeps, in percent.
const LEAST_SHARE: u8 = 10;
/// By how much the share rises with each look, in percent.
const RISE: u8 = 15;
/// The least time between two changes: a figure covers the last half second.
const SETTLE: Ms = Ms(600);

/// The pace of one worker.
#[derive(Clone, Debug)]
pub struct Pacer {
    share: u8,
    changed: Ms,
    over_since: Option<Ms>,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            share: 100,
            changed: Ms::ZERO,
            over_since: None,
        }
    }
}

impl Pacer {
    /// Takes in the worst tail on the worker, in percent of its limit, and returns the share.
    pub fn update(&mut self, now: Ms, tail_percent: u64) -> u8 {
        if tail_percent < OVER_PERCENT {
            self.over_since = None;
        } else if self.over_since.is_none() {
            self.over_since = Some(now);
        }
        if now.since(self.changed) < SETTLE {
            return self.share;
        }
        let share = if tail_percent >= OVER_PERCENT {
            LEAST_SHARE
        } else if tail_percent >= NEAR_PERCENT {
            (self.share / 2).max(LEAST_SHARE)
        } else if tail_percent < CALM_PERCENT {
            (self.share + RISE).min(100)
        } else {
            self.share
        };
        if share != self.share {
            self.share = share;
            self.changed = now;
        }
        share
    }

    /// Whether the tail has been over its limit for this long.
    #[must_use]
    pub fn is_over_for(&self, now: Ms, limit: Ms) -> bool {
        self.over_since
            .is_some_and(|since| now.since(since) >= limit)
    }

    /// Counts the time over the limit from now on.
    pub const fn restart(&mut self, now: Ms) {
        self.over_since = Some(now);
    }
}
