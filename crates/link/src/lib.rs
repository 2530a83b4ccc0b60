//! HTTP connections shared by the servers and clients of every party.

pub mod pool;
pub mod server;

use std::sync::Arc;

/// Runs the tasks of connections on the embedder's threads.
pub type Spawner = Arc<smol::Executor<'static>>;
