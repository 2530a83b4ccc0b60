//! What the placement policy keeps for each worker and each job.

use super::ledger::Key;
use crate::clock::Ms;
use crate::name::Name;
use crate::protect::Guard;
use crate::quarantine::Health;
use crate::resource::Size;

/// Failing workers of one job after which its failures are its own fault.
const MIN_FAILING_WORKERS: usize = 3;

/// What the policy keeps for a worker.
#[derive(Debug, Default)]
pub struct View {
    /// The capacity counted for fairness.
    pub limit: Size,
    /// The room when the index last saw it; none while nothing may be placed.
    pub room: Option<Size>,
    /// Protection of the services.
    pub guard: Guard,
    /// Whether everything fails here.
    pub health: Health,
    /// The kind that is being tried beside the services, and since when.
    pub trial: Option<(Name, Ms)>,
    /// The kind that is throttled, with its processor share in percent.
    pub throttled: Option<(Name, u8)>,
    /// Tasks that failed here since the last success, and may have done so by its fault.
    pub suspects: Vec<Key>,
    /// The class for which room is kept.
    pub reserved: Option<u32>,
    /// The slowdown last ordered, in percent.
    pub reported_slowdown: u32,
}

/// Failures of one job.
#[derive(Debug, Default)]
pub struct Failures {
    failing: Vec<u32>,
    has_succeeded: bool,
}

impl View {
    /// The processor share of a kind.
    #[must_use]
    pub fn share(&self, kind: &Name) -> u8 {
        match &self.throttled {
            Some((throttled, share)) if throttled == kind => *share,
            _ => 100,
        }
    }
}

impl Failures {
    /// A task of the job completed.
    pub fn record_success(&mut self) {
        self.has_succeeded = true;
        self.failing.clear();
    }

    /// A task of the job failed. Returns whether it is the job's fault: none of its tasks ever
    /// completed, and they failed on several workers.
    pub fn record_failure(&mut self, worker: u32) -> bool {
        if !self.failing.contains(&worker) && self.failing.len() < MIN_FAILING_WORKERS {
            self.failing.push(worker);
        }
        !self.has_succeeded && self.failing.len() >= MIN_FAILING_WORKERS
    }
}
