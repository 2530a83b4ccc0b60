//! Parsing and validation of the path and headers of a caller's request.

use bytes::Bytes;
use decision::clock::Ms;
use decision::name;
use decision::name::Name;
use decision::ticket;
use decision::ticket::Ticket;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use quick_error::quick_error;

/// The maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// The maximum number of tickets that a caller can request at once.
pub const MAX_TICKETS: u32 = 1_000;
/// The longest time until the deadline that a caller can set, in ms.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The team of a request without a team header.
const DEFAULT_TEAM: &str = "default";

/// The header with the ticket of a request, or with the ticket for the next request in a response.
pub const TICKET: &str = "x-ticket";
const REPEATABLE: &str = "x-repeatable";
const DEADLINE: &str = "x-deadline-ms";
const TEAM: &str = "x-team";

quick_error! {
    /// An error in a caller's request.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The path is unknown.
        Path {
            display("no such path")
        }
        /// The method is not the one that the path allows.
        Method(allowed: &'static str) {
            display("method not allowed; use {}", allowed)
        }
        /// A part of the path, or the team, is not a valid name.
        Name(part: &'static str, error: name::Error) {
            display("{}: {}", part, error)
        }
        /// A header that may occur once occurs several times.
        Duplicate(header: &'static str) {
            display("{}: given twice", header)
        }
        /// The value of a header is not visible ASCII.
        Encoding(header: &'static str) {
            display("{}: not visible ASCII", header)
        }
        /// The value of a header is not among the allowed ones.
        Value(header: &'static str, allowed: &'static str) {
            display("{}: must be {}", header, allowed)
        }
        /// The ticket header cannot be parsed.
        Ticket(error: ticket::Error) {
            display("{}: {}", TICKET, error)
        }
        /// The query is not a valid count of tickets.
        Count {
            display("count: must be a number from 1 to {}", MAX_TICKETS)
        }
        /// The body exceeds [`MAX_BODY_BYTES`].
        BodySize {
            display("the body has more than {} bytes", MAX_BODY_BYTES)
        }
        /// The body was not received completely.
        Body(cause: String) {
            display("the body cannot be read: {}", cause)
        }
    }
}

impl Error {
    /// Returns the HTTP status of the response to a request with this error.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Path => StatusCode::NOT_FOUND,
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// A validated request of a caller to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The service, from the path.
    pub service: Name,
    /// The kind of request, from the path.
    pub kind: Name,
    /// The team whose weight in the queue applies, or the default team without a header.
    pub team: Name,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The idempotency key. Absent without a header.
    pub ticket: Option<Ticket>,
    /// The time until the caller stops waiting. The service's default applies when it is absent.
    pub remaining: Option<Ms>,
    /// The request body.
    pub body: Bytes,
}

/// The endpoint that a request addresses, with its parameters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// `POST /call/<service>/<kind>` runs a request. Its body is filled in after it was received.
    Call(Request),
    /// `POST /ticket?count=N` issues tickets, one if there is no count.
    Tickets(u32),
    /// `GET /healthz` confirms that the process answers.
    Healthy,
    /// `GET /readyz` returns whether the entry accepts requests.
    Ready,
    /// `GET /metrics` returns the metrics.
    Metrics,
}

impl TryFrom<&Parts> for Route {
    type Error = Error;

    fn try_from(head: &Parts) -> Result<Self, Error> {
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        match path[..] {
            ["call", service, kind] => {
                require_method(head, &Method::POST, "POST")?;
                Ok(Self::Call(parse_call(&head.headers, service, kind)?))
            }
            ["ticket"] => {
                require_method(head, &Method::POST, "POST")?;
                Ok(Self::Tickets(parse_count(&head.uri)?))
            }
            ["healthz"] => require_get(head, Self::Healthy),
            ["readyz"] => require_get(head, Self::Ready),
            ["metrics"] => require_get(head, Self::Metrics),
            _ => Err(Error::Path),
        }
    }
}

fn require_get(head: &Parts, route: Route) -> Result<Route, Error> {
    require_method(head, &Method::GET, "GET")?;
    Ok(route)
}

fn require_method(head: &Parts, method: &Method, allowed: &'static str) -> Result<(), Error> {
    if head.method == *method {
        Ok(())
    } else {
        Err(Error::Method(allowed))
    }
}

fn parse_call(headers: &HeaderMap, service: &str, kind: &str) -> Result<Request, Error> {
    let team = header(headers, TEAM)?.unwrap_or(DEFAULT_TEAM);
    Ok(Request {
        service: parse_name("service", service)?,
        kind: parse_name("kind", kind)?,
        team: parse_name(TEAM, team)?,
        repeatable: parse_repeatable(headers)?,
        ticket: header(headers, TICKET)?
            .map(Ticket::try_from)
            .transpose()
            .map_err(Error::Ticket)?,
        remaining: parse_deadline(headers)?,
        body: Bytes::new(),
    })
}

fn parse_name(part: &'static str, raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|error| Error::Name(part, error))
}

/// Parses whether a request is repeatable. Without a header it is not: if a caller forgets the
/// header, the opposite default could run an order twice.
fn parse_repeatable(headers: &HeaderMap) -> Result<bool, Error> {
    match header(headers, REPEATABLE)? {
        Some("yes") => Ok(true),
        Some("no") | None => Ok(false),
        Some(_) => Err(Error::Value(REPEATABLE, "yes or no")),
    }
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Ms>, Error> {
    let Some(raw) = header(headers, DEADLINE)? else {
        return Ok(None);
    };
    match raw.parse() {
        Ok(ms @ 1..=MAX_DEADLINE_MS) => Ok(Some(Ms(ms))),
        _ => Err(Error::Value(DEADLINE, "a number from 1 to 3600000")),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Error> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Error::Duplicate(name));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(Error::Encoding(name)),
    }
}

fn parse_count(uri: &Uri) -> Result<u32, Error> {
    let Some(query) = uri.query() else {
        return Ok(1);
    };
    let number = query.strip_prefix("count=").ok_or(Error::Count)?;
    match number.parse() {
        Ok(count @ 1..=MAX_TICKETS) => Ok(count),
        _ => Err(Error::Count),
    }
}
