//! A worker model over HTTP, which serves requests to services and commands of owners.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use decision::clock::Ms;
use decision::name::Name;
use decision::vm::Vm;
use decision::worker::Epoch;
use decision::worker::Refusal;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use smol::Timer;

use crate::checkpoint;
use crate::platform::Platform;
use crate::platform::encode;
use crate::serve::Handle;
use crate::serve::respond;
use crate::worker;
use crate::worker::Change;
use crate::worker::Need;

/// An event at a worker, which the history records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A request started to run.
    Began {
        /// The id of the attempt, as its header gives it.
        request: String,
        /// The request body.
        body: Bytes,
        /// The epoch under which the request was sent.
        epoch: Epoch,
    },
    /// A request ended.
    Ended {
        /// The id of the attempt, as its header gives it.
        request: String,
        /// The body of the answer.
        answer: Bytes,
    },
    /// A request under a valid epoch was refused because all slots were in use.
    Overfull {
        /// The id of the attempt, as its header gives it.
        request: String,
    },
    /// The state of a task changed.
    Task(Change),
}

/// The behaviour of services and tasks on workers, as a test or experiment defines it.
pub trait Behaviour: Send + Sync + 'static {
    /// Returns the run time and the answer of a request of this kind.
    fn serve(&self, kind: &str, body: &Bytes) -> (Ms, Bytes);
    /// Returns the work and resources that a task needs, regardless of what it declared.
    fn need(&self, kind: &Name, task: &Name) -> Need;
    /// Records an event at a worker.
    fn record(&self, vm: &Name, now: Ms, observation: Observation);
}

/// A worker model with access to the platform.
pub struct Backend<B> {
    name: Name,
    platform: Arc<Platform>,
    model: Mutex<worker::Model>,
    behaviour: Arc<B>,
    silent: std::sync::atomic::AtomicBool,
}

impl<B> fmt::Debug for Backend<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backend")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl<B: Behaviour> Backend<B> {
    /// Creates a worker on `vm`. The address of the VM is not used.
    #[must_use]
    pub fn new(vm: Vm, platform: Arc<Platform>, behaviour: Arc<B>) -> Self {
        let name = vm.name.clone();
        let model = Mutex::new(worker::Model::new(vm, platform.now()));
        let silent = std::sync::atomic::AtomicBool::new(false);
        Self {
            name,
            platform,
            model,
            behaviour,
            silent,
        }
    }

    /// Locks the worker model. It must be locked before the services of the platform.
    pub fn model(&self) -> MutexGuard<'_, worker::Model> {
        self.model
            .lock()
            .expect("no holder of the worker model panics")
    }

    /// Sets whether requests stay without an answer, including those in progress.
    pub fn set_silent(&self, silent: bool) {
        self.silent
            .store(silent, std::sync::atomic::Ordering::SeqCst);
    }

    /// Advances the tasks to the present.
    pub fn advance(&self) {
        let now = self.platform.now();
        let changes = {
            let mut model = self.model();
            model.advance(now);
            model.changes()
        };
        self.record_changes(now, changes);
    }

    fn record_changes(&self, now: Ms, changes: Vec<Change>) {
        for change in changes {
            self.behaviour
                .record(&self.name, now, Observation::Task(change));
        }
    }

    fn command(&self, body: &[u8]) -> Option<Response<Full<Bytes>>> {
        let Ok(command) = rmp_serde::from_slice(body) else {
            return respond(StatusCode::BAD_REQUEST, "not a command");
        };
        let now = self.platform.now();
        let (reply, changes) = {
            let mut model = self.model();
            let mut objects = self.platform.objects();
            let need = |kind: &Name, task: &Name| self.behaviour.need(kind, task);
            let mut store = checkpoint::Store(&mut objects);
            let reply = model.command(now, &command, &mut store, need);
            (reply, model.changes())
        };
        self.record_changes(now, changes);
        encode(&reply)
    }

    async fn run(
        self: Arc<Self>,
        request: String,
        epoch: Epoch,
        kind: String,
        body: Bytes,
    ) -> Option<Response<Full<Bytes>>> {
        let attempt = attempt_number(&request);
        let began = self.model().begin(epoch, attempt);
        if let Err(refusal) = began {
            if refusal == Refusal::Full {
                self.behaviour.record(
                    &self.name,
                    self.platform.now(),
                    Observation::Overfull { request },
                );
            }
            return refuse(refusal);
        }
        let (time, answer) = self.behaviour.serve(&kind, &body);
        let now = self.platform.now();
        self.behaviour.record(
            &self.name,
            now,
            Observation::Began {
                request: request.clone(),
                body,
                epoch,
            },
        );
        Timer::after(Duration::from_millis(time.0)).await;
        let broken = {
            let mut model = self.model();
            model.finish(epoch, attempt);
            model.broken
        };
        let now = self.platform.now();
        let ended = Observation::Ended {
            request: request.clone(),
            answer: answer.clone(),
        };
        self.behaviour.record(&self.name, now, ended);
        if broken {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "broken");
        }
        let mut response = Response::new(Full::new(answer));
        response
            .headers_mut()
            .insert("x-request", request.parse().ok()?);
        Some(response)
    }

    async fn serve_run(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Full<Bytes>>> {
        let path = request.uri().path().to_owned();
        let kind = path.rsplit('/').next().unwrap_or_default().to_owned();
        let Some((id, epoch)) = parse_headers(request.headers()) else {
            return respond(StatusCode::BAD_REQUEST, "x-request or x-epoch is missing");
        };
        // The request continues when its connection breaks, as it would on a real target.
        let task = smol::spawn(Arc::clone(&self).run(id, epoch, kind, request.into_body()));
        let (sender, receiver) = smol::channel::bounded(1);
        smol::spawn(async move { drop(sender.send(task.await).await) }).detach();
        let response = receiver.recv().await.ok().flatten();
        if self.silent.load(std::sync::atomic::Ordering::SeqCst) {
            smol::future::pending::<()>().await;
        }
        response
    }
}

impl<B: Behaviour> Handle for Backend<B> {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Full<Bytes>>> {
        match request.uri().path() {
            "/command" => self.command(request.body()),
            "/report" => {
                self.advance();
                encode(&self.model().report())
            }
            "/ping" => respond(StatusCode::OK, ""),
            path if path.starts_with("/run/") => self.serve_run(request).await,
            _ => respond(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn parse_headers(headers: &HeaderMap) -> Option<(String, Epoch)> {
    let id = headers.get("x-request")?.to_str().ok()?.to_owned();
    let (row, step) = headers.get("x-epoch")?.to_str().ok()?.split_once('.')?;
    Some((
        id,
        Epoch {
            row: row.parse().ok()?,
            step: step.parse().ok()?,
        },
    ))
}

/// Returns the number of an attempt, which is the last part of its id.
fn attempt_number(request: &str) -> u64 {
    let last = request.rsplit('/').next().unwrap_or_default();
    last.parse().unwrap_or_default()
}

/// Builds the response that confirms that a request did not run.
fn refuse(refusal: Refusal) -> Option<Response<Full<Bytes>>> {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, format!("{refusal:?}"))?;
    response
        .headers_mut()
        .insert("x-outcome", http::HeaderValue::from_static("refused"));
    Some(response)
}
