//! Guards against a worker model that does not enforce fencing, capacity or leases, or that loses
//! checkpoints.

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::vm;
use decision::vm::Vm;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Refusal;
use decision::worker::Reply;
use decision::worker::State;
use decision::worker::Verb;
use standin::checkpoint::Store;
use standin::object;
use standin::worker::Model;
use standin::worker::Need;

const GRANT: Size = Size {
    millicores: 2_000,
    memory_mb: 4_000,
    accelerators: 0,
};
const LEASE: Ms = Ms(20_000);

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

/// A worker model with an object store.
struct Fixture {
    worker: Model,
    objects: object::Model,
}

impl Fixture {
    fn new() -> Self {
        let vm = Vm {
            name: name("w1"),
            address: ([127, 0, 0, 1], 1).into(),
            group: name("rack-1"),
            domain: name("a"),
            capacity: Size {
                millicores: 4_000,
                memory_mb: 8_000,
                accelerators: 0,
            },
            slots: 8,
            state: vm::State::Live,
        };
        Self {
            worker: Model::new(vm, Ms::ZERO),
            objects: object::Model::default(),
        }
    }

    fn send(&mut self, now: u64, owner: &str, row: u64, verb: Verb) -> Reply {
        let command = Command {
            epoch: Epoch { row, step: 0 },
            owner: name(owner),
            verb,
        };
        let need = |_: &Name, _: &Name| Need {
            work: Ms(60_000),
            size: GRANT,
        };
        self.worker
            .command(Ms(now), &command, &mut Store(&mut self.objects), need)
    }

    fn state(&self, task: &str) -> Option<State> {
        self.worker
            .tasks()
            .find(|found| &*found.name == task)
            .map(|found| found.state)
    }
}

fn start(task: &str, attempt: u32, from: Option<&str>) -> Verb {
    Verb::Start {
        task: name(task),
        attempt,
        kind: name("report"),
        grant: GRANT,
        from: from.map(str::to_owned),
        lease: LEASE,
    }
}

fn refusal(reply: &Reply) -> Option<Refusal> {
    match reply {
        Reply::Refused(refusal) => Some(*refusal),
        Reply::Done(_) => None,
    }
}

#[test]
fn old_epochs_and_equal_epochs_of_other_owners_are_refused() {
    let mut fixture = Fixture::new();
    let adopt = || Verb::Adopt { caretaker: false };
    let stale = |row| Some(Refusal::Stale(Epoch { row, step: 0 }));
    let cases = [
        ("a", 2, None),
        ("b", 2, stale(2)),
        ("b", 3, None),
        ("a", 2, stale(3)),
    ];
    for (owner, row, expected) in cases {
        assert_eq!(
            refusal(&fixture.send(0, owner, row, adopt())),
            expected,
            "{owner} {row}"
        );
    }
}

#[test]
fn a_caretaker_waits_for_a_silent_owner() {
    let mut fixture = Fixture::new();
    fixture.send(0, "a", 1, Verb::Adopt { caretaker: false });
    let caretaker = || Verb::Adopt { caretaker: true };
    assert_eq!(
        refusal(&fixture.send(4_999, "b", 2, caretaker())),
        Some(Refusal::Owned)
    );
    assert_eq!(refusal(&fixture.send(5_000, "b", 2, caretaker())), None);
}

#[test]
fn grants_stay_within_capacity() {
    let mut fixture = Fixture::new();
    for (task, expected) in [("j#0", None), ("j#1", None), ("j#2", Some(Refusal::Full))] {
        assert_eq!(
            refusal(&fixture.send(0, "a", 1, start(task, 1, None))),
            expected,
            "{task}"
        );
    }
    assert_eq!(
        refusal(&fixture.send(0, "a", 1, start("j#0", 1, None))),
        None,
        "same attempt"
    );
    assert_eq!(
        refusal(&fixture.send(0, "a", 1, start("j#0", 2, None))),
        Some(Refusal::Full)
    );
}

#[test]
fn an_expired_lease_stops_the_task() {
    let mut fixture = Fixture::new();
    fixture.send(0, "a", 1, start("j#0", 1, None));
    fixture.send(19_999, "a", 1, Verb::Renew { lease: LEASE });
    fixture.worker.advance(Ms(39_998));
    assert_eq!(fixture.state("j#0"), Some(State::Running));
    fixture.worker.advance(Ms(39_999));
    assert_eq!(fixture.state("j#0"), Some(State::Stopped));
}

#[test]
fn a_task_resumes_from_its_checkpoint() {
    let mut fixture = Fixture::new();
    fixture.send(0, "a", 1, start("j#0", 1, None));
    let stop = Verb::Stop {
        task: name("j#0"),
        attempt: 1,
        checkpoint: Some("c/1".into()),
    };
    fixture.send(10_000, "a", 1, stop);
    assert_eq!(fixture.state("j#0"), Some(State::Stopped));
    fixture.send(10_000, "a", 1, start("j#0", 2, Some("c/1")));
    for at in (10_000..=60_000).step_by(10_000) {
        fixture.send(at, "a", 1, Verb::Renew { lease: LEASE });
    }
    assert_eq!(fixture.state("j#0"), Some(State::Completed));
}
