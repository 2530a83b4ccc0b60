//! A single HTTP request and its complete response, over a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use decision::clock::Ms;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use quick_error::quick_error;
use smol::Timer;
use smol::future;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// The longest response body that is accepted.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why there is no usable response.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was established, so the service has not received the request.
        Connect(address: SocketAddr, cause: std::io::Error) {
            display("cannot connect to {}: {}", address, cause)
            source(cause)
        }
        /// The connection broke, or the response cannot be used.
        Broken(address: SocketAddr, cause: String) {
            display("no usable response from {}: {}", address, cause)
        }
        /// The service responded that the request had no effect.
        Unavailable(address: SocketAddr) {
            display("{} is unavailable", address)
        }
        /// There was no response within the time limit.
        Timeout(address: SocketAddr) {
            display("{} did not respond in time", address)
        }
    }
}

impl Error {
    /// Whether the request certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Unavailable(..))
    }
}

/// Sends one request and reads the complete response.
///
/// Each request uses a new connection, so that a connection that broke between two requests cannot
/// delay the next one. The cost is low, because control traffic is a few requests a second.
///
/// # Errors
///
/// Returns an error when there is no usable response. [`Error::had_no_effect`] returns whether the
/// service certainly did not act on the request.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Ms,
) -> Result<Bytes, Error> {
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout.0)).await;
        Err(Error::Timeout(address))
    };
    future::or(send_and_receive(address, method, path, body), timed_out).await
}

async fn send_and_receive(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|cause| Error::Connect(address, cause))?;
    let broken = |cause: &dyn std::error::Error| Error::Broken(address, cause.to_string());
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|cause| broken(&cause))?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|cause| broken(&cause))?;
    let receive = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|cause| broken(&cause))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|cause| broken(cause.as_ref()))?.to_bytes();
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable(address)),
            other => Err(Error::Broken(address, format!("status {other}"))),
        }
    };
    let drive = async {
        let ended = connection.await;
        // The response may already be complete when the connection closes, so the other future is
        // polled once more before this one fails.
        future::yield_now().await;
        Err(Error::Broken(
            address,
            format!("connection ended: {ended:?}"),
        ))
    };
    future::or(receive, drive).await
}
