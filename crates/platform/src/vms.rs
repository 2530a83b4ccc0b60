//! Client of the platform's lagging list of VMs.

use std::net::SocketAddr;

use bytes::Bytes;
use decision::clock::Ms;
use decision::vm::Vm;
use http::Method;

use crate::exchange::exchange;

const TIMEOUT: Ms = Ms(2_000);

/// A client of one list.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// A client of the list at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads the whole list, or `None` when it cannot be had.
    pub async fn list(&self) -> Option<Vec<Vm>> {
        let body = exchange(self.address, Method::GET, "/vms", Bytes::new(), TIMEOUT)
            .await
            .ok()?;
        rmp_serde::from_slice(&body).ok()
    }
}
