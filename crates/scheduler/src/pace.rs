//! The share at which the filling tasks of one worker work.
//!
//! Answers a serving task whose tail rises within seconds because of what fills beside it: the
//! share falls fast when the tail nears its limit and rises slowly when there is room.

use decision::clock::Ms;

/// Below this tail, as a share of the limit, the share of the tasks rises.
pub const CALM: f64 = 0.7;
/// Above this tail, as a share of the limit, the share of the tasks falls.
const NEAR: f64 = 0.88;
/// Above this tail, as a share of the limit, the share of the tasks falls to the least.
const OVER: f64 = 1.0;
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
    /// Takes in the worst tail on the worker as a share of its limit, and returns the share.
    pub fn update(&mut self, now: Ms, tail: f64) -> u8 {
        if tail < OVER {
            self.over_since = None;
        } else if self.over_since.is_none() {
            self.over_since = Some(now);
        }
        if now.since(self.changed) < SETTLE {
            return self.share;
        }
        let share = if tail >= OVER {
            LEAST_SHARE
        } else if tail >= NEAR {
            (self.share / 2).max(LEAST_SHARE)
        } else if tail < CALM {
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
