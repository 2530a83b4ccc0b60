//! The shape of every state machine here.

use crate::clock::Ms;

/// A state machine that turns an event at a point in time into actions.
pub trait Step {
    /// What happens to it.
    type Event;
    /// What the embedder carries out for it.
    type Action;

    /// Takes in one event. `now` never decreases.
    fn step(&mut self, now: Ms, event: Self::Event) -> Vec<Self::Action>;
}
