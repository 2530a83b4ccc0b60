//! How filling tasks yield to serving ones.

use decision::clock::Ms;
use scheduler::pace::Pacer;

const LOOK: u64 = 900;

#[test]
fn the_share_falls_fast_and_rises_slowly() {
    let mut pacer = Pacer::default();
    let tails = [0.5, 0.9, 1.2, 0.6, 0.6, 0.8];
    let shares = [100, 50, 10, 25, 40, 40];
    for (index, (tail, share)) in (1..).zip(tails.into_iter().zip(shares)) {
        assert_eq!(pacer.update(Ms(index * LOOK), tail), share, "look {index}");
    }
}

#[test]
fn all_filling_tasks_halt_well_before_a_serving_task_counts_as_harmed() {
    let harm = 4_000;
    let mut pacer = Pacer::default();
    let mut halted = None;
    for index in 1..20 {
        let now = index * LOOK;
        if pacer.guard(Ms(now), 1.5) && halted.is_none() {
            halted = Some(now - LOOK);
        }
    }
    assert!(
        halted.is_some_and(|after| after + 2 * LOOK <= harm),
        "{halted:?}"
    );
}

#[test]
fn a_tail_that_stays_over_its_limit_through_a_halt_has_another_cause() {
    let mut pacer = Pacer::default();
    let halts: Vec<bool> = (1..12)
        .map(|index| pacer.guard(Ms(index * LOOK), 1.5))
        .collect();
    assert!(halts.contains(&true));
    assert!(!halts[10]);
    assert!(!pacer.guard(Ms(12 * LOOK), 0.5));
    assert!(!pacer.guard(Ms(13 * LOOK), 1.5));
    assert!(pacer.guard(Ms(15 * LOOK), 1.5));
}
