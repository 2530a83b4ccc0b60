//! Properties that hold for any order of events.

use decision::naive;
use decision::request::Machine;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::fixture::identity;
use crate::model::Key;
use crate::model::Op;
use crate::model::Response;
use crate::model::Simulation;

const CASES: u32 = 400;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn response() -> impl Strategy<Value = Response> {
    prop_oneof![
        6 => (0..60_u64).prop_map(|time| Response::Answer(time, 200)),
        1 => (60..900_u64).prop_map(|time| Response::Answer(time, 200)),
        2 => (0..20_u64).prop_map(|time| Response::Answer(time, 503)),
        2 => (0..20_u64).prop_map(Response::NotRun),
        2 => (0..80_u64).prop_map(Response::Broken),
        1 => Just(Response::Silent),
        1 => Just(Response::Late),
    ]
}

fn key() -> impl Strategy<Value = Key> {
    prop_oneof![
        6 => Just(Key::Repeatable),
        4 => Just(Key::Fresh),
        3 => any::<usize>().prop_map(Key::Used),
        1 => (0..5_u64).prop_map(Key::Foreign),
        1 => Just(Key::Missing),
        1 => Just(Key::Forwarded),
    ]
}

fn call() -> impl Strategy<Value = Op> {
    let parts = (key(), any::<bool>(), any::<bool>(), 1..600_u64);
    parts.prop_map(|(key, preview, stock, time)| Op::Call {
        key,
        preview,
        stock,
        time,
    })
}

fn targets() -> impl Strategy<Value = Op> {
    let state = (proptest::bool::weighted(0.2), 1..4_u32, 0..3_u32, 1..3_u64);
    vec(option::weighted(0.8, state), 3).prop_map(Op::Targets)
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        20 => call(),
        10 => (1..120_u64).prop_map(Op::Wait),
        2 => any::<usize>().prop_map(Op::Withdraw),
        2 => any::<usize>().prop_map(Op::Repeat),
        2 => targets(),
        1 => vec(0..4_u32, 0..3).prop_map(Op::Peers),
    ]
}

fn scenario() -> impl Strategy<Value = (Vec<Op>, Vec<Response>)> {
    let ops = (targets(), vec(op(), 1..80), any::<bool>(), vec(op(), 0..20));
    let ops = ops.prop_map(|(first, mut ops, stop, rest)| {
        ops.insert(0, first);
        ops.extend(stop.then_some(Op::Stop));
        ops.extend(rest);
        ops
    });
    (ops, vec(response(), 0..120))
}

/// Guards against repeated runs of a request with a ticket, refusals of requests that may have run,
/// missing or second replies, more requests than slots and requests to leaving targets. Attempts
/// fail, end late or end twice, callers withdraw, and targets and peers change.
#[test]
fn the_invariants_hold_under_failures() {
    let checked = runner().run(&scenario(), |(ops, responses)| {
        Simulation::new(Machine::new(&identity("e1")), responses).run(&ops);
        Ok(())
    });
    checked.expect("every scenario keeps the invariants");
}

/// Guards against a baseline that does well in comparisons because it breaks guarantees about
/// outcomes.
#[test]
fn the_baseline_keeps_the_outcome_invariants() {
    let checked = runner().run(&scenario(), |(ops, responses)| {
        let mut simulation =
            Simulation::new(naive::request::Machine::new(&identity("e1")), responses);
        simulation.check_slots = false;
        simulation.run(&ops);
        Ok(())
    });
    checked.expect("every scenario keeps the invariants");
}

/// Guards against decisions that change outcomes although nothing fails and slots are plentiful.
#[test]
fn baseline_and_current_agree_when_nothing_fails() {
    let without_failures = || {
        let call = (key(), any::<bool>(), any::<bool>(), 200..600_u64);
        let call = call.prop_map(|(key, preview, stock, time)| Op::Call {
            key,
            preview,
            stock,
            time,
        });
        let ops = vec(prop_oneof![call, (20..60_u64).prop_map(Op::Wait)], 1..60);
        let responses = vec((1..20_u64).prop_map(|time| Response::Answer(time, 200)), 60);
        (ops, responses)
    };
    let checked = runner().run(&without_failures(), |(mut ops, responses)| {
        let idle = Some((false, 8, 0, 1));
        ops.insert(0, Op::Targets(vec![idle; 8]));
        ops.insert(0, Op::Peers(vec![0]));
        let identity = identity("e1");
        let mut current = Simulation::new(Machine::new(&identity), responses.clone());
        current.run(&ops);
        let mut baseline = Simulation::new(naive::request::Machine::new(&identity), responses);
        baseline.run(&ops);
        proptest::prop_assert_eq!(current.outcomes, baseline.outcomes);
        Ok(())
    });
    checked.expect("the outcomes of both versions agree");
}
