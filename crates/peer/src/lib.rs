//! The transport between entries: MessagePack frames with a version and a size limit over HTTP.

pub mod client;
pub mod frame;
pub mod server;
