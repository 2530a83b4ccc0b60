//! What a leader knows of the renewals of a worker's lease, from which it computes when all leases on
//! the worker have expired.
//!
//! | evidence | what it tells |
//! | --- | --- |
//! | [`Renewals::include`] | Somebody may have sent renewals until a time: the agent of a former watch, until it learns that it no longer polls the worker, an agent of an earlier leader, or the present one by a start that it has sent. |
//! | [`Renewals::expect_none_after`] | The agent of the present watch renews no more until the worker answers, and has last done so at a time. |
//! | [`Renewals::continue_renewing`] | The worker has answered the present watch, which renews the lease from then on. |

use decision::clock::Ms;

/// The renewals of the lease of one worker, by the leader's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Renewals {
    /// The latest time at which any other than the polls of the present watch may have renewed.
    others: Ms,
    /// The last renewal by the polls of the present watch; absent while they go on.
    last_poll: Option<Ms>,
}

impl Renewals {
    /// Records that a renewal may have been sent until this time, whatever else is known.
    pub fn include(&mut self, until: Ms) {
        self.others = self.others.max(until);
    }

    /// Records that the polls of the present watch renew the lease no more until the worker answers.
    /// The last one that did was sent at this time.
    pub fn expect_none_after(&mut self, last_poll: Ms) {
        self.last_poll = Some(self.last_poll.unwrap_or_default().max(last_poll));
    }

    /// Records that the worker has answered a poll of the present watch.
    pub const fn continue_renewing(&mut self) {
        self.last_poll = None;
    }

    /// Returns the latest time at which a renewal can have been sent; `None` while the present watch
    /// renews the lease.
    #[must_use]
    pub fn last(&self) -> Option<Ms> {
        self.last_poll.map(|at| at.max(self.others))
    }

    /// Returns the last renewal by the polls of the present watch; `None` while they go on.
    #[must_use]
    pub const fn last_poll(&self) -> Option<Ms> {
        self.last_poll
    }

    /// Returns the latest time at which any other than these polls may have renewed the lease.
    #[must_use]
    pub const fn others(&self) -> Ms {
        self.others
    }
}
