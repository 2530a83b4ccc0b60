//! The gRPC server and client through which operators call an entry.

pub mod call;
pub mod client;
pub mod event;
pub mod reply;
pub mod server;
pub mod value;
