//! Tests of membership.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use decision::clock::Ms;
use decision::config::Version;
use decision::member::Change;
use decision::member::EXCHANGE_FANOUT;
use decision::member::MAX_DIGEST_OTHERS;
use decision::member::Roster;
use decision::member::SUSPECT_AFTER;
use decision::name::Name;
use decision::peer::Member;
use decision::request::Peer;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn member(index: u16, incarnation: u64, beat: u64) -> Member {
    let entry = Name::try_from(format!("e{index}")).unwrap();
    Member {
        entry: entry.clone(),
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index)),
        domain: Name::try_from("a").unwrap(),
        beat,
        version: Version(0),
        request: Peer {
            entry,
            incarnation,
            free: 0,
            waiting: 0,
            stopping: false,
            adopted: Vec::new(),
        },
        room: Vec::new(),
        held: Vec::new(),
    }
}

fn roster(entries: u16) -> Roster {
    let mut roster = Roster::new(member(0, 1, 0), Vec::new());
    for index in 1..entries {
        roster.merge_record(Ms(1_000), &member(index, 1, 1), Ms::ZERO);
    }
    roster
}

// Guards against digests whose size or number grows without bound with the number of entries.
#[test]
fn the_cost_of_an_exchange_is_bounded() {
    let cases = [
        (2, 1),
        (9, 8),
        (10, EXCHANGE_FANOUT),
        (250, EXCHANGE_FANOUT),
    ];
    for (entries, partners) in cases {
        let mut roster = roster(entries);
        let mut random = StdRng::seed_from_u64(1);
        let to = roster.exchange_addresses(Ms(1_100), &mut random);
        assert_eq!(to.len(), partners, "{entries} entries");
        assert_eq!(BTreeSet::from_iter(&to).len(), to.len());
        let others = roster.digest(Ms(1_100)).others;
        assert_eq!(
            others.len(),
            MAX_DIGEST_OTHERS.min(usize::from(entries) - 1)
        );
    }
}

// Guards against an old record that makes a dead process live again, and against a member that is
// suspected too early or too late.
#[test]
fn only_new_heartbeats_show_that_a_member_is_live() {
    let mut roster = roster(2);
    let cases = [
        (5_000, member(1, 1, 1), Change::Unchanged),
        (5_000, member(1, 1, 2), Change::Refreshed),
        (12_999, member(1, 1, 1), Change::Unchanged),
        (13_000, member(1, 1, 3), Change::Joined),
        (13_100, member(1, 2, 1), Change::Joined),
        (13_200, member(1, 1, 9), Change::Unchanged),
    ];
    for (now, member, change) in cases {
        let found = roster.merge_record(Ms(now), &member, Ms::ZERO);
        assert_eq!(found, change, "at {now}: {member:?}");
    }
    let end = Ms(13_100) + SUSPECT_AFTER;
    assert!(roster.is_live(Ms(end.0 - 1), "e1", 2));
    assert!(!roster.is_live(end, "e1", 2));
    assert!(!roster.is_live(Ms(13_100), "e1", 1));
}

// Guards against the row of a dead entry being taken as evidence that it is live.
#[test]
fn a_row_shows_that_a_member_is_live_only_when_it_changes() {
    let mut roster = roster(1);
    for (now, beat, live) in [(1_000, 5, false), (3_000, 5, false), (5_000, 6, true)] {
        roster.merge_row(Ms(now), &member(1, 1, beat));
        assert_eq!(roster.is_live(Ms(now), "e1", 1), live, "at {now}");
    }
}

// Guards against a stopping member that is still planned as an owner of groups.
#[test]
fn a_stopping_member_leaves_at_once() {
    let mut roster = roster(3);
    let mut leaving = member(1, 1, 2);
    leaving.request.stopping = true;
    assert_eq!(
        roster.merge_record(Ms(1_100), &leaving, Ms::ZERO),
        Change::Left
    );
    assert_eq!(roster.owners(Ms(1_100)).len(), 2);
    roster.mark_stopping();
    assert_eq!(roster.owners(Ms(1_100)).len(), 1);
}

// Guards against heartbeats that use up the write budget with 250 entries, the expected size in two
// years.
#[test]
fn heartbeats_slow_down_with_the_number_of_entries() {
    for (entries, interval) in [(9, 2_000), (100, 2_000), (250, 5_000)] {
        assert_eq!(roster(entries).heartbeat_interval(Ms(1_100)), Ms(interval));
    }
}

// Guards against live members that are suspected with 250 entries, the expected size in two years.
// There each digest reaches few entries and rows are read only every 5 s.
#[test]
fn digests_and_rows_keep_members_live() {
    const ENTRIES: u16 = 250;
    const ROUNDS_PER_ROW: u64 = 10;
    let mut random = StdRng::seed_from_u64(7);
    let mut rosters = Vec::from_iter((0..ENTRIES).map(|index| {
        let mut roster = Roster::new(member(index, 1, 0), Vec::new());
        let others = (0..ENTRIES).filter(|other| *other != index);
        for other in others {
            roster.merge_record(Ms::ZERO, &member(other, 1, 1), Ms::ZERO);
        }
        roster
    }));
    let mut suspected = 0;
    for round in 1..60_u64 {
        let now = Ms(round * 500);
        exchange(&mut rosters, now, &mut random);
        if round % ROUNDS_PER_ROW == 0 {
            let rows = Vec::from_iter(rosters.iter_mut().map(Roster::next_heartbeat));
            for roster in &mut rosters {
                for row in &rows {
                    roster.merge_row(now, row);
                }
            }
        }
        let live = rosters.iter().map(|roster| roster.live_count(now));
        suspected += live.map(|live| usize::from(ENTRIES) - live).sum::<usize>();
    }
    assert_eq!(suspected, 0);
}

fn exchange(rosters: &mut [Roster], now: Ms, random: &mut StdRng) {
    for index in 0..rosters.len() {
        let digest = rosters[index].digest(now);
        for to in rosters[index].exchange_addresses(now, random) {
            let other = usize::from(to.port() - 1_000);
            let answer = rosters[other].digest(now);
            for (digest, at) in [(&digest, other), (&answer, index)] {
                rosters[at].merge_record(now, &digest.member, Ms::ZERO);
                for (member, age) in &digest.others {
                    rosters[at].merge_record(now, member, *age);
                }
            }
        }
    }
}
