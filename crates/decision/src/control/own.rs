//! Taking, keeping and losing groups through the table.

use std::collections::BTreeMap;

use super::Id;
use super::Machine;
use super::store::Purpose;
use super::store::Reading;
use crate::clock::Ms;
use crate::commit::Settled;
use crate::commit::Transaction;
use crate::group;
use crate::group::Held;
use crate::group::Right;
use crate::member::SUSPECT_AFTER;
use crate::name::Name;
use crate::place;
use crate::record;
use crate::step::Step;
use crate::table;
use crate::table::Operation;
use crate::table::Row;
use crate::timeline::Kind;
use crate::worker::Epoch;

/// Entries that start together hear of each other before any takes all groups.
const JOIN: Ms = Ms(600);
const ROWS: Ms = Ms(1_000);
const ROWS_SOON: Ms = Ms(200);
// A read of more rows is split over ticks.
const ROWS_AT_ONCE: usize = 200;
// One conflict fails the whole transaction, so few groups are taken together.
const TAKEN_AT_ONCE: usize = 16;
/// The table must have failed for this long before an entry acts as caretaker.
const OUTAGE: Ms = Ms(1_000);

/// The planned owner of each group.
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

/// What a group's row means for this entry.
pub(super) enum Standing {
    /// Nobody owned the group before.
    Fresh,
    /// Its owner released it or is dead.
    Free,
    /// The row names this process.
    Ours,
    /// Its owner is live, or might be.
    Theirs,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Plans, and reads the rows of groups that this entry may have to take or has in doubt.
    pub(super) fn own(&mut self) {
        let started = self.started.unwrap_or(self.now);
        if self.now.since(started) < JOIN || !self.fleet.listed {
            return;
        }
        self.plan_groups();
        self.thaw();
        if self.now < self.due.rows {
            return;
        }
        self.due.rows = self.now + ROWS;
        let wanted = self.wanted();
        if !self.store_up() {
            self.care(&wanted);
            return;
        }
        for names in wanted.chunks(ROWS_AT_ONCE) {
            let keys = names.iter().map(|name| table::key("group", name));
            let operation = Operation::Read(keys.collect());
            self.read(Reading::Groups(names.to_vec()), operation);
        }
    }

    fn plan_groups(&mut self) {
        let owners = self.roster.owners(self.now);
        if owners == self.plan.owners && self.fleet.edition == self.plan.edition {
            return;
        }
        let planned = |group: &Name| Some((group.clone(), group::planned(group, &owners)?.clone()));
        self.plan.groups = self.fleet.groups.keys().filter_map(planned).collect();
        self.plan.owners = owners;
        self.plan.edition = self.fleet.edition;
        self.due.rows = self.now;
    }

    fn wanted(&self) -> Vec<Name> {
        let entry = &self.identity.entry;
        let planned = self.plan.groups.iter();
        let planned = planned.filter(|(group, owner)| {
            *owner == entry && !self.held.contains_key(*group) && self.stopping.is_none()
        });
        let doubtful = self.held.iter();
        let doubtful = doubtful.filter(|(_, held)| !held.proven || held.right != Right::Row);
        let again = self.recheck.iter();
        let again = again.filter(|(_, due)| self.now >= **due);
        let all = planned
            .map(|(group, _)| group)
            .chain(doubtful.map(|(group, _)| group))
            .chain(again.map(|(group, _)| group));
        let mut names = Vec::from_iter(all.cloned());
        names.sort_unstable();
        names.dedup();
        names.retain(|name| !self.writer.locked(&table::key("group", name)));
        names
    }

    pub(super) fn read_groups(&mut self, id: Id, names: &[Name], rows: &[Row]) {
        let mut take = Vec::new();
        let mut release = Vec::new();
        for name in names {
            let key = table::key("group", name);
            if self.writer.locked(&key) {
                continue;
            }
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map_or(table::Version(0), |row| row.version);
            // A read that began before the group was taken is out of date.
            let newer = |held: &Held| held.epoch.row > version.0;
            if self.held.get(name).is_some_and(newer) {
                continue;
            }
            let Some(standing) = self.standing(&key, row) else {
                continue;
            };
            self.compare(id, name, version, &standing);
            self.recheck.remove(name);
            let right = self.held.get(name).map(|held| held.right);
            let planned = self.plan.owner(name) == Some(&self.identity.entry);
            match (standing, right) {
                (_, Some(Right::Row)) => {}
                (Standing::Theirs, Some(Right::Given)) => take.push((name.clone(), version, false)),
                (Standing::Theirs, Some(Right::Caretaker)) => self.lose(name, "its owner is live"),
                (Standing::Theirs, None) => {}
                (Standing::Ours, None) if self.stopping.is_some() || self.deserted(name) => {
                    release.push((name, version));
                }
                (Standing::Free | Standing::Fresh, None) if !planned => {}
                (standing, _) => {
                    let fresh = matches!(standing, Standing::Fresh);
                    take.push((name.clone(), version, fresh));
                }
            }
        }
        for some in take.chunks(TAKEN_AT_ONCE) {
            self.take_groups(some);
        }
        self.release(&release);
    }

    /// What the row says, or `None` when it cannot be decoded; such a row is left alone.
    pub(super) fn standing(&mut self, key: &str, row: Option<&Row>) -> Option<Standing> {
        let Some(row) = row else {
            return Some(Standing::Fresh);
        };
        let group = record::decode::<record::Group>(&row.value);
        self.mark(key, group.as_ref().err().cloned());
        let Some((owner, incarnation)) = group.ok()?.owner else {
            return Some(Standing::Free);
        };
        if owner == self.identity.entry && incarnation == self.identity.incarnation {
            return Some(Standing::Ours);
        }
        if self.roster.is_live(self.now, &owner, incarnation) {
            return Some(Standing::Theirs);
        }
        // An owner that this entry never heard of may be live until it was listened for.
        let listened = self.now.since(self.started.unwrap_or(self.now)) >= SUSPECT_AFTER;
        let heard = owner == self.identity.entry || self.roster.was_live(&owner);
        Some(if listened || heard {
            Standing::Free
        } else {
            Standing::Theirs
        })
    }

    /// Compares the row with what this entry believes to hold.
    fn compare(&mut self, id: Id, name: &Name, version: table::Version, standing: &Standing) {
        let floor = self.floor;
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        let same = held.epoch.row == version.0;
        match held.right {
            Right::Caretaker => {}
            Right::Row if same && matches!(standing, Standing::Ours) => {
                held.proven |= id >= floor;
                self.retarget = true;
            }
            Right::Given if same => {
                held.proven |= id >= floor;
                self.retarget = true;
            }
            Right::Row | Right::Given => self.lose(name, "its row has changed"),
        }
    }

    pub(super) fn take_groups(&mut self, groups: &[(Name, table::Version, bool)]) {
        let owner = (self.identity.entry.clone(), self.identity.incarnation);
        let value = record::encode(&record::Group { owner: Some(owner) });
        let mut transaction = Transaction::default();
        for (name, version, _) in groups {
            transaction.replace(table::key("group", name), *version, Some(value.clone()));
        }
        let names = groups.iter().map(|(name, _, fresh)| (name.clone(), *fresh));
        self.writer.push(Purpose::Own(names.collect()), transaction);
    }

    pub(super) fn taken(&mut self, groups: &[(Name, bool)], settled: &Settled) {
        match settled {
            Settled::Done(versions) => {
                for ((name, fresh), version) in groups.iter().zip(versions) {
                    let epoch = Epoch {
                        row: version.0,
                        step: 0,
                    };
                    self.hold(name, epoch, Right::Row, *fresh);
                }
            }
            Settled::Conflict(condition) => {
                // A group handed over directly is lost if its row was written by another.
                for (name, _) in groups {
                    if table::key("group", name) == condition.key && self.held.contains_key(name) {
                        self.lose(name, "another entry took it");
                    }
                }
                self.due.rows = self.due.rows.min(self.now + ROWS_SOON);
            }
            Settled::Unavailable => self.due.rows = self.due.rows.min(self.now + ROWS_SOON),
        }
    }

    /// Begins to command a group, or continues under a new epoch.
    pub(super) fn hold(&mut self, name: &Name, epoch: Epoch, right: Right, fresh: bool) {
        self.epochs.insert(name.clone(), epoch);
        let before = self.held.remove(name);
        if let Some(mut held) = before.filter(|held| held.right == Right::Given) {
            held.settle(self.now, epoch);
            self.held.insert(name.clone(), held);
        } else {
            let held = Held::new(self.now, epoch, right, fresh);
            self.held.insert(name.clone(), held);
            self.drive(place::Event::Caretaker(
                name.clone(),
                right == Right::Caretaker,
            ));
            if right != Right::Caretaker {
                self.drive(place::Event::Frozen(name.clone(), !fresh));
            }
        }
        let cause = match right {
            Right::Row => "its row names this entry",
            Right::Given => "its owner handed it over",
            Right::Caretaker => "its owner is silent and the table is down",
        };
        self.note(Kind::GroupTaken, name, Some(epoch), cause);
        self.sync_group(name);
    }

    /// Old pieces stay frozen while a former owner may still reach a worker unseen. An entry that
    /// started recently does not know which workers vanished from the list before.
    fn thaw(&mut self) {
        let started = self.started.unwrap_or(self.now);
        let lease = group::LEASE + group::CLOCK_BOUND;
        let informed = self.now.since(started) > lease;
        let mut thawed = Vec::new();
        for (name, held) in &mut self.held {
            if held.frozen && informed && !held.unseen(self.now) {
                held.frozen = false;
                thawed.push(name.clone());
            }
        }
        for name in thawed {
            self.drive(place::Event::Frozen(name, false));
        }
    }

    /// Gives up a group in memory. Its row is read again, because it may still name this entry.
    pub(super) fn lose(&mut self, name: &Name, cause: &str) {
        if self.drop_group(name, cause).is_some() {
            self.recheck.insert(name.clone(), self.now + ROWS_SOON);
            self.due.rows = self.due.rows.min(self.now + ROWS_SOON);
        }
    }

    pub(super) fn drop_group(&mut self, name: &Name, cause: &str) -> Option<Held> {
        let held = self.held.remove(name)?;
        self.note(Kind::GroupReleased, name, Some(held.epoch), cause);
        self.pieces.retain(|_, stored| stored.group != *name);
        self.retarget = true;
        self.drive(place::Event::GroupLost(name.clone()));
        Some(held)
    }

    fn release(&mut self, groups: &[(&Name, table::Version)]) {
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

    pub(super) fn released(&mut self, groups: &[Name], settled: &Settled) {
        if !matches!(settled, Settled::Done(_)) {
            for name in groups {
                self.recheck.insert(name.clone(), self.now + ROWS_SOON);
            }
        }
    }

    /// During an outage of the table, commands the workers of groups whose owner is silent.
    fn care(&mut self, wanted: &[Name]) {
        let started = self.started.unwrap_or(self.now);
        let outage = self.store_down().is_some_and(|down| down >= OUTAGE);
        if !outage
            || self.now.since(started) < SUSPECT_AFTER
            || self.now.since(self.woke) < SUSPECT_AFTER
        {
            return;
        }
        for name in wanted {
            let planned = self.plan.owner(name) == Some(&self.identity.entry);
            let claims = |peer: &crate::peer::Member| peer.room.iter().any(|(one, _)| one == name);
            let claimed = self.roster.peers(self.now).any(claims);
            if planned && !claimed && !self.held.contains_key(name) {
                // The workers tell the row version by refusing this epoch.
                let epoch = Epoch { row: 0, step: 1 };
                self.hold(name, epoch, Right::Caretaker, false);
            }
        }
    }
}
