//! Work of groups that have no workers any more.
//!
//! A group whose rack is lost vanishes from the platform's list, so no entry is planned to own
//! it. One entry looks for such groups in the table, and whoever owns one moves its work away.

use super::Machine;
use super::own::Standing;
use super::store::PAGE;
use super::store::Reading;
use crate::clock::Ms;
use crate::group;
use crate::group::Right;
use crate::name::Name;
use crate::place;
use crate::step::Step;
use crate::table::Operation;
use crate::table::Row;
use crate::table::Version;

const LOOK: Ms = Ms(30_000);
/// A group without workers and work is released after this time.
const KEEP: Ms = Ms(60_000);
/// Decides by rendezvous which entry looks.
const DUTY: &str = "stranded-groups";

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Whether no worker of this group is listed.
    pub(super) fn deserted(&self, group: &str) -> bool {
        self.fleet.listed && !self.fleet.groups.contains_key(group)
    }

    pub(super) fn look_for_stranded(&mut self) {
        if self.now < self.due.stranded || !self.fleet.listed || !self.store_up() {
            return;
        }
        self.due.stranded = self.now + LOOK;
        self.clear_deserted();
        let owners = self.roster.owners(self.now);
        if group::planned(DUTY, &owners) == Some(&self.identity.entry) {
            self.scan(Reading::Stranded, "group/", "");
        }
    }

    /// Moves the work of held groups without workers, and releases those without work.
    fn clear_deserted(&mut self) {
        let names = Vec::from_iter(self.held.keys().cloned());
        for name in names {
            let Some(held) = self.held.get(&name) else {
                continue;
            };
            let known = held.right == Right::Row && held.scanned && held.vanished(self.now);
            if !known || !self.deserted(&name) {
                continue;
            }
            let old = self.now.since(held.taken) >= KEEP;
            let pieces = self.pieces.iter();
            let pieces = pieces.filter(|(_, stored)| stored.group == name);
            let pieces = Vec::from_iter(pieces.map(|(piece, _)| piece.clone()));
            if pieces.is_empty() && old {
                self.lose(&name, "it has no workers and no work");
            }
            for piece in pieces {
                self.offer(piece);
            }
        }
    }

    pub(super) fn stranded_read(&mut self, rows: &[Row]) {
        for row in rows {
            let name = row.key.strip_prefix("group/");
            let Some(name) = name.and_then(|name| Name::try_from(name).ok()) else {
                continue;
            };
            if !self.deserted(&name) || self.held.contains_key(&name) {
                continue;
            }
            if let Some(Standing::Free | Standing::Ours) = self.standing(&row.key, Some(row)) {
                let operation = Operation::Scan {
                    prefix: format!("job/{name}/"),
                    after: String::new(),
                    limit: 1,
                };
                self.read(Reading::Deserted(name, row.version), operation);
            }
        }
        if let (Some(last), true) = (rows.last(), rows.len() == PAGE as usize) {
            self.scan(Reading::Stranded, "group/", &last.key);
        }
    }

    /// Takes a group without workers if it has work left.
    pub(super) fn deserted_read(&mut self, name: Name, version: Version, rows: &[Row]) {
        let locked = self.writer.locked(&crate::table::key("group", &name));
        if !rows.is_empty() && !locked && !self.held.contains_key(&name) && self.stopping.is_none()
        {
            self.take_groups(&[(name, version, false)]);
        }
    }
}
