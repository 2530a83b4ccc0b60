//! The delay between attempts to reach the table.

use rand::RngExt;
use rand::rngs::StdRng;

use crate::clock::Ms;

// The upper limit of the random delay after the first failure. It doubles with each further one.
const MIN_BACKOFF_CEILING: Ms = Ms(100);

const MAX_BACKOFF_CEILING: Ms = Ms(5_000);

/// Exponential backoff with full jitter for attempts to reach the table.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    retry_at: Ms,
    down_since: Option<Ms>,
}

impl Backoff {
    /// Whether the backoff has elapsed, so that an attempt may be made.
    #[must_use]
    pub fn is_elapsed(&self, now: Ms) -> bool {
        now >= self.retry_at
    }

    /// Since when every attempt has failed; `None` after a success.
    #[must_use]
    pub const fn down_since(&self) -> Option<Ms> {
        self.down_since
    }

    /// Records a failed attempt. Returns whether it is the first failure after a success.
    pub fn record_failure(&mut self, now: Ms, random: &mut StdRng) -> bool {
        let ceiling = (MIN_BACKOFF_CEILING.0 << self.failures.min(10)).min(MAX_BACKOFF_CEILING.0);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + Ms(random.random_range(0..=ceiling));
        let first = self.down_since.is_none();
        self.down_since.get_or_insert(now);
        first
    }

    /// Restarts the backoff and the time of failure at `now`, so that the next attempt may be made
    /// at once.
    pub fn restart(&mut self, now: Ms) {
        self.failures = 0;
        self.retry_at = now;
        self.down_since = self.down_since.map(|_| now);
    }

    /// Records a successful attempt. Returns whether the one before had failed.
    pub fn record_success(&mut self) -> bool {
        let failed = self.down_since.is_some();
        *self = Self::default();
        failed
    }
}
