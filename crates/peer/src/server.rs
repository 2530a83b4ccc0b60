//! The server that answers frames of other entries.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use smol::net::TcpListener;

use crate::frame;
use crate::frame::Frame;

/// The operation that the embedder provides to other entries.
pub trait Handler: Send + Sync + 'static {
    /// Returns the answer to a frame. The future is dropped when the sending entry disconnects.
    fn handle(&self, frame: Frame) -> impl Future<Output = Frame> + Send;
}

/// Serves the connections of `listener` with `handler`.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
pub fn start<H: Handler>(
    spawner: &Spawner,
    listener: TcpListener,
    handler: Arc<H>,
) -> io::Result<Server> {
    Server::start(spawner, listener, Limits::default(), move |request| {
        let handler = Arc::clone(&handler);
        async move { answer(&*handler, request).await }
    })
}

async fn answer<H: Handler>(handler: &H, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.method() != Method::POST || request.uri().path() != "/peer" {
        return respond(StatusCode::NOT_FOUND, Vec::new());
    }
    let frame = match read_frame(request).await {
        Ok(frame) => frame,
        Err(error) => return refuse(&error),
    };
    match frame::encode(&handler.handle(frame).await) {
        Ok(bytes) => respond(StatusCode::OK, bytes),
        Err(error) => refuse(&error),
    }
}

async fn read_frame(request: Request<Incoming>) -> Result<Frame, frame::Error> {
    let body = Limited::new(request.into_body(), frame::MAX_BYTES);
    let body = body.collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            frame::Error::Long(frame::MAX_BYTES + 1)
        } else {
            frame::Error::Contents(error.to_string())
        }
    })?;
    frame::decode(&body.to_bytes())
}

fn refuse(error: &frame::Error) -> Response<Full<Bytes>> {
    let reason = rmp_serde::to_vec(error).expect("an error of numbers and text is encodable");
    respond(StatusCode::BAD_REQUEST, reason)
}

fn respond(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
