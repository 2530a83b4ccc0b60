//! A small HTTP server for the stand-ins.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Task;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// The handler of complete requests.
pub trait Handle: Send + Sync + 'static {
    /// Answers one request. Returns `None` to close the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Full<Bytes>>>> + Send;
}

/// A running server, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _task: Task<()>,
}

impl Server {
    /// Starts a server on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start<H: Handle>(handler: Arc<H>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = smol::spawn(accept(listener, handler));
        Ok(Self {
            address,
            _task: task,
        })
    }

    /// Returns the address at which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H: Handle>(listener: TcpListener, handler: Arc<H>) {
    let mut connections: Vec<Task<()>> = Vec::new();
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            connections.retain(|task| !task.is_finished());
            connections.push(smol::spawn(serve_connection(stream, Arc::clone(&handler))));
        }
    }
}

async fn serve_connection<H: Handle>(stream: TcpStream, handler: Arc<H>) {
    let service = service_fn(move |request| answer(Arc::clone(&handler), request));
    let connection = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
    // A client that disconnects ends its connection with an error, which affects no other one.
    drop(connection.await);
}

/// Answers one request. An error closes the connection without an answer.
async fn answer<H: Handle>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let request = Request::from_parts(head, body);
    handler
        .handle(request)
        .await
        .ok_or_else(|| std::io::Error::other("closed on purpose"))
}

/// Builds a response with this status and body.
#[must_use]
pub fn respond(status: StatusCode, body: impl Into<Bytes>) -> Option<Response<Full<Bytes>>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    Some(response)
}
