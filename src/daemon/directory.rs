//! Where workers and entries listen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use decision::clock::Ms;
use decision::name::Name;
use decision::peer::Digest;
use decision::peer::Envelope;
use decision::peer::Message;
use decision::request;
use decision::vm::Vm;

/// A worker that left the list is still told to stop its tasks for this long.
const KEPT: Ms = Ms(60_000);

/// Addresses learned from the list of VMs and from digests.
#[derive(Debug, Default)]
pub(super) struct Directory(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    workers: HashMap<Name, (SocketAddr, Ms)>,
    entries: HashMap<Name, SocketAddr>,
    peers: Vec<request::Peer>,
}

impl Directory {
    /// Takes in a whole list of VMs.
    pub(super) fn list(&self, now: Ms, vms: &[Vm]) {
        let mut inner = self.lock();
        for vm in vms {
            let seen = (vm.address, now);
            inner.workers.insert(vm.name.clone(), seen);
        }
        inner
            .workers
            .retain(|_, (_, seen)| now.since(*seen) <= KEPT);
    }

    /// Learns the addresses that a message carries.
    pub(super) fn learn(&self, envelope: &Envelope) {
        let Message::Digest(Digest { member, others }) = &envelope.message else {
            return;
        };
        let mut inner = self.lock();
        // A member's own word counts more than hearsay.
        for (other, _) in others {
            let entries = &mut inner.entries;
            entries.entry(other.entry.clone()).or_insert(other.address);
        }
        inner.entries.insert(member.entry.clone(), member.address);
    }

    /// Takes in all live peers; the addresses of others are forgotten.
    pub(super) fn peers(&self, peers: &[request::Peer]) {
        let mut inner = self.lock();
        inner.peers = peers.to_vec();
        let live = |entry: &Name| peers.iter().any(|peer| peer.entry == *entry);
        inner.entries.retain(|entry, _| live(entry));
    }

    /// Where a worker listens.
    pub(super) fn worker(&self, vm: &Name) -> Option<SocketAddr> {
        self.lock().workers.get(vm).map(|(address, _)| *address)
    }

    /// Where an entry listens for peers.
    pub(super) fn entry(&self, entry: &Name) -> Option<SocketAddr> {
        self.lock().entries.get(entry).copied()
    }

    /// The live peers and where they listen.
    pub(super) fn live(&self) -> Vec<(request::Peer, SocketAddr)> {
        let inner = self.lock();
        let place = |peer: &request::Peer| {
            let address = inner.entries.get(&peer.entry)?;
            Some((peer.clone(), *address))
        };
        inner.peers.iter().filter_map(place).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no holder of this lock panics")
    }
}
