//! Client of the transactional table service.

use std::net::SocketAddr;

use decision::clock::Ms;
use decision::table::Operation;
use decision::table::Outcome;
use http::Method;

use crate::exchange::exchange;

const TIMEOUT: Ms = Ms(2_000);

/// A client of one table service.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// A client of the service at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Runs one operation; failures are outcomes.
    pub async fn run(&self, operation: Operation) -> Outcome {
        let reads = !matches!(operation, Operation::Commit { .. });
        let Ok(body) = rmp_serde::to_vec(&operation) else {
            return Outcome::Unavailable;
        };
        let answer = exchange(self.address, Method::POST, "/table", body.into(), TIMEOUT).await;
        match answer {
            Ok(body) => rmp_serde::from_slice(&body).unwrap_or(Outcome::Unknown),
            Err(error) if reads || error.is_harmless() => Outcome::Unavailable,
            Err(_) => Outcome::Unknown,
        }
    }
}
