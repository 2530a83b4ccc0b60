//! Commits that acquire or release groups.

use super::Machine;
use super::ownership::ROWS_RETRY_DELAY;
use super::store::Purpose;
use crate::commit::Resolution;
use crate::commit::Transaction;
use crate::group::Authority;
use crate::name::Name;
use crate::place;
use crate::record;
use crate::step::Step;
use crate::table;
use crate::worker::Epoch;

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    pub(super) fn acquire_groups(&mut self, groups: &[(Name, table::Version, bool)]) {
        let owner = (self.identity.entry.clone(), self.identity.incarnation);
        let value = record::encode(&record::Group { owner: Some(owner) });
        let mut transaction = Transaction::default();
        for (name, version, _) in groups {
            transaction.replace(table::key("group", name), *version, Some(value.clone()));
        }
        let names = groups.iter().map(|(name, _, fresh)| (name.clone(), *fresh));
        self.writer
            .push(Purpose::Acquire(names.collect()), transaction);
    }

    pub(super) fn acquire_resolved(&mut self, groups: &[(Name, bool)], resolution: &Resolution) {
        match resolution {
            Resolution::Done(versions) => {
                for ((name, fresh), version) in groups.iter().zip(versions) {
                    if *version == table::Version(0) {
                        self.lose_acquired(name);
                        continue;
                    }
                    let epoch = Epoch {
                        row: version.0,
                        step: 0,
                    };
                    self.begin_holding(name, epoch, Authority::Row, *fresh);
                }
            }
            Resolution::Conflict(condition) => {
                // A group that was handed over directly is lost if another entry wrote its row.
                for (name, _) in groups {
                    if table::key("group", name) == condition.key && self.held.contains_key(name) {
                        self.lose_group(name, "another entry wrote its row");
                    }
                }
                self.due.rows = self.due.rows.min(self.now + ROWS_RETRY_DELAY);
            }
            Resolution::Unavailable => {
                self.due.rows = self.due.rows.min(self.now + ROWS_RETRY_DELAY)
            }
        }
    }

    /// Handles a group that this entry acquired and another entry acquired after it. The version of
    /// its row is then the epoch of that entry.
    fn lose_acquired(&mut self, name: &Name) {
        if self.held.contains_key(name) {
            self.lose_group(name, "another entry wrote its row");
        }
        self.due.rows = self.due.rows.min(self.now + ROWS_RETRY_DELAY);
    }

    pub(super) fn release_groups(&mut self, groups: &[(&Name, table::Version)]) {
        if groups.is_empty() {
            return;
        }
        let value = record::encode(&record::Group { owner: None });
        let mut transaction = Transaction::default();
        for (name, version) in groups {
            transaction.replace(table::key("group", name), *version, Some(value.clone()));
        }
        let names = groups.iter().map(|(name, _)| (*name).clone());
        self.writer
            .push(Purpose::Release(names.collect()), transaction);
    }

    pub(super) fn release_resolved(&mut self, groups: &[Name], resolution: &Resolution) {
        if !matches!(resolution, Resolution::Done(_)) {
            for name in groups {
                self.recheck
                    .insert(name.clone(), self.now + ROWS_RETRY_DELAY);
            }
        }
    }
}
