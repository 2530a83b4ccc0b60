//! Model of the platform's list of VMs, which lags behind the current.

use std::collections::VecDeque;

use decision::clock::Ms;
use decision::vm::State;
use decision::vm::Vm;

/// The true list and what is published of it.
#[derive(Debug, Default)]
pub struct Model {
    lag: Ms,
    current: Vec<Vm>,
    published: VecDeque<(Ms, Vec<Vm>)>,
}

impl Model {
    /// A list that publishes each change `lag` later; the first contents are published at once.
    #[must_use]
    pub fn new(lag: Ms, vms: Vec<Vm>) -> Self {
        let published = VecDeque::from([(Ms::ZERO, vms.clone())]);
        Self {
            lag,
            current: vms,
            published,
        }
    }

    /// Changes whether a VM stays.
    pub fn mark(&mut self, now: Ms, name: &str, state: State) {
        for vm in self.current.iter_mut().filter(|vm| &*vm.name == name) {
            vm.state = state;
        }
        self.publish(now);
    }

    /// Removes a VM.
    pub fn remove(&mut self, now: Ms, name: &str) {
        self.current.retain(|vm| &*vm.name != name);
        self.publish(now);
    }

    /// Adds a VM.
    pub fn add(&mut self, now: Ms, vm: Vm) {
        self.current.push(vm);
        self.publish(now);
    }

    /// What the list says at `now`.
    pub fn list(&mut self, now: Ms) -> &[Vm] {
        while self.published.get(1).is_some_and(|(due, _)| *due <= now) {
            self.published.pop_front();
        }
        self.published.front().map_or(&[], |(_, vms)| vms)
    }

    /// When the list first says that a VM leaves or is gone, if that is already scheduled.
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
