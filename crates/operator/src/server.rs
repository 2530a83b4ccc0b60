//! The gRPC server for operators.

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

use crate::call::Decode;
use crate::event;
use crate::reply::Wire;
use crate::value::Error;

/// Recent events of one entry or of all entries that answered.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The events in causal order.
    pub events: Vec<Event>,
    /// The addresses of the entries that did not answer.
    pub missing: Vec<String>,
}

/// The operations that the server calls, implemented by the entry.
pub trait Handler: Send + Sync + 'static {
    /// Carries out a call.
    fn call(&self, call: Call) -> impl Future<Output = Reply> + Send;
    /// Returns a stream of the future events of this entry.
    fn watch(&self, filter: Filter) -> Receiver<Event>;
    /// Returns recent events of all entries, or only of this one if `local` is set.
    fn timeline(&self, filter: Filter, local: bool) -> impl Future<Output = Timeline> + Send;
}

/// Starts a server on `listener` that passes calls to `handler`.
///
/// # Errors
///
/// Returns an error when the listener has no local address.
pub fn start<H: Handler>(
    spawner: &Spawner,
    listener: TcpListener,
    handler: Arc<H>,
) -> io::Result<Server> {
    let service = OperatorServer::new(Adapter(handler));
    // A stream of events may carry nothing for a long time. Pings detect clients that are gone.
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
    async fn handle_call<C: Decode, R>(&self, request: Request<C>) -> Answer<R>
    where
        Wire<R>: From<Reply>,
    {
        let call = request.into_inner().decode().map_err(invalid_argument)?;
        let Wire(reply) = self.0.call(call).await.into();
        Ok(tonic::Response::new(reply))
    }
}

fn invalid_argument(error: Error) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl<H: Handler> Operator for Adapter<H> {
    type WatchStream = Pin<Box<dyn Stream<Item = Result<v1::Event, Status>> + Send>>;

    async fn submit(&self, request: Request<v1::SubmitRequest>) -> Answer<v1::SubmitReply> {
        self.handle_call(request).await
    }

    async fn cancel(&self, request: Request<v1::CancelRequest>) -> Answer<v1::CancelReply> {
        self.handle_call(request).await
    }

    async fn drain(&self, request: Request<v1::DrainRequest>) -> Answer<v1::DrainReply> {
        self.handle_call(request).await
    }

    async fn reconfigure(
        &self,
        request: Request<v1::ReconfigureRequest>,
    ) -> Answer<v1::ReconfigureReply> {
        self.handle_call(request).await
    }

    async fn status(&self, request: Request<v1::StatusRequest>) -> Answer<v1::StatusReply> {
        self.handle_call(request).await
    }

    async fn watch(&self, request: Request<v1::WatchRequest>) -> Answer<Self::WatchStream> {
        let filter = event::decode_filter(request.into_inner().filter).map_err(invalid_argument)?;
        let events = self.0.watch(filter);
        let stream = events.map(|event| Ok(event::encode_event(event)));
        Ok(tonic::Response::new(Box::pin(stream)))
    }

    async fn timeline(&self, request: Request<v1::TimelineRequest>) -> Answer<v1::TimelineReply> {
        let request = request.into_inner();
        let filter = event::decode_filter(request.filter).map_err(invalid_argument)?;
        let timeline = self.0.timeline(filter, request.local).await;
        Ok(tonic::Response::new(v1::TimelineReply {
            events: timeline
                .events
                .into_iter()
                .map(event::encode_event)
                .collect(),
            missing: timeline.missing,
        }))
    }
}
