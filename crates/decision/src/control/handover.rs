//! Direct handover of groups between entries, for rebalancing and for a planned stop.

use std::collections::BTreeMap;

use super::Action;
use super::Id;
use super::Machine;
use super::store::Purpose;
use crate::clock::Ms;
use crate::commit::Transaction;
use crate::group;
use crate::group::Authority;
use crate::group::Holding;
use crate::name::Name;
use crate::peer::Group;
use crate::peer::Message;
use crate::place;
use crate::step::Step;
use crate::table;
use crate::timeline::Kind;
use crate::worker::Epoch;

/// The interval between checks for groups whose planned owner is another entry.
const REBALANCE_INTERVAL: Ms = Ms(1_000);
// Rebalancing moves at most one part in this many of the groups held to each peer per second, so
// that the arrival of a new member disturbs few groups at once.
const ROUNDS_TO_MOVE_ALL: usize = 8;
/// A handover that is not answered is sent up to this many times.
const MAX_SENDS: u32 = 3;
/// The receiver must have written the group's row within this time. Afterwards the row is read, and
/// a group that still names this entry is released or acquired again.
const ROW_WRITE_TIMEOUT: Ms = Ms(5_000);
/// How long a stopping entry tries to hand its groups over before it stops anyway.
const STOP_TIMEOUT: Ms = Ms(8_000);

/// Groups that were handed over to a peer, which has not confirmed them yet.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    groups: Vec<Group>,
    id: Id,
    sends: u32,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Hands over groups whose planned owner is another live entry. When this entry stops, these
    /// are all groups.
    pub(super) fn rebalance(&mut self) {
        if self.now < self.due.rebalance {
            return;
        }
        let stopping = self.stopping.is_some();
        self.due.rebalance = self.now
            + if stopping {
                Ms::ZERO
            } else {
                REBALANCE_INTERVAL
            };
        let owners = self.roster.owners(self.now);
        let mut moves = BTreeMap::<Name, Vec<Name>>::new();
        for (name, held) in &self.held {
            let to = group::planned_owner(name, &owners);
            let Some(to) = to.filter(|to| **to != self.identity.entry) else {
                continue;
            };
            if self.can_move(name, held) && !self.has_unconfirmed_message(to) {
                moves.entry(to.clone()).or_default().push(name.clone());
            }
        }
        let max_moves = self.held.len().div_ceil(ROUNDS_TO_MOVE_ALL).max(1);
        for (to, mut groups) in moves {
            if !stopping {
                groups.truncate(max_moves);
            }
            self.hand_over(to, &groups);
        }
    }

    /// Whether a group may be handed over now. A group that was handed over to this entry must get
    /// its row first, unless the table is down while this entry stops. A group with frozen pieces
    /// moves only when this entry stops, because the next owner would have to wait for the same
    /// workers again. Unresolved writes delay a move; a stop waits for them half its time limit.
    fn can_move(&self, name: &Name, held: &Holding) -> bool {
        match held.authority {
            Authority::Row => {
                let prefix = format!("job/{name}/");
                let waited_half = self
                    .stopping
                    .is_some_and(|at| self.now.since(at) > Ms(STOP_TIMEOUT.0 / 2));
                let is_writing = self.writer.is_any_locked(&prefix);
                (!is_writing || waited_half) && (!held.frozen || self.stopping.is_some())
            }
            Authority::HandedOver => !self.is_table_up() && self.stopping.is_some(),
            Authority::Caretaker => false,
        }
    }

    // Answers do not identify the message that they answer, so at most one handover or notice to a
    // peer is unconfirmed at a time.
    fn has_unconfirmed_message(&self, peer: &Name) -> bool {
        self.handovers.contains_key(peer) || self.notices.values().any(|receiver| receiver == peer)
    }

    fn hand_over(&mut self, to: Name, names: &[Name]) {
        let Some(address) = self.roster.get(&to).map(|peer| peer.address) else {
            return;
        };
        let mut groups = Vec::new();
        for name in names {
            if let Some(held) = self.drop_group(name, "handed over to another entry") {
                let epoch = Epoch {
                    row: held.epoch.row,
                    step: held.epoch.step + 1,
                };
                groups.push(Group {
                    name: name.clone(),
                    epoch,
                });
            }
        }
        let id = self.send(address, Message::HandOver(groups.clone()));
        let handover = Handover {
            groups,
            id,
            sends: 1,
        };
        self.handovers.insert(to, handover);
    }

    /// Accepts groups that a peer hands over. A repeated message has no effect.
    pub(super) fn accept_handover(&mut self, groups: &[Group]) {
        for group in groups {
            let held = self.held.get(&group.name);
            let is_held = held.is_some_and(|held| held.epoch >= group.epoch);
            let seen = self.epochs.get(&group.name);
            if is_held || seen.is_some_and(|seen| *seen >= group.epoch) {
                continue;
            }
            if held.is_some() {
                self.drop_group(&group.name, "a peer handed it over under a higher epoch");
            }
            self.begin_holding(&group.name, group.epoch, Authority::HandedOver, false);
        }
        self.due.rows = self.now;
    }

    /// Handles the confirmation of the handover or notice that was sent to a peer.
    pub(super) fn confirm_delivery(&mut self, from: &Name) {
        if let Some(handover) = self.handovers.remove(from) {
            for group in handover.groups {
                self.recheck
                    .insert(group.name, self.now + ROW_WRITE_TIMEOUT);
            }
            return;
        }
        let notice = self.notices.iter().find(|(_, peer)| *peer == from);
        if let Some(id) = notice.map(|(id, _)| *id) {
            self.notices.remove(&id);
        }
    }

    /// Handles a message that was not answered. A handover is sent again; after [`MAX_SENDS`] the
    /// rows of its groups are read to find out who owns them.
    pub(super) fn handle_unanswered(&mut self, id: Id) {
        self.notices.remove(&id);
        self.retry_drain_push(id);
        let mut handovers = self.handovers.iter();
        let unanswered = handovers.find(|(_, handover)| handover.id == id);
        let Some(to) = unanswered.map(|(to, _)| to.clone()) else {
            return;
        };
        let Some(mut handover) = self.handovers.remove(&to) else {
            return;
        };
        let address = self.roster.get(&to).map(|peer| peer.address);
        if let (Some(address), true) = (address, handover.sends < MAX_SENDS) {
            handover.id = self.send(address, Message::HandOver(handover.groups.clone()));
            handover.sends += 1;
            self.handovers.insert(to, handover);
            return;
        }
        for group in handover.groups {
            self.recheck.insert(group.name, self.now);
        }
        self.due.rows = self.now;
    }

    /// Notifies the owner of a group that work was stored for it.
    pub(super) fn notify_owner(&mut self, group: &Name, job: &Name) {
        if let Some(held) = self.held.get_mut(group) {
            held.next_scan = self.now;
            return;
        }
        let owns = |peer: &&crate::peer::Member| peer.room.iter().any(|(name, _)| name == group);
        let owner = self.roster.peers(self.now).find(owns);
        let Some((entry, address)) = owner.map(|peer| (peer.entry.clone(), peer.address)) else {
            return;
        };
        // The owner also scans its rows periodically, so a missing notice only delays the work.
        if self.handovers.contains_key(&entry) {
            return;
        }
        let (group, job) = (group.clone(), job.clone());
        let id = self.send(address, Message::Job { group, job });
        self.notices.insert(id, entry);
    }

    pub(super) fn begin_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(self.now);
        self.roster.mark_stopping();
        self.due.exchange = self.now;
        self.due.rebalance = self.now;
        self.targets_changed = true;
        let entry = self.identity.entry.clone();
        self.record_event(
            Kind::EntryStopping,
            &entry,
            None,
            "the entry was asked to stop",
        );
        self.send_digests();
        self.rebalance();
    }

    /// Deletes this entry's row as the last step of a stop, so that an entry that starts now does
    /// not count on this one. Returns whether the deletion was queued.
    fn delete_own_row(&mut self) -> bool {
        if self.row_deleted || !self.is_table_up() {
            return false;
        }
        self.row_deleted = true;
        let mut transaction = Transaction::default();
        transaction.writes.push(table::Write {
            key: table::key("member", &self.identity.entry),
            value: None,
        });
        self.writer.push(Purpose::Leave, transaction);
        true
    }

    /// Finishes the stop once this entry owns nothing and waits for nothing, or after
    /// [`STOP_TIMEOUT`]. Groups that no entry can receive are released through the table.
    pub(super) fn finish_stop(&mut self) {
        let Some(since) = self.stopping else {
            return;
        };
        if self.roster.owners(self.now).is_empty() && self.is_table_up() {
            let names = Vec::from_iter(self.held.keys().cloned());
            for name in names {
                self.lose_group(&name, "no entry is left to receive it");
            }
        }
        let owns = !self.held.is_empty() || !self.handovers.is_empty();
        let writes = !self.writer.is_idle() || !self.calls.is_empty();
        let recheck_is_due_soon = self
            .recheck
            .values()
            .any(|due| *due <= self.now + Ms(1_000));
        let is_waiting = owns || writes || recheck_is_due_soon;
        let timed_out = self.now.since(since) >= STOP_TIMEOUT;
        if (is_waiting || self.delete_own_row()) && !timed_out {
            return;
        }
        self.stopped = true;
        self.targets = Some(Vec::new());
        self.actions.push(Action::Stopped);
    }
}
