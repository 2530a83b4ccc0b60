//! The bounded queues of inputs of the driver loop.
//!
//! Reports of agents and rows of the store come at any rate, so whoever reads them waits while their
//! queue is full. Rows have a queue of their own that comes before the reports: among hundreds of
//! agents that wait, a feed would get so small a share that a new leader reads the jobs for seconds
//! and learns of cancellations late. Results of the leader's own calls and the contact queries of
//! agents are few and come first.

use decision::clock::Ms;
use scheduler::leader::Event;
use smol::channel::Receiver;
use smol::channel::SendError;
use smol::channel::Sender;
use smol::future::FutureExt;

use super::leadership::Input;
use super::sleep;

/// The most results of calls and contact queries that are queued. There is at most one for each call
/// in progress, and each agent sends few queries.
const MAX_RESULTS: usize = 256;
/// The most rows of the store that are queued.
const MAX_ROWS: usize = 1_024;
/// The most reports of agents that are queued.
const MAX_REPORTS: usize = 1_024;

/// The ends of the queues that take inputs.
#[derive(Clone, Debug)]
pub(super) struct Outlet {
    results: Sender<Input>,
    rows: Sender<Input>,
    reports: Sender<Input>,
    wake: Sender<()>,
}

/// The ends of the queues that the driver reads.
#[derive(Debug)]
pub(super) struct Inbox {
    results: Receiver<Input>,
    rows: Receiver<Input>,
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
    let (rows, rows_end) = smol::channel::bounded(MAX_ROWS);
    let (reports, reports_end) = smol::channel::bounded(MAX_REPORTS);
    let (wake, wake_end) = smol::channel::bounded(1);
    let outlet = Outlet {
        results,
        rows,
        reports,
        wake,
    };
    let inbox = Inbox {
        results: results_end,
        rows: rows_end,
        reports: reports_end,
        wake: wake_end,
    };
    (outlet, inbox)
}

impl Outlet {
    /// Queues the result of a call of the leader, or a contact query.
    pub(super) async fn send_result(&self, input: Input) -> Result<(), Closed> {
        Ok(self.results.send(input).await?)
    }

    /// Queues a row of the store. Rows that are sent one after the other are handled in the same
    /// order.
    pub(super) async fn send_row(&self, event: Event) -> Result<(), Closed> {
        Ok(self.rows.send(Input::Event(event)).await?)
    }

    /// Queues a report of an agent. Reports that are sent one after the other are handled in the
    /// same order.
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
        let row = async { self.rows.recv().await.ok() };
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
        result.or(woken).or(row).or(report).or(timer).await
    }

    /// Returns the next input if one is queued.
    pub(super) fn try_next(&self) -> Option<Input> {
        let first = self.results.try_recv();
        let first = first.or_else(|_| self.rows.try_recv());
        first.or_else(|_| self.reports.try_recv()).ok()
    }

    /// Returns the number of queued inputs.
    pub(super) fn len(&self) -> usize {
        self.results.len() + self.rows.len() + self.reports.len()
    }
}
