//! A server on loopback for a fake part of the platform.

use std::mem;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use link::Spawner;
use link::server::Server;
use serde_json::Value;
use smol::net::TcpListener;

/// A call to a fake part of the platform.
pub struct Call {
    pub path: String,
    pub query: String,
    /// The id of the worker that the call is meant for; empty if it names none.
    pub expected_worker: String,
    pub body: Value,
}

/// Starts a server on loopback that answers each call with the result of `respond`, which gets the
/// path, the query and the body.
pub fn start<F>(
    spawner: &Spawner,
    respond: impl Fn(String, String, Value) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = (StatusCode, Value)> + Send + 'static,
{
    start_with_calls(spawner, move |call| {
        respond(call.path, call.query, call.body)
    })
}

/// Starts a server on loopback that answers each call with the result of `respond`.
pub fn start_with_calls<F>(
    spawner: &Spawner,
    respond: impl Fn(Call) -> F + Clone + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = (StatusCode, Value)> + Send + 'static,
{
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let handler = move |request: Request<Incoming>| {
        let respond = respond.clone();
        async move {
            let path = request.uri().path().to_owned();
            let query = request.uri().query().unwrap_or_default().to_owned();
            let expected = request.headers().get("expect-instance");
            let expected_worker = expected
                .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
                .unwrap_or_default();
            let body = request.into_body().collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let body = serde_json::from_slice(&body).unwrap_or_default();
            let (status, value) = respond(Call {
                path,
                query,
                expected_worker,
                body,
            })
            .await;
            let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
            *response.status_mut() = status;
            response
        }
    };
    let server = Server::start(spawner, listener, link::server::Limits::default(), handler);
    let server = server.expect("the server starts");
    let address = server.address();
    // Forgetting the server keeps it running until the test process exits.
    mem::forget(server);
    address
}
