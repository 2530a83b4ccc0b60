//! The client that sends attempts of requests to targets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::name::Name;
use decision::request::Answer;
use decision::request::Ending;
use decision::worker::Epoch;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use link::pool;
use link::pool::Pool;

use crate::EPOCH;
use crate::OUTCOME;
use crate::REFUSED;
use crate::REQUEST;

/// The id of an attempt, which is never reused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Id {
    /// The entry that sends the attempt.
    pub entry: Name,
    /// The process of the entry that sends the attempt.
    pub incarnation: u64,
    /// The number of the attempt within the process.
    pub attempt: u64,
}

impl std::fmt::Display for Id {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{:x}/{}", self.entry, self.incarnation, self.attempt)
    }
}

/// One attempt of a request at a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifies the attempt. The target returns it with its answer.
    pub id: Id,
    /// The epoch of the target's owner.
    pub epoch: Epoch,
    /// The service that the request is addressed to.
    pub service: Name,
    /// The kind of request within the service.
    pub kind: Name,
    /// The request body.
    pub body: Bytes,
}

/// Sends attempts. Each uses a connection exclusively while it is in progress.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(limits: pool::Limits) -> Self {
        Self {
            pool: Pool::new(limits),
        }
    }

    /// Runs an attempt. Only connecting is limited, to `limit`. The embedder drops the future when
    /// the answer is late, which closes the connection.
    pub async fn run(&self, to: SocketAddr, attempt: Attempt, limit: Duration) -> Ending {
        let id = attempt.id.to_string();
        let Ok(request) = build_request(attempt, &id) else {
            return Ending::NotRun;
        };
        match self.pool.send_untimed(to, request, limit).await {
            Ok(response) => classify(response, &id),
            Err(pool::Error::Unsent(_)) => Ending::NotRun,
            Err(pool::Error::Broken(_)) => Ending::Unknown,
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.pool.clear();
    }
}

fn build_request(attempt: Attempt, id: &str) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::post(format!("/run/{}/{}", attempt.service, attempt.kind))
        .header(http::header::HOST, "target")
        .header(REQUEST, id)
        .header(EPOCH, attempt.epoch.to_string())
        .body(Full::new(attempt.body))
}

/// Determines the ending of an attempt from the answer. A refusal may lack the id, because a target
/// can refuse before it reads the request. An answer with the id of another attempt says nothing
/// about this one.
fn classify(response: Response<Bytes>, id: &str) -> Ending {
    let header = |name| {
        let value = response.headers().get(name)?;
        Some(value.as_bytes())
    };
    let answered_id = header(REQUEST);
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header(OUTCOME) == Some(REFUSED.as_bytes());
    if refused && answered_id.is_none_or(|answered_id| answered_id == id.as_bytes()) {
        return Ending::NotRun;
    }
    if answered_id != Some(id.as_bytes()) {
        return Ending::Unknown;
    }
    Ending::Answered(Answer {
        status: response.status().as_u16(),
        body: response.into_body(),
    })
}
