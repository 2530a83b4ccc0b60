//! Handles messages of peers.

use std::sync::Arc;

use decision::control;
use decision::peer::Envelope;
use decision::peer::Forward;
use decision::peer::Message;
use decision::request;
use decision::request::Call;
use decision::timeline::Event;
use decision::timeline::Filter;
use peer::frame;
use peer::frame::Frame;
use peer::server::Handler;
use smol::Timer;
use smol::future::FutureExt;

use super::callers;
use super::shell::Shell;

/// The most timeline events in one answer.
pub(super) const MAX_EVENTS: usize = 2_000;

/// The endpoint for peers.
pub(super) struct Endpoint(pub(super) Arc<Shell>);

impl Handler for Endpoint {
    async fn handle(&self, frame: Frame) -> Frame {
        match frame {
            Frame::Message(envelope) => self.message(*envelope).await,
            Frame::Timeline(filter) => Frame::Events(self.events(&filter)),
            Frame::Events(_) | Frame::Silent => Frame::Silent,
        }
    }
}

impl Endpoint {
    async fn message(&self, envelope: Envelope) -> Frame {
        let shell = &self.0;
        shell.record_envelope(&envelope);
        let answer = match envelope.message {
            Message::Forward(forward) => Some(self.run_forward(forward).await),
            Message::Book(book) => {
                shell.handle_request_event(request::Event::Adopt(book));
                Some(Message::Done)
            }
            Message::Outcome(_) | Message::Operated(_) | Message::Done => None,
            message => {
                self.query_control(Envelope {
                    message,
                    ..envelope
                })
                .await
            }
        };
        match answer {
            Some(message) => Frame::Message(Box::new(shell.envelope(message))),
            None => Frame::Silent,
        }
    }

    async fn run_forward(&self, forward: Forward) -> Message {
        let shell = &self.0;
        let call = Call {
            id: 0,
            service: forward.service,
            kind: forward.kind,
            team: forward.team,
            repeatable: forward.repeatable,
            ticket: forward.ticket,
            deadline: shell.clock.now() + forward.remaining,
            forwarded: true,
            body: forward.body,
        };
        Message::Outcome(callers::submit(shell, call).await)
    }

    async fn query_control(&self, envelope: Envelope) -> Option<Message> {
        let shell = &self.0;
        let (id, answer) = shell.peer_requests.register();
        shell.handle_control_event(control::Event::PeerRequest(id, envelope));
        let answer = async { answer.await.ok() };
        let timeout = async {
            Timer::after(shell.settings.times.peer).await;
            None
        };
        let message = answer.or(timeout).await;
        shell.peer_requests.cancel(id);
        message
    }

    /// Returns the newest events that fit into one frame.
    fn events(&self, filter: &Filter) -> Vec<Event> {
        let mut events = self.0.journal.select(filter, MAX_EVENTS);
        while frame::encode(&Frame::Events(events.clone())).is_err() {
            events.drain(..events.len().div_ceil(2));
        }
        events
    }
}
