//! The write budget of an entry.

use crate::clock::Ms;

/// Rows per second that all entries together may write. The table sustains several hundred.
pub const ROWS_PER_S: u64 = 280;

const MILLIROWS_PER_ROW: u64 = 1_000;

/// The write budget of one entry in rows, a token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub struct Budget {
    milli_rows: i64,
    rows_per_s: u64,
    refilled_at: Ms,
}

impl Budget {
    /// Creates a full budget for one of `entries` entries.
    #[must_use]
    pub fn new(now: Ms, entries: usize) -> Self {
        let rows_per_s = rows_per_s(entries);
        Self {
            milli_rows: i64::try_from(rows_per_s * MILLIROWS_PER_ROW).unwrap_or(i64::MAX),
            rows_per_s,
            refilled_at: now,
        }
    }

    /// Adapts the rate to the number of live entries.
    pub fn set_entries(&mut self, now: Ms, entries: usize) {
        self.refill(now);
        self.rows_per_s = rows_per_s(entries);
    }

    /// Acquires `rows` if at least one row is available. A large transaction may overdraw the
    /// budget, and later ones wait until the balance is positive again.
    pub fn try_acquire(&mut self, now: Ms, rows: usize) -> bool {
        self.refill(now);
        if self.milli_rows < i64::try_from(MILLIROWS_PER_ROW).unwrap_or(i64::MAX) {
            return false;
        }
        self.milli_rows -= i64::try_from(rows as u64 * MILLIROWS_PER_ROW).unwrap_or(i64::MAX);
        true
    }

    /// The number of rows that can be written without overdrawing the budget.
    pub fn available_rows(&mut self, now: Ms) -> usize {
        self.refill(now);
        usize::try_from(self.milli_rows / 1_000).unwrap_or(0)
    }

    fn refill(&mut self, now: Ms) {
        let gain =
            i64::try_from(now.since(self.refilled_at).0 * self.rows_per_s).unwrap_or(i64::MAX);
        let depth = i64::try_from(self.rows_per_s * MILLIROWS_PER_ROW).unwrap_or(i64::MAX);
        self.milli_rows = self.milli_rows.saturating_add(gain).min(depth);
        self.refilled_at = now;
    }
}

fn rows_per_s(entries: usize) -> u64 {
    (ROWS_PER_S / entries.max(1) as u64).max(1)
}
