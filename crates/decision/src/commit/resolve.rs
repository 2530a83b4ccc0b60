//! The outcome of a commit: from its answer, or by reading its rows back.

use super::Resolution;
use super::Transaction;
use crate::control::Id;
use crate::table::Operation;
use crate::table::Outcome;
use crate::table::Row;
use crate::table::Token;
use crate::table::Version;

#[derive(Debug)]
pub(super) enum Stage {
    /// The commit was sent under this id.
    Sent(Id),
    /// The outcome of the commit is not known, so its rows are to be read back.
    Ambiguous,
    /// The rows are being read back under this id.
    Reading(Id),
    /// The commit had no effect so far and is to be sent again with the same token.
    Retry,
}

#[derive(Debug)]
pub(super) struct InFlight<P> {
    pub(super) purpose: P,
    pub(super) transaction: Transaction,
    pub(super) token: Token,
    pub(super) stage: Stage,
    /// Whether the outcome of an earlier copy of the commit is not known.
    pub(super) ambiguous: bool,
}

pub(super) fn commit<P>(flight: &InFlight<P>) -> Operation {
    Operation::Commit {
        token: flight.token,
        conditions: flight.transaction.conditions.clone(),
        writes: flight.transaction.writes.clone(),
    }
}

/// A failure of a repeated commit does not show whether the first copy took effect, so the rows are
/// read back as after a lost answer.
pub(super) fn resolve_sent<P>(flight: &mut InFlight<P>, outcome: &Outcome) -> Option<Resolution> {
    match outcome {
        Outcome::Committed(versions) => return Some(Resolution::Done(versions.clone())),
        Outcome::Conflict(condition) if !flight.ambiguous => {
            return Some(Resolution::Conflict(condition.clone()));
        }
        Outcome::Unavailable if !flight.ambiguous => return Some(Resolution::Unavailable),
        _ => {}
    }
    flight.ambiguous = true;
    flight.stage = Stage::Ambiguous;
    None
}

pub(super) fn resolve_read_back<P>(
    flight: &mut InFlight<P>,
    outcome: &Outcome,
) -> Option<Resolution> {
    let Outcome::Rows(rows) = outcome else {
        flight.stage = Stage::Ambiguous;
        return None;
    };
    let find = |key: &str| rows.iter().find(|row| row.key == key);
    let version = |row: Option<&Row>| row.map_or(Version(0), |row| row.version);
    if rows.iter().any(|row| row.token == flight.token) {
        let own = |row: &&Row| row.token == flight.token;
        let writes = flight.transaction.writes.iter();
        let versions = writes.map(|write| version(find(&write.key).filter(own)));
        return Some(Resolution::Done(versions.collect()));
    }
    let mut conditions = flight.transaction.conditions.iter();
    match conditions.find(|condition| version(find(&condition.key)) != condition.version) {
        Some(violated) => Some(Resolution::Conflict(violated.clone())),
        None => {
            flight.stage = Stage::Retry;
            None
        }
    }
}
