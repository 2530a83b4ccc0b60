//! A table in memory with a version for each row.

use std::collections::BTreeMap;

use decision::table::Condition;
use decision::table::Operation;
use decision::table::Outcome;
use decision::table::Row;
use decision::table::Version;

/// The rows, and counts of operations.
#[derive(Debug, Default)]
pub struct Table {
    pub rows: BTreeMap<String, Row>,
    pub written: u64,
    pub reads: u64,
    /// Every version of the row `config` in the order of writes.
    pub configs: Vec<u64>,
}

impl Table {
    fn version(&self, key: &str) -> Version {
        self.rows.get(key).map_or(Version(0), |row| row.version)
    }

    /// Runs an operation and returns its outcome.
    pub fn run(&mut self, operation: &Operation) -> Outcome {
        match operation {
            Operation::Read(keys) => {
                self.reads += 1;
                let mut keys = keys.clone();
                keys.sort_unstable();
                keys.dedup();
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                Outcome::Rows(rows.collect())
            }
            Operation::Scan {
                prefix,
                after,
                limit,
            } => {
                self.reads += 1;
                let from = prefix.max(after).clone();
                let rows = self.rows.range(from..).map(|(_, row)| row);
                let rows = rows.take_while(|row| row.key.starts_with(prefix));
                let rows = rows.filter(|row| row.key > *after);
                Outcome::Rows(rows.take(*limit as usize).cloned().collect())
            }
            Operation::Commit {
                token,
                conditions,
                writes,
            } => {
                let is_violated =
                    |condition: &&Condition| self.version(&condition.key) != condition.version;
                if let Some(violated) = conditions.iter().find(is_violated) {
                    return Outcome::Conflict(violated.clone());
                }
                let mut versions = Vec::new();
                for write in writes {
                    self.written += 1;
                    let version = Version(self.version(&write.key).0 + 1);
                    let Some(value) = write.value.clone() else {
                        self.rows.remove(&write.key);
                        versions.push(Version(0));
                        continue;
                    };
                    let row = Row {
                        key: write.key.clone(),
                        version,
                        token: *token,
                        value,
                    };
                    if row.key == "config" {
                        self.configs.push(version.0);
                    }
                    self.rows.insert(row.key.clone(), row);
                    versions.push(version);
                }
                Outcome::Committed(versions)
            }
        }
    }
}
