//! The interface of the platform's object store.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// An operation that an entry or worker requests from the object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Stores an object, replacing one with the same key.
    Put {
        /// The object's key.
        key: String,
        /// The complete contents.
        value: Bytes,
    },
    /// Reads the object with this key.
    Get(String),
    /// Deletes the object with this key; deleting a missing one succeeds.
    Delete(String),
}

/// The outcome of an operation, as far as the sender can tell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The object was stored or deleted.
    Done,
    /// The object's contents.
    Found(Bytes),
    /// There is no such object.
    Missing,
    /// The operation had no effect.
    Unavailable,
    /// No answer came: a change may or may not have taken effect.
    Unknown,
}
