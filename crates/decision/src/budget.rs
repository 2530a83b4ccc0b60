//! Budgets that limit retries and hedges to a share of the first attempts.

/// The cost of one extra attempt, in hundredths of an attempt. Each first attempt earns the
/// configured percentage.
const EXTRA_ATTEMPT_COST: u32 = 100;
/// The maximum number of extra attempts that can be saved up.
const MAX_SAVED_ATTEMPTS: u32 = 20;
/// The share of hedges that must be answered before the first attempt to be worth their cost.
const MIN_WIN_SHARE: f32 = 0.2;
/// The weight of the newest hedge in the moving average of the win share.
const WIN_WEIGHT: f32 = 0.1;

/// A token bucket of extra attempts, filled by first attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    percent: u32,
    saved: u32,
}

impl Budget {
    /// Sets the earned share, in extra attempts per hundred first attempts.
    pub const fn set(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds the earnings of one first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED_ATTEMPTS * EXTRA_ATTEMPT_COST);
    }

    /// Returns whether the budget covers one extra attempt.
    #[must_use]
    pub const fn covers(&self) -> bool {
        self.percent > 0 && self.saved >= EXTRA_ATTEMPT_COST
    }

    /// Spends one extra attempt if the budget covers it. Returns whether it does.
    pub const fn spend(&mut self) -> bool {
        if !self.covers() {
            return false;
        }
        self.saved -= EXTRA_ATTEMPT_COST;
        true
    }

    /// Spends all savings on one extra attempt if the budget is full. Returns whether it was.
    const fn spend_all(&mut self) -> bool {
        let full = self.percent > 0 && self.saved == MAX_SAVED_ATTEMPTS * EXTRA_ATTEMPT_COST;
        if full {
            self.saved = 0;
        }
        full
    }
}

/// The budget of hedges. Where requests are slow on any target, a hedge only doubles the work.
/// While too few hedges are answered first, they are therefore sent at a twentieth of the
/// configured share.
#[derive(Clone, Copy, Debug)]
pub struct Hedges {
    budget: Budget,
    /// The exponentially weighted share of hedges that were answered before the first attempt.
    win_share: f32,
}

impl Default for Hedges {
    fn default() -> Self {
        Self {
            budget: Budget::default(),
            win_share: 1.0,
        }
    }
}

impl Hedges {
    /// Sets the earned share, in hedges per hundred first attempts.
    pub const fn set(&mut self, percent: u32) {
        self.budget.set(percent);
    }

    /// Adds the earnings of one first attempt.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Spends one hedge if the budget covers it. Returns whether it does.
    pub fn spend(&mut self) -> bool {
        if self.win_share < MIN_WIN_SHARE {
            return self.budget.spend_all();
        }
        self.budget.spend()
    }

    /// Records whether a hedge was answered before the first attempt.
    pub fn record(&mut self, won: bool) {
        let result = if won { 1.0 } else { 0.0 };
        self.win_share += WIN_WEIGHT * (result - self.win_share);
    }
}
