//! How an agent keeps the lease of one worker.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;

use crate::leader::LEADER_CONTACT_TIMEOUT;
use crate::message::Placement;

/// What runs is reported to the leader in this interval, so that no look waits for an end for longer.
pub const REPORT_INTERVAL: Ms = Ms(800);
/// The shortest wait of a look for an end.
const MIN_WAIT: Ms = Ms(50);
/// The wait of a look before the worker's clock is known.
const INITIAL_WAIT: Ms = Ms::ZERO;

/// One look at a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Poll {
    /// The end of the lease on the worker's clock, if the lease is renewed.
    pub deadline: Option<Ms>,
    /// How long the worker may wait for an end.
    pub wait: Ms,
}

/// The lease of a worker as its agent sees it.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    length: Ms,
    clock: Option<(Ms, Ms)>,
    renewed: Option<Ms>,
    incarnation: Option<Ms>,
    is_unresponsive: bool,
}

impl Lease {
    /// A lease of this length on a worker that has not answered yet.
    #[must_use]
    pub const fn new(length: Ms) -> Self {
        Self {
            length,
            clock: None,
            renewed: None,
            incarnation: None,
            is_unresponsive: false,
        }
    }

    /// The next look, after what runs was reported at `reported`. A silent worker is asked without a renewal, so that its lease ends at a time
    /// that the leader knows.
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

    /// The end of a lease that begins now, on the worker's clock.
    #[must_use]
    pub fn deadline(&self, now: Ms, last_contact: Ms) -> Option<Ms> {
        if self.is_unresponsive || now.since(last_contact) > LEADER_CONTACT_TIMEOUT {
            return None;
        }
        let (clock, at) = self.clock?;
        Some(clock + now.since(at) + self.length)
    }

    /// Notes that a renewal is sent.
    pub const fn record_renewal(&mut self, now: Ms) {
        self.renewed = Some(now);
    }

    /// The number up to which ends may be forgotten, from what the leader said of an incarnation.
    /// Another incarnation counts its ends anew.
    #[must_use]
    pub fn acknowledged(&self, reported: Option<(Ms, u64)>) -> u64 {
        match reported {
            Some((incarnation, number)) if self.incarnation == Some(incarnation) => number,
            _ => 0,
        }
    }

    /// Notes an answer with the worker's clock and incarnation; whether it was silent before.
    pub const fn record_answer(&mut self, now: Ms, clock: Ms, incarnation: Ms) -> bool {
        self.clock = Some((clock, now));
        self.incarnation = Some(incarnation);
        let was_unresponsive = self.is_unresponsive;
        self.is_unresponsive = false;
        was_unresponsive
    }

    /// Notes that there was no answer, and returns the time since the last renewal.
    pub const fn record_failure(&mut self, now: Ms) -> Ms {
        self.is_unresponsive = true;
        match self.renewed {
            Some(at) => now.since(at),
            None => Ms(now.0),
        }
    }

    /// Whether the last look had no answer.
    #[must_use]
    pub const fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Whether the worker has ever answered this agent.
    #[must_use]
    pub const fn has_answered(&self) -> bool {
        self.clock.is_some()
    }

    /// The time since the last renewal.
    #[must_use]
    pub fn age(&self, now: Ms) -> Ms {
        self.renewed.map_or(Ms(now.0), |at| now.since(at))
    }
}

/// How long an account of a worker is kept: all leases that it speaks of have expired by then.
const RECORD_RETENTION: Ms = Ms(20_000);

/// What an agent can tell a new leader of workers from the orders of earlier ones. An agent that has
/// never had an answer of a worker has no account of it, and one from the leader before that is
/// passed on.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// The time of the last renewal and the runs that may be there, by worker.
    records: BTreeMap<Name, (Ms, Vec<Placement>)>,
}

impl Inventory {
    /// Takes in the watches under the leader before and returns all accounts, each with the time
    /// since the last renewal.
    pub fn collect(
        &mut self,
        now: Ms,
        watches: impl Iterator<Item = (Name, Lease, Vec<Placement>)>,
    ) -> Vec<(Name, Ms, Vec<Placement>)> {
        for (name, lease, placements) in watches {
            if lease.has_answered() {
                // Without an own renewal, one of the agent before may be just as old.
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
