//! The agent on the leader's own entry.

use std::sync::Arc;

use decision::name::Name;
use scheduler::election;
use scheduler::leader::Event;
use scheduler::message::Report;
use smol::future::FutureExt;
use smol::future::pending;

use super::Shared;
use super::inbox::Closed;
use super::leadership::Input;
use super::leadership::Leadership;
use super::outgoing::Outgoing;
use super::peers;
use super::resign::End;
use super::session::Session;
use super::sleep;

/// The reason given when a worker refused the fencing token of this leader in a poll.
const FENCED: &str = "fenced by a worker";

/// Runs the agent on the leader's own entry over channels instead of a connection, and starts a new
/// session whenever one ends. A session that a worker's refusal ended also ends the leadership.
pub(super) async fn run(shared: Arc<Shared>, leadership: Arc<Leadership>) {
    let entry = shared.options.name.clone();
    loop {
        let (session, mut outgoing) = Session::begin(leadership.epoch, peers::MAX_QUEUED_REPORTS);
        let (out, orders) = smol::channel::bounded(peers::MAX_QUEUED_BATCHES);
        let mut connection = None;
        let relay = async {
            while let Some(report) = outgoing.next().await {
                match (report, connection) {
                    (Report::Hello(hello), _) => {
                        connection = Some(leadership.join(hello, out.clone()).await);
                    }
                    (query, Some(connection)) if query.is_contact_query() => {
                        let input = Input::Queried(entry.clone(), connection, query);
                        leadership.send_result(input).await;
                    }
                    (report, connection) => {
                        let input = Input::Event(Event::Received(entry.clone(), report));
                        let queries = send_queries(&leadership, &outgoing, &entry, connection);
                        if leadership.send(input).or(queries).await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        let running = async {
            peers::run_session(&shared, &session, orders).await;
        };
        relay.or(running).await;
        log::warn!("kind=own-agent-lost epoch={}", leadership.epoch);
        if session.is_fenced() {
            return leadership.end(End::Unconfirmed(FENCED));
        }
        if let Some(connection) = connection {
            let left = Input::Left(entry.clone(), connection);
            if leadership.send(left).await.is_err() {
                return;
            }
        }
        sleep(election::CHECK_INTERVAL).await;
    }
}

/// Sends the contact queries that become due while a report waits for the driver.
async fn send_queries(
    leadership: &Leadership,
    outgoing: &Outgoing,
    entry: &Name,
    connection: Option<u64>,
) -> Result<(), Closed> {
    let Some(connection) = connection else {
        return pending().await;
    };
    loop {
        let query = outgoing.next_query().await;
        let input = Input::Queried(entry.clone(), connection, query);
        leadership.send_result(input).await;
    }
}

#[cfg(test)]
mod tests;
