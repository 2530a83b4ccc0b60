//! Tests of what an agent tells a worker in its polls.

use decision::clock::Ms;
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
    assert_eq!(lease.acknowledged(ACKNOWLEDGED), 5);
    lease.record_failure(Ms(2_000));
    assert_eq!(lease.acknowledged(ACKNOWLEDGED), 0);
    lease.record_answer(Ms(2_500), Ms(1_990), INCARNATION);
    assert_eq!(lease.acknowledged(ACKNOWLEDGED), 5);
}

#[test]
fn a_poll_of_a_restarted_worker_discards_no_ends_by_the_number_of_its_former_life() {
    let mut lease = answered_lease();
    lease.record_failure(Ms(2_000));
    lease.record_answer(Ms(2_500), Ms(90), NEXT_INCARNATION);
    assert_eq!(lease.acknowledged(ACKNOWLEDGED), 0);
    assert_eq!(lease.acknowledged(Some((NEXT_INCARNATION, 1))), 1);
}
