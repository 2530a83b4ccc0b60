//! Ownership of groups: the planned owner, the epochs held and the adoption of workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::Ms;
use crate::control::Id;
use crate::name::Name;
use crate::request::Snapshot;
use crate::task::LEASE_EXPIRY;
use crate::vm::Vm;
use crate::worker::Epoch;

/// The interval between renewals of the leases on a worker.
pub const RENEW_INTERVAL: Ms = Ms(2_000);
/// Upper bound of the time by which the lists of two entries differ.
pub const MAX_LIST_LAG: Ms = Ms(30_000);
/// The delay before another attempt to adopt or renew a worker.
pub const ADOPT_RETRY_INTERVAL: Ms = Ms(500);
/// An `Adopt` or `Renew` without an outcome for this long is sent again.
pub const COMMAND_TIMEOUT: Ms = Ms(10_000);

/// The entry that should own a group, by rendezvous hashing: the one with the highest hash of both
/// names. `None` without entries.
#[must_use]
pub fn planned_owner<'a>(group: &str, entries: &'a [Name]) -> Option<&'a Name> {
    entries.iter().max_by_key(|entry| weight(group, entry))
}

/// The rendezvous hash of both names.
fn weight(group: &str, entry: &str) -> u64 {
    mix(hash(group) ^ mix(hash(entry)))
}

/// The FNV-1a hash of the text.
fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET, step)
}

/// Mixes the bits of a value like the last steps of `SplitMix64`.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The basis on which this entry commands the workers of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authority {
    /// The group's row in the table names this entry as owner.
    Row,
    /// The former owner handed the group over directly; the row still names that owner.
    HandedOver,
    /// The table cannot be reached and no live entry claims the group. Only renewals and requests
    /// are allowed.
    Caretaker,
}

/// The state of the adoption of one worker.
#[derive(Clone, Debug)]
pub struct Adoption {
    /// The worker's entry in the platform's list when it last appeared there.
    pub vm: Vm,
    /// The epoch under which the worker is to be adopted.
    pub target_epoch: Epoch,
    /// The highest epoch that the worker accepted from this entry, if any.
    pub accepted: Option<Epoch>,
    /// Whether the worker accepted a command sent since the last pause of this entry.
    pub confirmed: bool,
    /// Whether the board received a report that the worker made under the target epoch. An answer
    /// to a command of an earlier epoch is no such report: the worker may have started tasks since.
    pub reported: bool,
    /// Slots that are busy with requests sent under lower epochs.
    pub busy: u32,
    /// The attempts of this entry in progress on the worker, by the worker's latest report under
    /// the current epoch.
    pub snapshot: Option<Snapshot>,
    /// The `Adopt` or `Renew` without an outcome yet, and when it was sent.
    pub in_flight: Option<(Id, Ms)>,
    /// When to send the next `Adopt` or `Renew`.
    pub next_send: Ms,
    /// When to check the worker's report again for ended attempts that nobody acknowledges.
    pub next_unacknowledged_check: Ms,
    /// Whether the worker was leaving or drained when it was last listed.
    pub leaving: bool,
    /// Since when the worker is missing from the platform's list and is not renewed by any owner;
    /// `None` while it is listed.
    pub missing_since: Option<Ms>,
    /// Whether the group's old pieces stay frozen until this worker has reported or its leases have
    /// expired.
    pub blocks_unfreeze: bool,
}

impl Adoption {
    /// Creates the state of a worker that has not been commanded yet.
    #[must_use]
    pub const fn new(vm: Vm, target_epoch: Epoch, blocks_unfreeze: bool) -> Self {
        Self {
            vm,
            target_epoch,
            accepted: None,
            confirmed: false,
            reported: false,
            busy: 0,
            snapshot: None,
            in_flight: None,
            next_send: Ms::ZERO,
            next_unacknowledged_check: Ms::ZERO,
            leaving: false,
            missing_since: None,
            blocks_unfreeze,
        }
    }

    /// The epoch under which the worker may be commanded, or `None` until it accepted the target
    /// epoch.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.accepted.filter(|epoch| *epoch == self.target_epoch)
    }

    /// Whether tasks that were stored before the takeover may still run on the worker without being
    /// reported.
    #[must_use]
    pub fn is_blocking_unfreeze(&self, now: Ms) -> bool {
        let expired = self
            .missing_since
            .is_some_and(|since| leases_expired(now, since));
        self.blocks_unfreeze && !self.reported && !expired
    }
}

/// Whether every lease that was renewed at `renewed_at` for the last time has expired.
#[must_use]
pub fn leases_expired(now: Ms, renewed_at: Ms) -> bool {
    now.since(renewed_at) > LEASE_EXPIRY
}

/// The latest time at which a VM that left this entry's list at `missing_since` may have been
/// renewed. The former owner, whose list may be older by up to `max_lag`, renewed it until the
/// takeover at `acquired_at`.
#[must_use]
pub fn last_renewal(missing_since: Ms, acquired_at: Ms, max_lag: Ms) -> Ms {
    missing_since.max(acquired_at.min(missing_since + max_lag))
}

/// A group whose workers this entry commands.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The epoch under which its workers are commanded.
    pub epoch: Epoch,
    /// The basis of the command.
    pub authority: Authority,
    /// When this entry began to command the group.
    pub acquired_at: Ms,
    /// Whether the group had no row before, so that nobody ever owned it.
    pub fresh: bool,
    /// Whether the tasks of old pieces are frozen, because a worker may run them unreported.
    pub frozen: bool,
    /// Whether the group was acquired, or its row confirmed the epoch, since the last pause of this
    /// entry.
    pub confirmed: bool,
    /// The state of its workers, by VM name.
    pub workers: BTreeMap<Name, Adoption>,
    /// When to scan its stored work next.
    pub next_scan: Ms,
    /// Whether a scan is under way.
    pub scanning: bool,
    /// Whether a scan was completed since the group was acquired.
    pub scanned: bool,
    /// The keys of rows that every scan so far passed over, because this entry was writing them.
    pub passed_over: BTreeSet<String>,
}

impl Holding {
    /// Creates the state of a group that was just acquired.
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
            passed_over: BTreeSet::new(),
        }
    }

    /// Replaces the epoch of a group that was handed over directly, once its row names this entry.
    pub fn confirm_by_row(&mut self, now: Ms, epoch: Epoch) {
        self.epoch = epoch;
        self.authority = Authority::Row;
        self.next_scan = now;
        for adoption in self.workers.values_mut() {
            adoption.target_epoch = epoch;
            adoption.next_send = now;
        }
    }

    /// Whether every worker left the platform's list so long ago that its leases have expired.
    #[must_use]
    pub fn all_leases_expired(&self, now: Ms) -> bool {
        let mut workers = self.workers.values();
        workers.all(|adoption| {
            adoption
                .missing_since
                .is_some_and(|since| leases_expired(now, since))
        })
    }

    /// Whether any worker may still run tasks of old pieces without being reported.
    #[must_use]
    pub fn is_unfreeze_blocked(&self, now: Ms) -> bool {
        self.workers
            .values()
            .any(|adoption| adoption.is_blocking_unfreeze(now))
    }
}
