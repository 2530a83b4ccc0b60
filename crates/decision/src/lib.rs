//! Decision logic of samphiretrail: plain values driven by `(now, event) -> actions`.
//!
//! Nothing here opens a socket, reads a clock, sleeps or starts a thread. Randomness is seeded by
//! the embedder.

pub mod budget;
pub mod classify;
pub mod clock;
pub mod commit;
pub mod config;
pub mod control;
pub mod estimate;
pub mod fair;
pub mod group;
pub mod health;
pub mod interference;
pub mod job;
pub mod member;
pub mod naive;
pub mod name;
pub mod object;
pub mod operator;
pub mod peer;
pub mod piece;
pub mod place;
pub mod protect;
pub mod quarantine;
pub mod queue;
pub mod record;
pub mod request;
pub mod resource;
pub mod rollout;
pub mod route;
pub mod step;
pub mod table;
pub mod task;
pub mod ticket;
pub mod timeline;
pub mod vm;
pub mod worker;
