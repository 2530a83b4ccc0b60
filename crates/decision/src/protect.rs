//! Protection of services on one worker: throttle, stop placing, evict, and give back.

use crate::clock::Ms;

/// How long a change needs to show in the lagging measurements.
const SETTLING_TIME: Ms = Ms(1_500);

/// Measurements older than this say nothing about the service.
const MAX_SAMPLE_AGE: Ms = Ms(3_000);

/// Measurements since the last change that are needed to go further.
const MIN_SAMPLES: u32 = 16;

/// Weight of a new measurement.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The largest ratio taken in from one measurement, so that a few stragglers among the requests
/// do not look like interference.
const MAX_RATIO: f64 = 4.0;

/// Share of the limit below which the service is calm.
const RELEASE_FRACTION: f64 = 0.8;

/// Trouble again this soon after giving back means that it was given back too early.
const RELAPSE_WINDOW: Ms = Ms(10_000);

/// The longest that capacity is held back because of relapses.
const MAX_HOLD: Ms = Ms(16_000);

/// Processor shares of the worst kind in the first stages, in percent.
const THROTTLE_PERCENT: [u8; 2] = [50, 20];

/// How far protection has gone.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Batch work has everything that the service leaves.
    #[default]
    Normal,
    /// The worst kind is throttled.
    Throttled,
    /// It is throttled further.
    HeavilyThrottled,
    /// Nothing is placed here.
    Paused,
    /// One task after the other is evicted.
    Evicting,
}

/// What to do on the worker now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing.
    Keep,
    /// Limit the worst kind to a share in percent.
    Throttle(u8),
    /// Place nothing more here.
    Pause,
    /// Evict the task that loses the least work.
    Evict,
    /// Give everything back.
    Release,
}

/// The state of protection on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    stage: Stage,
    changed: Ms,
    released: Option<Ms>,
    hold: Ms,
    ratio: f64,
    samples: u32,
    measured: Option<Ms>,
}

impl Guard {
    /// Takes in the ratio of a service time to the time without batch work.
    pub fn observe(&mut self, now: Ms, ratio: f64) {
        let ratio = ratio.min(MAX_RATIO);
        if self.is_fresh(now) && self.samples > 0 {
            let early = 1.0 / f64::from(self.samples + 1);
            self.ratio += (ratio - self.ratio) * SAMPLE_WEIGHT.max(early);
        } else {
            self.ratio = ratio;
        }
        self.samples = self.samples.saturating_add(1);
        self.measured = Some(now);
    }

    /// Whether the service was measured recently.
    #[must_use]
    pub fn is_fresh(&self, now: Ms) -> bool {
        self.measured
            .is_some_and(|at| now.since(at) < MAX_SAMPLE_AGE)
    }

    /// The current ratio; 1 when nothing was measured recently.
    #[must_use]
    pub fn ratio(&self, now: Ms) -> f64 {
        if self.is_fresh(now) && self.samples > 0 {
            self.ratio
        } else {
            1.0
        }
    }

    /// How far protection has gone.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Decides once a second. `limit` is the ratio above which the service needs protection.
    pub fn decide(&mut self, now: Ms, limit: f64) -> Action {
        if self.ratio(now) > limit {
            self.escalate(now)
        } else if self.stage > Stage::Normal && self.may_release(now, limit) {
            self.set_stage(now, Stage::Normal);
            self.released = Some(now);
            Action::Release
        } else {
            Action::Keep
        }
    }

    fn may_release(&self, now: Ms, limit: f64) -> bool {
        let can_release = !self.is_fresh(now)
            || (self.samples >= MIN_SAMPLES && self.ratio < limit * RELEASE_FRACTION);
        can_release && now.since(self.changed) >= self.hold
    }

    fn escalate(&mut self, now: Ms) -> Action {
        let early = self.stage > Stage::Normal && now.since(self.changed) < SETTLING_TIME;
        if early || self.samples < MIN_SAMPLES {
            return Action::Keep;
        }
        match self.stage {
            Stage::Normal => {
                self.update_hold(now);
                self.set_stage(now, Stage::Throttled);
                Action::Throttle(THROTTLE_PERCENT[0])
            }
            Stage::Throttled => {
                self.set_stage(now, Stage::HeavilyThrottled);
                Action::Throttle(THROTTLE_PERCENT[1])
            }
            Stage::HeavilyThrottled => {
                self.set_stage(now, Stage::Paused);
                Action::Pause
            }
            Stage::Paused | Stage::Evicting => {
                self.set_stage(now, Stage::Evicting);
                Action::Evict
            }
        }
    }

    fn update_hold(&mut self, now: Ms) {
        let soon = self
            .released
            .is_some_and(|at| now.since(at) < RELAPSE_WINDOW);
        self.hold = if soon {
            Ms((self.hold.0 * 2).clamp(1_000, MAX_HOLD.0))
        } else {
            Ms::ZERO
        };
    }

    fn set_stage(&mut self, now: Ms, stage: Stage) {
        self.stage = stage;
        self.changed = now;
        self.samples = 0;
    }
}
