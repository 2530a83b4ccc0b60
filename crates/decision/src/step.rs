//! The interface of all state machines in this crate.

use crate::clock::Ms;

/// A state machine that turns an event at a point in time into actions.
pub trait Step {
    /// The input of the state machine.
    type Event;
    /// An instruction to the embedder, which carries it out.
    type Action;

    /// Processes one event and returns the resulting actions. `now` must not decrease between
    /// calls.
    fn step(&mut self, now: Ms, event: Self::Event) -> Vec<Self::Action>;
}
