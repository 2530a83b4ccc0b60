//! The addresses of workers and entries.

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

/// How long the address of a worker that left the list of VMs is kept, so that orders to stop its
/// tasks still reach it.
const ADDRESS_RETENTION: Ms = Ms(60_000);

/// The addresses of workers from the list of VMs, and of entries from digests of peers.
#[derive(Debug, Default)]
pub(super) struct Directory(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// The address of each worker, and when the list last had it.
    workers: HashMap<Name, (SocketAddr, Ms)>,
    entries: HashMap<Name, SocketAddr>,
    peers: Vec<request::Peer>,
}

impl Directory {
    /// Updates the workers from a complete list of VMs.
    pub(super) fn update_workers(&self, now: Ms, vms: &[Vm]) {
        let mut inner = self.lock();
        for vm in vms {
            let listed = (vm.address, now);
            inner.workers.insert(vm.name.clone(), listed);
        }
        inner
            .workers
            .retain(|_, (_, listed_at)| now.since(*listed_at) <= ADDRESS_RETENTION);
    }

    /// Records the addresses of entries if the message is a digest.
    pub(super) fn learn_addresses(&self, envelope: &Envelope) {
        let Message::Digest(Digest { member, others }) = &envelope.message else {
            return;
        };
        let mut inner = self.lock();
        // The address that a member states for itself replaces those reported by others.
        for (other, _) in others {
            let entries = &mut inner.entries;
            entries.entry(other.entry.clone()).or_insert(other.address);
        }
        inner.entries.insert(member.entry.clone(), member.address);
    }

    /// Replaces the live peers and removes the addresses of all other entries.
    pub(super) fn update_peers(&self, peers: &[request::Peer]) {
        let mut inner = self.lock();
        inner.peers = peers.to_vec();
        let is_live = |entry: &Name| peers.iter().any(|peer| peer.entry == *entry);
        inner.entries.retain(|entry, _| is_live(entry));
    }

    /// Returns the address of a worker, if it is known.
    pub(super) fn worker(&self, vm: &Name) -> Option<SocketAddr> {
        self.lock().workers.get(vm).map(|(address, _)| *address)
    }

    /// Returns the address on which an entry listens for peers, if it is known.
    pub(super) fn entry(&self, entry: &Name) -> Option<SocketAddr> {
        self.lock().entries.get(entry).copied()
    }

    /// Returns the live peers with a known address.
    pub(super) fn live_peers(&self) -> Vec<(request::Peer, SocketAddr)> {
        let inner = self.lock();
        let with_address = |peer: &request::Peer| {
            let address = inner.entries.get(&peer.entry)?;
            Some((peer.clone(), *address))
        };
        inner.peers.iter().filter_map(with_address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no holder of this lock panics")
    }
}
