//! Budgets that keep retries and hedges to a share of first attempts.

/// The cost of one extra attempt; a first attempt earns the configured percentage.
const COST: u32 = 100;
/// Extra attempts that may be saved up.
const MAX_SAVED: u32 = 20;

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
        self.saved = (self.saved + self.percent).min(MAX_SAVED * COST);
    }

    /// Whether one extra attempt can be paid for.
    #[must_use]
    pub const fn covers(&self) -> bool {
        self.percent > 0 && self.saved >= COST
    }

    /// Pays for one extra attempt if the budget covers it.
    pub const fn spend(&mut self) -> bool {
        if !self.covers() {
            return false;
        }
        self.saved -= COST;
        true
    }
}
