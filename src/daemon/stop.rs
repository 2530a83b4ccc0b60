//! Stops an entry, gracefully or at once.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use decision::control;
use decision::peer::Message;
use decision::request;
use decision::request::Outcome;
use peer::client;
use peer::frame;
use peer::frame::Frame;
use smol::Timer;
use smol::future;
use smol::future::FutureExt;

use super::Servers;
use super::shell::Shell;

/// The interval at which the request path is polled until it is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time that operators and peers have to close their connections once nothing is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for requests in flight and hands over tickets and groups. Returns whether this finished
/// within the stop time of the settings.
pub(super) async fn gracefully(shell: &Arc<Shell>, servers: &Servers) -> bool {
    let end = Instant::now() + shell.settings.times.stop;
    let work = async {
        hand_over(shell, servers).await;
        true
    };
    let timeout = async {
        Timer::at(end).await;
        false
    };
    work.or(timeout).await
}

async fn hand_over(shell: &Arc<Shell>, servers: &Servers) {
    shell.stopping.store(true, Ordering::SeqCst);
    log::info!("entry={} state=stopping", shell.identity.entry);
    shell.handle_request_event(request::Event::Stopping);
    let handover = async {
        while !idle(shell) {
            Timer::after(IDLE_POLL_INTERVAL).await;
        }
        send_book(shell).await;
        shell.handle_control_event(control::Event::Stopping);
        let _ = shell.control_stopped.1.recv().await;
    };
    // The handover runs concurrently, so that callers that read their answers slowly do not delay
    // it.
    future::zip(servers.caller.stop(), handover).await;
    shell.journal.close();
    let closing = future::zip(servers.operator.stop(), servers.peer.stop());
    let timeout = async {
        Timer::after(CLOSE_TIMEOUT).await;
        ((), ())
    };
    closing.or(timeout).await;
}

fn idle(shell: &Shell) -> bool {
    let machine = shell.request.lock().expect("no holder of this lock panics");
    machine.idle()
}

/// Sends the ticket book to one peer, preferring those with most free slots. Another peer is tried
/// only if the book certainly was not sent, because two holders of a book could both run the same
/// ticket.
async fn send_book(shell: &Arc<Shell>) {
    let mut peers = shell.directory.live_peers();
    peers.retain(|(peer, _)| !peer.stopping);
    peers.sort_by_key(|(peer, _)| std::cmp::Reverse(peer.free));
    if peers.is_empty() {
        return;
    }
    let frame = book_frame(shell, shell.hand_over_tickets());
    let limit = shell.settings.times.peer;
    for (peer, address) in peers {
        let result = shell.clients.peers.exchange(address, &frame, limit).await;
        let log = |result: &str| {
            let entry = &shell.identity.entry;
            log::info!("entry={entry} successor={} book={result}", peer.entry);
        };
        match result {
            Ok(_) => return log("taken"),
            Err(client::Error::Unsent(_)) => log("unsent"),
            Err(error) => return log(&format!("{:?}", error.to_string())),
        }
    }
}

/// Builds the frame with a ticket book. If it would exceed the frame size, retained answers are
/// left out, largest first. A retry of such a request then gets the outcome `unknown`.
fn book_frame(shell: &Shell, mut book: request::Book) -> Frame {
    let frame = |book| Frame::Message(Box::new(shell.envelope(Message::Book(book))));
    let mut max_body = frame::MAX_BYTES;
    while max_body > 0 && frame::encode(&frame(book.clone())).is_err() {
        max_body /= 2;
        for (_, outcome) in &mut book.spent {
            outcome.take_if(|outcome| body_len(outcome) >= max_body);
        }
    }
    frame(book)
}

fn body_len(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered(answer) => answer.body.len(),
        Outcome::Refused(_) | Outcome::Unknown => 0,
    }
}

/// Closes all servers, tasks and connections that are still open.
pub(super) async fn close(shell: &Shell, servers: &Servers) {
    servers.caller.kill().await;
    servers.operator.kill().await;
    servers.peer.kill().await;
    shell.attempts.close();
    shell.operations.close();
    shell.clients.targets.clear();
    shell.clients.workers.clear();
    shell.clients.peers.clear();
}
