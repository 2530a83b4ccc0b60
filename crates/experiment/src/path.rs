//! A common interface to the decision logic of all policies.

use decision::clock::Ms;
use decision::control;
use decision::control::Identity;
use decision::naive;
use decision::place;
use decision::request;
use decision::step::Step;
use decision::ticket::Ticket;

use crate::case::Policy;

/// The request path of an entry, under any policy.
pub trait Requests: Step<Event = request::Event, Action = request::Action> {
    /// Issues the given number of new tickets.
    fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket>;
    /// The state of the request path that is sent to peers.
    fn summary(&self, now: Ms) -> request::Peer;
    /// Returns the ticket book for a successor, which adopts the tickets during a planned stop.
    fn hand_over_tickets(&mut self, now: Ms) -> request::Book;
    /// Whether no request is waiting or in flight.
    fn idle(&self) -> bool;
    /// The latest time at which the path needs its next tick, absent if it waits for nothing.
    fn next_timer(&self) -> Option<Ms>;
}

/// The control path of an entry, under any policy.
pub type Control = Box<dyn Step<Event = control::Event, Action = control::Action>>;

macro_rules! requests {
    ($machine:ty) => {
        impl Requests for $machine {
            fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket> {
                Self::mint(self, now, count)
            }

            fn summary(&self, now: Ms) -> request::Peer {
                Self::summary(self, now)
            }

            fn hand_over_tickets(&mut self, now: Ms) -> request::Book {
                Self::hand_over_tickets(self, now)
            }

            fn idle(&self) -> bool {
                Self::idle(self)
            }

            fn next_timer(&self) -> Option<Ms> {
                Self::next_timer(self)
            }
        }
    };
}

requests!(request::Machine);
requests!(naive::request::Machine);

/// Creates the request path and the control path of a policy for an entry that starts.
#[must_use]
pub fn machines(policy: Policy, identity: Identity) -> (Box<dyn Requests>, Control) {
    let seed = identity.seed;
    match policy {
        Policy::Naive => {
            let requests = Box::new(naive::request::Machine::new(&identity));
            let control = control::Machine::new(identity, naive::Board::new(seed));
            (requests, Box::new(control))
        }
        Policy::Current => {
            let requests = Box::new(request::Machine::new(&identity));
            let control = control::Machine::new(identity, place::Board::new(seed));
            (requests, Box::new(control))
        }
    }
}
