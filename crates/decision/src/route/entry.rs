//! A target with its slots in use, its health and its rank in the choice.

use super::Id;
use crate::clock::Ms;
use crate::health::Health;
use crate::request::Target;

/// The extra cost of a target in another failure domain, in percent of one request in progress.
const CROSS_DOMAIN_PERCENT: u64 = 25;

/// The share of a target's slots that long requests may hold, in eighths.
const MAX_LONG_EIGHTHS: u32 = 3;

/// Orders targets by load per slot times slowdown, then by last use, the least recently used first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub(super) cost: u64,
    /// The table's count of acquisitions when the target was last chosen.
    pub(super) last_used: u64,
    pub(super) id: Id,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) target: Target,
    pub(super) owned: bool,
    pub(super) same_domain: bool,
    /// Slots in use by this entry's requests.
    pub(super) busy: u32,
    /// The number of these slots that long requests use.
    pub(super) long: u32,
    pub(super) last_used: u64,
    pub(super) health: Health,
    pub(super) rank: Option<Rank>,
    pub(super) probe_at: Option<Ms>,
    /// This target's part of the table's total capacity.
    pub(super) capacity: u32,
    /// This target's part of the table's free slots.
    pub(super) free: u32,
}

impl Entry {
    pub(super) fn capacity(&self) -> u32 {
        if !self.owned || self.target.leaving {
            return 0;
        }
        self.health.limit(self.target.slots)
    }

    /// Free slots within the limit that the target's health sets, at most its unoccupied slots.
    pub(super) fn free(&self) -> u32 {
        let limit = self.capacity().saturating_sub(self.busy);
        limit.min(self.vacant())
    }

    /// Slots that are unoccupied, counting the requests of this entry and of former owners.
    pub(super) fn vacant(&self) -> u32 {
        self.target
            .slots
            .saturating_sub(self.busy.saturating_add(self.target.busy))
    }

    pub(super) fn long_limit(&self) -> u32 {
        (self.target.slots * MAX_LONG_EIGHTHS / 8).max(1)
    }

    pub(super) fn rank(&self, id: Id) -> Rank {
        let slots = u64::from(self.target.slots.max(1));
        let slowdown = u64::from(self.target.slowdown.clamp(1, 10_000));
        let load = (u64::from(self.busy) + u64::from(self.target.busy) + 1) * 100
            + if self.same_domain {
                0
            } else {
                CROSS_DOMAIN_PERCENT
            };
        Rank {
            cost: load * slowdown * 8 / slots,
            last_used: self.last_used,
            id,
        }
    }
}
