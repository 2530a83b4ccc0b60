//! One HTTP request and its whole response, over a connection of its own.

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

const MAX_BYTES: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why no usable response came.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was established, so the service saw nothing.
        Connect(address: SocketAddr, cause: std::io::Error) {
            display("cannot connect to {}: {}", address, cause)
            source(cause)
        }
        /// The connection broke, or the response is unusable.
        Broken(address: SocketAddr, cause: String) {
            display("no usable response from {}: {}", address, cause)
        }
        /// The service itself says that the request had no effect.
        Unavailable(address: SocketAddr) {
            display("{} is unavailable", address)
        }
        /// No response came in time.
        Timeout(address: SocketAddr) {
            display("{} did not respond in time", address)
        }
    }
}

impl Error {
    /// Whether the request certainly had no effect.
    #[must_use]
    pub const fn is_harmless(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::Unavailable(..))
    }
}

/// Sends one request and reads the whole response.
///
/// Each request uses a new connection: control traffic is a few requests a second, and a
/// connection that went silent between two requests cannot delay the next one.
///
/// # Errors
///
/// Tells whether the service may have acted on the request.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Ms,
) -> Result<Bytes, Error> {
    let expire = async {
        Timer::after(Duration::from_millis(timeout.0)).await;
        Err(Error::Timeout(address))
    };
    future::or(converse(address, method, path, body), expire).await
}

async fn converse(
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
    let respond = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|cause| broken(&cause))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BYTES)
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
        // The response may already be complete in memory when the connection closes.
        future::yield_now().await;
        Err(Error::Broken(
            address,
            format!("connection ended: {ended:?}"),
        ))
    };
    future::or(respond, drive).await
}
