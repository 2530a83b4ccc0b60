//! Carries out the actions of the request path.

use std::sync::Arc;
use std::time::Duration;

use decision::clock::Ms;
use decision::control;
use decision::name::Name;
use decision::peer::Forward;
use decision::peer::Message;
use decision::request::Action;
use decision::request::Attempt;
use decision::request::Call;
use decision::request::Ending;
use decision::request::Event;
use decision::request::Outcome;
use decision::step::Step;
use decision::worker::Epoch;
use peer::client;
use peer::frame::Frame;

use super::shell::Shell;
use super::tasks::Inline;
use crate::logs;

/// The most service times queued between two control ticks. Further ones are dropped, because these
/// suffice to estimate the service time of each kind of request.
const MAX_MEASUREMENTS: usize = 1_024;

impl Shell {
    /// Passes an event to the request path and carries out its actions.
    pub(super) fn handle_request_event(self: &Arc<Self>, event: Event) {
        drop(self.step(event, None));
    }

    /// Passes a request to the request path. Returns its first attempt, if it starts one at once,
    /// for the caller to run inline.
    pub(super) fn submit(self: &Arc<Self>, call: Call) -> Option<Inline<Attempt>> {
        let id = call.id;
        self.step(Event::Arrived(call), Some(id))
    }

    fn step(self: &Arc<Self>, event: Event, inline_call: Option<u64>) -> Option<Inline<Attempt>> {
        let mut inline = None;
        let mut notes = Vec::new();
        let mut machine = self.request.lock().expect("no holder of this lock panics");
        // The clock is read under the lock, so that time never decreases for the state machine.
        let now = self.clock.now();
        for action in machine.step(now, event) {
            // No action blocks here: work is spawned and answers are sent over channels.
            match action {
                Action::Note(note) => notes.push(self.record(note)),
                Action::Send {
                    attempt,
                    vm,
                    epoch,
                    call,
                    timeout,
                } if inline_call == Some(call.id) && inline.is_none() => {
                    let work = send(Arc::clone(self), attempt, vm, epoch, call, timeout);
                    inline = Some(self.attempts.run_inline(attempt, timeout, work));
                }
                other => self.execute_request_action(other),
            }
        }
        drop(machine);
        notes.iter().for_each(logs::event);
        inline
    }

    fn execute_request_action(self: &Arc<Self>, action: Action) {
        match action {
            Action::Send {
                attempt,
                vm,
                epoch,
                call,
                timeout,
            } => {
                let work = send(Arc::clone(self), attempt, vm, epoch, call, timeout);
                self.attempts.spawn(attempt, timeout, work);
            }
            Action::Forward {
                attempt,
                entry,
                call,
                timeout,
            } => {
                let work = forward(Arc::clone(self), attempt, entry, call, timeout);
                self.attempts.spawn(attempt, timeout, work);
            }
            Action::Abandon(attempt) => self.attempts.cancel(attempt),
            Action::Reply { call, outcome } => self.requests.complete(call, outcome),
            Action::Measured {
                vm,
                service,
                kind,
                time,
            } => self.queue_measurement(control::Event::Measured {
                vm,
                service,
                kind,
                time,
            }),
            Action::Note(note) => drop(self.record(note)),
        }
    }

    /// Cancels the attempts whose time limit has passed. Their outcome is unknown, because the
    /// target may have run them.
    pub(super) fn expire(self: &Arc<Self>) {
        for attempt in self.attempts.expire(self.clock.now()) {
            self.metrics.attempt(&Ending::Unknown);
            self.handle_request_event(Event::Finished(attempt, Ending::Unknown));
        }
    }

    fn queue_measurement(&self, event: control::Event) {
        let mut measurements = self
            .measurements
            .lock()
            .expect("no holder of this lock panics");
        if measurements.len() < MAX_MEASUREMENTS {
            measurements.push(event);
        }
    }
}

async fn send(
    shell: Arc<Shell>,
    attempt: Attempt,
    vm: Name,
    epoch: Epoch,
    call: Arc<Call>,
    timeout: Ms,
) {
    let ending = match shell.directory.worker(&vm) {
        Some(address) => {
            let id = target::attempt::Id {
                entry: shell.identity.entry.clone(),
                incarnation: shell.identity.incarnation,
                attempt: attempt.0,
            };
            let sent = target::attempt::Attempt {
                id,
                epoch,
                service: call.service.clone(),
                kind: call.kind.clone(),
                body: call.body.clone(),
            };
            let limit = shell.clock.until(timeout);
            shell.clients.targets.run(address, sent, limit).await
        }
        None => Ending::NotRun,
    };
    shell.metrics.attempt(&ending);
    shell.handle_request_event(Event::Finished(attempt, ending));
}

async fn forward(shell: Arc<Shell>, attempt: Attempt, entry: Name, call: Arc<Call>, timeout: Ms) {
    let limit = shell.clock.until(timeout);
    let ending = match shell.directory.entry(&entry) {
        Some(address) => {
            let message = Message::Forward(Forward {
                service: call.service.clone(),
                kind: call.kind.clone(),
                team: call.team.clone(),
                repeatable: call.repeatable,
                ticket: call.ticket.clone(),
                remaining: call.deadline.since(shell.clock.now()),
                body: call.body.clone(),
            });
            send_forward(&shell, address, message, limit).await
        }
        None => Ending::NotRun,
    };
    shell.metrics.attempt(&ending);
    shell.handle_request_event(Event::Finished(attempt, ending));
}

async fn send_forward(
    shell: &Shell,
    to: std::net::SocketAddr,
    message: Message,
    limit: Duration,
) -> Ending {
    let frame = Frame::Message(Box::new(shell.envelope(message)));
    let answer = match shell.clients.peers.exchange(to, &frame, limit).await {
        Ok(Frame::Message(envelope)) => envelope,
        // A peer that refuses the frame as such has not processed the message in it.
        Err(client::Error::Unsent(_) | client::Error::Refused(_)) => return Ending::NotRun,
        Ok(_) | Err(client::Error::Answer(_) | client::Error::Broken(_)) => return Ending::Unknown,
    };
    shell.record_envelope(&answer);
    match answer.message {
        Message::Outcome(Outcome::Answered(answer)) => Ending::Answered(answer),
        Message::Outcome(Outcome::Refused(refusal)) => Ending::Refused(refusal),
        _ => Ending::Unknown,
    }
}
