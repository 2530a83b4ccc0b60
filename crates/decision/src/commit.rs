//! Commits within a write budget. A commit without a clear outcome is resolved by reading its rows
//! back.

mod backoff;
mod budget;
mod resolve;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

pub use self::backoff::Backoff;
pub use self::budget::Budget;
pub use self::budget::ROWS_PER_S;
use self::resolve::InFlight;
use self::resolve::Stage;
use self::resolve::commit;
use self::resolve::resolve_read_back;
use self::resolve::resolve_sent;
use crate::clock::Ms;
use crate::control::Id;
use crate::table::Condition;
use crate::table::Operation;
use crate::table::Outcome;
use crate::table::Token;
use crate::table::Version;
use crate::table::Write;

// The maximum number of transactions that were sent and are not resolved.
const MAX_IN_FLIGHT: usize = 4;

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
