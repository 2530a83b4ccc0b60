//! The peers as the request path sees them.

use crate::name::Name;
use crate::request::Peer;
use crate::ticket::Ticket;

#[derive(Debug)]
struct Entry {
    peer: Peer,
    /// Requests in flight there that were forwarded since the peer last told its load.
    sent: u32,
    /// All requests forwarded since then.
    given: u32,
}

impl Entry {
    const fn free(&self) -> u32 {
        self.peer.free.saturating_sub(self.sent)
    }

    /// What the peer offered, divided by what it was given since.
    fn claim(&self) -> f32 {
        let offer = (self.peer.free as f32 + 1.0) / (self.peer.waiting as f32 + 1.0);
        offer / (self.given as f32 + 1.0)
    }
}

/// The live peers.
#[derive(Debug, Default)]
pub struct Peers {
    entries: Vec<Entry>,
}

impl Peers {
    /// Takes in the live peers, all of them.
    pub fn update(&mut self, peers: Vec<Peer>) {
        let mut former = std::mem::take(&mut self.entries);
        self.entries = peers
            .into_iter()
            .map(|peer| {
                // An unchanged summary is old news, to which the count still applies.
                let same = former.iter_mut().find(|entry| entry.peer == peer);
                let (sent, given) = same.map_or((0, 0), |entry| (entry.sent, entry.given));
                Entry { peer, sent, given }
            })
            .collect();
    }

    /// The peer that answers for a ticket: the adopter of its issuer, or the issuer itself.
    #[must_use]
    pub fn responsible(&self, ticket: &Ticket) -> Option<&Name> {
        self.adopter(&ticket.issuer, ticket.incarnation)
            .or_else(|| {
                self.entries
                    .iter()
                    .map(|entry| &entry.peer)
                    .find(|peer| {
                        peer.entry == ticket.issuer && peer.incarnation == ticket.incarnation
                    })
                    .map(|peer| &peer.entry)
            })
    }

    /// The peer that took over the tickets of an incarnation.
    #[must_use]
    pub fn adopter(&self, issuer: &Name, incarnation: u64) -> Option<&Name> {
        let adopted = |peer: &Peer| {
            peer.adopted
                .iter()
                .any(|(entry, process)| entry == issuer && *process == incarnation)
        };
        self.entries
            .iter()
            .map(|entry| &entry.peer)
            .find(|peer| adopted(peer))
            .map(|peer| &peer.entry)
    }

    /// A peer with free slots, each in proportion to them. Sending everything to the one with most
    /// would flood it until its next word, as all entries hear the same.
    #[must_use]
    pub fn freest(&self) -> Option<&Name> {
        let free = self.takers().filter(|entry| entry.free() > 0);
        Self::next_of(free)
    }

    /// A peer to send to when this entry cannot serve at all.
    #[must_use]
    pub fn least_loaded(&self) -> Option<&Name> {
        Self::next_of(self.takers())
    }

    fn next_of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Option<&'a Name> {
        entries
            .max_by(|one, other| one.claim().total_cmp(&other.claim()))
            .map(|entry| &entry.peer.entry)
    }

    /// Counts a request forwarded to a peer.
    pub fn count(&mut self, entry: &Name) {
        if let Some(entry) = self.find(entry) {
            entry.sent = entry.sent.saturating_add(1);
            entry.given = entry.given.saturating_add(1);
        }
    }

    /// A request forwarded to a peer ended, which frees a slot there.
    pub fn uncount(&mut self, entry: &Name) {
        if let Some(entry) = self.find(entry) {
            entry.sent = entry.sent.saturating_sub(1);
        }
    }

    /// A peer refused a request: it has no free slot until it tells so.
    pub fn refused(&mut self, entry: &Name) {
        if let Some(entry) = self.find(entry) {
            entry.sent = entry.sent.max(entry.peer.free);
        }
    }

    fn takers(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| !entry.peer.stopping)
    }

    fn find(&mut self, name: &Name) -> Option<&mut Entry> {
        self.entries
            .iter_mut()
            .find(|entry| entry.peer.entry == *name)
    }
}
