//! Guards against a table model with weaker or stronger guarantees than a transactional table.

use bytes::Bytes;
use decision::table::Condition;
use decision::table::Operation;
use decision::table::Outcome;
use decision::table::Token;
use decision::table::Version;
use decision::table::Write;
use standin::fault::Fault;
use standin::table::Model;

fn commit(key: &str, expected: u64, value: Option<&'static str>) -> Operation {
    Operation::Commit {
        token: Token(7),
        conditions: vec![Condition {
            key: key.into(),
            version: Version(expected),
        }],
        writes: vec![Write {
            key: key.into(),
            value: value.map(Bytes::from),
        }],
    }
}

fn conflict(key: &str, version: u64) -> Outcome {
    Outcome::Conflict(Condition {
        key: key.into(),
        version: Version(version),
    })
}

#[test]
fn versions_increase_even_across_a_deletion() {
    let mut table = Model::default();
    let cases = [
        (
            commit("a", 0, Some("one")),
            Outcome::Committed(vec![Version(1)]),
        ),
        (commit("a", 0, Some("two")), conflict("a", 1)),
        (commit("a", 1, None), Outcome::Committed(vec![Version(2)])),
        (
            commit("a", 0, Some("three")),
            Outcome::Committed(vec![Version(3)]),
        ),
        (commit("a", 1, Some("four")), conflict("a", 3)),
    ];
    for (operation, expected) in cases {
        assert_eq!(table.apply(&operation), expected, "{operation:?}");
    }
}

#[test]
fn a_failed_condition_changes_no_row() {
    let mut table = Model::default();
    let operation = Operation::Commit {
        token: Token(1),
        conditions: vec![Condition {
            key: "b".into(),
            version: Version(4),
        }],
        writes: vec![Write {
            key: "a".into(),
            value: Some(Bytes::from("x")),
        }],
    };
    assert_eq!(table.apply(&operation), conflict("b", 0));
    assert!(table.row("a").is_none());
}

#[test]
fn a_lost_answer_has_its_effect_and_an_outage_has_none() {
    let mut table = Model::default();
    table.fault = Fault {
        lose_every: 1,
        ..Fault::default()
    };
    assert_eq!(table.apply(&commit("a", 0, Some("one"))), Outcome::Unknown);
    assert!(table.row("a").is_some());
    table.fault = Fault {
        outage: true,
        ..Fault::default()
    };
    assert_eq!(
        table.apply(&commit("b", 0, Some("one"))),
        Outcome::Unavailable
    );
    assert!(table.row("b").is_none());
}

#[test]
fn scans_page_without_gaps_or_repeats() {
    let mut table = Model::default();
    for key in ["job/a/1", "job/a/2", "job/a/3", "job/b/1"] {
        table.apply(&commit(key, 0, Some("x")));
    }
    let mut after = String::new();
    let mut keys = Vec::new();
    loop {
        let scan = Operation::Scan {
            prefix: "job/a/".into(),
            after: after.clone(),
            limit: 2,
        };
        let Outcome::Rows(rows) = table.apply(&scan) else {
            panic!("a scan returned something other than rows")
        };
        let Some(last) = rows.last() else { break };
        after.clone_from(&last.key);
        keys.extend(rows.into_iter().map(|row| row.key));
    }
    assert_eq!(keys, ["job/a/1", "job/a/2", "job/a/3"]);
}
