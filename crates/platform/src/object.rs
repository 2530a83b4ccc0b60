//! The client of the object store.

use std::net::SocketAddr;

use decision::clock::Ms;
use decision::object::Operation;
use decision::object::Outcome;
use http::Method;

use crate::exchange::exchange;

/// The time limit of an operation.
const TIMEOUT: Ms = Ms(5_000);

/// A client of an object store.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Runs one operation. A failure is returned as an outcome: `Unavailable` if the operation
    /// certainly had no effect, and `Unknown` otherwise.
    pub async fn run(&self, operation: Operation) -> Outcome {
        let is_read = matches!(operation, Operation::Get(_));
        let Ok(body) = rmp_serde::to_vec(&operation) else {
            return Outcome::Unavailable;
        };
        let response = exchange(self.address, Method::POST, "/object", body.into(), TIMEOUT).await;
        match response {
            Ok(body) => rmp_serde::from_slice(&body).unwrap_or(Outcome::Unknown),
            Err(error) if is_read || error.had_no_effect() => Outcome::Unavailable,
            Err(_) => Outcome::Unknown,
        }
    }
}
