//! Moves the work of groups that have no workers any more.
//!
//! A group whose rack is lost disappears from the platform's list, so no entry is planned to own
//! it. One entry scans the table for such groups and acquires those with work left. The owner of
//! such a group moves its work to other groups.

use super::Machine;
use super::ownership::RowState;
use super::store::PAGE_ROWS;
use super::store::Reading;
use crate::clock::Ms;
use crate::group;
use crate::group::Authority;
use crate::name::Name;
use crate::place;
use crate::step::Step;
use crate::table::Operation;
use crate::table::Row;
use crate::table::Version;

/// The interval between scans for groups without workers.
const SCAN_INTERVAL: Ms = Ms(30_000);
/// An owned group without workers and work is released after this time.
const EMPTY_RETENTION: Ms = Ms(60_000);
/// The key by which rendezvous hashing selects the entry that scans.
const SCANNER_KEY: &str = "stranded-groups";

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Whether no worker of this group is listed.
    pub(super) fn is_workerless(&self, group: &str) -> bool {
        self.fleet.is_received() && !self.fleet.groups.contains_key(group)
    }

    pub(super) fn scan_for_stranded(&mut self) {
        if self.now < self.due.stranded || !self.fleet.is_received() || !self.is_table_up() {
            return;
        }
        self.due.stranded = self.now + SCAN_INTERVAL;
        self.evacuate_workerless();
        let owners = self.roster.owners(self.now);
        if group::planned_owner(SCANNER_KEY, &owners) == Some(&self.identity.entry) {
            self.start_scan(Reading::Stranded, "group/", "");
        }
    }

    /// Moves the work of held groups without workers, and releases those without work.
    fn evacuate_workerless(&mut self) {
        let names = Vec::from_iter(self.held.keys().cloned());
        for name in names {
            let Some(held) = self.held.get(&name) else {
                continue;
            };
            let may_evacuate = held.authority == Authority::Row
                && held.scanned
                && held.all_leases_expired(self.now);
            if !may_evacuate || !self.is_workerless(&name) {
                continue;
            }
            let retention_elapsed = self.now.since(held.acquired_at) >= EMPTY_RETENTION;
            let pieces = self.pieces.iter();
            let pieces = pieces.filter(|(_, stored)| stored.group == name);
            let pieces = Vec::from_iter(pieces.map(|(piece, _)| piece.clone()));
            if pieces.is_empty() && retention_elapsed {
                self.lose_group(&name, "it has no workers and no work");
            }
            for piece in pieces {
                self.queue_surplus(piece);
            }
        }
    }

    pub(super) fn handle_stranded_rows(&mut self, rows: &[Row]) {
        for row in rows {
            let name = row.key.strip_prefix("group/");
            let Some(name) = name.and_then(|name| Name::try_from(name).ok()) else {
                continue;
            };
            if !self.is_workerless(&name) || self.held.contains_key(&name) {
                continue;
            }
            if let Some(RowState::Free | RowState::Own) = self.row_state(&row.key, Some(row)) {
                let operation = Operation::Scan {
                    prefix: format!("job/{name}/"),
                    after: String::new(),
                    limit: 1,
                };
                self.start_read(Reading::WorkerlessWork(name, row.version), operation);
            }
        }
        if let (Some(last), true) = (rows.last(), rows.len() == PAGE_ROWS as usize) {
            self.start_scan(Reading::Stranded, "group/", &last.key);
        }
    }

    /// Acquires a group without workers if the read found work in it.
    pub(super) fn acquire_if_work_left(&mut self, name: Name, version: Version, rows: &[Row]) {
        let locked = self.writer.is_locked(&crate::table::key("group", &name));
        if !rows.is_empty() && !locked && !self.held.contains_key(&name) && self.stopping.is_none()
        {
            self.acquire_groups(&[(name, version, false)]);
        }
    }
}
