//! gRPC server and client for operators.

pub mod call;
pub mod client;
pub mod event;
pub mod reply;
pub mod server;
pub mod value;
