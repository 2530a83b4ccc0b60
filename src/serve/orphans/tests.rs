use adapter::store::Key;
use adapter::store::Row;
use decision::clock::Ms;
use scheduler::id::Job;

use super::MAX_REMOVED;
use super::Orphans;
use super::Quota;
use super::RETENTION;
use super::WRITE_BURST;
use super::WRITE_INTERVAL;
use crate::serve::rows;

const JOB: Job = Job(9);

fn row(key: Key, version: u64) -> Row {
    Row {
        part: key.part.into(),
        key: key.key,
        version,
        ..Row::default()
    }
}

fn removed(key: Key, version: u64) -> Row {
    Row {
        is_removed: true,
        ..row(key, version)
    }
}

#[test]
fn a_job_is_cancelled_in_whichever_order_its_rows_come() {
    for keys in [
        [rows::accepted(JOB), rows::cancelled(JOB)],
        [rows::cancelled(JOB), rows::accepted(JOB)],
    ] {
        let mut orphans = Orphans::default();
        let [first, second] = keys;
        assert_eq!(orphans.record(Ms(1), &row(first, 1)), None);
        assert_eq!(orphans.record(Ms(2), &row(second, 2)), Some(JOB));
        assert!(orphans.removals(Ms(2) + RETENTION).is_empty());
    }
}

#[test]
fn a_cancellation_without_a_job_is_removed_after_a_while_if_there_still_is_none() {
    let mut orphans = Orphans::default();
    orphans.record(Ms(1), &row(rows::cancelled(JOB), 5));
    assert!(orphans.removals(RETENTION).is_empty());
    let removals = orphans.removals(Ms(1) + RETENTION);
    assert_eq!(removals.len(), 1);
    let expected = vec![(rows::accepted(JOB), 0), (rows::cancelled(JOB), 5)];
    assert_eq!(removals[0].expected, expected);
    assert_eq!(removals[0].removed, [rows::cancelled(JOB)]);
    assert!(removals[0].puts.is_empty());
    orphans.record(Ms(2), &removed(rows::cancelled(JOB), 6));
    assert!(orphans.removals(Ms(1) + RETENTION).is_empty());
    // A job that is submitted later is a new one.
    assert_eq!(orphans.record(Ms(3), &row(rows::accepted(JOB), 7)), None);
}

#[test]
fn a_repeated_cancellation_is_kept_for_as_long_again() {
    let mut orphans = Orphans::default();
    orphans.record(Ms(1), &row(rows::cancelled(JOB), 5));
    orphans.record(Ms(100), &row(rows::cancelled(JOB), 6));
    assert!(orphans.removals(Ms(99) + RETENTION).is_empty());
    assert_eq!(orphans.removals(Ms(100) + RETENTION).len(), 1);
}

#[test]
fn a_read_of_the_whole_table_keeps_the_age_of_cancellations_and_drops_missing_ones() {
    let mut orphans = Orphans::default();
    let other = Job(10);
    let kept = row(rows::cancelled(JOB), 5);
    orphans.record(Ms(1), &kept);
    orphans.record(Ms(1), &row(rows::cancelled(other), 6));
    orphans.restart(std::slice::from_ref(&kept));
    orphans.record(Ms(50), &kept);
    let removals = orphans.removals(Ms(1) + RETENTION);
    assert_eq!(removals.len(), 1);
    assert_eq!(removals[0].removed, [rows::cancelled(JOB)]);
}

#[test]
fn a_transaction_removes_a_bounded_number_of_one_part() {
    let mut orphans = Orphans::default();
    let parts = rows::JOB_PARTS.len() as u64;
    for job in 0..1_000 * parts {
        orphans.record(Ms(1), &row(rows::cancelled(Job(job)), job + 1));
    }
    let removals = orphans.removals(Ms(1) + RETENTION);
    assert_eq!(removals.len(), rows::JOB_PARTS.len());
    for removal in removals {
        assert_eq!(removal.removed.len(), MAX_REMOVED);
        let part = removal.removed[0].part;
        assert!(removal.removed.iter().all(|key| key.part == part));
        assert!(removal.expected.iter().all(|(key, _)| key.part == part));
    }
}

#[test]
fn writes_are_limited_to_a_burst_and_then_to_a_rate() {
    let mut quota = Quota::default();
    let now = Ms(10_000);
    let taken = (0..100).filter(|_| quota.take(now)).count() as u64;
    assert_eq!(taken, WRITE_BURST);
    assert!(!quota.take(now + Ms(WRITE_INTERVAL.0 - 1)));
    assert!(quota.take(now + WRITE_INTERVAL));
    assert!(!quota.take(now + WRITE_INTERVAL));
}
