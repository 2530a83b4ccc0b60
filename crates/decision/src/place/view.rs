//! The state that the placement policy keeps for each worker and each job.

use super::ledger::piece::Key;
use crate::clock::Ms;
use crate::name::Name;
use crate::protect::Guard;
use crate::quarantine::Health;
use crate::resource::Size;

/// Number of workers on which tasks of a job must fail before the failures count as the job's
/// fault.
const MIN_FAILING_WORKERS: usize = 3;

/// The policy's state of a worker.
#[derive(Debug, Default)]
pub struct View {
    /// The capacity that the worker contributes to the total from which teams' shares are computed.
    pub batch_capacity: Size,
    /// The free capacity when the index was last updated; `None` while nothing may be placed here.
    pub room: Option<Size>,
    /// The protection of the worker's services from batch work.
    pub guard: Guard,
    /// The record of successes and failures, which decides about quarantine.
    pub health: Health,
    /// The kind whose interference with the services is being measured, and since when.
    pub trial: Option<(Name, Ms)>,
    /// The kind that is throttled to protect a service, with its processor share in percent.
    pub throttled: Option<(Name, u8)>,
    /// Tasks that failed here since the last success, possibly by the worker's fault.
    pub suspects: Vec<Key>,
    /// The class of tasks that the worker is reserved for.
    pub reserved: Option<u32>,
    /// The slowdown last reported with an order, in percent; zero before the first report.
    pub reported_slowdown: u32,
}

/// The workers on which tasks of one job failed, and whether any task of the job completed.
#[derive(Debug, Default)]
pub struct Failures {
    failing: Vec<u32>,
    has_succeeded: bool,
}

impl View {
    /// Returns the processor share that tasks of a kind may use here, in percent.
    #[must_use]
    pub fn share(&self, kind: &Name) -> u8 {
        match &self.throttled {
            Some((throttled, share)) if throttled == kind => *share,
            _ => 100,
        }
    }
}

impl Failures {
    /// Records that a task of the job completed.
    pub fn record_success(&mut self) {
        self.has_succeeded = true;
        self.failing.clear();
    }

    /// Records that a task of the job failed. Returns whether the failure is the job's fault: none
    /// of its tasks ever completed, and they failed on several workers.
    pub fn record_failure(&mut self, worker: u32) -> bool {
        if !self.failing.contains(&worker) && self.failing.len() < MIN_FAILING_WORKERS {
            self.failing.push(worker);
        }
        !self.has_succeeded && self.failing.len() >= MIN_FAILING_WORKERS
    }
}
