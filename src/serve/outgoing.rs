//! What the session of an agent sends to its leader.

use scheduler::message::Report;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol::future::pending;

use super::clock;

/// The most reports in one frame. The longest, of a worker that lists all ends that it may, takes
/// some 50 KB.
const MAX_FRAME_REPORTS: usize = 64;

/// The reports of a session, whose first one introduces the agent, and its contact queries. These
/// overtake queued reports: what they confirm counts from the time at which they are sent.
pub(super) struct Outgoing {
    reports: Receiver<Report>,
    queries: Receiver<()>,
    has_begun: bool,
}

impl Outgoing {
    pub(super) const fn new(reports: Receiver<Report>, queries: Receiver<()>) -> Self {
        Self {
            reports,
            queries,
            has_begun: false,
        }
    }

    /// Waits for the next report. `None` means that the session has ended.
    pub(super) async fn next(&mut self) -> Option<Report> {
        if !self.has_begun {
            self.has_begun = true;
            return self.reports.recv().await.ok();
        }
        let query = async {
            if self.queries.recv().await.is_err() {
                // The reports that are still queued come first.
                return pending().await;
            }
            Some(Report::contact_query(clock::now()))
        };
        let report = async { self.reports.recv().await.ok() };
        query.or(report).await
    }

    /// Waits for the reports of the next frame, which are empty if the session has ended.
    pub(super) async fn next_frame(&mut self) -> Vec<Report> {
        let is_first = !self.has_begun;
        let mut reports: Vec<Report> = self.next().await.into_iter().collect();
        if reports.is_empty() {
            return reports;
        }
        if is_first {
            reports.push(Report::numbering());
        } else {
            let others = std::iter::from_fn(|| self.reports.try_recv().ok());
            reports.extend(others.take(MAX_FRAME_REPORTS - 1));
        }
        reports
    }
}

#[cfg(test)]
mod tests;
