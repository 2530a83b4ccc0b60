//! The interface of the platform's transactional table service.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// A row's version: 0 for a row that does not exist, rising with every write.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(pub u64);

/// Identifies one commit, so that a later read shows whether it took effect although its answer was
/// lost.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Token(pub u128);

/// A stored row. Keys are paths such as `group/rack-3`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The version that the last write gave it.
    pub version: Version,
    /// The commit that wrote this version.
    pub token: Token,
    /// The contents, encoded by [`crate::record`].
    pub value: Bytes,
}

/// A version that a commit requires of a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version that the row must have.
    pub version: Version,
}

/// A change of one row within a commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new contents, or `None` to delete the row.
    pub value: Option<Bytes>,
}

/// An operation that an entry requests from the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Reads single rows; rows that do not exist are left out of the outcome.
    Read(Vec<String>),
    /// Reads up to `limit` rows whose key starts with `prefix` and is greater than `after`.
    Scan {
        /// The prefix of every key.
        prefix: String,
        /// The last key of the page before, or empty for the first page.
        after: String,
        /// The maximum number of rows in the page.
        limit: u32,
    },
    /// Writes all rows if every condition holds, and none otherwise.
    Commit {
        /// The token stored with every row that this commit writes.
        token: Token,
        /// The versions that rows must have.
        conditions: Vec<Condition>,
        /// The rows to write or delete.
        writes: Vec<Write>,
    },
}

/// The outcome of an operation, as far as the entry can tell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The rows that were read, in key order.
    Rows(Vec<Row>),
    /// The commit took effect; holds the new versions in the order of its writes.
    Committed(Vec<Version>),
    /// The commit had no effect, because this row had another version.
    Conflict(Condition),
    /// The operation had no effect.
    Unavailable,
    /// No answer came: a commit may or may not have taken effect, or may still do so.
    Unknown,
}

/// The key of the row of this kind about this name, such as `group/rack-3`.
#[must_use]
pub fn key(kind: &str, name: &Name) -> String {
    format!("{kind}/{name}")
}
