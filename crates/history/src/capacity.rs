//! Checks that no VM is assigned more tasks and requests than its capacity and slots allow.

use std::collections::BTreeMap;

use decision::name::Name;
use decision::resource::Size;

use crate::Check;
use crate::Event;
use crate::Fact;
use crate::Log;
use crate::Violation;

/// The work of one worker, with the event that started each item.
#[derive(Default)]
struct Load<'a> {
    /// The capacity of the VM without what is reserved for services.
    available: Size,
    slots: usize,
    /// The grants, by task and attempt.
    tasks: BTreeMap<(&'a Name, u32), (Size, &'a Event)>,
    /// The requests in progress, by the id of the attempt.
    runs: BTreeMap<&'a str, &'a Event>,
}

impl<'a> Load<'a> {
    fn check_grants(&self) -> Option<Violation> {
        let sum = |field: fn(Size) -> u32| -> u64 {
            let sizes = self.tasks.values().map(|(size, _)| u64::from(field(*size)));
            sizes.sum()
        };
        let within = |field: fn(Size) -> u32| sum(field) <= u64::from(field(self.available));
        let fits =
            within(|s| s.millicores) && within(|s| s.memory_mb) && within(|s| s.accelerators);
        let events = self.tasks.values().map(|(_, event)| *event);
        (!fits).then(|| Violation::new(Check::Capacity, "grants exceed the capacity", events))
    }

    fn check_runs(&self) -> Option<Violation> {
        let events = self.runs.values().copied();
        let reason = "more requests than slots";
        (self.runs.len() > self.slots).then(|| Violation::new(Check::Capacity, reason, events))
    }

    fn apply(&mut self, event: &'a Event) -> Option<Violation> {
        match &event.fact {
            Fact::Worker {
                capacity,
                reserved,
                slots,
                ..
            } => {
                self.available = capacity.minus(*reserved);
                self.slots = *slots as usize;
                None
            }
            Fact::WorkerCrashed { .. } => {
                self.tasks.clear();
                self.runs.clear();
                None
            }
            Fact::Overfull { .. } => {
                let reason = "work was sent to a worker without room";
                Some(Violation::new(Check::Capacity, reason, [event]))
            }
            Fact::TaskStarted {
                task,
                attempt,
                grant,
                ..
            } => {
                self.tasks.insert((task, *attempt), (*grant, event));
                self.check_grants()
            }
            Fact::TaskEnded { task, attempt, .. } => {
                self.tasks.remove(&(task, *attempt));
                None
            }
            Fact::RunStarted { id, .. } => {
                self.runs.insert(id, event);
                self.check_runs()
            }
            Fact::RunEnded { id, .. } => {
                self.runs.remove(id.as_str());
                None
            }
            _ => None,
        }
    }
}

/// Replays the log and reports each moment at which a worker's grants exceed its capacity or its
/// requests exceed its slots.
pub fn capacity(log: &Log) -> Vec<Violation> {
    let mut loads: BTreeMap<&Name, Load<'_>> = BTreeMap::new();
    let events = log.events().iter();
    events
        .filter_map(|event| loads.entry(vm_of(&event.fact)?).or_default().apply(event))
        .collect()
}

const fn vm_of(fact: &Fact) -> Option<&Name> {
    match fact {
        Fact::Worker { vm, .. }
        | Fact::WorkerCrashed { vm }
        | Fact::Overfull { vm, .. }
        | Fact::TaskStarted { vm, .. }
        | Fact::TaskEnded { vm, .. }
        | Fact::RunStarted { vm, .. }
        | Fact::RunEnded { vm, .. } => Some(vm),
        _ => None,
    }
}
