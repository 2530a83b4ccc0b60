//! HTTP responses to callers.

use bytes::Bytes;
use decision::request::Outcome;
use decision::request::Refusal;
use decision::ticket::Ticket;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;

use crate::request;
use crate::request::TICKET;

const OUTCOME: &str = "x-outcome";
const REASON: &str = "x-reason";

/// The result of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Determines the HTTP status, the outcome and reason headers, and the body.
    pub outcome: Outcome,
    /// A ticket for the caller's next request. Absent if none was issued.
    pub ticket: Option<Ticket>,
}

impl From<Reply> for Response<Full<Bytes>> {
    fn from(reply: Reply) -> Self {
        let (status, outcome, reason, body) = response_parts(reply.outcome);
        let mut response = Self::new(Full::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        if let Some(reason) = reason {
            headers.insert(REASON, HeaderValue::from_static(reason));
        }
        if let Some(value) = reply.ticket.and_then(header) {
            headers.insert(TICKET, value);
        }
        response
    }
}

fn header(ticket: Ticket) -> Option<HeaderValue> {
    HeaderValue::try_from(ticket.to_string()).ok()
}

type Parts = (StatusCode, &'static str, Option<&'static str>, Bytes);

fn response_parts(outcome: Outcome) -> Parts {
    match outcome {
        Outcome::Answered(answer) => match StatusCode::from_u16(answer.status) {
            Ok(status) => (status, "answered", None, answer.body),
            // The target's status is not valid in HTTP. The request ran, but its answer cannot be
            // passed on.
            Err(_) => (StatusCode::BAD_GATEWAY, "unknown", None, Bytes::new()),
        },
        Outcome::Refused(refusal) => {
            let (status, reason) = refusal_status(refusal);
            (status, "refused", Some(reason), Bytes::new())
        }
        Outcome::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown", None, Bytes::new()),
    }
}

const fn refusal_status(refusal: Refusal) -> (StatusCode, &'static str) {
    match refusal {
        Refusal::TicketNeeded => (StatusCode::PRECONDITION_REQUIRED, "ticket-needed"),
        Refusal::TicketExpired => (StatusCode::PRECONDITION_REQUIRED, "ticket-expired"),
        Refusal::Late => (StatusCode::SERVICE_UNAVAILABLE, "late"),
        Refusal::Full => (StatusCode::TOO_MANY_REQUESTS, "full"),
        Refusal::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        Refusal::Missing => (StatusCode::SERVICE_UNAVAILABLE, "missing"),
        Refusal::Unreachable => (StatusCode::SERVICE_UNAVAILABLE, "unreachable"),
    }
}

/// Builds the response to a request that was not accepted and therefore did not run.
pub(crate) fn error(error: &request::Error) -> Response<Full<Bytes>> {
    let mut response = text(error.status(), format!("{error}\n"));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("refused"));
    response
}

/// Builds the response to a request for tickets, with one ticket in each line.
pub(crate) fn tickets(tickets: &[Ticket]) -> Response<Full<Bytes>> {
    let status = if tickets.is_empty() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    text(
        status,
        tickets.iter().map(|ticket| format!("{ticket}\n")).collect(),
    )
}

/// Builds a response with a plain-text body.
pub(crate) fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
