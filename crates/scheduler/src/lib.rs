//! Decisions of one elected leader that runs jobs on leased workers through agents.
//!
//! Every entry is an agent: it calls the workers assigned to it and reports what it saw. One entry
//! is also the leader: it alone decides what runs where. Everything here is a plain value driven by
//! `(now, event) -> actions`, without I/O.

pub mod agent;
pub mod config;
pub mod election;
pub mod fleet;
pub mod id;
pub mod interference;
pub mod job;
pub mod leader;
pub mod message;
pub mod pace;
pub mod placement;
pub mod progress;
pub mod spec;
pub mod task;
