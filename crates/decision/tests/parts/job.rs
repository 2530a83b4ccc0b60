//! Tests of the checks of jobs and of their division into pieces.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use decision::clock::Ms;
use decision::config::Checked;
use decision::config::Document;
use decision::config::Limits;
use decision::config::Service;
use decision::config::Team;
use decision::job;
use decision::job::Capacity;
use decision::name::Name;
use decision::operator::Job;
use decision::operator::Refusal;
use decision::piece::MAX_TASKS;
use decision::resource::Dimension;
use decision::resource::Size;
use decision::vm::State;
use decision::vm::Vm;
use proptest::collection::btree_map;
use proptest::prelude::Strategy;
use proptest::proptest;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

const fn size(millicores: u32, memory_mb: u32, accelerators: u32) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators,
    }
}

fn sample(tasks: u32, size: Size) -> Job {
    Job {
        name: name("job"),
        team: name("team"),
        kind: name("kind"),
        tasks,
        size,
        run_time: Ms(1_000),
        urgent: false,
    }
}

fn config() -> Checked {
    let service = Service {
        name: name("service"),
        reserved: size(1_000, 1_000, 0),
        queue: 10,
        deadline: Ms(1_000),
        attempt: Ms(500),
    };
    let team = Team {
        name: name("team"),
        quota: size(100_000, 100_000, 1),
        weight: 1,
    };
    let document = Document {
        services: vec![service],
        teams: vec![team],
        limits: Limits::default(),
    };
    Checked::try_from(document).unwrap()
}

fn vm(index: usize, capacity: Size) -> Vm {
    Vm {
        name: name(&format!("vm-{index}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        group: name(&format!("rack-{index}")),
        domain: name("a"),
        capacity,
        slots: 8,
        state: State::Live,
    }
}

// Guards against refusing a job that can run, accepting one that cannot, and refusals that name the
// wrong dimension or not the nearest fit.
#[test]
fn feasibility_names_what_is_lacking() {
    let vms = [vm(0, size(4_000, 9_000, 0)), vm(1, size(16_000, 5_000, 0))];
    let infeasible = |dimension, nearest| Err(Refusal::Infeasible { dimension, nearest });
    let cases = [
        (size(3_000, 8_000, 0), Ok(())),
        (size(15_000, 4_000, 0), Ok(())),
        (
            size(15_001, 1, 0),
            infeasible(Dimension::Processors, size(15_000, 4_000, 0)),
        ),
        (
            size(3_000, 8_100, 0),
            infeasible(Dimension::Memory, size(3_000, 8_000, 0)),
        ),
        (
            size(1, 1, 1),
            infeasible(Dimension::Accelerators, size(3_000, 8_000, 0)),
        ),
    ];
    for (size, expected) in cases {
        let found = job::feasible(&sample(1, size), &config(), vms.iter());
        assert_eq!(found, expected, "{size:?}");
    }
}

// Guards against accepting jobs that could never be stored or never run within their team's quota.
#[test]
fn declarations_are_checked() {
    let fits = size(1, 1, 0);
    let mut other = sample(1, fits);
    other.team = name("other");
    let cases = [
        (sample(1, fits), true),
        (sample(job::MAX_JOB_TASKS, fits), true),
        (sample(0, fits), false),
        (sample(job::MAX_JOB_TASKS + 1, fits), false),
        (sample(1, Size::ZERO), false),
        (sample(1, size(1, 1, 2)), false),
        (other, false),
    ];
    for (job, good) in cases {
        assert_eq!(job::check(&job, &config()).is_ok(), good, "{job:?}");
    }
}

fn groups() -> impl Strategy<Value = BTreeMap<Name, Capacity>> {
    let capacity = (0..500_u64, 1..500_u64);
    let capacity = capacity.prop_map(|(free, total)| Capacity {
        free: free.min(total),
        total,
    });
    let name = (0..40).prop_map(|index| name(&format!("rack-{index}")));
    btree_map(name, capacity, 1..40)
}

proptest! {
    // Guards against tasks that are in no piece or in two, and against pieces that are too large.
    #[test]
    fn pieces_cover_each_task_once(tasks in 1..20_000_u32, groups in groups()) {
        let pieces = job::split(&sample(tasks, size(1, 1, 0)), &groups);
        let mut next = 0;
        let step = pieces[0].1.tasks.len();
        for (number, (group, piece)) in pieces.iter().enumerate() {
            assert!(groups.contains_key(group));
            assert_eq!(piece.first, next);
            assert_eq!(&*piece.name, format!("job.{number}"));
            assert!(piece.tasks.len() <= MAX_TASKS as usize);
            assert!(piece.tasks.len() == step || number + 1 == pieces.len());
            next += u32::try_from(piece.tasks.len()).unwrap();
        }
        assert_eq!(next, tasks);
    }
}

// Guards against pieces that are assigned to full groups while others have free capacity.
#[test]
fn pieces_go_where_room_is() {
    let capacity = |free| Capacity { free, total: 100 };
    let groups = [("full", 0), ("half", 50), ("empty", 100)];
    let groups = groups.map(|(group, free)| (name(group), capacity(free)));
    let pieces = job::split(&sample(120, size(1, 1, 0)), &BTreeMap::from(groups));
    let tasks = |wanted: &str| {
        let here = pieces.iter().filter(|(group, _)| &**group == wanted);
        here.map(|(_, piece)| piece.tasks.len()).sum::<usize>()
    };
    assert_eq!((tasks("full"), tasks("half"), tasks("empty")), (0, 40, 80));
}
