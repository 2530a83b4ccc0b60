//! Transport between entries: versioned, bounded `rmp-serde` over HTTP.

pub mod client;
pub mod frame;
pub mod server;
