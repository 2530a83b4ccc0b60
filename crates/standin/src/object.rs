//! A model of the object store.

use std::collections::BTreeMap;

use bytes::Bytes;
use decision::object::Operation;
use decision::object::Outcome;

use crate::fault::Fault;
use crate::fault::Loss;

/// The contents of the store and the faults that it injects.
#[derive(Debug, Default)]
pub struct Model {
    objects: BTreeMap<String, Bytes>,
    loss: Loss,
    /// The faults that are currently injected. The holder of the model sets them.
    pub fault: Fault,
}

impl Model {
    /// Applies one operation. [`Outcome::Unknown`] means that it took effect and its answer is
    /// lost.
    pub fn apply(&mut self, operation: &Operation) -> Outcome {
        if self.fault.outage {
            return Outcome::Unavailable;
        }
        match operation {
            Operation::Put { key, value } => {
                self.objects.insert(key.clone(), value.clone());
                self.answer_change()
            }
            Operation::Get(key) => self
                .objects
                .get(key)
                .cloned()
                .map_or(Outcome::Missing, Outcome::Found),
            Operation::Delete(key) => {
                self.objects.remove(key);
                self.answer_change()
            }
        }
    }

    fn answer_change(&mut self) -> Outcome {
        if self.loss.loses_next(self.fault) {
            Outcome::Unknown
        } else {
            Outcome::Done
        }
    }
}
