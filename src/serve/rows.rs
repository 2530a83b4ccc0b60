//! The rows that entries keep in the platform's store.

use adapter::store::Key;
use adapter::store::Row;
use quick_error::quick_error;
use scheduler::id::Job;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The table of accepted jobs and cancellations. Both are in one table so that one feed covers
/// them.
pub(super) const JOBS: &str = "jobs";
/// The table of the progress of jobs.
pub(super) const PROGRESS: &str = "progress";
/// The table of workers on which tasks may run.
pub(super) const FLEET: &str = "fleet";
/// The table of the leader record, its heartbeat and the learned interference coefficients.
pub(super) const LEAD: &str = "lead";

/// The part of a table that is not divided. Progress is in the same part as the leader record,
/// because each commit expects the record's version.
pub(super) const UNDIVIDED: &str = "";
/// The parts of the table of jobs. A slow store runs the transactions of one part one after
/// another, so jobs are spread over several parts.
pub(super) const JOB_PARTS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];

const ACCEPTED: char = 'j';
const CANCELLED: char = 'c';
const RECORD: &str = "record";
const HEARTBEAT: &str = "beat";
const INTERFERENCE: &str = "learned";
const MEMBERS: &str = "members";

quick_error! {
    /// Why a row cannot be decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The key is neither that of an accepted job nor that of a cancellation.
        Key(key: String) {
            display("row {:?} has an unknown key", key)
        }
        /// The value is not a MessagePack encoding of the expected type.
        Value(key: String, cause: String) {
            display("row {:?} cannot be read: {}", key, cause)
        }
    }
}

/// The last heartbeat of a leader.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct Heartbeat {
    /// The leader's epoch.
    pub(super) epoch: u64,
    /// When it was written, on the store's clock in ms.
    pub(super) at: u64,
}

/// The kinds of rows in the table of jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Accepted(Job),
    Cancelled(Job),
}

pub(super) fn record() -> Key {
    Key::new(LEAD, UNDIVIDED, RECORD)
}

pub(super) fn heartbeat() -> Key {
    Key::new(LEAD, UNDIVIDED, HEARTBEAT)
}

/// Returns the key of the interference coefficients that leaders have learned.
pub(super) fn interference() -> Key {
    Key::new(LEAD, UNDIVIDED, INTERFERENCE)
}

pub(super) fn members() -> Key {
    Key::new(FLEET, UNDIVIDED, MEMBERS)
}

fn part(job: Job) -> &'static str {
    let parts = JOB_PARTS.len() as u64;
    JOB_PARTS[(job.0 % parts) as usize]
}

/// Returns the parts of a table.
pub(super) fn parts(table: &str) -> &'static [&'static str] {
    if table == JOBS {
        &JOB_PARTS
    } else {
        &[UNDIVIDED]
    }
}

pub(super) fn accepted(job: Job) -> Key {
    Key::new(JOBS, part(job), format!("{ACCEPTED}{job}"))
}

pub(super) fn cancelled(job: Job) -> Key {
    Key::new(JOBS, part(job), format!("{CANCELLED}{job}"))
}

pub(super) fn progress(job: Job) -> Key {
    Key::new(PROGRESS, UNDIVIDED, job.to_string())
}

/// Returns the kind of a row of the table of jobs from its key.
pub(super) fn kind(key: &str) -> Result<Kind, Error> {
    let unknown = || Error::Key(key.into());
    let (first, rest) = key.split_at_checked(1).ok_or_else(unknown)?;
    let job: Job = rest.parse().map_err(|_error| unknown())?;
    match first.chars().next() {
        Some(ACCEPTED) => Ok(Kind::Accepted(job)),
        Some(CANCELLED) => Ok(Kind::Cancelled(job)),
        _ => Err(unknown()),
    }
}

/// Returns the most bytes of a value whose base64 form has at most `row_bytes`.
pub(super) const fn max_value_bytes(row_bytes: u32) -> usize {
    (row_bytes / 4 * 3) as usize
}

/// Encodes the value of a row as MessagePack.
pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value)
        .expect("the types of rows have no values that MessagePack cannot encode")
}

/// Decodes the value of a row.
pub(super) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    rmp_serde::from_slice(&row.value)
        .map_err(|error| Error::Value(row.key.clone(), error.to_string()))
}
