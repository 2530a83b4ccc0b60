//! The client of the platform's list of VMs, which lags behind their actual state.

use std::net::SocketAddr;

use bytes::Bytes;
use decision::clock::Ms;
use decision::vm::Vm;
use http::Method;

use crate::exchange::exchange;

/// The time limit of a read.
const TIMEOUT: Ms = Ms(2_000);

/// A client of a service that lists VMs.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the list at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads the complete list; `None` if the service does not return it.
    pub async fn list(&self) -> Option<Vec<Vm>> {
        let body = exchange(self.address, Method::GET, "/vms", Bytes::new(), TIMEOUT)
            .await
            .ok()?;
        rmp_serde::from_slice(&body).ok()
    }
}
