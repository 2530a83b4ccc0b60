//! Every combination of a few faults for two owners, four workers and one table.

use crate::start;
use crate::world::Fate;
use crate::world::Faults;
use crate::world::World;
use crate::world::sample::job;
use crate::world::sample::submit;

const TASKS: usize = 40;
const FATES: [Fate; 3] = [Fate::Lost, Fate::Late(1_500), Fate::Never];

/// What happens to the second entry, beside the fates of commits.
#[derive(Clone, Copy, Debug)]
enum Upset {
    Nothing,
    Pause(u64, u64),
    Stop(u64),
    Crash(u64),
}

impl Upset {
    const fn at(self) -> u64 {
        match self {
            Self::Nothing => 3_000,
            Self::Pause(at, _) | Self::Stop(at) | Self::Crash(at) => at,
        }
    }

    fn strike(self, world: &mut World) {
        match self {
            Self::Nothing => {}
            Self::Pause(_, time) => world.pause("e1", time),
            Self::Stop(_) => world.stop("e1"),
            Self::Crash(_) => world.crash("e1"),
        }
    }
}

fn upsets() -> Vec<Upset> {
    let mut all = vec![Upset::Nothing];
    for at in [700, 3_050, 3_400, 9_500] {
        all.extend([4_000, 9_000, 14_000].map(|time| Upset::Pause(at, time)));
        all.extend([Upset::Stop(at), Upset::Crash(at)]);
    }
    all
}

fn run(upset: Upset, fates: &[(u64, Fate)]) {
    let faults = Faults {
        fates: fates.iter().copied().collect(),
        ..Faults::default()
    };
    let mut world = start(1, 2, 4, faults);
    let submission = 3_000.max(upset.at().min(3_100));
    if upset.at() < submission {
        world.run(upset.at());
        upset.strike(&mut world);
        world.run(submission);
        world.call("e0", submit("c", job("j", 40)));
    } else {
        world.run(submission);
        world.call("e0", submit("c", job("j", 40)));
        world.run(upset.at());
        upset.strike(&mut world);
    }
    // The call is sent again, because its answer may have been unknown.
    world.run(30_000);
    world.call("e0", submit("c", job("j", 40)));
    world.run(150_000);
    world.assert_clean();
    assert_eq!(world.done("j"), TASKS, "{upset:?} {fates:?}");
}

// Guards against a combination of one lost answer with a pause, a stop or a crash that random
// faults do not hit.
#[test]
fn every_upset_with_one_ambiguous_commit() {
    for upset in upsets() {
        run(upset, &[]);
        for commit in 1..=12 {
            for fate in FATES {
                run(upset, &[(commit, fate)]);
            }
        }
    }
}

// Guards against two ambiguous commits that are taken for each other.
#[test]
fn every_pair_of_ambiguous_commits() {
    for first in 1..=10 {
        for second in first + 1..=11 {
            for one in FATES {
                for other in FATES {
                    run(Upset::Nothing, &[(first, one), (second, other)]);
                }
            }
        }
    }
}

// Guards against a commit of a dead owner that arrives when the group has just been taken over.
#[test]
fn a_commit_that_arrives_during_the_takeover() {
    for commit in 10..=24 {
        for delay in (7_800..9_400).step_by(80) {
            run(Upset::Crash(9_700), &[(commit, Fate::Late(delay))]);
        }
    }
}
