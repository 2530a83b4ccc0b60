//! The load of the peers and the choice of a peer to forward to.

use crate::name::Name;
use crate::request::Peer;
use crate::ticket::Ticket;

#[derive(Debug)]
struct Load {
    peer: Peer,
    /// Requests in flight at the peer that were forwarded since it last reported its load.
    in_flight: u32,
    /// All requests forwarded since then, including those that have ended.
    forwarded: u32,
}

impl Load {
    const fn free(&self) -> u32 {
        self.peer.free.saturating_sub(self.in_flight)
    }

    /// The ratio of free slots to waiting requests that the peer reported, divided by the number of
    /// requests forwarded to it since.
    fn score(&self) -> f32 {
        let reported = (self.peer.free as f32 + 1.0) / (self.peer.waiting as f32 + 1.0);
        reported / (self.forwarded as f32 + 1.0)
    }
}

/// The live peers with the requests forwarded to each.
#[derive(Debug, Default)]
pub struct Peers {
    loads: Vec<Load>,
}

impl Peers {
    /// Replaces the list of live peers.
    pub fn update(&mut self, peers: Vec<Peer>) {
        let mut former = std::mem::take(&mut self.loads);
        self.loads = peers
            .into_iter()
            .map(|peer| {
                // An unchanged summary is no new report, so the counters continue.
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

    /// Returns the peer that is responsible for a ticket: the adopter of its issuer, or the issuer
    /// itself.
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

    /// Returns the peer that took over the tickets of an incarnation.
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

    /// Returns a peer with free slots. Each peer is chosen in proportion to its free slots: all
    /// entries see the same reports, so if each of them sent everything to the peer with most free
    /// slots, they would overload it until its next report.
    #[must_use]
    pub fn with_free_slots(&self) -> Option<&Name> {
        let free = self.accepting().filter(|load| load.free() > 0);
        Self::highest_score(free)
    }

    /// Returns a peer to forward to when this entry has no usable target.
    #[must_use]
    pub fn least_loaded(&self) -> Option<&Name> {
        Self::highest_score(self.accepting())
    }

    fn highest_score<'a>(loads: impl Iterator<Item = &'a Load>) -> Option<&'a Name> {
        loads
            .max_by(|a, b| a.score().total_cmp(&b.score()))
            .map(|load| &load.peer.entry)
    }

    /// Counts a request that is forwarded to a peer.
    pub fn record_forward(&mut self, entry: &Name) {
        if let Some(load) = self.find(entry) {
            load.in_flight = load.in_flight.saturating_add(1);
            load.forwarded = load.forwarded.saturating_add(1);
        }
    }

    /// Records that a forwarded request ended, which frees a slot at the peer.
    pub fn record_completion(&mut self, entry: &Name) {
        if let Some(load) = self.find(entry) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records that a peer refused a request. The peer counts as full until its next report.
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
