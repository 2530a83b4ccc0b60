//! Tests of the request queue, the budgets for retries and hedges, and the run-time classes.

use decision::budget::Budget;
use decision::budget::Hedges;
use decision::classify::Class;
use decision::classify::Classes;
use decision::clock::Ms;
use decision::name::Name;
use decision::queue::Item;
use decision::queue::Queue;

/// The teams of waiting requests with their weights, in order of arrival.
type Teams<'a> = &'a [(&'a str, u32)];

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("valid")
}

fn item(call: u64, team: &str, weight: u32, class: Class) -> Item {
    Item {
        call,
        team: name(team),
        weight,
        class,
        arrived: Ms(call),
        entered: Ms(call),
        deadline: Ms(call + 1_000),
        cost: Ms(10),
    }
}

/// Serves up to `count` short requests and returns their numbers.
fn serve(
    queue: &mut Queue,
    now: Ms,
    positions: &[decision::queue::Position],
    count: usize,
) -> Vec<u64> {
    let mut served = Vec::new();
    while let Some(call) = queue
        .head(now, Class::Short)
        .filter(|_| served.len() < count)
    {
        queue.serve(positions[call as usize]);
        served.push(call);
    }
    served
}

/// Guards against a team that delays all others, and, under overload, against serving old requests
/// too late instead of new ones in time.
#[test]
fn teams_are_served_by_weight_and_the_newest_first_under_overload() {
    let cases: [(&str, Teams<'_>, Ms, &[u64]); 4] = [
        (
            "one team",
            &[("a", 1), ("a", 1), ("a", 1)],
            Ms(9),
            &[0, 1, 2],
        ),
        (
            "equal teams",
            &[("a", 1), ("a", 1), ("a", 1), ("b", 1)],
            Ms(9),
            &[0, 3, 1, 2],
        ),
        (
            "weights",
            &[("a", 1), ("a", 1), ("b", 3), ("b", 3), ("b", 3)],
            Ms(9),
            &[0, 2, 3, 4, 1],
        ),
        (
            "overload",
            &[("a", 1), ("a", 1), ("a", 1)],
            Ms(501),
            &[2, 1, 0],
        ),
    ];
    for (case, items, now, order) in cases {
        let mut queue = Queue::new(100);
        let items = items.iter().enumerate();
        let positions: Vec<_> = items
            .map(|(call, (team, weight))| {
                queue.push(item(call as u64, team, *weight, Class::Short))
            })
            .collect();
        assert_eq!(serve(&mut queue, now, &positions, 99), order, "{case}");
        assert!(queue.is_empty());
    }
}

/// Guards against a team that fills the queue, so that the requests of all others are refused.
#[test]
fn a_full_queue_makes_room_for_a_lighter_team() {
    let cases = [
        ("own team", &["a", "a", "a"][..], "a", Ms(9), None),
        ("lighter team", &["a", "a", "a"], "b", Ms(9), Some(2)),
        (
            "lighter team, overload",
            &["a", "a", "a"],
            "b",
            Ms(501),
            Some(0),
        ),
        (
            "own team, overload",
            &["a", "a", "a"],
            "a",
            Ms(501),
            Some(0),
        ),
        ("equal teams", &["a", "a", "b", "b"], "b", Ms(9), None),
    ];
    for (case, teams, team, now, victim) in cases {
        let mut queue = Queue::new(teams.len());
        for (call, team) in teams.iter().enumerate() {
            queue.push(item(call as u64, team, 1, Class::Short));
        }
        assert!(queue.is_full());
        assert_eq!(queue.victim(now, &name(team), 1), victim, "{case}");
    }
}

/// Guards against an expected wait that ignores fairness: a team with few requests waits only for
/// its share of those before it.
#[test]
fn the_expected_wait_counts_what_is_served_before() {
    let mut queue = Queue::new(100);
    for call in 0..40 {
        queue.push(item(call, "a", 1, Class::Short));
    }
    queue.push(item(40, "b", 1, Class::Long));
    queue.push(item(41, "b", 1, Class::Short));
    queue.push(item(42, "b", 1, Class::Short));
    let now = Ms(50);
    let ahead = ["a", "b", "c"].map(|team| queue.ahead(now, &name(team), 1, Class::Short));
    assert_eq!(ahead, [42, 4, 0]);
    assert_eq!(queue.ahead(now, &name("b"), 1, Class::Long), 1);
    assert_eq!(
        (queue.waiting(Class::Short), queue.waiting(Class::Long)),
        (42, 1)
    );
}

/// Guards against more retries and hedges than their share of first attempts.
#[test]
fn budgets_keep_to_their_share() {
    for (percent, attempts, extra) in [
        (10, 9, 0),
        (10, 10, 1),
        (10, 100, 10),
        (5, 100, 5),
        (0, 500, 0),
    ] {
        let mut budget = Budget::default();
        budget.set(percent);
        let spent = (0..attempts).filter(|_| {
            budget.earn();
            budget.spend()
        });
        assert_eq!(spent.count(), extra, "{percent}% of {attempts}");
    }
}

/// Guards against hedges that are still sent often although the first attempt always answers first.
#[test]
fn hedges_that_never_win_become_rare() {
    for (wins, max, min) in [(true, 500, 450), (false, 80, 1)] {
        let mut hedges = Hedges::default();
        hedges.set(5);
        let sent = (0..10_000).filter(|_| {
            hedges.earn();
            let sent = hedges.spend();
            if sent {
                hedges.record(wins);
            }
            sent
        });
        let sent = sent.count();
        assert!((min..=max).contains(&sent), "wins: {wins}, {sent} sent");
    }
}

/// Guards against long kinds that are classified as short, and short ones as long.
#[test]
fn kinds_are_classified_by_their_times() {
    // Run times of the kind `x` in ms, repeated, with nine requests of another kind at 10 ms for
    // each.
    let cases: [(&str, &[u64], Class); 6] = [
        ("same", &[10], Class::Short),
        ("faster", &[1], Class::Short),
        ("twice", &[20], Class::Short),
        ("much longer", &[300], Class::Long),
        (
            "stragglers",
            &[10, 10, 10, 10, 10, 10, 10, 10, 10, 300],
            Class::Short,
        ),
        ("mostly long", &[300, 300, 10], Class::Long),
    ];
    for (case, times, class) in cases {
        let mut classes = Classes::default();
        let service = name("s");
        assert_eq!(classes.class(&service, &name("x")), Class::Short, "unknown");
        for time in times.iter().cycle().take(300) {
            for _ in 0..9 {
                classes.record(&service, &name("y"), Ms(10));
            }
            classes.record(&service, &name("x"), Ms(*time));
        }
        assert_eq!(classes.class(&service, &name("x")), class, "{case}");
        assert_eq!(
            classes.slow_after(&service, &name("y")),
            Some(Ms(80)),
            "{case}"
        );
    }
}
