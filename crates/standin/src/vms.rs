//! A model of the platform's list of VMs, which is published with a delay.

use std::collections::VecDeque;

use decision::clock::Ms;
use decision::vm::State;
use decision::vm::Vm;

/// The current list and its published versions.
#[derive(Debug, Default)]
pub struct Model {
    lag: Ms,
    current: Vec<Vm>,
    /// Versions of the list with the times from which they are visible, oldest first.
    published: VecDeque<(Ms, Vec<Vm>)>,
}

impl Model {
    /// Creates a list that publishes each change `lag` later. The initial contents are visible
    /// immediately.
    #[must_use]
    pub fn new(lag: Ms, vms: Vec<Vm>) -> Self {
        let published = VecDeque::from([(Ms::ZERO, vms.clone())]);
        Self {
            lag,
            current: vms,
            published,
        }
    }

    /// Changes the state of a VM: live or leaving.
    pub fn mark(&mut self, now: Ms, name: &str, state: State) {
        for vm in self.current.iter_mut().filter(|vm| &*vm.name == name) {
            vm.state = state;
        }
        self.publish(now);
    }

    /// Removes a VM from the current list.
    pub fn remove(&mut self, now: Ms, name: &str) {
        self.current.retain(|vm| &*vm.name != name);
        self.publish(now);
    }

    /// Adds a VM to the current list.
    pub fn add(&mut self, now: Ms, vm: Vm) {
        self.current.push(vm);
        self.publish(now);
    }

    /// Returns the published list at `now`, which must not decrease between calls.
    pub fn list(&mut self, now: Ms) -> &[Vm] {
        while self.published.get(1).is_some_and(|(due, _)| *due <= now) {
            self.published.pop_front();
        }
        self.published.front().map_or(&[], |(_, vms)| vms)
    }

    /// Returns when a VM is first published as leaving or removed, if that is already scheduled.
    #[must_use]
    pub fn leaves(&self, name: &str) -> Option<Ms> {
        let stays = |vms: &[Vm]| {
            vms.iter()
                .any(|vm| &*vm.name == name && vm.state == State::Live)
        };
        self.published
            .iter()
            .find(|(_, vms)| !stays(vms))
            .map(|(due, _)| *due)
    }

    fn publish(&mut self, now: Ms) {
        self.published
            .push_back((now + self.lag, self.current.clone()));
    }
}
