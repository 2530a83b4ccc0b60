//! Messages from peers, the platform's list of workers, and the exchange of digests and
//! configurations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Action;
use super::Id;
use super::Machine;
use crate::clock::Ms;
use crate::group;
use crate::member;
use crate::member::Change;
use crate::name::Name;
use crate::peer::Envelope;
use crate::peer::Member;
use crate::peer::Message;
use crate::place;
use crate::resource::Size;
use crate::step::Step;
use crate::timeline::Kind;
use crate::vm::State;
use crate::vm::Vm;

/// The interval between pushes of the same configuration to one peer.
const PUSH_INTERVAL: Ms = Ms(1_000);
/// The table must have been down for this long before the versions of peers confirm the
/// configuration.
const MIN_OUTAGE: Ms = Ms(1_000);

/// The workers that the platform lists or listed lately, and those that operators drained.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub(super) list: Vec<Vm>,
    /// When the list was first received since the start; `None` before.
    pub(super) first_received: Option<Ms>,
    /// When the list was last received, changed or not; `None` before the first time.
    pub(super) last_received: Option<Ms>,
    pub(super) vms: BTreeMap<Name, Vm>,
    pub(super) groups: BTreeMap<Name, BTreeSet<Name>>,
    /// Workers that disappeared from the list, with the time, until the leases on them have
    /// expired at every entry.
    pub(super) missing: BTreeMap<Name, (Vm, Ms)>,
    pub(super) drained: BTreeSet<Name>,
    /// Rises with every change of the set of groups, so that the plan of owners is updated then.
    pub(super) edition: u64,
}

impl Fleet {
    /// Whether the list was received since the start.
    pub(super) const fn is_received(&self) -> bool {
        self.first_received.is_some()
    }

    pub(super) fn is_leaving(&self, vm: &Vm) -> bool {
        vm.state == State::Leaving || self.drained.contains(&vm.name)
    }

    fn replace(&mut self, now: Ms, list: Vec<Vm>) {
        let vms = list.iter().map(|vm| (vm.name.clone(), vm.clone()));
        let vms = BTreeMap::from_iter(vms);
        let before = std::mem::replace(&mut self.vms, vms);
        self.missing.retain(|name, (_, since)| {
            let renewed_at = *since + group::MAX_LIST_LAG;
            !self.vms.contains_key(name) && !group::leases_expired(now, renewed_at)
        });
        for (name, vm) in before {
            if !self.vms.contains_key(&name) {
                self.missing.insert(name, (vm, now));
            }
        }
        let mut groups = BTreeMap::<_, BTreeSet<_>>::new();
        for vm in &list {
            groups
                .entry(vm.group.clone())
                .or_default()
                .insert(vm.name.clone());
        }
        if !groups.keys().eq(self.groups.keys()) {
            self.edition += 1;
        }
        self.groups = groups;
        self.list = list;
        self.first_received.get_or_insert(now);
    }
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    pub(super) fn send(&mut self, to: std::net::SocketAddr, message: Message) -> Id {
        let id = self.next_id();
        self.actions.push(Action::Send { id, to, message });
        id
    }

    /// Sends digests every [`member::EXCHANGE_INTERVAL`], after updating this entry's record.
    pub(super) fn send_digests(&mut self) {
        if self.now < self.due.exchange {
            return;
        }
        self.due.exchange = self.now + member::EXCHANGE_INTERVAL;
        self.update_own_record();
        let digest = self.roster.digest(self.now);
        for to in self.roster.exchange_addresses(self.now, &mut self.random) {
            self.send(to, Message::Digest(digest.clone()));
        }
    }

    /// Updates the room and the held sizes in this entry's record, and passes to the board what the
    /// tasks of each team hold at other entries.
    fn update_own_record(&mut self) {
        let mut room = Vec::from_iter(self.held.keys().map(|group| (group.clone(), Size::ZERO)));
        for worker in self.board.workers() {
            let found = room.binary_search_by(|(group, _)| group.cmp(&worker.group));
            if let (Ok(index), false) = (found, worker.quarantined) {
                room[index].1 = room[index].1.plus(worker.room);
            }
        }
        let held = self.board.held();
        self.roster.set_work(room, held);
        let mut others = BTreeMap::<Name, Size>::new();
        for (team, size) in self.roster.peers(self.now).flat_map(|peer| &peer.held) {
            let sum = others.entry(team.clone()).or_default();
            *sum = sum.plus(*size);
        }
        self.drive(place::Event::HeldElsewhere(others.into_iter().collect()));
    }

    /// Handles messages that need no answer and the answers of peers.
    pub(super) fn handle_peer_message(&mut self, envelope: Envelope) {
        match envelope.message {
            Message::Digest(digest) => {
                self.merge_digest(&digest);
                self.push_config(&envelope.from);
            }
            Message::Done => self.confirm_delivery(&envelope.from),
            Message::Config { version, document } => self.apply_pushed_config(version, document),
            _ => {}
        }
    }

    /// Handles and answers the requests of peers that concern the control path.
    pub(super) fn handle_peer_request(&mut self, number: u64, envelope: Envelope) {
        let answer = match envelope.message {
            Message::Digest(digest) => {
                self.merge_digest(&digest);
                Message::Digest(self.roster.digest(self.now))
            }
            Message::Config { version, document } => {
                self.apply_pushed_config(version, document);
                Message::Digest(self.roster.digest(self.now))
            }
            Message::HandOver(groups) => {
                self.accept_handover(&groups);
                Message::Done
            }
            Message::Job { group, .. } => {
                if let Some(held) = self.held.get_mut(&group) {
                    held.next_scan = self.now;
                }
                Message::Done
            }
            Message::Drain { vm, leave } => {
                self.apply_drain(&vm, leave);
                Message::Done
            }
            Message::Operate(call) => {
                return self.start_call(super::call::Route::Peer(number), call);
            }
            // The request path handles requests and tickets; answers arrive as `Event::Peer`.
            Message::Forward(_)
            | Message::Outcome(_)
            | Message::Book(_)
            | Message::Operated(_)
            | Message::Done => return,
        };
        self.actions.push(Action::Respond(number, answer));
    }

    fn merge_digest(&mut self, digest: &crate::peer::Digest) {
        for (member, age) in &digest.others {
            self.merge_member(member, *age);
        }
        self.merge_member(&digest.member, Ms::ZERO);
    }

    pub(super) fn merge_member(&mut self, member: &Member, age: Ms) {
        let change = self.roster.merge_record(self.now, member, age);
        self.apply_member_change(member, change);
    }

    /// Reacts to a member's record that was merged with this effect.
    pub(super) fn apply_member_change(&mut self, member: &Member, change: Change) {
        if change == Change::Unchanged {
            return;
        }
        self.peers_changed = true;
        if change == Change::Joined {
            self.push_drains(&member.entry);
        }
        // Messages that were in flight during a pause are delivered right after it and may be old.
        // A second later, records are taken as recent.
        let recent = self.now.since(self.resumed_at) > Ms(1_000) || self.resumed_at == Ms::ZERO;
        if member.version > self.rollout.version() {
            self.rollout.read_soon();
        } else if recent
            && self
                .outage_duration()
                .is_some_and(|down| down >= MIN_OUTAGE)
        {
            self.rollout.observe_peer_version(member.version);
        }
    }

    fn apply_pushed_config(
        &mut self,
        version: crate::config::Version,
        document: crate::config::Document,
    ) {
        if version <= self.rollout.version() && self.rollout.checked().is_some() {
            return;
        }
        let changed = self.rollout.apply(version, document);
        self.apply_config(changed);
    }

    /// Sends this entry's configuration to a peer that has an older one.
    pub(super) fn push_config(&mut self, to: &Name) {
        let Some(checked) = self.rollout.checked() else {
            return;
        };
        let version = self.rollout.version();
        let Some(peer) = self.roster.get(to) else {
            return;
        };
        let pushed = self.config_pushes.get(to);
        let is_due = |(last, at): &(_, Ms)| *last < version || self.now.since(*at) >= PUSH_INTERVAL;
        if peer.version >= version || !pushed.is_none_or(is_due) {
            return;
        }
        let document = checked.document().clone();
        let address = peer.address;
        self.config_pushes.insert(to.clone(), (version, self.now));
        self.send(address, Message::Config { version, document });
    }

    /// Updates the set of live members, and records which joined or were lost since the last tick.
    pub(super) fn update_live_members(&mut self) {
        self.roster.expire(self.now);
        let live = self.roster.peers(self.now);
        let live = BTreeSet::from_iter(live.map(|member| member.entry.clone()));
        if live == self.live {
            return;
        }
        let before = std::mem::replace(&mut self.live, live);
        let joined = Vec::from_iter(self.live.difference(&before).cloned());
        for name in joined {
            self.record_event(
                Kind::MemberJoined,
                &name,
                None,
                "a digest or a newer row shows that it is live",
            );
        }
        let lost = Vec::from_iter(before.difference(&self.live).cloned());
        for name in lost {
            self.record_event(
                Kind::MemberLost,
                &name,
                None,
                "it is stopping or sent no newer record in time",
            );
        }
        self.peers_changed = true;
        let entries = self.roster.live_count(self.now);
        self.writer.budget().set_entries(self.now, entries);
        self.due.rows = self.now;
    }

    pub(super) fn update_fleet(&mut self, list: Vec<Vm>) {
        self.fleet.last_received = Some(self.now);
        if self.fleet.is_received() && self.fleet.list == list {
            return;
        }
        self.fleet.replace(self.now, list);
        self.sync_workers();
    }

    /// Passes the live peers to the request path if they changed.
    pub(super) fn emit_peers(&mut self) {
        if !std::mem::take(&mut self.peers_changed) {
            return;
        }
        let peers = self.roster.peers(self.now).map(|peer| peer.request.clone());
        let peers = Vec::from_iter(peers);
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.actions.push(Action::Peers(peers));
        }
    }

    /// Passes the usable targets to the request path if they changed.
    pub(super) fn emit_targets(&mut self) {
        if std::mem::take(&mut self.targets_changed) {
            let targets = self.usable_targets();
            if self.targets.as_ref() != Some(&targets) {
                self.targets = Some(targets.clone());
                self.actions.push(Action::Targets(targets));
            }
        }
    }
}
