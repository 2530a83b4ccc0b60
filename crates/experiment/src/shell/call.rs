//! Calls of callers, and the replies to them and to peers.

use decision::peer::Message;
use decision::request;
use decision::request::Call;
use decision::request::Outcome;
use decision::ticket::Ticket;

use crate::case::Mistake;
use crate::entry::Origin;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::simulation::CLOCK_START;
use crate::simulation::Event;
use crate::simulation::Simulation;

impl Simulation<'_> {
    pub(crate) fn receive_call(
        &mut self,
        index: usize,
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    ) {
        let spec = &self.scenario.requests[request];
        let entry = &mut self.entries[index];
        let id = entry.next_number();
        let origin = Origin::Caller { request, sending };
        entry.calls.insert(id, origin);
        entry.sendings.insert((request, sending), id);
        let drops_deadline = self.setup.mistake == Some(Mistake::NoDeadline);
        let remaining = if drops_deadline {
            3_600 * SECOND
        } else {
            remaining
        };
        let call = Call {
            id,
            service: self.scenario.service.name.clone(),
            kind: self.scenario.kinds[spec.kind].name.clone(),
            team: self.scenario.teams[spec.team].clone(),
            repeatable: spec.repeatable,
            ticket,
            deadline: CLOCK_START + crate::queue::ms(self.queue.now() + remaining),
            forwarded: false,
            body: crate::caller::request_body(self.scenario, request, sending),
        };
        self.step_requests(index, request::Event::Arrived(call));
    }

    pub(crate) fn withdraw(&mut self, index: usize, request: usize, sending: u32) {
        let id = self.entries[index].sendings.remove(&(request, sending));
        if let Some(id) = id {
            self.entries[index].calls.remove(&id);
            self.step_requests(index, request::Event::Withdrawn(id));
        }
    }

    pub(super) fn reply(&mut self, index: usize, call: u64, outcome: Outcome) {
        let now = self.entry_clock();
        let entry = &mut self.entries[index];
        match entry.calls.remove(&call) {
            Some(Origin::Caller { request, sending }) => {
                entry.sendings.remove(&(request, sending));
                let needed = !self.scenario.requests[request].repeatable;
                let mint = |path: &mut Box<dyn crate::path::Requests>| path.mint(now, 1).pop();
                let fresh = entry.requests.as_mut().filter(|_| needed).and_then(mint);
                let outcome = Event::Outcome {
                    request,
                    sending,
                    outcome: Some(outcome),
                    fresh,
                };
                self.queue
                    .schedule_after(self.scenario.client_latency, outcome);
            }
            Some(Origin::Peer(correlation)) => {
                self.respond(index, correlation, Message::Outcome(outcome))
            }
            None => {}
        }
    }
}
