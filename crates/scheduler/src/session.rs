//! The session of an agent with one leader, which decides what the agent may send under it.
//!
//! A leader that loses an agent counts on renewals for [`LEADER_CONTACT_TIMEOUT`] from that moment,
//! and a later leader from its own start. A message of the leader may be read seconds after it was
//! sent, so the time at which the agent reads it shows neither that the leader is alive nor that it
//! has kept the agent. Renewals and starts are therefore timed from a contact query of this session
//! that the leader has answered: it handled the query no earlier than the agent sent it, and it
//! answers only over the connection of an agent that it has kept until then. The answer also
//! follows all orders before it, such as one to poll a worker no longer.
//!
//! This assumes that the clocks of both machines advance alike and include time in suspension, and
//! that a leader which was replaced handles no further query. How a leader finds out in time that it
//! was replaced is not decided here.
//!
//! [`LEADER_CONTACT_TIMEOUT`]: crate::leader::LEADER_CONTACT_TIMEOUT

use decision::clock::Ms;

use crate::id::Epoch;

/// The time without a message from the leader after which a session counts as lost.
pub const SILENCE_TIMEOUT: Ms = Ms(1_400);

/// How far a session has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The connection to the leader is open.
    Open,
    /// The connection was lost, but no later leader is known. Leases are renewed until the leader
    /// has been out of contact for too long, so that tasks outlive a short interruption.
    Lost,
    /// The agent follows a leader anew, or this leader no longer leads.
    Ended,
}

/// The session of an agent with the leader of one epoch. An agent that follows the same leader
/// again begins another session.
#[derive(Clone, Debug)]
pub struct Session {
    epoch: Epoch,
    /// When the last heartbeat was read.
    last_contact: Ms,
    /// When the newest message that the leader has handled for certain was sent.
    confirmed_contact: Ms,
    state: State,
    is_fenced: bool,
}

impl Session {
    /// Begins a session at `now`, before the first message is sent. The leader orders nothing
    /// before it has handled that message.
    #[must_use]
    pub const fn new(epoch: Epoch, now: Ms) -> Self {
        Self {
            epoch,
            last_contact: now,
            confirmed_contact: now,
            state: State::Open,
            is_fenced: false,
        }
    }

    /// Returns the epoch of the leader, which is the fencing token of all calls in this session.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns when the session began or the last heartbeat was read, whichever is later. It shows
    /// only that the leader was not silent.
    #[must_use]
    pub const fn last_contact(&self) -> Ms {
        self.last_contact
    }

    /// Records a heartbeat of the leader, which counts only while the connection is open. One that
    /// is read after a longer silence may have waited while this machine was suspended, so the
    /// session counts as lost.
    pub const fn record_contact(&mut self, now: Ms) {
        if now.since(self.last_contact).0 > SILENCE_TIMEOUT.0 {
            self.lose();
        }
        if self.is_open() {
            self.last_contact = now;
        }
    }

    /// Records the answer to a contact query that was sent at `sent_at`, which counts only while the
    /// connection is open.
    pub const fn confirm_contact(&mut self, sent_at: Ms) {
        if self.is_open() && sent_at.0 > self.confirmed_contact.0 {
            self.confirmed_contact = sent_at;
        }
    }

    /// Returns when the newest message that the leader has handled for certain was sent.
    #[must_use]
    pub const fn confirmed_contact(&self) -> Ms {
        self.confirmed_contact
    }

    /// Records that the connection to the leader was lost.
    pub const fn lose(&mut self) {
        if self.is_open() {
            self.state = State::Lost;
        }
    }

    /// Ends the session for good.
    pub const fn end(&mut self) {
        self.state = State::Ended;
    }

    /// Records that a worker refused a call of this session because it has seen a higher fencing
    /// token. This proves that a later leader exists, so the session ends.
    pub const fn fence(&mut self) {
        self.is_fenced = true;
        self.end();
    }

    /// Returns whether a worker has refused a call of this session for its fencing token.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether reports reach the leader of this session. Those of a session that is not
    /// open go nowhere: under another leader they would pass for answers to its own calls.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// Returns whether the session has ended for good.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    /// Returns the last confirmed contact with the leader if tasks may be started in this session.
    #[must_use]
    pub const fn start_contact(&self) -> Option<Ms> {
        match self.state {
            State::Open => Some(self.confirmed_contact),
            State::Lost | State::Ended => None,
        }
    }

    /// Returns the last confirmed contact with the leader if leases may be renewed in this session.
    #[must_use]
    pub const fn renewal_contact(&self) -> Option<Ms> {
        match self.state {
            State::Open | State::Lost => Some(self.confirmed_contact),
            State::Ended => None,
        }
    }
}
