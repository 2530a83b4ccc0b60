//! The callers of a demo, which send shop orders that must not be repeated and previews that may
//! be.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use decision::clock::Ms;
use decision::name::Name;
use decision::request::Answer;
use decision::request::Outcome;
use decision::request::Refusal;
use history::Fact;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use link::pool::Error;
use link::pool::Pool;
use smol::Timer;
use standin::platform::Platform;

use crate::demo::fleet::Recorder;

const REQUEST_DEADLINE: Ms = Ms(2_000);
/// How much longer than its deadline a caller waits, to allow for the transfer of the answer.
const RESPONSE_MARGIN: Ms = Ms(1_000);
const MAX_SENDINGS: u32 = 4;
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// An entry as a caller reaches it through the load balancer.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the entry.
    pub entry: Name,
    /// The address on which it listens for callers.
    pub address: SocketAddr,
}

/// The state shared by all callers.
#[derive(Debug)]
pub struct Shop {
    /// The entries in service, as a load balancer would select them by readiness.
    pub endpoints: Mutex<Vec<Endpoint>>,
    /// The platform, whose clock gives the times of the history.
    pub platform: Arc<Platform>,
    /// The history of the demo.
    pub recorder: Arc<Recorder>,
    /// The connections of all callers.
    pub pool: Pool,
    /// The seed of the demo, which is part of each body.
    pub seed: u64,
}

/// A request for an order or, if it is repeatable, for a preview. It may be sent several times.
struct Order {
    number: u64,
    repeatable: bool,
    body: Bytes,
    ticket: Option<String>,
}

impl Shop {
    /// Sends the requests of one caller, one after another, until `end`.
    pub async fn run_caller(self: Arc<Self>, caller: u64, end: Ms) {
        let mut ticket = None;
        let mut count = 0;
        while self.platform.now() < end {
            let number = caller << 32 | count;
            let body = Bytes::from(format!("order-{}-{caller}-{count}", self.seed));
            let repeatable = count % 2 == 1;
            let mut order = Order {
                number,
                repeatable,
                body,
                ticket: None,
            };
            if !repeatable {
                order.ticket = ticket.take();
            }
            ticket = self.send_until_answered(order).await.or(ticket);
            count += 1;
        }
    }

    /// Sends a request until it is answered, at most [`MAX_SENDINGS`] times. Returns the ticket for
    /// the next request, if the answer carried one.
    async fn send_until_answered(&self, mut order: Order) -> Option<String> {
        for sending in 0..MAX_SENDINGS {
            let endpoint = self.pick_endpoint(order.number + u64::from(sending))?;
            if !order.repeatable && order.ticket.is_none() {
                order.ticket = self.fetch_ticket(&endpoint).await;
                if order.ticket.is_none() {
                    Timer::after(RETRY_DELAY).await;
                    continue;
                }
            }
            let (outcome, next) = self.send(&order, sending, &endpoint).await;
            match outcome {
                Some(Outcome::Answered(_)) => return next,
                Some(Outcome::Refused(Refusal::TicketNeeded | Refusal::TicketExpired)) => {
                    order.ticket = next;
                }
                _ => {}
            }
            Timer::after(RETRY_DELAY).await;
        }
        None
    }

    fn pick_endpoint(&self, turn: u64) -> Option<Endpoint> {
        let endpoints = self
            .endpoints
            .lock()
            .expect("no holder of this lock panics");
        let index = turn.checked_rem(endpoints.len() as u64)?;
        endpoints.get(index as usize).cloned()
    }

    async fn fetch_ticket(&self, endpoint: &Endpoint) -> Option<String> {
        let request = Request::post("/ticket?count=1")
            .body(Full::default())
            .ok()?;
        let limit = Duration::from_millis(REQUEST_DEADLINE.0);
        let response = self
            .pool
            .send(endpoint.address, request, limit)
            .await
            .ok()?;
        let text = std::str::from_utf8(response.body()).ok()?;
        text.lines().next().map(str::to_owned)
    }

    async fn send(
        &self,
        order: &Order,
        sending: u32,
        endpoint: &Endpoint,
    ) -> (Option<Outcome>, Option<String>) {
        let sent = Fact::Sent {
            request: order.number,
            sending,
            entry: endpoint.entry.clone(),
            repeatable: order.repeatable,
            deadline: REQUEST_DEADLINE,
            body: order.body.clone(),
        };
        self.recorder.push(self.platform.now(), sent);
        let limit = Duration::from_millis((REQUEST_DEADLINE + RESPONSE_MARGIN).0);
        let response = match request(order) {
            Ok(request) => self.pool.send(endpoint.address, request, limit).await,
            Err(error) => Err(Error::Unsent(error.to_string().into())),
        };
        let ticket = response
            .as_ref()
            .ok()
            .and_then(|found| header(found.headers(), "x-ticket"));
        let outcome = response.ok().and_then(decode_outcome);
        let received = Fact::Received {
            request: order.number,
            sending,
            outcome: outcome.clone(),
        };
        self.recorder.push(self.platform.now(), received);
        (outcome, ticket)
    }
}

fn request(order: &Order) -> Result<Request<Full<Bytes>>, http::Error> {
    let kind = if order.repeatable { "preview" } else { "order" };
    let mut builder = Request::post(format!("/call/shop/{kind}"))
        .header("x-repeatable", if order.repeatable { "yes" } else { "no" })
        .header("x-deadline-ms", REQUEST_DEADLINE.0)
        .header("x-team", "shop");
    if let Some(ticket) = &order.ticket {
        builder = builder.header("x-ticket", ticket);
    }
    builder.body(Full::new(order.body.clone()))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn decode_outcome(response: Response<Bytes>) -> Option<Outcome> {
    let status = response.status().as_u16();
    match header(response.headers(), "x-outcome")?.as_str() {
        "answered" => Some(Outcome::Answered(Answer {
            status,
            body: response.into_body(),
        })),
        "refused" => Some(Outcome::Refused(refusal(response.headers()))),
        _ => Some(Outcome::Unknown),
    }
}

fn refusal(headers: &HeaderMap) -> Refusal {
    match header(headers, "x-reason").as_deref() {
        Some("ticket-needed") => Refusal::TicketNeeded,
        Some("ticket-expired") => Refusal::TicketExpired,
        Some("late") => Refusal::Late,
        Some("full") => Refusal::Full,
        Some("missing") => Refusal::Missing,
        Some("unreachable") => Refusal::Unreachable,
        _ => Refusal::Stopping,
    }
}
