//! The request path of the baseline: round robin over targets with 8 slots each as counted by the
//! entry itself, an unbounded queue, and an immediate retry after an error where a request may be
//! repeated.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::clock::Ms;
use crate::config::Checked;
use crate::control::Identity;
use crate::name::Name;
use crate::request::Action;
use crate::request::Answer;
use crate::request::Attempt;
use crate::request::Book;
use crate::request::Call;
use crate::request::Ending;
use crate::request::Event;
use crate::request::Outcome;
use crate::request::Peer;
use crate::request::Refusal;
use crate::request::Target;
use crate::step::Step;
use crate::ticket::Claim;
use crate::ticket::Ledger;
use crate::ticket::Ticket;

/// The number of requests that the baseline sends to a target at once.
const SLOTS: u32 = 8;
/// HTTP statuses from this one on count as a failure of the target.
const FAILED_STATUS: u16 = 500;

#[derive(Debug)]
struct Request {
    call: Arc<Call>,
    /// The numbers of later calls with the same ticket, which get the same answer.
    joined: Vec<u64>,
    /// Whether this entry spent the ticket of the call.
    ticketed: bool,
    /// Whether the caller already got a reply, while the attempt goes on.
    answered: bool,
    may_have_run: bool,
    flight: Option<Attempt>,
    /// The last answer with an error status, which is returned if no attempt succeeds.
    failed: Option<Answer>,
}

#[derive(Debug)]
struct InFlight {
    request: u64,
    vm: Option<Name>,
    sent: Ms,
    timeout: Ms,
}

/// The baseline request path of one entry.
#[derive(Debug)]
pub struct Machine {
    entry: Name,
    incarnation: u64,
    config: Option<Arc<Checked>>,
    targets: Vec<Target>,
    rotation: usize,
    busy: HashMap<Name, u32>,
    peers: Vec<Peer>,
    requests: BTreeMap<u64, Request>,
    waiting: VecDeque<u64>,
    flights: BTreeMap<Attempt, InFlight>,
    attempts: u64,
    actions: Vec<Action>,
    tickets: Ledger,
    adopted: BTreeMap<(Name, u64), Ledger>,
    stopping: bool,
    handed_over: bool,
}

impl Machine {
    /// Creates the request path of a new process, without configuration, targets or peers.
    #[must_use]
    pub fn new(identity: &Identity) -> Self {
        let secret = StdRng::seed_from_u64(identity.seed ^ identity.incarnation).next_u64();
        Self {
            entry: identity.entry.clone(),
            incarnation: identity.incarnation,
            config: None,
            targets: Vec::new(),
            rotation: 0,
            busy: HashMap::new(),
            peers: Vec::new(),
            requests: BTreeMap::new(),
            waiting: VecDeque::new(),
            flights: BTreeMap::new(),
            attempts: 0,
            actions: Vec::new(),
            tickets: Ledger::new(identity.entry.clone(), identity.incarnation, secret),
            adopted: BTreeMap::new(),
            stopping: false,
            handed_over: false,
        }
    }

    /// Issues tickets. Returns none after the tickets were handed over to a successor.
    pub fn mint(&mut self, now: Ms, count: usize) -> Vec<Ticket> {
        if self.handed_over {
            return Vec::new();
        }
        self.tickets.mint(now, count)
    }

    /// Returns the load of this entry, as it is reported to peers.
    #[must_use]
    pub fn summary(&self, _now: Ms) -> Peer {
        let usable = self.targets.iter().filter(|target| !target.leaving);
        let free = usable.map(|target| SLOTS.saturating_sub(self.busy_at(&target.vm)));
        Peer {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            free: free.sum(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            stopping: self.stopping,
            adopted: self.adopted.keys().cloned().collect(),
        }
    }

    /// Returns the ticket state for the successor. No tickets are issued from then on.
    pub fn hand_over_tickets(&mut self, now: Ms) -> Book {
        self.handed_over = true;
        self.tickets.export(now)
    }

    /// Returns whether no request is in progress and no attempt is in flight.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.requests.is_empty() && self.flights.is_empty()
    }

    /// Returns the time of the next deadline or timeout.
    #[must_use]
    pub fn next_timer(&self) -> Option<Ms> {
        let deadlines = self.requests.values().filter(|request| !request.answered);
        let deadlines = deadlines.map(|request| request.call.deadline);
        let timeouts = self.flights.values().map(|flight| flight.timeout);
        deadlines.chain(timeouts).min()
    }

    fn busy_at(&self, vm: &Name) -> u32 {
        self.busy.get(vm).copied().unwrap_or(0)
    }

    fn arrive(&mut self, now: Ms, call: Call) {
        if self.requests.contains_key(&call.id) {
            return;
        }
        match call.ticket.clone().filter(|_| !call.repeatable) {
            Some(ticket) => self.arrive_with_ticket(now, call, &ticket),
            None if call.repeatable || call.forwarded => self.admit(now, call, false),
            None => self.reply(call.id, Outcome::Refused(Refusal::TicketNeeded)),
        }
    }

    fn arrive_with_ticket(&mut self, now: Ms, call: Call, ticket: &Ticket) {
        let Some(ledger) = self.ledger(ticket) else {
            self.forward_to_issuer(now, call, ticket);
            return;
        };
        match ledger.claim(now, ticket, call.id) {
            Claim::Spent => self.admit(now, call, true),
            Claim::Running(running) => match self.requests.get_mut(&running) {
                Some(request) if !request.answered => request.joined.push(call.id),
                _ => self.reply(call.id, Outcome::Unknown),
            },
            Claim::Retained(outcome) => self.reply(call.id, outcome),
            Claim::Expired => self.reply(call.id, Outcome::Refused(Refusal::TicketExpired)),
            Claim::Forgotten => self.reply(call.id, Outcome::Unknown),
        }
    }

    fn ledger(&mut self, ticket: &Ticket) -> Option<&mut Ledger> {
        if self.tickets.covers(ticket) {
            return Some(&mut self.tickets).filter(|_| !self.handed_over);
        }
        let issuer = (ticket.issuer.clone(), ticket.incarnation);
        self.adopted.get_mut(&issuer)
    }

    fn forward_to_issuer(&mut self, now: Ms, call: Call, ticket: &Ticket) {
        let issuer = (ticket.issuer.clone(), ticket.incarnation);
        let adopter = self
            .peers
            .iter()
            .find(|peer| peer.adopted.contains(&issuer));
        let own = |peer: &&Peer| peer.entry == issuer.0 && peer.incarnation == issuer.1;
        let peer = adopter.or_else(|| self.peers.iter().find(own));
        let may_forward = !call.forwarded || self.tickets.covers(ticket);
        let Some(peer) = peer.filter(|_| may_forward && call.deadline > now) else {
            self.reply(call.id, Outcome::Unknown);
            return;
        };
        let entry = peer.entry.clone();
        let id = self.insert(call, false);
        if let Some(request) = self.requests.get_mut(&id) {
            // Even if the peer is not reached, the request may have run: the ticket may have been
            // used before.
            request.may_have_run = true;
        }
        self.forward(now, id, entry);
    }

    fn admit(&mut self, now: Ms, call: Call, ticketed: bool) {
        let config = self.config.as_ref().filter(|_| !self.stopping);
        let refusal = match config {
            None => Some(Refusal::Stopping),
            Some(config) if config.service(&call.service).is_none() => Some(Refusal::Missing),
            Some(_) => (call.deadline <= now).then_some(Refusal::Late),
        };
        let id = self.insert(call, ticketed);
        match refusal {
            Some(refusal) => self.finish(now, id, Outcome::Refused(refusal)),
            None => self.waiting.push_back(id),
        }
    }

    fn insert(&mut self, call: Call, ticketed: bool) -> u64 {
        let id = call.id;
        let request = Request {
            call: Arc::new(call),
            joined: Vec::new(),
            ticketed,
            answered: false,
            may_have_run: false,
            flight: None,
            failed: None,
        };
        self.requests.insert(id, request);
        id
    }

    fn dispatch(&mut self, now: Ms) {
        while let Some(id) = self.waiting.front().copied() {
            if !self.requests.contains_key(&id) {
                self.waiting.pop_front();
                continue;
            }
            if let Some(target) = self.next_target() {
                self.send(now, id, &target);
            } else if self.targets.is_empty() && !self.requests[&id].call.forwarded {
                let Some(peer) = self.next_peer() else {
                    return;
                };
                self.forward(now, id, peer);
            } else {
                return;
            }
            self.waiting.pop_front();
        }
    }

    fn next_target(&mut self) -> Option<Target> {
        for step in 1..=self.targets.len() {
            let index = (self.rotation + step) % self.targets.len();
            let target = &self.targets[index];
            if !target.leaving && self.busy_at(&target.vm) < SLOTS {
                self.rotation = index;
                return Some(target.clone());
            }
        }
        None
    }

    fn next_peer(&mut self) -> Option<Name> {
        let peers: Vec<&Peer> = self.peers.iter().filter(|peer| !peer.stopping).collect();
        self.rotation += 1;
        let peer = peers.get(self.rotation.checked_rem(peers.len())?)?;
        Some(peer.entry.clone())
    }

    fn send(&mut self, now: Ms, id: u64, target: &Target) {
        *self.busy.entry(target.vm.clone()).or_default() += 1;
        let call = Arc::clone(&self.requests[&id].call);
        let (attempt, timeout) = self.register_attempt(now, &call, Some(target.vm.clone()));
        self.actions.push(Action::Send {
            attempt,
            vm: target.vm.clone(),
            epoch: target.epoch,
            call,
            timeout,
        });
    }

    fn forward(&mut self, now: Ms, id: u64, entry: Name) {
        let request = &self.requests[&id];
        let mut call = Arc::clone(&request.call);
        if request.ticketed {
            Arc::make_mut(&mut call).ticket = None;
        }
        let (attempt, timeout) = self.register_attempt(now, &call, None);
        self.actions.push(Action::Forward {
            attempt,
            entry,
            call,
            timeout,
        });
    }

    fn register_attempt(&mut self, now: Ms, call: &Call, vm: Option<Name>) -> (Attempt, Ms) {
        self.attempts += 1;
        let attempt = Attempt(self.attempts);
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.service(&call.service));
        let timeout = now + service.map_or(Ms(1_000), |service| service.attempt);
        let flight = InFlight {
            request: call.id,
            vm,
            sent: now,
            timeout,
        };
        self.flights.insert(attempt, flight);
        if let Some(request) = self.requests.get_mut(&call.id) {
            request.flight = Some(attempt);
        }
        (attempt, timeout)
    }

    fn end_attempt(&mut self, now: Ms, attempt: Attempt, ending: Ending) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        self.release_slot(&flight);
        let id = flight.request;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.flight = None;
        let at_issuer = request.call.ticket.is_some() && !request.ticketed;
        match ending {
            Ending::Answered(answer) if answer.status < FAILED_STATUS => {
                self.report_service_time(now, flight, id);
                self.finish(now, id, Outcome::Answered(answer));
                return;
            }
            Ending::Answered(answer) => request.failed = Some(answer),
            Ending::Unknown => request.may_have_run = true,
            Ending::Refused(refusal) if at_issuer && !request.call.repeatable => {
                self.finish(now, id, Outcome::Refused(refusal));
                return;
            }
            Ending::Refused(_) | Ending::NotRun => {}
        }
        let may_retry = request.call.repeatable && request.call.deadline > now;
        if may_retry {
            self.waiting.push_back(id);
        } else {
            self.fail(now, id, Refusal::Unreachable);
        }
    }

    fn report_service_time(&mut self, now: Ms, flight: InFlight, id: u64) {
        let call = &self.requests[&id].call;
        let (service, kind) = (call.service.clone(), call.kind.clone());
        if let Some(vm) = flight.vm {
            let time = now.since(flight.sent);
            self.actions.push(Action::Measured {
                vm,
                service,
                kind,
                time,
            });
        }
    }

    fn fail(&mut self, now: Ms, id: u64, refusal: Refusal) {
        let request = &self.requests[&id];
        let in_flight = request.flight.is_some();
        let outcome = match &request.failed {
            Some(answer) => Outcome::Answered(answer.clone()),
            None if request.may_have_run || in_flight => Outcome::Unknown,
            None => Outcome::Refused(refusal),
        };
        self.finish(now, id, outcome);
    }

    fn finish(&mut self, now: Ms, id: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if let Some(attempt) = request.flight.filter(|_| request.call.repeatable) {
            self.abandon(attempt);
        }
        if request.ticketed
            && let Some(ticket) = &request.call.ticket
            && let Some(ledger) = self.ledger(ticket)
        {
            match outcome {
                Outcome::Refused(refusal) if !refusal.is_final() => ledger.release(ticket.sequence),
                _ => ledger.settle(now, ticket.sequence, outcome.clone()),
            }
        }
        if !request.answered {
            self.reply(id, outcome.clone());
        }
        for call in request.joined {
            self.reply(call, outcome.clone());
        }
    }

    fn abandon(&mut self, attempt: Attempt) {
        self.actions.push(Action::Abandon(attempt));
        if let Some(flight) = self.flights.remove(&attempt) {
            self.release_slot(&flight);
        }
    }

    fn release_slot(&mut self, flight: &InFlight) {
        if let Some(vm) = &flight.vm
            && let Some(busy) = self.busy.get_mut(vm)
        {
            *busy = busy.saturating_sub(1);
        }
    }

    fn reply(&mut self, call: u64, outcome: Outcome) {
        self.actions.push(Action::Reply { call, outcome });
    }

    /// Ends a request whose caller waits no longer. An attempt of a request that may not be
    /// repeated goes on, so that a retry with the same ticket can get its outcome.
    fn drop_caller(&mut self, now: Ms, id: u64, refusal: Refusal) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.call.repeatable || request.flight.is_none() {
            self.fail(now, id, refusal);
            return;
        }
        if !std::mem::replace(&mut request.answered, true) {
            let joined = std::mem::take(&mut request.joined);
            for call in std::iter::once(id).chain(joined) {
                self.reply(call, Outcome::Unknown);
            }
        }
    }

    fn expire_due(&mut self, now: Ms) {
        let timed_out = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.timeout < now);
        let timed_out: Vec<Attempt> = timed_out.map(|(attempt, _)| *attempt).collect();
        for attempt in timed_out {
            self.end_attempt(now, attempt, Ending::Unknown);
        }
        let due = |request: &Request| !request.answered && request.call.deadline <= now;
        let overdue = self.requests.iter().filter(|(_, request)| due(request));
        let overdue: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.drop_caller(now, id, Refusal::Late);
        }
    }
}

impl Step for Machine {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Action> {
        match event {
            Event::Arrived(call) => self.arrive(now, call),
            Event::Withdrawn(call) => self.drop_caller(now, call, Refusal::Unreachable),
            Event::Finished(attempt, ending) => self.end_attempt(now, attempt, ending),
            Event::Tick => self.expire_due(now),
            Event::Targets(targets) => self.targets = targets,
            Event::Peers(peers) => self.peers = peers,
            Event::Config(config) => self.config = Some(config),
            Event::Adopt(book) => {
                let key = (book.issuer.clone(), book.incarnation);
                let ledger = || Ledger::adopt(now, book);
                self.adopted.entry(key).or_insert_with(ledger);
            }
            Event::Stopping => self.stopping = true,
        }
        self.dispatch(now);
        std::mem::take(&mut self.actions)
    }
}
