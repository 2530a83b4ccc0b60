//! The platform's list of VMs, which lags behind the truth.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::resource::Size;

/// Whether the platform says that a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum State {
    /// In service.
    Live,
    /// About to be taken away: it receives no new work.
    Leaving,
}

/// One worker VM in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The VM's name, never reused.
    pub name: Name,
    /// Where its worker listens.
    pub address: SocketAddr,
    /// The rack, which is also the ownership group.
    pub group: Name,
    /// The failure domain.
    pub domain: Name,
    /// What the VM has.
    pub capacity: Size,
    /// How many requests it serves at once.
    pub slots: u32,
    /// Whether it stays.
    pub state: State,
}
