//! Faults that a stand-in of the platform injects.

use decision::clock::Ms;

/// What currently goes wrong at a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fault {
    /// Every operation is turned away without effect.
    pub outage: bool,
    /// Added to the time of each operation.
    pub delay: Ms,
    /// Every n-th change takes effect but its answer is lost; 0 for none.
    pub lose_every: u32,
}

/// Counts changes and tells which answers are lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Loss {
    changes: u32,
}

impl Loss {
    /// Whether the answer to the next change is lost.
    pub fn loses_next(&mut self, fault: Fault) -> bool {
        self.changes = self.changes.wrapping_add(1);
        fault.lose_every > 0 && self.changes.is_multiple_of(fault.lose_every)
    }
}
