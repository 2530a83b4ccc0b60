//! A client pool of HTTP/1.1 connections that tells requests never sent from requests that may
//! have arrived.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use quick_error::quick_error;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::Spawner;

/// The least time between the end of connecting and that of the whole request.
const TURN: Duration = Duration::from_millis(1);

quick_error! {
    /// Why a request got no whole answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was established or nothing was written, so the request did not arrive.
        Unsent(cause: String) {
            display("not sent: {}", cause)
        }
        /// The connection was established: the request may have arrived.
        Broken(cause: String) {
            display("no whole answer: {}", cause)
        }
    }
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time to establish a connection.
    pub connect: Duration,
    /// A connection that was idle for longer is closed instead of reused, as it may have gone
    /// silent without notice.
    pub idle: Duration,
    /// Idle connections kept for each address.
    pub kept: usize,
    /// The longest answer in bytes.
    pub answer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_000),
            idle: Duration::from_millis(1_000),
            kept: 9,
            answer: 8 << 20,
        }
    }
}

/// A connection with its driver; dropping it closes the socket.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: smol::Task<()>,
    since: Instant,
}

/// Connections by address. Each request has its connection to itself.
pub struct Pool {
    spawner: Spawner,
    limits: Limits,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// An empty pool whose connections run on `spawner`.
    #[must_use]
    pub fn new(spawner: &Spawner, limits: Limits) -> Self {
        Self {
            spawner: Arc::clone(spawner),
            limits,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads the whole answer within `limit`. Dropping the future closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] only when the request cannot have arrived.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let end = Instant::now() + limit;
        let late = async {
            // Connecting ends a little earlier by itself, as an error of another kind.
            Timer::at(end + TURN).await;
            Err(Error::Broken(format!("{to}: timed out")))
        };
        self.send_untimed(to, request, limit).or(late).await
    }

    /// Like [`Self::send`], but only connecting is limited in time: the embedder drops the future
    /// when the answer is late. A timer for each request would cost two system calls.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] only when the request cannot have arrived.
    pub async fn send_untimed(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let mut request = request;
        while let Some(connection) = self.reuse(to) {
            match self.exchange(to, connection, request).await {
                Exchange::Ended(result) => return result,
                Exchange::Returned(message) => request = message,
            }
        }
        let connection = self.connect(to, limit).await?;
        match self.exchange(to, connection, request).await {
            Exchange::Ended(result) => result,
            Exchange::Returned(_) => Err(Error::Unsent("the connection closed".into())),
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().expect("no holder of this lock panics")
    }

    fn reuse(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&to)?;
        let found = loop {
            match list.pop() {
                Some(connection) if self.usable(&connection) => break Some(connection),
                Some(_) => {}
                None => break None,
            }
        };
        if list.is_empty() {
            idle.remove(&to);
        }
        found
    }

    fn usable(&self, connection: &Connection) -> bool {
        connection.since.elapsed() <= self.limits.idle && connection.sender.is_ready()
    }

    fn keep(&self, to: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(to).or_default();
        let oldest = self.limits.idle;
        list.retain(|other| other.since.elapsed() <= oldest && !other.sender.is_closed());
        if list.len() < self.limits.kept {
            list.push(connection);
        }
    }

    async fn connect(&self, to: SocketAddr, limit: Duration) -> Result<Connection, Error> {
        let limit = limit.min(self.limits.connect);
        let opened = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let late = async {
            Timer::after(limit).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = opened
            .or(late)
            .await
            .map_err(|error: std::io::Error| Error::Unsent(format!("{to}: {error}")))?;
        let (sender, driver) = Builder::new()
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| Error::Unsent(format!("{to}: {error}")))?;
        let driver = self.spawner.spawn(async move {
            // The request in flight gets the same error from its sender.
            drop(driver.await);
        });
        Ok(Connection {
            sender,
            _driver: driver,
            since: Instant::now(),
        })
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Exchange {
        let ended = match connection.sender.try_send_request(request).await {
            Ok(response) => Exchange::Ended(self.read(to, response).await),
            Err(mut error) => match error.take_message() {
                Some(message) => Exchange::Returned(message),
                None => Exchange::Ended(Err(broken(to, &error.into_error()))),
            },
        };
        if let Exchange::Ended(Ok(_)) = &ended {
            connection.since = Instant::now();
            self.keep(to, connection);
        }
        ended
    }

    /// Reads the body. A body that ends with the connection cannot be told from a truncated one
    /// and is refused.
    async fn read(
        &self,
        to: SocketAddr,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, Error> {
        let (head, body) = response.into_parts();
        if body.size_hint().exact().is_none() {
            return Err(Error::Broken(format!("{to}: the answer has no length")));
        }
        let body = Limited::new(body, self.limits.answer)
            .collect()
            .await
            .map_err(|error| Error::Broken(format!("{to}: {error}")))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// How the use of one connection went.
enum Exchange {
    /// The request was written.
    Ended(Result<Response<Bytes>, Error>),
    /// The connection was closed before anything was written.
    Returned(Request<Full<Bytes>>),
}

fn broken(to: SocketAddr, error: &hyper::Error) -> Error {
    Error::Broken(format!("{to}: {error}"))
}
