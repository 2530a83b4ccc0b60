//! Tests of the encoding of table rows.

use decision::config::Document;
use decision::config::Version;
use decision::record;
use decision::record::Config;
use decision::record::Error;

fn sample() -> Config {
    Config {
        version: Version(7),
        document: Document::default(),
    }
}

// Guards against a record that decodes to another value than was encoded.
#[test]
fn a_record_reads_back() {
    let row = record::encode(&sample());
    assert_eq!(record::decode(&row), Ok(sample()));
}

// Guards against a change of format that makes rows of an earlier build unreadable.
#[test]
fn the_format_is_stable() {
    let row = record::encode(&sample());
    let hex = row.iter().map(|byte| format!("{byte:02x}"));
    insta::assert_snapshot!(String::from_iter(hex), @"0141a3b9369207939090940a0502cc96");
}

// Guards against a single flipped bit that is not detected.
#[test]
fn damage_is_found() {
    let row = record::encode(&sample());
    for index in 0..row.len() {
        for bit in 0..8 {
            let mut damaged = row.to_vec();
            damaged[index] ^= 1 << bit;
            let read = record::decode::<Config>(&damaged);
            assert!(read.is_err(), "byte {index}, bit {bit}: {read:?}");
        }
    }
}

// Guards against errors that do not identify why a record could not be decoded.
#[test]
fn errors_are_typed() {
    let row = record::encode(&sample()).to_vec();
    let with = |index: usize, value: u8| {
        let mut row = row.clone();
        row[index] = value;
        row
    };
    let last = row.len() - 1;
    let cases = [
        (row[..3].to_vec(), Error::Short(3)),
        (
            with(0, record::FORMAT + 1),
            Error::Newer(record::FORMAT + 1),
        ),
        (with(0, 0), Error::Format(0)),
        (with(last, row[last] ^ 1), Error::Checksum),
    ];
    for (row, error) in cases {
        assert_eq!(record::decode::<Config>(&row), Err(error));
    }
    let other = record::encode(&"text");
    let read = record::decode::<Config>(&other);
    assert!(matches!(read, Err(Error::Body(_))), "{read:?}");
}
