//! When an entry takes the lead over.
//!
//! The leader writes a beat with the store's steady clock. Only a reader of the store can judge its
//! age, so an entry that is cut off from the leader alone does not depose it, and a leader that the
//! store does not serve is replaced.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::id::Epoch;

/// The interval of the leader's beats in the store.
pub const BEAT_INTERVAL: Ms = Ms(600);
/// The age of a beat at which the leader counts as gone.
const STALE_AFTER: Ms = Ms(2_000);
/// How long a stale beat must stay unchanged while the store serves, so that a leader has the time
/// to write one after an outage.
pub const UNCHANGED_TIMEOUT: Ms = Ms(900);
/// The interval of checks while the leader is not heard.
pub const CHECK_INTERVAL: Ms = Ms(150);
/// The silence of a leader after which its beat in the store is checked.
pub const SILENCE_TIMEOUT: Ms = Ms(1_000);

/// A share of a processor that leads a large fleet without being late.
const LARGE_FLEET_SHARE: f64 = 0.2;
/// A share of a processor that leads a small fleet without being late.
const SMALL_FLEET_SHARE: f64 = 0.1;

/// How long an entry leaves the lead to stronger ones before it runs itself.
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

/// The row that names the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The entry; `None` after it resigned.
    pub entry: Option<Name>,
    /// One life of its process.
    pub instance: u64,
    /// Where agents connect.
    pub address: Arc<str>,
}

impl Record {
    /// Whether this life of an entry's process holds the record.
    #[must_use]
    pub fn is_held_by(&self, entry: &Name, instance: u64) -> bool {
        self.entry.as_ref() == Some(entry) && self.instance == instance
    }
}

/// What the store says about the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The row with its version.
    pub record: Option<(Epoch, Record)>,
    /// The age of the last beat of this epoch by the store's clock; `None` when there is none.
    pub beat_age: Option<Ms>,
    /// How long this entry has seen the same beat while the store served it.
    pub unchanged: Ms,
    /// The leader's address refuses connections, or another process answers there.
    pub is_vacant: bool,
}

/// Whether this entry should try to become the leader.
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
    let is_stale = view.beat_age.is_some_and(|age| age >= STALE_AFTER);
    view.is_vacant || is_stale && view.unchanged >= UNCHANGED_TIMEOUT
}

/// Follows the beat of the leader over several reads of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observer {
    /// The version of the beat, and when it was read first.
    beat: Option<(u64, Ms)>,
    /// When the store was read last.
    read: Ms,
}

/// A longer pause between two reads hides what happened meanwhile.
const MAX_READ_GAP: Ms = Ms(1_200);

impl Observer {
    /// Takes in a read and returns how long the beat has been seen unchanged.
    pub fn observe(&mut self, now: Ms, version: u64) -> Ms {
        let is_gap = now.since(self.read) > MAX_READ_GAP;
        self.read = now;
        match self.beat {
            Some((seen, since)) if seen == version && !is_gap => now.since(since),
            _ => {
                self.beat = Some((version, now));
                Ms::ZERO
            }
        }
    }
}
