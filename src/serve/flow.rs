//! Bounds the reports of an agent that are under way to its leader.
//!
//! Contact queries overtake the reports that wait at the agent or that the leader has read, but not
//! those between. So the agent asks for a receipt after each [`RECEIPT_INTERVAL`] reports and sends
//! no further ones while [`MAX_UNDER_WAY`] have no receipt; the leader reads more than that ahead of
//! its driver. The leader answers the query for a receipt after all reports before it, as leaders of
//! earlier builds do, because it looks like a query of a customer.

use std::collections::VecDeque;
use std::sync::Mutex;

use decision::clock::Ms;
use scheduler::message::Report;
use smol::channel::Receiver;
use smol::channel::Sender;

use super::clock;
use super::lock;

/// The most reports that the leader has not confirmed.
pub(super) const MAX_UNDER_WAY: usize = 256;
/// The number of reports after which a receipt is asked for.
const RECEIPT_INTERVAL: usize = 64;

/// The reports of a session that the leader has not confirmed.
pub(super) struct Flow {
    counts: Mutex<Counts>,
    /// Signals that a receipt has arrived.
    room: (Sender<()>, Receiver<()>),
}

#[derive(Debug, Default)]
struct Counts {
    /// The reports without a receipt for which none has been asked either.
    uncovered: usize,
    /// The queries for a receipt that are not answered: when each was sent, and the number of
    /// reports since the one before.
    queries: VecDeque<(Ms, usize)>,
    last_query: Ms,
}

impl Counts {
    fn under_way(&self) -> usize {
        let covered: usize = self.queries.iter().map(|(_, count)| count).sum();
        covered + self.uncovered
    }

    fn query(&mut self, now: Ms) -> Option<Report> {
        if self.uncovered < RECEIPT_INTERVAL {
            return None;
        }
        // The time identifies the query, also among those of earlier sessions.
        self.last_query = now.max(self.last_query + Ms(1));
        let count = std::mem::take(&mut self.uncovered);
        self.queries.push_back((self.last_query, count));
        Some(Report::receipt_query(self.last_query))
    }

    /// Returns whether the receipt is for a query of this session.
    fn record_receipt(&mut self, sent_at: Ms) -> bool {
        let position = self.queries.iter().position(|(at, _)| *at == sent_at);
        let Some(position) = position else {
            return false;
        };
        self.queries.drain(..=position);
        true
    }
}

impl Default for Flow {
    fn default() -> Self {
        Self {
            counts: Mutex::default(),
            room: smol::channel::bounded(1),
        }
    }
}

impl Flow {
    /// Returns how many more reports may be sent now.
    pub(super) fn room(&self) -> usize {
        MAX_UNDER_WAY.saturating_sub(lock(&self.counts).under_way())
    }

    /// Waits until a report may be sent.
    pub(super) async fn wait_for_room(&self) {
        while self.room() == 0 {
            // This value owns both ends of the channel, so receiving cannot fail.
            let _ = self.room.1.recv().await;
        }
    }

    /// Records that this number of reports is sent.
    pub(super) fn record_sent(&self, count: usize) {
        lock(&self.counts).uncovered += count;
    }

    /// Returns the query for a receipt to send after the last report, if one is due.
    pub(super) fn due_query(&self) -> Option<Report> {
        lock(&self.counts).query(clock::now())
    }

    /// Records the answer to the query for a receipt that was sent at `sent_at`.
    pub(super) fn record_receipt(&self, sent_at: Ms) {
        if lock(&self.counts).record_receipt(sent_at) {
            // The channel holds one signal, and a signal that is already queued is enough.
            let _ = self.room.0.try_send(());
        }
    }
}
