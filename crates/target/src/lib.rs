//! The HTTP clients for targets: requests to services, and commands to workers.

pub mod attempt;
pub mod command;

/// The header with the id of an attempt, in requests and answers.
pub const REQUEST: &str = "x-request";
/// The header with the owner's epoch, in requests.
pub const EPOCH: &str = "x-epoch";
/// The header with the outcome, in answers.
pub const OUTCOME: &str = "x-outcome";
/// The value of [`OUTCOME`] with which a target confirms that the request did not run.
pub const REFUSED: &str = "refused";
