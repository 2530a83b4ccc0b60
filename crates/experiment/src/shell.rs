//! What an entry's process does with its machines' actions and with what it receives.

use decision::config::Version;
use decision::control;
use decision::name::Name;
use decision::object;
use decision::peer::Envelope;
use decision::peer::Forward;
use decision::peer::Message;
use decision::request;
use decision::request::Attempt;
use decision::request::Call;
use decision::request::Ending;
use decision::request::Outcome;
use decision::table;
use decision::ticket::Ticket;
use decision::worker;
use decision::worker::Verb;
use history::Fact;

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::case::Mistake;
use crate::case::Policy;
use crate::entry::Origin;
use crate::fleet::Request;
use crate::platform::Query;
use crate::world::Answer;
use crate::world::Back;
use crate::world::Happening;
use crate::world::Inside;
use crate::world::Purpose;
use crate::world::World;

/// An operation of the table or object store without an answer is given up after this time.
const PLATFORM_TIMEOUT: Us = SECOND;

/// A worker command without an answer is given up after this time.
const COMMAND_TIMEOUT: Us = 2 * SECOND;

/// A message to a peer without an answer is given up after this time.
const PEER_TIMEOUT: Us = SECOND;

impl World<'_> {
    pub(crate) fn do_request(&mut self, index: usize, action: request::Action) {
        match action {
            request::Action::Send {
                attempt,
                vm,
                epoch,
                call,
                timeout,
            } => {
                let back = self.entries[index].expect(index, Purpose::Attempt(attempt));
                self.expire(back, timeout.0 * MS);
                let entry = &self.entries[index];
                let id = format!("{}/{:x}/{:x}", entry.name, entry.incarnation, attempt.0);
                let request = Request {
                    back,
                    id,
                    epoch,
                    call,
                };
                self.send_run(&vm, request);
            }
            request::Action::Forward {
                attempt,
                entry,
                call,
                timeout,
            } => self.forward(index, attempt, &entry, &call, timeout.0 * MS),
            request::Action::Abandon(attempt) => self.abandon(index, attempt),
            request::Action::Reply { call, outcome } => self.reply(index, call, outcome),
            request::Action::Measured {
                vm,
                service,
                kind,
                time,
            } => {
                let event = control::Event::Measured {
                    vm,
                    service,
                    kind,
                    time,
                };
                self.step_control(index, event);
            }
            request::Action::Note(note) => self.note(index, &note),
        }
    }

    pub(crate) fn do_control(&mut self, index: usize, action: control::Action) {
        match action {
            control::Action::Table(id, operation) => {
                self.ask_platform(index, Purpose::Table(id), Query::Table(operation));
            }
            control::Action::Object(id, operation) => {
                self.ask_platform(index, Purpose::Object(id), Query::Object(operation));
            }
            control::Action::Worker { id, vm, command } => {
                let purpose = Purpose::Command(id, command.clone());
                let back = self.entries[index].expect(index, purpose);
                self.expire(back, self.agenda.now() + COMMAND_TIMEOUT);
                self.send_command(back, &vm, command);
            }
            control::Action::Send { id, to, message } => {
                let found = self.entries.iter().position(|entry| entry.address == to);
                match found {
                    Some(to) => {
                        self.tell(index, to, Purpose::Message(id), message, PEER_TIMEOUT);
                    }
                    None => self.step_control(index, control::Event::Unanswered(id)),
                }
            }
            control::Action::Respond(tag, message) => {
                if let Some(back) = self.entries[index].asked.remove(&tag) {
                    self.respond(index, back, message);
                }
            }
            control::Action::OperatorReply(tag, reply) => {
                if let Some(key) = self.entries[index].operating.remove(&tag) {
                    let reply = Happening::Replied(key, Some(reply));
                    self.agenda.after(self.scene.client, reply);
                }
            }
            control::Action::Targets(targets) => self.targets(index, targets),
            control::Action::Peers(peers) => {
                self.entries[index].peers = peers.clone();
                self.step_requests(index, request::Event::Peers(peers));
            }
            control::Action::Config(version, checked) => {
                self.in_force(index, version);
                self.step_requests(index, request::Event::Config(checked));
            }
            control::Action::Stopped => self.entries[index].left(),
            control::Action::Note(note) => self.note(index, &note),
        }
    }

    /// The baseline's entries all send to all targets, each counting slots by itself; otherwise only
    /// the owner sends.
    fn targets(&mut self, index: usize, targets: Vec<request::Target>) {
        if self.setup.policy == Policy::Current {
            return self.step_requests(index, request::Event::Targets(targets));
        }
        for target in targets {
            let known = self.registry.get(&target.vm);
            if known.is_none_or(|known| known.epoch <= target.epoch) {
                self.registry.insert(target.vm.clone(), target);
            }
        }
        let all: Vec<request::Target> = self.registry.values().cloned().collect();
        for entry in 0..self.entries.len() {
            if self.entries[entry].alive {
                self.step_requests(entry, request::Event::Targets(all.clone()));
            }
        }
    }

    fn in_force(&mut self, index: usize, version: Version) {
        let entry = self.entries[index].name.clone();
        let before = self.entries[index].version.replace(version);
        if before == Some(version) {
            return;
        }
        self.see(Fact::InForce {
            entry: entry.clone(),
            version,
        });
        let mistaken = self.setup.mistake == Some(Mistake::OldConfig);
        if let Some(version) = before.filter(|_| mistaken) {
            self.see(Fact::InForce { entry, version });
        }
    }

    fn expire(&mut self, back: Back, at: Us) {
        let inside = Inside::Expired(back.key);
        let happening = Happening::Entry(back.entry, back.incarnation, inside);
        self.agenda.put(at, happening);
    }

    fn ask_platform(&mut self, index: usize, purpose: Purpose, query: Query) {
        let back = self.entries[index].expect(index, purpose);
        self.expire(back, self.agenda.now() + PLATFORM_TIMEOUT);
        self.agenda.after(MS / 2, Happening::Platform(back, query));
    }

    fn abandon(&mut self, index: usize, attempt: Attempt) {
        let entry = &mut self.entries[index];
        let Some(key) = entry.attempts.remove(&attempt) else {
            return;
        };
        entry.pending.remove(&key);
        let back = entry.back(index, key);
        self.cancel_run(back);
    }

    fn forward(&mut self, index: usize, attempt: Attempt, to: &Name, call: &Call, timeout: Us) {
        let now = self.now();
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
                let limit = timeout.saturating_sub(self.agenda.now());
                self.tell(index, to, Purpose::Forward(attempt), message, limit);
            }
            None => {
                let event = request::Event::Finished(attempt, Ending::NotRun);
                self.step_requests(index, event);
            }
        }
    }

    /// Sends a message to a peer and waits for its answer.
    pub(crate) fn tell(
        &mut self,
        index: usize,
        to: usize,
        purpose: Purpose,
        message: Message,
        limit: Us,
    ) {
        let back = self.entries[index].expect(index, purpose);
        self.expire(back, self.agenda.now() + limit);
        let envelope = self.entries[index].envelope(message);
        let hop = self.hop(&self.entries[index].domain, &self.entries[to].domain);
        self.agenda.after(hop, Happening::Peer(to, back, envelope));
    }

    /// One way between two failure domains.
    pub(crate) fn hop(&self, from: &Name, to: &Name) -> Us {
        if from == to { MS / 4 } else { MS * 3 / 2 }
    }

    pub(crate) fn answer(&mut self, back: Back, after: Us, answer: Answer) {
        let inside = Inside::Answered(back.key, answer);
        let happening = Happening::Entry(back.entry, back.incarnation, inside);
        self.agenda.after(after, happening);
    }

    pub(crate) fn reach_peer(&mut self, index: usize, back: Back, envelope: Envelope) {
        if self.entries[index].alive {
            return self.inside(index, 0, Inside::Asked(back, envelope));
        }
        let hop = self.hop(
            &self.entries[index].domain,
            &self.entries[back.entry].domain,
        );
        self.answer(back, hop, Answer::Unreachable);
    }

    fn respond(&mut self, index: usize, back: Back, message: Message) {
        let envelope = self.entries[index].envelope(message);
        let hop = self.hop(
            &self.entries[index].domain,
            &self.entries[back.entry].domain,
        );
        self.answer(back, hop, Answer::Peer(envelope));
    }

    pub(crate) fn asked(&mut self, index: usize, back: Back, envelope: Envelope) {
        let entry = &mut self.entries[index];
        entry.lamport = entry.lamport.max(envelope.lamport) + 1;
        match envelope.message {
            Message::Forward(forward) => {
                let id = entry.number();
                entry.calls.insert(id, Origin::Peer(back));
                let call = Call {
                    id,
                    service: forward.service,
                    kind: forward.kind,
                    team: forward.team,
                    repeatable: forward.repeatable,
                    ticket: forward.ticket,
                    deadline: self.now() + forward.remaining,
                    forwarded: true,
                    body: forward.body,
                };
                self.step_requests(index, request::Event::Arrived(call));
            }
            Message::Book(book) => {
                self.step_requests(index, request::Event::Adopt(book));
                self.respond(index, back, Message::Done);
            }
            _ => {
                let tag = entry.number();
                entry.asked.insert(tag, back);
                self.step_control(index, control::Event::PeerRequest(tag, envelope));
            }
        }
    }

    fn reply(&mut self, index: usize, call: u64, outcome: Outcome) {
        let now = self.now();
        let entry = &mut self.entries[index];
        match entry.calls.remove(&call) {
            Some(Origin::Caller { request, sending }) => {
                entry.sendings.remove(&(request, sending));
                let needed = !self.scene.requests[request].repeatable;
                let mint = |path: &mut Box<dyn crate::path::Requests>| path.mint(now, 1).pop();
                let fresh = entry.requests.as_mut().filter(|_| needed).and_then(mint);
                let outcome = Happening::Outcome {
                    request,
                    sending,
                    outcome: Some(outcome),
                    fresh,
                };
                self.agenda.after(self.scene.client, outcome);
            }
            Some(Origin::Peer(back)) => self.respond(index, back, Message::Outcome(outcome)),
            None => {}
        }
    }

    pub(crate) fn take_call(
        &mut self,
        index: usize,
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    ) {
        let spec = &self.scene.requests[request];
        let entry = &mut self.entries[index];
        let id = entry.number();
        let origin = Origin::Caller { request, sending };
        entry.calls.insert(id, origin);
        entry.sendings.insert((request, sending), id);
        let forgetful = self.setup.mistake == Some(Mistake::NoDeadline);
        let remaining = if forgetful { 3_600 * SECOND } else { remaining };
        let call = Call {
            id,
            service: self.scene.service.name.clone(),
            kind: self.scene.kinds[spec.kind].name.clone(),
            team: self.scene.teams[spec.team].clone(),
            repeatable: spec.repeatable,
            ticket,
            deadline: crate::agenda::ms(self.agenda.now() + remaining),
            forwarded: false,
            body: crate::caller::body(self.scene, request, sending),
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

    fn take_purpose(&mut self, index: usize, key: u64) -> Option<Purpose> {
        let entry = &mut self.entries[index];
        let purpose = entry.pending.remove(&key)?;
        if let Purpose::Attempt(attempt) | Purpose::Forward(attempt) = &purpose {
            entry.attempts.remove(attempt);
        }
        Some(purpose)
    }

    pub(crate) fn answered(&mut self, index: usize, key: u64, answer: Answer) {
        let Some(purpose) = self.take_purpose(index, key) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Table(id), Answer::Table(outcome)) => {
                self.step_control(index, control::Event::Table(id, outcome));
            }
            (Purpose::Object(id), Answer::Object(outcome)) => {
                self.step_control(index, control::Event::Object(id, outcome));
            }
            (Purpose::Command(id, _), Answer::Worker(outcome)) => {
                self.step_control(index, control::Event::Worker(id, outcome));
            }
            (Purpose::Attempt(attempt), Answer::Ended(ending)) => {
                self.finished(index, attempt, ending);
            }
            (Purpose::Message(_), Answer::Peer(envelope)) => {
                let entry = &mut self.entries[index];
                entry.lamport = entry.lamport.max(envelope.lamport) + 1;
                self.step_control(index, control::Event::Peer(envelope));
            }
            (Purpose::Forward(attempt), Answer::Peer(envelope)) => {
                self.finished(index, attempt, ending(envelope.message));
            }
            (Purpose::Book, _) => self.leave_groups(index),
            (Purpose::Attempt(attempt) | Purpose::Forward(attempt), _) => {
                self.finished(index, attempt, Ending::NotRun);
            }
            (Purpose::Command(id, _), _) => {
                let event = control::Event::Worker(id, worker::Outcome::Unsent);
                self.step_control(index, event);
            }
            (Purpose::Message(id), _) => self.step_control(index, control::Event::Unanswered(id)),
            (Purpose::Table(_) | Purpose::Object(_), _) => {}
        }
    }

    pub(crate) fn expired(&mut self, index: usize, key: u64) {
        let Some(purpose) = self.take_purpose(index, key) else {
            return;
        };
        let event = match purpose {
            Purpose::Attempt(attempt) => {
                self.cancel_run(self.entries[index].back(index, key));
                return self.finished(index, attempt, Ending::Unknown);
            }
            Purpose::Forward(attempt) => {
                return self.finished(index, attempt, Ending::Unknown);
            }
            Purpose::Book => return self.leave_groups(index),
            Purpose::Table(id) => control::Event::Table(id, table::Outcome::Unknown),
            Purpose::Object(id) => control::Event::Object(id, object::Outcome::Unknown),
            Purpose::Command(id, command) => {
                control::Event::Worker(id, self.silent_command(&command))
            }
            Purpose::Message(id) => control::Event::Unanswered(id),
        };
        self.step_control(index, event);
    }

    fn silent_command(&self, command: &worker::Command) -> worker::Outcome {
        let mistaken = self.setup.mistake == Some(Mistake::FreeAmbiguous);
        match &command.verb {
            Verb::Stop { .. } if mistaken => {
                worker::Outcome::Answered(worker::Reply::Refused(worker::Refusal::Missing))
            }
            _ => worker::Outcome::Unknown,
        }
    }

    fn finished(&mut self, index: usize, attempt: Attempt, ending: Ending) {
        let mistaken = self.setup.mistake == Some(Mistake::Repeat);
        let ending = match ending {
            Ending::Unknown if mistaken => Ending::NotRun,
            ending => ending,
        };
        self.step_requests(index, request::Event::Finished(attempt, ending));
    }
}

fn ending(message: Message) -> Ending {
    match message {
        Message::Outcome(Outcome::Answered(answer)) => Ending::Answered(answer),
        Message::Outcome(Outcome::Refused(refusal)) => Ending::Refused(refusal),
        _ => Ending::Unknown,
    }
}
