//! The server for callers over HTTP/1.1 and HTTP/2.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use decision::ticket::Ticket;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;

use crate::reply;
use crate::reply::Reply;
use crate::request::Error;
use crate::request::MAX_BODY_BYTES;
use crate::request::Request;
use crate::request::Route;

/// The time within which a caller must send a body, so that slow callers do not hold connections.
const BODY_TIMEOUT: Duration = Duration::from_millis(30_000);

/// The operations that the embedder provides to callers.
pub trait Handler: Send + Sync + 'static {
    /// Runs a request. The future is dropped when the caller disconnects, which withdraws the
    /// request.
    fn call(&self, request: Request) -> impl Future<Output = Reply> + Send;
    /// Issues this many tickets, or none while the entry is not ready.
    fn tickets(&self, count: u32) -> Vec<Ticket>;
    /// Returns whether the entry accepts new requests.
    fn ready(&self) -> bool;
    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Serves the connections of `listener` with `handler`.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
pub fn start<H: Handler>(
    spawner: &Spawner,
    listener: TcpListener,
    limits: Limits,
    handler: Arc<H>,
) -> io::Result<Server> {
    Server::start(spawner, listener, limits, move |request| {
        let handler = Arc::clone(&handler);
        async move { answer(&*handler, request).await }
    })
}

async fn answer<H: Handler>(
    handler: &H,
    request: http::Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    match Route::try_from(&head) {
        Ok(Route::Call(request)) => match read_body(body).await {
            Ok(body) => handler.call(Request { body, ..request }).await.into(),
            Err(error) => reply::error(&error),
        },
        Ok(Route::Tickets(count)) => reply::tickets(&handler.tickets(count)),
        Ok(Route::Healthy) => reply::text(StatusCode::OK, "ok\n".into()),
        Ok(Route::Ready) if handler.ready() => reply::text(StatusCode::OK, "ready\n".into()),
        Ok(Route::Ready) => reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        Ok(Route::Metrics) => reply::text(StatusCode::OK, handler.metrics()),
        Err(error) => reply::error(&error),
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(Error::BodySize);
    }
    let complete = async {
        let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
        collected.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Error::BodySize
            } else {
                Error::Body(error.to_string())
            }
        })
    };
    let timeout = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(Error::Body("timed out".into()))
    };
    Ok(complete.or(timeout).await?.to_bytes())
}
