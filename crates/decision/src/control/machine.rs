//! The state of the control path and the dispatch of its events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Action;
use super::Event;
use super::Id;
use super::Identity;
use super::adopt::InFlight;
use super::call::Call;
use super::drain::Drains;
use super::exchange::Fleet;
use super::flush::Stored;
use super::handover::Handover;
use super::ownership::Plan;
use super::store::Purpose;
use super::store::Reading;
use crate::clock::Ms;
use crate::commit::Backoff;
use crate::commit::Writer;
use crate::config::Version;
use crate::group::Holding;
use crate::member::Roster;
use crate::name::Name;
use crate::peer::Member;
use crate::place;
use crate::request;
use crate::rollout::Rollout;
use crate::step::Step;
use crate::timeline::Kind;
use crate::timeline::Note;
use crate::worker::Epoch;

/// A longer gap since the last tick counts as a pause of the process, after which what the entry
/// knew before must be confirmed again.
pub const MAX_TICK_GAP: Ms = Ms(3_000);

/// The time at which each periodic task is due next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Due {
    pub(super) exchange: Ms,
    pub(super) heartbeat: Ms,
    pub(super) members: Ms,
    pub(super) drains: Ms,
    pub(super) rows: Ms,
    pub(super) rebalance: Ms,
    pub(super) surplus: Ms,
    pub(super) stranded: Ms,
}

/// The control path of one entry, which drives a board for the placement of tasks.
#[derive(Debug)]
pub struct Machine<B> {
    pub(super) identity: Identity,
    pub(super) board: B,
    pub(super) now: Ms,
    pub(super) started: Option<Ms>,
    pub(super) last_tick: Ms,
    /// Operations with a lower id began before the last pause, so their outcomes confirm nothing.
    pub(super) first_valid_id: Id,
    /// The end of the last pause, zero before the first one.
    pub(super) resumed_at: Ms,
    /// When the graceful stop began.
    pub(super) stopping: Option<Ms>,
    pub(super) stopped: bool,
    /// Whether the deletion of this entry's row was queued and has not failed.
    pub(super) row_deleted: bool,
    pub(super) due: Due,
    pub(super) ids: u64,
    pub(super) random: StdRng,
    pub(super) roster: Roster,
    /// The other live entries as of the last tick.
    pub(super) live: BTreeSet<Name>,
    pub(super) rollout: Rollout,
    /// The version pushed last to each peer, and when.
    pub(super) config_pushes: BTreeMap<Name, (Version, Ms)>,
    pub(super) writer: Writer<Purpose>,
    pub(super) backoff: Backoff,
    pub(super) reads: BTreeMap<Id, Reading>,
    pub(super) fleet: Fleet,
    pub(super) plan: Plan,
    pub(super) held: BTreeMap<Name, Holding>,
    /// The highest epoch at which each group was held.
    pub(super) epochs: BTreeMap<Name, Epoch>,
    /// Groups whose row is to be read at the given time although this entry is not their planned
    /// owner.
    pub(super) recheck: BTreeMap<Name, Ms>,
    /// Unconfirmed handovers by the peer that is to receive the groups.
    pub(super) handovers: BTreeMap<Name, Handover>,
    /// Unanswered notices of stored work, with the peer that each was sent to.
    pub(super) notices: BTreeMap<Id, Name>,
    pub(super) drains: Drains,
    pub(super) commands: BTreeMap<Id, InFlight>,
    pub(super) pieces: BTreeMap<Name, Stored>,
    /// Keys of deleted rows with the time of deletion. A scan that began earlier may still return
    /// them.
    pub(super) removed: BTreeMap<String, Ms>,
    /// Changed pieces in the order in which they are to be stored.
    pub(super) dirty: VecDeque<Name>,
    /// Pieces that ended, with the time, until they are removed from the board.
    pub(super) ended: VecDeque<(Ms, Name)>,
    /// Pieces that may be moved to another group with more room.
    pub(super) surplus: VecDeque<Name>,
    pub(super) damaged: BTreeMap<String, crate::record::Error>,
    /// The slowdown that batch work causes to services, in percent, by VM.
    pub(super) slowdown: BTreeMap<Name, u32>,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) call_count: u64,
    pub(super) targets: Option<Vec<request::Target>>,
    pub(super) targets_changed: bool,
    pub(super) peers: Vec<request::Peer>,
    pub(super) peers_changed: bool,
    pub(super) actions: Vec<Action>,
}

impl<B> Machine<B> {
    /// Creates a control path, which joins the other entries from its first tick on.
    #[must_use]
    pub fn new(identity: Identity, board: B) -> Self {
        let own = own_member(&identity);
        Self {
            board,
            now: Ms::ZERO,
            started: None,
            last_tick: Ms::ZERO,
            first_valid_id: Id(0),
            resumed_at: Ms::ZERO,
            stopping: None,
            stopped: false,
            row_deleted: false,
            due: Due::default(),
            ids: 0,
            random: StdRng::seed_from_u64(identity.seed),
            roster: Roster::new(own, identity.seeds.clone()),
            live: BTreeSet::new(),
            rollout: Rollout::default(),
            config_pushes: BTreeMap::new(),
            writer: Writer::new(&identity.entry, identity.incarnation),
            backoff: Backoff::default(),
            reads: BTreeMap::new(),
            fleet: Fleet::default(),
            plan: Plan::default(),
            held: BTreeMap::new(),
            epochs: BTreeMap::new(),
            recheck: BTreeMap::new(),
            handovers: BTreeMap::new(),
            notices: BTreeMap::new(),
            drains: Drains::default(),
            commands: BTreeMap::new(),
            pieces: BTreeMap::new(),
            removed: BTreeMap::new(),
            dirty: VecDeque::new(),
            ended: VecDeque::new(),
            surplus: VecDeque::new(),
            damaged: BTreeMap::new(),
            slowdown: BTreeMap::new(),
            calls: BTreeMap::new(),
            call_count: 0,
            targets: None,
            targets_changed: true,
            peers: Vec::new(),
            peers_changed: true,
            actions: Vec::new(),
            identity,
        }
    }

    /// The board that this control path drives.
    #[must_use]
    pub const fn board(&self) -> &B {
        &self.board
    }

    /// The groups whose workers this entry commands, with their epochs.
    pub fn groups(&self) -> impl Iterator<Item = (&Name, Epoch)> {
        self.held.iter().map(|(name, held)| (name, held.epoch))
    }

    /// Keys of rows that could not be decoded, with the error. Such rows are never overwritten.
    #[must_use]
    pub const fn damaged(&self) -> &BTreeMap<String, crate::record::Error> {
        &self.damaged
    }

    /// The version of the configuration in force, 0 before the first one.
    #[must_use]
    pub fn version(&self) -> Version {
        self.rollout.version()
    }

    /// Whether the entry has a confirmed configuration and is not stopping, so that it may accept
    /// new work.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.rollout.is_ready() && self.stopping.is_none()
    }

    pub(super) const fn next_id(&mut self) -> Id {
        self.ids += 1;
        Id(self.ids)
    }

    pub(super) fn record_event(
        &mut self,
        kind: Kind,
        subject: &str,
        epoch: Option<Epoch>,
        cause: impl Into<String>,
    ) {
        self.actions.push(Action::Note(Note {
            kind,
            subject: subject.into(),
            vm: None,
            epoch,
            cause: cause.into(),
        }));
    }
}

fn own_member(identity: &Identity) -> Member {
    Member {
        entry: identity.entry.clone(),
        incarnation: identity.incarnation,
        address: identity.address,
        domain: identity.domain.clone(),
        beat: 0,
        version: Version(0),
        request: request::Peer {
            entry: identity.entry.clone(),
            incarnation: identity.incarnation,
            free: 0,
            waiting: 0,
            stopping: false,
            adopted: Vec::new(),
        },
        room: Vec::new(),
        held: Vec::new(),
    }
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Table(id, outcome) => self.handle_table_outcome(id, outcome),
            // The control path names checkpoints but neither reads nor writes them.
            Event::Object(..) => {}
            Event::Worker(id, outcome) => self.handle_command_outcome(id, outcome),
            Event::Vms(list) => self.update_fleet(list),
            Event::Peer(envelope) => self.handle_peer_message(envelope),
            Event::PeerRequest(number, envelope) => self.handle_peer_request(number, envelope),
            Event::Unanswered(id) => self.handle_unanswered(id),
            Event::Operator(number, call) => {
                self.start_call(super::call::Route::Operator(number), call)
            }
            Event::Load(peer) => self.roster.set_load(peer),
            Event::Measured {
                vm,
                service,
                kind,
                time,
            } => self.drive(place::Event::Measured {
                vm,
                service,
                kind,
                time,
            }),
            Event::Stopping => self.begin_stop(),
        }
    }

    fn tick(&mut self) {
        if self.started.is_none() {
            self.started = Some(self.now);
            let entry = self.identity.entry.clone();
            self.record_event(
                Kind::EntryStarted,
                &entry,
                None,
                "the entry processed its first tick",
            );
        }
        self.last_tick = self.now;
        self.update_live_members();
        self.send_digests();
        self.start_due_reads();
        self.maintain_ownership();
        self.send_due_renewals();
        self.drive(place::Event::Tick);
        self.expire_ended_pieces();
        self.scan_for_stranded();
        self.start_surplus_move();
        self.advance_calls();
        self.rebalance();
        self.flush();
        self.emit_peers();
        self.finish_stop();
    }

    /// Detects a pause of this process. What was confirmed before the pause must be confirmed
    /// again, and the time of the pause does not count towards suspecting other members.
    fn detect_pause(&mut self) {
        if self.started.is_none() || self.now.since(self.last_tick) <= MAX_TICK_GAP {
            return;
        }
        self.roster.discount_pause(self.now.since(self.last_tick));
        self.last_tick = self.now;
        self.resumed_at = self.now;
        self.first_valid_id = Id(self.ids + 1);
        self.rollout.require_read();
        self.backoff.restart(self.now);
        for held in self.held.values_mut() {
            held.confirmed = false;
            for adoption in held.workers.values_mut() {
                adoption.confirmed = false;
                adoption.next_send = self.now;
            }
        }
        self.due.rows = self.now;
        self.targets_changed = true;
    }
}

impl<B> Step for Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.stopped {
            return Vec::new();
        }
        self.detect_pause();
        self.dispatch(event);
        self.emit_targets();
        std::mem::take(&mut self.actions)
    }
}
