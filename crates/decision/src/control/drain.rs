//! Workers that operators take out of service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Id;
use super::Machine;
use super::exchange::Fleet;
use super::store::PAGE_ROWS;
use super::store::Reading;
use crate::clock::Ms;
use crate::name::Name;
use crate::peer::Message;
use crate::place;
use crate::step::Step;
use crate::table::Row;
use crate::timeline::Kind;

/// An unanswered push is sent up to this many times.
const MAX_SENDS: u32 = 5;
/// After this time a push has been answered or has failed for good.
const PUSH_TIMEOUT: Ms = Ms(60_000);
/// A read of the table that began before a push arrived ends within this time.
const MAX_READ_TIME: Ms = Ms(5_000);

/// A drain, or the end of one, that was sent to a peer.
#[derive(Clone, Debug)]
struct Push {
    peer: Name,
    vm: Name,
    leave: bool,
    sends: u32,
    since: Ms,
}

/// Recent drains that a read of the table may not return yet, and pushes of drains to peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Drains {
    /// Whether each worker was drained or returned to service last, and when.
    recent: BTreeMap<Name, (bool, Ms)>,
    pushes: BTreeMap<Id, Push>,
}

impl Drains {
    fn record(&mut self, now: Ms, vm: Name, leave: bool) {
        self.recent.insert(vm, (leave, now));
    }

    /// Applies recent drains to the set that was read from the table.
    fn apply_recent(&mut self, now: Ms, drained: &mut BTreeSet<Name>) {
        self.recent
            .retain(|_, (_, at)| now.since(*at) < MAX_READ_TIME);
        for (vm, (leave, _)) in &self.recent {
            set_contained(drained, vm, *leave);
        }
    }
}

fn set_contained(drained: &mut BTreeSet<Name>, vm: &Name, leave: bool) -> bool {
    if leave {
        drained.insert(vm.clone())
    } else {
        drained.remove(vm)
    }
}

impl Fleet {
    fn set_drained(&mut self, vm: &Name, leave: bool) -> bool {
        set_contained(&mut self.drained, vm, leave)
    }
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Applies an accepted drain here and pushes it to all live peers, because the table may fail
    /// before they read it.
    pub(super) fn distribute_drain(&mut self, vm: &Name, leave: bool) {
        self.apply_drain(vm, leave);
        // Answers do not identify the push that they answer, so pushes are removed by age.
        let now = self.now;
        self.drains
            .pushes
            .retain(|_, push| now.since(push.since) < PUSH_TIMEOUT);
        let peers = Vec::from_iter(self.roster.peers(self.now).map(|peer| peer.entry.clone()));
        for peer in peers {
            self.push_drain(Push {
                peer,
                vm: vm.clone(),
                leave,
                sends: 1,
                since: self.now,
            });
        }
    }

    /// Pushes all drains to a process that just joined, because it cannot read them while the table
    /// is down.
    pub(super) fn push_drains(&mut self, peer: &Name) {
        for vm in self.fleet.drained.clone() {
            self.push_drain(Push {
                peer: peer.clone(),
                vm,
                leave: true,
                sends: 1,
                since: self.now,
            });
        }
    }

    /// Applies a drain, or the end of one.
    pub(super) fn apply_drain(&mut self, vm: &Name, leave: bool) {
        self.drains.record(self.now, vm.clone(), leave);
        if !self.fleet.set_drained(vm, leave) {
            return;
        }
        if leave {
            self.record_event(Kind::Leaving, vm, None, "drained by an operator");
        }
        self.sync_workers();
    }

    fn push_drain(&mut self, push: Push) {
        let Some(peer) = self.roster.get(&push.peer) else {
            return;
        };
        let (vm, leave) = (push.vm.clone(), push.leave);
        let id = self.send(peer.address, Message::Drain { vm, leave });
        self.drains.pushes.insert(id, push);
    }

    /// Sends an unanswered push again, unless a later call reversed the drain.
    pub(super) fn retry_drain_push(&mut self, id: Id) {
        let Some(mut push) = self.drains.pushes.remove(&id) else {
            return;
        };
        push.sends += 1;
        let current = self.fleet.drained.contains(&push.vm) == push.leave;
        if current && push.sends <= MAX_SENDS {
            self.push_drain(push);
        }
    }

    pub(super) fn handle_drain_rows(&mut self, mut before: Vec<Row>, rows: Vec<Row>) {
        let is_full_page = rows.len() == PAGE_ROWS as usize;
        before.extend(rows);
        if let (Some(last), true) = (before.last(), is_full_page) {
            let after = last.key.clone();
            self.start_scan(Reading::Drains(before), "drain/", &after);
            return;
        }
        let names = before
            .iter()
            .filter_map(|row| row.key.strip_prefix("drain/"));
        let mut drained = names.filter_map(|name| Name::try_from(name).ok()).collect();
        self.drains.apply_recent(self.now, &mut drained);
        if drained != self.fleet.drained {
            self.fleet.drained = drained;
            self.sync_workers();
        }
    }
}
