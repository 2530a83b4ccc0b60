//! A model of the transactional table service.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use decision::table::Condition;
use decision::table::Operation;
use decision::table::Outcome;
use decision::table::Row;
use decision::table::Token;
use decision::table::Version;
use decision::table::Write;

use crate::fault::Fault;
use crate::fault::Loss;

/// The numbers of rows that were read and written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// The number of rows read, with at least one for each read operation.
    pub reads: u64,
    /// The number of rows written, including deletions.
    pub writes: u64,
}

/// The contents of the table and the faults that it injects.
#[derive(Debug, Default)]
pub struct Model {
    rows: BTreeMap<String, Row>,
    /// The versions of deleted rows, from which a row of the same key continues.
    deleted: BTreeMap<String, Version>,
    loss: Loss,
    /// The faults that are currently injected. The holder of the model sets them.
    pub fault: Fault,
    /// The rows read and written so far.
    pub count: Count,
}

impl Model {
    /// Applies one operation. [`Outcome::Unknown`] means that it took effect and its answer is
    /// lost.
    pub fn apply(&mut self, operation: &Operation) -> Outcome {
        if self.fault.outage {
            return Outcome::Unavailable;
        }
        match operation {
            Operation::Read(keys) => self.read(keys),
            Operation::Scan {
                prefix,
                after,
                limit,
            } => self.scan(prefix, after, *limit),
            Operation::Commit {
                token,
                conditions,
                writes,
            } => {
                let outcome = self.commit(*token, conditions, writes);
                if self.loss.loses_next(self.fault) {
                    Outcome::Unknown
                } else {
                    outcome
                }
            }
        }
    }

    /// Returns a row, so that tests can check it.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns all rows whose key starts with `prefix`, so that tests can check them.
    pub fn rows<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        self.rows
            .values()
            .filter(move |row| row.key.starts_with(prefix))
    }

    fn read(&mut self, keys: &[String]) -> Outcome {
        self.count.reads += keys.len().max(1) as u64;
        Outcome::Rows(
            keys.iter()
                .filter_map(|key| self.rows.get(key))
                .cloned()
                .collect(),
        )
    }

    fn scan(&mut self, prefix: &str, after: &str, limit: u32) -> Outcome {
        let start = if after > prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix)
        };
        let rows: Vec<Row> = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit as usize)
            .map(|(_, row)| row.clone())
            .collect();
        self.count.reads += rows.len().max(1) as u64;
        Outcome::Rows(rows)
    }

    fn commit(&mut self, token: Token, conditions: &[Condition], writes: &[Write]) -> Outcome {
        for condition in conditions {
            let found = self
                .rows
                .get(&condition.key)
                .map_or(Version(0), |row| row.version);
            if found != condition.version {
                let key = condition.key.clone();
                return Outcome::Conflict(Condition {
                    key,
                    version: found,
                });
            }
        }
        self.count.writes += writes.len() as u64;
        Outcome::Committed(
            writes
                .iter()
                .map(|write| self.write(token, write))
                .collect(),
        )
    }

    fn write(&mut self, token: Token, write: &Write) -> Version {
        let key = write.key.clone();
        let last = self.rows.get(&key).map(|row| row.version);
        let last = last
            .or_else(|| self.deleted.get(&key).copied())
            .unwrap_or_default();
        let version = Version(last.0 + 1);
        match &write.value {
            Some(value) => self.insert(Row {
                key,
                version,
                token,
                value: value.clone(),
            }),
            None => {
                self.rows.remove(&key);
                self.deleted.insert(key, version);
            }
        }
        version
    }

    fn insert(&mut self, row: Row) {
        self.rows.insert(row.key.clone(), row);
    }

    /// Overwrites the value of a row outside any transaction, which models a damaged row.
    pub fn damage(&mut self, key: &str, value: Bytes) {
        if let Some(row) = self.rows.get_mut(key) {
            row.value = value;
        }
    }
}
