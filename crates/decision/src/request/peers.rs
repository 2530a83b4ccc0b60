//! The peers as the request path sees them.

use crate::name::Name;
use crate::request::Peer;
use crate::ticket::Ticket;

#[derive(Debug)]
struct Load {
    peer: Peer,
    /// Requests in flight there that were forwarded since the peer last told its load.
    in_flight: u32,
    /// All requests forwarded since then.
    forwarded: u32,
}

impl Load {
    const fn free(&self) -> u32 {
        self.peer.free.saturating_sub(self.in_flight)
    }

    /// What the peer offered, divided by what it was given since.
    fn score(&self) -> f32 {
        let offer = (self.peer.free as f32 + 1.0) / (self.peer.waiting as f32 + 1.0);
        offer / (self.forwarded as f32 + 1.0)
    }
}

/// The live peers.
#[derive(Debug, Default)]
pub struct Peers {
    loads: Vec<Load>,
}

impl Peers {
    /// Takes in the live peers, all of them.
    pub fn update(&mut self, peers: Vec<Peer>) {
        let mut former = std::mem::take(&mut self.loads);
        self.loads = peers
            .into_iter()
            .map(|peer| {
                // An unchanged summary is old news, to which the count still applies.
                let unchanged = former.iter_mut().find(|load| load.peer == peer);
                let (in_flight, forwarded) =
                    unchanged.map_or((0, 0), |load| (load.in_flight, load.forwarded));
                Load {
                    peer,
                    in_flight,
                    forwarded,
                }
            })
            .collect();
    }

    /// The peer that answers for a ticket: the adopter of its issuer, or the issuer itself.
    #[must_use]
    pub fn responsible(&self, ticket: &Ticket) -> Option<&Name> {
        self.adopter(&ticket.issuer, ticket.incarnation)
            .or_else(|| {
                self.loads
                    .iter()
                    .map(|load| &load.peer)
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
        self.loads
            .iter()
            .map(|load| &load.peer)
            .find(|peer| adopted(peer))
            .map(|peer| &peer.entry)
    }

    /// A peer with free slots, each in proportion to them. Sending everything to the one with most
    /// would flood it until its next word, as all entries hear the same.
    #[must_use]
    pub fn with_free_slots(&self) -> Option<&Name> {
        let free = self.accepting().filter(|load| load.free() > 0);
        Self::highest_score(free)
    }

    /// A peer to send to when this entry cannot serve at all.
    #[must_use]
    pub fn least_loaded(&self) -> Option<&Name> {
        Self::highest_score(self.accepting())
    }

    fn highest_score<'a>(loads: impl Iterator<Item = &'a Load>) -> Option<&'a Name> {
        loads
            .max_by(|one, other| one.score().total_cmp(&other.score()))
            .map(|load| &load.peer.entry)
    }

    /// Counts a request forwarded to a peer.
    pub fn record_forward(&mut self, entry: &Name) {
        if let Some(load) = self.find(entry) {
            load.in_flight = load.in_flight.saturating_add(1);
            load.forwarded = load.forwarded.saturating_add(1);
        }
    }

    /// A request forwarded to a peer ended, which frees a slot there.
    pub fn record_completion(&mut self, entry: &Name) {
        if let Some(load) = self.find(entry) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// A peer refused a request: it has no free slot until it tells so.
    pub fn record_refusal(&mut self, entry: &Name) {
        if let Some(load) = self.find(entry) {
            load.in_flight = load.in_flight.max(load.peer.free);
        }
    }

    fn accepting(&self) -> impl Iterator<Item = &Load> {
        self.loads.iter().filter(|load| !load.peer.stopping)
    }

    fn find(&mut self, name: &Name) -> Option<&mut Load> {
        self.loads.iter_mut().find(|load| load.peer.entry == *name)
    }
}
