//! Tests of the counts that a leader keeps for metrics.

mod common;
mod echo;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Step;
use scheduler::id::Task;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Report;
use scheduler::message::Running;
use scheduler::spec;

const NOW: Ms = Ms(1_000);
const TASK: Task = Task {
    step: Step {
        job: Job(1),
        occurrence: 0,
        step: 0,
    },
    index: 0,
};

/// Returns a leader with an agent, the workers `w1` and `w2`, and a job of one task, which an
/// earlier leader may have started.
fn leader(is_speculative: bool) -> Leader {
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, NOW);
    let accepted = common::accepted_job(vec![spec::Step {
        count: 1,
        estimate: Ms(500),
        is_speculative,
        ..spec::Step::default()
    }]);
    for event in [
        Event::Config(Arc::new(config())),
        Event::Accepted(Job(1), 20, accepted, None),
        Event::Joined(name("e1"), name("d1")),
        Event::Recovered,
        Event::RegistrationChanged(name("w1"), Some(registration("d1"))),
        Event::RegistrationChanged(name("w2"), Some(registration("d1"))),
    ] {
        leader.handle(NOW, event);
    }
    leader
}

/// Returns the answer of a worker with the runs of the task that it lists.
fn answer(worker: &str, runs: &[u64]) -> Event {
    let running = runs.iter().map(|run| Running {
        task: TASK,
        run: Run(*run),
        checkpoint: None,
        percent: 0,
        measurement: 0,
    });
    let observation = Observation {
        worker: name(worker),
        incarnation: INCARNATION,
        polled_at: NOW,
        running: Some(running.collect()),
        ended: Vec::new(),
    };
    Event::Received(name("e1"), Report::Polled(observation))
}

#[test]
fn each_lapse_of_a_worker_is_counted_once() {
    let mut leader = leader(false);
    leader.handle(NOW, answer("w1", &[5]));
    leader.handle(NOW, answer("w2", &[]));
    let failed = |renewal_age| {
        let failure = Failure {
            worker: name("w1"),
            renewal_age,
            is_closed: false,
        };
        Event::Received(name("e1"), Report::PollFailed(failure))
    };
    leader.handle(NOW, failed(Ms(100)));
    leader.handle(NOW, Event::Tick(NOW));
    assert_eq!(leader.tally().lapses, 0);
    for after in [60_000, 60_050] {
        leader.handle(NOW + Ms(after), Event::LeadConfirmed(NOW + Ms(after)));
        echo::tick(&mut leader, NOW + Ms(after));
        assert_eq!(leader.tally().lapses, 1, "{after}");
        assert_eq!(leader.tally().early_releases, 0, "{after}");
        // The polls go on while the worker is silent.
        leader.handle(NOW + Ms(after), failed(Ms(after)));
    }
    let later = NOW + Ms(60_100);
    leader.handle(later, Event::LeadConfirmed(later));
    echo::tick(&mut leader, later);
    assert_eq!(leader.tally().lapses, 1);
}

#[test]
fn a_second_run_is_counted_once_unless_the_step_is_speculative() {
    for (is_speculative, expected) in [(false, 1), (true, 0)] {
        let mut leader = leader(is_speculative);
        leader.handle(NOW, answer("w1", &[5]));
        assert_eq!(leader.tally().second_runs, 0, "{is_speculative}");
        for _ in 0..2 {
            leader.handle(NOW, answer("w2", &[6]));
            assert_eq!(leader.tally().second_runs, expected, "{is_speculative}");
        }
    }
}
