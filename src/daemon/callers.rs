//! Requests of callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use caller::reply::Reply;
use caller::request::Request;
use caller::server::Handler;
use decision::clock::Ms;
use decision::request::Call;
use decision::request::Event;
use decision::request::Outcome;
use decision::ticket::Ticket;
use smol::Timer;
use smol::future::FutureExt;

use super::shell::Shell;

/// The deadline of a request to a service that is not configured; it is refused anyway.
const DEFAULT_DEADLINE: Ms = Ms(10_000);
/// How often a held request looks whether it may arrive.
const HOLD_POLL: Duration = Duration::from_millis(10);

/// Answers callers.
pub(super) struct Front(pub(super) Arc<Shell>);

impl Handler for Front {
    async fn call(&self, request: Request) -> Reply {
        let started = Instant::now();
        let outcome = run(&self.0, request).await;
        self.0.metrics.request(&outcome, started.elapsed());
        let ticket = self.0.mint(1).pop();
        Reply { outcome, ticket }
    }

    fn tickets(&self, count: u32) -> Vec<Ticket> {
        if self.0.ready() {
            self.0.mint(count)
        } else {
            Vec::new()
        }
    }

    fn ready(&self) -> bool {
        self.0.ready()
    }

    fn metrics(&self) -> String {
        self.0.metrics.text()
    }
}

async fn run(shell: &Arc<Shell>, request: Request) -> Outcome {
    let remaining = request.remaining.unwrap_or_else(|| {
        let config = shell.config();
        let service = config
            .as_ref()
            .and_then(|config| config.service(&request.service));
        service.map_or(DEFAULT_DEADLINE, |service| service.deadline)
    });
    let deadline = shell.clock.now() + remaining;
    hold(shell, deadline).await;
    let call = Call {
        id: 0,
        service: request.service,
        kind: request.kind,
        team: request.team,
        repeatable: request.repeatable,
        ticket: request.ticket,
        deadline,
        forwarded: false,
        body: request.body,
    };
    arrive(shell, call).await
}

/// Waits while the configuration in force may be outdated after a pause. The request path decides
/// about requests that come earlier or later than that.
async fn hold(shell: &Shell, deadline: Ms) {
    let doubtful =
        || shell.config().is_some() && !shell.sure() && !shell.stopping.load(Ordering::SeqCst);
    while doubtful() && shell.clock.now() < deadline {
        Timer::after(HOLD_POLL).await;
    }
}

/// Lets a request arrive under a new id and waits for its outcome. Dropping the future withdraws
/// the request.
pub(super) async fn arrive(shell: &Arc<Shell>, call: Call) -> Outcome {
    let (id, outcome) = shell.calls.open();
    let guard = Withdrawal { shell, id };
    let mut lent = shell.arrive(Call { id, ..call });
    let attempt = async {
        if let Some(lent) = &mut lent {
            lent.run().await;
        }
        smol::future::pending().await
    };
    // The sender is only dropped without an answer when the daemon ends.
    let outcome = async { outcome.await.unwrap_or(Outcome::Unknown) };
    let outcome = attempt.or(outcome).await;
    // An attempt that goes on is handed over before the request can be withdrawn.
    drop(lent);
    drop(guard);
    outcome
}

struct Withdrawal<'a> {
    shell: &'a Arc<Shell>,
    id: u64,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if self.shell.calls.close(self.id) {
            self.shell.request(Event::Withdrawn(self.id));
        }
    }
}
