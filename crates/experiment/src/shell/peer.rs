//! Messages between entries.

use decision::control;
use decision::name::Name;
use decision::peer::Envelope;
use decision::peer::Forward;
use decision::peer::Message;
use decision::request;
use decision::request::Attempt;
use decision::request::Call;
use decision::request::Ending;

use crate::entry::Origin;
use crate::queue::MS;
use crate::queue::Us;
use crate::simulation::Answer;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Input;
use crate::simulation::Purpose;
use crate::simulation::Simulation;

impl Simulation<'_> {
    pub(super) fn forward(
        &mut self,
        index: usize,
        attempt: Attempt,
        to: &Name,
        call: &Call,
        timeout: Us,
    ) {
        let now = self.entry_clock();
        let message = Message::Forward(Forward {
            service: call.service.clone(),
            kind: call.kind.clone(),
            team: call.team.clone(),
            repeatable: call.repeatable,
            ticket: call.ticket.clone(),
            remaining: call.deadline.since(now),
            body: call.body.clone(),
        });
        let found = self.entries.iter().position(|entry| entry.name == *to);
        match found {
            Some(to) => {
                let limit = timeout.saturating_sub(self.queue.now());
                self.send_message(index, to, Purpose::Forward(attempt), message, limit);
            }
            None => {
                let event = request::Event::Finished(attempt, Ending::NotRun);
                self.step_requests(index, event);
            }
        }
    }

    /// Sends a message to a peer and registers the operation that waits for its answer.
    pub(crate) fn send_message(
        &mut self,
        index: usize,
        to: usize,
        purpose: Purpose,
        message: Message,
        limit: Us,
    ) {
        let correlation = self.entries[index].register(index, purpose);
        self.schedule_expiry(correlation, self.queue.now() + limit);
        let envelope = self.entries[index].envelope(message);
        let latency = self.latency(&self.entries[index].domain, &self.entries[to].domain);
        self.queue
            .schedule_after(latency, Event::PeerMessage(to, correlation, envelope));
    }

    pub(crate) fn deliver_peer_message(
        &mut self,
        index: usize,
        correlation: Correlation,
        envelope: Envelope,
    ) {
        if self.entries[index].alive {
            return self.schedule_input(index, 0, Input::PeerMessage(correlation, envelope));
        }
        let latency = self.latency(
            &self.entries[index].domain,
            &self.entries[correlation.entry].domain,
        );
        self.schedule_answer(correlation, latency, Answer::Unreachable);
    }

    pub(crate) fn receive_peer_message(
        &mut self,
        index: usize,
        correlation: Correlation,
        envelope: Envelope,
    ) {
        let entry = &mut self.entries[index];
        entry.lamport = entry.lamport.max(envelope.lamport) + 1;
        match envelope.message {
            Message::Forward(forward) => {
                let id = entry.next_number();
                entry.calls.insert(id, Origin::Peer(correlation));
                let call = Call {
                    id,
                    service: forward.service,
                    kind: forward.kind,
                    team: forward.team,
                    repeatable: forward.repeatable,
                    ticket: forward.ticket,
                    deadline: self.entry_clock() + forward.remaining,
                    forwarded: true,
                    body: forward.body,
                };
                self.step_requests(index, request::Event::Arrived(call));
            }
            Message::Book(book) => {
                self.step_requests(index, request::Event::Adopt(book));
                self.respond(index, correlation, Message::Done);
            }
            _ => {
                let tag = entry.next_number();
                entry.peer_requests.insert(tag, correlation);
                self.step_control(index, control::Event::PeerRequest(tag, envelope));
            }
        }
    }

    pub(super) fn respond(&mut self, index: usize, correlation: Correlation, message: Message) {
        let envelope = self.entries[index].envelope(message);
        let latency = self.latency(
            &self.entries[index].domain,
            &self.entries[correlation.entry].domain,
        );
        self.schedule_answer(correlation, latency, Answer::Peer(envelope));
    }

    /// The one-way latency between two failure domains.
    pub(crate) fn latency(&self, from: &Name, to: &Name) -> Us {
        if from == to { MS / 4 } else { MS * 3 / 2 }
    }
}
