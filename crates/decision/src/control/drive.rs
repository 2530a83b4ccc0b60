//! Events to the board and its orders.

use std::collections::VecDeque;

use super::Action;
use super::Machine;
use crate::group::Right;
use crate::name::Name;
use crate::place;
use crate::place::Order;
use crate::step::Step;
use crate::worker::Epoch;
use crate::worker::Outcome;
use crate::worker::Verb;

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Gives the board an event, and carries out its orders.
    pub(super) fn drive(&mut self, event: place::Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for order in self.board.step(self.now, event) {
                events.extend(self.order(order));
            }
        }
    }

    fn order(&mut self, order: Order) -> Option<place::Event> {
        match order {
            Order::Command { id, vm, verb } => {
                let Some((group, epoch)) = self.permitted(&vm, &verb) else {
                    return Some(place::Event::Ended(id, Outcome::Unsent));
                };
                let operation = self.id();
                self.command(operation, group, vm, epoch, verb, Some(id));
            }
            Order::Store(piece) => self.dirtied(&piece),
            Order::Surplus(piece) => self.offer(piece),
            Order::Slowdown(vm, percent) => {
                self.slowdown.insert(vm, percent);
                self.retarget = true;
            }
            Order::Note(note) => self.out.push(Action::Note(note)),
        }
        None
    }

    /// Under which epoch a worker may be sent this now. A start needs a proven ownership by the
    /// table and a configuration that is not in doubt.
    fn permitted(&self, vm: &str, verb: &Verb) -> Option<(Name, Epoch)> {
        let group = self.group_of(vm)?;
        let held = self.held.get(&group)?;
        let adoption = held.workers.get(vm)?;
        let epoch = adoption.epoch()?;
        if adoption.gone.is_some() {
            return None;
        }
        if matches!(verb, Verb::Start { .. }) {
            let proven = held.proven || adoption.proven;
            let entitled = held.right == Right::Row && self.stopping.is_none();
            if !proven || !entitled || !self.rollout.ready() {
                return None;
            }
        }
        Some((group, epoch))
    }

    fn group_of(&self, vm: &str) -> Option<Name> {
        let listed = self.fleet.vms.get(vm);
        let gone = || self.fleet.gone.get(vm).map(|(vm, _)| vm);
        listed.or_else(gone).map(|vm| vm.group.clone())
    }
}
