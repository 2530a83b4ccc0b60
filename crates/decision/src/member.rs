//! Membership: which entries are live, by digests and by table rows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::clock::Ms;
use crate::config::Version;
use crate::name::Name;
use crate::peer::Digest;
use crate::peer::Member;
use crate::request;
use crate::resource::Size;

/// A member without news for this long is no longer live.
pub const SUSPECT_AFTER: Ms = Ms(8_000);
/// Time between exchanges of digests.
pub const EXCHANGE_INTERVAL: Ms = Ms(500);
/// Up to this many entries, each exchanges digests with all others.
pub const MAX_FULL_EXCHANGE: usize = 9;
/// Above [`ALL`] entries, each exchanges digests with this many.
pub const EXCHANGE_FANOUT: usize = 8;
/// Other members in a digest.
pub const MAX_DIGEST_OTHERS: usize = 7;

const MIN_HEARTBEAT_INTERVAL: Ms = Ms(2_000);
const HEARTBEAT_INTERVAL_PER_ENTRY: Ms = Ms(20);
// An odd constant with well distributed bits (2^64 divided by the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const SEEDS_PER_ROUND: usize = 2;
// A member is forgotten only when no digest can still carry news of its last beat as fresh.
const EXPIRE_AFTER: Ms = Ms(60_000);

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// When it last gave a sign of life, if ever since it became known.
    last_live: Option<Ms>,
    /// When it became known.
    updated_at: Ms,
}

/// What changed with a piece of news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The member's process was not live before.
    Joined,
    /// The member was live and is still.
    Refreshed,
    /// The member announced that it stops.
    Left,
    /// Nothing new.
    Unchanged,
}

/// All members that this entry has heard of.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Member,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<Name, Known>,
    seed_turn: usize,
}

impl Roster {
    /// A roster that knows only its own entry.
    #[must_use]
    pub const fn new(own: Member, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds,
            known: BTreeMap::new(),
            seed_turn: 0,
        }
    }

    /// This entry's own record.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Updates what digests say of the request path.
    pub fn set_load(&mut self, peer: request::Peer) {
        let stopping = self.own.request.stopping;
        self.own.request = peer;
        self.own.request.entry = self.own.entry.clone();
        self.own.request.incarnation = self.own.incarnation;
        self.own.request.stopping |= stopping;
    }

    /// Updates what digests say of the owned groups and teams.
    pub fn set_work(&mut self, room: Vec<(Name, Size)>, held: Vec<(Name, Size)>) {
        self.own.room = room;
        self.own.held = held;
    }

    /// Updates the configuration in force.
    pub const fn set_version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Announces that this entry stops.
    pub const fn mark_stopping(&mut self) {
        self.own.request.stopping = true;
    }

    /// The time between writes of this entry's row.
    #[must_use]
    pub fn heartbeat_interval(&self, now: Ms) -> Ms {
        let entries = self.live_count(now) as u64;
        MIN_HEARTBEAT_INTERVAL.max(Ms(HEARTBEAT_INTERVAL_PER_ENTRY.0 * entries))
    }

    /// This entry's record with the next beat.
    pub fn next_beat(&mut self) -> Member {
        self.own.beat += 1;
        self.own.clone()
    }

    /// The digest to send: this entry's record and those it heard of most recently.
    pub fn digest(&mut self, now: Ms) -> Digest {
        let member = self.next_beat();
        let known = self.known.values();
        let live = known.filter_map(|one| Some((one.last_live?, &one.member)));
        let mut others = Vec::from_iter(live);
        if others.len() > MAX_DIGEST_OTHERS {
            // Among those heard of within the same two rounds the choice varies with the beat, so that no
            // entry is passed on less often than others.
            let salt = member.beat.wrapping_mul(HASH_MULTIPLIER);
            let key = |(last_live, other): &(Ms, &Member)| {
                let round = now.since(*last_live).0 / (2 * EXCHANGE_INTERVAL.0);
                let hash = u64::from(crc32fast::hash(other.entry.as_bytes()));
                (round, (hash ^ salt).wrapping_mul(HASH_MULTIPLIER) >> 32)
            };
            others.select_nth_unstable_by_key(MAX_DIGEST_OTHERS - 1, key);
            others.truncate(MAX_DIGEST_OTHERS);
        }
        let others = others.into_iter();
        let others = others.map(|(last_live, member)| (member.clone(), now.since(last_live)));
        Digest {
            member,
            others: others.collect(),
        }
    }

    /// Takes in a record that is `age` old. Only a higher beat of the newest process is news.
    pub fn merge_record(&mut self, now: Ms, member: &Member, age: Ms) -> Change {
        let last_live = Ms(now.0.saturating_sub(age.0));
        self.merge(now, member, Some(last_live))
    }

    /// Takes in a record from the table. The row of a dead entry stays, so only a beat that
    /// rises between two reads is a sign of life.
    pub fn merge_row(&mut self, now: Ms, member: &Member) -> Change {
        let known = self.known.get(&member.entry);
        let same = known.is_some_and(|known| known.member.incarnation == member.incarnation);
        self.merge(now, member, same.then_some(now))
    }

    fn merge(&mut self, now: Ms, member: &Member, last_live: Option<Ms>) -> Change {
        if member.entry == self.own.entry {
            return Change::Unchanged;
        }
        let stamp = |one: &Member| (one.incarnation, one.beat);
        let known = self.known.get(&member.entry);
        if known.is_some_and(|known| stamp(&known.member) >= stamp(member)) {
            return Change::Unchanged;
        }
        let same = |known: &&Known| known.member.incarnation == member.incarnation;
        let before = known.filter(same).is_some_and(|known| live(known, now));
        let known = Known {
            member: member.clone(),
            last_live,
            updated_at: now,
        };
        let after = live(&known, now);
        self.known.insert(member.entry.clone(), known);
        match (before, after) {
            (false, true) => Change::Joined,
            (true, true) => Change::Refreshed,
            (true, false) => Change::Left,
            (false, false) => Change::Unchanged,
        }
    }

    /// Takes this entry's own pause out of the silence of the others.
    pub fn discount_pause(&mut self, pause: Ms) {
        for known in self.known.values_mut() {
            known.last_live = known.last_live.map(|last_live| last_live + pause);
        }
    }

    /// Forgets members that have been silent for long.
    pub fn expire(&mut self, now: Ms) {
        self.known.retain(|_, known| {
            let latest = known.last_live.unwrap_or(known.updated_at);
            now.since(latest) < EXPIRE_AFTER
        });
    }

    /// The record of another entry, live or not.
    #[must_use]
    pub fn get(&self, entry: &str) -> Option<&Member> {
        self.known.get(entry).map(|known| &known.member)
    }

    /// Whether the entry gave a sign of life since it became known.
    #[must_use]
    pub fn was_live(&self, entry: &str) -> bool {
        let known = self.known.get(entry);
        known.is_some_and(|known| known.last_live.is_some())
    }

    /// Whether this process is live.
    #[must_use]
    pub fn is_live(&self, now: Ms, entry: &str, incarnation: u64) -> bool {
        if entry == &*self.own.entry {
            return incarnation == self.own.incarnation;
        }
        let known = self.known.get(entry);
        known.is_some_and(|known| known.member.incarnation == incarnation && fresh(known, now))
    }

    /// The other live entries that do not stop, in name order.
    pub fn peers(&self, now: Ms) -> impl Iterator<Item = &Member> {
        let live = self.known.values().filter(move |known| live(known, now));
        live.map(|known| &known.member)
    }

    /// How many entries are live, this one included.
    #[must_use]
    pub fn live_count(&self, now: Ms) -> usize {
        1 + self.known.values().filter(|one| fresh(one, now)).count()
    }

    /// Live entries that may own groups, in name order, this one included unless it stops.
    #[must_use]
    pub fn owners(&self, now: Ms) -> Vec<Name> {
        let mut names = Vec::from_iter(self.peers(now).map(|member| member.entry.clone()));
        if !self.own.request.stopping {
            names.push(self.own.entry.clone());
        }
        names.sort_unstable();
        names
    }

    /// Addresses to exchange digests with in this round: all live peers or some at random, and
    /// a few seeds at which no live peer is known.
    pub fn exchange_addresses(&mut self, now: Ms, random: &mut StdRng) -> Vec<SocketAddr> {
        // An entry known from its row only may be live, so it is asked.
        let read =
            |one: &Known| one.last_live.is_none() && now.since(one.updated_at) < SUSPECT_AFTER;
        let live = self.known.values();
        let live = live.filter(|one| fresh(one, now) || read(one));
        let mut all = Vec::from_iter(live.map(|one| one.member.address));
        let unknown = |seed: &&SocketAddr| **seed != self.own.address && !all.contains(seed);
        let seeds = Vec::from_iter(self.seeds.iter().filter(unknown).copied());
        if all.len() >= MAX_FULL_EXCHANGE {
            all = all.sample(random, EXCHANGE_FANOUT).copied().collect();
        }
        let turn = self.seed_turn;
        self.seed_turn = turn.wrapping_add(SEEDS_PER_ROUND);
        let count = seeds.len().min(SEEDS_PER_ROUND);
        all.extend((0..count).map(|offset| seeds[(turn + offset) % seeds.len()]));
        all
    }
}

fn fresh(known: &Known, now: Ms) -> bool {
    known
        .last_live
        .is_some_and(|last_live| now.since(last_live) < SUSPECT_AFTER)
}

fn live(known: &Known, now: Ms) -> bool {
    fresh(known, now) && !known.member.request.stopping
}
