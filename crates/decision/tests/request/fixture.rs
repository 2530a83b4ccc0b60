//! Builders of a request path and its inputs, and filters of its actions.

use std::sync::Arc;

use bytes::Bytes;
use decision::clock::Ms;
use decision::config::Checked;
use decision::config::Document;
use decision::config::Service;
use decision::config::Team;
use decision::control::Identity;
use decision::name::Name;
use decision::request::Action;
use decision::request::Answer;
use decision::request::Attempt;
use decision::request::Call;
use decision::request::Event;
use decision::request::Machine;
use decision::request::Outcome;
use decision::request::Peer;
use decision::request::Target;
use decision::resource::Size;
use decision::step::Step;
use decision::ticket::Ticket;
use decision::worker::Epoch;

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

pub fn identity(entry: &str) -> Identity {
    Identity {
        entry: name(entry),
        incarnation: 7,
        address: ([127, 0, 0, 1], 1).into(),
        domain: name("a"),
        seeds: Vec::new(),
        seed: 1,
    }
}

pub fn config(queue: u32) -> Event {
    let service = Service {
        name: name("orders"),
        reserved: Size::default(),
        queue,
        deadline: Ms(1_000),
        attempt: Ms(500),
    };
    let team = |team, weight| Team {
        name: name(team),
        quota: Size::default(),
        weight,
    };
    let document = Document {
        services: vec![service],
        teams: vec![team("shop", 1), team("stock", 3)],
        ..Document::default()
    };
    let config = Checked::try_from(document).expect("the test configuration is valid");
    Event::Config(Arc::new(config))
}

pub fn target(vm: &str) -> Target {
    Target {
        vm: name(vm),
        epoch: Epoch { row: 1, step: 0 },
        domain: name("a"),
        slots: 8,
        busy: 0,
        snapshot: None,
        leaving: false,
        slowdown: 100,
    }
}

pub fn peer(entry: &str, free: u32) -> Peer {
    Peer {
        entry: name(entry),
        incarnation: 7,
        free,
        waiting: 0,
        stopping: false,
        adopted: Vec::new(),
    }
}

/// A request that may be repeated, without a ticket.
pub fn call(id: u64) -> Call {
    Call {
        id,
        service: name("orders"),
        kind: name("preview"),
        team: name("shop"),
        repeatable: true,
        ticket: None,
        deadline: Ms(1_000),
        forwarded: false,
        body: Bytes::new(),
    }
}

/// A request that must not be repeated, with its ticket.
pub fn order(id: u64, ticket: &Ticket) -> Call {
    Call {
        repeatable: false,
        ticket: Some(ticket.clone()),
        ..call(id)
    }
}

pub fn answer(status: u16) -> Answer {
    Answer {
        status,
        body: Bytes::from_static(b"whole"),
    }
}

/// Creates a configured request path with one target for each VM name.
pub fn machine(vms: &[&str]) -> Machine {
    let mut machine = Machine::new(&identity("e1"));
    machine.step(Ms::ZERO, config(100));
    let targets = vms.iter().map(|vm| target(vm)).collect();
    machine.step(Ms::ZERO, Event::Targets(targets));
    machine
}

/// Returns the attempts that were sent to targets or peers, with their receivers.
pub fn sent(actions: &[Action]) -> Vec<(Attempt, Name)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { attempt, vm, .. } => Some((*attempt, vm.clone())),
        Action::Forward { attempt, entry, .. } => Some((*attempt, entry.clone())),
        _ => None,
    });
    sent.collect()
}

/// Returns the replies, each with the id of its call.
pub fn replies(actions: &[Action]) -> Vec<(u64, Outcome)> {
    let replies = actions.iter().filter_map(|action| match action {
        Action::Reply { call, outcome } => Some((*call, outcome.clone())),
        _ => None,
    });
    replies.collect()
}
