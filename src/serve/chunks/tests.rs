//! Tests of values that are larger than a row.

use super::*;

const TABLE: &str = "progress";
const MAX: usize = 10;

fn key() -> Key {
    Key::new(TABLE, "", "00000000000000a1")
}

fn value(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|byte| (byte % 100) as u8).collect()
}

/// Applies a transaction to the rows of a store, and returns the longest value.
fn apply(store: &mut BTreeMap<String, Vec<u8>>, transaction: Transaction) -> usize {
    for key in transaction.removed {
        store.remove(&key.key);
    }
    for (key, value) in transaction.puts {
        store.insert(key.key, value);
    }
    store.values().map(Vec::len).max().unwrap_or(0)
}

fn read(store: &BTreeMap<String, Vec<u8>>) -> Vec<Row> {
    let rows = store.iter().map(|(key, value)| Row {
        key: key.clone(),
        value: value.clone(),
        ..Row::default()
    });
    rows.collect()
}

/// The store refuses rows that are too long, and repeated the same write for ever.
#[test]
fn a_value_of_any_length_is_read_as_it_was_written() {
    let mut store = BTreeMap::new();
    let mut writer = Divided::default();
    for bytes in [3, 10, 11, 17, 18, 100, 40, 7, 27, 0] {
        let mut transaction = Transaction::default();
        writer.put(&mut transaction, key(), value(bytes), MAX);
        let longest = apply(&mut store, transaction);
        assert!(longest <= MAX, "{bytes} bytes: a row has {longest}");
        // A later leader reads the rows and goes on.
        let mut reader = Divided::default();
        let rows = reader.join(TABLE, read(&store));
        let values: Vec<(&str, &[u8])> = rows.iter().map(|row| (&*row.key, &*row.value)).collect();
        assert_eq!(values, [(&*key().key, &*value(bytes))]);
        writer = reader;
    }
}

/// A write that was not confirmed may have left rows that the next one does not need.
#[test]
fn rows_of_an_unconfirmed_write_are_removed_by_a_later_one() {
    let mut store = BTreeMap::new();
    let mut writer = Divided::default();
    for bytes in [100, 50, 5] {
        let mut transaction = Transaction::default();
        writer.put(&mut transaction, key(), value(bytes), MAX);
        if bytes != 50 {
            apply(&mut store, transaction);
        }
    }
    assert_eq!(store.len(), 1);
}

#[test]
fn a_value_that_misses_a_row_is_not_taken_for_a_whole_one() {
    let mut store = BTreeMap::new();
    let mut transaction = Transaction::default();
    Divided::default().put(&mut transaction, key(), value(35), MAX);
    apply(&mut store, transaction);
    store.remove(&format!("{}.2", key().key));
    let rows = Divided::default().join(TABLE, read(&store));
    assert_eq!(rows.len(), 1);
    assert!(is_divided(&rows[0]));
}
