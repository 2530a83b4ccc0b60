//! A client pool of HTTP/1.1 connections, which distinguishes requests that were not sent from
//! requests that may have arrived.

use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use quick_error::quick_error;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// The time by which the timeout of a request exceeds that of connecting, so that a connection that
/// is not established in time is reported as [`Error::Unsent`].
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1);

quick_error! {
    /// An error of a request that got no complete answer.
    #[derive(Debug)]
    pub enum Error {
        /// The request did not arrive, because no connection was established or nothing was
        /// written.
        Unsent(cause: Cause) {
            display("not sent: {}", cause)
        }
        /// The request may have arrived, because the connection was established.
        Broken(cause: String) {
            display("no complete answer: {}", cause)
        }
    }
}

/// The reason why a request was not sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cause {
    text: String,
    is_refused: bool,
}

impl Cause {
    /// Returns whether the connection was refused because no process listens at the address.
    #[must_use]
    pub const fn is_refused(&self) -> bool {
        self.is_refused
    }
}

impl From<String> for Cause {
    fn from(text: String) -> Self {
        Self {
            text,
            is_refused: false,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// The limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// A connection that was idle for longer is closed instead of reused, because it may have been
    /// lost without notice.
    pub idle_timeout: Duration,
    /// The maximum number of idle connections for each address.
    pub max_idle: usize,
    /// The maximum size of an answer body in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_000),
            idle_timeout: Duration::from_millis(1_000),
            max_idle: 9,
            max_answer_bytes: 8 << 20,
        }
    }
}

/// A connection with its driver. Dropping it closes the socket. The driver runs within the request
/// in progress, which saves two task switches for each request.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>,
    idle_since: Instant,
}

impl Connection {
    /// Returns whether a request can be sent, because the server has not closed the connection.
    fn is_open(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        Pin::new(&mut self.driver).poll(&mut context).is_pending() && self.sender.is_ready()
    }
}

/// Idle connections by address. Each request uses a connection exclusively.
pub struct Pool {
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
    /// Creates an empty pool.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
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
        let timeout = async {
            // Connecting times out slightly earlier, with an error of another kind.
            Timer::at(end + TIMEOUT_MARGIN).await;
            Err(Error::Broken(format!("{to}: timed out")))
        };
        self.send_untimed(to, request, limit).or(timeout).await
    }

    /// Sends a request like [`Self::send`], but limits only the time to connect. The embedder drops
    /// the future when the answer is late, because a timer for each request would cost two system
    /// calls.
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
            Exchange::Returned(_) => Err(Error::Unsent(Cause::from(
                "the connection closed".to_owned(),
            ))),
        }
    }

    /// Closes the idle connections to an address. It is called when they may have been lost.
    pub fn close_idle(&self, to: SocketAddr) {
        self.lock().remove(&to);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().expect("no holder of this lock panics")
    }

    /// Closes connections that have been idle for too long to be reused.
    pub fn sweep(&self) {
        self.lock().retain(|_, list| {
            list.retain(|connection| connection.idle_since.elapsed() <= self.limits.idle_timeout);
            !list.is_empty()
        });
    }

    fn reuse(&self, to: SocketAddr) -> Option<Connection> {
        loop {
            // The lock is released before the connection is checked, because that reads the socket.
            let mut connection = self.lock().get_mut(&to)?.pop()?;
            if connection.idle_since.elapsed() <= self.limits.idle_timeout && connection.is_open() {
                return Some(connection);
            }
        }
    }

    fn put_back(&self, to: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(to).or_default();
        if list.len() < self.limits.max_idle {
            list.push(connection);
        }
    }

    async fn connect(&self, to: SocketAddr, limit: Duration) -> Result<Connection, Error> {
        let limit = limit.min(self.limits.connect_timeout);
        let opened = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let timeout = async {
            Timer::after(limit).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = opened.or(timeout).await.map_err(|error: std::io::Error| {
            Error::Unsent(Cause {
                text: format!("{to}: {error}"),
                is_refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
            })
        })?;
        let (sender, driver) = Builder::new()
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| Error::Unsent(Cause::from(format!("{to}: {error}"))))?;
        Ok(Connection {
            sender,
            driver,
            idle_since: Instant::now(),
        })
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Exchange {
        let Connection { sender, driver, .. } = &mut connection;
        let answer = async {
            match sender.try_send_request(request).await {
                Ok(response) => Exchange::Ended(self.read_body(to, response).await),
                Err(mut error) => match error.take_message() {
                    Some(message) => Exchange::Returned(message),
                    None => Exchange::Ended(Err(broken(to, &error.into_error()))),
                },
            }
        };
        let ended = drive(driver, answer).await;
        if let Exchange::Ended(Ok(_)) = &ended {
            connection.idle_since = Instant::now();
            self.put_back(to, connection);
        }
        ended
    }

    /// Reads the body of an answer. An answer without a length is rejected, because a truncated
    /// body could not be recognised.
    async fn read_body(
        &self,
        to: SocketAddr,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, Error> {
        let (head, body) = response.into_parts();
        if body.size_hint().exact().is_none() {
            return Err(Error::Broken(format!("{to}: the answer has no length")));
        }
        let body = Limited::new(body, self.limits.max_answer_bytes)
            .collect()
            .await
            .map_err(|error| Error::Broken(format!("{to}: {error}")))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Polls a connection until the answer is complete. When the connection ends, the answer ends with
/// the same error.
async fn drive<T>(
    driver: &mut http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>,
    answer: impl Future<Output = T>,
) -> T {
    let mut answer = pin!(answer);
    let mut driver = Some(driver);
    poll_fn(|context| {
        if let Poll::Ready(answer) = answer.as_mut().poll(context) {
            return Poll::Ready(answer);
        }
        let polled = driver.as_mut().map(|driver| Pin::new(driver).poll(context));
        if polled.is_some_and(|polled| polled.is_ready()) {
            driver = None;
        }
        answer.as_mut().poll(context)
    })
    .await
}

/// The result of sending a request on one connection.
enum Exchange {
    /// The request was written, at least in part.
    Ended(Result<Response<Bytes>, Error>),
    /// The connection was closed before anything was written.
    Returned(Request<Full<Bytes>>),
}

fn broken(to: SocketAddr, error: &hyper::Error) -> Error {
    Error::Broken(format!("{to}: {error}"))
}
