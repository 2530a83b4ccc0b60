//! Carries out the actions of the control path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use decision::clock::Ms;
use decision::control::Action;
use decision::control::Event;
use decision::control::Id;
use decision::name::Name;
use decision::peer::Message;
use decision::request;
use decision::step::Step;
use decision::worker;
use peer::frame::Frame;

use super::shell::Shell;
use crate::logs;

impl Shell {
    /// Passes an event to the control path and carries out its actions.
    pub(super) fn handle_control_event(self: &Arc<Self>, event: Event) {
        let mut notes = Vec::new();
        let mut machine = self.control.lock().expect("no holder of this lock panics");
        // The clock is read under the lock, so that time never decreases for the state machine.
        let now = self.clock.now();
        let actions = machine.step(now, event);
        self.accepts_work.store(machine.ready(), Ordering::SeqCst);
        for action in actions {
            // No action blocks here: work is spawned and answers are sent over channels.
            match action {
                Action::Note(note) => notes.push(self.record(note)),
                other => self.execute_control_action(other),
            }
        }
        drop(machine);
        notes.iter().for_each(logs::event);
    }

    fn execute_control_action(self: &Arc<Self>, action: Action) {
        let shell = Arc::clone(self);
        match action {
            Action::Table(id, operation) => self.spawn(async move {
                shell.metrics.table();
                let outcome = shell.clients.table.run(operation).await;
                shell.handle_control_event(Event::Table(id, outcome));
            }),
            Action::Object(id, operation) => self.spawn(async move {
                let outcome = shell.clients.objects.run(operation).await;
                shell.handle_control_event(Event::Object(id, outcome));
            }),
            Action::Worker { id, vm, command } => self.spawn(async move {
                let outcome = shell.command(&vm, &command).await;
                shell.handle_control_event(Event::Worker(id, outcome));
            }),
            Action::Send { id, to, message } => self.spawn(async move {
                let event = shell.send(id, to, message).await;
                shell.handle_control_event(event);
            }),
            Action::Respond(id, message) => self.peer_requests.complete(id, message),
            Action::OperatorReply(id, reply) => self.operator_calls.complete(id, reply),
            Action::Targets(targets) => self.handle_request_event(request::Event::Targets(targets)),
            Action::Peers(peers) => {
                self.directory.update_peers(&peers);
                self.handle_request_event(request::Event::Peers(peers));
            }
            Action::Config(_, config) => {
                let mut current = self.config.lock().expect("no holder of this lock panics");
                *current = Some(Arc::clone(&config));
                drop(current);
                self.handle_request_event(request::Event::Config(config));
            }
            Action::Stopped => drop(self.control_stopped.0.close()),
            Action::Note(note) => drop(self.record(note)),
        }
    }

    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let key = self.next_operation.fetch_add(1, Ordering::Relaxed);
        // Each operation enforces its own time limit, so the task itself never expires.
        self.operations.spawn(key, Ms(u64::MAX), work);
    }

    async fn command(&self, vm: &Name, command: &worker::Command) -> worker::Outcome {
        self.metrics.command();
        let limit = self.settings.times.command;
        match self.directory.worker(vm) {
            Some(address) => self.clients.workers.run(address, command, limit).await,
            None => worker::Outcome::Unsent,
        }
    }

    async fn send(&self, id: Id, to: SocketAddr, message: Message) -> Event {
        let frame = Frame::Message(Box::new(self.envelope(message)));
        let limit = self.settings.times.peer;
        match self.clients.peers.exchange(to, &frame, limit).await {
            Ok(Frame::Message(envelope)) => {
                self.record_envelope(&envelope);
                Event::Peer(*envelope)
            }
            Ok(_) => Event::Unanswered(id),
            Err(error) => {
                log::debug!("entry={} peer={to} cause={error:?}", self.identity.entry);
                Event::Unanswered(id)
            }
        }
    }
}
