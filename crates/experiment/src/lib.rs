//! Simulates the decision logic in virtual time against models of callers, operators, workers and
//! the platform, and measures it.

pub mod bound;
mod caller;
pub mod case;
mod demand;
mod entry;
mod fault;
mod fleet;
pub mod ledger;
mod operators;
mod path;
mod platform;
pub mod plot;
pub mod queue;
pub mod report;
mod runs;
pub mod sample;
pub mod scenario;
mod shell;
pub mod simulation;
