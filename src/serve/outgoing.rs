//! What the session of an agent sends to its leader.

use std::sync::Arc;

use decision::clock::Ms;
use scheduler::message::Report;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol::future::pending;

use super::clock;
use super::flow::Flow;

/// The most reports in one frame. The longest, of a worker that lists all ends that it may, takes
/// some 50 KB.
const MAX_FRAME_REPORTS: usize = 64;

/// Builds a contact query that is sent at a time.
pub(super) type Query = fn(Ms) -> Report;

/// The reports of a session, whose first one introduces the agent, and its contact queries. These
/// overtake queued reports: what they confirm counts from the time at which they are sent.
pub(super) struct Outgoing {
    reports: Receiver<Report>,
    /// What builds each contact query, given the time at which it is sent.
    queries: Receiver<Query>,
    flow: Arc<Flow>,
    has_begun: bool,
}

impl Outgoing {
    pub(super) const fn new(
        reports: Receiver<Report>,
        queries: Receiver<Query>,
        flow: Arc<Flow>,
    ) -> Self {
        Self {
            reports,
            queries,
            flow,
            has_begun: false,
        }
    }

    /// Waits for the next report. `None` means that the session has ended.
    pub(super) async fn next(&mut self) -> Option<Report> {
        if !self.has_begun {
            self.has_begun = true;
            return self.reports.recv().await.ok();
        }
        let query = async { Some(self.next_query().await) };
        let report = async { self.reports.recv().await.ok() };
        query.or(report).await
    }

    /// Waits until a contact query is due, for ever once the session has ended.
    pub(super) async fn next_query(&self) -> Report {
        match self.queries.recv().await {
            Ok(query) => query(clock::now()),
            // The reports that are still queued come first.
            Err(_) => pending().await,
        }
    }

    /// Waits for the reports of the next frame, which are empty if the session has ended. All but
    /// contact queries wait while too many reports are under way.
    pub(super) async fn next_frame(&mut self) -> Vec<Report> {
        if !self.has_begun {
            let first = self.next().await;
            return first.into_iter().chain([Report::numbering()]).collect();
        }
        let query = async { Some(self.next_query().await) };
        let report = async {
            self.flow.wait_for_room().await;
            self.reports.recv().await.ok()
        };
        let Some(first) = query.or(report).await else {
            return Vec::new();
        };
        self.fill_frame(first)
    }

    /// Returns a frame that begins with a report, and records those that are sent with it.
    fn fill_frame(&self, first: Report) -> Vec<Report> {
        let counted = usize::from(!first.is_contact_query());
        let room = self.flow.room().saturating_sub(counted);
        let others = std::iter::from_fn(|| self.reports.try_recv().ok());
        let others = others.take(room.min(MAX_FRAME_REPORTS - 1));
        let mut frame = vec![first];
        frame.extend(others);
        self.flow.record_sent(frame.len() - 1 + counted);
        frame
    }

    /// Returns the query for a receipt to send after the last frame, if one is due.
    pub(super) fn due_receipt_query(&self) -> Option<Report> {
        self.flow.due_query()
    }
}

#[cfg(test)]
mod tests;
