//! Stand-ins for the platform and for workers, with fault injection.
//!
//! The models are plain values that run in virtual or real time. `serve` makes them available over
//! HTTP on the loopback interface.

pub mod backend;
pub mod checkpoint;
pub mod fault;
pub mod object;
pub mod platform;
pub mod serve;
pub mod table;
pub mod vms;
pub mod worker;
