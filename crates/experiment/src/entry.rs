//! One entry's process: its machines, what it waits for, and its life cycle.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use decision::clock::Ms;
use decision::config::Version;
use decision::control;
use decision::control::Identity;
use decision::name::Name;
use decision::peer::Envelope;
use decision::peer::Message;
use decision::request;
use decision::request::Attempt;
use history::Fact;
use history::Life;

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::path;
use crate::path::Control;
use crate::path::Requests;
use crate::scene::Scene;
use crate::scene::domain;
use crate::scene::name;
use crate::world::Back;
use crate::world::Happening;
use crate::world::Inside;
use crate::world::Purpose;
use crate::world::World;

/// The request path ticks so often, the control path and the VM list on every 10th and 100th.
const TICK: Us = 10 * MS;

/// A process that has not finished its planned stop by then ends anyway.
const STOP_LIMIT: Us = 20 * SECOND;

/// A stopped process is started again after this time.
const RESTART: Us = 3 * SECOND;

/// Whom a call's outcome goes to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin {
    Caller { request: usize, sending: u32 },
    Peer(Back),
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Requests in flight end.
    Draining,
    /// The tickets are on their way to a successor.
    Handing,
    /// Groups are handed over.
    Leaving,
    /// Nothing is owned any more.
    Left,
}

/// An entry and its process, if one runs.
pub(crate) struct Entry {
    pub name: Name,
    pub address: SocketAddr,
    pub domain: Name,
    pub alive: bool,
    pub incarnation: u64,
    /// The process stands still until then.
    pub paused: Us,
    pub version: Option<Version>,
    pub lamport: u64,
    pub calls: BTreeMap<u64, Origin>,
    /// Calls of callers by request and sending.
    pub sendings: BTreeMap<(usize, u32), u64>,
    pub asked: BTreeMap<u64, Back>,
    pub operating: BTreeMap<u64, u64>,
    pub pending: BTreeMap<u64, Purpose>,
    pub attempts: BTreeMap<Attempt, u64>,
    pub peers: Vec<request::Peer>,
    pub requests: Option<Box<dyn Requests>>,
    pub control: Option<Control>,
    stopping: Option<(Phase, Us)>,
    ticks: u64,
    numbers: u64,
    wake: Option<Ms>,
}

impl Entry {
    /// An entry without a process.
    pub(crate) fn absent(scene: &Scene, index: usize) -> Self {
        let plant = scene.shape.case.plant();
        let site = if plant { "plant" } else { "coast" };
        Self {
            name: name(&format!("{site}-{index}")),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
            domain: domain(index),
            alive: false,
            incarnation: 0,
            paused: 0,
            version: None,
            lamport: 0,
            calls: BTreeMap::new(),
            sendings: BTreeMap::new(),
            asked: BTreeMap::new(),
            operating: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            peers: Vec::new(),
            requests: None,
            control: None,
            stopping: None,
            ticks: 0,
            numbers: 0,
            wake: None,
        }
    }

    /// Whether the load balancer sends callers here.
    pub(crate) fn ready(&self, now: Us) -> bool {
        self.alive && self.version.is_some() && self.stopping.is_none() && self.paused <= now
    }

    /// A number that no operation of this process had before.
    pub(crate) const fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Notes what a new operation is for.
    pub(crate) fn expect(&mut self, index: usize, purpose: Purpose) -> Back {
        let key = self.number();
        if let Purpose::Attempt(attempt) | Purpose::Forward(attempt) = &purpose {
            self.attempts.insert(*attempt, key);
        }
        self.pending.insert(key, purpose);
        self.back(index, key)
    }

    /// The operation of that number of this process.
    pub(crate) const fn back(&self, index: usize, key: u64) -> Back {
        Back {
            entry: index,
            incarnation: self.incarnation,
            key,
        }
    }

    /// A message of this process.
    pub(crate) fn envelope(&mut self, message: Message) -> Envelope {
        self.lamport += 1;
        Envelope {
            from: self.name.clone(),
            incarnation: self.incarnation,
            lamport: self.lamport,
            message,
        }
    }

    /// Notes the control path's report that nothing is owned any more.
    pub(crate) fn left(&mut self) {
        if let Some((phase, _)) = &mut self.stopping {
            *phase = Phase::Left;
        }
    }
}

impl World<'_> {
    pub(crate) fn start(&mut self, index: usize) {
        let seeds = self.entries.iter().map(|entry| entry.address).collect();
        let fresh = Entry::absent(self.scene, index);
        let entry = &mut self.entries[index];
        if entry.alive {
            return;
        }
        // Unique for all time over all entries.
        let incarnation = entry.incarnation + 1_000 + index as u64;
        let identity = Identity {
            entry: fresh.name.clone(),
            incarnation,
            address: fresh.address,
            domain: fresh.domain.clone(),
            seeds,
            seed: self.scene.shape.seed ^ incarnation,
        };
        let (requests, control) = path::machines(self.setup.policy, identity);
        let numbers = entry.numbers;
        *entry = Entry {
            alive: true,
            incarnation,
            requests: Some(requests),
            control: Some(control),
            numbers,
            ..fresh
        };
        self.see_life(index, Life::Started);
        self.inside(index, 0, Inside::Tick);
    }

    /// Lets something happen in the process that runs now at an entry, after a duration.
    pub(crate) fn inside(&mut self, index: usize, after: Us, inside: Inside) {
        let incarnation = self.entries[index].incarnation;
        let happening = Happening::Entry(index, incarnation, inside);
        self.agenda.after(after, happening);
    }

    pub(crate) fn see_life(&mut self, index: usize, life: Life) {
        let entry = self.entries[index].name.clone();
        self.see(Fact::Entry { entry, life });
    }

    pub(crate) fn stop(&mut self, index: usize) {
        if self.entries[index].alive {
            self.inside(index, 0, Inside::Stop);
        }
    }

    pub(crate) fn enter(&mut self, index: usize, incarnation: u64, inside: Inside) {
        let now = self.agenda.now();
        let entry = &self.entries[index];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.paused > now {
            let happening = Happening::Entry(index, incarnation, inside);
            self.agenda.put(entry.paused, happening);
            return;
        }
        match inside {
            Inside::Tick => self.tick(index),
            Inside::Wake => {
                self.entries[index].wake = None;
                self.step_requests(index, request::Event::Tick);
            }
            Inside::Answered(key, answer) => self.answered(index, key, answer),
            Inside::Expired(key) => self.expired(index, key),
            Inside::Call {
                request,
                sending,
                ticket,
                remaining,
            } => self.take_call(index, request, sending, ticket, remaining),
            Inside::Withdrawn { request, sending } => self.withdraw(index, request, sending),
            Inside::Asked(back, envelope) => self.asked(index, back, envelope),
            Inside::Operated(key) => self.operated(index, key),
            Inside::Stop => self.begin_stop(index),
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        self.inside(index, TICK, Inside::Tick);
        let ticks = self.entries[index].ticks;
        self.entries[index].ticks += 1;
        self.step_requests(index, request::Event::Tick);
        if ticks.is_multiple_of(100) {
            let vms = self.platform.vms.list(now).to_vec();
            self.step_control(index, control::Event::Vms(vms));
        }
        if ticks.is_multiple_of(10) {
            let requests = self.entries[index].requests.as_ref();
            if let Some(summary) = requests.map(|requests| requests.summary(now)) {
                self.step_control(index, control::Event::Load(summary));
            }
            self.step_control(index, control::Event::Tick);
        }
        self.go_on_stopping(index);
    }

    fn begin_stop(&mut self, index: usize) {
        let now = self.agenda.now();
        if self.entries[index].stopping.is_some() {
            return;
        }
        self.entries[index].stopping = Some((Phase::Draining, now));
        self.see_life(index, Life::Stopping);
        self.step_requests(index, request::Event::Stopping);
    }

    fn go_on_stopping(&mut self, index: usize) {
        let now = self.agenda.now();
        let Some((phase, since)) = self.entries[index].stopping else {
            return;
        };
        if phase == Phase::Left || now > since + STOP_LIMIT {
            return self.exit(index);
        }
        let requests = self.entries[index].requests.as_ref();
        if phase == Phase::Draining && requests.is_some_and(|requests| requests.idle()) {
            self.hand_book(index, since);
        }
    }

    fn hand_book(&mut self, index: usize, since: Us) {
        let now = self.now();
        let entry = &mut self.entries[index];
        let successor = entry.peers.iter().find(|peer| !peer.stopping);
        let successor = successor.map(|peer| peer.entry.clone());
        let book = entry
            .requests
            .as_mut()
            .map(|requests| requests.hand_over_tickets(now));
        entry.stopping = Some((Phase::Handing, since));
        let to = successor.and_then(|to| self.entries.iter().position(|entry| entry.name == to));
        match (to, book) {
            (Some(to), Some(book)) => {
                self.tell(index, to, Purpose::Book, Message::Book(book), 2 * SECOND);
            }
            _ => self.leave_groups(index),
        }
    }

    /// The tickets are with the successor, or nobody answers for them.
    pub(crate) fn leave_groups(&mut self, index: usize) {
        if let Some((phase, _)) = &mut self.entries[index].stopping {
            *phase = Phase::Leaving;
        }
        self.step_control(index, control::Event::Stopping);
    }

    fn exit(&mut self, index: usize) {
        self.entries[index].alive = false;
        self.see_life(index, Life::Exited);
        self.cut_callers(index);
        self.agenda.after(RESTART, Happening::Start(index));
    }

    pub(crate) fn step_requests(&mut self, index: usize, event: request::Event) {
        let now = self.now();
        let Some(requests) = &mut self.entries[index].requests else {
            return;
        };
        let actions = requests.step(now, event);
        let next = requests.next_timer();
        for action in actions {
            self.do_request(index, action);
        }
        self.wake_at(index, next);
    }

    fn wake_at(&mut self, index: usize, next: Option<Ms>) {
        let now = self.now();
        let entry = &mut self.entries[index];
        let Some(next) = next.map(|next| next.max(now + Ms(1))) else {
            return;
        };
        if next.since(now).0 * MS < TICK && entry.wake.is_none_or(|wake| next < wake) {
            entry.wake = Some(next);
            let happening = Happening::Entry(index, entry.incarnation, Inside::Wake);
            self.agenda.put(next.0 * MS, happening);
        }
    }

    pub(crate) fn step_control(&mut self, index: usize, event: control::Event) {
        let now = self.now();
        let Some(control) = &mut self.entries[index].control else {
            return;
        };
        for action in control.step(now, event) {
            self.do_control(index, action);
        }
    }
}
