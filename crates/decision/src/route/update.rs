//! Updates of the table: new lists of targets, and the indexes after a change.

use std::collections::HashSet;

use super::Id;
use super::Table;
use super::entry::Entry;
use crate::health::Health;
use crate::name::Name;
use crate::request::Target;

impl Table {
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

    /// Updates the indexes and totals after a change of the target's state.
    pub(super) fn refresh(&mut self, id: Id) {
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
