//! Faults that the stand-ins for the platform inject.

use decision::clock::Ms;

/// The faults that a service currently injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    /// Whether every operation is refused without effect.
    pub outage: bool,
    /// The time that is added to each operation.
    pub delay: Ms,
    /// Every n-th change takes effect, but its answer is lost. No answer is lost at 0.
    pub lose_every: u32,
}

/// Counts changes and selects the answers that are lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loss {
    changes: u32,
}

impl Loss {
    /// Counts a change and returns whether its answer is lost.
    pub fn loses_next(&mut self, fault: Fault) -> bool {
        self.changes = self.changes.wrapping_add(1);
        fault.lose_every > 0 && self.changes.is_multiple_of(fault.lose_every)
    }
}
