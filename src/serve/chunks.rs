//! Values that are larger than a row of the store.
//!
//! Such a value is divided over several rows that are written in one transaction. The first one, under
//! the key of the value, begins with a mark and the number of the others, which have the keys `KEY.1`,
//! `KEY.2` and so on. Values that fit are stored as they are.

use std::collections::BTreeMap;
use std::collections::HashMap;

use adapter::store::Key;
use adapter::store::Row;
use adapter::store::Transaction;

/// The first byte of a divided value; no value in MessagePack begins with it.
const MARK: u8 = 0xc1;
/// The bytes of the mark and of the number of further rows.
const HEADER_BYTES: usize = 3;

/// The divided values that the store may hold: the number of further rows by table and key. It only
/// rises, because a write that was not confirmed may have left any of them.
#[derive(Debug, Default)]
pub(super) struct Divided(HashMap<(&'static str, String), u16>);

impl Divided {
    /// Adds a value to a transaction, and the removal of rows that an earlier, larger one left.
    pub(super) fn put(&mut self, into: &mut Transaction, key: Key, value: Vec<u8>, max: usize) {
        let rows = split(&key, value, max);
        let further = u16::try_from(rows.len() - 1).unwrap_or(u16::MAX);
        into.puts.extend(rows);
        let stored = self.further_rows(&key);
        into.removed
            .extend((further + 1..=stored).map(|number| further_key(&key, number)));
        if further > stored {
            self.0.insert((key.table, key.key), further);
        }
    }

    fn further_rows(&self, key: &Key) -> u16 {
        let stored = self.0.get(&(key.table, key.key.clone()));
        stored.copied().unwrap_or_default()
    }

    /// Returns the rows of a table with whole values, and records which of them are divided. A
    /// value of which a row is missing stays as it is, which decoders reject.
    pub(super) fn join(&mut self, table: &'static str, rows: Vec<Row>) -> Vec<Row> {
        let (further, mut whole): (Vec<Row>, Vec<Row>) = rows
            .into_iter()
            .partition(|row| further_number(&row.key).is_some());
        let mut by_key: BTreeMap<String, BTreeMap<u16, Row>> = BTreeMap::new();
        for row in further {
            if let Some((key, number)) = further_number(&row.key) {
                by_key
                    .entry(key.to_owned())
                    .or_default()
                    .insert(number, row);
            }
        }
        for row in &mut whole {
            let Some(further) = by_key.get(&row.key) else {
                continue;
            };
            let most = further.last_key_value().map_or(0, |(&number, _)| number);
            self.0.insert((table, row.key.clone()), most);
            if let Some(value) = joined(&row.value, further) {
                row.value = value;
            }
        }
        whole
    }
}

/// Returns whether a row is the first one of a divided value.
pub(super) fn is_divided(row: &Row) -> bool {
    row.value.first() == Some(&MARK)
}

/// Returns the value that a first row and its further rows hold, or `None` if it is not divided or
/// one of them is missing.
fn joined(first: &[u8], further: &BTreeMap<u16, Row>) -> Option<Vec<u8>> {
    let [MARK, high, low, rest @ ..] = first else {
        return None;
    };
    let mut value = rest.to_vec();
    for number in 1..=u16::from_be_bytes([*high, *low]) {
        value.extend_from_slice(&further.get(&number)?.value);
    }
    Some(value)
}

/// Returns the rows that hold a value, each with at most `max` bytes.
fn split(key: &Key, value: Vec<u8>, max: usize) -> Vec<(Key, Vec<u8>)> {
    if value.len() <= max {
        return vec![(key.clone(), value)];
    }
    let (first, rest) = value.split_at(max - HEADER_BYTES);
    let further: Vec<(Key, Vec<u8>)> = (1..)
        .zip(rest.chunks(max))
        .map(|(number, chunk)| (further_key(key, number), chunk.to_vec()))
        .collect();
    let count = u16::try_from(further.len()).unwrap_or(u16::MAX);
    let mut head = vec![MARK];
    head.extend(count.to_be_bytes());
    head.extend_from_slice(first);
    let mut rows = vec![(key.clone(), head)];
    rows.extend(further);
    rows
}

fn further_key(key: &Key, number: u16) -> Key {
    Key {
        key: format!("{}.{number}", key.key),
        ..key.clone()
    }
}

/// Returns the key of the value and the number of a further row from its key.
fn further_number(key: &str) -> Option<(&str, u16)> {
    let (key, number) = key.rsplit_once('.')?;
    Some((key, number.parse().ok()?))
}

#[cfg(test)]
mod tests;
