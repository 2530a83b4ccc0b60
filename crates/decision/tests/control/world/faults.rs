//! What goes wrong in a world.

use std::collections::BTreeMap;

use decision::table::Operation;
use rand::RngExt;

use super::World;

/// What goes wrong.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Percent of table operations whose answer is lost; commits may take effect late.
    pub lost_answers: u32,
    /// Percent of peer messages and worker commands lost, each way.
    pub lost_messages: u32,
    /// When the table is down.
    pub outages: Vec<(u64, u64)>,
    /// When the table is slow.
    pub slow: Vec<(u64, u64)>,
    /// What becomes of single commits, by number.
    pub fates: BTreeMap<u64, Fate>,
}

/// What becomes of a table operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It is answered.
    Answered,
    /// It takes effect, and the answer is lost.
    Lost,
    /// It takes effect so many ms later, after the answer was given up.
    Late(u64),
    /// It has no effect, and no answer comes.
    Never,
}

impl World {
    pub(super) fn fate(&mut self, operation: &Operation) -> Fate {
        if matches!(operation, Operation::Commit { .. }) {
            self.commits += 1;
            if let Some(fate) = self.faults.fates.get(&self.commits) {
                return *fate;
            }
        }
        if !self.lost(self.faults.lost_answers) {
            return Fate::Answered;
        }
        match self.random.random_range(0..4) {
            0 | 1 => Fate::Lost,
            2 => Fate::Late(1_500),
            _ => Fate::Never,
        }
    }
}
