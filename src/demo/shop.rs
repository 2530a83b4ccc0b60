//! Callers of a demo: shop orders that must not be repeated and lamp previews that may be.

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

const DEADLINE: Ms = Ms(2_000);
/// A caller waits this much longer than its deadline, as the answer has to travel.
const GRACE: Ms = Ms(1_000);
const SENDINGS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(20);

/// An entry as a caller reaches it through the load balancer.
#[derive(Clone, Debug)]
pub struct Door {
    /// The entry.
    pub entry: Name,
    /// Where it listens for callers.
    pub address: SocketAddr,
}

/// What all callers share.
#[derive(Debug)]
pub struct Shop {
    /// Entries in service. The load balancer takes an entry out when it is no longer ready.
    pub doors: Mutex<Vec<Door>>,
    /// The time axis.
    pub platform: Arc<Platform>,
    /// What callers saw.
    pub recorder: Arc<Recorder>,
    /// Connections of all callers.
    pub pool: Pool,
    /// Distinguishes the bodies of runs.
    pub seed: u64,
}

/// One request through all its sendings.
struct Order {
    number: u64,
    repeatable: bool,
    body: Bytes,
    ticket: Option<String>,
}

impl Shop {
    /// Sends requests one after the other until `end`.
    pub async fn visit(self: Arc<Self>, caller: u64, end: Ms) {
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
            ticket = self.pursue(order).await.or(ticket);
            count += 1;
        }
    }

    /// Sends a request until it has an answer, at most [`SENDINGS`] times. Returns a ticket for
    /// the next request.
    async fn pursue(&self, mut order: Order) -> Option<String> {
        for sending in 0..SENDINGS {
            let door = self.door(order.number + u64::from(sending))?;
            if !order.repeatable && order.ticket.is_none() {
                order.ticket = self.fetch(&door).await;
                if order.ticket.is_none() {
                    Timer::after(PAUSE).await;
                    continue;
                }
            }
            let (outcome, next) = self.send(&order, sending, &door).await;
            match outcome {
                Some(Outcome::Answered(_)) => return next,
                Some(Outcome::Refused(Refusal::TicketNeeded | Refusal::TicketExpired)) => {
                    order.ticket = next;
                }
                _ => {}
            }
            Timer::after(PAUSE).await;
        }
        None
    }

    fn door(&self, turn: u64) -> Option<Door> {
        let doors = self.doors.lock().expect("no holder of the entries panics");
        let index = turn.checked_rem(doors.len() as u64)?;
        doors.get(index as usize).cloned()
    }

    async fn fetch(&self, door: &Door) -> Option<String> {
        let request = Request::post("/ticket?count=1")
            .body(Full::default())
            .ok()?;
        let limit = Duration::from_millis(DEADLINE.0);
        let response = self.pool.send(door.address, request, limit).await.ok()?;
        let text = std::str::from_utf8(response.body()).ok()?;
        text.lines().next().map(str::to_owned)
    }

    async fn send(
        &self,
        order: &Order,
        sending: u32,
        door: &Door,
    ) -> (Option<Outcome>, Option<String>) {
        let sent = Fact::Sent {
            request: order.number,
            sending,
            entry: door.entry.clone(),
            repeatable: order.repeatable,
            deadline: DEADLINE,
            body: order.body.clone(),
        };
        self.recorder.push(self.platform.now(), sent);
        let limit = Duration::from_millis((DEADLINE + GRACE).0);
        let response = match request(order) {
            Ok(request) => self.pool.send(door.address, request, limit).await,
            Err(error) => Err(Error::Unsent(error.to_string().into())),
        };
        let ticket = response
            .as_ref()
            .ok()
            .and_then(|found| header(found.headers(), "x-ticket"));
        let outcome = response.ok().and_then(interpret);
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
        .header("x-deadline-ms", DEADLINE.0)
        .header("x-team", "shop");
    if let Some(ticket) = &order.ticket {
        builder = builder.header("x-ticket", ticket);
    }
    builder.body(Full::new(order.body.clone()))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn interpret(response: Response<Bytes>) -> Option<Outcome> {
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
