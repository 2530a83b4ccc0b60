//! Handles calls of operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decision::control;
use decision::operator::Call;
use decision::operator::Reply;
use decision::timeline::Event;
use decision::timeline::Filter;
use operator::server::Handler;
use operator::server::Timeline;
use peer::frame::Frame;
use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;

use super::peers::MAX_EVENTS;
use super::shell::Shell;
use crate::journal;

/// The time that the control path has to finish a call, including retries of its writes.
const CALL_TIMEOUT: Duration = Duration::from_millis(10_000);

/// The endpoint for operators.
pub(super) struct Endpoint(pub(super) Arc<Shell>);

impl Handler for Endpoint {
    async fn call(&self, call: Call) -> Reply {
        let shell = &self.0;
        let (id, reply) = shell.operator_calls.register();
        shell.handle_control_event(control::Event::Operator(id, call));
        let reply = async { reply.await.unwrap_or(Reply::Unknown) };
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            Reply::Unknown
        };
        let reply = reply.or(timeout).await;
        shell.operator_calls.cancel(id);
        reply
    }

    fn watch(&self, filter: Filter) -> Receiver<Event> {
        self.0.journal.watch(filter)
    }

    async fn timeline(&self, filter: Filter, local: bool) -> Timeline {
        let mut timeline = Timeline {
            events: self.0.journal.select(&filter, MAX_EVENTS),
            missing: Vec::new(),
        };
        if !local {
            self.collect(&filter, &mut timeline).await;
        }
        journal::merge(&mut timeline.events);
        timeline
    }
}

impl Endpoint {
    async fn collect(&self, filter: &Filter, timeline: &mut Timeline) {
        let peers = self.0.directory.live_peers();
        // All peers are queried concurrently, so that several unresponsive peers cost one time
        // limit.
        let fetches: Vec<_> = peers
            .into_iter()
            .map(|(_, address)| (address, self.fetch(address, filter.clone())))
            .collect();
        for (address, events) in fetches {
            match events.await {
                Some(events) => timeline.events.extend(events),
                None => timeline.missing.push(address.to_string()),
            }
        }
    }

    fn fetch(&self, from: SocketAddr, filter: Filter) -> smol::Task<Option<Vec<Event>>> {
        let shell = Arc::clone(&self.0);
        self.0.spawner.spawn(async move {
            let limit = shell.settings.times.peer;
            let frame = Frame::Timeline(filter);
            match shell.clients.peers.exchange(from, &frame, limit).await {
                Ok(Frame::Events(events)) => Some(events),
                _ => None,
            }
        })
    }
}
