//! Tests of the rules by which an entry takes over the lead.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use scheduler::election;
use scheduler::election::Observer;
use scheduler::election::Record;
use scheduler::election::View;
use scheduler::id::Epoch;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

fn record(entry: Option<&str>, instance: u64) -> Record {
    Record {
        entry: entry.map(name),
        instance,
        address: Arc::from("10.0.0.1:7720"),
    }
}

fn view(record: Option<Record>, heartbeat_age: u64, is_vacant: bool) -> View {
    View {
        record: record.map(|record| (Epoch(7), record)),
        heartbeat_age: Some(Ms(heartbeat_age)),
        unchanged: Ms(1_000),
        is_vacant,
    }
}

#[test]
fn an_entry_campaigns_only_if_the_store_shows_no_live_leader() {
    let cases = [
        ("no leader yet", view(None, 0, false), true),
        ("resigned", view(Some(record(None, 1)), 0, false), true),
        ("alive", view(Some(record(Some("b"), 1)), 500, false), false),
        (
            "stale heartbeat",
            view(Some(record(Some("b"), 1)), 5_000, false),
            true,
        ),
        (
            "vacant address",
            view(Some(record(Some("b"), 1)), 100, true),
            true,
        ),
        (
            "own earlier instance",
            view(Some(record(Some("a"), 1)), 100, false),
            true,
        ),
        (
            "this instance",
            view(Some(record(Some("a"), 9)), 100, false),
            false,
        ),
    ];
    let reached_by_others = View {
        unchanged: Ms(300),
        ..view(Some(record(Some("b"), 1)), 100, true)
    };
    let cases = cases
        .into_iter()
        .chain([("a changing heartbeat", reached_by_others, false)]);
    for (case, view, expected) in cases {
        assert_eq!(
            election::should_campaign(&view, &name("a"), 9),
            expected,
            "{case}"
        );
    }
}

#[test]
fn entries_that_started_in_the_same_millisecond_do_not_share_the_lead() {
    let record = record(Some("a"), 9);
    assert!(record.is_held_by(&name("a"), 9));
    assert!(!record.is_held_by(&name("b"), 9));
    assert!(!record.is_held_by(&name("a"), 8));
}

#[test]
fn a_leader_has_time_to_write_a_heartbeat_after_an_outage() {
    let mut observer = Observer::default();
    // The time of each read, the version of the heartbeat, and the time for which it is unchanged.
    let cases = [
        (1_000, 5, 0),
        (1_500, 5, 500),
        // The store was unavailable for a while.
        (6_000, 5, 0),
        (6_150, 5, 150),
        (6_300, 6, 0),
        (6_900, 6, 600),
    ];
    for (now, version, unchanged) in cases {
        let observed = observer.observe(Ms(now), version);
        assert_eq!(observed, Ms(unchanged), "at {now}");
    }
    let mut view = view(Some(record(Some("b"), 1)), 5_000, false);
    view.unchanged = Ms(150);
    assert!(!election::should_campaign(&view, &name("a"), 9));
}

/// An attempt to follow a frozen leader takes longer than the gap between two reads after which the
/// time without a change counts anew, so such a leader was never replaced.
#[test]
fn an_entry_watches_a_stale_heartbeat_instead_of_following_a_frozen_leader() {
    let led = || Some(record(Some("b"), 1));
    let cases = [
        ("alive", view(led(), 500, false), 0, false),
        ("just stale", view(led(), 2_000, false), 0, true),
        (
            "stale for long enough",
            view(led(), 3_000, false),
            900,
            false,
        ),
        ("no leader", view(None, 3_000, false), 0, false),
        (
            "resigned",
            view(Some(record(None, 1)), 3_000, false),
            0,
            false,
        ),
    ];
    for (case, view, unchanged, expected) in cases {
        let view = View {
            unchanged: Ms(unchanged),
            ..view
        };
        assert_eq!(election::should_observe(&view), expected, "{case}");
    }
}

#[test]
fn entries_with_more_processor_time_campaign_first() {
    let delays = [0.5, 0.1, 0.05].map(election::candidacy_delay);
    assert!(delays.is_sorted());
    assert_eq!(delays[0], Ms::ZERO);
    assert!(delays[2] < election::SILENCE_TIMEOUT);
}
