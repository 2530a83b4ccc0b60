//! The session of this entry's agent with one leader, shared by the watchers that belong to it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::message::Report;
use scheduler::session;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::channel::TrySendError;

use super::clock;
use super::flow::Flow;
use super::lock;
use super::outgoing::Outgoing;
use super::outgoing::Query;

/// The time after a dropped report until which what it said has been reported again: a worker that
/// answers is polled and reported within the wait of a poll, its time limit and the interval of
/// reports.
const REPEAT_TIME: Ms = Ms(4_000);

/// The most contact queries that are queued: a regular one and one that tells of the store.
const MAX_QUEUED_QUERIES: usize = 2;

/// A session and the channel of its reports. Each watcher owns the session that it was started in,
/// so that a result that arrives late cannot reach a later leader.
pub(super) struct Session {
    epoch: Epoch,
    rules: Mutex<session::Session>,
    reports: Sender<Report>,
    /// The contact queries that are due.
    queries: Sender<Query>,
    flow: Arc<Flow>,
    /// The number of reports that found the queue full.
    dropped: AtomicU64,
    /// When the last one of them was dropped, in ms; 0 if none was.
    dropped_at: AtomicU64,
    /// Signals that a worker refused a call of this session for its fencing token.
    refusal: (Sender<()>, Receiver<()>),
}

impl Session {
    /// Begins a session, and returns it with what it sends to the leader. At most `max_reports`
    /// reports are queued.
    pub(super) fn begin(epoch: Epoch, max_reports: usize) -> (Arc<Self>, Outgoing) {
        let (reports, queued_reports) = smol::channel::bounded(max_reports);
        let (queries, queued_queries) = smol::channel::bounded(MAX_QUEUED_QUERIES);
        let flow = Arc::new(Flow::default());
        let session = Arc::new(Self {
            epoch,
            rules: Mutex::new(session::Session::new(epoch, clock::now())),
            reports,
            queries,
            flow: Arc::clone(&flow),
            dropped: AtomicU64::new(0),
            dropped_at: AtomicU64::new(0),
            refusal: smol::channel::bounded(1),
        });
        (session, Outgoing::new(queued_reports, queued_queries, flow))
    }

    pub(super) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sends a report to the leader, or drops it if the session is not open. Returns whether it was
    /// sent.
    pub(super) fn report(&self, report: Report) -> bool {
        if !self.is_open() {
            // The next session reports everything again.
            return false;
        }
        match self.reports.try_send(report) {
            Ok(()) => true,
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(_)) => {
                self.dropped_at.store(clock::now().0, Ordering::SeqCst);
                if self.dropped.fetch_add(1, Ordering::SeqCst) == 0 {
                    log::warn!("kind=report-dropped epoch={} cause=queue-full", self.epoch);
                }
                false
            }
        }
    }

    /// Sends the leader a contact query before all queued reports.
    pub(super) fn query_contact(&self) {
        // Those that are already queued are enough.
        let _ = self.queries.try_send(Report::contact_query);
    }

    /// Tells the leader, before all queued reports, that the store serves this entry.
    pub(super) fn state_store_served(&self) {
        // It is stated again for as long as the store seems not to serve the leader.
        let _ = self.queries.try_send(Report::store_statement);
    }

    /// Returns whether the leader has been sent all that this agent knows, or would have reported by
    /// now, except for what it may have learned just now.
    pub(super) fn is_complete(&self) -> bool {
        let dropped_at = Ms(self.dropped_at.load(Ordering::SeqCst));
        dropped_at == Ms::ZERO || clock::now().since(dropped_at) >= REPEAT_TIME
    }

    pub(super) fn record_contact(&self) {
        lock(&self.rules).record_contact(clock::now());
    }

    /// Records the answer to a contact query that was sent at `sent_at`.
    pub(super) fn confirm_contact(&self, sent_at: Ms) {
        lock(&self.rules).confirm_contact(sent_at);
    }

    /// Records the answer to the query for a receipt that was sent at `sent_at`.
    pub(super) fn record_receipt(&self, sent_at: Ms) {
        self.flow.record_receipt(sent_at);
    }

    /// Records that the connection to the leader was lost.
    pub(super) fn lose(&self) {
        let dropped = self.dropped.load(Ordering::SeqCst);
        if dropped > 0 {
            log::warn!("kind=reports-dropped epoch={} count={dropped}", self.epoch);
        }
        lock(&self.rules).lose();
    }

    pub(super) fn end(&self) {
        lock(&self.rules).end();
    }

    /// Ends the session because a worker refused a call of it for its fencing token.
    pub(super) fn fence(&self) {
        lock(&self.rules).fence();
        // The channel holds one signal, and a signal that is already queued is enough.
        let _ = self.refusal.0.try_send(());
    }

    pub(super) fn is_fenced(&self) -> bool {
        lock(&self.rules).is_fenced()
    }

    /// Waits until a worker refuses a call of this session for its fencing token.
    pub(super) async fn wait_for_fence(&self) {
        // This value owns both ends of the channel, so receiving cannot fail.
        let _ = self.refusal.1.recv().await;
    }

    pub(super) fn last_contact(&self) -> Ms {
        lock(&self.rules).last_contact()
    }

    pub(super) fn confirmed_contact(&self) -> Ms {
        lock(&self.rules).confirmed_contact()
    }

    pub(super) fn is_open(&self) -> bool {
        lock(&self.rules).is_open()
    }

    /// Returns the last confirmed contact with the leader if tasks may be started in this session.
    pub(super) fn start_contact(&self) -> Option<Ms> {
        lock(&self.rules).start_contact()
    }

    /// Returns the last confirmed contact with the leader if leases may be renewed in this session.
    pub(super) fn renewal_contact(&self) -> Option<Ms> {
        lock(&self.rules).renewal_contact()
    }
}

#[cfg(test)]
mod tests;
