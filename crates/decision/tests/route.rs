//! Tests of the routing table and of target health.

use decision::clock::Ms;
use decision::health::Change;
use decision::health::Health;
use decision::name::Name;
use decision::request::Target;
use decision::route::Choice;
use decision::route::Criteria;
use decision::route::Table;
use decision::worker::Epoch;

/// Expected numbers of choices by target.
type Counts<'a> = &'a [(&'a str, usize)];
/// Results of requests: whether they failed, and how many in a row.
type Results<'a> = &'a [(bool, u32)];

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

fn target(vm: &str) -> Target {
    Target {
        vm: name(vm),
        epoch: Epoch { row: 1, step: 0 },
        domain: name("a"),
        slots: 8,
        busy: 0,
        snapshot: None,
        leaving: false,
        slowdown: 100,
    }
}

fn table(targets: &[Target]) -> Table {
    let mut table = Table::new(name("a"));
    table.update(targets.to_vec());
    table
}

/// Chooses targets and acquires their slots until no slot is free or `limit` is reached. Returns
/// how often each target was chosen.
fn fill(table: &mut Table, criteria: &Criteria<'_>, limit: usize) -> Vec<(String, usize)> {
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..limit {
        let Some(choice) = table.choose(Ms(1), criteria) else {
            break;
        };
        table.acquire(choice, criteria.limit_long);
        *counts.entry(table.vm(choice.id).to_string()).or_insert(0) += 1;
    }
    counts.into_iter().collect()
}

/// Guards against uneven load, requests to full or leaving targets, and long requests that acquire
/// all slots of a target.
#[test]
fn slots_are_acquired_in_order_of_cost() {
    let slow = Target {
        slowdown: 300,
        ..target("slow")
    };
    let small = Target {
        slots: 4,
        ..target("small")
    };
    let busy = Target {
        busy: 6,
        ..target("busy")
    };
    let far = Target {
        domain: name("b"),
        ..target("far")
    };
    let leaving = Target {
        leaving: true,
        ..target("leaving")
    };
    let long = Criteria {
        limit_long: true,
        ..Criteria::default()
    };
    let short = Criteria::default();
    let cases: [(&str, &[Target], Criteria<'_>, usize, Counts<'_>); 8] = [
        (
            "even",
            &[target("x"), target("y")],
            short,
            6,
            &[("x", 3), ("y", 3)],
        ),
        (
            "all",
            &[target("x"), target("y")],
            short,
            99,
            &[("x", 8), ("y", 8)],
        ),
        (
            "slowdown",
            &[target("x"), slow],
            short,
            8,
            &[("slow", 2), ("x", 6)],
        ),
        (
            "slots",
            &[target("x"), small],
            short,
            6,
            &[("small", 2), ("x", 4)],
        ),
        (
            "busy",
            &[target("x"), busy],
            short,
            99,
            &[("busy", 2), ("x", 8)],
        ),
        (
            "domain",
            &[target("x"), far],
            short,
            3,
            &[("far", 1), ("x", 2)],
        ),
        ("leaving", &[target("x"), leaving], short, 99, &[("x", 8)]),
        (
            "long",
            &[target("x"), target("y")],
            long,
            99,
            &[("x", 3), ("y", 3)],
        ),
    ];
    for (case, targets, criteria, limit, counts) in cases {
        let counts: Vec<_> = counts
            .iter()
            .map(|(vm, count)| (vm.to_string(), *count))
            .collect();
        assert_eq!(
            fill(&mut table(targets), &criteria, limit),
            counts,
            "{case}"
        );
    }
}

/// Guards against long requests that acquire more than their share of the entry's slots.
#[test]
fn long_requests_hold_at_most_two_fifths_of_the_slots() {
    let single = Target {
        slots: 1,
        ..target("x")
    };
    let targets: Vec<Target> = (0..10)
        .map(|index| Target {
            vm: name(&format!("v{index}")),
            ..single.clone()
        })
        .collect();
    let long = Criteria {
        limit_long: true,
        ..Criteria::default()
    };
    assert_eq!(fill(&mut table(&targets), &long, 99).len(), 4);
}

/// Guards against slots of former owners that are counted twice, or that are no longer counted
/// although the worker still reports them.
#[test]
fn slots_of_former_owners_are_counted_as_reported() {
    let busy = Target {
        busy: 6,
        ..target("x")
    };
    let next = Target {
        epoch: Epoch { row: 2, step: 0 },
        ..busy.clone()
    };
    let fewer = Target {
        busy: 1,
        ..busy.clone()
    };
    let cases = [
        ("repeated", busy.clone(), 2),
        ("some ended", fewer, 7),
        ("all ended", target("x"), 8),
        ("new epoch", next, 2),
    ];
    for (case, update, free) in cases {
        let mut table = table(std::slice::from_ref(&busy));
        table.update(vec![update]);
        assert_eq!(table.free(), free, "{case}");
    }
}

/// Guards against a target that fails requests quickly and therefore gets more of them than others.
#[test]
fn a_failing_target_is_quarantined_probed_and_restored_slowly() {
    let mut table = table(&[target("x"), target("y")]);
    let failing = table
        .choose(Ms::ZERO, &Criteria::default())
        .expect("a slot is free");
    let changes: Vec<Change> = (0..5).map(|_| table.record(Ms(1), failing, true)).collect();
    assert_eq!(changes[4], Change::Quarantined, "{changes:?}");
    assert_eq!((table.usable(), table.free()), (1, 8));
    let criteria = Criteria {
        repeatable: true,
        ..Criteria::default()
    };
    assert_ne!(
        table.choose(Ms(1_000), &criteria).map(|choice| choice.id),
        Some(failing.id)
    );
    let probe = Choice {
        id: failing.id,
        probe: true,
    };
    assert_eq!(
        table
            .choose(Ms(1_001), &Criteria::default())
            .map(|choice| choice.probe),
        Some(false)
    );
    assert_eq!(table.choose(Ms(1_001), &criteria), Some(probe));
    table.acquire(probe, false);
    let second = table.choose(Ms(1_001), &criteria).expect("a slot is free");
    assert!(!second.probe, "only one probe is in progress at a time");
    assert_eq!(table.record(Ms(1_002), probe, false), Change::Restored);
    table.release(failing.id, false);
    assert_eq!(table.free(), 9, "a restored target starts with few slots");
}

/// Guards against targets that are quarantined after too few results, probed too often, or given
/// too many slots right after they are restored.
#[test]
fn health_follows_results() {
    let ok = (false, 1);
    let bad = (true, 1);
    // Each case has the results at time 0, the expected limit of 8 slots and the time in ms of the
    // next probe.
    let cases: [(&str, Results<'_>, u32, Option<u64>); 7] = [
        ("four failures", &[(true, 4)], 8, None),
        ("five failures", &[(true, 5)], 0, Some(1_000)),
        ("mostly good", &[(false, 20), (true, 3)], 8, None),
        ("failed probe", &[(true, 5), bad], 0, Some(2_000)),
        (
            "many failed probes",
            &[(true, 5), (true, 9)],
            0,
            Some(60_000),
        ),
        ("slow start", &[(true, 5), ok, (false, 3)], 4, None),
        ("fails again", &[(true, 5), ok, ok, bad], 0, Some(2_000)),
    ];
    for (case, results, limit, probe_at) in cases {
        let mut health = Health::default();
        for (failed, times) in results {
            for _ in 0..*times {
                let probe = health.probe_at().is_some();
                health.start_probe();
                health.record(Ms::ZERO, *failed, probe);
            }
        }
        let found = (health.limit(8), health.probe_at());
        assert_eq!(found, (limit, probe_at.map(Ms)), "{case}");
    }
}
