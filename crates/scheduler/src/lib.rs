//! Decisions of one elected leader that runs jobs on leased workers through agents.
//!
//! Every entry is an agent: it polls the workers assigned to it and reports its observations. One
//! entry is also the leader and alone decides which tasks run on which workers. All types are plain
//! values driven by `(now, event) -> actions` and do no I/O.

pub mod age;
pub mod agent;
pub mod config;
pub mod congestion;
pub mod counts;
pub mod election;
pub mod fleet;
pub mod id;
pub mod interference;
pub mod job;
pub mod leader;
pub mod message;
pub mod over;
pub mod pace;
pub mod placement;
pub mod progress;
pub mod renewals;
pub mod session;
pub mod spec;
pub mod task;
