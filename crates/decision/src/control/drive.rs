//! Passes events to the board and executes the orders that it returns.

use std::collections::VecDeque;

use super::Action;
use super::Machine;
use crate::group::Authority;
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
    /// Passes an event to the board and executes its orders, with the events that follow from them.
    pub(super) fn drive(&mut self, event: place::Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for order in self.board.step(self.now, event) {
                events.extend(self.execute_order(order));
            }
        }
    }

    fn execute_order(&mut self, order: Order) -> Option<place::Event> {
        match order {
            Order::Command { id, vm, verb } => {
                let Some((group, epoch)) = self.permitted_epoch(&vm, &verb) else {
                    return Some(place::Event::Ended(id, Outcome::Unsent));
                };
                let operation = self.next_id();
                self.send_command(operation, group, vm, epoch, verb, Some(id));
            }
            Order::Store(piece) => self.mark_dirty(&piece),
            Order::Surplus(piece) => self.queue_surplus(piece),
            Order::Slowdown(vm, percent) => {
                self.slowdown.insert(vm, percent);
                self.targets_changed = true;
            }
            Order::Note(note) => self.actions.push(Action::Note(note)),
        }
        None
    }

    /// The epoch under which a worker may be sent this command now, if it may. A start requires a
    /// confirmed ownership by the group's row and a confirmed configuration.
    fn permitted_epoch(&self, vm: &str, verb: &Verb) -> Option<(Name, Epoch)> {
        let group = self.group_of(vm)?;
        let held = self.held.get(&group)?;
        let adoption = held.workers.get(vm)?;
        let epoch = adoption.epoch()?;
        if adoption.missing_since.is_some() {
            return None;
        }
        if matches!(verb, Verb::Start { .. }) {
            let confirmed = held.confirmed || adoption.confirmed;
            let entitled = held.authority == Authority::Row && self.stopping.is_none();
            if !confirmed || !entitled || !self.rollout.is_ready() {
                return None;
            }
        }
        Some((group, epoch))
    }

    fn group_of(&self, vm: &str) -> Option<Name> {
        let listed = self.fleet.vms.get(vm);
        let missing = || self.fleet.missing.get(vm).map(|(vm, _)| vm);
        listed.or_else(missing).map(|vm| vm.group.clone())
    }
}
