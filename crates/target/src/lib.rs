//! HTTP client towards targets: requests and worker commands.

pub mod attempt;
pub mod command;

/// Carries the id of an attempt in requests and answers.
pub const REQUEST: &str = "x-request";
/// Carries the owner's epoch in requests.
pub const EPOCH: &str = "x-epoch";
/// Carries the outcome; `refused` vouches that the request did not run.
pub const OUTCOME: &str = "x-outcome";
/// The value of [`OUTCOME`] of a request that did not run.
pub const REFUSED: &str = "refused";
