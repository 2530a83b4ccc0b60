//! Tests of commits, their ambiguous outcomes and the write budget.

use decision::clock::Ms;
use decision::commit::Backoff;
use decision::commit::Budget;
use decision::commit::ROWS_PER_S;
use decision::commit::Resolution;
use decision::commit::Transaction;
use decision::commit::Writer;
use decision::control::Id;
use decision::table::Condition;
use decision::table::Operation;
use decision::table::Outcome;
use decision::table::Row;
use decision::table::Token;
use decision::table::Version;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn condition(version: u64) -> Condition {
    Condition {
        key: "row".into(),
        version: Version(version),
    }
}

fn row(version: u64, token: Token) -> Row {
    Row {
        key: "row".into(),
        version: Version(version),
        token,
        value: bytes::Bytes::new(),
    }
}

/// Creates a writer with one transaction in flight, which replaces version 3 of a row.
fn sent() -> (Writer<u32>, Token) {
    let mut writer = Writer::new("entry", 1);
    let mut transaction = Transaction::default();
    transaction.replace("row", Version(3), Some(bytes::Bytes::new()));
    writer.push(1, transaction);
    match writer.next_operation(Ms::ZERO, Id(1)) {
        Some(Operation::Commit { token, .. }) => (writer, token),
        other => panic!("{other:?}"),
    }
}

/// Passes an outcome to the writer. Returns the resolution of the transaction if there is one.
fn resolve(writer: &mut Writer<u32>, id: u64, outcome: &Outcome) -> Option<Resolution> {
    Some(writer.handle_outcome(Id(id), outcome)?.2)
}

// Guards against a commit that counts as failed although it took effect, or the reverse.
#[test]
fn clear_outcomes_are_final_at_once() {
    let cases = [
        (
            Outcome::Committed(vec![Version(4)]),
            Resolution::Done(vec![Version(4)]),
        ),
        (
            Outcome::Conflict(condition(5)),
            Resolution::Conflict(condition(5)),
        ),
        (Outcome::Unavailable, Resolution::Unavailable),
    ];
    for (outcome, expected) in cases {
        let (mut writer, _) = sent();
        assert!(writer.is_locked("row"));
        assert_eq!(resolve(&mut writer, 1, &outcome), Some(expected));
        assert!(!writer.is_locked("row") && writer.is_idle());
    }
}

// Guards against a commit without an answer that counts as failed or successful before its rows
// were read back, and against a repeated commit that takes effect twice.
#[test]
fn lost_answers_are_read_back() {
    for found in ["own", "other", "before"] {
        let (mut writer, token) = sent();
        assert_eq!(resolve(&mut writer, 1, &Outcome::Unknown), None);
        let read = writer.next_operation(Ms::ZERO, Id(2));
        assert_eq!(read, Some(Operation::Read(vec!["row".into()])));
        let rows = match found {
            "own" => vec![row(4, token)],
            "other" => vec![row(4, Token(9))],
            _ => vec![row(3, Token(9))],
        };
        let end = resolve(&mut writer, 2, &Outcome::Rows(rows));
        match found {
            "own" => assert_eq!(end, Some(Resolution::Done(vec![Version(4)]))),
            "other" => assert_eq!(end, Some(Resolution::Conflict(condition(3)))),
            _ => {
                assert_eq!(end, None);
                let again = writer.next_operation(Ms::ZERO, Id(3));
                let Some(Operation::Commit {
                    token: same,
                    conditions,
                    ..
                }) = again
                else {
                    panic!("{again:?}");
                };
                assert_eq!((same, conditions), (token, vec![condition(3)]));
            }
        }
    }
}

// Guards against a repeated commit whose failure counts as final although the first copy may have
// taken effect.
#[test]
fn a_repeated_commit_is_read_back_when_it_fails() {
    for failure in [Outcome::Conflict(condition(4)), Outcome::Unavailable] {
        let (mut writer, token) = sent();
        assert_eq!(resolve(&mut writer, 1, &Outcome::Unknown), None);
        assert!(writer.next_operation(Ms::ZERO, Id(2)).is_some());
        let before = Outcome::Rows(vec![row(3, Token(9))]);
        assert_eq!(resolve(&mut writer, 2, &before), None);
        assert!(writer.next_operation(Ms::ZERO, Id(3)).is_some());
        assert_eq!(resolve(&mut writer, 3, &failure), None);
        assert!(matches!(
            writer.next_operation(Ms::ZERO, Id(4)),
            Some(Operation::Read(_))
        ));
        let after = Outcome::Rows(vec![row(4, token)]);
        assert_eq!(
            resolve(&mut writer, 4, &after),
            Some(Resolution::Done(vec![Version(4)]))
        );
    }
}

// Guards against an entry that writes more than its share of the rate.
#[test]
fn the_budget_bounds_the_rate() {
    for entries in [1, 9, 250] {
        let mut budget = Budget::new(Ms::ZERO, entries);
        let mut rows = 0;
        for tick in 0..600 {
            while budget.try_acquire(Ms(tick * 100), 5) {
                rows += 5;
            }
        }
        let share = (ROWS_PER_S / entries as u64).max(1);
        // The depth of the bucket and one overdraft are allowed on top of the rate.
        assert!(
            rows <= share * 61 + 5,
            "{entries} entries: {rows} rows in 60 s"
        );
        assert!(rows >= share * 50, "{entries} entries: {rows} rows in 60 s");
    }
}

// Guards against entries that all retry at the same time after an outage.
#[test]
fn backoff_is_spread_and_bounded() {
    let mut ends = Vec::new();
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut backoff = Backoff::default();
        let mut now = Ms::ZERO;
        for _ in 0..12 {
            backoff.record_failure(now, &mut random);
            let from = now;
            while !backoff.is_elapsed(now) {
                now += Ms(10);
            }
            assert!(now.since(from) <= Ms(5_010));
        }
        ends.push(now);
        assert!(backoff.record_success());
        assert!(backoff.is_elapsed(now) && backoff.down_since().is_none());
    }
    ends.sort_unstable();
    ends.dedup();
    assert!(ends.len() > 45, "{} of 50 differ", ends.len());
}
