//! Decides when an entry tries to take over the lead.
//!
//! The leader writes a heartbeat with the time of the store's monotonic clock, and only a reader of
//! the store can judge the age of the heartbeat. An entry that is merely cut off from the leader
//! therefore does not depose it, and a leader that cannot reach the store is replaced.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;

/// The interval at which the leader writes heartbeats to the store. It is shorter than [`CERTAINTY`],
/// so that new jobs do not wait.
pub const HEARTBEAT_INTERVAL: Ms = Ms(300);
/// The age of a heartbeat at which the leader counts as lost.
const STALE_AFTER: Ms = Ms(2_000);
/// The time for which a stale heartbeat must stay unchanged while the store serves this entry. It
/// gives a leader the time to write a heartbeat after an outage of the store.
pub const UNCHANGED_TIMEOUT: Ms = Ms(900);
/// The time for which the heartbeat of a leader whose address refuses connections must stay
/// unchanged, because a leader that is alive may be unreachable for this entry alone.
const VACANT_TIMEOUT: Ms = Ms(450);
/// The time after a confirmed write in which no other entry can take the lead, since it must observe
/// the heartbeat unchanged for longer. The difference covers late timers.
pub const CERTAINTY: Ms = Ms(VACANT_TIMEOUT.0 - 100);
/// The interval at which an entry without a connection to the leader checks the store.
pub const CHECK_INTERVAL: Ms = Ms(150);
/// The time without a message from the leader after which its heartbeat in the store is checked.
pub const SILENCE_TIMEOUT: Ms = Ms(1_000);

/// The share of a processor that suffices to lead a large fleet without delays.
const LARGE_FLEET_SHARE: f64 = 0.2;
/// The share of a processor that suffices to lead a small fleet without delays.
const SMALL_FLEET_SHARE: f64 = 0.1;

/// Returns the time for which an entry waits before it tries to become the leader, so that entries
/// with more processor time come first.
#[must_use]
pub fn candidacy_delay(processor_share: f64) -> Ms {
    if processor_share >= LARGE_FLEET_SHARE {
        Ms::ZERO
    } else if processor_share >= SMALL_FLEET_SHARE {
        Ms(120)
    } else {
        Ms(400)
    }
}

/// The row of the store that names the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The name of the leader's entry; absent after the leader resigned.
    pub entry: Option<Name>,
    /// The instance of the leader's process; a restarted process has another one.
    pub instance: u64,
    /// The address to which agents connect, as `host:port`.
    pub address: Arc<str>,
}

impl Record {
    /// Returns whether this instance of an entry's process holds the lead.
    #[must_use]
    pub fn is_held_by(&self, entry: &Name, instance: u64) -> bool {
        self.entry.as_ref() == Some(entry) && self.instance == instance
    }
}

/// The state of the leader as an entry reads it from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The row with its version; absent if there never was a leader.
    pub record: Option<(Epoch, Record)>,
    /// The age of the leader's last heartbeat by the store's clock; absent if there is none.
    pub heartbeat_age: Option<Ms>,
    /// The time for which this entry has observed the same heartbeat while the store served it.
    pub unchanged: Ms,
    /// The leader's address refuses connections, or another process answers there.
    pub is_vacant: bool,
}

/// Returns whether this entry should try to become the leader.
#[must_use]
pub fn should_campaign(view: &View, entry: &Name, instance: u64) -> bool {
    let Some((_, record)) = &view.record else {
        return true;
    };
    let Some(holder) = &record.entry else {
        return true;
    };
    if holder == entry {
        return record.instance != instance;
    }
    let is_stale = view.heartbeat_age.is_some_and(|age| age >= STALE_AFTER);
    view.is_vacant && view.unchanged >= VACANT_TIMEOUT
        || is_stale && view.unchanged >= UNCHANGED_TIMEOUT
}

/// Returns whether this entry should go on reading the leader's rows instead of following the
/// leader, because the heartbeat is stale and may stay unchanged. An attempt to follow a leader that
/// is frozen takes longer than [`MAX_READ_GAP`].
#[must_use]
pub fn should_observe(view: &View) -> bool {
    let is_led = view
        .record
        .as_ref()
        .is_some_and(|(_, record)| record.entry.is_some());
    let is_stale = view.heartbeat_age.is_some_and(|age| age >= STALE_AFTER);
    is_led && is_stale && view.unchanged < UNCHANGED_TIMEOUT
}

/// Observes the heartbeat of the leader over several reads of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observer {
    /// The version of the heartbeat, and the time when it was first read.
    heartbeat: Option<(u64, Ms)>,
    /// The time of the last read.
    read: Ms,
}

/// A longer pause between two reads counts as an interruption, because changes in between are not
/// observed.
const MAX_READ_GAP: Ms = Ms(1_200);

impl Observer {
    /// Records a read of the heartbeat and returns the time for which it has been observed
    /// unchanged.
    pub fn observe(&mut self, now: Ms, version: u64) -> Ms {
        let is_gap = now.since(self.read) > MAX_READ_GAP;
        self.read = now;
        match self.heartbeat {
            Some((seen, since)) if seen == version && !is_gap => now.since(since),
            _ => {
                self.heartbeat = Some((version, now));
                Ms::ZERO
            }
        }
    }
}
