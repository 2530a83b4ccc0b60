//! How long jobs have waited, over changes of the leader.
//!
//! Load: leaders change each few seconds while more work waits than the workers complete. A new leader
//! knows the time of day at which an entry accepted each job, by the clock of that entry, and the
//! versions of the rows, which are the order of acceptance. Clocks of some machines are wrong, by any
//! amount. So the order is that of the versions, a time counts as far as those of the jobs around it
//! confirm it, and no age exceeds [`MAX`].

use decision::clock::Ms;

/// The longest age that counts. It bounds what wrong times of day give to a job or take from it.
pub const MAX: Ms = Ms(300_000);
/// The number of jobs before a job and after it whose times of acceptance confirm its own.
const NEIGHBOURS: usize = 15;

/// The time since a job or an occurrence could have begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Age {
    /// A time by the clock of this leader.
    at: Ms,
    /// The age at that time, at most [`MAX`].
    value: Ms,
}

impl Age {
    /// Returns the age of what has this age at a time by the clock of this leader.
    #[must_use]
    pub fn new(at: Ms, value: Ms) -> Self {
        let value = value.min(MAX);
        Self { at, value }
    }

    /// Returns the time when the age began, as [`shifted`] counts.
    #[must_use]
    pub fn begin(self) -> Ms {
        shifted(self.at) - self.value
    }
}

/// Returns a time by the clock of this leader, counted from [`MAX`] before the origin of that clock,
/// which may be later than the acceptance of a job.
#[must_use]
pub fn shifted(now: Ms) -> Ms {
    now + MAX
}

/// Returns the ages of jobs at a time of day, from the times of day of their acceptance in the order
/// of their versions. No job is younger than a later one.
#[must_use]
pub fn estimate(unix: Ms, accepted: &[Ms]) -> Vec<Ms> {
    // The window of the first jobs is small, and a time of theirs in the future would count for all.
    let first = &accepted[..accepted.len().min(2 * NEIGHBOURS + 1)];
    let most_at_first = median(first);
    let mut latest = Ms::ZERO;
    let ages = (0..accepted.len()).map(|index| {
        let reach = NEIGHBOURS.min(index).min(accepted.len() - 1 - index);
        let mut at = median(&accepted[index - reach..=index + reach]);
        if index < first.len() / 2 {
            at = at.min(most_at_first);
        }
        latest = latest.max(at);
        unix.since(latest).min(MAX)
    });
    ages.collect()
}

/// Returns the median of some times, or zero if there are none.
fn median(times: &[Ms]) -> Ms {
    let mut times = times.to_vec();
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
