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
use super::tasks::Lent;
use crate::logs;

/// Service times kept between two ticks of the control path; further ones are not needed to learn.
const MAX_MEASURED: usize = 1_024;

impl Shell {
    /// Lets the request path take in an event and carries out its actions.
    pub(super) fn request(self: &Arc<Self>, event: Event) {
        drop(self.step(event, None));
    }

    /// Lets a request arrive. Its first attempt is left to the caller to run.
    pub(super) fn arrive(self: &Arc<Self>, call: Call) -> Option<Lent<Attempt>> {
        let id = call.id;
        self.step(Event::Arrived(call), Some(id))
    }

    fn step(self: &Arc<Self>, event: Event, lend: Option<u64>) -> Option<Lent<Attempt>> {
        let mut lent = None;
        let mut notes = Vec::new();
        let mut machine = self.request.lock().expect("no holder of this lock panics");
        // Read under the lock, so that time never decreases for the machine.
        let now = self.clock.now();
        for action in machine.step(now, event) {
            // Nothing here waits: work is spawned and answers are passed on.
            match action {
                Action::Note(note) => notes.push(self.record(note)),
                Action::Send {
                    attempt,
                    vm,
                    epoch,
                    call,
                    timeout,
                } if lend == Some(call.id) && lent.is_none() => {
                    let work = send(Arc::clone(self), attempt, vm, epoch, call, timeout);
                    lent = Some(self.attempts.lend(attempt, timeout, work));
                }
                other => self.carry_out(other),
            }
        }
        drop(machine);
        notes.iter().for_each(logs::event);
        lent
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
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
            Action::Reply { call, outcome } => self.calls.answer(call, outcome),
            Action::Measured {
                vm,
                service,
                kind,
                time,
            } => self.measure(control::Event::Measured {
                vm,
                service,
                kind,
                time,
            }),
            Action::Note(note) => drop(self.record(note)),
        }
    }

    /// Ends the attempts that are late: their connections close, and they may have run.
    pub(super) fn expire(self: &Arc<Self>) {
        for attempt in self.attempts.expire(self.clock.now()) {
            self.metrics.attempt(&Ending::Unknown);
            self.request(Event::Finished(attempt, Ending::Unknown));
        }
    }

    fn measure(&self, event: control::Event) {
        let mut measured = self.measured.lock().expect("no holder of this lock panics");
        if measured.len() < MAX_MEASURED {
            measured.push(event);
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
    shell.request(Event::Finished(attempt, ending));
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
            ask(&shell, address, message, limit).await
        }
        None => Ending::NotRun,
    };
    shell.metrics.attempt(&ending);
    shell.request(Event::Finished(attempt, ending));
}

async fn ask(shell: &Shell, to: std::net::SocketAddr, message: Message, limit: Duration) -> Ending {
    let frame = Frame::Message(Box::new(shell.envelope(message)));
    let answer = match shell.clients.peers.exchange(to, &frame, limit).await {
        Ok(Frame::Message(envelope)) => envelope,
        // A peer that refuses the frame itself has not taken in what it holds.
        Err(client::Error::Unsent(_) | client::Error::Refused(_)) => return Ending::NotRun,
        Ok(_) | Err(client::Error::Answer(_) | client::Error::Broken(_)) => return Ending::Unknown,
    };
    shell.receive(&answer);
    match answer.message {
        Message::Outcome(Outcome::Answered(answer)) => Ending::Answered(answer),
        Message::Outcome(Outcome::Refused(refusal)) => Ending::Refused(refusal),
        _ => Ending::Unknown,
    }
}
