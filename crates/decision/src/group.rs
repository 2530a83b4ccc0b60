//! Ownership of groups: the plan, the epochs held and the adoption of their workers.

use std::collections::BTreeMap;

use crate::clock::Ms;
use crate::control::Id;
use crate::name::Name;
use crate::request::Snapshot;
use crate::vm::Vm;
use crate::worker::Epoch;

/// Time between renewals of a worker's leases.
pub const RENEW_INTERVAL: Ms = Ms(2_000);
/// The lease that a renewal gives.
pub const LEASE: Ms = Ms(20_000);
/// How far clocks may drift during a lease.
pub const CLOCK_BOUND: Ms = Ms(2_000);
/// Time between attempts to adopt a worker.
pub const ADOPT_RETRY_INTERVAL: Ms = Ms(500);
/// A command without an outcome for this long is taken as lost.
pub const COMMAND_TIMEOUT: Ms = Ms(10_000);

/// The entry that should own a group: the one with the highest hash of both names.
#[must_use]
pub fn planned_owner<'a>(group: &str, entries: &'a [Name]) -> Option<&'a Name> {
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
pub enum Authority {
    /// The table's row names this entry.
    Row,
    /// The former owner handed the group over; the row still names it.
    HandedOver,
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
    pub confirmed: bool,
    /// Slots that were busy when it was first adopted.
    pub busy: u32,
    /// What it last reported about our attempts.
    pub attempts: Option<Snapshot>,
    /// The `Adopt` or `Renew` under way.
    pub in_flight: Option<(Id, Ms)>,
    /// When to send the next one.
    pub next_send: Ms,
    /// When to look next for ended attempts that nobody acknowledges.
    pub next_leftover_check: Ms,
    /// Whether it was last told to be leaving.
    pub leaving: bool,
    /// Since when it is missing from the platform's list.
    pub missing_since: Option<Ms>,
    /// Whether old pieces stay frozen until it is adopted or gone.
    pub blocks_thaw: bool,
}

impl Adoption {
    /// A worker that was not commanded yet.
    #[must_use]
    pub const fn new(vm: Vm, target: Epoch, blocks_thaw: bool) -> Self {
        Self {
            vm,
            target,
            accepted: None,
            confirmed: false,
            busy: 0,
            attempts: None,
            in_flight: None,
            next_send: Ms::ZERO,
            next_leftover_check: Ms::ZERO,
            leaving: false,
            missing_since: None,
            blocks_thaw,
        }
    }

    /// The epoch under which it may be commanded.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.accepted.filter(|epoch| *epoch == self.target)
    }

    /// Whether a task stored before the takeover may still run there unseen.
    #[must_use]
    pub fn is_blocking_thaw(&self, now: Ms) -> bool {
        let expired = self
            .missing_since
            .is_some_and(|since| leases_expired(now, since));
        self.blocks_thaw && self.accepted.is_none() && !expired
    }
}

/// Whether every lease on a VM that left the list at `gone` has run out.
#[must_use]
pub fn leases_expired(now: Ms, missing_since: Ms) -> bool {
    now.since(missing_since) > LEASE + CLOCK_BOUND
}

/// A group that this entry commands.
#[derive(Clone, Debug)]
pub struct Held {
    /// The epoch.
    pub epoch: Epoch,
    /// By which right.
    pub authority: Authority,
    /// When it was taken.
    pub acquired_at: Ms,
    /// Whether nobody owned it before.
    pub fresh: bool,
    /// Whether old pieces are frozen.
    pub frozen: bool,
    /// Whether the row was read, or a worker confirmed the epoch, since the last pause.
    pub confirmed: bool,
    /// Its workers.
    pub workers: BTreeMap<Name, Adoption>,
    /// When to scan its rows next.
    pub next_scan: Ms,
    /// Whether a scan is under way.
    pub scanning: bool,
    /// Whether a scan was completed since the group was taken.
    pub scanned: bool,
}

impl Held {
    /// A group just taken.
    #[must_use]
    pub fn new(now: Ms, epoch: Epoch, authority: Authority, fresh: bool) -> Self {
        Self {
            epoch,
            authority,
            acquired_at: now,
            fresh,
            frozen: !fresh && authority != Authority::Caretaker,
            confirmed: true,
            workers: BTreeMap::new(),
            next_scan: now,
            scanning: false,
            scanned: false,
        }
    }

    /// Replaces the epoch after the row was written for a group handed over directly.
    pub fn confirm_by_row(&mut self, now: Ms, epoch: Epoch) {
        self.epoch = epoch;
        self.authority = Authority::Row;
        self.next_scan = now;
        for adoption in self.workers.values_mut() {
            adoption.target = epoch;
            adoption.next_send = now;
        }
    }

    /// Whether every worker left the platform's list so long ago that no lease is in force.
    #[must_use]
    pub fn all_leases_expired(&self, now: Ms) -> bool {
        let mut workers = self.workers.values();
        workers.all(|adoption| {
            adoption
                .missing_since
                .is_some_and(|since| leases_expired(now, since))
        })
    }

    /// Whether old pieces must stay frozen.
    #[must_use]
    pub fn is_thaw_blocked(&self, now: Ms) -> bool {
        self.workers
            .values()
            .any(|adoption| adoption.is_blocking_thaw(now))
    }
}
