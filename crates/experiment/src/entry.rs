//! The process of an entry: its machines, its pending operations and its life cycle.

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

use crate::path;
use crate::path::Control;
use crate::path::Requests;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;
use crate::scenario::domain;
use crate::scenario::name;
use crate::simulation::CLOCK_START;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Input;
use crate::simulation::Purpose;
use crate::simulation::Simulation;

/// The interval of ticks of the request path. The control path ticks on every 10th of them, and the
/// VM list is read on every 100th.
const TICK: Us = 10 * MS;

/// The time after which a process exits even if its planned stop has not finished.
const STOP_TIMEOUT: Us = 20 * SECOND;

/// The time between the exit of a stopped process and the start of the next one.
const RESTART_DELAY: Us = 3 * SECOND;

/// The origin of a call, to which its outcome is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Origin {
    Caller { request: usize, sending: u32 },
    Peer(Correlation),
}

/// The phase of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The process accepts no new requests and waits for those in flight to end.
    Draining,
    /// The process waits for a successor to confirm that it adopted the tickets.
    HandingOver,
    /// The control path hands its groups over.
    Leaving,
    /// The control path owns nothing any more, so the process can exit.
    Left,
}

/// An entry with the state of its process.
pub(crate) struct Entry {
    pub name: Name,
    pub address: SocketAddr,
    pub domain: Name,
    /// Whether a process runs, paused or not.
    pub alive: bool,
    pub incarnation: u64,
    /// The process handles no inputs before this time.
    pub paused_until: Us,
    /// The configuration version in force, absent before the first one.
    pub version: Option<Version>,
    pub lamport: u64,
    /// Calls in progress by id.
    pub calls: BTreeMap<u64, Origin>,
    /// The ids of callers' calls in progress, by request and sending.
    pub sendings: BTreeMap<(usize, u32), u64>,
    /// The operations of peers that wait for a response, by tag.
    pub peer_requests: BTreeMap<u64, Correlation>,
    /// The keys of the operators' calls that wait for a reply, by tag.
    pub operator_calls: BTreeMap<u64, u64>,
    /// Operations that wait for an answer, by key.
    pub pending: BTreeMap<u64, Purpose>,
    /// The keys of the operations that belong to attempts.
    pub attempts: BTreeMap<Attempt, u64>,
    pub peers: Vec<request::Peer>,
    pub requests: Option<Box<dyn Requests>>,
    pub control: Option<Control>,
    /// The phase and the start of a planned stop.
    stopping: Option<(Phase, Us)>,
    ticks: u64,
    last_number: u64,
    /// The time of the scheduled wake, if one is scheduled.
    next_wake: Option<Ms>,
}

impl Entry {
    /// Creates an entry whose process is not running.
    pub(crate) fn without_process(scenario: &Scenario, index: usize) -> Self {
        let plant = scenario.parameters.case.plant();
        let site = if plant { "plant" } else { "coast" };
        Self {
            name: name(&format!("{site}-{index}")),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
            domain: domain(index),
            alive: false,
            incarnation: 0,
            paused_until: 0,
            version: None,
            lamport: 0,
            calls: BTreeMap::new(),
            sendings: BTreeMap::new(),
            peer_requests: BTreeMap::new(),
            operator_calls: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            peers: Vec::new(),
            requests: None,
            control: None,
            stopping: None,
            ticks: 0,
            last_number: 0,
            next_wake: None,
        }
    }

    /// Whether the load balancer may send callers to this entry.
    pub(crate) fn ready(&self, now: Us) -> bool {
        self.alive && self.version.is_some() && self.stopping.is_none() && self.paused_until <= now
    }

    /// Returns a number that no earlier operation of this entry has.
    pub(crate) const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Registers a new operation that waits for an answer.
    pub(crate) fn register(&mut self, index: usize, purpose: Purpose) -> Correlation {
        let key = self.next_number();
        if let Purpose::Attempt(attempt) | Purpose::Forward(attempt) = &purpose {
            self.attempts.insert(*attempt, key);
        }
        self.pending.insert(key, purpose);
        self.correlation(index, key)
    }

    /// The identity of the operation with this key in the current process.
    pub(crate) const fn correlation(&self, index: usize, key: u64) -> Correlation {
        Correlation {
            entry: index,
            incarnation: self.incarnation,
            key,
        }
    }

    /// Wraps a message with the sender's identity and advances its Lamport clock.
    pub(crate) fn envelope(&mut self, message: Message) -> Envelope {
        self.lamport += 1;
        Envelope {
            from: self.name.clone(),
            incarnation: self.incarnation,
            lamport: self.lamport,
            message,
        }
    }

    /// Marks the planned stop as complete once the control path owns nothing any more.
    pub(crate) fn mark_left(&mut self) {
        if let Some((phase, _)) = &mut self.stopping {
            *phase = Phase::Left;
        }
    }
}

impl Simulation<'_> {
    pub(crate) fn start_entry(&mut self, index: usize) {
        let seeds = self.entries.iter().map(|entry| entry.address).collect();
        let fresh = Entry::without_process(self.scenario, index);
        let entry = &mut self.entries[index];
        if entry.alive {
            return;
        }
        // Incarnations have to be unique over all entries and all their processes.
        let incarnation = entry.incarnation + 1_000 + index as u64;
        let identity = Identity {
            entry: fresh.name.clone(),
            incarnation,
            address: fresh.address,
            domain: fresh.domain.clone(),
            seeds,
            seed: self.scenario.parameters.seed ^ incarnation,
        };
        let (requests, control) = path::machines(self.setup.policy, identity);
        let last_number = entry.last_number;
        *entry = Entry {
            alive: true,
            incarnation,
            requests: Some(requests),
            control: Some(control),
            last_number,
            ..fresh
        };
        self.record_life(index, Life::Started);
        self.schedule_input(index, 0, Input::Tick);
    }

    /// Schedules an input for the current process of an entry after a duration.
    pub(crate) fn schedule_input(&mut self, index: usize, after: Us, input: Input) {
        let incarnation = self.entries[index].incarnation;
        let event = Event::Input(index, incarnation, input);
        self.queue.schedule_after(after, event);
    }

    pub(crate) fn record_life(&mut self, index: usize, life: Life) {
        let entry = self.entries[index].name.clone();
        self.record(Fact::Entry { entry, life });
    }

    pub(crate) fn request_stop(&mut self, index: usize) {
        if self.entries[index].alive {
            self.schedule_input(index, 0, Input::Stop);
        }
    }

    pub(crate) fn handle_input(&mut self, index: usize, incarnation: u64, input: Input) {
        let now = self.queue.now();
        let entry = &self.entries[index];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.paused_until > now {
            let event = Event::Input(index, incarnation, input);
            self.queue.schedule_at(entry.paused_until, event);
            return;
        }
        match input {
            Input::Tick => self.tick(index),
            Input::Wake => {
                self.entries[index].next_wake = None;
                self.step_requests(index, request::Event::Tick);
            }
            Input::Answered(key, answer) => self.receive_answer(index, key, answer),
            Input::Expired(key) => self.expire_operation(index, key),
            Input::Call {
                request,
                sending,
                ticket,
                remaining,
            } => self.receive_call(index, request, sending, ticket, remaining),
            Input::Withdrawn { request, sending } => self.withdraw(index, request, sending),
            Input::PeerMessage(correlation, envelope) => {
                self.receive_peer_message(index, correlation, envelope)
            }
            Input::OperatorCall(key) => self.receive_operator_call(index, key),
            Input::Stop => self.begin_stop(index),
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let clock = self.entry_clock();
        self.schedule_input(index, TICK, Input::Tick);
        let ticks = self.entries[index].ticks;
        self.entries[index].ticks += 1;
        self.step_requests(index, request::Event::Tick);
        if ticks.is_multiple_of(100) {
            let vms = self.platform.vms.list(now).to_vec();
            self.step_control(index, control::Event::Vms(vms));
        }
        if ticks.is_multiple_of(10) {
            let requests = self.entries[index].requests.as_ref();
            if let Some(summary) = requests.map(|requests| requests.summary(clock)) {
                self.step_control(index, control::Event::Load(summary));
            }
            self.step_control(index, control::Event::Tick);
        }
        self.advance_stop(index);
    }

    fn begin_stop(&mut self, index: usize) {
        let now = self.queue.now();
        if self.entries[index].stopping.is_some() {
            return;
        }
        self.entries[index].stopping = Some((Phase::Draining, now));
        self.record_life(index, Life::Stopping);
        self.step_requests(index, request::Event::Stopping);
    }

    fn advance_stop(&mut self, index: usize) {
        let now = self.queue.now();
        let Some((phase, since)) = self.entries[index].stopping else {
            return;
        };
        if phase == Phase::Left || now > since + STOP_TIMEOUT {
            return self.exit(index);
        }
        let requests = self.entries[index].requests.as_ref();
        if phase == Phase::Draining && requests.is_some_and(|requests| requests.idle()) {
            self.hand_over_book(index, since);
        }
    }

    fn hand_over_book(&mut self, index: usize, since: Us) {
        let now = self.entry_clock();
        let entry = &mut self.entries[index];
        let successor = entry.peers.iter().find(|peer| !peer.stopping);
        let successor = successor.map(|peer| peer.entry.clone());
        let book = entry
            .requests
            .as_mut()
            .map(|requests| requests.hand_over_tickets(now));
        entry.stopping = Some((Phase::HandingOver, since));
        let to = successor.and_then(|to| self.entries.iter().position(|entry| entry.name == to));
        match (to, book) {
            (Some(to), Some(book)) => {
                self.send_message(index, to, Purpose::Book, Message::Book(book), 2 * SECOND);
            }
            _ => self.release_groups(index),
        }
    }

    /// Starts the handover of groups, once the successor has adopted the tickets or did not answer,
    /// or if there is no successor.
    pub(crate) fn release_groups(&mut self, index: usize) {
        if let Some((phase, _)) = &mut self.entries[index].stopping {
            *phase = Phase::Leaving;
        }
        self.step_control(index, control::Event::Stopping);
    }

    fn exit(&mut self, index: usize) {
        self.entries[index].alive = false;
        self.record_life(index, Life::Exited);
        self.break_connections(index);
        self.queue
            .schedule_after(RESTART_DELAY, Event::StartEntry(index));
    }

    pub(crate) fn step_requests(&mut self, index: usize, event: request::Event) {
        let now = self.entry_clock();
        let Some(requests) = &mut self.entries[index].requests else {
            return;
        };
        let actions = requests.step(now, event);
        let next = requests.next_timer();
        for action in actions {
            self.execute_request_action(index, action);
        }
        self.wake_at(index, next);
    }

    fn wake_at(&mut self, index: usize, next: Option<Ms>) {
        let now = self.entry_clock();
        let entry = &mut self.entries[index];
        let Some(next) = next.map(|next| next.max(now + Ms(1))) else {
            return;
        };
        if next.since(now).0 * MS < TICK && entry.next_wake.is_none_or(|next_wake| next < next_wake)
        {
            entry.next_wake = Some(next);
            let event = Event::Input(index, entry.incarnation, Input::Wake);
            self.queue
                .schedule_at(next.since(CLOCK_START).0 * MS, event);
        }
    }

    pub(crate) fn step_control(&mut self, index: usize, event: control::Event) {
        let now = self.entry_clock();
        let Some(control) = &mut self.entries[index].control else {
            return;
        };
        for action in control.step(now, event) {
            self.execute_control_action(index, action);
        }
    }
}
