//! Client of the object store.

use std::net::SocketAddr;

use decision::clock::Ms;
use decision::object::Operation;
use decision::object::Outcome;
use http::Method;

use crate::exchange::exchange;

const TIMEOUT: Ms = Ms(5_000);

/// A client of one object store.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// A client of the store at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Runs one operation; failures are outcomes.
    pub async fn run(&self, operation: Operation) -> Outcome {
        let reads = matches!(operation, Operation::Get(_));
        let Ok(body) = rmp_serde::to_vec(&operation) else {
            return Outcome::Unavailable;
        };
        let answer = exchange(self.address, Method::POST, "/object", body.into(), TIMEOUT).await;
        match answer {
            Ok(body) => rmp_serde::from_slice(&body).unwrap_or(Outcome::Unknown),
            Err(error) if reads || error.is_harmless() => Outcome::Unavailable,
            Err(_) => Outcome::Unknown,
        }
    }
}
