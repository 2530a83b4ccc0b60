//! Renews the lease of one worker through the polls of its agent.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;

use crate::leader::LEADER_CONTACT_TIMEOUT;
use crate::message::Placement;

/// The interval at which an agent reports the runs on a worker to the leader. It also limits the
/// time for which a poll waits for an end.
pub const REPORT_INTERVAL: Ms = Ms(800);
/// The longest time that the next poll waits for the leader to acknowledge reported ends.
pub const ACKNOWLEDGEMENT_TIMEOUT: Ms = Ms(250);
/// The time after an answer in which the worker counts as not restarted. It exceeds the longest
/// pause between an answer and the next poll.
const ANSWER_VALIDITY: Ms = Ms(ACKNOWLEDGEMENT_TIMEOUT.0 + 150);
/// The shortest time for which a poll waits for an end.
const MIN_WAIT: Ms = Ms(50);
/// The time for which a poll waits for an end before the worker's clock is known.
const INITIAL_WAIT: Ms = Ms::ZERO;

/// The parameters of one poll of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Poll {
    /// The time to which the lease is extended, on the worker's clock; absent if the poll does not
    /// renew the lease.
    pub deadline: Option<Ms>,
    /// The time for which the worker may delay its answer until a run ends.
    pub wait: Ms,
}

/// The lease of a worker as its agent knows it.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    length: Ms,
    /// The time when the agent began to poll the worker.
    begun: Ms,
    /// The worker's clock in its last answer, and the time of that answer by the agent's clock.
    clock: Option<(Ms, Ms)>,
    /// The time when the last renewal was sent.
    renewed: Option<Ms>,
    /// The incarnation of the worker in its last answer.
    incarnation: Option<Ms>,
    is_unresponsive: bool,
    /// The agent polls the worker no longer, so it renews no lease.
    has_ended: bool,
}

impl Lease {
    /// Creates a lease of this length on a worker that the agent polls from now on.
    #[must_use]
    pub const fn new(length: Ms, now: Ms) -> Self {
        Self {
            length,
            begun: now,
            clock: None,
            renewed: None,
            incarnation: None,
            is_unresponsive: false,
            has_ended: false,
        }
    }

    /// Ends all renewals.
    pub const fn end(&mut self) {
        self.has_ended = true;
    }

    /// Returns whether the agent polls the worker no longer.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Returns the next poll, given the last confirmed contact with the leader and the time when the
    /// runs were last reported. A worker that did not answer is polled without a renewal, so
    /// that its lease expires at a time that the leader knows.
    #[must_use]
    pub fn next_poll(&self, now: Ms, last_contact: Ms, reported: Ms) -> Poll {
        let deadline = self.deadline(now, last_contact);
        let wait = if deadline.is_some() {
            (reported + REPORT_INTERVAL).since(now).max(MIN_WAIT)
        } else {
            INITIAL_WAIT
        };
        Poll { deadline, wait }
    }

    /// Returns the end of a lease that begins now, on the worker's clock. It is absent if the lease
    /// must not be renewed, because the worker or the leader is out of contact, or the agent polls the
    /// worker no longer.
    #[must_use]
    pub fn deadline(&self, now: Ms, last_contact: Ms) -> Option<Ms> {
        let is_out_of_contact = now.since(last_contact) > LEADER_CONTACT_TIMEOUT;
        if self.has_ended || self.is_unresponsive || is_out_of_contact {
            return None;
        }
        let (worker_clock, answered_at) = self.clock?;
        Some(worker_clock + now.since(answered_at) + self.length)
    }

    /// Records that a renewal is sent.
    pub const fn record_renewal(&mut self, now: Ms) {
        self.renewed = Some(now);
    }

    /// Returns the number up to which the worker may discard its ends, given the incarnation and
    /// number that the leader sent. The number is 0 for another incarnation, which counts its ends
    /// anew. It is also 0 while the worker does not answer: it may have restarted, and a poll that is
    /// carried out late would discard ends of the next incarnation. So it is when the last answer is
    /// older than [`ANSWER_VALIDITY`]: a restart between two polls breaks none of them.
    #[must_use]
    pub fn acknowledged(&self, now: Ms, reported: Option<(Ms, u64)>) -> u64 {
        let is_recent = self
            .clock
            .is_some_and(|(_, answered_at)| now.since(answered_at) <= ANSWER_VALIDITY);
        match reported {
            Some((incarnation, number))
                if self.incarnation == Some(incarnation) && is_recent && !self.is_unresponsive =>
            {
                number
            }
            _ => 0,
        }
    }

    /// Records an answer with the worker's clock and incarnation, and returns whether the poll
    /// before it had failed.
    pub const fn record_answer(&mut self, now: Ms, clock: Ms, incarnation: Ms) -> bool {
        self.clock = Some((clock, now));
        self.incarnation = Some(incarnation);
        let was_unresponsive = self.is_unresponsive;
        self.is_unresponsive = false;
        was_unresponsive
    }

    /// Records a poll without an answer, and returns the time since the last renewal, or since the
    /// agent began to poll the worker if it has sent none.
    pub const fn record_failure(&mut self, now: Ms) -> Ms {
        self.is_unresponsive = true;
        match self.renewed {
            Some(at) => now.since(at),
            None => now.since(self.begun),
        }
    }

    /// Returns the time since the last renewal, or `None` if there was none.
    #[must_use]
    pub fn renewal_age(&self, now: Ms) -> Option<Ms> {
        self.renewed.map(|at| now.since(at))
    }

    /// Returns whether the last poll got no answer.
    #[must_use]
    pub const fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Returns whether the worker has ever answered this agent.
    #[must_use]
    pub const fn has_answered(&self) -> bool {
        self.clock.is_some()
    }
}

/// The time for which the record of a worker is kept, after which all leases of its runs have
/// expired.
const RECORD_RETENTION: Ms = Ms(20_000);

/// The runs that an agent can report to a new leader because earlier leaders ordered them. It
/// contains only workers that have answered this agent. Records from the time of several leaders
/// ago are kept until they expire.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// The time of the last renewal and the runs that may exist, by worker.
    records: BTreeMap<Name, (Ms, Vec<Placement>)>,
}

impl Inventory {
    /// Adds the workers that were polled for the previous leader, and returns all records with the
    /// time since the last renewal.
    pub fn collect(
        &mut self,
        now: Ms,
        watches: impl Iterator<Item = (Name, Lease, Vec<Placement>)>,
    ) -> Vec<(Name, Ms, Vec<Placement>)> {
        for (name, lease, placements) in watches {
            if lease.has_answered() {
                // If this agent sent no renewal, the one of the agent before it may be as recent as
                // this moment.
                let renewed = lease.renewed.unwrap_or(now);
                self.records.insert(name, (renewed, placements));
            }
        }
        self.records
            .retain(|_, (renewed, _)| now.since(*renewed) <= RECORD_RETENTION);
        let records = self.records.iter();
        records
            .map(|(name, (renewed, placements))| {
                (name.clone(), now.since(*renewed), placements.clone())
            })
            .collect()
    }
}
