//! Estimates how far the fleet is overbooked with filling work.
//!
//! Load pattern: a burst of wide filling steps on a fleet full of serving tasks, whose own load rises
//! and falls within seconds. Each filling run that is placed where the slack just suffices is slowed
//! soon after, holds its place for longer, and is moved in the end, so that the same processors
//! complete less filling work and serving tasks exceed their limits besides. The more the running
//! filling work is slowed, the more slack the next placements have to leave.

use decision::clock::Ms;

/// The time over which measurements are averaged.
const AVERAGING_TIME: Ms = Ms(800);
/// The slack that a placement has to leave in addition if all filling runs are halted.
const MAX_EXTRA_SLACK: f64 = 2.0;

/// The part of the requested speed that filling runs lack on average, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    level: f64,
    updated: Ms,
}

impl Congestion {
    /// Records the mean share, in percent, at which the filling runs of one of `workers` workers are
    /// ordered to work. Each worker reports about once in the averaging time.
    pub fn record(&mut self, now: Ms, mean_share: f64, workers: usize) {
        let lacking = (1.0 - mean_share / 100.0).clamp(0.0, 1.0);
        #[expect(
            clippy::cast_precision_loss,
            reason = "numbers of workers are exact in an f64"
        )]
        let weight = 1.0 / workers.max(1) as f64;
        self.level += weight * (lacking - self.level);
        self.updated = now;
    }

    /// Returns the average, which counts for less the longer no worker has reported filling runs.
    #[must_use]
    pub fn level(&self, now: Ms) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "intervals in ms are exact in an f64"
        )]
        let age = now.since(self.updated).0 as f64 / AVERAGING_TIME.0 as f64;
        self.level * (-(age - 1.0).max(0.0)).exp()
    }

    /// Returns the slack that placements of filling tasks have to leave in addition.
    #[must_use]
    pub fn extra_slack(&self, now: Ms) -> f64 {
        self.level(now) * MAX_EXTRA_SLACK
    }
}
