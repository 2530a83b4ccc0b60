//! Guards against decisions that violate an invariant, with fixed cases, pairs of faults and seeds.

#[allow(
    dead_code,
    reason = "the runs of this test are listed by command, not by name"
)]
#[path = "../../scheduler/tests/known_red/mod.rs"]
mod known_red;

use experiment::case::Case;
use experiment::case::Fault;
use experiment::case::Policy;
use experiment::report::measure;
use experiment::scenario::Parameters;
use experiment::scenario::Scenario;
use experiment::simulation::Setup;

/// The case, the faults, the seed and the number of entries of each run.
const RUNS: &[(Case, &[Fault], u64, usize)] = &[
    (Case::OrderRush, &[], 1, 6),
    (Case::ShiftClose, &[], 2, 5),
    (
        Case::NoisyWave,
        &[Fault::StoreOutage, Fault::EntryPause],
        3,
        4,
    ),
    (
        Case::Stragglers,
        &[Fault::StoreSlow, Fault::EntryCrash],
        4,
        5,
    ),
    (
        Case::BlackHole,
        &[Fault::LostWriteAnswer, Fault::VmCrash],
        5,
        3,
    ),
    (
        Case::CancelWave,
        &[Fault::LeaseLapse, Fault::OperatorRace],
        6,
        6,
    ),
    (
        Case::ImpossibleJobs,
        &[Fault::EntryCrash, Fault::EntryPause],
        7,
        9,
    ),
    (
        Case::RollingRestart,
        &[Fault::SilentConnections, Fault::LostWriteAnswer],
        8,
        5,
    ),
    (
        Case::OrderRush,
        &[Fault::LeaseLapse, Fault::StoreOutage],
        9,
        4,
    ),
    (Case::ShiftClose, &[Fault::VmCrash, Fault::StoreSlow], 10, 6),
    (
        Case::NoisyWave,
        &[Fault::EntryCrash, Fault::LostWriteAnswer],
        11,
        7,
    ),
    (
        Case::RollingRestart,
        &[Fault::OperatorRace, Fault::EntryPause],
        12,
        4,
    ),
];

/// The arguments that repeat a run on the command line, as the list of known faults spells them.
fn command(case: Case, faults: &[Fault], seed: u64, entries: usize) -> String {
    let names: Vec<&str> = faults.iter().map(|fault| fault.name()).collect();
    let fault = match names.len() {
        0 => String::new(),
        _ => format!(" --fault {}", names.join(",")),
    };
    let case = case.name();
    format!("{case} --small --entries {entries} --seed {seed}{fault}")
}

/// Whether the list at the root names the run. Violations of such a run are printed and do not fail
/// the test.
fn is_known_red(command: &str) -> bool {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");
    let command = format!("experiment -- {command}");
    known_red::lists(path, |line| line.ends_with(&command))
}

#[test]
fn promises_hold_under_two_faults() {
    let mut broken = Vec::new();
    for (case, faults, seed, entries) in RUNS {
        let parameters = Parameters {
            entries: *entries,
            ..Parameters::small(*case, *seed)
        };
        let setup = Setup {
            policy: Policy::Current,
            faults: faults.to_vec(),
            mistake: None,
            trace: false,
        };
        let (line, _) = measure(&Scenario::new(parameters), &setup);
        let command = command(*case, faults, *seed, *entries);
        if is_known_red(&command) {
            known_red::print(&command, &format!("{:?}", line.violations));
        } else if !line.violations.is_empty() {
            broken.push((command, line.violations));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
