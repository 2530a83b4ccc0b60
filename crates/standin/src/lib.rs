//! Stand-ins of the platform and of workers, with fault injection.
//!
//! The models are plain values in virtual or real time; `serve` puts them behind HTTP on loopback.

pub mod backend;
pub mod checkpoint;
pub mod fault;
pub mod object;
pub mod platform;
pub mod serve;
pub mod table;
pub mod vms;
pub mod worker;
