//! VMs as listed by the platform. The list lags behind the real state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::resource::Size;

/// The life cycle state of a VM, as the platform announces it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// The VM is in service.
    Live,
    /// The VM is about to be taken away, so that it receives no new work.
    Leaving,
}

/// One worker VM in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The VM's name, never reused.
    pub name: Name,
    /// The address at which its worker listens.
    pub address: SocketAddr,
    /// The rack, which is also the ownership group.
    pub group: Name,
    /// The failure domain that contains the rack.
    pub domain: Name,
    /// The total resources of the VM.
    pub capacity: Size,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// The announced state.
    pub state: State,
}
