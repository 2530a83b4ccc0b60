//! Counts of what a leader has learned about workers and runs, for metrics.

/// The counts of one leader since it began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// How often the leases of a worker counted as expired.
    pub lapses: u64,
    /// Runs released for expired leases sooner than a lease after their start was ordered, although
    /// the start, which was confirmed, renewed the lease.
    pub early_releases: u64,
    /// Reports of watches that had ended, which were dropped.
    pub outdated_reports: u64,
    /// Crashes of workers on which runs had just begun.
    pub crashes: u64,
    /// Jobs given up because a task crashes the workers that start it.
    pub crashing_jobs: u64,
    /// Runs found or reported while their task, which is not speculative, had another run.
    pub second_runs: u64,
    /// The workers of earlier leaders that have not answered this leader yet.
    pub unheard: usize,
}
