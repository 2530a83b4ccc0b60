//! The routing table: the owned targets with their slots, and the choice among them.

mod entry;
mod update;

use std::collections::BTreeSet;
use std::collections::HashMap;

use self::entry::Entry;
use self::entry::Rank;
use crate::classify::Class;
use crate::clock::Ms;
use crate::health::Change;
use crate::name::Name;
use crate::request::Snapshot;
use crate::worker::Epoch;

/// The share of all slots of the entry that long requests may hold, in percent.
const MAX_LONG_PERCENT: u32 = 40;

/// Long requests go first while they hold less than one in this many slots.
const LONG_PRIORITY_DIVISOR: u32 = 10;

/// The number of due probes examined in one choice, which bounds its cost when many targets are
/// quarantined.
const MAX_PROBES_EXAMINED: usize = 4;

/// Identifies a target in the table while it is owned or has requests. Ids are reused afterwards.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id(u32);

/// The constraints of a request on the choice of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Whether the request is long and long requests are limited to their share of the slots.
    pub limit_long: bool,
    /// Whether the request may run more than once. Probes of quarantined targets preferably use
    /// such requests.
    pub repeatable: bool,
    /// Targets that must not be chosen, because they failed the request or already run it.
    pub excluded: &'a [Id],
}

/// The result of a choice of target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The id of the chosen target.
    pub id: Id,
    /// Whether the request probes a quarantined target.
    pub probe: bool,
}

/// The owned targets, indexed for the choice among them.
#[derive(Debug)]
pub struct Table {
    domain: Name,
    ids: HashMap<Name, Id>,
    entries: Vec<Entry>,
    unused_ids: Vec<Id>,
    /// Targets with a free slot, ordered by rank.
    available: BTreeSet<Rank>,
    /// The available targets whose share of long requests is not exhausted, ordered by rank.
    available_long: BTreeSet<Rank>,
    /// Quarantined targets by the time of their next probe.
    probes: BTreeSet<(Ms, Id)>,
    /// The number of slots acquired so far, which orders targets by last use.
    acquisitions: u64,
    capacity: u32,
    free: u32,
    long: u32,
    /// The number of targets with capacity.
    usable: usize,
}

impl Table {
    /// Creates an empty table for an entry in a failure domain.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            ids: HashMap::new(),
            entries: Vec::new(),
            unused_ids: Vec::new(),
            available: BTreeSet::new(),
            available_long: BTreeSet::new(),
            probes: BTreeSet::new(),
            acquisitions: 0,
            capacity: 0,
            free: 0,
            long: 0,
            usable: 0,
        }
    }

    /// Returns the best target with a free slot, or a quarantined target whose probe is due.
    #[must_use]
    pub fn choose(&self, now: Ms, criteria: &Criteria<'_>) -> Option<Choice> {
        if criteria.limit_long && self.long * 100 >= self.capacity * MAX_LONG_PERCENT {
            return None;
        }
        if let Some(id) = self.choose_probe(now, criteria) {
            return Some(Choice { id, probe: true });
        }
        let available = if criteria.limit_long {
            &self.available_long
        } else {
            &self.available
        };
        let rank = available
            .iter()
            .find(|rank| !criteria.excluded.contains(&rank.id))?;
        Some(Choice {
            id: rank.id,
            probe: false,
        })
    }

    /// Acquires a slot of a chosen target.
    pub fn acquire(&mut self, choice: Choice, long: bool) {
        self.acquisitions += 1;
        let last_used = self.acquisitions;
        let entry = self.entry(choice.id);
        assert!(
            entry.vacant() > 0,
            "a slot is acquired only at a target with an unoccupied slot"
        );
        entry.busy += 1;
        entry.last_used = last_used;
        if choice.probe {
            entry.health.start_probe();
        }
        self.count_long(choice.id, long);
        self.refresh(choice.id);
    }

    /// Counts a running request as long, after it was started as a short one.
    pub fn mark_long(&mut self, id: Id) {
        self.count_long(id, true);
        self.refresh(id);
    }

    /// Releases an acquired slot.
    pub fn release(&mut self, id: Id, long: bool) {
        let entry = self.entry(id);
        assert!(entry.busy > 0, "an acquired slot is released only once");
        entry.busy -= 1;
        if long {
            entry.long -= 1;
            self.long -= 1;
        }
        self.refresh(id);
    }

    /// Records the success or failure of a request in the target's health.
    pub fn record(&mut self, now: Ms, choice: Choice, failed: bool) -> Change {
        let change = self
            .entry(choice.id)
            .health
            .record(now, failed, choice.probe);
        self.refresh(choice.id);
        change
    }

    /// Makes another probe possible after a request ended without a result about its target.
    pub fn cancel_probe(&mut self, choice: Choice) {
        if choice.probe {
            self.entry(choice.id).health.abort_probe();
            self.refresh(choice.id);
        }
    }

    /// Returns the name of the target's VM.
    #[must_use]
    pub fn vm(&self, id: Id) -> &Name {
        &self.entries[id.0 as usize].target.vm
    }

    /// Returns the target's last report of this entry's attempts, if it made one.
    #[must_use]
    pub fn snapshot(&self, id: Id) -> Option<&Snapshot> {
        self.entries[id.0 as usize].target.snapshot.as_ref()
    }

    /// Returns whether this entry owns the target under this epoch.
    #[must_use]
    pub fn owns(&self, id: Id, epoch: Epoch) -> bool {
        let entry = &self.entries[id.0 as usize];
        entry.owned && entry.target.epoch == epoch
    }

    /// Returns the ownership epoch to send with requests to the target.
    #[must_use]
    pub fn epoch(&self, id: Id) -> Epoch {
        self.entries[id.0 as usize].target.epoch
    }

    /// Returns the number of free slots of all usable targets, within their health limits.
    #[must_use]
    pub const fn free(&self) -> u32 {
        self.free
    }

    /// Returns the number of targets that have capacity: not leaving and not quarantined.
    #[must_use]
    pub const fn usable(&self) -> usize {
        self.usable
    }

    /// Returns whether long requests hold less than a tenth of the slots. They are then served
    /// before short requests, which could otherwise keep them waiting forever.
    #[must_use]
    pub const fn long_underserved(&self) -> bool {
        self.long * LONG_PRIORITY_DIVISOR < self.capacity
    }

    /// Returns the number of slots that are expected to be available to requests of a class.
    #[must_use]
    pub const fn share(&self, class: Class, limit_long: bool) -> u32 {
        let long = self.capacity * MAX_LONG_PERCENT / 100;
        match class {
            _ if !limit_long => self.capacity,
            Class::Long => long,
            Class::Short if self.long < long => self.capacity - self.long,
            Class::Short => self.capacity - long,
        }
    }

    /// Returns the number of free and busy slots of all usable targets, within their health limits.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    fn choose_probe(&self, now: Ms, criteria: &Criteria<'_>) -> Option<Id> {
        let due = self.probes.iter().take_while(|(at, _)| *at <= now);
        due.take(MAX_PROBES_EXAMINED)
            .map(|(at, id)| (*at, *id))
            .filter(|(_, id)| !criteria.excluded.contains(id))
            .find(|(at, id)| {
                let entry = &self.entries[id.0 as usize];
                let overdue = *at + entry.health.probe_interval() <= now;
                entry.vacant() > 0 && (criteria.repeatable || overdue)
            })
            .map(|(_, id)| id)
    }

    fn count_long(&mut self, id: Id, long: bool) {
        if long {
            self.entry(id).long += 1;
            self.long += 1;
        }
    }

    fn entry(&mut self, id: Id) -> &mut Entry {
        &mut self.entries[id.0 as usize]
    }
}
