//! The interface of the platform's object store.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// What an entry or worker asks of the object store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Stores a whole object.
    Put {
        /// The object's key.
        key: String,
        /// The contents.
        value: Bytes,
    },
    /// Reads a whole object.
    Get(String),
    /// Deletes an object; deleting a missing one succeeds.
    Delete(String),
}

/// How an operation ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Stored or deleted.
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
