//! Tests of single orders.

mod common;

use std::sync::Arc;

use common::BOUNDS;
use common::config;
use common::name;
use decision::clock::Ms;
use decision::resource::Size;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::job::Accepted;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Report;
use scheduler::spec;

const INCARNATION: Ms = Ms(77);

fn registration() -> Registration {
    Registration {
        service: name("service"),
        address: Arc::from("10.0.0.1:1"),
        domain: name("d2"),
        size: Size {
            millicores: 8_000,
            memory_mb: 8_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        incarnation: INCARNATION,
        is_draining: false,
    }
}

fn accepted() -> Accepted {
    Accepted {
        queue: name("queue"),
        spec: spec::Job {
            payload: Arc::from(""),
            steps: vec![spec::Step {
                count: 1,
                estimate: Ms(500),
                ..spec::Step::default()
            }],
            schedule: None,
        },
        at: Ms(1),
    }
}

fn observation(polled_at: Ms) -> Report {
    Report::Polled(Observation {
        worker: name("w"),
        incarnation: INCARNATION,
        polled_at,
        running: Some(Vec::new()),
        ended: Vec::new(),
    })
}

/// Passes events to the leader and returns its orders to agents.
fn apply_events(leader: &mut Leader, now: Ms, events: Vec<Event>) -> Vec<Order> {
    let mut actions = Vec::new();
    for event in events {
        actions.extend(leader.handle(now, event));
    }
    actions.extend(leader.schedule(now));
    let orders = actions.into_iter().filter_map(|action| match action {
        Action::Send(_, order) => Some(order),
        _ => None,
    });
    orders.collect()
}

#[test]
fn a_start_whose_outcome_is_lost_with_an_earlier_agent_is_settled() {
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, Ms(1_000));
    let begin = vec![
        Event::Config(Arc::new(config())),
        Event::Joined(name("e1"), name("d1")),
        Event::Recovered,
        Event::RegistrationChanged(name("w"), Some(registration())),
    ];
    apply_events(&mut leader, Ms(1_000), begin);
    let known = vec![
        Event::Committed,
        Event::Received(name("e1"), observation(Ms(1_010))),
        Event::Accepted(Job(1), 20, accepted(), None),
    ];
    let orders = apply_events(&mut leader, Ms(1_020), known);
    assert!(
        orders.iter().any(|order| matches!(order, Order::Start(_))),
        "{orders:?}"
    );
    // The worker is reassigned to an agent in its own failure domain, and the first agent is lost.
    let change = vec![
        Event::Joined(name("e2"), name("d2")),
        Event::Left(name("e1")),
    ];
    apply_events(&mut leader, Ms(1_030), change);
    let mut starts = 0;
    for round in 1..20 {
        let now = Ms(1_030 + round * 400);
        let events = vec![
            Event::Tick(now),
            Event::Received(name("e2"), observation(now)),
        ];
        for order in apply_events(&mut leader, now, events) {
            match order {
                Order::Start(_) => starts += 1,
                Order::Void(placement) => {
                    let report = Report::Stopped(placement, Outcome::Done, now);
                    apply_events(&mut leader, now, vec![Event::Received(name("e2"), report)]);
                }
                _ => {}
            }
        }
    }
    // The second start gets no outcome either, so it is settled in the same way.
    assert!(starts >= 1);
}
