//! The clock of an entry.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use decision::clock::Ms;

/// A monotonic clock in ms since 1970. It starts at the wall-clock time and then ignores its jumps.
#[derive(Debug)]
pub(super) struct Clock {
    origin: Instant,
    offset: Ms,
}

impl Clock {
    pub(super) fn new() -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            origin: Instant::now(),
            offset: ms(since.unwrap_or_default()),
        }
    }

    pub(super) fn now(&self) -> Ms {
        self.offset + ms(self.origin.elapsed())
    }

    /// Returns the time left until `end`, or zero after it.
    pub(super) fn until(&self, end: Ms) -> Duration {
        Duration::from_millis(end.since(self.now()).0)
    }
}

/// Converts a duration to whole ms, rounded down.
pub(super) fn ms(time: Duration) -> Ms {
    Ms(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
