//! The platform over HTTP: the table service, the object store and the VM list.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use decision::clock::Ms;
use decision::vm::Vm;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use smol::Timer;

use crate::object;
use crate::serve::Handle;
use crate::serve::respond;
use crate::table;
use crate::vms;

/// The models of the three services, shared with the test that injects faults.
#[derive(Debug)]
pub struct Platform {
    start: Instant,
    table: Mutex<table::Model>,
    objects: Mutex<object::Model>,
    vms: Mutex<vms::Model>,
}

impl Platform {
    /// Creates empty services, and a VM list that publishes changes `lag` later.
    #[must_use]
    pub fn new(lag: Ms, vms: Vec<Vm>) -> Self {
        Self {
            start: Instant::now(),
            table: Mutex::default(),
            objects: Mutex::default(),
            vms: Mutex::new(vms::Model::new(lag, vms)),
        }
    }

    /// Returns the time since the platform started.
    #[must_use]
    pub fn now(&self) -> Ms {
        Ms(self.start.elapsed().as_millis() as u64)
    }

    /// Locks the table. The lock order is table, object store, VM list.
    pub fn table(&self) -> MutexGuard<'_, table::Model> {
        self.table.lock().expect("no holder of the table panics")
    }

    /// Locks the object store.
    pub fn objects(&self) -> MutexGuard<'_, object::Model> {
        self.objects
            .lock()
            .expect("no holder of the object store panics")
    }

    /// Locks the VM list.
    pub fn vms(&self) -> MutexGuard<'_, vms::Model> {
        self.vms.lock().expect("no holder of the VM list panics")
    }

    async fn serve_table(&self, body: &[u8]) -> Option<Response<Full<Bytes>>> {
        let Ok(operation) = rmp_serde::from_slice(body) else {
            return respond(StatusCode::BAD_REQUEST, "not a table operation");
        };
        let delay = self.table().fault.delay;
        Timer::after(Duration::from_millis(delay.0)).await;
        match self.table().apply(&operation) {
            decision::table::Outcome::Unavailable => unavailable(),
            decision::table::Outcome::Unknown => None,
            outcome => encode(&outcome),
        }
    }

    async fn serve_object(&self, body: &[u8]) -> Option<Response<Full<Bytes>>> {
        let Ok(operation) = rmp_serde::from_slice(body) else {
            return respond(StatusCode::BAD_REQUEST, "not an object operation");
        };
        let delay = self.objects().fault.delay;
        Timer::after(Duration::from_millis(delay.0)).await;
        match self.objects().apply(&operation) {
            decision::object::Outcome::Unavailable => unavailable(),
            decision::object::Outcome::Unknown => None,
            outcome => encode(&outcome),
        }
    }
}

impl Handle for Platform {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Option<Response<Full<Bytes>>> {
        match request.uri().path() {
            "/table" => self.serve_table(request.body()).await,
            "/object" => self.serve_object(request.body()).await,
            "/vms" => {
                let now = self.now();
                let list = self.vms().list(now).to_vec();
                encode(&list)
            }
            _ => respond(StatusCode::NOT_FOUND, "no such service"),
        }
    }
}

fn unavailable() -> Option<Response<Full<Bytes>>> {
    respond(StatusCode::SERVICE_UNAVAILABLE, "unavailable")
}

/// Builds a response with `value` encoded as MessagePack.
pub fn encode(value: &impl serde::Serialize) -> Option<Response<Full<Bytes>>> {
    match rmp_serde::to_vec(value) {
        Ok(body) => respond(StatusCode::OK, body),
        Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
