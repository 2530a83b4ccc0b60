//! Tests of single orders.

mod common;

use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::job::Accepted;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::End;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Termination;
use scheduler::spec;

const NEXT_INCARNATION: Ms = Ms(78);

fn accepted() -> Accepted {
    common::accepted_job(vec![spec::Step {
        count: 1,
        estimate: Ms(500),
        ..spec::Step::default()
    }])
}

fn observation(polled_at: Ms) -> Report {
    observation_of("w", INCARNATION, polled_at)
}

fn observation_of(worker: &str, incarnation: Ms, polled_at: Ms) -> Report {
    Report::Polled(Observation {
        worker: name(worker),
        incarnation,
        polled_at,
        running: Some(Vec::new()),
        ended: Vec::new(),
    })
}

/// Passes events to the leader and returns its orders to agents.
fn apply_events(leader: &mut Leader, now: Ms, events: Vec<Event>) -> Vec<Order> {
    let mut actions = leader.handle(now, Event::LeadConfirmed(now));
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
        Event::RegistrationChanged(name("w"), Some(registration("d2"))),
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

#[test]
fn an_unanswered_start_is_voided_at_the_next_incarnation_before_its_task_starts_again() {
    let agent = name("e1");
    let received = |report| Event::Received(agent.clone(), report);
    let registered =
        |worker: &str| Event::RegistrationChanged(name(worker), Some(registration("d2")));
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, Ms(1_000));
    let begin = vec![
        Event::Config(Arc::new(config())),
        Event::Joined(agent.clone(), name("d1")),
        Event::Recovered,
        registered("w"),
        registered("w2"),
    ];
    apply_events(&mut leader, Ms(1_000), begin);
    let known = vec![
        Event::Committed,
        received(observation(Ms(1_010))),
        received(observation_of("w2", INCARNATION, Ms(1_010))),
        Event::Accepted(Job(1), 20, accepted(), None),
    ];
    let orders = apply_events(&mut leader, Ms(1_020), known);
    let [start] = &starts(&orders)[..] else {
        panic!("{orders:?}");
    };
    let worker = &*start.worker;
    let restart = vec![
        received(Report::Started(start.placement(), Outcome::Unknown)),
        received(observation_of(worker, NEXT_INCARNATION, Ms(1_900))),
    ];
    let orders = apply_events(&mut leader, Ms(1_900), restart);
    assert_eq!(starts(&orders), []);
    let void = Placement {
        incarnation: NEXT_INCARNATION,
        ..start.placement()
    };
    assert!(orders.contains(&Order::Void(void.clone())), "{orders:?}");
    let voided = vec![
        received(Report::Stopped(void, Outcome::Done, Ms(1_910))),
        received(observation_of(worker, NEXT_INCARNATION, Ms(1_920))),
    ];
    let orders = apply_events(&mut leader, Ms(1_920), voided);
    assert_eq!(starts(&orders).len(), 1, "{orders:?}");
}

fn starts(orders: &[Order]) -> Vec<Start> {
    let starts = orders.iter().filter_map(|order| match order {
        Order::Start(start) => Some(start.clone()),
        _ => None,
    });
    starts.collect()
}

/// Begins a leader that starts the two members of a gang.
fn begin_gang() -> (Leader, Vec<Start>) {
    let mut gang = accepted();
    gang.spec.steps[0].count = 2;
    gang.spec.steps[0].is_gang = true;
    // One worker has no room for both.
    gang.spec.steps[0].need.millicores = 5_000;
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, Ms(1_000));
    let registered =
        |worker: &str| Event::RegistrationChanged(name(worker), Some(registration("d2")));
    let begin = vec![
        Event::Config(Arc::new(config())),
        Event::Joined(name("e1"), name("d1")),
        Event::Recovered,
        registered("w"),
        registered("w2"),
    ];
    apply_events(&mut leader, Ms(1_000), begin);
    let known = vec![
        Event::Committed,
        Event::Received(name("e1"), observation(Ms(1_010))),
        Event::Received(name("e1"), observation_of("w2", INCARNATION, Ms(1_010))),
        Event::Accepted(Job(1), 20, gang, None),
    ];
    let orders = apply_events(&mut leader, Ms(1_020), known);
    (leader, starts(&orders))
}

/// Returns the reports that the runs have ended, one on each worker.
fn gang_ended(runs: &[Start], how: Termination, checkpoints: [Option<&str>; 2]) -> Vec<Event> {
    assert_ne!(runs[0].worker, runs[1].worker);
    let ends = runs.iter().zip(checkpoints).map(|(start, checkpoint)| {
        let end = End {
            number: 1,
            task: start.task,
            run: start.run,
            termination: how,
            checkpoint: checkpoint.map(Arc::from),
        };
        let observation = Observation {
            worker: start.worker.clone(),
            incarnation: INCARNATION,
            polled_at: Ms(1_900),
            running: Some(Vec::new()),
            ended: vec![end],
        };
        Event::Received(name("e1"), Report::Polled(observation))
    });
    ends.collect()
}

/// After one worker of a gang was emptied, its members were started from different checkpoints.
#[test]
fn the_members_of_a_gang_start_from_one_checkpoint() {
    let table = [
        ([None, None], vec![None]),
        ([Some("a"), None], vec![Some("a")]),
        ([None, Some("b")], vec![Some("b")]),
        ([Some("a"), Some("b")], vec![Some("a"), Some("b")]),
    ];
    for (checkpoints, allowed) in table {
        let (mut leader, first) = begin_gang();
        let broken = gang_ended(&first, Termination::Broken, checkpoints);
        let mut orders = apply_events(&mut leader, Ms(1_900), broken);
        orders.extend(apply_events(&mut leader, Ms(1_950), Vec::new()));
        let again = starts(&orders);
        let [one, other] = &again[..] else {
            panic!("{checkpoints:?}: {again:?}");
        };
        assert_eq!(one.checkpoint, other.checkpoint, "{checkpoints:?}");
        assert!(
            allowed.contains(&one.checkpoint.as_deref()),
            "{checkpoints:?}"
        );
    }
}

#[test]
fn the_end_of_a_gang_member_is_acknowledged_only_after_the_progress_is_durable() {
    let (mut leader, runs) = begin_gang();
    let ends = gang_ended(&runs, Termination::Done, [None, None]);
    let orders = apply_events(&mut leader, Ms(1_900), ends);
    assert_eq!(acknowledged(&orders), [0; 0], "{orders:?}");
    let orders = apply_events(&mut leader, Ms(1_910), vec![Event::Committed]);
    assert_eq!(acknowledged(&orders), [1, 1], "{orders:?}");
}

/// Returns the numbers up to which the orders let workers discard ends.
fn acknowledged(orders: &[Order]) -> Vec<u64> {
    let numbers = orders.iter().filter_map(|order| match order {
        Order::Watch(watch) => watch.acknowledged.map(|(_, number)| number),
        _ => None,
    });
    numbers.collect()
}

/// Begins a leader with two workers and one agent that starts a task whose outcome is unknown.
/// Returns the start, which was voided, but the agent has not answered that yet.
fn begin_unanswered_start() -> (Leader, Start) {
    let mut leader = Leader::new(name("e0"), Epoch(17), BOUNDS, Ms(1_000));
    let registered =
        |worker: &str| Event::RegistrationChanged(name(worker), Some(registration("d2")));
    let begin = vec![
        Event::Config(Arc::new(config())),
        Event::Joined(name("e1"), name("d1")),
        Event::Recovered,
        registered("w"),
        registered("w2"),
    ];
    apply_events(&mut leader, Ms(1_000), begin);
    let known = vec![
        Event::Committed,
        from_agent(observation(Ms(1_010))),
        from_agent(observation_of("w2", INCARNATION, Ms(1_010))),
        Event::Accepted(Job(1), 20, accepted(), None),
    ];
    let orders = apply_events(&mut leader, Ms(1_020), known);
    let [start] = &starts(&orders)[..] else {
        panic!("{orders:?}");
    };
    let unanswered = vec![
        from_agent(Report::Started(start.placement(), Outcome::Unknown)),
        from_agent(observation_of(&start.worker, INCARNATION, Ms(1_800))),
    ];
    let orders = apply_events(&mut leader, Ms(1_800), unanswered);
    assert!(
        orders.contains(&Order::Void(start.placement())),
        "{orders:?}"
    );
    (leader, start.clone())
}

fn from_agent(report: Report) -> Event {
    Event::Received(name("e1"), report)
}

/// The answer of the former life of a worker arrived after the first poll of the next one, and was
/// taken for that of the next one, which could still carry out the start.
#[test]
fn an_answer_to_a_stop_counts_for_the_life_of_the_worker_that_was_ordered() {
    for outcome in [Outcome::Done, Outcome::Old, Outcome::Reborn] {
        let (mut leader, start) = begin_unanswered_start();
        let events = vec![
            from_agent(observation_of(&start.worker, NEXT_INCARNATION, Ms(1_900))),
            from_agent(Report::Stopped(start.placement(), outcome, Ms(1_905))),
            from_agent(observation_of(&start.worker, NEXT_INCARNATION, Ms(1_910))),
        ];
        let mut orders = apply_events(&mut leader, Ms(1_910), events);
        assert_eq!(starts(&orders), [], "{outcome:?}");
        orders.retain(|order| matches!(order, Order::Void(_)));
        let void = Placement {
            incarnation: NEXT_INCARNATION,
            ..start.placement()
        };
        assert_eq!(orders, [Order::Void(void.clone())], "{outcome:?}");
        let voided = vec![
            from_agent(Report::Stopped(void, Outcome::Done, Ms(1_920))),
            from_agent(observation_of(&start.worker, NEXT_INCARNATION, Ms(1_930))),
        ];
        let orders = apply_events(&mut leader, Ms(1_930), voided);
        assert_eq!(starts(&orders).len(), 1, "{outcome:?}: {orders:?}");
    }
}

/// The agent of a worker lost power after it had reported the answer to an order to stop. Its clock
/// began anew, so that no poll seemed to be later than that answer, and the task never started.
#[test]
fn an_answered_stop_is_repeated_after_a_restart_of_the_agent() {
    let (mut leader, start) = begin_unanswered_start();
    let answered = Report::Stopped(start.placement(), Outcome::Done, Ms(50_000_000));
    let restart = vec![
        from_agent(answered),
        Event::Left(name("e1")),
        Event::Joined(name("e1"), name("d1")),
    ];
    apply_events(&mut leader, Ms(2_000), restart);
    let mut started = Vec::new();
    for round in 1..10 {
        // The clock of the agent is behind that of the leader by 2 s.
        let (now, clock) = (Ms(2_000 + round * 400), Ms(round * 400));
        let poll = from_agent(observation_of(&start.worker, INCARNATION, clock));
        let orders = apply_events(&mut leader, now, vec![Event::Tick(now), poll]);
        started.extend(starts(&orders));
        let voids = orders.into_iter().filter_map(|order| match order {
            Order::Void(placement) => Some(placement),
            _ => None,
        });
        let answers = voids.map(|it| from_agent(Report::Stopped(it, Outcome::Done, clock)));
        let orders = apply_events(&mut leader, now, answers.collect());
        started.extend(starts(&orders));
    }
    assert!(!started.is_empty());
}
