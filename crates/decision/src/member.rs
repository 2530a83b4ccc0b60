//! Membership: decides from digests and table rows which entries are live.

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

/// A member without a newer record for this long is no longer live.
pub const SUSPECT_AFTER: Ms = Ms(8_000);
/// The interval between exchanges of digests.
pub const EXCHANGE_INTERVAL: Ms = Ms(500);
/// Up to this many entries, each exchanges digests with all others.
pub const MAX_FULL_EXCHANGE: usize = 9;
/// Above [`MAX_FULL_EXCHANGE`] entries, each exchanges digests with this many others, chosen at
/// random.
pub const EXCHANGE_FANOUT: usize = 8;
/// The maximum number of other members in a digest.
pub const MAX_DIGEST_OTHERS: usize = 7;

const MIN_HEARTBEAT_INTERVAL: Ms = Ms(2_000);
const HEARTBEAT_INTERVAL_PER_ENTRY: Ms = Ms(20);
// An odd constant with well distributed bits, 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
// The maximum number of seeds without a known live peer that each round contacts.
const SEEDS_PER_ROUND: usize = 2;
// After this time no digest can still carry the last heartbeat of a member as recent, so that an
// expired member does not reappear.
const EXPIRE_AFTER: Ms = Ms(60_000);

#[derive(Clone, Debug)]
struct Record {
    member: Member,
    /// The time of the last evidence that the process runs. `None` while it is known only from a
    /// single version of its row.
    last_live: Option<Ms>,
    /// When the record was last replaced.
    updated_at: Ms,
}

/// The effect of a merged record on the liveness of its member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The member's process is live and was not before.
    Joined,
    /// The member was live and still is.
    Refreshed,
    /// The member announced that it stops.
    Left,
    /// The record was not newer, or the member was not live before and is not live now.
    Unchanged,
}

/// All members that this entry knows from digests and rows.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Member,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<Name, Record>,
    seed_rotation: usize,
}

impl Roster {
    /// Creates a roster that contains only its own entry.
    #[must_use]
    pub const fn new(own: Member, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds,
            known: BTreeMap::new(),
            seed_rotation: 0,
        }
    }

    /// The record of this entry itself.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the state of the request path for digests. A stop that was announced stays announced.
    pub fn set_load(&mut self, peer: request::Peer) {
        let stopping = self.own.request.stopping;
        self.own.request = peer;
        self.own.request.entry = self.own.entry.clone();
        self.own.request.incarnation = self.own.incarnation;
        self.own.request.stopping |= stopping;
    }

    /// Sets the room by owned group and the held size by team for digests.
    pub fn set_work(&mut self, room: Vec<(Name, Size)>, held: Vec<(Name, Size)>) {
        self.own.room = room;
        self.own.held = held;
    }

    /// Sets the version of the configuration in force for digests and rows.
    pub const fn set_version(&mut self, version: Version) {
        self.own.version = version;
    }

    /// Announces to peers, from the next digest on, that this entry stops.
    pub const fn mark_stopping(&mut self) {
        self.own.request.stopping = true;
    }

    /// The interval between writes of this entry's row. It grows with the number of entries, so
    /// that heartbeats do not use up the write budget.
    #[must_use]
    pub fn heartbeat_interval(&self, now: Ms) -> Ms {
        let entries = self.live_count(now) as u64;
        MIN_HEARTBEAT_INTERVAL.max(Ms(HEARTBEAT_INTERVAL_PER_ENTRY.0 * entries))
    }

    /// Raises the number of the heartbeat and returns this entry's record.
    pub fn next_heartbeat(&mut self) -> Member {
        self.own.beat += 1;
        self.own.clone()
    }

    /// The digest to send: this entry's record and the most recent records of others.
    pub fn digest(&mut self, now: Ms) -> Digest {
        let member = self.next_heartbeat();
        let known = self.known.values();
        let once_live = known.filter_map(|record| Some((record.last_live?, &record.member)));
        let mut others = Vec::from_iter(once_live);
        if others.len() > MAX_DIGEST_OTHERS {
            // Among members that were live within the same two rounds the choice varies with the
            // heartbeat, so that each is passed on equally often.
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

    /// Merges a record from a digest that is `age` old. It is ignored unless it has a higher
    /// heartbeat number or a newer incarnation.
    pub fn merge_record(&mut self, now: Ms, member: &Member, age: Ms) -> Change {
        let last_live = Ms(now.0.saturating_sub(age.0));
        self.merge(now, member, Some(last_live))
    }

    /// Merges a record from the table. The row of a dead entry stays in the table, so only a
    /// heartbeat number that rises between two reads counts as evidence that the process runs.
    pub fn merge_row(&mut self, now: Ms, member: &Member) -> Change {
        let known = self.known.get(&member.entry);
        let same = known.is_some_and(|known| known.member.incarnation == member.incarnation);
        self.merge(now, member, same.then_some(now))
    }

    fn merge(&mut self, now: Ms, member: &Member, last_live: Option<Ms>) -> Change {
        if member.entry == self.own.entry {
            return Change::Unchanged;
        }
        let stamp = |record: &Member| (record.incarnation, record.beat);
        let known = self.known.get(&member.entry);
        if known.is_some_and(|known| stamp(&known.member) >= stamp(member)) {
            return Change::Unchanged;
        }
        let same = |known: &&Record| known.member.incarnation == member.incarnation;
        let before = known
            .filter(same)
            .is_some_and(|known| is_active(known, now));
        let known = Record {
            member: member.clone(),
            last_live,
            updated_at: now,
        };
        let after = is_active(&known, now);
        self.known.insert(member.entry.clone(), known);
        match (before, after) {
            (false, true) => Change::Joined,
            (true, true) => Change::Refreshed,
            (true, false) => Change::Left,
            (false, false) => Change::Unchanged,
        }
    }

    /// Excludes this entry's own pause from the time since other members were last live.
    pub fn discount_pause(&mut self, pause: Ms) {
        for known in self.known.values_mut() {
            known.last_live = known.last_live.map(|last_live| last_live + pause);
        }
    }

    /// Removes members without a recent record.
    pub fn expire(&mut self, now: Ms) {
        self.known.retain(|_, known| {
            let latest = known.last_live.unwrap_or(known.updated_at);
            now.since(latest) < EXPIRE_AFTER
        });
    }

    /// The latest record of another entry, live or not.
    #[must_use]
    pub fn get(&self, entry: &str) -> Option<&Member> {
        self.known.get(entry).map(|known| &known.member)
    }

    /// Whether there was evidence that the latest known process of the entry runs, at any time.
    #[must_use]
    pub fn was_live(&self, entry: &str) -> bool {
        let known = self.known.get(entry);
        known.is_some_and(|known| known.last_live.is_some())
    }

    /// Whether the entry is live in this incarnation.
    #[must_use]
    pub fn is_live(&self, now: Ms, entry: &str, incarnation: u64) -> bool {
        if entry == &*self.own.entry {
            return incarnation == self.own.incarnation;
        }
        let known = self.known.get(entry);
        known.is_some_and(|known| known.member.incarnation == incarnation && is_live(known, now))
    }

    /// The other live entries that are not stopping, in name order.
    pub fn peers(&self, now: Ms) -> impl Iterator<Item = &Member> {
        let live = self
            .known
            .values()
            .filter(move |known| is_active(known, now));
        live.map(|known| &known.member)
    }

    /// The number of live entries, including this one and those that are stopping.
    #[must_use]
    pub fn live_count(&self, now: Ms) -> usize {
        1 + self
            .known
            .values()
            .filter(|known| is_live(known, now))
            .count()
    }

    /// Live entries that may own groups, in name order. Stopping entries, this one included, are
    /// left out.
    #[must_use]
    pub fn owners(&self, now: Ms) -> Vec<Name> {
        let mut names = Vec::from_iter(self.peers(now).map(|member| member.entry.clone()));
        if !self.own.request.stopping {
            names.push(self.own.entry.clone());
        }
        names.sort_unstable();
        names
    }

    /// The addresses to exchange digests with in this round: all live peers or a random sample, and
    /// a few seeds at which no live peer is known.
    pub fn exchange_addresses(&mut self, now: Ms, random: &mut StdRng) -> Vec<SocketAddr> {
        // An entry that is known only from its row may be live, so it is included.
        let may_be_live = |known: &Record| {
            known.last_live.is_none() && now.since(known.updated_at) < SUSPECT_AFTER
        };
        let members = self.known.values();
        let members = members.filter(|known| is_live(known, now) || may_be_live(known));
        let mut addresses = Vec::from_iter(members.map(|known| known.member.address));
        let unknown = |seed: &&SocketAddr| **seed != self.own.address && !addresses.contains(seed);
        let seeds = Vec::from_iter(self.seeds.iter().filter(unknown).copied());
        if addresses.len() >= MAX_FULL_EXCHANGE {
            addresses = addresses.sample(random, EXCHANGE_FANOUT).copied().collect();
        }
        let first = self.seed_rotation;
        self.seed_rotation = first.wrapping_add(SEEDS_PER_ROUND);
        let count = seeds.len().min(SEEDS_PER_ROUND);
        addresses.extend((0..count).map(|offset| seeds[(first + offset) % seeds.len()]));
        addresses
    }
}

/// Whether the last evidence that the process runs is recent. The process may be stopping.
fn is_live(known: &Record, now: Ms) -> bool {
    known
        .last_live
        .is_some_and(|last_live| now.since(last_live) < SUSPECT_AFTER)
}

/// Whether the process is live and not stopping.
fn is_active(known: &Record, now: Ms) -> bool {
    is_live(known, now) && !known.member.request.stopping
}
