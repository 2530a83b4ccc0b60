//! The rows that entries keep in the platform's store.

use adapter::store::Key;
use adapter::store::Row;
use quick_error::quick_error;
use scheduler::id::Job;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Accepted jobs and cancellations, so that one feed tells of both.
pub(super) const JOBS: &str = "jobs";
/// Progress of jobs.
pub(super) const PROGRESS: &str = "progress";
/// Workers on which tasks may run.
pub(super) const FLEET: &str = "fleet";
/// The leader and its beat.
pub(super) const LEAD: &str = "lead";

/// The part of tables that are not divided. Progress is in the part of the leader's row, on whose
/// version each commit depends.
pub(super) const WHOLE: &str = "";
/// The parts of the table of jobs: a slow store does the transactions of a part one after another.
pub(super) const JOB_PARTS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];

const ACCEPTED: char = 'j';
const CANCELLED: char = 'c';
const RECORD: &str = "record";
const HEARTBEAT: &str = "beat";
const LEARNED: &str = "learned";
const MEMBERS: &str = "members";

quick_error! {
    /// Why a row cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// The key has another form.
        Key(key: String) {
            display("row {:?} has an unknown key", key)
        }
        /// The value has another form.
        Value(key: String, cause: String) {
            display("row {:?} cannot be read: {}", key, cause)
        }
    }
}

/// The last sign of life of a leader.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct Heartbeat {
    /// The leader's epoch.
    pub(super) epoch: u64,
    /// When, on the store's clock in ms.
    pub(super) at: u64,
}

/// A row of the table of jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Accepted(Job),
    Cancelled(Job),
}

pub(super) fn record() -> Key {
    Key::new(LEAD, WHOLE, RECORD)
}

pub(super) fn heartbeat() -> Key {
    Key::new(LEAD, WHOLE, HEARTBEAT)
}

/// What leaders have learned of the presses of images.
pub(super) fn learned() -> Key {
    Key::new(LEAD, WHOLE, LEARNED)
}

pub(super) fn members() -> Key {
    Key::new(FLEET, WHOLE, MEMBERS)
}

fn part(job: Job) -> &'static str {
    let parts = JOB_PARTS.len() as u64;
    JOB_PARTS[(job.0 % parts) as usize]
}

/// The parts of a table.
pub(super) fn parts(table: &str) -> &'static [&'static str] {
    if table == JOBS { &JOB_PARTS } else { &[WHOLE] }
}

pub(super) fn accepted(job: Job) -> Key {
    Key::new(JOBS, part(job), format!("{ACCEPTED}{job}"))
}

pub(super) fn cancelled(job: Job) -> Key {
    Key::new(JOBS, part(job), format!("{CANCELLED}{job}"))
}

pub(super) fn progress(job: Job) -> Key {
    Key::new(PROGRESS, WHOLE, job.to_string())
}

/// What a row of the table of jobs is about.
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

/// The bytes of a value.
pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("rows hold plain data")
}

/// The value of a row.
pub(super) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    rmp_serde::from_slice(&row.value)
        .map_err(|error| Error::Value(row.key.clone(), error.to_string()))
}
