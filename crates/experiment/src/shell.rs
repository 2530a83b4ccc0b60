//! The shell around an entry's machines, which executes their actions and passes answers, messages
//! and timeouts to them.

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

use crate::case::Mistake;
use crate::case::Policy;
use crate::entry::Origin;
use crate::fleet::Request;
use crate::platform::Operation;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::simulation::Answer;
use crate::simulation::CLOCK_START;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Input;
use crate::simulation::Purpose;
use crate::simulation::Simulation;

/// The time after which an operation of the table or the object store counts as unanswered.
const PLATFORM_TIMEOUT: Us = SECOND;

/// The time after which a worker command counts as unanswered.
const COMMAND_TIMEOUT: Us = 2 * SECOND;

/// The time after which a message to a peer counts as unanswered.
const PEER_TIMEOUT: Us = SECOND;

impl Simulation<'_> {
    pub(crate) fn execute_request_action(&mut self, index: usize, action: request::Action) {
        match action {
            request::Action::Send {
                attempt,
                vm,
                epoch,
                call,
                timeout,
            } => {
                let correlation = self.entries[index].register(index, Purpose::Attempt(attempt));
                self.schedule_expiry(correlation, timeout.since(CLOCK_START).0 * MS);
                let entry = &self.entries[index];
                let id = format!("{}/{:x}/{:x}", entry.name, entry.incarnation, attempt.0);
                let request = Request {
                    correlation,
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
            } => self.forward(
                index,
                attempt,
                &entry,
                &call,
                timeout.since(CLOCK_START).0 * MS,
            ),
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
            request::Action::Note(note) => self.trace_note(index, &note),
        }
    }

    pub(crate) fn execute_control_action(&mut self, index: usize, action: control::Action) {
        match action {
            control::Action::Table(id, operation) => {
                self.send_to_platform(index, Purpose::Table(id), Operation::Table(operation));
            }
            control::Action::Object(id, operation) => {
                self.send_to_platform(index, Purpose::Object(id), Operation::Object(operation));
            }
            control::Action::Worker { id, vm, command } => {
                let purpose = Purpose::Command(id, command.clone());
                let correlation = self.entries[index].register(index, purpose);
                self.schedule_expiry(correlation, self.queue.now() + COMMAND_TIMEOUT);
                self.send_command(correlation, &vm, command);
            }
            control::Action::Send { id, to, message } => {
                let found = self.entries.iter().position(|entry| entry.address == to);
                match found {
                    Some(to) => {
                        self.send_message(index, to, Purpose::Message(id), message, PEER_TIMEOUT);
                    }
                    None => self.step_control(index, control::Event::Unanswered(id)),
                }
            }
            control::Action::Respond(tag, message) => {
                if let Some(correlation) = self.entries[index].peer_requests.remove(&tag) {
                    self.respond(index, correlation, message);
                }
            }
            control::Action::OperatorReply(tag, reply) => {
                if let Some(key) = self.entries[index].operator_calls.remove(&tag) {
                    let reply = Event::OperatorReply(key, Some(reply));
                    self.queue
                        .schedule_after(self.scenario.client_latency, reply);
                }
            }
            control::Action::Targets(targets) => self.update_targets(index, targets),
            control::Action::Peers(peers) => {
                self.entries[index].peers = peers.clone();
                self.step_requests(index, request::Event::Peers(peers));
            }
            control::Action::Config(version, checked) => {
                self.record_in_force(index, version);
                self.step_requests(index, request::Event::Config(checked));
            }
            control::Action::Stopped => self.entries[index].mark_left(),
            control::Action::Note(note) => self.trace_note(index, &note),
        }
    }

    /// Passes new targets to the request path. Under the baseline every entry sends to all targets
    /// and counts their slots by itself; under the current policy only the owner of a target sends
    /// to it.
    fn update_targets(&mut self, index: usize, targets: Vec<request::Target>) {
        if self.setup.policy == Policy::Current {
            return self.step_requests(index, request::Event::Targets(targets));
        }
        for target in targets {
            let known = self.shared_targets.get(&target.vm);
            if known.is_none_or(|known| known.epoch <= target.epoch) {
                self.shared_targets.insert(target.vm.clone(), target);
            }
        }
        let all: Vec<request::Target> = self.shared_targets.values().cloned().collect();
        for entry in 0..self.entries.len() {
            if self.entries[entry].alive {
                self.step_requests(entry, request::Event::Targets(all.clone()));
            }
        }
    }

    fn record_in_force(&mut self, index: usize, version: Version) {
        let entry = self.entries[index].name.clone();
        let before = self.entries[index].version.replace(version);
        if before == Some(version) {
            return;
        }
        self.record(Fact::InForce {
            entry: entry.clone(),
            version,
        });
        let mistaken = self.setup.mistake == Some(Mistake::OldConfig);
        if let Some(version) = before.filter(|_| mistaken) {
            self.record(Fact::InForce { entry, version });
        }
    }

    fn schedule_expiry(&mut self, correlation: Correlation, at: Us) {
        let input = Input::Expired(correlation.key);
        let event = Event::Input(correlation.entry, correlation.incarnation, input);
        self.queue.schedule_at(at, event);
    }

    fn send_to_platform(&mut self, index: usize, purpose: Purpose, operation: Operation) {
        let correlation = self.entries[index].register(index, purpose);
        self.schedule_expiry(correlation, self.queue.now() + PLATFORM_TIMEOUT);
        self.queue
            .schedule_after(MS / 2, Event::Platform(correlation, operation));
    }

    fn abandon(&mut self, index: usize, attempt: Attempt) {
        let entry = &mut self.entries[index];
        let Some(key) = entry.attempts.remove(&attempt) else {
            return;
        };
        entry.pending.remove(&key);
        let correlation = entry.correlation(index, key);
        self.cancel_run(correlation);
    }

    fn forward(&mut self, index: usize, attempt: Attempt, to: &Name, call: &Call, timeout: Us) {
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

    /// The one-way latency between two failure domains.
    pub(crate) fn latency(&self, from: &Name, to: &Name) -> Us {
        if from == to { MS / 4 } else { MS * 3 / 2 }
    }

    pub(crate) fn schedule_answer(&mut self, correlation: Correlation, after: Us, answer: Answer) {
        let input = Input::Answered(correlation.key, answer);
        let event = Event::Input(correlation.entry, correlation.incarnation, input);
        self.queue.schedule_after(after, event);
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

    fn respond(&mut self, index: usize, correlation: Correlation, message: Message) {
        let envelope = self.entries[index].envelope(message);
        let latency = self.latency(
            &self.entries[index].domain,
            &self.entries[correlation.entry].domain,
        );
        self.schedule_answer(correlation, latency, Answer::Peer(envelope));
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

    fn reply(&mut self, index: usize, call: u64, outcome: Outcome) {
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

    fn remove_pending(&mut self, index: usize, key: u64) -> Option<Purpose> {
        let entry = &mut self.entries[index];
        let purpose = entry.pending.remove(&key)?;
        if let Purpose::Attempt(attempt) | Purpose::Forward(attempt) = &purpose {
            entry.attempts.remove(attempt);
        }
        Some(purpose)
    }

    pub(crate) fn receive_answer(&mut self, index: usize, key: u64, answer: Answer) {
        let Some(purpose) = self.remove_pending(index, key) else {
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
                self.finish_attempt(index, attempt, ending);
            }
            (Purpose::Message(_), Answer::Peer(envelope)) => {
                let entry = &mut self.entries[index];
                entry.lamport = entry.lamport.max(envelope.lamport) + 1;
                self.step_control(index, control::Event::Peer(envelope));
            }
            (Purpose::Forward(attempt), Answer::Peer(envelope)) => {
                self.finish_attempt(index, attempt, forwarded_ending(envelope.message));
            }
            (Purpose::Book, _) => self.release_groups(index),
            (Purpose::Attempt(attempt) | Purpose::Forward(attempt), _) => {
                self.finish_attempt(index, attempt, Ending::NotRun);
            }
            (Purpose::Command(id, _), _) => {
                let event = control::Event::Worker(id, worker::Outcome::Unsent);
                self.step_control(index, event);
            }
            (Purpose::Message(id), _) => self.step_control(index, control::Event::Unanswered(id)),
            (Purpose::Table(_) | Purpose::Object(_), _) => {}
        }
    }

    pub(crate) fn expire_operation(&mut self, index: usize, key: u64) {
        let Some(purpose) = self.remove_pending(index, key) else {
            return;
        };
        let event = match purpose {
            Purpose::Attempt(attempt) => {
                self.cancel_run(self.entries[index].correlation(index, key));
                return self.finish_attempt(index, attempt, Ending::Unknown);
            }
            Purpose::Forward(attempt) => {
                return self.finish_attempt(index, attempt, Ending::Unknown);
            }
            Purpose::Book => return self.release_groups(index),
            Purpose::Table(id) => control::Event::Table(id, table::Outcome::Unknown),
            Purpose::Object(id) => control::Event::Object(id, object::Outcome::Unknown),
            Purpose::Command(id, command) => {
                control::Event::Worker(id, self.unanswered_outcome(&command))
            }
            Purpose::Message(id) => control::Event::Unanswered(id),
        };
        self.step_control(index, event);
    }

    fn unanswered_outcome(&self, command: &worker::Command) -> worker::Outcome {
        let mistaken = self.setup.mistake == Some(Mistake::FreeAmbiguous);
        match &command.verb {
            Verb::Stop { .. } if mistaken => {
                worker::Outcome::Answered(worker::Reply::Refused(worker::Refusal::Missing))
            }
            _ => worker::Outcome::Unknown,
        }
    }

    fn finish_attempt(&mut self, index: usize, attempt: Attempt, ending: Ending) {
        let mistaken = self.setup.mistake == Some(Mistake::Repeat);
        let ending = match ending {
            Ending::Unknown if mistaken => Ending::NotRun,
            ending => ending,
        };
        self.step_requests(index, request::Event::Finished(attempt, ending));
    }
}

fn forwarded_ending(message: Message) -> Ending {
    match message {
        Message::Outcome(Outcome::Answered(answer)) => Ending::Answered(answer),
        Message::Outcome(Outcome::Refused(refusal)) => Ending::Refused(refusal),
        _ => Ending::Unknown,
    }
}
