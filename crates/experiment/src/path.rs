//! The decision logic of each policy behind one face.

use decision::clock::Ms;
use decision::control;
use decision::control::Identity;
use decision::naive;
use decision::place;
use decision::request;
use decision::step::Step;
use decision::ticket::Ticket;

use crate::case::Policy;

/// A request path.
pub trait Requests: Step<Event = request::Event, Action = request::Action> {
    /// New tickets.
    fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket>;
    /// What peers are told of it.
    fn summary(&self, now: Ms) -> request::Peer;
    /// The tickets, to be handed over.
    fn hand_over_tickets(&mut self, now: Ms) -> request::Book;
    /// Whether nothing is waiting or in flight.
    fn idle(&self) -> bool;
    /// When it needs the next tick at the latest.
    fn next_timer(&self) -> Option<Ms>;
}

/// A control path.
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

/// New machines of a policy for an entry that starts.
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
