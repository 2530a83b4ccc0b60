//! Tests of the pacing of filling tasks beside serving tasks.

use decision::clock::Ms;
use scheduler::pace;
use scheduler::pace::Fill;
use scheduler::pace::Pacer;
use scheduler::pace::Urgency;

const POLL_INTERVAL_MS: u64 = 900;

fn fill(urgency: Urgency, share: u8, slack_costs: &[f64]) -> Fill {
    Fill {
        urgency,
        share,
        slack_costs: slack_costs.to_vec(),
    }
}

/// The name of the case, the slack of the serving tasks, the filling runs and the expected shares.
type Case<'a> = (&'a str, &'a [f64], &'a [Fill], &'a [u8]);

#[test]
fn runs_yield_as_far_as_the_slack_of_serving_tasks_needs() {
    let cases: [Case<'_>; 6] = [
        (
            "enough slack for all",
            &[2.5],
            &[fill(Urgency::Critical, 100, &[1.0])],
            &[100],
        ),
        (
            "part of one run",
            &[1.625],
            &[fill(Urgency::Critical, 100, &[1.0])],
            &[50],
        ),
        (
            "late and early runs before critical ones",
            &[2.4325],
            &[
                fill(Urgency::Critical, 100, &[1.0]),
                fill(Urgency::Early, 100, &[0.5]),
                fill(Urgency::Late, 100, &[0.5]),
            ],
            &[100, 51, 10],
        ),
        (
            "the heaviest first",
            &[1.625],
            &[
                fill(Urgency::Early, 100, &[0.25]),
                fill(Urgency::Early, 100, &[0.5]),
            ],
            &[100, 50],
        ),
        (
            "no run that costs little slack or that of another task",
            &[1.0, 3.0],
            &[
                fill(Urgency::Late, 100, &[0.04, 0.0]),
                fill(Urgency::Late, 100, &[0.0, 1.0]),
            ],
            &[100, 100],
        ),
        (
            "shares rise in steps",
            &[4.0],
            &[fill(Urgency::Critical, 10, &[1.0])],
            &[50],
        ),
    ];
    for (case, base_slack, fills, expected) in cases {
        assert_eq!(pace::shares(base_slack, fills), expected, "{case}");
    }
}

#[test]
fn shares_are_kept_until_measurements_reflect_the_last_change() {
    let mut pacer = Pacer::default();
    assert!(pacer.is_settled(Ms(1_000)));
    pacer.record_change(Ms(1_000));
    assert!(!pacer.is_settled(Ms(1_400)));
    assert!(pacer.is_settled(Ms(1_700)));
}

#[test]
fn all_filling_tasks_halt_well_before_a_serving_task_counts_as_harmed() {
    let harm_ms = 4_000;
    let mut pacer = Pacer::default();
    let mut halted = None;
    for index in 1..20 {
        let now = index * POLL_INTERVAL_MS;
        if pacer.update_halt(Ms(now), 1.5) && halted.is_none() {
            halted = Some(now - POLL_INTERVAL_MS);
        }
    }
    assert!(
        halted.is_some_and(|after| after + 2 * POLL_INTERVAL_MS <= harm_ms),
        "{halted:?}"
    );
}

#[test]
fn a_tail_that_stays_over_its_limit_through_a_halt_has_another_cause() {
    let mut pacer = Pacer::default();
    let halts: Vec<bool> = (1..12)
        .map(|index| pacer.update_halt(Ms(index * POLL_INTERVAL_MS), 1.5))
        .collect();
    assert!(halts.contains(&true));
    assert!(!halts[10]);
    assert!(!pacer.update_halt(Ms(12 * POLL_INTERVAL_MS), 0.5));
    assert!(!pacer.update_halt(Ms(13 * POLL_INTERVAL_MS), 1.5));
    assert!(pacer.update_halt(Ms(15 * POLL_INTERVAL_MS), 1.5));
}
