//! The gRPC client with which operators call an entry.

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Reply;
use decision::timeline::Event;
use decision::timeline::Filter;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use link::Spawner;
use quick_error::quick_error;
use schema::v1;
use schema::v1::operator_client::OperatorClient;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use tonic::Status;
use tonic::Streaming;
use tonic::body::Body;

use crate::event;
use crate::reply::Wire;
use crate::server::Timeline;
use crate::value;

quick_error! {
    /// Why a call got no result.
    #[derive(Debug)]
    pub enum Error {
        /// The entry cannot be reached.
        Connect(entry: SocketAddr, cause: String) {
            display("{}: {}", entry, cause)
        }
        /// The entry rejected the call, or the connection failed during it.
        Status(status: Box<Status>) {
            display("{:?}: {}", status.code(), status.message())
        }
        /// The answer cannot be decoded.
        Answer(error: value::Error) {
            from()
            display("answer: {}", error)
        }
        /// There was no answer within the time limit. A change may or may not take effect.
        Timeout {
            display("no answer in time")
        }
    }
}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// An HTTP/2 connection in the form of a tower service.
#[derive(Clone)]
struct Channel(http2::SendRequest<Body>);

impl tower_service::Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

/// A client with one connection to an entry.
pub struct Client {
    inner: OperatorClient<Channel>,
    limit: Duration,
    _driver: smol::Task<()>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Connects to an entry. Connecting and each later call take at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot be reached within `limit`.
    pub async fn connect(
        spawner: &Spawner,
        entry: SocketAddr,
        limit: Duration,
    ) -> Result<Self, Error> {
        let failed = |cause: String| Error::Connect(entry, cause);
        let connected = async {
            let stream = TcpStream::connect(entry).await;
            let stream = stream.map_err(|error| failed(error.to_string()))?;
            let executor = SmolExecutor::new(Arc::clone(spawner));
            let handshake = http2::handshake(executor, FuturesIo::new(stream)).await;
            handshake.map_err(|error| failed(error.to_string()))
        };
        let (sender, driver) = with_timeout(limit, connected).await?;
        let driver = spawner.spawn(async move {
            // A call in flight gets the error of the connection from its sender.
            drop(driver.await);
        });
        let origin =
            Uri::try_from(format!("http://{entry}")).map_err(|error| failed(error.to_string()))?;
        Ok(Self {
            inner: OperatorClient::with_origin(Channel(sender), origin),
            limit,
            _driver: driver,
        })
    }

    /// Makes a call and returns its result.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no result. A change may then have taken effect; repeating the
    /// call with the same id has no further effect.
    pub async fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let limit = self.limit;
        with_timeout(limit, self.send(call)).await
    }

    /// Returns recent events of all entries, or only of this one if `local` is set.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer or it cannot be decoded.
    pub async fn timeline(&mut self, filter: &Filter, local: bool) -> Result<Timeline, Error> {
        let filter = Some(event::encode_filter(filter));
        let request = v1::TimelineRequest { filter, local };
        let response = async { Ok(self.inner.timeline(request).await?.into_inner()) };
        let reply = with_timeout(self.limit, response).await?;
        let events = reply.events.into_iter().map(event::decode_event);
        Ok(Timeline {
            events: events.collect::<Result<_, _>>()?,
            missing: reply.missing,
        })
    }

    /// Starts a stream of the future events of this entry.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no answer or it cannot be decoded.
    pub async fn watch(&mut self, filter: &Filter) -> Result<Watch, Error> {
        let filter = Some(event::encode_filter(filter));
        let response = async { Ok(self.inner.watch(v1::WatchRequest { filter }).await?) };
        let response = with_timeout(self.limit, response).await?;
        Ok(Watch(response.into_inner()))
    }

    async fn send(&mut self, call: &Call) -> Result<Reply, Error> {
        let inner = &mut self.inner;
        let id = call.id.to_string();
        let reply = match &call.action {
            Action::Submit(job) => {
                let job = Some(value::encode_job(job));
                let request = v1::SubmitRequest { call: id, job };
                Reply::try_from(Wire(inner.submit(request).await?.into_inner()))
            }
            Action::Cancel { job } => {
                let job = job.to_string();
                let request = v1::CancelRequest { call: id, job };
                Reply::try_from(Wire(inner.cancel(request).await?.into_inner()))
            }
            Action::Drain { vm, leave } => {
                let (vm, leave) = (vm.to_string(), *leave);
                let request = v1::DrainRequest {
                    call: id,
                    vm,
                    leave,
                };
                Reply::try_from(Wire(inner.drain(request).await?.into_inner()))
            }
            Action::Reconfigure {
                expected,
                document,
                dry_run,
            } => {
                let request = v1::ReconfigureRequest {
                    call: id,
                    expected: expected.0,
                    document: Some(value::encode_document(document)),
                    dry_run: *dry_run,
                };
                Reply::try_from(Wire(inner.reconfigure(request).await?.into_inner()))
            }
            Action::Status { job } => {
                let job = job.as_ref().map(ToString::to_string).unwrap_or_default();
                let request = v1::StatusRequest { job };
                Reply::try_from(Wire(inner.status(request).await?.into_inner()))
            }
        };
        Ok(reply?)
    }
}

/// A stream of future events of an entry.
#[derive(Debug)]
pub struct Watch(Streaming<v1::Event>);

impl Watch {
    /// Waits for the next event; `None` means that the entry ended the stream.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection broke or an event cannot be decoded.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        match self.0.message().await? {
            Some(raw) => Ok(Some(event::decode_event(raw)?)),
            None => Ok(None),
        }
    }
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let timeout = async {
        Timer::after(limit).await;
        Err(Error::Timeout)
    };
    work.or(timeout).await
}
