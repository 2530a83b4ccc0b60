//! Handles requests of callers.

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

/// The deadline of a request to a service that is not configured. Such a request is refused anyway.
const DEFAULT_DEADLINE: Ms = Ms(10_000);
/// The interval at which a waiting request checks whether the configuration is current.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The endpoint for callers.
pub(super) struct Endpoint(pub(super) Arc<Shell>);

impl Handler for Endpoint {
    async fn call(&self, request: Request) -> Reply {
        let started = Instant::now();
        let outcome = run(&self.0, request).await;
        self.0.metrics.request(&outcome, started.elapsed());
        let ticket = self.0.issue_tickets(1).pop();
        Reply { outcome, ticket }
    }

    fn tickets(&self, count: u32) -> Vec<Ticket> {
        if self.0.ready() {
            self.0.issue_tickets(count)
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
    wait_for_config(shell, deadline).await;
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
    submit(shell, call).await
}

/// Waits, up to the deadline, while the configuration in force may be outdated after a pause.
/// Without any configuration and during a stop it returns at once, and the request path decides.
async fn wait_for_config(shell: &Shell, deadline: Ms) {
    let may_be_outdated = || {
        shell.config().is_some()
            && !shell.is_config_current()
            && !shell.stopping.load(Ordering::SeqCst)
    };
    while may_be_outdated() && shell.clock.now() < deadline {
        Timer::after(CONFIG_POLL_INTERVAL).await;
    }
}

/// Submits a request to the request path under a new id and waits for its outcome. Dropping the
/// future withdraws the request.
pub(super) async fn submit(shell: &Arc<Shell>, call: Call) -> Outcome {
    let (id, outcome) = shell.requests.register();
    let guard = WithdrawGuard { shell, id };
    let mut inline = shell.submit(Call { id, ..call });
    let attempt = async {
        if let Some(inline) = &mut inline {
            inline.run().await;
        }
        smol::future::pending().await
    };
    // The sender is dropped without an answer only when the daemon ends.
    let outcome = async { outcome.await.unwrap_or(Outcome::Unknown) };
    let outcome = attempt.or(outcome).await;
    // An unfinished attempt is spawned before the guard can withdraw the request.
    drop(inline);
    drop(guard);
    outcome
}

struct WithdrawGuard<'a> {
    shell: &'a Arc<Shell>,
    id: u64,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if self.shell.requests.cancel(self.id) {
            self.shell.handle_request_event(Event::Withdrawn(self.id));
        }
    }
}
