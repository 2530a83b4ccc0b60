//! Callers behind the platform's load balancer: first sendings, retries, tickets, patience.

use std::collections::BTreeMap;

use bytes::Bytes;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::ticket::Ticket;
use history::Fact;
use rand::RngExt;

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::agenda::ms;
use crate::scene::Scene;
use crate::world::Happening;
use crate::world::Inside;
use crate::world::World;

/// A caller waits this much longer than its deadline. It is within the time after which the
/// history check counts a missing outcome as a broken promise.
const PATIENCE: Us = 4_900 * MS;

/// An impatient caller sends a second time after this time.
const IMPATIENCE: Us = 50 * MS;

/// A caller does not use a ticket that it has had for longer, as it expires at 120 s.
const TICKET_AGE: Us = 60 * SECOND;

/// A caller sends a request at most so often.
const SENDINGS: u32 = 4;

/// A request under way.
#[derive(Debug, Default)]
struct Live {
    sendings: u32,
    /// Sendings without an outcome, with the entry and its process.
    open: BTreeMap<u32, usize>,
    ticket: Option<Ticket>,
    done: bool,
}

/// All callers.
#[derive(Debug)]
pub(crate) struct Callers {
    live: Vec<Live>,
    tickets: Vec<(Us, Ticket)>,
}

impl Callers {
    pub(crate) fn new(scene: &Scene) -> Self {
        let live = scene.requests.iter().map(|_| Live::default()).collect();
        Self {
            live,
            tickets: Vec::new(),
        }
    }

    fn ticket(&mut self, now: Us) -> Option<Ticket> {
        while let Some((since, ticket)) = self.tickets.pop() {
            if now < since + TICKET_AGE {
                return Some(ticket);
            }
        }
        None
    }
}

/// What a request carries, which no other request carries. Sendings of a repeatable request differ,
/// so that a run is known to be of one of them.
pub(crate) fn body(scene: &Scene, request: usize, sending: u32) -> Bytes {
    let sending = if scene.requests[request].repeatable {
        sending
    } else {
        0
    };
    Bytes::from(format!("request-{request}-{sending}"))
}

impl World<'_> {
    pub(crate) fn first_sending(&mut self, request: usize) {
        let now = self.agenda.now();
        if !self.scene.requests[request].repeatable {
            self.callers.live[request].ticket = self.callers.ticket(now);
        }
        self.send(request);
        let impatient = self.scene.requests[request].impatient;
        if impatient && self.callers.live[request].ticket.is_some() {
            // The outcome of the second sending is expected to be that of the first.
            self.agenda.after(IMPATIENCE, Happening::Request(request));
        }
    }

    /// A planned second sending while the first is in flight, or the first one.
    pub(crate) fn due(&mut self, request: usize) {
        let live = &self.callers.live[request];
        match live.sendings {
            0 => self.first_sending(request),
            1 if !live.done => self.send(request),
            _ => {}
        }
    }

    fn send(&mut self, request: usize) {
        let spec = &self.scene.requests[request];
        let now = self.agenda.now();
        let deadline = spec.at + self.scene.service.deadline.0 * MS;
        let remaining = deadline.saturating_sub(now);
        if remaining == 0 || self.callers.live[request].sendings >= SENDINGS {
            return;
        }
        let entry = self.pick_entry();
        let live = &mut self.callers.live[request];
        let sending = live.sendings;
        live.sendings += 1;
        live.open.insert(sending, entry);
        let ticket = live.ticket.clone();
        self.see(Fact::Sent {
            request: request as u64,
            sending,
            entry: self.entries[entry].name.clone(),
            repeatable: spec.repeatable,
            deadline: ms(remaining),
            body: body(self.scene, request, sending),
        });
        let arrive = Happening::Arrive {
            entry,
            request,
            sending,
            ticket,
            remaining,
        };
        self.agenda.after(self.scene.client, arrive);
        let give_up = Happening::GiveUp { request, sending };
        self.agenda.after(remaining + PATIENCE, give_up);
    }

    fn pick_entry(&mut self) -> usize {
        if self.balanced.is_empty() {
            return self.random.random_range(0..self.entries.len());
        }
        self.balanced[self.random.random_range(0..self.balanced.len())]
    }

    pub(crate) fn arrive(
        &mut self,
        entry: usize,
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    ) {
        if !self.entries[entry].alive {
            return self.break_connection(request, sending);
        }
        let inside = Inside::Call {
            request,
            sending,
            ticket,
            remaining,
        };
        self.inside(entry, 0, inside);
    }

    fn break_connection(&mut self, request: usize, sending: u32) {
        let outcome = Happening::Outcome {
            request,
            sending,
            outcome: None,
            fresh: None,
        };
        self.agenda.after(self.scene.client, outcome);
    }

    /// Every caller with a request at an entry sees its connection break.
    pub(crate) fn cut_callers(&mut self, entry: usize) {
        let live = self.callers.live.iter().enumerate();
        let open = live.flat_map(|(request, live)| {
            let of = live.open.iter().filter(|(_, at)| **at == entry);
            of.map(move |(sending, _)| (request, *sending))
        });
        for (request, sending) in open.collect::<Vec<_>>() {
            self.break_connection(request, sending);
        }
    }

    pub(crate) fn give_up(&mut self, request: usize, sending: u32) {
        let Some(entry) = self.callers.live[request].open.remove(&sending) else {
            return;
        };
        if self.entries[entry].alive {
            self.inside(entry, 0, Inside::Withdrawn { request, sending });
        }
    }

    pub(crate) fn outcome(
        &mut self,
        request: usize,
        sending: u32,
        outcome: Option<Outcome>,
        fresh: Option<Ticket>,
    ) {
        let now = self.agenda.now();
        self.callers
            .tickets
            .extend(fresh.map(|ticket| (now, ticket)));
        let live = &mut self.callers.live[request];
        if live.open.remove(&sending).is_none() {
            return;
        }
        let done = live.done;
        self.see(Fact::Received {
            request: request as u64,
            sending,
            outcome: outcome.clone(),
        });
        if !done {
            self.react(request, outcome.as_ref());
        }
    }

    fn react(&mut self, request: usize, outcome: Option<&Outcome>) {
        let now = self.agenda.now();
        let live = &mut self.callers.live[request];
        match outcome {
            Some(Outcome::Answered(_)) => {
                live.done = true;
                let wait = self.fleet.ran_for(request);
                self.samples.answered(self.scene, request, now, wait);
            }
            Some(Outcome::Refused(Refusal::Full | Refusal::Late | Refusal::Missing)) => {
                live.done = live.open.is_empty();
            }
            Some(Outcome::Refused(Refusal::TicketNeeded | Refusal::TicketExpired)) => {
                let ticket = self.callers.ticket(now);
                self.callers.live[request].ticket = ticket;
                self.send(request);
            }
            Some(Outcome::Refused(Refusal::Stopping | Refusal::Unreachable))
            | Some(Outcome::Unknown)
            | None => self.send(request),
        }
    }
}
