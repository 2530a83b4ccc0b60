//! Answers operators.

use std::io;
use std::pin::Pin;
use std::sync::Arc;

use decision::operator::Call;
use decision::operator::Reply;
use decision::timeline::Event;
use decision::timeline::Filter;
use futures_lite::Stream;
use futures_lite::StreamExt;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use schema::v1;
use schema::v1::operator_server::Operator;
use schema::v1::operator_server::OperatorServer;
use smol::channel::Receiver;
use smol::net::TcpListener;
use tonic::Request;
use tonic::Status;
use tower_service::Service;

use crate::call::Checked;
use crate::event;
use crate::reply::Raw;
use crate::value::Error;

/// Recent events of all entries that answered.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The events in causal order.
    pub events: Vec<Event>,
    /// The addresses of entries that did not answer.
    pub missing: Vec<String>,
}

/// What the embedder does for operators.
pub trait Handler: Send + Sync + 'static {
    /// Carries out a call.
    fn call(&self, call: Call) -> impl Future<Output = Reply> + Send;
    /// Streams events of this entry as they happen.
    fn watch(&self, filter: Filter) -> Receiver<Event>;
    /// Recent events of this entry, or of all.
    fn timeline(&self, filter: Filter, local: bool) -> impl Future<Output = Timeline> + Send;
}

/// Serves `listener` with `handler`.
///
/// # Errors
///
/// When the listener has no local address.
pub fn start<H: Handler>(
    spawner: &Spawner,
    listener: TcpListener,
    handler: Arc<H>,
) -> io::Result<Server> {
    let service = OperatorServer::new(Adapter(handler));
    // A stream of events may be silent for long; pings find clients that went away.
    let limits = Limits {
        idle_timeout: None,
        ..Limits::default()
    };
    Server::start(spawner, listener, limits, move |request| {
        let mut service = service.clone();
        async move {
            match service.call(request).await {
                Ok(response) => response,
                Err(never) => match never {},
            }
        }
    })
}

struct Adapter<H>(Arc<H>);

type Answer<T> = Result<tonic::Response<T>, Status>;

impl<H: Handler> Adapter<H> {
    async fn run<C: Checked, R>(&self, request: Request<C>) -> Answer<R>
    where
        Raw<R>: From<Reply>,
    {
        let call = request.into_inner().check().map_err(invalid)?;
        let Raw(reply) = self.0.call(call).await.into();
        Ok(tonic::Response::new(reply))
    }
}

fn invalid(error: Error) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl<H: Handler> Operator for Adapter<H> {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<v1::Event, Status>> + Send>>;

    async fn submit(&self, request: Request<v1::SubmitRequest>) -> Answer<v1::SubmitReply> {
        self.run(request).await
    }

    async fn cancel(&self, request: Request<v1::CancelRequest>) -> Answer<v1::CancelReply> {
        self.run(request).await
    }

    async fn drain(&self, request: Request<v1::DrainRequest>) -> Answer<v1::DrainReply> {
        self.run(request).await
    }

    async fn reconfigure(
        &self,
        request: Request<v1::ReconfigureRequest>,
    ) -> Answer<v1::ReconfigureReply> {
        self.run(request).await
    }

    async fn status(&self, request: Request<v1::StatusRequest>) -> Answer<v1::StatusReply> {
        self.run(request).await
    }

    async fn watch(&self, request: Request<v1::WatchRequest>) -> Answer<Self::WatchStream> {
        let filter = event::filter(request.into_inner().filter).map_err(invalid)?;
        let events = self.0.watch(filter);
        let stream = events.map(|event| Ok(event::raw_event(event)));
        Ok(tonic::Response::new(Box::pin(stream)))
    }

    async fn timeline(&self, request: Request<v1::TimelineRequest>) -> Answer<v1::TimelineReply> {
        let request = request.into_inner();
        let filter = event::filter(request.filter).map_err(invalid)?;
        let timeline = self.0.timeline(filter, request.local).await;
        Ok(tonic::Response::new(v1::TimelineReply {
            events: timeline.events.into_iter().map(event::raw_event).collect(),
            missing: timeline.missing,
        }))
    }
}
