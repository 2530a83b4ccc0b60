//! The configuration in force at an entry: its version, its renewal from the table and from peers,
//! and its comparison with a new one.

use std::sync::Arc;

use crate::clock::Ms;
use crate::config::Checked;
use crate::config::Document;
use crate::config::Version;
use crate::name::Name;
use crate::record;

/// The key of the row that holds the newest configuration.
pub const KEY: &str = "config";
/// The interval between reads of the row.
pub const READ_INTERVAL: Ms = Ms(2_000);
/// How long a call waits for entries to confirm a new version.
pub const CONFIRM_TIMEOUT: Ms = Ms(2_500);

/// The key of a version's history row. Numbers are padded so that rows sort by version.
#[must_use]
pub fn history_key(version: Version) -> String {
    format!("config/{:020}", version.0)
}

/// The configuration in force at this entry. Its version never falls.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    current: Option<(Version, Arc<Checked>)>,
    next_read: Ms,
    reading: bool,
    unconfirmed: bool,
    decode_error: Option<record::Error>,
}

impl Rollout {
    /// The version in force, 0 before the first configuration.
    #[must_use]
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version(0), |(version, _)| *version)
    }

    /// The configuration in force, or `None` before the first one.
    #[must_use]
    pub fn checked(&self) -> Option<&Arc<Checked>> {
        self.current.as_ref().map(|(_, checked)| checked)
    }

    /// The error of the last read if the row could not be decoded.
    #[must_use]
    pub const fn decode_error(&self) -> Option<&record::Error> {
        self.decode_error.as_ref()
    }

    /// Whether this entry may accept new work: it has a configuration and, after a pause, has
    /// confirmed again that it is the newest.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.current.is_some() && !self.unconfirmed
    }

    /// Requires a new read before new work is accepted.
    pub const fn require_read(&mut self) {
        self.unconfirmed = true;
        self.next_read = Ms::ZERO;
        // A read that began before the pause does not count.
        self.reading = false;
    }

    /// Makes the next read due at once.
    pub const fn read_soon(&mut self) {
        self.next_read = Ms::ZERO;
    }

    /// Whether the row is due to be read. If so, the read counts as begun.
    pub fn begin_read(&mut self, now: Ms) -> bool {
        let due = !self.reading && now >= self.next_read;
        if due {
            self.reading = true;
            self.next_read = now + READ_INTERVAL;
        }
        due
    }

    /// Handles a failed read, which is to be repeated at once.
    pub const fn read_failed(&mut self) {
        self.reading = false;
        self.next_read = Ms::ZERO;
    }

    /// Applies the value of the row that a read found, or `None` if there is no row. Returns
    /// whether the configuration in force changed.
    pub fn apply_row(&mut self, value: Option<&[u8]>) -> bool {
        self.reading = false;
        let Some(value) = value else {
            self.decode_error = None;
            self.unconfirmed = false;
            return self.apply(Version(0), Document::default());
        };
        match record::decode::<record::Config>(value) {
            Ok(found) => {
                self.decode_error = None;
                self.unconfirmed = false;
                self.apply(found.version, found.document)
            }
            Err(error) => {
                self.decode_error = Some(error);
                false
            }
        }
    }

    /// Applies a configuration from the row or a peer if it is valid and newer. Returns whether it
    /// came into force. A message from a peer may have been delayed, so after a pause it does not
    /// confirm the configuration.
    pub fn apply(&mut self, version: Version, document: Document) -> bool {
        let Ok(checked) = Checked::try_from(document) else {
            return false;
        };
        if self.current.is_some() && version <= self.version() {
            return false;
        }
        self.current = Some((version, Arc::new(checked)));
        true
    }

    /// Handles the version that a peer reported after the last pause. A newer version makes a read
    /// due; otherwise the configuration in force is confirmed.
    pub fn observe_peer_version(&mut self, version: Version) {
        if version > self.version() {
            self.read_soon();
        } else if self.current.is_some() {
            self.unconfirmed = false;
        }
    }
}

/// Describes the items in which two configurations differ, one line each.
#[must_use]
pub fn difference(old: &Document, new: &Document) -> Vec<String> {
    let mut changes = Vec::new();
    push_changes(
        "service",
        &old.services,
        &new.services,
        |service| &service.name,
        &mut changes,
    );
    push_changes(
        "team",
        &old.teams,
        &new.teams,
        |team| &team.name,
        &mut changes,
    );
    let limits = [
        ("retries", old.limits.retries, new.limits.retries),
        ("hedges", old.limits.hedges, new.limits.hedges),
        ("evictions", old.limits.evictions, new.limits.evictions),
        ("slowdown", old.limits.slowdown, new.limits.slowdown),
    ];
    for (name, before, after) in limits {
        if before != after {
            changes.push(format!("limit {name}: {before} -> {after}"));
        }
    }
    changes
}

fn push_changes<T: PartialEq>(
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &Name,
    changes: &mut Vec<String>,
) {
    for after in new {
        match old.iter().find(|before| name(before) == name(after)) {
            None => changes.push(format!("{kind} {}: added", name(after))),
            Some(before) if before != after => {
                changes.push(format!("{kind} {}: changed", name(after)));
            }
            Some(_) => {}
        }
    }
    let removed = old
        .iter()
        .filter(|before| !new.iter().any(|after| name(after) == name(before)));
    changes.extend(removed.map(|before| format!("{kind} {}: removed", name(before))));
}
