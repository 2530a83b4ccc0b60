//! HTTP connections: the server and the client pool that all HTTP crates of the project use.

pub mod pool;
pub mod server;

use std::sync::Arc;

/// The executor that runs the tasks of connections on the embedder's threads.
pub type Spawner = Arc<smol::Executor<'static>>;
