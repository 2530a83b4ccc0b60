use std::collections::BTreeSet;

use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::message::Report;
use smol::future::poll_once;

use super::Agent;
use super::STORED;
use crate::serve::session::Session;

const QUERIES: usize = 100;

/// Returns the numbers of the first queries of a process.
fn numbers(instance: u64) -> BTreeSet<u64> {
    let agent = Agent::new(instance);
    let (reports, sent) = smol::channel::bounded(QUERIES);
    agent.begin_session(&Session::begin(Epoch(1), reports));
    for _ in 0..QUERIES {
        smol::block_on(poll_once(agent.query_stage(Job(1))));
    }
    let numbers = std::iter::from_fn(|| sent.try_recv().ok()).map(|report| match report {
        Report::QueryStage(number, _) => number,
        other => panic!("{other:?} is no query"),
    });
    numbers.collect()
}

/// The leader knows an agent by the name of its entry. The answer to a write that an entry requested
/// just before it was restarted may reach its next process, where it must not count as the answer to
/// another write.
#[test]
fn two_processes_of_an_entry_number_their_queries_differently() {
    let first = numbers(1_796_526_100_000);
    let second = numbers(1_796_526_100_001);
    assert_eq!(first.len(), QUERIES);
    assert!(first.is_disjoint(&second));
    assert!(!first.contains(&STORED));
}
