//! Single orders, step by step.

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

const BORN: Ms = Ms(77);

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
        incarnation: BORN,
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

fn look(asked: Ms) -> Report {
    Report::Polled(Observation {
        worker: name("w"),
        incarnation: BORN,
        polled_at: asked,
        running: Some(Vec::new()),
        ended: Vec::new(),
    })
}

/// Tells the leader of events and returns the orders to agents.
fn play(leader: &mut Leader, now: Ms, events: Vec<Event>) -> Vec<Order> {
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
    play(&mut leader, Ms(1_000), begin);
    let known = vec![
        Event::Committed,
        Event::Received(name("e1"), look(Ms(1_010))),
        Event::Accepted(Job(1), 20, accepted(), None),
    ];
    let orders = play(&mut leader, Ms(1_020), known);
    assert!(
        orders.iter().any(|order| matches!(order, Order::Start(_))),
        "{orders:?}"
    );
    // The worker passes to an agent of its own failure domain, and the first agent is lost.
    let change = vec![
        Event::Joined(name("e2"), name("d2")),
        Event::Left(name("e1")),
    ];
    play(&mut leader, Ms(1_030), change);
    let mut starts = 0;
    for turn in 1..20 {
        let now = Ms(1_030 + turn * 400);
        let events = vec![Event::Tick(now), Event::Received(name("e2"), look(now))];
        for order in play(&mut leader, now, events) {
            match order {
                Order::Start(_) => starts += 1,
                Order::Void(placement) => {
                    let note = Report::Stopped(placement, Outcome::Done, now);
                    play(&mut leader, now, vec![Event::Received(name("e2"), note)]);
                }
                _ => {}
            }
        }
    }
    // The second start has no outcome either, so it is settled in the same way.
    assert!(starts >= 1);
}
