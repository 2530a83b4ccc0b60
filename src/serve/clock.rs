//! The monotonic clock and the wall clock of an entry.

use std::time::SystemTime;

use decision::clock::Ms;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the monotonic time since the VM started, including time in suspension.
#[must_use]
pub fn now() -> Ms {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Ms(seconds * 1_000 + nanos / 1_000_000)
}

/// Returns the wall-clock time since 1970, which may jump in either direction.
#[must_use]
pub fn unix() -> Ms {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let since = since.unwrap_or_default();
    Ms(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
