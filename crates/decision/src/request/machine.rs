//! The state machine of the request path.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Action;
use super::Attempt;
use super::Book;
use super::Call;
use super::Event;
use super::Outcome;
use super::Peer;
use super::Refusal;
use super::peers::Peers;
use super::work::InFlight;
use super::work::Key;
use super::work::Request;
use super::work::Route;
use super::work::Timer;
use super::work::Timers;
use super::work::Waiter;
use crate::budget::Budget;
use crate::budget::Hedges;
use crate::classify::Classes;
use crate::clock::Ms;
use crate::config::Checked;
use crate::control::Identity;
use crate::name::Name;
use crate::queue::Queue;
use crate::route::Table;
use crate::step::Step;
use crate::ticket::Claim;
use crate::ticket::Ledger;
use crate::ticket::Ticket;
use crate::timeline::Kind;
use crate::timeline::Note;

/// An attempt without a result is considered over this long after its timeout.
pub(super) const EXPIRY_MARGIN: Ms = Ms(200);

/// The request path of one entry.
#[derive(Debug)]
pub struct Machine {
    pub(super) entry: Name,
    pub(super) incarnation: u64,
    pub(super) config: Option<Arc<Checked>>,
    pub(super) table: Table,
    pub(super) peers: Peers,
    pub(super) requests: HashMap<u64, Request>,
    /// Calls with a ticket that is already in use, mapped to the running request with that ticket.
    pub(super) joined: HashMap<u64, u64>,
    pub(super) flights: HashMap<Attempt, InFlight>,
    /// Attempts that ended without a result. Their slots stay acquired until the target's reports
    /// show that they are no longer in progress.
    pub(super) unresolved: BTreeSet<Attempt>,
    pub(super) queues: BTreeMap<Name, Queue>,
    pub(super) classes: Classes,
    pub(super) retries: Budget,
    pub(super) hedges: Hedges,
    pub(super) timers: Timers,
    pub(super) attempts: u64,
    pub(super) actions: Vec<Action>,
    tickets: Ledger,
    adopted: BTreeMap<(Name, u64), Ledger>,
    pub(super) short_expected_until: Ms,
    pub(super) stopping: bool,
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
            table: Table::new(identity.domain.clone()),
            peers: Peers::default(),
            requests: HashMap::new(),
            joined: HashMap::new(),
            flights: HashMap::new(),
            unresolved: BTreeSet::new(),
            queues: BTreeMap::new(),
            classes: Classes::default(),
            retries: Budget::default(),
            hedges: Hedges::default(),
            timers: Timers::default(),
            attempts: 0,
            actions: Vec::new(),
            tickets: Ledger::new(identity.entry.clone(), identity.incarnation, secret),
            adopted: BTreeMap::new(),
            short_expected_until: Ms::ZERO,
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
        let waiting: usize = self.queues.values().map(Queue::len).sum();
        Peer {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            free: self.table.free(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            stopping: self.stopping,
            adopted: self.adopted.keys().cloned().collect(),
        }
    }

    /// Returns the ticket state for the successor. From then on this entry runs no request with a
    /// ticket that it issued, but forwards such requests to the successor.
    pub fn hand_over_tickets(&mut self, now: Ms) -> Book {
        self.handed_over = true;
        self.tickets.export(now)
    }

    /// Returns whether no request is in progress and no attempt is in flight.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.requests.is_empty() && !self.flights.values().any(|flight| flight.live)
    }

    /// Returns when the earliest timer is due, or `None` if no timer is set.
    #[must_use]
    pub fn next_timer(&self) -> Option<Ms> {
        self.timers.next()
    }

    fn receive(&mut self, now: Ms, call: Call) {
        if self.requests.contains_key(&call.id) || self.joined.contains_key(&call.id) {
            return;
        }
        if call.repeatable {
            self.admit(now, call, None);
            return;
        }
        let Some(ticket) = call.ticket.clone() else {
            // A peer that forwards for capacity keeps the ticket and makes sure that the request
            // runs at most once.
            if call.forwarded {
                self.admit(now, call, None);
            } else {
                self.refuse(call.id, Refusal::TicketNeeded);
            }
            return;
        };
        self.receive_with_ticket(now, call, &ticket);
    }

    fn receive_with_ticket(&mut self, now: Ms, call: Call, ticket: &Ticket) {
        let own = self.tickets.covers(ticket);
        if own && self.handed_over {
            let successor = self
                .peers
                .adopter(&ticket.issuer, ticket.incarnation)
                .cloned();
            self.forward_to_issuer(now, call, successor);
            return;
        }
        let issuer = (!own).then(|| (ticket.issuer.clone(), ticket.incarnation));
        let Some(ledger) = self.ledger(issuer.as_ref()) else {
            let peer = self.peers.responsible(ticket).cloned();
            // A request that a peer sent to the wrong entry is not forwarded a second time.
            let peer = peer.filter(|_| !call.forwarded);
            self.forward_to_issuer(now, call, peer);
            return;
        };
        match ledger.claim(now, ticket, call.id) {
            Claim::Spent => {
                let number = ticket.sequence;
                self.admit(now, call, Some(Key { issuer, number }));
            }
            Claim::Running(running) => self.join(now, &call, running),
            Claim::Retained(outcome) => self.reply(call.id, outcome),
            Claim::Expired => self.refuse(call.id, Refusal::TicketExpired),
            Claim::Forgotten => self.reply(call.id, Outcome::Unknown),
        }
    }

    /// Forwards a request to the peer that is responsible for its ticket.
    fn forward_to_issuer(&mut self, now: Ms, call: Call, peer: Option<Name>) {
        let Some(peer) = peer.filter(|_| call.deadline > now) else {
            self.reply(call.id, Outcome::Unknown);
            return;
        };
        let id = self.insert(now, call, None, Route::Issuer);
        self.forward(now, id, peer);
    }

    fn join(&mut self, now: Ms, call: &Call, running: u64) {
        let request = self.requests.get_mut(&running);
        let waiter = Waiter::new(call);
        let Some(request) = request.filter(|_| waiter.deadline > now) else {
            self.reply(call.id, Outcome::Unknown);
            return;
        };
        request.waiters.push(waiter);
        self.joined.insert(call.id, running);
        self.timers.set(waiter.deadline, Timer::Deadline(running));
    }

    fn configure(&mut self, config: Arc<Checked>) {
        let limits = &config.document().limits;
        self.retries.set(limits.retries);
        self.hedges.set(limits.hedges);
        for service in &config.document().services {
            if let Some(queue) = self.queues.get_mut(&service.name) {
                queue.set_bound(service.queue as usize);
            }
        }
        self.config = Some(config);
    }

    fn adopt(&mut self, now: Ms, book: Book) {
        if book.issuer == self.entry && book.incarnation == self.incarnation {
            return;
        }
        let issuer = (book.issuer.clone(), book.incarnation);
        // A book that is delivered again must not replace the ledger, which has recorded later uses
        // of the tickets.
        self.adopted
            .entry(issuer)
            .or_insert_with(|| Ledger::adopt(now, book));
    }

    fn ledger(&mut self, issuer: Option<&(Name, u64)>) -> Option<&mut Ledger> {
        match issuer {
            None => Some(&mut self.tickets),
            Some(issuer) => self.adopted.get_mut(issuer),
        }
    }

    pub(super) fn release_ticket(&mut self, key: &Key) {
        if let Some(ledger) = self.ledger(key.issuer.as_ref()) {
            ledger.release(key.number);
        }
    }

    pub(super) fn settle_ticket(&mut self, now: Ms, key: &Key, outcome: Outcome) {
        if let Some(ledger) = self.ledger(key.issuer.as_ref()) {
            ledger.settle(now, key.number, outcome);
        }
    }

    pub(super) fn refuse(&mut self, call: u64, refusal: Refusal) {
        self.reply(call, Outcome::Refused(refusal));
    }

    pub(super) fn reply(&mut self, call: u64, outcome: Outcome) {
        match &outcome {
            Outcome::Answered(_) => {}
            Outcome::Refused(why) => {
                self.record_event(Kind::RequestRefused, call, None, format!("{why:?}"))
            }
            Outcome::Unknown => self.record_event(Kind::RequestUnknown, call, None, String::new()),
        }
        self.actions.push(Action::Reply { call, outcome });
    }

    pub(super) fn record_event(&mut self, kind: Kind, call: u64, vm: Option<Name>, cause: String) {
        self.actions.push(Action::Note(Note {
            kind,
            subject: call.to_string(),
            vm,
            epoch: None,
            cause,
        }));
    }

    fn fire_timers(&mut self, now: Ms) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Deadline(id) => self.expire_waiters(now, id),
                Timer::Expiry(attempt) => self.time_out(now, attempt),
                Timer::Slow(attempt) => self.reclassify_as_long(attempt),
                Timer::Hedge(attempt) => self.hedge(now, attempt),
            }
        }
    }

    fn update_targets(&mut self, targets: Vec<super::Target>) {
        let leaving = self.table.update(targets);
        self.reconcile();
        for vm in leaving {
            self.actions.push(Action::Note(Note {
                kind: Kind::Leaving,
                subject: vm.to_string(),
                vm: Some(vm),
                epoch: None,
                cause: "marked as leaving by its owner".into(),
            }));
        }
    }

    fn expire_tickets(&mut self, now: Ms) {
        self.tickets.advance(now);
        for ledger in self.adopted.values_mut() {
            ledger.advance(now);
        }
    }
}

impl Step for Machine {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Action> {
        self.fire_timers(now);
        match event {
            Event::Arrived(call) => self.receive(now, call),
            Event::Withdrawn(call) => self.withdraw(now, call),
            Event::Finished(attempt, ending) => self.end_attempt(now, attempt, ending),
            Event::Tick => self.expire_tickets(now),
            Event::Targets(targets) => self.update_targets(targets),
            Event::Peers(peers) => self.peers.update(peers),
            Event::Config(config) => self.configure(config),
            Event::Adopt(book) => self.adopt(now, book),
            Event::Stopping => self.stopping = true,
        }
        self.dispatch(now);
        std::mem::take(&mut self.actions)
    }
}
