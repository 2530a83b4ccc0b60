//! The request path of the baseline: round robin over targets with 8 slots each as counted by the
//! entry itself, an unbounded queue, and an immediate retry after an error where a request may be
//! repeated.

mod arrive;
mod attempt;

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
use crate::ticket::Ledger;
use crate::ticket::Ticket;

/// The number of requests that the baseline sends to a target at once.
const SLOTS: u32 = 8;

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
