//! The shell around an entry's machines, which executes their actions and passes answers, messages
//! and timeouts to them.

mod answer;
mod call;
mod peer;

use decision::config::Version;
use decision::control;
use decision::request;
use decision::request::Attempt;
use history::Fact;

use crate::case::Mistake;
use crate::case::Policy;
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

    pub(crate) fn schedule_answer(&mut self, correlation: Correlation, after: Us, answer: Answer) {
        let input = Input::Answered(correlation.key, answer);
        let event = Event::Input(correlation.entry, correlation.incarnation, input);
        self.queue.schedule_after(after, event);
    }
}
