//! Clients of the platform's table service, object store and list of VMs.

pub mod exchange;
pub mod object;
pub mod table;
pub mod vms;
