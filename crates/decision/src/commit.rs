//! Commits within a write budget. A commit without a clear outcome is resolved by reading its rows
//! back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::clock::Ms;
use crate::control::Id;
use crate::table::Condition;
use crate::table::Operation;
use crate::table::Outcome;
use crate::table::Row;
use crate::table::Token;
use crate::table::Version;
use crate::table::Write;

/// Rows per second that all entries together may write. The table sustains several hundred.
pub const ROWS_PER_S: u64 = 280;

// The upper limit of the random delay after the first failure. It doubles with each further one.
const MIN_BACKOFF_CEILING: Ms = Ms(100);
const MAX_BACKOFF_CEILING: Ms = Ms(5_000);
// The maximum number of transactions that were sent and are not resolved.
const MAX_IN_FLIGHT: usize = 4;
const MILLIROWS_PER_ROW: u64 = 1_000;

/// The write budget of one entry in rows, a token bucket that holds one second's worth.
#[derive(Clone, Debug)]
pub struct Budget {
    milli_rows: i64,
    rows_per_s: u64,
    refilled_at: Ms,
}

impl Budget {
    /// Creates a full budget for one of `entries` entries.
    #[must_use]
    pub fn new(now: Ms, entries: usize) -> Self {
        let rows_per_s = rows_per_s(entries);
        Self {
            milli_rows: i64::try_from(rows_per_s * MILLIROWS_PER_ROW).unwrap_or(i64::MAX),
            rows_per_s,
            refilled_at: now,
        }
    }

    /// Adapts the rate to the number of live entries.
    pub fn set_entries(&mut self, now: Ms, entries: usize) {
        self.refill(now);
        self.rows_per_s = rows_per_s(entries);
    }

    /// Acquires `rows` if at least one row is available. A large transaction may overdraw the
    /// budget, and later ones wait until the balance is positive again.
    pub fn try_acquire(&mut self, now: Ms, rows: usize) -> bool {
        self.refill(now);
        if self.milli_rows < i64::try_from(MILLIROWS_PER_ROW).unwrap_or(i64::MAX) {
            return false;
        }
        self.milli_rows -= i64::try_from(rows as u64 * MILLIROWS_PER_ROW).unwrap_or(i64::MAX);
        true
    }

    /// The number of rows that can be written without overdrawing the budget.
    pub fn available_rows(&mut self, now: Ms) -> usize {
        self.refill(now);
        usize::try_from(self.milli_rows / 1_000).unwrap_or(0)
    }

    fn refill(&mut self, now: Ms) {
        let gain =
            i64::try_from(now.since(self.refilled_at).0 * self.rows_per_s).unwrap_or(i64::MAX);
        let depth = i64::try_from(self.rows_per_s * MILLIROWS_PER_ROW).unwrap_or(i64::MAX);
        self.milli_rows = self.milli_rows.saturating_add(gain).min(depth);
        self.refilled_at = now;
    }
}

fn rows_per_s(entries: usize) -> u64 {
    (ROWS_PER_S / entries.max(1) as u64).max(1)
}

/// Exponential backoff with full jitter for attempts to reach the table.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    retry_at: Ms,
    down_since: Option<Ms>,
}

impl Backoff {
    /// Whether the backoff has elapsed, so that an attempt may be made.
    #[must_use]
    pub fn is_elapsed(&self, now: Ms) -> bool {
        now >= self.retry_at
    }

    /// Since when every attempt has failed; `None` after a success.
    #[must_use]
    pub const fn down_since(&self) -> Option<Ms> {
        self.down_since
    }

    /// Records a failed attempt. Returns whether it is the first failure after a success.
    pub fn record_failure(&mut self, now: Ms, random: &mut StdRng) -> bool {
        let ceiling = (MIN_BACKOFF_CEILING.0 << self.failures.min(10)).min(MAX_BACKOFF_CEILING.0);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + Ms(random.random_range(0..=ceiling));
        let first = self.down_since.is_none();
        self.down_since.get_or_insert(now);
        first
    }

    /// Restarts the backoff and the time of failure at `now`, so that the next attempt may be made
    /// at once.
    pub fn restart(&mut self, now: Ms) {
        self.failures = 0;
        self.retry_at = now;
        self.down_since = self.down_since.map(|_| now);
    }

    /// Records a successful attempt. Returns whether the one before had failed.
    pub fn record_success(&mut self) -> bool {
        let failed = self.down_since.is_some();
        *self = Self::default();
        failed
    }
}

/// Row changes that take effect together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// The versions that rows must have for the commit to take effect.
    pub conditions: Vec<Condition>,
    /// The rows to write, with their new contents.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires that a row has this version.
    pub fn require(&mut self, key: impl Into<String>, version: Version) {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
    }

    /// Changes a row, or deletes it if `value` is `None`, and requires that it has this version.
    /// The condition keeps a delayed copy of the commit from overwriting a later one.
    pub fn replace(
        &mut self,
        key: impl Into<String>,
        version: Version,
        value: Option<bytes::Bytes>,
    ) {
        let key = key.into();
        self.require(key.clone(), version);
        self.writes.push(Write { key, value });
    }
}

/// The final outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// It took effect; holds the new versions in the order of its writes. The version is 0 for a row
    /// that was deleted, or that another commit has written again before it was read back.
    Done(Vec<Version>),
    /// It had no effect and never will, because this row has another version.
    Conflict(Condition),
    /// It had no effect, because the table cannot be reached.
    Unavailable,
}

#[derive(Debug)]
enum Stage {
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
struct InFlight<P> {
    purpose: P,
    transaction: Transaction,
    token: Token,
    stage: Stage,
    /// Whether the outcome of an earlier copy of the commit is not known.
    ambiguous: bool,
}

/// Queues transactions, issues their operations and follows each until its outcome is certain.
#[derive(Debug)]
pub struct Writer<P> {
    /// The part of all tokens that identifies the process.
    prefix: u128,
    count: u32,
    queue: VecDeque<(P, Transaction)>,
    in_flight: BTreeMap<Token, InFlight<P>>,
    locked: BTreeSet<String>,
    budget: Budget,
}

impl<P> Writer<P> {
    /// Creates a writer whose tokens start with the process's incarnation and a hash of the entry.
    #[must_use]
    pub fn new(entry: &str, incarnation: u64) -> Self {
        let hash = crc32fast::hash(entry.as_bytes());
        Self {
            prefix: (u128::from(incarnation) << 64) | (u128::from(hash) << 32),
            count: 0,
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            locked: BTreeSet::new(),
            budget: Budget::new(Ms::ZERO, 1),
        }
    }

    /// The write budget, to be adapted when the number of live entries changes.
    pub const fn budget(&mut self) -> &mut Budget {
        &mut self.budget
    }

    /// Whether a transaction that writes this row is queued or unresolved.
    #[must_use]
    pub fn is_locked(&self, key: &str) -> bool {
        self.locked.contains(key)
    }

    /// Whether any row whose key starts with `prefix` is locked.
    #[must_use]
    pub fn is_any_locked(&self, prefix: &str) -> bool {
        let mut from = self.locked.range(prefix.to_owned()..);
        from.next().is_some_and(|key| key.starts_with(prefix))
    }

    /// Whether no transaction is queued or unresolved.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    /// The purposes of all transactions that are queued or unresolved.
    pub fn purposes(&self) -> impl Iterator<Item = &P> {
        let queued = self.queue.iter().map(|(purpose, _)| purpose);
        queued.chain(self.in_flight.values().map(|flight| &flight.purpose))
    }

    /// Queues a transaction. Its rows must not be locked.
    pub fn push(&mut self, purpose: P, transaction: Transaction) {
        for write in &transaction.writes {
            self.locked.insert(write.key.clone());
        }
        self.queue.push_back((purpose, transaction));
    }

    /// Removes every queued transaction, none of which was sent, and returns their purposes.
    pub fn cancel_queued(&mut self) -> Vec<P> {
        let queue = std::mem::take(&mut self.queue);
        let unlock = |(purpose, transaction): (P, Transaction)| {
            for write in &transaction.writes {
                self.locked.remove(&write.key);
            }
            purpose
        };
        queue.into_iter().map(unlock).collect()
    }

    /// The next operation to send under `id`, if there is one and the budget allows it. Ambiguous
    /// transactions are read back first, then retried, and queued ones come last.
    pub fn next_operation(&mut self, now: Ms, id: Id) -> Option<Operation> {
        self.next_read_back(id)
            .or_else(|| self.next_retry(now, id))
            .or_else(|| self.next_queued(now, id))
    }

    fn next_read_back(&mut self, id: Id) -> Option<Operation> {
        let mut in_flight = self.in_flight.values_mut();
        let flight = in_flight.find(|flight| matches!(flight.stage, Stage::Ambiguous))?;
        flight.stage = Stage::Reading(id);
        let conditions = flight
            .transaction
            .conditions
            .iter()
            .map(|condition| &condition.key);
        let writes = flight.transaction.writes.iter().map(|write| &write.key);
        let keys = conditions.chain(writes).cloned().collect::<BTreeSet<_>>();
        Some(Operation::Read(keys.into_iter().collect()))
    }

    fn next_retry(&mut self, now: Ms, id: Id) -> Option<Operation> {
        let mut in_flight = self.in_flight.values_mut();
        let flight = in_flight.find(|flight| matches!(flight.stage, Stage::Retry))?;
        if !self
            .budget
            .try_acquire(now, flight.transaction.writes.len())
        {
            return None;
        }
        flight.stage = Stage::Sent(id);
        Some(commit(flight))
    }

    fn next_queued(&mut self, now: Ms, id: Id) -> Option<Operation> {
        let rows = self.queue.front()?.1.writes.len();
        if self.in_flight.len() >= MAX_IN_FLIGHT || !self.budget.try_acquire(now, rows) {
            return None;
        }
        let (purpose, transaction) = self.queue.pop_front()?;
        self.count += 1;
        let token = Token(self.prefix | u128::from(self.count));
        let flight = InFlight {
            purpose,
            transaction,
            token,
            stage: Stage::Sent(id),
            ambiguous: false,
        };
        let operation = commit(&flight);
        self.in_flight.insert(token, flight);
        Some(operation)
    }

    /// Processes the outcome of an operation. Returns the transaction if it is resolved by that.
    pub fn handle_outcome(
        &mut self,
        id: Id,
        outcome: &Outcome,
    ) -> Option<(P, Transaction, Resolution)> {
        let mut in_flight = self.in_flight.values_mut();
        let flight = in_flight.find(|flight| match flight.stage {
            Stage::Sent(sent) | Stage::Reading(sent) => sent == id,
            Stage::Ambiguous | Stage::Retry => false,
        })?;
        let resolution = match flight.stage {
            Stage::Reading(_) => resolve_read_back(flight, outcome),
            _ => resolve_sent(flight, outcome),
        }?;
        let token = flight.token;
        let flight = self.in_flight.remove(&token)?;
        for write in &flight.transaction.writes {
            self.locked.remove(&write.key);
        }
        Some((flight.purpose, flight.transaction, resolution))
    }

    /// Whether this operation belongs to a transaction and has no outcome yet.
    #[must_use]
    pub fn is_awaiting(&self, id: Id) -> bool {
        self.in_flight.values().any(|flight| match flight.stage {
            Stage::Sent(sent) | Stage::Reading(sent) => sent == id,
            Stage::Ambiguous | Stage::Retry => false,
        })
    }
}

fn commit<P>(flight: &InFlight<P>) -> Operation {
    Operation::Commit {
        token: flight.token,
        conditions: flight.transaction.conditions.clone(),
        writes: flight.transaction.writes.clone(),
    }
}

/// A failure of a repeated commit does not show whether the first copy took effect, so the rows are
/// read back as after a lost answer.
fn resolve_sent<P>(flight: &mut InFlight<P>, outcome: &Outcome) -> Option<Resolution> {
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

fn resolve_read_back<P>(flight: &mut InFlight<P>, outcome: &Outcome) -> Option<Resolution> {
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
