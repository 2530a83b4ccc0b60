//! Checks that leaving targets receive no new work and that planned stops lose no requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Reply;

use crate::Check;
use crate::Event;
use crate::Fact;
use crate::Log;
use crate::Violation;
use crate::fact::Life;

/// The time after the first sign that a VM is leaving during which new work may still reach it.
const LEAVING_GRACE: Ms = Ms(3_000);

/// The drain calls of operators for one VM.
#[derive(Default)]
struct Drain<'a> {
    /// The latest call that drains the VM; absent after a later call returns it to service.
    call: Option<&'a Name>,
    /// Calls that return the VM to service and have no reply yet. They may take effect at any time.
    pending_returns: BTreeSet<&'a Name>,
    /// The event at which `call` was first accepted.
    since: Option<&'a Event>,
}

impl<'a> Drain<'a> {
    fn record_call(&mut self, call: &'a Name, leave: bool) {
        self.since = None;
        self.call = leave.then_some(call);
        if !leave {
            self.pending_returns.insert(call);
        }
    }

    /// Records a reply. An accepted drain counts only if no pending return to service may undo it.
    fn record_reply(&mut self, call: &'a Name, accepted: bool, event: &'a Event) {
        if accepted && self.call == Some(call) && self.pending_returns.is_empty() {
            self.since.get_or_insert(event);
        }
        self.pending_returns.remove(call);
    }
}

/// Checks that a VM receives no new work later than 3 s after the VM list showed it as leaving or
/// after an operator's drain was first accepted.
pub fn leaving(log: &Log) -> Vec<Violation> {
    let mut listed_leaving: BTreeMap<&Name, &Event> = BTreeMap::new();
    let mut drains: BTreeMap<&Name, Drain<'_>> = BTreeMap::new();
    let mut calls: BTreeMap<&Name, &Name> = BTreeMap::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::Listed { vm, leaving: true } => {
                listed_leaving.entry(vm).or_insert(event);
            }
            Fact::Listed { vm, leaving: false } => {
                listed_leaving.remove(vm);
            }
            Fact::Called { call } => {
                if let Action::Drain { vm, leave } = &call.action {
                    calls.insert(&call.id, vm);
                    drains.entry(vm).or_default().record_call(&call.id, *leave);
                }
            }
            Fact::Replied { call, reply } => {
                let accepted = *reply == Reply::Accepted;
                let drain = calls.get(call).and_then(|vm| drains.get_mut(vm));
                if let Some(drain) = drain.filter(|_| *reply != Reply::Unknown) {
                    drain.record_reply(call, accepted, event);
                }
            }
            Fact::RunStarted { vm, .. } | Fact::TaskStarted { vm, .. } => {
                let drained = drains.get(vm).and_then(|drain| drain.since);
                let mut since = [listed_leaving.get(vm).copied(), drained]
                    .into_iter()
                    .flatten();
                let late = |since: &&Event| event.at > since.at + LEAVING_GRACE;
                if let Some(since) = since.find(late) {
                    let reason = "a leaving worker received new work";
                    found.push(Violation::new(Check::Leaving, reason, [since, event]));
                }
            }
            _ => {}
        }
    }
    found
}

/// Checks that every sending that an entry held when its planned stop began ends with an outcome.
pub fn graceful_stop(log: &Log) -> Vec<Violation> {
    let mut stopping: BTreeMap<&Name, &Event> = BTreeMap::new();
    let mut sendings: BTreeMap<(u64, u32), (&Name, &Event)> = BTreeMap::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::Entry { entry, life } => match life {
                Life::Stopping => {
                    stopping.insert(entry, event);
                }
                Life::Started | Life::Crashed => {
                    stopping.remove(entry);
                }
                Life::Exited | Life::Paused | Life::Resumed => {}
            },
            Fact::Sent {
                request,
                sending,
                entry,
                ..
            } => {
                sendings.insert((*request, *sending), (entry, event));
            }
            Fact::Received {
                request,
                sending,
                outcome,
            } => {
                let Some((entry, sent)) = sendings.remove(&(*request, *sending)) else {
                    continue;
                };
                let stop = stopping.get(entry).filter(|stop| sent.at < stop.at);
                if let (None, Some(stop)) = (outcome, stop) {
                    let reason = "a planned stop cut off a request in flight";
                    let events = [sent, *stop, event];
                    found.push(Violation::new(Check::GracefulStop, reason, events));
                }
            }
            _ => {}
        }
    }
    found
}
