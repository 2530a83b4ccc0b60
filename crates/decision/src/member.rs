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
pub const SUSPECT: Ms = Ms(8_000);
/// Time between exchanges of digests.
pub const EXCHANGE: Ms = Ms(500);
/// Up to this many entries, each exchanges digests with all others.
pub const ALL: usize = 9;
/// Above [`ALL`] entries, each exchanges digests with this many.
pub const SOME: usize = 8;
/// Other members in a digest.
pub const OTHERS: usize = 7;

const HEARTBEAT: Ms = Ms(2_000);
const HEARTBEAT_PER_ENTRY: Ms = Ms(20);
// An odd constant with well distributed bits (2^64 divided by the golden ratio).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
const SEEDS_AT_ONCE: usize = 2;
// A member is forgotten only when no digest can still carry news of its last beat as fresh.
const FORGET: Ms = Ms(60_000);

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// When it last gave a sign of life, if ever since it became known.
    heard: Option<Ms>,
    /// When it became known.
    since: Ms,
}

/// What changed with a piece of news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// The member's process was not live before.
    Joined,
    /// The member was live and is still.
    Heard,
    /// The member announced that it stops.
    Left,
    /// Nothing new.
    Old,
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
    pub fn load(&mut self, peer: request::Peer) {
        let stopping = self.own.request.stopping;
        self.own.request = peer;
        self.own.request.entry = self.own.entry.clone();
        self.own.request.incarnation = self.own.incarnation;
        self.own.request.stopping |= stopping;
    }

    /// Updates what digests say of the owned groups and teams.
    pub fn work(&mut self, room: Vec<(Name, Size)>, held: Vec<(Name, Size)>) {
        self.own.room = room;
        self.own.held = held;
    }

    /// Updates the configuration in force.
    pub const fn version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Announces that this entry stops.
    pub const fn stop(&mut self) {
        self.own.request.stopping = true;
    }

    /// The time between writes of this entry's row.
    #[must_use]
    pub fn heartbeat(&self, now: Ms) -> Ms {
        let entries = self.size(now) as u64;
        HEARTBEAT.max(Ms(HEARTBEAT_PER_ENTRY.0 * entries))
    }

    /// This entry's record with the next beat.
    pub fn beat(&mut self) -> Member {
        self.own.beat += 1;
        self.own.clone()
    }

    /// The digest to send: this entry's record and those it heard of most recently.
    pub fn digest(&mut self, now: Ms) -> Digest {
        let member = self.beat();
        let heard = self.known.values();
        let heard = heard.filter_map(|one| Some((one.heard?, &one.member)));
        let mut others = Vec::from_iter(heard);
        if others.len() > OTHERS {
            // Among those heard of within the same two rounds the choice varies with the beat, so that no
            // entry is passed on less often than others.
            let spread = member.beat.wrapping_mul(SPREAD);
            let key = |(heard, other): &(Ms, &Member)| {
                let round = now.since(*heard).0 / (2 * EXCHANGE.0);
                let hash = u64::from(crc32fast::hash(other.entry.as_bytes()));
                (round, (hash ^ spread).wrapping_mul(SPREAD) >> 32)
            };
            others.select_nth_unstable_by_key(OTHERS - 1, key);
            others.truncate(OTHERS);
        }
        let others = others.into_iter();
        let others = others.map(|(heard, member)| (member.clone(), now.since(heard)));
        Digest {
            member,
            others: others.collect(),
        }
    }

    /// Takes in a record that is `age` old. Only a higher beat of the newest process is news.
    pub fn hear(&mut self, now: Ms, member: &Member, age: Ms) -> News {
        let heard = Ms(now.0.saturating_sub(age.0));
        self.learn(now, member, Some(heard))
    }

    /// Takes in a record from the table. The row of a dead entry stays, so only a beat that
    /// rises between two reads is a sign of life.
    pub fn read(&mut self, now: Ms, member: &Member) -> News {
        let known = self.known.get(&member.entry);
        let same = known.is_some_and(|known| known.member.incarnation == member.incarnation);
        self.learn(now, member, same.then_some(now))
    }

    fn learn(&mut self, now: Ms, member: &Member, heard: Option<Ms>) -> News {
        if member.entry == self.own.entry {
            return News::Old;
        }
        let stamp = |one: &Member| (one.incarnation, one.beat);
        let known = self.known.get(&member.entry);
        if known.is_some_and(|known| stamp(&known.member) >= stamp(member)) {
            return News::Old;
        }
        let same = |known: &&Known| known.member.incarnation == member.incarnation;
        let before = known.filter(same).is_some_and(|known| live(known, now));
        let known = Known {
            member: member.clone(),
            heard,
            since: now,
        };
        let after = live(&known, now);
        self.known.insert(member.entry.clone(), known);
        match (before, after) {
            (false, true) => News::Joined,
            (true, true) => News::Heard,
            (true, false) => News::Left,
            (false, false) => News::Old,
        }
    }

    /// Takes this entry's own pause out of the silence of the others.
    pub fn excuse(&mut self, pause: Ms) {
        for known in self.known.values_mut() {
            known.heard = known.heard.map(|heard| heard + pause);
        }
    }

    /// Forgets members that have been silent for long.
    pub fn forget(&mut self, now: Ms) {
        self.known.retain(|_, known| {
            let news = known.heard.unwrap_or(known.since);
            now.since(news) < FORGET
        });
    }

    /// The record of another entry, live or not.
    #[must_use]
    pub fn get(&self, entry: &str) -> Option<&Member> {
        self.known.get(entry).map(|known| &known.member)
    }

    /// Whether the entry gave a sign of life since it became known.
    #[must_use]
    pub fn was_heard(&self, entry: &str) -> bool {
        let known = self.known.get(entry);
        known.is_some_and(|known| known.heard.is_some())
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
    pub fn size(&self, now: Ms) -> usize {
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
    pub fn partners(&mut self, now: Ms, random: &mut StdRng) -> Vec<SocketAddr> {
        // An entry known from its row only may be live, so it is asked.
        let read = |one: &Known| one.heard.is_none() && now.since(one.since) < SUSPECT;
        let live = self.known.values();
        let live = live.filter(|one| fresh(one, now) || read(one));
        let mut all = Vec::from_iter(live.map(|one| one.member.address));
        let unknown = |seed: &&SocketAddr| **seed != self.own.address && !all.contains(seed);
        let seeds = Vec::from_iter(self.seeds.iter().filter(unknown).copied());
        if all.len() >= ALL {
            all = all.sample(random, SOME).copied().collect();
        }
        let turn = self.seed_turn;
        self.seed_turn = turn.wrapping_add(SEEDS_AT_ONCE);
        let count = seeds.len().min(SEEDS_AT_ONCE);
        all.extend((0..count).map(|offset| seeds[(turn + offset) % seeds.len()]));
        all
    }
}

fn fresh(known: &Known, now: Ms) -> bool {
    known.heard.is_some_and(|heard| now.since(heard) < SUSPECT)
}

fn live(known: &Known, now: Ms) -> bool {
    fresh(known, now) && !known.member.request.stopping
}
