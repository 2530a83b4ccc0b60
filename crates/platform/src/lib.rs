//! Clients of the platform's table service, object store and VM list.

pub mod exchange;
pub mod object;
pub mod table;
pub mod vms;
