//! Targets that leave and entries that stop.

use std::collections::BTreeMap;

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

/// New work may still reach a VM for so long after it was shown as leaving.
const LEAVING: Ms = Ms(3_000);

/// A VM receives no new work 3 s after the VM list showed it as leaving, or after an operator's
/// drain was accepted.
pub fn leaving(log: &Log) -> Vec<Violation> {
    let mut left: BTreeMap<&Name, &Event> = BTreeMap::new();
    let mut drained: BTreeMap<&Name, &Event> = BTreeMap::new();
    let mut drains: BTreeMap<&Name, (&Name, bool)> = BTreeMap::new();
    let mut found = Vec::new();
    for event in log.events() {
        match &event.fact {
            Fact::Listed { vm, leaving } => note(&mut left, vm, *leaving, event),
            Fact::Called { call } => {
                if let Action::Drain { vm, leave } = &call.action {
                    drains.insert(&call.id, (vm, *leave));
                    // A return to service may take effect before its reply arrives.
                    if !leave {
                        drained.remove(vm);
                    }
                }
            }
            Fact::Replied {
                call,
                reply: Reply::Accepted,
            } => {
                if let Some((vm, leave)) = drains.get(call) {
                    note(&mut drained, vm, *leave, event);
                }
            }
            Fact::RunStarted { vm, .. } | Fact::TaskStarted { vm, .. } => {
                let since = [left.get(vm), drained.get(vm)];
                let late = since.into_iter().flatten();
                let mut late = late.filter(|since| event.at > since.at + LEAVING);
                if let Some(since) = late.next() {
                    let reason = "a leaving worker received new work";
                    found.push(Violation::new(Check::Leaving, reason, [*since, event]));
                }
            }
            _ => {}
        }
    }
    found
}

fn note<'a>(
    left: &mut BTreeMap<&'a Name, &'a Event>,
    vm: &'a Name,
    leaving: bool,
    event: &'a Event,
) {
    if leaving {
        left.entry(vm).or_insert(event);
    } else {
        left.remove(vm);
    }
}

/// No sending that an entry had when its planned stop began ends without an outcome.
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
