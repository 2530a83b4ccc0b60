//! The routing table: the owned targets with their slots, and the choice among them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::classify::Class;
use crate::clock::Ms;
use crate::health::Change;
use crate::health::Health;
use crate::name::Name;
use crate::request::Snapshot;
use crate::request::Target;
use crate::worker::Epoch;

/// The extra cost of a target in another failure domain, in percent of one request in progress.
const CROSS_DOMAIN_PERCENT: u64 = 25;
/// The share of a target's slots that long requests may hold, in eighths.
const MAX_LONG_EIGHTHS: u32 = 3;
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

/// Orders targets by load per slot times slowdown, then by last use, the least recently used first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    cost: u64,
    /// The table's count of acquisitions when the target was last chosen.
    last_used: u64,
    id: Id,
}

#[derive(Debug)]
struct Entry {
    target: Target,
    owned: bool,
    same_domain: bool,
    /// Slots in use by this entry's requests.
    busy: u32,
    /// The number of these slots that long requests use.
    long: u32,
    last_used: u64,
    health: Health,
    rank: Option<Rank>,
    probe_at: Option<Ms>,
    /// This target's part of the table's total capacity.
    capacity: u32,
    /// This target's part of the table's free slots.
    free: u32,
}

impl Entry {
    fn capacity(&self) -> u32 {
        if !self.owned || self.target.leaving {
            return 0;
        }
        self.health.limit(self.target.slots)
    }

    /// Free slots within the limit that the target's health sets, at most its unoccupied slots.
    fn free(&self) -> u32 {
        let limit = self.capacity().saturating_sub(self.busy);
        limit.min(self.vacant())
    }

    /// Slots that are unoccupied, counting the requests of this entry and of former owners.
    fn vacant(&self) -> u32 {
        self.target
            .slots
            .saturating_sub(self.busy.saturating_add(self.target.busy))
    }

    fn long_limit(&self) -> u32 {
        (self.target.slots * MAX_LONG_EIGHTHS / 8).max(1)
    }

    fn rank(&self, id: Id) -> Rank {
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

    /// Replaces the list of owned targets. Slots in use by requests of former owners count as busy
    /// until the worker reports otherwise, because such a request may outlast any timeout. Returns
    /// the targets that were marked as leaving since the last update.
    pub fn update(&mut self, targets: Vec<Target>) -> Vec<Name> {
        let mut leaving = Vec::new();
        let present: HashSet<Name> = targets.iter().map(|target| target.vm.clone()).collect();
        let mut removed: Vec<Id> = self
            .ids
            .iter()
            .filter(|(vm, _)| !present.contains(*vm))
            .map(|(_, id)| *id)
            .collect();
        // Freed ids are reused in this order. It is sorted so that equal seeds give equal choices.
        removed.sort_unstable();
        for id in removed {
            self.entry(id).owned = false;
            self.refresh(id);
        }
        for target in targets {
            if target.leaving && self.begins_to_leave(&target) {
                leaving.push(target.vm.clone());
            }
            self.insert_or_update(target);
        }
        leaving
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

    fn begins_to_leave(&self, target: &Target) -> bool {
        self.ids
            .get(&target.vm)
            .is_some_and(|id| !self.entries[id.0 as usize].target.leaving)
    }

    fn insert_or_update(&mut self, target: Target) {
        let Some(id) = self.ids.get(&target.vm).copied() else {
            self.insert(target);
            return;
        };
        let same_domain = target.domain == self.domain;
        let entry = self.entry(id);
        let new_epoch = entry.target.epoch != target.epoch;
        entry.owned = true;
        entry.same_domain = same_domain;
        entry.target = target;
        if new_epoch {
            // Failures under the former epoch may only have meant that the epoch had ended.
            entry.health = Health::default();
        }
        self.refresh(id);
    }

    fn insert(&mut self, target: Target) {
        let vm = target.vm.clone();
        let entry = Entry {
            same_domain: target.domain == self.domain,
            target,
            owned: true,
            busy: 0,
            long: 0,
            last_used: self.acquisitions,
            health: Health::default(),
            rank: None,
            probe_at: None,
            capacity: 0,
            free: 0,
        };
        let id = match self.unused_ids.pop() {
            Some(id) => {
                *self.entry(id) = entry;
                id
            }
            None => {
                let index = u32::try_from(self.entries.len());
                self.entries.push(entry);
                Id(index.expect("fewer than 2^32 targets are owned"))
            }
        };
        self.ids.insert(vm, id);
        self.refresh(id);
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

    /// Updates the indexes and totals after a change of the target's state.
    fn refresh(&mut self, id: Id) {
        let entry = &mut self.entries[id.0 as usize];
        if let Some(rank) = entry.rank.take() {
            self.available.remove(&rank);
            self.available_long.remove(&rank);
        }
        if let Some(at) = entry.probe_at.take() {
            self.probes.remove(&(at, id));
        }
        self.capacity = self.capacity - entry.capacity + entry.capacity();
        self.free = self.free - entry.free + entry.free();
        self.usable -= usize::from(entry.capacity > 0);
        entry.capacity = entry.capacity();
        self.usable += usize::from(entry.capacity > 0);
        entry.free = entry.free();
        if entry.free > 0 {
            let rank = entry.rank(id);
            entry.rank = Some(rank);
            self.available.insert(rank);
            if entry.long < entry.long_limit() {
                self.available_long.insert(rank);
            }
        }
        if entry.owned && !entry.target.leaving {
            entry.probe_at = entry.health.probe_at();
            self.probes.extend(entry.probe_at.map(|at| (at, id)));
        }
        let unused = !entry.owned && entry.busy == 0;
        if unused && self.ids.get(&entry.target.vm) == Some(&id) {
            self.ids.remove(&entry.target.vm);
            self.unused_ids.push(id);
        }
    }
}
