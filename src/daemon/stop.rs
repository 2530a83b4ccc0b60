//! Ends an entry.

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

/// How often the request path is asked whether it is idle.
const POLL: Duration = Duration::from_millis(5);
/// The time for operators and peers to close their connections once nothing is in flight.
const GRACE: Duration = Duration::from_millis(500);

/// Lets requests in flight finish and hands over tickets and groups. Returns whether this was done
/// within the settings' stop time.
pub(super) async fn gracefully(shell: &Arc<Shell>, servers: &Servers) -> bool {
    let end = Instant::now() + shell.settings.times.stop;
    let work = async {
        hand_over(shell, servers).await;
        true
    };
    let late = async {
        Timer::at(end).await;
        false
    };
    work.or(late).await
}

async fn hand_over(shell: &Arc<Shell>, servers: &Servers) {
    shell.stopping.store(true, Ordering::SeqCst);
    log::info!("entry={} state=stopping", shell.identity.entry);
    shell.request(request::Event::Stopping);
    let part = async {
        while !idle(shell) {
            Timer::after(POLL).await;
        }
        send_book(shell).await;
        shell.control(control::Event::Stopping);
        let _ = shell.stopped.1.recv().await;
    };
    // Callers that read their answers slowly do not delay the others' takeover.
    future::zip(servers.caller.stop(), part).await;
    shell.journal.close();
    let last = future::zip(servers.operator.stop(), servers.peer.stop());
    let late = async {
        Timer::after(GRACE).await;
        ((), ())
    };
    last.or(late).await;
}

fn idle(shell: &Shell) -> bool {
    let machine = shell.request.lock().expect("no holder of this lock panics");
    machine.idle()
}

/// Sends the ticket book to one peer. Another is only tried when the book cannot have arrived, as
/// two holders of a book could both run a ticket.
async fn send_book(shell: &Arc<Shell>) {
    let mut peers = shell.directory.live();
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

/// The frame of a ticket book. Retained answers that make it too long are left out, largest first;
/// a retry of their requests then gets the outcome `unknown`.
fn book_frame(shell: &Shell, mut book: request::Book) -> Frame {
    let frame = |book| Frame::Message(Box::new(shell.envelope(Message::Book(book))));
    let mut longest = frame::MAX_BYTES;
    while longest > 0 && frame::encode(&frame(book.clone())).is_err() {
        longest /= 2;
        for (_, outcome) in &mut book.spent {
            outcome.take_if(|outcome| size(outcome) >= longest);
        }
    }
    frame(book)
}

fn size(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answered(answer) => answer.body.len(),
        Outcome::Refused(_) | Outcome::Unknown => 0,
    }
}

/// Closes everything that is still open.
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
