//! The time type of this crate: a count of milliseconds.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// A point in time or a duration, in milliseconds.
///
/// Points in time count from an origin that the embedder chooses, so they are only comparable
/// within one process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Ms(pub u64);

impl Ms {
    /// The origin of time, or an empty duration.
    pub const ZERO: Self = Self(0);

    /// Returns the time from `earlier` to `self`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Ms {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Ms {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Ms {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
