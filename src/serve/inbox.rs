//! The bounded queues of inputs of the driver loop.
//!
//! Reports of agents and rows of the store come at any rate, so whoever reads them waits while their
//! queue is full. Results of the leader's own calls are few, and come before them.

use decision::clock::Ms;
use smol::channel::Receiver;
use smol::channel::SendError;
use smol::channel::Sender;
use smol::future::FutureExt;

use super::leadership::Input;
use super::sleep;

/// The most results of calls that are queued. There is at most one for each call in progress.
const MAX_RESULTS: usize = 256;
/// The most reports and rows that are queued.
const MAX_REPORTS: usize = 1_024;

/// The ends of the queues that take inputs.
#[derive(Clone, Debug)]
pub(super) struct Outlet {
    results: Sender<Input>,
    reports: Sender<Input>,
    wake: Sender<()>,
}

/// The ends of the queues that the driver reads.
#[derive(Debug)]
pub(super) struct Inbox {
    results: Receiver<Input>,
    reports: Receiver<Input>,
    wake: Receiver<()>,
}

/// The driver has ended. The next leader obtains the same information from the store and the agents.
#[derive(Debug)]
pub(super) struct Closed;

impl From<SendError<Input>> for Closed {
    fn from(_: SendError<Input>) -> Self {
        Self
    }
}

/// Creates the queues of one leadership.
pub(super) fn new() -> (Outlet, Inbox) {
    let (results, results_end) = smol::channel::bounded(MAX_RESULTS);
    let (reports, reports_end) = smol::channel::bounded(MAX_REPORTS);
    let (wake, wake_end) = smol::channel::bounded(1);
    let outlet = Outlet {
        results,
        reports,
        wake,
    };
    let inbox = Inbox {
        results: results_end,
        reports: reports_end,
        wake: wake_end,
    };
    (outlet, inbox)
}

impl Outlet {
    /// Queues the result of a call of the leader.
    pub(super) async fn send_result(&self, input: Input) -> Result<(), Closed> {
        Ok(self.results.send(input).await?)
    }

    /// Queues a report of an agent or a row of the store. Inputs that are sent one after the other
    /// are handled in the same order.
    pub(super) async fn send(&self, input: Input) -> Result<(), Closed> {
        Ok(self.reports.send(input).await?)
    }

    /// Wakes the driver up.
    pub(super) fn wake(&self) {
        // The channel holds one signal, and a signal that is already queued is enough.
        let _ = self.wake.try_send(());
    }
}

impl Inbox {
    /// Waits for the next input. `None` means that none came within `timeout`, or that the driver
    /// was woken up.
    pub(super) async fn next(&self, timeout: Ms) -> Option<Input> {
        let result = async { self.results.recv().await.ok() };
        let report = async { self.reports.recv().await.ok() };
        let woken = async {
            // The driver holds an outlet, so receiving cannot fail.
            let _ = self.wake.recv().await;
            None
        };
        let timer = async {
            sleep(timeout).await;
            None
        };
        result.or(woken).or(report).or(timer).await
    }

    /// Returns the next input if one is queued.
    pub(super) fn try_next(&self) -> Option<Input> {
        let result = self.results.try_recv();
        result.or_else(|_| self.reports.try_recv()).ok()
    }

    /// Returns the number of queued inputs.
    pub(super) fn len(&self) -> usize {
        self.results.len() + self.reports.len()
    }
}
