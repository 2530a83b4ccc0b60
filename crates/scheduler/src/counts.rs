//! The numbers of waiting jobs that an entry may show to customers.

use decision::clock::Ms;
use decision::name::Name;

use crate::message::Heartbeat;

/// The age after which the counts are no longer shown, because they lack the jobs that were accepted
/// since.
pub const VALIDITY: Ms = Ms(4_000);

/// The newest counts that a leader has sent, which outlast a change of the leader.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    waiting: Vec<(Name, u32)>,
    /// The time at which no accepted job was missing; absent before the first counts.
    complete_at: Option<Ms>,
}

impl Counts {
    /// Takes the counts of a heartbeat that arrives now. A leader that has not read the jobs yet
    /// sends none. One that the store does not serve learns of no further jobs, so its counts are as
    /// old as its last confirmed write.
    pub fn update(&mut self, now: Ms, heartbeat: &Heartbeat) {
        if heartbeat.waiting.is_empty() {
            return;
        }
        self.waiting.clone_from(&heartbeat.waiting);
        self.complete_at = Some(Ms(now.0.saturating_sub(heartbeat.store_age.0)));
    }

    /// Returns the number of waiting jobs of a queue, or `None` if it is not known well enough.
    #[must_use]
    pub fn waiting_in(&self, now: Ms, queue: &str) -> Option<u32> {
        if now.since(self.complete_at?) > VALIDITY {
            return None;
        }
        let found = self.waiting.iter().find(|(name, _)| **name == *queue);
        Some(found.map_or(0, |(_, count)| *count))
    }
}
