//! Compares the configuration versions that the table stored with those in force at entries.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Reply;

use crate::Check;
use crate::Event;
use crate::Fact;
use crate::Log;
use crate::Violation;
use crate::fact::Life;

/// An accepted configuration has to be in force at every entry within this time.
const IN_FORCE_LIMIT: Ms = Ms(3_000);

/// Checks that versions only rise, that each accepted version is stored and is accepted once, and
/// that it is in force within 3 s at every entry that runs without interruption while the store is
/// healthy.
pub fn config(log: &Log) -> Vec<Violation> {
    let mut found = find_reverted_versions(log);
    found.extend(find_storage_violations(log));
    found.extend(find_overdue_versions(log));
    found
}

fn find_reverted_versions(log: &Log) -> Vec<Violation> {
    let mut stored: Option<(Version, &Event)> = None;
    let mut in_force: BTreeMap<&Name, (Version, &Event)> = BTreeMap::new();
    let mut found = Vec::new();
    let reason = "a configuration version went back";
    for event in log.events() {
        let (version, before) = match &event.fact {
            Fact::Stored { version } => (*version, stored.replace((*version, event))),
            Fact::InForce { entry, version } => {
                (*version, in_force.insert(entry, (*version, event)))
            }
            Fact::Entry {
                entry,
                life: Life::Started,
            } => {
                in_force.remove(entry);
                continue;
            }
            _ => continue,
        };
        if let Some((_, other)) = before.filter(|(other, _)| *other > version) {
            found.push(Violation::new(Check::Config, reason, [other, event]));
        }
    }
    found
}

fn find_storage_violations(log: &Log) -> Vec<Violation> {
    let mut stored = BTreeMap::new();
    let mut accepted: BTreeMap<Version, (&Name, &Event)> = BTreeMap::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::Stored { version } => {
                if let Some(other) = stored.insert(*version, event) {
                    let reason = "a configuration version was stored twice";
                    found.push(Violation::new(Check::Config, reason, [other, event]));
                }
            }
            Fact::Replied {
                call,
                reply: Reply::Configured { version, .. },
            } => {
                if !stored.contains_key(version) {
                    let reason = "an accepted configuration is not stored";
                    found.push(Violation::new(Check::Config, reason, [event]));
                }
                let before = accepted.insert(*version, (call, event));
                if let Some((_, other)) = before.filter(|(other, _)| *other != call) {
                    let reason = "two changes were accepted as the same version";
                    found.push(Violation::new(Check::Config, reason, [other, event]));
                }
            }
            _ => {}
        }
    }
    found
}

/// The state of one entry and the versions that have to come into force there.
#[derive(Default)]
struct Entry<'a> {
    running: bool,
    /// The version in force.
    version: Version,
    /// Versions with their deadlines and the events that stored them, oldest first.
    waiting: Vec<(Version, Ms, &'a Event)>,
}

impl<'a> Entry<'a> {
    fn take_overdue(&mut self, now: Ms) -> Option<&'a Event> {
        let version = self.version;
        self.waiting.retain(|(waiting, ..)| *waiting > version);
        let index = self.waiting.iter().position(|(_, due, _)| now > *due)?;
        Some(self.waiting.remove(index).2)
    }

    fn clear_deadlines(&mut self) {
        self.waiting.clear();
    }
}

/// All entries and the state of the store.
///
/// When the store becomes healthy again, the deadlines of versions that are not yet in force start
/// anew, because the push of the accepting entry may have been lost and polling failed until then.
#[derive(Default)]
struct Fleet<'a> {
    entries: BTreeMap<&'a Name, Entry<'a>>,
    healthy: bool,
    stored: Option<(Version, &'a Event)>,
}

impl<'a> Fleet<'a> {
    fn expect_newest(&mut self, now: Ms) {
        let Some((version, event)) = self.stored.filter(|_| self.healthy) else {
            return;
        };
        for entry in self.entries.values_mut() {
            let is_expected = |(waiting, ..): &(Version, Ms, &Event)| *waiting == version;
            if entry.running && entry.version < version && !entry.waiting.iter().any(is_expected) {
                entry.waiting.push((version, now + IN_FORCE_LIMIT, event));
            }
        }
    }

    fn apply_life(&mut self, name: &'a Name, life: Life) {
        let entry = self.entries.entry(name).or_default();
        entry.clear_deadlines();
        entry.running = matches!(life, Life::Started | Life::Resumed);
        if life == Life::Started {
            entry.version = Version::default();
        }
    }

    fn apply(&mut self, event: &'a Event) {
        match &event.fact {
            Fact::Store { healthy } => {
                self.healthy = *healthy;
                self.entries.values_mut().for_each(Entry::clear_deadlines);
            }
            Fact::Stored { version } => self.stored = Some((*version, event)),
            Fact::Entry { entry, life } => self.apply_life(entry, *life),
            Fact::InForce { entry, version } => {
                self.entries.entry(entry).or_default().version = *version;
                return;
            }
            _ => return,
        }
        self.expect_newest(event.at);
    }
}

fn find_overdue_versions(log: &Log) -> Vec<Violation> {
    let mut fleet = Fleet {
        healthy: true,
        ..Fleet::default()
    };
    let mut found = Vec::new();
    for event in log.events() {
        for (name, entry) in &mut fleet.entries {
            if let Some(stored) = entry.take_overdue(event.at) {
                let reason = format!("the configuration is not in force at {name} in time");
                found.push(Violation::new(Check::Config, &reason, [stored, event]));
            }
        }
        fleet.apply(event);
    }
    found
}
