//! The groups that this entry holds: how it begins to command one, and how it stops.

use super::Machine;
use super::ownership::ROWS_RETRY_DELAY;
use crate::clock::Ms;
use crate::group;
use crate::group::Authority;
use crate::group::Holding;
use crate::member::SUSPECT_AFTER;
use crate::name::Name;
use crate::place;
use crate::step::Step;
use crate::timeline::Kind;
use crate::worker::Epoch;

/// The table must have been down for this long before an entry acts as caretaker.
const MIN_OUTAGE: Ms = Ms(1_000);

/// A list that is received at least this long after a takeover was read after it.
const MAX_LIST_READ: Ms = Ms(2_000);

/// Upper bound of the time by which the lists of two entries differ whose reads of it succeed. It
/// applies to workers that nothing is known of; a longer one would delay each restarted entry.
const USUAL_LIST_LAG: Ms = Ms(5_000);

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Begins to command a group. One that was handed over directly continues under the epoch of
    /// its row.
    pub(super) fn begin_holding(
        &mut self,
        name: &Name,
        epoch: Epoch,
        authority: Authority,
        fresh: bool,
    ) {
        self.epochs.insert(name.clone(), epoch);
        let before = self.held.remove(name);
        if let Some(mut held) = before.filter(|held| held.authority == Authority::HandedOver) {
            held.confirm_by_row(self.now, epoch);
            self.held.insert(name.clone(), held);
        } else {
            let held = Holding::new(self.now, epoch, authority, fresh);
            self.held.insert(name.clone(), held);
            self.drive(place::Event::Caretaker(
                name.clone(),
                authority == Authority::Caretaker,
            ));
            if authority != Authority::Caretaker {
                self.drive(place::Event::Frozen(name.clone(), !fresh));
            }
        }
        let cause = match authority {
            Authority::Row => "its row names this entry",
            Authority::HandedOver => "the former owner handed it over",
            Authority::Caretaker => "the table is down and no live entry claims it",
        };
        self.record_event(Kind::GroupTaken, name, Some(epoch), cause);
        self.sync_group(name);
    }

    /// Unfreezes old pieces of groups once no worker can run their tasks unreported. An entry does
    /// not know which workers disappeared from the list before it first received the list, so it
    /// waits until leases on those have expired.
    pub(super) fn unfreeze_groups(&mut self) {
        let Some(first_received) = self.fleet.first_received else {
            return;
        };
        let mut to_unfreeze = Vec::new();
        for (name, held) in &mut self.held {
            let renewed_at = group::last_renewal(first_received, held.acquired_at, USUAL_LIST_LAG);
            let list_complete = group::leases_expired(self.now, renewed_at)
                && is_listed_since(self.now, self.fleet.last_received, held.acquired_at);
            if held.frozen && list_complete && !held.is_unfreeze_blocked(self.now) {
                held.frozen = false;
                to_unfreeze.push(name.clone());
            }
        }
        for name in to_unfreeze {
            self.drive(place::Event::Frozen(name, false));
        }
    }

    /// During an outage of the table, becomes caretaker of groups that no live entry claims.
    pub(super) fn act_as_caretaker(&mut self, names: &[Name]) {
        let started = self.started.unwrap_or(self.now);
        let outage = self
            .outage_duration()
            .is_some_and(|down| down >= MIN_OUTAGE);
        if !outage
            || self.now.since(started) < SUSPECT_AFTER
            || self.now.since(self.resumed_at) < SUSPECT_AFTER
        {
            return;
        }
        for name in names {
            let planned = self.plan.owner(name) == Some(&self.identity.entry);
            let claims =
                |peer: &crate::peer::Member| peer.room.iter().any(|(group, _)| group == name);
            let claimed = self.roster.peers(self.now).any(claims);
            if planned && !claimed && !self.held.contains_key(name) {
                // The workers refuse this epoch, and the refusal holds the row version to continue
                // from.
                let epoch = Epoch { row: 0, step: 1 };
                self.begin_holding(name, epoch, Authority::Caretaker, false);
            }
        }
    }

    /// Stops commanding a group. Its row is read again soon, because it may still name this entry.
    pub(super) fn lose_group(&mut self, name: &Name, cause: &str) {
        if self.drop_group(name, cause).is_some() {
            self.recheck
                .insert(name.clone(), self.now + ROWS_RETRY_DELAY);
            self.due.rows = self.due.rows.min(self.now + ROWS_RETRY_DELAY);
        }
    }

    /// Removes a group and its pieces from memory. Returns `None` if it was not held.
    pub(super) fn drop_group(&mut self, name: &Name, cause: &str) -> Option<Holding> {
        let held = self.held.remove(name)?;
        self.record_event(Kind::GroupReleased, name, Some(held.epoch), cause);
        self.pieces.retain(|_, stored| stored.group != *name);
        self.targets_changed = true;
        self.drive(place::Event::GroupLost(name.clone()));
        Some(held)
    }
}

/// Whether the list was read after a takeover, so that it has all workers on which the former owner
/// may have started tasks. Without a list, the leases on unknown workers have to expire.
fn is_listed_since(now: Ms, last_received: Option<Ms>, acquired_at: Ms) -> bool {
    last_received >= Some(acquired_at + MAX_LIST_READ) || group::leases_expired(now, acquired_at)
}
