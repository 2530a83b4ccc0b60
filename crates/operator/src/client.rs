//! Calls an entry on behalf of an operator.

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
use crate::reply::Raw;
use crate::server::Timeline;
use crate::value;

quick_error! {
    /// Why a call has no result.
    #[derive(Debug)]
    pub enum Error {
        /// The entry cannot be reached.
        Connect(entry: SocketAddr, cause: String) {
            display("{}: {}", entry, cause)
        }
        /// The entry refused the call or did not answer.
        Status(status: Box<Status>) {
            display("{:?}: {}", status.code(), status.message())
        }
        /// The answer has no meaning here.
        Answer(error: value::Error) {
            from()
            display("answer: {}", error)
        }
        /// There was no answer in time; a change may or may not take effect.
        Late {
            display("no answer in time")
        }
    }
}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        Self::Status(Box::new(status))
    }
}

/// An HTTP/2 connection as a service of requests.
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

/// A connection to an entry.
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
    /// Connects to an entry. Connecting and each call take at most `limit`.
    ///
    /// # Errors
    ///
    /// When the entry cannot be reached.
    pub async fn connect(
        spawner: &Spawner,
        entry: SocketAddr,
        limit: Duration,
    ) -> Result<Self, Error> {
        let failed = |cause: String| Error::Connect(entry, cause);
        let opened = async {
            let stream = TcpStream::connect(entry).await;
            let stream = stream.map_err(|error| failed(error.to_string()))?;
            let executor = SmolExecutor::new(Arc::clone(spawner));
            let shaken = http2::handshake(executor, FuturesIo::new(stream)).await;
            shaken.map_err(|error| failed(error.to_string()))
        };
        let (sender, driver) = within(limit, opened).await?;
        let driver = spawner.spawn(async move {
            // The call in flight gets the same error from its sender.
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

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// When there is no result; a change may then have taken effect, and is harmless to repeat
    /// with the same id.
    pub async fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let limit = self.limit;
        within(limit, self.send(call)).await
    }

    /// Recent events of the entry, or of all entries.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn timeline(&mut self, filter: &Filter, local: bool) -> Result<Timeline, Error> {
        let filter = Some(event::raw_filter(filter));
        let request = v1::TimelineRequest { filter, local };
        let asked = async { Ok(self.inner.timeline(request).await?.into_inner()) };
        let reply = within(self.limit, asked).await?;
        let events = reply.events.into_iter().map(event::event);
        Ok(Timeline {
            events: events.collect::<Result<_, _>>()?,
            missing: reply.missing,
        })
    }

    /// Events of the entry as they happen.
    ///
    /// # Errors
    ///
    /// When there is no answer.
    pub async fn watch(&mut self, filter: &Filter) -> Result<Watch, Error> {
        let filter = Some(event::raw_filter(filter));
        let asked = async { Ok(self.inner.watch(v1::WatchRequest { filter }).await?) };
        let response = within(self.limit, asked).await?;
        Ok(Watch(response.into_inner()))
    }

    async fn send(&mut self, call: &Call) -> Result<Reply, Error> {
        let inner = &mut self.inner;
        let id = call.id.to_string();
        let reply = match &call.action {
            Action::Submit(job) => {
                let job = Some(value::raw_job(job));
                let request = v1::SubmitRequest { call: id, job };
                Reply::try_from(Raw(inner.submit(request).await?.into_inner()))
            }
            Action::Cancel { job } => {
                let job = job.to_string();
                let request = v1::CancelRequest { call: id, job };
                Reply::try_from(Raw(inner.cancel(request).await?.into_inner()))
            }
            Action::Drain { vm, leave } => {
                let (vm, leave) = (vm.to_string(), *leave);
                let request = v1::DrainRequest {
                    call: id,
                    vm,
                    leave,
                };
                Reply::try_from(Raw(inner.drain(request).await?.into_inner()))
            }
            Action::Reconfigure {
                expected,
                document,
                dry_run,
            } => {
                let request = v1::ReconfigureRequest {
                    call: id,
                    expected: expected.0,
                    document: Some(value::raw_document(document)),
                    dry_run: *dry_run,
                };
                Reply::try_from(Raw(inner.reconfigure(request).await?.into_inner()))
            }
            Action::Status { job } => {
                let job = job.as_ref().map(ToString::to_string).unwrap_or_default();
                let request = v1::StatusRequest { job };
                Reply::try_from(Raw(inner.status(request).await?.into_inner()))
            }
        };
        Ok(reply?)
    }
}

/// A stream of events.
#[derive(Debug)]
pub struct Watch(Streaming<v1::Event>);

impl Watch {
    /// The next event, or none when the entry ended the stream.
    ///
    /// # Errors
    ///
    /// When the connection broke.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        match self.0.message().await? {
            Some(raw) => Ok(Some(event::event(raw)?)),
            None => Ok(None),
        }
    }
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let late = async {
        Timer::after(limit).await;
        Err(Error::Late)
    };
    work.or(late).await
}
