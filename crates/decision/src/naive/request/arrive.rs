//! Arriving requests, and the tickets that some of them need.

use std::sync::Arc;

use super::Machine;
use super::Request;
use crate::clock::Ms;
use crate::request::Call;
use crate::request::Outcome;
use crate::request::Peer;
use crate::request::Refusal;
use crate::ticket::Claim;
use crate::ticket::Ledger;
use crate::ticket::Ticket;

impl Machine {
    pub(super) fn arrive(&mut self, now: Ms, call: Call) {
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

    pub(super) fn ledger(&mut self, ticket: &Ticket) -> Option<&mut Ledger> {
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
}
