//! Checks the head of a caller's request.

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

/// The longest body in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// The most tickets fetched at once.
pub const MAX_TICKETS: u32 = 1_000;
/// The longest deadline that a caller can set, in ms.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The team of a request that names none.
const DEFAULT_TEAM: &str = "default";

/// The ticket of a request or the next one to use.
pub const TICKET: &str = "x-ticket";
const REPEATABLE: &str = "x-repeatable";
const DEADLINE: &str = "x-deadline-ms";
const TEAM: &str = "x-team";

quick_error! {
    /// Why a request is not accepted.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// There is nothing at this path.
        Path {
            display("no such path")
        }
        /// The path is used with another method.
        Method(allowed: &'static str) {
            display("use {}", allowed)
        }
        /// A part of the path is not a name.
        Name(part: &'static str, error: name::Error) {
            display("{}: {}", part, error)
        }
        /// A header occurs twice.
        Duplicate(header: &'static str) {
            display("{}: given twice", header)
        }
        /// A header is not text.
        Encoding(header: &'static str) {
            display("{}: not visible ASCII", header)
        }
        /// A header holds a value outside its range.
        Value(header: &'static str, allowed: &'static str) {
            display("{}: must be {}", header, allowed)
        }
        /// The ticket has no valid form.
        Ticket(error: ticket::Error) {
            display("{}: {}", TICKET, error)
        }
        /// The query holds something else than a valid count.
        Count {
            display("count: must be a number from 1 to {}", MAX_TICKETS)
        }
        /// The body is over the limit.
        BodySize {
            display("the body has more than {} bytes", MAX_BODY_BYTES)
        }
        /// The body broke off.
        Body(cause: String) {
            display("the body cannot be read: {}", cause)
        }
    }
}

impl Error {
    /// The HTTP status that goes with the error.
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

/// What a caller asks of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The service.
    pub service: Name,
    /// The kind.
    pub kind: Name,
    /// The team it counts against.
    pub team: Name,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Its ticket.
    pub ticket: Option<Ticket>,
    /// The time until the caller gives up; the service's default when absent.
    pub remaining: Option<Ms>,
    /// The contents.
    pub body: Bytes,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// `POST /call/<service>/<kind>`, without the body yet.
    Call(Request),
    /// `POST /ticket?count=N`.
    Tickets(u32),
    /// `GET /healthz`.
    Healthy,
    /// `GET /readyz`.
    Ready,
    /// `GET /metrics`.
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

/// A request is repeatable only when the caller says so, as the reverse mistake runs an order
/// twice.
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
