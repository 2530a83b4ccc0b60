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
const ADDRESS_RETENTION: Ms = Ms(60_000);

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
    pub(super) fn update_workers(&self, now: Ms, vms: &[Vm]) {
        let mut inner = self.lock();
        for vm in vms {
            let listed_at = (vm.address, now);
            inner.workers.insert(vm.name.clone(), listed_at);
        }
        inner
            .workers
            .retain(|_, (_, listed_at)| now.since(*listed_at) <= ADDRESS_RETENTION);
    }

    /// Learns the addresses that a message carries.
    pub(super) fn learn_addresses(&self, envelope: &Envelope) {
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
    pub(super) fn update_peers(&self, peers: &[request::Peer]) {
        let mut inner = self.lock();
        inner.peers = peers.to_vec();
        let is_live = |entry: &Name| peers.iter().any(|peer| peer.entry == *entry);
        inner.entries.retain(|entry, _| is_live(entry));
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
