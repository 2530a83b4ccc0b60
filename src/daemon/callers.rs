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
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Answers callers.
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

/// Waits while the configuration in force may be outdated after a pause. The request path decides
/// about requests that come earlier or later than that.
async fn wait_for_config(shell: &Shell, deadline: Ms) {
    let is_config_doubtful = || {
        shell.config().is_some()
            && !shell.is_config_current()
            && !shell.stopping.load(Ordering::SeqCst)
    };
    while is_config_doubtful() && shell.clock.now() < deadline {
        Timer::after(CONFIG_POLL_INTERVAL).await;
    }
}

/// Lets a request arrive under a new id and waits for its outcome. Dropping the future withdraws
/// the request.
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
    // The sender is only dropped without an answer when the daemon ends.
    let outcome = async { outcome.await.unwrap_or(Outcome::Unknown) };
    let outcome = attempt.or(outcome).await;
    // An attempt that goes on is handed over before the request can be withdrawn.
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
