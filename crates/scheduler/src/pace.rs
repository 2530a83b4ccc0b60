//! The share at which the filling tasks of one worker work.
//!
//! Answers a serving task whose tail rises within seconds because of what fills beside it or because
//! of its own load: the share follows the slack that is left, at once downwards and in steps upwards.

use decision::clock::Ms;

/// Above this tail, as a share of the limit, a serving task counts as near its limit.
const NEAR: f64 = 0.96;
/// The least share that a filling task keeps, in percent.
const LEAST_SHARE: u8 = 10;
/// By how much the share rises at the most with each look, in percent.
const RISE: u8 = 40;
/// The least time between two changes: a figure covers the last half second.
const SETTLE: Ms = Ms(600);

/// How long a tail may be over its limit until all filling tasks halt.
const HALT_AFTER: Ms = Ms(1_600);
/// After a halt of this length a tail that is still over its limit has another cause.
const HALT: Ms = Ms(2_200);

/// The pace of one worker.
#[derive(Clone, Debug)]
pub struct Pacer {
    share: u8,
    changed: Ms,
    over_since: Option<Ms>,
    halted_since: Option<Ms>,
    /// A halt has shown that the filling tasks are not the cause.
    is_cleared: bool,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            share: 100,
            changed: Ms::ZERO,
            over_since: None,
            halted_since: None,
            is_cleared: false,
        }
    }
}

impl Pacer {
    /// Takes in the share at which all serving tasks keep enough slack, as a factor, and returns the
    /// share in percent for the tasks that press them.
    pub fn update(&mut self, now: Ms, wanted: f64) -> u8 {
        if now.since(self.changed) < SETTLE {
            return self.share;
        }
        let most = (self.share + RISE).min(100);
        let wanted = (wanted * 100.0).clamp(f64::from(LEAST_SHARE), f64::from(most));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share is at most 100"
        )]
        let share = wanted as u8;
        if share != self.share {
            self.share = share;
            self.changed = now;
        }
        share
    }

    /// Takes in the worst tail of all, as a share of its limit, and returns whether all filling
    /// tasks shall halt: what is believed of their presses may be wrong.
    pub fn guard(&mut self, now: Ms, tail: f64) -> bool {
        // A figure is rough: one just below the limit does not end the time over it.
        if tail < NEAR {
            self.over_since = None;
            self.is_cleared = false;
            if self.halted_since.take().is_some() {
                self.share = LEAST_SHARE;
                self.changed = now;
            }
            return false;
        }
        let over_since = *self.over_since.get_or_insert(now);
        match self.halted_since {
            Some(since) if now.since(since) >= HALT => {
                self.halted_since = None;
                self.is_cleared = true;
                false
            }
            Some(_) => true,
            None if self.is_cleared || now.since(over_since) < HALT_AFTER => false,
            None => {
                self.halted_since = Some(now);
                true
            }
        }
    }
}
