//! Tickets: idempotency keys of requests that run at most once, under the control of the issuer.

mod bits;
mod ledger;

use std::fmt;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

pub use self::ledger::Claim;
pub use self::ledger::LIFETIME;
pub use self::ledger::Ledger;
use crate::name::Name;

quick_error! {
    /// An error of parsing a ticket.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The string does not have the form `entry/incarnation/sequence/nonce`.
        Form {
            display("a ticket has the form entry/incarnation/sequence/nonce")
        }
    }
}

/// The idempotency key of one request that must run at most once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ticket {
    /// The entry that issued the ticket.
    pub issuer: Name,
    /// The process of the entry that issued the ticket. Incarnations are never reused.
    pub incarnation: u64,
    /// The sequence number of the ticket within the incarnation, from 0.
    pub sequence: u64,
    /// A pseudorandom number that only the issuer can derive, so that tickets cannot be guessed.
    pub nonce: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            issuer,
            incarnation,
            sequence,
            nonce,
        } = self;
        write!(f, "{issuer}/{incarnation:x}/{sequence:x}/{nonce:x}")
    }
}

impl TryFrom<&str> for Ticket {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        let parts: Vec<&str> = raw.split('/').collect();
        let [issuer, incarnation, sequence, nonce] = parts[..] else {
            return Err(Error::Form);
        };
        let number = |digits| u64::from_str_radix(digits, 16).ok().ok_or(Error::Form);
        Ok(Self {
            issuer: Name::try_from(issuer).ok().ok_or(Error::Form)?,
            incarnation: number(incarnation)?,
            sequence: number(sequence)?,
            nonce: number(nonce)?,
        })
    }
}
