//! Private stand-ins until the state machines are merged.

use std::collections::HashMap;
use std::sync::Arc;

use decision::clock::Ms;
use decision::control;
use decision::control::Identity;
use decision::request;
use decision::request::Attempt;
use decision::request::Ending;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::step::Step;
use decision::ticket::Ticket;
use decision::worker::Epoch;

pub(super) struct Request {
    identity: Identity,
    targets: Vec<request::Target>,
    turn: usize,
    next: u64,
    attempts: HashMap<Attempt, u64>,
}

impl Request {
    pub(super) fn new(identity: &Identity) -> Self {
        Self {
            identity: identity.clone(),
            targets: Vec::new(),
            turn: 0,
            next: 0,
            attempts: HashMap::new(),
        }
    }

    pub(super) fn mint(&mut self, _now: Ms, count: u32) -> Vec<Ticket> {
        (0..count)
            .map(|_| {
                self.next += 1;
                Ticket {
                    issuer: self.identity.entry.clone(),
                    incarnation: self.identity.incarnation,
                    sequence: self.next,
                    nonce: 1,
                }
            })
            .collect()
    }

    pub(super) fn summary(&self, _now: Ms) -> request::Peer {
        request::Peer {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            free: 0,
            waiting: 0,
            stopping: false,
            adopted: Vec::new(),
        }
    }

    pub(super) fn book(&self, _now: Ms) -> request::Book {
        request::Book {
            issuer: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            secret: 0,
            next: self.next,
            issued: Vec::new(),
            spent: Vec::new(),
        }
    }

    pub(super) fn idle(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) const fn next(&self) -> Option<Ms> {
        None
    }
}

impl Step for Request {
    type Event = request::Event;
    type Action = request::Action;

    fn step(&mut self, now: Ms, event: request::Event) -> Vec<request::Action> {
        match event {
            request::Event::Targets(targets) => self.targets = targets,
            request::Event::Arrived(call) => {
                self.turn += 1;
                self.next += 1;
                let attempt = Attempt(self.next);
                let Some(target) = self.targets.get(self.turn % self.targets.len().max(1)) else {
                    let outcome = Outcome::Refused(Refusal::Missing);
                    return vec![request::Action::Reply {
                        call: call.id,
                        outcome,
                    }];
                };
                self.attempts.insert(attempt, call.id);
                return vec![request::Action::Send {
                    attempt,
                    vm: target.vm.clone(),
                    epoch: target.epoch,
                    call: Arc::new(call),
                    timeout: now + Ms(1_000),
                }];
            }
            request::Event::Finished(attempt, ending) => {
                if let Some(call) = self.attempts.remove(&attempt) {
                    let outcome = match ending {
                        Ending::Answered(answer) => Outcome::Answered(answer),
                        Ending::NotRun => Outcome::Refused(Refusal::Unreachable),
                        Ending::Unknown => Outcome::Unknown,
                    };
                    return vec![request::Action::Reply { call, outcome }];
                }
            }
            _ => {}
        }
        Vec::new()
    }
}

pub(super) struct Control;

impl Control {
    pub(super) fn new(_identity: Identity) -> Self {
        Self
    }
}

impl Step for Control {
    type Event = control::Event;
    type Action = control::Action;

    fn step(&mut self, _now: Ms, event: control::Event) -> Vec<control::Action> {
        match event {
            control::Event::Vms(vms) => {
                let target = |vm: decision::vm::Vm| request::Target {
                    vm: vm.name,
                    epoch: Epoch::default(),
                    domain: vm.domain,
                    slots: vm.slots,
                    busy: 0,
                    leaving: false,
                    slowdown: 100,
                };
                vec![
                    control::Action::Config(decision::config::Version(1), Arc::default()),
                    control::Action::Targets(vms.into_iter().map(target).collect()),
                ]
            }
            control::Event::Stopping => vec![control::Action::Stopped],
            _ => Vec::new(),
        }
    }
}
