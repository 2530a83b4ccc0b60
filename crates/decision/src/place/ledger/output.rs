//! What a step of the ledger puts out: signals to the policy, and orders.

use super::Ledger;
use super::Purpose;
use super::Signal;
use crate::place::Id;
use crate::place::Order;
use crate::timeline::Kind;
use crate::timeline::Note;
use crate::worker::Verb;

impl Ledger {
    pub(in crate::place) fn command(&mut self, worker: u32, verb: Verb, purpose: Purpose) {
        self.last_id += 1;
        let id = Id(self.last_id);
        self.in_flight.insert(id, (worker, purpose));
        let vm = self.worker(worker).vm.name.clone();
        self.orders.push(Order::Command { id, vm, verb });
    }

    /// Adds an order to the output of this step.
    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
    }

    /// Records an event in the timeline.
    pub fn record_event(&mut self, kind: Kind, subject: &str, worker: Option<u32>, cause: &str) {
        let known = worker.and_then(|index| self.workers[index as usize].as_ref());
        let note = Note {
            kind,
            subject: subject.to_owned(),
            vm: known.map(|worker| worker.vm.name.clone()),
            epoch: known.map(|worker| worker.epoch),
            cause: cause.to_owned(),
        };
        self.orders.push(Order::Note(note));
    }

    /// Removes and returns the signals that the policy has not yet handled.
    pub fn take_signals(&mut self) -> Vec<Signal> {
        std::mem::take(&mut self.signals)
    }

    /// Adds the stores and acknowledgements that are due, and removes and returns all orders.
    pub fn take_orders(&mut self) -> Vec<Order> {
        self.order_stores();
        self.order_acks();
        std::mem::take(&mut self.orders)
    }
}
