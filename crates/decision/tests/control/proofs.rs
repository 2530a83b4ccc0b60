//! Tests of what an entry takes as proof that a task does not run, after it took a group over.
//! `vm-0` and `vm-1` form the group `rack-0`; the entry `e` owned it before.

use decision::control::Event;
use decision::peer;
use decision::peer::Message;
use decision::worker::Epoch;
use decision::worker::Verb;

use crate::rig::Rig;
use crate::world::sample::job;
use crate::world::sample::name;
use crate::world::sample::submit;
use crate::world::sample::vm;

const LEASE: Verb = Verb::Renew {
    lease: decision::task::LEASE,
};

/// A group with a job of one task that the entry `e` has started on `vm-0`.
fn rig() -> (Rig, Epoch) {
    let mut rig = Rig::new(2);
    let epoch = rig.write_owner("rack-0", "e");
    rig.write_job("rack-0", "j", 1);
    rig.start_by_peer(0, epoch, "j#0");
    (rig, epoch)
}

fn hand_over(rig: &mut Rig, epoch: Epoch) {
    let group = peer::Group {
        name: name("rack-0"),
        epoch: Epoch {
            step: epoch.step + 1,
            ..epoch
        },
    };
    rig.deliver(Message::HandOver(vec![group]));
}

/// Runs while the entry `e` renews the lease on `vm-0`.
fn run_renewed(rig: &mut Rig, epoch: Epoch, ms: u64) {
    for _ in 0..ms / 2_000 {
        rig.command_by_peer(0, epoch, LEASE);
        rig.run(2_000);
    }
    rig.command_by_peer(0, epoch, LEASE);
}

/// Runs in steps and checks after each that the task runs on one worker at most.
fn run_checked(rig: &mut Rig, ms: u64) {
    for _ in 0..ms / 100 {
        rig.run(100);
        let places = rig.places("j#0");
        assert!(places.len() <= 1, "{}: {places:?}", rig.now);
    }
}

// Guards against a worker that counts as reported because it answered a command of the epoch before
// the group's row was written. The report of that answer is not used, and tasks in it started again.
#[test]
fn an_answer_of_the_epoch_before_is_no_report() {
    let (mut rig, epoch) = rig();
    rig.has_peer = true;
    rig.list = rig.list_without(&[]);
    run_renewed(&mut rig, epoch, 30_000);
    assert!(!rig.holds("rack-0"));
    rig.silent.insert(vm(0).name);
    hand_over(&mut rig, epoch);
    rig.run(300);
    assert!(rig.holds("rack-0"));
    rig.release_answers();
    run_checked(&mut rig, 8_000);
    rig.lose_answers();
    rig.silent.clear();
    run_checked(&mut rig, 30_000);
    assert_eq!(rig.places("j#0"), [vm(0).name]);
}

// Guards against an answer to a command that was sent when the entry held the group before.
#[test]
fn an_answer_from_an_earlier_holding_is_no_report() {
    let mut rig = Rig::new(2);
    rig.list = rig.list_without(&[]);
    rig.has_peer = true;
    rig.run(30_000);
    assert!(rig.holds("rack-0"));
    rig.silent.insert(vm(0).name);
    rig.run(3_000);
    assert!(!rig.answers.is_empty());
    let epoch = rig.write_owner("rack-0", "e");
    rig.write_job("rack-0", "j", 1);
    rig.start_by_peer(0, epoch, "j#0");
    rig.command_by_peer(1, epoch, Verb::Adopt { caretaker: false });
    rig.run(3_000);
    assert!(!rig.holds("rack-0"));
    let late = std::mem::take(&mut rig.answers);
    hand_over(&mut rig, epoch);
    rig.run(200);
    assert!(rig.holds("rack-0"));
    let current = std::mem::replace(&mut rig.answers, late);
    rig.release_answers();
    rig.answers = current;
    run_checked(&mut rig, 8_000);
    rig.lose_answers();
    rig.silent.clear();
    run_checked(&mut rig, 30_000);
    assert_eq!(rig.places("j#0"), [vm(0).name]);
}

// Guards against an acquisition whose lost answer is replaced by reading the rows back, when another
// entry has acquired one of the groups in between. Its version is not this entry's epoch.
#[test]
fn a_group_that_another_entry_acquired_is_not_held() {
    let mut rig = Rig::new(4);
    rig.list = rig.list_without(&[]);
    rig.has_peer = true;
    rig.stolen = Some("rack-1");
    for _ in 0..200 {
        rig.run(100);
        for group in ["rack-0", "rack-1"] {
            assert!(!rig.holds(group) || *rig.owner(group) == *"a", "{group}");
        }
    }
    assert!(rig.stolen.is_none());
}

// Guards against a list that is first read long after the start: workers that left it in between
// are not known, and their leases count from the first list at the earliest.
#[test]
fn leases_of_unknown_workers_count_from_the_first_list() {
    let (mut rig, epoch) = rig();
    run_renewed(&mut rig, epoch, 28_000);
    rig.list = rig.list_without(&[0]);
    run_checked(&mut rig, 60_000);
    assert_eq!(rig.places("j#0"), [vm(1).name]);
}

// Guards against a lease that counts from the time at which a worker left this entry's list. The
// former owner, whose list was older, renewed it until the takeover.
#[test]
fn leases_of_a_worker_that_left_the_list_count_from_the_takeover() {
    let (mut rig, epoch) = rig();
    rig.has_peer = true;
    rig.list = rig.list_without(&[]);
    run_renewed(&mut rig, epoch, 30_000);
    rig.list = rig.list_without(&[0]);
    run_renewed(&mut rig, epoch, 24_000);
    rig.command_by_peer(1, epoch, Verb::Adopt { caretaker: false });
    hand_over(&mut rig, epoch);
    run_checked(&mut rig, 60_000);
    assert_eq!(rig.places("j#0"), [vm(1).name]);
}

// Guards against work that the first scan passes over, because this entry still waits for the answer
// to its submission, and that a later scan takes for new. The former owner has started it.
#[test]
fn work_that_the_first_scan_passes_over_is_old() {
    let mut rig = Rig::new(2);
    let epoch = rig.write_owner("rack-0", "e");
    rig.has_peer = true;
    rig.list = rig.list_without(&[]);
    rig.run(30_000);
    rig.keeps_commits = true;
    rig.step(Event::Operator(1, submit("c", job("j", 1))));
    rig.run(300);
    assert_eq!(rig.commits.len(), 1);
    rig.start_by_peer(0, epoch, "j#0");
    rig.silent.insert(vm(0).name);
    hand_over(&mut rig, epoch);
    rig.run(1_000);
    assert!(rig.holds("rack-0"));
    rig.release_commits();
    run_checked(&mut rig, 15_000);
    rig.lose_answers();
    rig.silent.clear();
    run_checked(&mut rig, 30_000);
    assert_eq!(rig.places("j#0"), [vm(0).name]);
}

// Guards against a list from before the takeover. It lacks a worker that joined since, on which the
// former owner has started tasks.
#[test]
fn a_list_from_before_the_takeover_is_not_complete() {
    let (mut rig, epoch) = rig();
    rig.has_peer = true;
    rig.list = rig.list_without(&[0]);
    run_renewed(&mut rig, epoch, 60_000);
    rig.run(500);
    hand_over(&mut rig, epoch);
    rig.list = rig.list_without(&[]);
    run_checked(&mut rig, 60_000);
    assert_eq!(rig.places("j#0"), [vm(0).name]);
}
