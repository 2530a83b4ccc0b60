//! Steps whose tasks should share a rack, in fleets of many racks.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::BOUNDS;
use common::INCARNATION;
use common::accepted_job;
use common::config;
use common::name;
use common::registration;
use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::leader::Action;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::spec;

const RACKS: usize = 60;
const RACK_WORKERS: usize = 8;
/// The rack of which the workers have accelerators and the least free processors.
const SPECIAL: usize = 41;
/// The most searches of the fleet for one step: by some racks, and without one.
const MAX_SEARCHES: u64 = 17;

fn worker(rack: usize, index: usize) -> Name {
    name(&format!("w{rack}-{index}"))
}

/// Passes events to a leader and returns the workers of the tasks that it starts.
fn apply(leader: &mut Leader, now: Ms, events: Vec<Event>) -> Vec<Name> {
    let events = [Event::LeadConfirmed(now)].into_iter().chain(events);
    let events = events.chain([Event::Tick(Ms(1_700_000_000_000))]);
    let mut actions: Vec<Action> = events.flat_map(|event| leader.handle(now, event)).collect();
    actions.extend(leader.schedule(now));
    if actions.iter().any(|it| matches!(it, Action::Commit(_))) {
        actions.extend(leader.handle(now, Event::Committed));
    }
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Send(_, Order::Start(start)) => Some(start.worker),
        _ => None,
    });
    starts.collect()
}

/// Returns a leader of a fleet of idle workers.
fn begin() -> Leader {
    let mut leader = Leader::new(name("e"), Epoch(7), BOUNDS, Ms(20_000));
    let joined = vec![
        Event::Config(Arc::new(config())),
        Event::Recovered,
        Event::Joined(name("e"), name("d")),
    ];
    apply(&mut leader, Ms(20_000), joined);
    let mut events = Vec::new();
    for rack in 0..RACKS {
        for index in 0..RACK_WORKERS {
            let mut registration = registration("d");
            registration.labels = vec![name("kind"), name(&format!("r{rack}"))];
            if rack == SPECIAL {
                registration.size.accelerators = 1;
                registration.size.millicores -= 1_000;
            }
            let worker = worker(rack, index);
            events.push(Event::RegistrationChanged(worker, Some(registration)));
        }
    }
    apply(&mut leader, Ms(22_000), events);
    let polled = (0..RACKS).flat_map(|rack| (0..RACK_WORKERS).map(move |it| worker(rack, it)));
    let polled = polled.map(|worker| {
        let observation = Observation {
            worker,
            incarnation: INCARNATION,
            polled_at: Ms(1),
            running: Some(Vec::new()),
            ended: Vec::new(),
        };
        Event::Received(name("e"), Report::Polled(observation))
    });
    apply(&mut leader, Ms(22_050), polled.collect());
    leader
}

/// Returns a job of tasks that need most of a worker's processors, or one of its accelerators.
fn job(count: u32, accelerators: u32, is_gang: bool) -> Event {
    let step = spec::Step {
        count,
        need: Size {
            millicores: 5_000,
            memory_mb: 1,
            accelerators,
        },
        estimate: Ms(500),
        is_gang,
        is_same_rack: true,
        ..spec::Step::default()
    };
    Event::Accepted(id::Job(1), 30, accepted_job(vec![step]), None)
}

/// Each rack was searched for a step that none has room for: in a fleet of 25,000 workers one pass
/// over one step took 3 s.
#[test]
fn racks_without_room_for_all_tasks_are_not_searched() {
    let whole = u32::try_from(RACK_WORKERS).expect("it is small");
    // The tasks, whether they need accelerators, whether they are a gang, and the tasks that start
    // and their racks.
    let table = [
        (whole, 0, false, whole, Some(1)),
        (whole, 0, true, whole, Some(1)),
        (whole + 1, 0, false, whole + 1, None),
        (whole + 1, 0, true, whole + 1, None),
        (whole, 1, false, whole, Some(1)),
        (whole, 1, true, whole, Some(1)),
        (whole + 1, 1, false, whole, Some(1)),
        (whole + 1, 1, true, 0, Some(0)),
        (20_000, 0, true, 0, Some(0)),
    ];
    for (count, accelerators, is_gang, started, racks) in table {
        let case = format!("{count} tasks, {accelerators} accelerators, gang {is_gang}");
        let mut leader = begin();
        let before = leader.searches();
        let job = job(count, accelerators, is_gang);
        let workers = apply(&mut leader, Ms(22_100), vec![job]);
        let used: BTreeSet<&str> = workers
            .iter()
            .filter_map(|worker| worker.split('-').next())
            .collect();
        assert_eq!(workers.len(), started as usize, "{case}");
        if let Some(racks) = racks {
            assert_eq!(used.len(), racks, "{case}: {used:?}");
        }
        let searches = leader.searches() - before;
        assert!(searches <= MAX_SEARCHES, "{case}: {searches} searches");
    }
}
