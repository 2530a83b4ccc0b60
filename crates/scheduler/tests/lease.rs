//! Tests of what an agent tells a worker in its polls.

use decision::clock::Ms;
use scheduler::agent::ACKNOWLEDGEMENT_TIMEOUT;
use scheduler::agent::Lease;

const INCARNATION: Ms = Ms(77);
const NEXT_INCARNATION: Ms = Ms(78);
const ACKNOWLEDGED: Option<(Ms, u64)> = Some((INCARNATION, 5));

fn answered_lease() -> Lease {
    let mut lease = Lease::new(Ms(6_000), Ms(1_000));
    lease.record_answer(Ms(1_010), Ms(500), INCARNATION);
    lease
}

#[test]
fn a_poll_after_an_unanswered_one_discards_no_ends_of_a_worker_that_may_have_restarted() {
    let mut lease = answered_lease();
    assert_eq!(lease.acknowledged(Ms(1_010), ACKNOWLEDGED), 5);
    lease.record_failure(Ms(1_020));
    assert_eq!(lease.acknowledged(Ms(1_020), ACKNOWLEDGED), 0);
    lease.record_answer(Ms(2_500), Ms(1_990), INCARNATION);
    assert_eq!(lease.acknowledged(Ms(2_500), ACKNOWLEDGED), 5);
}

#[test]
fn a_poll_of_a_restarted_worker_discards_no_ends_by_the_number_of_its_former_life() {
    let mut lease = answered_lease();
    lease.record_failure(Ms(2_000));
    lease.record_answer(Ms(2_500), Ms(90), NEXT_INCARNATION);
    assert_eq!(lease.acknowledged(Ms(2_500), ACKNOWLEDGED), 0);
    let next = Some((NEXT_INCARNATION, 1));
    assert_eq!(lease.acknowledged(Ms(2_500), next), 1);
}

/// A worker that restarts while no poll is under way fails none: its connections are replaced, and
/// the next poll reaches the next incarnation, whose ends have the same numbers. An agent polls
/// seldom only while it waits for an acknowledgement or is suspended.
#[test]
fn a_poll_discards_no_ends_if_the_worker_may_have_restarted_since_its_last_answer() {
    let cases = [
        (Ms::ZERO, 5),
        (ACKNOWLEDGEMENT_TIMEOUT, 5),
        (ACKNOWLEDGEMENT_TIMEOUT + Ms(100), 5),
        (Ms(500), 0),
        (Ms(1_000), 0),
        (Ms(10_000), 0),
    ];
    for (age, number) in cases {
        let now = Ms(1_010) + age;
        let lease = answered_lease();
        assert_eq!(lease.acknowledged(now, ACKNOWLEDGED), number, "{age}");
    }
    let unanswered = Lease::new(Ms(6_000), Ms(1_000));
    assert_eq!(unanswered.acknowledged(Ms(1_000), ACKNOWLEDGED), 0);
}
