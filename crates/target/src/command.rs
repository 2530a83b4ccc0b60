//! The client that sends commands to workers, one at a time for each worker.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use decision::worker::Command;
use decision::worker::Outcome;
use decision::worker::Reply;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use link::pool;
use link::pool::Pool;
use smol::Timer;
use smol::future::FutureExt;

/// The maximum size of a reply in bytes. A report contains all tasks of a worker.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Sends commands over one connection for each worker, in the order of the calls.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    locks: Mutex<HashMap<SocketAddr, Arc<smol::lock::Mutex<()>>>>,
}

impl Client {
    /// Creates a client without connections. Connecting to a worker may take as long as `connect`.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let limits = pool::Limits {
            connect_timeout: connect,
            // Renewals are sent every 2 s, so the connection stays open when one is missing.
            idle_timeout: Duration::from_millis(5_000),
            max_idle: 1,
            max_answer_bytes: MAX_REPLY_BYTES,
        };
        Self {
            pool: Pool::new(limits),
            locks: Mutex::default(),
        }
    }

    /// Sends a command and waits for the reply. The `limit` includes the time spent waiting for
    /// earlier commands to the same worker.
    pub async fn run(&self, to: SocketAddr, command: &Command, limit: Duration) -> Outcome {
        let end = Instant::now() + limit;
        let lock = self.lock(to);
        let acquired = async { Some(lock.lock_arc().await) };
        let timeout = async {
            Timer::at(end).await;
            None
        };
        let Some(_guard) = acquired.or(timeout).await else {
            return Outcome::Unsent;
        };
        let Some(request) = build_request(command) else {
            return Outcome::Unsent;
        };
        let remaining = end.saturating_duration_since(Instant::now());
        match self.pool.send(to, request, remaining).await {
            Ok(response) if response.status() == StatusCode::OK => {
                match rmp_serde::from_slice::<Reply>(response.body()) {
                    Ok(reply) => Outcome::Answered(reply),
                    Err(_) => Outcome::Unknown,
                }
            }
            Ok(_) | Err(pool::Error::Broken(_)) => Outcome::Unknown,
            Err(pool::Error::Unsent(_)) => Outcome::Unsent,
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.pool.clear();
    }

    fn lock(&self, to: SocketAddr) -> Arc<smol::lock::Mutex<()>> {
        let mut locks = self.locks.lock().expect("no holder of this lock panics");
        locks.retain(|address, lock| *address == to || Arc::strong_count(lock) > 1);
        Arc::clone(locks.entry(to).or_default())
    }
}

fn build_request(command: &Command) -> Option<Request<Full<Bytes>>> {
    let body = rmp_serde::to_vec(command).ok()?;
    Request::post("/command")
        .header(http::header::HOST, "worker")
        .body(Full::new(body.into()))
        .ok()
}
