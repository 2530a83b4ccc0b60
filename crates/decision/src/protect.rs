//! Protection of the services on one worker from batch work: by throttling, by pausing placement
//! and by evictions, until the services have recovered.

use crate::clock::Ms;

/// Time after which a change of stage is taken to show in the measurements, which lag.
const SETTLING_TIME: Ms = Ms(1_500);

/// Age from which the last measurement says nothing about the service any more.
const MAX_SAMPLE_AGE: Ms = Ms(3_000);

/// Number of measurements since the last change of stage that the next change requires.
const MIN_SAMPLES: u32 = 16;

/// Weight of a new measurement in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Upper limit for the ratio of one measurement, so that a few stragglers among the requests do not
/// look like interference.
const MAX_RATIO: f64 = 4.0;

/// Fraction of the limit below which the ratio allows protection to end.
const RELEASE_FRACTION: f64 = 0.8;

/// Time after a release within which renewed interference shows that the release was too early.
const RELAPSE_WINDOW: Ms = Ms(10_000);

/// Maximum time for which a release is delayed after repeated relapses.
const MAX_HOLD: Ms = Ms(16_000);

/// Processor shares of the kind that interferes most in the two throttling stages, in percent.
const THROTTLE_PERCENT: [u8; 2] = [50, 20];

/// The stages of protection, in order of severity.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Batch work may use everything that the services leave.
    #[default]
    Normal,
    /// The kind that interferes most is throttled.
    Throttled,
    /// This kind is throttled to a lower share.
    HeavilyThrottled,
    /// No more tasks are placed on the worker.
    Paused,
    /// Tasks are evicted one after another.
    Evicting,
}

/// The action to take on the worker after a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Leave everything as it is.
    Keep,
    /// Limit the kind that interferes most to a processor share, in percent.
    Throttle(u8),
    /// Place no more tasks on the worker.
    Pause,
    /// Evict the task that would lose the least work.
    Evict,
    /// End all protection, so that batch work may use its full share again.
    Release,
}

/// The state of protection on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    stage: Stage,
    /// When the stage last changed.
    changed: Ms,
    /// When protection last ended.
    released: Option<Ms>,
    /// Minimum time from the last change of stage to a release; doubled with each relapse.
    hold: Ms,
    /// The moving average of the ratios since the last change of stage.
    ratio: f64,
    samples: u32,
    /// When the last measurement was recorded.
    measured: Option<Ms>,
}

impl Guard {
    /// Records the ratio of a measured service time to the service time without batch work.
    pub fn observe(&mut self, now: Ms, ratio: f64) {
        let ratio = ratio.min(MAX_RATIO);
        if self.is_fresh(now) && self.samples > 0 {
            let min_weight = 1.0 / f64::from(self.samples + 1);
            self.ratio += (ratio - self.ratio) * SAMPLE_WEIGHT.max(min_weight);
        } else {
            self.ratio = ratio;
        }
        self.samples = self.samples.saturating_add(1);
        self.measured = Some(now);
    }

    /// Returns whether the last measurement is recent enough to be used.
    #[must_use]
    pub fn is_fresh(&self, now: Ms) -> bool {
        self.measured
            .is_some_and(|at| now.since(at) < MAX_SAMPLE_AGE)
    }

    /// Returns the moving average of the ratio; 1 if there is no recent measurement.
    #[must_use]
    pub fn ratio(&self, now: Ms) -> f64 {
        if self.is_fresh(now) && self.samples > 0 {
            self.ratio
        } else {
            1.0
        }
    }

    /// Returns the current stage of protection.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Decides on the next action; called once a second. `limit` is the ratio above which the
    /// service needs protection.
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
        let has_recovered = !self.is_fresh(now)
            || (self.samples >= MIN_SAMPLES && self.ratio < limit * RELEASE_FRACTION);
        has_recovered && now.since(self.changed) >= self.hold
    }

    fn escalate(&mut self, now: Ms) -> Action {
        let is_settling = self.stage > Stage::Normal && now.since(self.changed) < SETTLING_TIME;
        if is_settling || self.samples < MIN_SAMPLES {
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
        let relapsed = self
            .released
            .is_some_and(|at| now.since(at) < RELAPSE_WINDOW);
        self.hold = if relapsed {
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
