//! Models the callers behind the platform's load balancer: first sendings, retries, tickets and
//! timeouts.

use std::collections::BTreeMap;

use bytes::Bytes;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::ticket::Ticket;
use history::Fact;
use rand::RngExt;

use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::queue::ms;
use crate::scenario::Scenario;
use crate::simulation::Event;
use crate::simulation::Input;
use crate::simulation::Simulation;

/// The time after the deadline during which a caller still waits for an outcome. It is shorter than
/// the 5 s after which the history check reports a missing outcome.
const OUTCOME_GRACE: Us = 4_900 * MS;

/// The delay after which some callers send a request a second time.
const RESEND_DELAY: Us = 50 * MS;

/// The age up to which a caller uses a ticket. Tickets expire after 120 s.
const TICKET_MAX_AGE: Us = 60 * SECOND;

/// The maximum number of sendings of one request.
const MAX_SENDINGS: u32 = 4;

/// The progress of one request.
#[derive(Debug, Default)]
struct Progress {
    /// The number of sendings so far.
    sendings: u32,
    /// Sendings without an outcome, with the index of the entry that received them.
    open: BTreeMap<u32, usize>,
    ticket: Option<Ticket>,
    /// Whether the caller needs no further outcome.
    done: bool,
}

/// The state of all callers.
#[derive(Debug)]
pub(crate) struct Callers {
    /// The progress of each request, by its index.
    progress: Vec<Progress>,
    /// Tickets that no request uses yet, with the time at which they were received.
    tickets: Vec<(Us, Ticket)>,
}

impl Callers {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let progress = scenario
            .requests
            .iter()
            .map(|_| Progress::default())
            .collect();
        Self {
            progress,
            tickets: Vec::new(),
        }
    }

    /// Returns an unused ticket that is not too old, if there is one.
    fn pop_ticket(&mut self, now: Us) -> Option<Ticket> {
        while let Some((since, ticket)) = self.tickets.pop() {
            if now < since + TICKET_MAX_AGE {
                return Some(ticket);
            }
        }
        None
    }
}

/// The body of a sending, which no other request shares. The sendings of a repeatable request have
/// different bodies, so that each run can be assigned to one of them.
pub(crate) fn request_body(scenario: &Scenario, request: usize, sending: u32) -> Bytes {
    let sending = if scenario.requests[request].repeatable {
        sending
    } else {
        0
    };
    Bytes::from(format!("request-{request}-{sending}"))
}

impl Simulation<'_> {
    pub(crate) fn send_first(&mut self, request: usize) {
        let now = self.queue.now();
        if !self.scenario.requests[request].repeatable {
            self.callers.progress[request].ticket = self.callers.pop_ticket(now);
        }
        self.send(request);
        let sends_twice = self.scenario.requests[request].sends_twice;
        if sends_twice && self.callers.progress[request].ticket.is_some() {
            // Both sendings carry the same ticket, so they are expected to have the same outcome.
            self.queue
                .schedule_after(RESEND_DELAY, Event::RequestDue(request));
        }
    }

    /// Sends a request for the first time, or a second time if the first sending is still in
    /// flight.
    pub(crate) fn send_due(&mut self, request: usize) {
        let progress = &self.callers.progress[request];
        match progress.sendings {
            0 => self.send_first(request),
            1 if !progress.done => self.send(request),
            _ => {}
        }
    }

    fn send(&mut self, request: usize) {
        let spec = &self.scenario.requests[request];
        let now = self.queue.now();
        let deadline = spec.at + self.scenario.service.deadline.0 * MS;
        let remaining = deadline.saturating_sub(now);
        if remaining == 0 || self.callers.progress[request].sendings >= MAX_SENDINGS {
            return;
        }
        let entry = self.pick_entry();
        let progress = &mut self.callers.progress[request];
        let sending = progress.sendings;
        progress.sendings += 1;
        progress.open.insert(sending, entry);
        let ticket = progress.ticket.clone();
        self.record(Fact::Sent {
            request: request as u64,
            sending,
            entry: self.entries[entry].name.clone(),
            repeatable: spec.repeatable,
            deadline: ms(remaining),
            body: request_body(self.scenario, request, sending),
        });
        let arrival = Event::RequestArrived {
            entry,
            request,
            sending,
            ticket,
            remaining,
        };
        self.queue
            .schedule_after(self.scenario.client_latency, arrival);
        let timeout = Event::SendingTimeout { request, sending };
        self.queue
            .schedule_after(remaining + OUTCOME_GRACE, timeout);
    }

    fn pick_entry(&mut self) -> usize {
        if self.ready_entries.is_empty() {
            return self.random.random_range(0..self.entries.len());
        }
        self.ready_entries[self.random.random_range(0..self.ready_entries.len())]
    }

    pub(crate) fn deliver_request(
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
        let input = Input::Call {
            request,
            sending,
            ticket,
            remaining,
        };
        self.schedule_input(entry, 0, input);
    }

    fn break_connection(&mut self, request: usize, sending: u32) {
        let outcome = Event::Outcome {
            request,
            sending,
            outcome: None,
            fresh: None,
        };
        self.queue
            .schedule_after(self.scenario.client_latency, outcome);
    }

    /// Breaks the connections of all callers that have a request at an entry.
    pub(crate) fn break_connections(&mut self, entry: usize) {
        let progress = self.callers.progress.iter().enumerate();
        let open = progress.flat_map(|(request, progress)| {
            let at_entry = progress.open.iter().filter(|(_, at)| **at == entry);
            at_entry.map(move |(sending, _)| (request, *sending))
        });
        for (request, sending) in open.collect::<Vec<_>>() {
            self.break_connection(request, sending);
        }
    }

    pub(crate) fn time_out_sending(&mut self, request: usize, sending: u32) {
        let Some(entry) = self.callers.progress[request].open.remove(&sending) else {
            return;
        };
        if self.entries[entry].alive {
            self.schedule_input(entry, 0, Input::Withdrawn { request, sending });
        }
    }

    pub(crate) fn receive_outcome(
        &mut self,
        request: usize,
        sending: u32,
        outcome: Option<Outcome>,
        fresh: Option<Ticket>,
    ) {
        let now = self.queue.now();
        self.callers
            .tickets
            .extend(fresh.map(|ticket| (now, ticket)));
        let progress = &mut self.callers.progress[request];
        if progress.open.remove(&sending).is_none() {
            return;
        }
        let done = progress.done;
        self.record(Fact::Received {
            request: request as u64,
            sending,
            outcome: outcome.clone(),
        });
        if !done {
            self.handle_outcome(request, outcome.as_ref());
        }
    }

    fn handle_outcome(&mut self, request: usize, outcome: Option<&Outcome>) {
        let now = self.queue.now();
        let progress = &mut self.callers.progress[request];
        match outcome {
            Some(Outcome::Answered(_)) => {
                progress.done = true;
                let run_time = self.fleet.last_run_time(request);
                self.samples
                    .record_answered(self.scenario, request, now, run_time);
            }
            Some(Outcome::Refused(Refusal::Full | Refusal::Late | Refusal::Missing)) => {
                // A final refusal ends the request unless another sending is still open.
                progress.done = progress.open.is_empty();
            }
            Some(Outcome::Refused(Refusal::TicketNeeded | Refusal::TicketExpired)) => {
                let ticket = self.callers.pop_ticket(now);
                self.callers.progress[request].ticket = ticket;
                self.send(request);
            }
            Some(Outcome::Refused(Refusal::Stopping | Refusal::Unreachable))
            | Some(Outcome::Unknown)
            | None => self.send(request),
        }
    }
}
