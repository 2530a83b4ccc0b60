//! Checkpoints that workers keep in the object store.

use bytes::Bytes;
use decision::clock::Ms;
use decision::object::Operation;
use decision::object::Outcome;

use crate::object::Model;

/// A worker's access to the object store.
#[derive(Debug)]
pub struct Store<'a>(pub &'a mut Model);

impl Store<'_> {
    /// Reads the progress that is stored under a key. Returns `None` if there is none.
    pub fn load(&mut self, key: &str) -> Option<Ms> {
        match self.0.apply(&Operation::Get(key.to_owned())) {
            Outcome::Found(value) => Some(Ms(u64::from_le_bytes(value.as_ref().try_into().ok()?))),
            _ => None,
        }
    }

    /// Stores a progress and returns whether it was stored. A lost answer counts as stored, because
    /// a worker reads the value back.
    pub fn save(&mut self, key: &str, progress: Ms) -> bool {
        let value = Bytes::copy_from_slice(&progress.0.to_le_bytes());
        let put = Operation::Put {
            key: key.to_owned(),
            value,
        };
        matches!(self.0.apply(&put), Outcome::Done | Outcome::Unknown)
    }
}
