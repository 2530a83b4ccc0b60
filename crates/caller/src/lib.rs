//! HTTP server towards callers.

pub mod reply;
pub mod request;
pub mod server;
