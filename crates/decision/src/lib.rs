//! The decision logic of samphiretrail: state machines that map `(now, event)` to actions.
//!
//! This crate opens no sockets, reads no clock, does not sleep and starts no threads. The embedder
//! supplies the time and the seeds of random numbers, and carries out the actions.

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
