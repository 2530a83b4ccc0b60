//! Ownership of groups: the plan, the epochs held and the adoption of their workers.

use std::collections::BTreeMap;

use crate::clock::Ms;
use crate::control::Id;
use crate::name::Name;
use crate::request::Snapshot;
use crate::vm::Vm;
use crate::worker::Epoch;

/// Time between renewals of a worker's leases.
pub const RENEW: Ms = Ms(2_000);
/// The lease that a renewal gives.
pub const LEASE: Ms = Ms(20_000);
/// How far clocks may drift during a lease.
pub const CLOCK_BOUND: Ms = Ms(2_000);
/// Time between attempts to adopt a worker.
pub const ADOPT_AGAIN: Ms = Ms(500);
/// A command without an outcome for this long is taken as lost.
pub const COMMAND_LOST: Ms = Ms(10_000);

/// The entry that should own a group: the one with the highest hash of both names.
#[must_use]
pub fn planned<'a>(group: &str, entries: &'a [Name]) -> Option<&'a Name> {
    entries.iter().max_by_key(|entry| weight(group, entry))
}

fn weight(group: &str, entry: &str) -> u64 {
    mix(hash(group) ^ mix(hash(entry)))
}

fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET, step)
}

const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// By which right this entry commands a group's workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Right {
    /// The table's row names this entry.
    Row,
    /// The former owner handed the group over; the row still names it.
    Given,
    /// Renewals and requests only, while the table cannot be reached.
    Caretaker,
}

/// How far the adoption of one worker has come.
#[derive(Clone, Debug)]
pub struct Adoption {
    /// The worker as listed last.
    pub vm: Vm,
    /// The epoch to adopt under.
    pub target: Epoch,
    /// The epoch that the worker accepted.
    pub accepted: Option<Epoch>,
    /// Whether it accepted our epoch since this entry was last paused.
    pub proven: bool,
    /// Slots that were busy when it was first adopted.
    pub busy: u32,
    /// What it last reported about our attempts.
    pub seen: Option<Snapshot>,
    /// The `Adopt` or `Renew` under way.
    pub waiting: Option<(Id, Ms)>,
    /// When to send the next one.
    pub next: Ms,
    /// When to look next for ended attempts that nobody acknowledges.
    pub look: Ms,
    /// Whether it was last told to be leaving.
    pub leaving: bool,
    /// Since when it is missing from the platform's list.
    pub gone: Option<Ms>,
    /// Whether old pieces stay frozen until it is adopted or gone.
    pub holds: bool,
}

impl Adoption {
    /// A worker that was not commanded yet.
    #[must_use]
    pub const fn new(vm: Vm, target: Epoch, holds: bool) -> Self {
        Self {
            vm,
            target,
            accepted: None,
            proven: false,
            busy: 0,
            seen: None,
            waiting: None,
            next: Ms::ZERO,
            look: Ms::ZERO,
            leaving: false,
            gone: None,
            holds,
        }
    }

    /// The epoch under which it may be commanded.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.accepted.filter(|epoch| *epoch == self.target)
    }

    /// Whether a task stored before the takeover may still run there unseen.
    #[must_use]
    pub fn unseen(&self, now: Ms) -> bool {
        let lapsed = self.gone.is_some_and(|gone| lapsed(now, gone));
        self.holds && self.accepted.is_none() && !lapsed
    }
}

/// Whether every lease on a VM that left the list at `gone` has run out.
#[must_use]
pub fn lapsed(now: Ms, gone: Ms) -> bool {
    now.since(gone) > LEASE + CLOCK_BOUND
}

/// A group that this entry commands.
#[derive(Clone, Debug)]
pub struct Held {
    /// The epoch.
    pub epoch: Epoch,
    /// By which right.
    pub right: Right,
    /// When it was taken.
    pub taken: Ms,
    /// Whether nobody owned it before.
    pub fresh: bool,
    /// Whether old pieces are frozen.
    pub frozen: bool,
    /// Whether the row was read, or a worker confirmed the epoch, since the last pause.
    pub proven: bool,
    /// Its workers.
    pub workers: BTreeMap<Name, Adoption>,
    /// When to scan its rows next.
    pub scan: Ms,
    /// Whether a scan is under way.
    pub scanning: bool,
    /// Whether a scan was completed since the group was taken.
    pub scanned: bool,
}

impl Held {
    /// A group just taken.
    #[must_use]
    pub fn new(now: Ms, epoch: Epoch, right: Right, fresh: bool) -> Self {
        Self {
            epoch,
            right,
            taken: now,
            fresh,
            frozen: !fresh && right != Right::Caretaker,
            proven: true,
            workers: BTreeMap::new(),
            scan: now,
            scanning: false,
            scanned: false,
        }
    }

    /// Replaces the epoch after the row was written for a group handed over directly.
    pub fn settle(&mut self, now: Ms, epoch: Epoch) {
        self.epoch = epoch;
        self.right = Right::Row;
        self.scan = now;
        for adoption in self.workers.values_mut() {
            adoption.target = epoch;
            adoption.next = now;
        }
    }

    /// Whether every worker left the platform's list so long ago that no lease is in force.
    #[must_use]
    pub fn vanished(&self, now: Ms) -> bool {
        let mut workers = self.workers.values();
        workers.all(|adoption| adoption.gone.is_some_and(|gone| lapsed(now, gone)))
    }

    /// Whether old pieces must stay frozen.
    #[must_use]
    pub fn unseen(&self, now: Ms) -> bool {
        self.workers.values().any(|adoption| adoption.unseen(now))
    }
}
