//! The entry's clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use decision::clock::Ms;

/// Counts ms since 1970 as of the start and goes on without jumps.
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

    /// The time left until `end`.
    pub(super) fn until(&self, end: Ms) -> Duration {
        Duration::from_millis(end.since(self.now()).0)
    }
}

/// The duration in whole ms.
pub(super) fn ms(time: Duration) -> Ms {
    Ms(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
