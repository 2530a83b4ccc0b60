//! The HTTP server for callers.

pub mod reply;
pub mod request;
pub mod server;
