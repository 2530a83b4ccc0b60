//! The faults of a world.

use std::collections::BTreeMap;

use decision::table::Operation;
use rand::RngExt;

use super::World;

/// The faults that are injected. Times are in ms.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Percent of table operations whose answer is lost. Some of them take effect late or never.
    pub lost_answers: u32,
    /// Percent of peer messages, answers and worker commands that are lost.
    pub lost_messages: u32,
    /// The spans of time in which the table is down.
    pub outages: Vec<(u64, u64)>,
    /// The spans of time in which the table is slow.
    pub slow: Vec<(u64, u64)>,
    /// The delivery of single commits, by number.
    pub deliveries: BTreeMap<u64, Delivery>,
}

/// Whether a table operation takes effect and is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The operation takes effect and is answered.
    Answered,
    /// The operation takes effect, but the answer is lost.
    AnswerLost,
    /// The operation takes effect after this time in ms, and the answer is lost.
    Late(u64),
    /// The operation has no effect and no answer.
    Dropped,
}

impl World {
    pub(super) fn next_delivery(&mut self, operation: &Operation) -> Delivery {
        if matches!(operation, Operation::Commit { .. }) {
            self.commits += 1;
            if let Some(delivery) = self.faults.deliveries.get(&self.commits) {
                return *delivery;
            }
        }
        if !self.draws_loss(self.faults.lost_answers) {
            return Delivery::Answered;
        }
        match self.random.random_range(0..4) {
            0 | 1 => Delivery::AnswerLost,
            2 => Delivery::Late(1_500),
            _ => Delivery::Dropped,
        }
    }
}
