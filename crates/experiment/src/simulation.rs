//! The loop of virtual time: entries' decision machines against models of everything around them.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::control;
use decision::name::Name;
use decision::peer::Envelope;
use decision::request;
use decision::request::Attempt;
use decision::request::Outcome;
use decision::ticket::Ticket;
use decision::timeline;
use decision::worker;
use history::Fact;
use history::Log;
use rand::rngs::StdRng;

use crate::caller::Callers;
use crate::case::Fault;
use crate::case::Mistake;
use crate::case::Policy;
use crate::entry::Entry;
use crate::fault::Injection;
use crate::fleet::Activity;
use crate::fleet::Fleet;
use crate::operators::Operators;
use crate::platform::Operation;
use crate::platform::Platform;
use crate::queue::MS;
use crate::queue::Queue;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::queue::ms;
use crate::sample::Samples;
use crate::scenario::Scenario;
use crate::scenario::WARM_UP;
use crate::scenario::seeded_rng;

/// After the window, accepted batch work gets this much time to end.
const SETTLE_LIMIT: Us = 400 * SECOND;

/// The interval at which workers advance and are sampled.
pub(crate) const SAMPLE_INTERVAL: Us = 100 * MS;

/// Where an answer goes: an operation of one entry process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Correlation {
    pub entry: usize,
    pub incarnation: u64,
    pub key: u64,
}

/// An answer to an operation of an entry.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Table(decision::table::Outcome),
    Object(decision::object::Outcome),
    Worker(worker::Outcome),
    Ended(request::Ending),
    Peer(Envelope),
    /// No connection was established.
    Unreachable,
}

/// What happens inside an entry's process; it waits while the process is paused.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Tick,
    Wake,
    Answered(u64, Answer),
    Expired(u64),
    Call {
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    },
    Withdrawn {
        request: usize,
        sending: u32,
    },
    PeerMessage(Correlation, Envelope),
    OperatorCall(u64),
    Stop,
}

/// Anything that happens.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// In the process of that number at an entry.
    Input(usize, u64, Input),
    /// A sending arrives at whatever process runs at an entry.
    RequestArrived {
        entry: usize,
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    },
    /// A message from a peer arrives at whatever process runs at an entry.
    PeerMessage(usize, Correlation, Envelope),
    /// An operator's call arrives at whatever process runs at an entry.
    OperatorCall(usize, u64),
    /// An operator gets a reply, or none.
    OperatorReply(u64, Option<decision::operator::Reply>),
    /// An operator waits no longer for the reply to a try.
    ReplyTimeout(u64, u32),
    /// An operator's planned call is due.
    PlannedCall(usize),
    /// Two operators change the configuration.
    Reconfigure,
    /// A caller first sends a request.
    RequestDue(usize),
    /// A caller learns how a sending ended.
    Outcome {
        request: usize,
        sending: u32,
        outcome: Option<Outcome>,
        fresh: Option<Ticket>,
    },
    /// A caller gives up on a sending.
    SendingTimeout { request: usize, sending: u32 },
    /// Something arrives at a worker or ends there.
    Worker(usize, Activity),
    /// An operation reaches the platform's services.
    Platform(Correlation, Operation),
    /// The platform carries out an operation, answering if asked.
    Execute(Correlation, Operation, bool),
    /// The load balancer checks the entries.
    ReadinessCheck,
    /// Workers advance and are sampled.
    Sample,
    /// A fault begins or ends.
    Fault(Injection),
    /// A process starts.
    StartEntry(usize),
    /// A planned stop begins.
    StopEntry(usize),
}

/// One run's settings.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The decision logic.
    pub policy: Policy,
    /// What fails.
    pub faults: Vec<Fault>,
    /// What the harness does wrong on purpose.
    pub mistake: Option<Mistake>,
    /// Whether entries' decisions and the observers' records are printed to standard error.
    pub trace: bool,
}

/// Everything in a run.
pub(crate) struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub setup: Setup,
    pub queue: Queue<Event>,
    pub random: StdRng,
    pub log: Log,
    pub entries: Vec<Entry>,
    pub fleet: Fleet,
    pub callers: Callers,
    pub platform: Platform,
    pub operators: Operators,
    pub samples: Samples,
    /// Entries among which the load balancer spreads.
    pub ready_entries: Vec<usize>,
    /// The targets of all entries, which the baseline shares.
    pub shared_targets: BTreeMap<Name, request::Target>,
    /// Whether all worker commands arrive in time.
    pub commands_reliable: bool,
    finished: bool,
}

/// What a run leaves behind.
#[derive(Debug)]
pub struct Record {
    /// What everybody saw.
    pub log: Log,
    /// What was measured.
    pub samples: Samples,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, setup: Setup) -> Self {
        Self {
            scenario,
            queue: Queue::default(),
            random: seeded_rng(scenario.parameters.seed, "world"),
            log: Log::default(),
            entries: Vec::new(),
            fleet: Fleet::new(scenario),
            callers: Callers::new(scenario),
            platform: Platform::new(scenario),
            operators: Operators::new(scenario),
            samples: Samples::new(scenario),
            ready_entries: Vec::new(),
            shared_targets: BTreeMap::new(),
            commands_reliable: true,
            finished: false,
            setup,
        }
    }

    /// What the decision logic and the observers are told as the time.
    pub(crate) const fn now(&self) -> Ms {
        ms(self.queue.now())
    }

    /// Prints a decision of an entry when its run is traced.
    pub(crate) fn trace_note(&self, index: usize, note: &timeline::Note) {
        if self.setup.trace {
            let (now, entry) = (self.now(), &self.entries[index].name);
            eprintln!("{now} {entry} {note:?}");
        }
    }

    pub(crate) fn record(&mut self, fact: Fact) {
        if self.setup.trace {
            eprintln!("{} {fact:?}", self.now());
        }
        self.log.push(self.now(), fact);
    }

    fn prepare(&mut self) {
        self.record_workers();
        for entry in 0..self.scenario.parameters.entries {
            self.entries
                .push(Entry::without_process(self.scenario, entry));
            self.queue
                .schedule_at(entry as u64 * 37 * MS, Event::StartEntry(entry));
        }
        self.queue.schedule_at(0, Event::ReadinessCheck);
        self.queue.schedule_at(0, Event::Sample);
        for (index, request) in self.scenario.requests.iter().enumerate() {
            self.queue.schedule_at(request.at, Event::RequestDue(index));
        }
        for (at, entry) in &self.scenario.restarts {
            self.queue.schedule_at(*at, Event::StopEntry(*entry));
        }
        self.schedule_operators();
        self.schedule_faults();
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Input(entry, incarnation, input) => {
                self.handle_input(entry, incarnation, input);
            }
            Event::RequestArrived {
                entry,
                request,
                sending,
                ticket,
                remaining,
            } => self.deliver_request(entry, request, sending, ticket, remaining),
            Event::PeerMessage(entry, correlation, envelope) => {
                self.deliver_peer_message(entry, correlation, envelope)
            }
            Event::OperatorCall(entry, key) => self.deliver_operator_call(entry, key),
            Event::OperatorReply(key, reply) => self.receive_reply(key, reply),
            Event::ReplyTimeout(key, tries) => self.resend_call(key, tries),
            Event::PlannedCall(index) => self.send_planned(index),
            Event::Reconfigure => self.reconfigure(),
            Event::RequestDue(request) => self.send_due(request),
            Event::Outcome {
                request,
                sending,
                outcome,
                fresh,
            } => self.receive_outcome(request, sending, outcome, fresh),
            Event::SendingTimeout { request, sending } => self.time_out_sending(request, sending),
            Event::Worker(vm, activity) => self.handle_activity(vm, activity),
            Event::Platform(correlation, operation) => {
                self.receive_operation(correlation, operation)
            }
            Event::Execute(correlation, operation, answering) => {
                self.execute(correlation, operation, answering)
            }
            Event::ReadinessCheck => self.check_readiness(),
            Event::Sample => self.sample(),
            Event::Fault(injection) => self.inject(injection),
            Event::StartEntry(entry) => self.start_entry(entry),
            Event::StopEntry(entry) => self.request_stop(entry),
        }
    }

    fn check_readiness(&mut self) {
        let now = self.queue.now();
        let ready = |entry: &Entry| entry.ready(now);
        let entries = self.entries.iter().enumerate();
        self.ready_entries = entries
            .filter(|(_, entry)| ready(entry))
            .map(|(index, _)| index)
            .collect();
        self.queue.schedule_after(500 * MS, Event::ReadinessCheck);
    }

    fn sample(&mut self) {
        self.advance_workers();
        self.record_listed();
        let now = self.queue.now();
        let scenario = self.scenario;
        if now == WARM_UP || now == scenario.end() {
            self.samples.record_table_count(now, self.platform.count());
        }
        if now >= WARM_UP && now < scenario.end() {
            let busy = self.fleet.utilisation();
            self.samples.record_utilisation(now, busy);
        }
        if now == scenario.end() {
            let batch = self.fleet.ledger.summary();
            self.samples.batch = batch;
        }
        let settled = now >= scenario.end() + 10 * SECOND && self.all_ended();
        self.finished = settled || now >= scenario.end() + SETTLE_LIMIT;
        self.queue.schedule_after(SAMPLE_INTERVAL, Event::Sample);
    }
}

/// Runs a case under a policy until all accepted batch work has ended or should have.
#[must_use]
pub fn run(scenario: &Scenario, setup: Setup) -> Record {
    let mut simulation = Simulation::new(scenario, setup);
    simulation.prepare();
    while !simulation.finished {
        let Some(event) = simulation.queue.pop() else {
            break;
        };
        simulation.dispatch(event);
    }
    simulation.record(Fact::Settled);
    Record {
        log: simulation.log,
        samples: simulation.samples,
    }
}

/// Operations of the control path and attempts of the request path, by what they wait for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Table(control::Id),
    Object(control::Id),
    Command(control::Id, worker::Command),
    Message(control::Id),
    Attempt(Attempt),
    Forward(Attempt),
    Book,
}
