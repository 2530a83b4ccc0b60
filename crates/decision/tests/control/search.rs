//! Tests of every combination of a few faults with two entries, four workers and one table.

use crate::start;
use crate::world::Delivery;
use crate::world::Faults;
use crate::world::World;
use crate::world::sample::job;
use crate::world::sample::submit;

const TASKS: usize = 40;
const DELIVERIES: [Delivery; 3] = [
    Delivery::AnswerLost,
    Delivery::Late(1_500),
    Delivery::Dropped,
];

/// A disturbance of the second entry, in addition to faults of commits. Times are in ms.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Nothing,
    Pause(u64, u64),
    Stop(u64),
    Crash(u64),
}

impl Disturbance {
    const fn at(self) -> u64 {
        match self {
            Self::Nothing => 3_000,
            Self::Pause(at, _) | Self::Stop(at) | Self::Crash(at) => at,
        }
    }

    fn apply(self, world: &mut World) {
        match self {
            Self::Nothing => {}
            Self::Pause(_, time) => world.pause("e1", time),
            Self::Stop(_) => world.stop("e1"),
            Self::Crash(_) => world.crash("e1"),
        }
    }
}

fn disturbances() -> Vec<Disturbance> {
    let mut all = vec![Disturbance::Nothing];
    for at in [700, 3_050, 3_400, 9_500] {
        all.extend([4_000, 9_000, 14_000].map(|time| Disturbance::Pause(at, time)));
        all.extend([Disturbance::Stop(at), Disturbance::Crash(at)]);
    }
    all
}

fn run(disturbance: Disturbance, deliveries: &[(u64, Delivery)]) {
    let faults = Faults {
        deliveries: deliveries.iter().copied().collect(),
        ..Faults::default()
    };
    let mut world = start(1, 2, 4, faults);
    let submission = 3_000.max(disturbance.at().min(3_100));
    if disturbance.at() < submission {
        world.run(disturbance.at());
        disturbance.apply(&mut world);
        world.run(submission);
        world.call("e0", submit("c", job("j", 40)));
    } else {
        world.run(submission);
        world.call("e0", submit("c", job("j", 40)));
        world.run(disturbance.at());
        disturbance.apply(&mut world);
    }
    // The call is sent again, because the first reply may have been `Unknown`.
    world.run(30_000);
    world.call("e0", submit("c", job("j", 40)));
    world.run(150_000);
    world.assert_clean();
    assert_eq!(world.done("j"), TASKS, "{disturbance:?} {deliveries:?}");
}

// Guards against combinations of one lost answer with a pause, a stop or a crash that random faults
// do not produce.
#[test]
fn every_disturbance_with_one_ambiguous_commit() {
    for disturbance in disturbances() {
        run(disturbance, &[]);
        for commit in 1..=12 {
            for delivery in DELIVERIES {
                run(disturbance, &[(commit, delivery)]);
            }
        }
    }
}

// Guards against two ambiguous commits that are confused with each other.
#[test]
fn every_pair_of_ambiguous_commits() {
    for first in 1..=10 {
        for second in first + 1..=11 {
            for earlier in DELIVERIES {
                for later in DELIVERIES {
                    run(Disturbance::Nothing, &[(first, earlier), (second, later)]);
                }
            }
        }
    }
}

// Guards against a delayed commit of a crashed owner that takes effect after another entry acquired
// the group.
#[test]
fn a_commit_that_arrives_during_the_takeover() {
    for commit in 10..=24 {
        for delay in (7_800..9_400).step_by(80) {
            run(
                Disturbance::Crash(9_700),
                &[(commit, Delivery::Late(delay))],
            );
        }
    }
}
