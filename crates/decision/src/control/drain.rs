//! Workers that operators take out of service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Id;
use super::Machine;
use super::exchange::Fleet;
use super::store::PAGE;
use super::store::Reading;
use crate::clock::Ms;
use crate::name::Name;
use crate::peer::Message;
use crate::place;
use crate::step::Step;
use crate::table::Row;
use crate::timeline::Kind;

/// A push that is not answered is sent again this often.
const TRIES: u32 = 5;
/// A push has been answered or given up after this time.
const PUSH_TIME: Ms = Ms(60_000);
/// A read of the table that began before a push ends within this time.
const READ_TIME: Ms = Ms(5_000);

/// A drain, or its end, on its way to a peer.
#[derive(Clone, Debug)]
struct Push {
    peer: Name,
    vm: Name,
    leave: bool,
    tries: u32,
    since: Ms,
}

/// Drains that this entry was told of, which a read of the table may not show yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Drains {
    told: BTreeMap<Name, (bool, Ms)>,
    pushes: BTreeMap<Id, Push>,
}

impl Drains {
    fn tell(&mut self, now: Ms, vm: Name, leave: bool) {
        self.told.insert(vm, (leave, now));
    }

    /// Brings what the table said in line with what was told since.
    fn correct(&mut self, now: Ms, drained: &mut BTreeSet<Name>) {
        self.told.retain(|_, (_, at)| now.since(*at) < READ_TIME);
        for (vm, (leave, _)) in &self.told {
            set(drained, vm, *leave);
        }
    }
}

fn set(drained: &mut BTreeSet<Name>, vm: &Name, leave: bool) -> bool {
    if leave {
        drained.insert(vm.clone())
    } else {
        drained.remove(vm)
    }
}

impl Fleet {
    fn drain(&mut self, vm: &Name, leave: bool) -> bool {
        set(&mut self.drained, vm, leave)
    }
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Puts an accepted drain into effect here and at all live peers, because the table may fail
    /// before they read it.
    pub(super) fn drain(&mut self, vm: &Name, leave: bool) {
        self.drained(vm, leave);
        // Answered pushes are not told apart from those on their way.
        let now = self.now;
        self.drains
            .pushes
            .retain(|_, push| now.since(push.since) < PUSH_TIME);
        let peers = Vec::from_iter(self.roster.peers(self.now).map(|peer| peer.entry.clone()));
        for peer in peers {
            self.push_drain(Push {
                peer,
                vm: vm.clone(),
                leave,
                tries: 1,
                since: self.now,
            });
        }
    }

    /// Tells a new process of all drains, because it cannot read them while the table is down.
    pub(super) fn tell_drains(&mut self, peer: &Name) {
        for vm in self.fleet.drained.clone() {
            self.push_drain(Push {
                peer: peer.clone(),
                vm,
                leave: true,
                tries: 1,
                since: self.now,
            });
        }
    }

    /// Takes in a drain, or its end.
    pub(super) fn drained(&mut self, vm: &Name, leave: bool) {
        self.drains.tell(self.now, vm.clone(), leave);
        if !self.fleet.drain(vm, leave) {
            return;
        }
        if leave {
            self.note(Kind::Leaving, vm, None, "drained by an operator");
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

    /// Sends a push again that was not answered, unless a later call reversed it.
    pub(super) fn drain_unheard(&mut self, id: Id) {
        let Some(mut push) = self.drains.pushes.remove(&id) else {
            return;
        };
        push.tries += 1;
        let current = self.fleet.drained.contains(&push.vm) == push.leave;
        if current && push.tries <= TRIES {
            self.push_drain(push);
        }
    }

    pub(super) fn read_drains(&mut self, mut before: Vec<Row>, rows: Vec<Row>) {
        let more = rows.len() == PAGE as usize;
        before.extend(rows);
        if let (Some(last), true) = (before.last(), more) {
            let after = last.key.clone();
            self.scan(Reading::Drains(before), "drain/", &after);
            return;
        }
        let names = before
            .iter()
            .filter_map(|row| row.key.strip_prefix("drain/"));
        let mut drained = names.filter_map(|name| Name::try_from(name).ok()).collect();
        self.drains.correct(self.now, &mut drained);
        if drained != self.fleet.drained {
            self.fleet.drained = drained;
            self.sync_workers();
        }
    }
}
