//! The planned owners of groups, and the rows that say who owns them.

use std::collections::BTreeMap;

use super::Id;
use super::Machine;
use super::store::Reading;
use crate::clock::Ms;
use crate::group;
use crate::group::Authority;
use crate::group::Holding;
use crate::member::SUSPECT_AFTER;
use crate::name::Name;
use crate::place;
use crate::record;
use crate::step::Step;
use crate::table;
use crate::table::Operation;
use crate::table::Row;

/// An entry waits this long after its start, so that entries that start together learn of each
/// other before one of them acquires all groups.
const JOIN_DELAY: Ms = Ms(600);

/// The interval between reads of group rows.
const ROWS_INTERVAL: Ms = Ms(1_000);

/// The delay before group rows are read again after a conflict or a failure.
pub(super) const ROWS_RETRY_DELAY: Ms = Ms(200);

// More rows are split over several reads.
const MAX_ROWS_PER_READ: usize = 200;

// One conflict fails the whole transaction, so only a few groups are acquired together.
const MAX_GROUPS_PER_COMMIT: usize = 16;

/// The planned owner of each group, for the live entries and the set of groups that it was made
/// for.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    owners: Vec<Name>,
    edition: u64,
    groups: BTreeMap<Name, Name>,
}

impl Plan {
    pub(super) fn owner(&self, group: &str) -> Option<&Name> {
        self.groups.get(group)
    }
}

/// What the row of a group says about its owner, as seen by this entry.
pub(super) enum RowState {
    /// There is no row: the group was never owned.
    Absent,
    /// The owner released the group or is dead.
    Free,
    /// The row names this process as owner.
    Own,
    /// The owner is another process that is live or may be live.
    Foreign,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Updates the plan, and reads the rows of groups that this entry may acquire or must confirm.
    /// While the table is down, it may act as their caretaker instead.
    pub(super) fn maintain_ownership(&mut self) {
        let started = self.started.unwrap_or(self.now);
        if self.now.since(started) < JOIN_DELAY || !self.fleet.is_received() {
            return;
        }
        self.update_plan();
        self.unfreeze_groups();
        if self.now < self.due.rows {
            return;
        }
        self.due.rows = self.now + ROWS_INTERVAL;
        let names = self.groups_to_read();
        if !self.is_table_up() {
            self.act_as_caretaker(&names);
            return;
        }
        for names in names.chunks(MAX_ROWS_PER_READ) {
            let keys = names.iter().map(|name| table::key("group", name));
            let operation = Operation::Read(keys.collect());
            self.start_read(Reading::Groups(names.to_vec()), operation);
        }
    }

    fn update_plan(&mut self) {
        let owners = self.roster.owners(self.now);
        if owners == self.plan.owners && self.fleet.edition == self.plan.edition {
            return;
        }
        let planned =
            |group: &Name| Some((group.clone(), group::planned_owner(group, &owners)?.clone()));
        self.plan.groups = self.fleet.groups.keys().filter_map(planned).collect();
        self.plan.owners = owners;
        self.plan.edition = self.fleet.edition;
        self.due.rows = self.now;
    }

    /// The groups that this entry is planned to own and does not hold, those whose ownership is
    /// unconfirmed, and those due for a check.
    fn groups_to_read(&self) -> Vec<Name> {
        let entry = &self.identity.entry;
        let planned = self.plan.groups.iter();
        let planned = planned.filter(|(group, owner)| {
            *owner == entry && !self.held.contains_key(*group) && self.stopping.is_none()
        });
        let unconfirmed = self.held.iter();
        let unconfirmed =
            unconfirmed.filter(|(_, held)| !held.confirmed || held.authority != Authority::Row);
        let due = self.recheck.iter();
        let due = due.filter(|(_, at)| self.now >= **at);
        let to_read = planned
            .map(|(group, _)| group)
            .chain(unconfirmed.map(|(group, _)| group))
            .chain(due.map(|(group, _)| group));
        let mut names = Vec::from_iter(to_read.cloned());
        names.sort_unstable();
        names.dedup();
        names.retain(|name| !self.writer.is_locked(&table::key("group", name)));
        names
    }

    /// Confirms, acquires, releases or loses groups according to their rows.
    pub(super) fn handle_group_rows(&mut self, id: Id, names: &[Name], rows: &[Row]) {
        let mut to_acquire = Vec::new();
        let mut to_release = Vec::new();
        for name in names {
            let key = table::key("group", name);
            if self.writer.is_locked(&key) {
                continue;
            }
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map_or(table::Version(0), |row| row.version);
            // A read that began before the group was acquired is out of date.
            let newer = |held: &Holding| held.epoch.row > version.0;
            if self.held.get(name).is_some_and(newer) {
                continue;
            }
            let Some(state) = self.row_state(&key, row) else {
                continue;
            };
            self.compare_held_row(id, name, version, &state);
            self.recheck.remove(name);
            let authority = self.held.get(name).map(|held| held.authority);
            let planned = self.plan.owner(name) == Some(&self.identity.entry);
            match (state, authority) {
                (_, Some(Authority::Row)) => {}
                (RowState::Foreign, Some(Authority::HandedOver)) => {
                    to_acquire.push((name.clone(), version, false))
                }
                (RowState::Foreign, Some(Authority::Caretaker)) => {
                    self.lose_group(name, "its row names a live owner")
                }
                (RowState::Foreign, None) => {}
                (RowState::Own, None) if self.stopping.is_some() || self.is_workerless(name) => {
                    to_release.push((name, version));
                }
                (RowState::Free | RowState::Absent, None) if !planned => {}
                (state, _) => {
                    let fresh = matches!(state, RowState::Absent);
                    to_acquire.push((name.clone(), version, fresh));
                }
            }
        }
        for batch in to_acquire.chunks(MAX_GROUPS_PER_COMMIT) {
            self.acquire_groups(batch);
        }
        self.release_groups(&to_release);
    }

    /// The state of a group by its row, or `None` if the row cannot be decoded. Such a row is not
    /// changed.
    pub(super) fn row_state(&mut self, key: &str, row: Option<&Row>) -> Option<RowState> {
        let Some(row) = row else {
            return Some(RowState::Absent);
        };
        let group = record::decode::<record::Group>(&row.value);
        self.record_decode_result(key, group.as_ref().err().cloned());
        let Some((owner, incarnation)) = group.ok()?.owner else {
            return Some(RowState::Free);
        };
        if owner == self.identity.entry && incarnation == self.identity.incarnation {
            return Some(RowState::Own);
        }
        if self.roster.is_live(self.now, &owner, incarnation) {
            return Some(RowState::Foreign);
        }
        // An owner that this entry has no evidence of may be live, until this entry has run long
        // enough to receive a digest from it.
        let observed_long_enough =
            self.now.since(self.started.unwrap_or(self.now)) >= SUSPECT_AFTER;
        let had_evidence = owner == self.identity.entry || self.roster.was_live(&owner);
        Some(if observed_long_enough || had_evidence {
            RowState::Free
        } else {
            RowState::Foreign
        })
    }

    /// Confirms a held group by its row, or loses it if the row has changed.
    fn compare_held_row(&mut self, id: Id, name: &Name, version: table::Version, state: &RowState) {
        let first_valid_id = self.first_valid_id;
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        let same_version = held.epoch.row == version.0;
        match held.authority {
            Authority::Caretaker => {}
            Authority::Row if same_version && matches!(state, RowState::Own) => {
                held.confirmed |= id >= first_valid_id;
                self.targets_changed = true;
            }
            Authority::HandedOver if same_version => {
                held.confirmed |= id >= first_valid_id;
                self.targets_changed = true;
            }
            Authority::Row | Authority::HandedOver => self.lose_group(name, "its row has changed"),
        }
    }
}
