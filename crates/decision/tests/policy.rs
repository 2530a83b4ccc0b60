//! Tests of the single parts of the placement policy: estimates, interference, protection,
//! quarantine and fairness.

use decision::clock::Ms;
use decision::config::Checked;
use decision::config::Document;
use decision::config::Team;
use decision::estimate::Estimate;
use decision::fair::Shares;
use decision::interference::Model;
use decision::interference::Presence;
use decision::name::Name;
use decision::protect::Action;
use decision::protect::Guard;
use decision::quarantine::Change;
use decision::quarantine::Health;
use decision::resource::Size;

const fn size(millicores: u32, memory_mb: u32) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators: 0,
    }
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

const DECLARED: Size = size(1_000, 1_000);
const LARGEST: Size = size(8_000, 8_000);

/// Guards against grants that are below the observed usage, above the largest worker, or determined
/// by a few reports alone.
#[test]
fn grants_follow_reports_within_bounds() {
    // (reports, memory used, memory floor, min memory granted, max memory granted)
    let cases = [
        (0, 0, 0, 1_000, 1_000),
        (1, 100, 0, 500, 700),
        (100, 100, 0, 150, 250),
        (1, 3_000, 0, 3_000, 3_000),
        (100, 3_000, 0, 3_000, 3_500),
        (0, 0, 2_000, 2_000, 2_000),
        (100, 7_900, 0, 7_900, 8_000),
        (0, 0, 20_000, 8_000, 8_000),
    ];
    for case in cases {
        let (reports, memory, floor, min, max) = case;
        let mut estimate = Estimate::default();
        for _ in 0..reports {
            estimate.record_usage(DECLARED, size(1_000, 8_000), size(900, memory), true);
        }
        let grant = estimate.grant(DECLARED, floor, LARGEST);
        assert!(
            (min..=max).contains(&grant.memory_mb),
            "{case:?}: {grant:?}"
        );
    }
}

/// Guards against a kind that keeps running out of memory at its first grant.
#[test]
fn memory_failures_raise_later_grants() {
    let mut estimate = Estimate::default();
    for _ in 0..20 {
        let grant = estimate.grant(DECLARED, 0, LARGEST);
        estimate.record_exhaustion(DECLARED, grant);
    }
    assert!(estimate.grant(DECLARED, 0, LARGEST).memory_mb >= 2_000);
}

/// Guards against processor grants that shrink through samples of memory alone. Such a task would
/// run many times longer than necessary.
#[test]
fn memory_failures_do_not_change_processor_grants() {
    let mut estimate = Estimate::default();
    for _ in 0..20 {
        estimate.record_exhaustion(DECLARED, DECLARED);
    }
    assert_eq!(estimate.grant(DECLARED, 0, LARGEST).millicores, 1_000);
}

/// Guards against a single busy task that raises the processor grants of all later tasks, which
/// would leave most of each worker idle.
#[test]
fn processor_grants_follow_the_mean_usage() {
    let mut estimate = Estimate::default();
    for index in 0..100 {
        let millicores = if index % 10 == 0 { 2_000 } else { 200 };
        estimate.record_usage(DECLARED, LARGEST, size(millicores, 100), true);
    }
    let granted = estimate.grant(DECLARED, 0, LARGEST).millicores;
    assert!((380..=800).contains(&granted), "{granted}");
}

/// Guards against a declared size above that of every worker that is reduced until it seems to fit.
#[test]
fn an_impossible_declaration_stays_impossible() {
    let declared = size(9_000, 1_000);
    let grant = Estimate::default().grant(declared, 0, LARGEST);
    assert!(!grant.fits(LARGEST));
}

/// Guards against declared run times that are never corrected, or fully replaced by a single
/// sample.
#[test]
fn run_times_are_corrected() {
    for (completions, min, max) in [(0, 1_000, 1_000), (1, 1_100, 6_000), (50, 5_000, 10_000)] {
        let mut estimate = Estimate::default();
        for _ in 0..completions {
            estimate.record_completion(DECLARED, DECLARED, Ms(1_000), Ms(10_000));
        }
        let time = estimate.run_time(Ms(1_000)).0;
        assert!((min..=max).contains(&time), "{completions}: {time}");
    }
}

/// Returns the presence of tasks of a kind that hold half of a worker.
const fn half_worker(kind: &Name) -> Presence<'_> {
    Presence { kind, share: 0.5 }
}

/// Guards against a slowdown that is attributed to the wrong kind.
#[test]
fn slowdown_is_learned_per_pair() {
    let (service, request) = (name("orders"), name("order"));
    let (interfering, harmless) = (name("interfering"), name("harmless"));
    let mut model = Model::default();
    let rounds = [
        (vec![], 20),
        (vec![interfering.clone()], 60),
        (vec![harmless.clone()], 20),
        (vec![interfering.clone(), harmless.clone()], 60),
    ];
    assert!(!model.is_known(&service, &interfering));
    for _ in 0..200 {
        for (present, time) in &rounds {
            let present = present.iter().map(half_worker).collect::<Vec<_>>();
            model.observe(&service, &request, Ms(*time), &present);
        }
    }
    assert!(model.is_known(&service, &interfering) && model.is_known(&service, &harmless));
    let slowdown = |kind: &Name| model.slowdown(&service, [half_worker(kind)]);
    assert!(
        (2.5..3.5).contains(&slowdown(&interfering)),
        "{}",
        slowdown(&interfering)
    );
    assert!(slowdown(&harmless) < 1.2, "{}", slowdown(&harmless));
    assert!(slowdown(&name("unseen")) < 1.01);
}

/// Records ten measurements of one ratio per second, decides once per second, and returns the
/// actions other than `Keep`.
fn observe_and_decide(guard: &mut Guard, from: u64, seconds: u64, ratio: f64) -> Vec<Action> {
    let mut actions = Vec::new();
    for second in from..from + seconds {
        for part in 0..10 {
            guard.observe(Ms(second * 1_000 + part * 100), ratio);
        }
        actions.push(guard.decide(Ms(second * 1_000 + 999), 1.5));
    }
    actions.retain(|action| *action != Action::Keep);
    actions
}

/// Guards against evictions before the milder stages, and against protection below the limit.
#[test]
fn protection_escalates_in_order() {
    let mut guard = Guard::default();
    let actions = observe_and_decide(&mut guard, 0, 12, 3.0);
    let expected = [
        Action::Throttle(50),
        Action::Throttle(20),
        Action::Pause,
        Action::Evict,
    ];
    assert_eq!(actions[..4], expected);
    let mut idle = Guard::default();
    assert_eq!(observe_and_decide(&mut idle, 0, 12, 1.2), []);
}

/// Guards against protection that goes on although the service has recovered or has no traffic.
#[test]
fn protection_ends_when_the_service_recovers() {
    let mut guard = Guard::default();
    assert_eq!(
        observe_and_decide(&mut guard, 0, 2, 3.0),
        [Action::Throttle(50)]
    );
    assert_eq!(observe_and_decide(&mut guard, 2, 3, 1.0), [Action::Release]);
    let mut unmeasured = Guard::default();
    observe_and_decide(&mut unmeasured, 0, 2, 3.0);
    assert_eq!(unmeasured.decide(Ms(6_000), 1.5), Action::Release);
}

/// Guards against protection that alternates between throttling and release without delay.
#[test]
fn relapses_delay_the_release() {
    let mut guard = Guard::default();
    let mut releases = 0;
    for round in 0..10 {
        observe_and_decide(&mut guard, round * 4, 2, 3.0);
        let released = observe_and_decide(&mut guard, round * 4 + 2, 2, 1.0);
        releases += released
            .iter()
            .filter(|action| **action == Action::Release)
            .count();
    }
    assert!((1..8).contains(&releases), "{releases} releases in 40 s");
}

/// Guards against workers that fail all tasks and still get new ones, and against healthy workers
/// that are quarantined after a few failures.
#[test]
fn workers_that_fail_everything_are_quarantined() {
    // (results: true for success, quarantined)
    let cases = [
        (vec![false; 4], false),
        (vec![false; 5], true),
        ([vec![true; 10], vec![false; 3]].concat(), false),
        ([true, true, false].repeat(20), false),
    ];
    for (results, quarantined) in cases {
        let mut health = Health::default();
        for success in &results {
            if *success {
                health.record_success();
            } else {
                health.record_failure(Ms(0));
            }
        }
        assert_eq!(health.quarantined(), quarantined, "{results:?}");
    }
}

/// Guards against probes that start too early or at the same time, and against a return to service
/// at full load.
#[test]
fn a_quarantined_worker_is_probed_back_in() {
    let mut health = Health::default();
    for _ in 0..5 {
        health.record_failure(Ms(0));
    }
    assert!(!health.allows(Ms(999), 0));
    assert!(health.allows(Ms(1_000), 0));
    health.record_start();
    assert!(!health.allows(Ms(1_000), 1), "one probe at a time");
    assert_eq!(health.record_failure(Ms(1_500)), Change::Quarantined);
    assert!(
        !health.allows(Ms(3_400), 0),
        "the delay before the probe doubles"
    );
    assert!(health.allows(Ms(3_500), 0));
    health.record_start();
    assert_eq!(health.record_success(), Change::Restored);
    for (tasks, allowed) in [(0, true), (1, false)] {
        assert_eq!(health.allows(Ms(4_000), tasks), allowed, "slow start");
    }
    for _ in 0..4 {
        health.record_success();
    }
    assert!(health.allows(Ms(4_000), 100));
}

/// Guards against shares that ignore weights or usage on other entries, and against exceeded
/// quotas.
#[test]
fn shares_follow_weights_and_quotas() {
    let team = |raw: &str, weight| Team {
        name: name(raw),
        quota: size(4_000, 4_000),
        weight,
    };
    let document = Document {
        teams: vec![team("heavy", 4), team("light", 1)],
        ..Document::default()
    };
    let config = Checked::try_from(document).expect("the test configuration is valid");
    let mut shares = Shares::default();
    shares.resize(Size::ZERO, size(100_000, 100_000));
    shares.set_held_elsewhere(vec![(name("light"), size(1_000, 500))]);
    let held = size(1_000, 1_000);
    let (heavy, light) = (name("heavy"), name("light"));
    assert!(
        shares.dominant_share(&config, &heavy, held) < shares.dominant_share(&config, &light, held)
    );
    // (team, held here, one more task fits the quota)
    let cases = [
        (&heavy, size(3_000, 0), true),
        (&heavy, size(3_001, 0), false),
        (&light, size(2_000, 0), true),
        (&light, size(3_000, 0), false),
        (&light, size(0, 3_000), false),
    ];
    for (team, held, within) in cases {
        let found = shares.within_quota(&config, team, held, DECLARED);
        assert_eq!(found, within, "{team} holds {held:?}");
    }
}
