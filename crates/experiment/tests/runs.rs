//! Guards against runs of the same seed that differ, and against checks that do not report the
//! harness's deliberate mistakes.

#[path = "../../scheduler/tests/known_red/mod.rs"]
mod known_red;

use experiment::case::Case;
use experiment::case::Fault;
use experiment::case::Mistake;
use experiment::case::Policy;
use experiment::report::Line;
use experiment::report::measure;
use experiment::scenario::Parameters;
use experiment::scenario::Scenario;
use experiment::simulation::Setup;
use history::Check;

/// Runs a small fleet for a short time, so that a debug build takes a few seconds.
fn small(case: Case, seed: u64, setup: &Setup) -> Line {
    let parameters = Parameters {
        entries: 4,
        ..Parameters::small(case, seed)
    };
    measure(&Scenario::new(parameters), setup).0
}

fn setup(faults: &[Fault]) -> Setup {
    Setup {
        policy: Policy::Current,
        faults: faults.to_vec(),
        mistake: None,
        trace: false,
    }
}

#[test]
fn the_same_seed_gives_the_same_output() {
    let setup = setup(&[Fault::EntryCrash, Fault::LostWriteAnswer]);
    let text = |_| serde_json::to_string(&small(Case::RollingRestart, 3, &setup)).unwrap();
    let lines: Vec<String> = (0..2).map(text).collect();
    known_red::run(
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt"),
        "the_same_seed_gives_the_same_output",
        || assert_eq!(lines[0], lines[1]),
    );
}

/// Guards against a check that reports nothing. The harness makes each mistake in place of the
/// decision logic; a check that misses it would miss a fault of the decision logic as well.
#[test]
fn mistakes_are_found() {
    let cases: &[(Mistake, Case, &[Fault], Check)] = &[
        (
            Mistake::NoFence,
            Case::Stragglers,
            &[Fault::EntryPause],
            Check::ResumeOnce,
        ),
        (
            Mistake::Repeat,
            Case::OrderRush,
            &[Fault::SilentConnections],
            Check::AtMostOnce,
        ),
        (
            Mistake::FreeAmbiguous,
            Case::CancelWave,
            &[Fault::SilentConnections],
            Check::Capacity,
        ),
        (Mistake::OldConfig, Case::OrderRush, &[], Check::Config),
        (
            Mistake::NoDeadline,
            Case::OrderRush,
            &[],
            Check::WholeAnswer,
        ),
    ];
    for (mistake, case, faults, check) in cases {
        let correct = small(*case, 1, &setup(faults));
        let mut mistaken = setup(faults);
        mistaken.mistake = Some(*mistake);
        let mistaken = small(*case, 1, &mistaken);
        let broken = |line: &Line| line.violations.iter().any(|broken| broken.check == *check);
        assert!(!broken(&correct), "{mistake:?}: {:#?}", correct.violations);
        assert!(broken(&mistaken), "{mistake:?}: {:#?}", mistaken.violations);
    }
}

/// Guards against a panic in the decision logic when workers still execute the commands of a former
/// owner. Such an owner has to detect that it lost its workers and continue without them.
#[test]
fn an_owner_that_is_not_fenced_does_not_panic() {
    let mut mistaken = setup(&[Fault::EntryPause, Fault::LeaseLapse]);
    mistaken.mistake = Some(Mistake::NoFence);
    let line = small(Case::ShiftClose, 3, &mistaken);
    assert!(
        !line.violations.is_empty(),
        "the missing fence caused no violation"
    );
}
