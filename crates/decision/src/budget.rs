//! Budgets that keep retries and hedges to a share of first attempts.

/// The cost of one extra attempt; a first attempt earns the configured percentage.
const EXTRA_ATTEMPT_COST: u32 = 100;
/// Extra attempts that may be saved up.
const MAX_SAVED_ATTEMPTS: u32 = 20;
/// Hedges are worth their cost when at least this share is answered first.
const MIN_WIN_SHARE: f32 = 0.2;
/// Weight of the newest hedge in the share of those answered first.
const WIN_WEIGHT: f32 = 0.1;

/// A budget of extra attempts per hundred first attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    percent: u32,
    saved: u32,
}

impl Budget {
    /// Sets the share, in extra attempts per hundred first attempts.
    pub const fn set(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED_ATTEMPTS * EXTRA_ATTEMPT_COST);
    }

    /// Whether one extra attempt can be paid for.
    #[must_use]
    pub const fn covers(&self) -> bool {
        self.percent > 0 && self.saved >= EXTRA_ATTEMPT_COST
    }

    /// Pays for one extra attempt if the budget covers it.
    pub const fn spend(&mut self) -> bool {
        if !self.covers() {
            return false;
        }
        self.saved -= EXTRA_ATTEMPT_COST;
        true
    }

    /// Pays with all that was saved up, if that is the most that can be.
    const fn spend_all(&mut self) -> bool {
        let full = self.percent > 0 && self.saved == MAX_SAVED_ATTEMPTS * EXTRA_ATTEMPT_COST;
        if full {
            self.saved = 0;
        }
        full
    }
}

/// The budget of hedges. Where requests are slow by themselves, a hedge only doubles their work;
/// hedges that do not win are therefore sent at a twentieth of the configured share.
#[derive(Clone, Copy, Debug)]
pub struct Hedges {
    budget: Budget,
    /// The share of hedges that were answered first, exponentially weighted.
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
    /// Sets the share, in hedges per hundred first attempts.
    pub const fn set(&mut self, percent: u32) {
        self.budget.set(percent);
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.budget.earn();
    }

    /// Pays for one hedge if the budget covers it.
    pub fn spend(&mut self) -> bool {
        if self.win_share < MIN_WIN_SHARE {
            return self.budget.spend_all();
        }
        self.budget.spend()
    }

    /// Takes in whether a hedge was answered first.
    pub fn record(&mut self, won: bool) {
        let result = if won { 1.0 } else { 0.0 };
        self.win_share += WIN_WEIGHT * (result - self.win_share);
    }
}
