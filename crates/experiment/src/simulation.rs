//! The event loop of the simulation, which runs the decision machines of the entries in virtual
//! time against models of callers, operators, workers and the platform.

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

/// The time after the window within which accepted batch work has to end.
const SETTLE_LIMIT: Us = 400 * SECOND;

/// The time of the entries' clocks at the start of a run. They have run for ten hours then, so that
/// a time that was never set is not taken for a recent one.
pub(crate) const CLOCK_START: Ms = Ms(36_000_000);

/// The interval at which the tasks of all workers advance and utilisation is sampled.
pub(crate) const SAMPLE_INTERVAL: Us = 100 * MS;

/// Identifies the operation of an entry process to which an answer belongs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Correlation {
    /// The index of the entry.
    pub entry: usize,
    /// The incarnation of the process. Answers to an earlier process are dropped.
    pub incarnation: u64,
    /// The number of the operation, unique within the process.
    pub key: u64,
}

/// An answer to an operation of an entry.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Table(decision::table::Outcome),
    Object(decision::object::Outcome),
    Worker(worker::Outcome),
    /// The end of an attempt of a request on a worker.
    Ended(request::Ending),
    Peer(Envelope),
    /// No connection could be established, so the operation had no effect.
    Unreachable,
}

/// An input of an entry's process. While the process is paused, its inputs wait.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Tick,
    /// The request path needs a tick between two regular ones.
    Wake,
    /// The answer to the operation of that key.
    Answered(u64, Answer),
    /// The operation of that key had no answer within its timeout.
    Expired(u64),
    /// A sending of a caller, with the time that remains until the caller's deadline.
    Call {
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    },
    /// The caller closed the connection of a sending.
    Withdrawn {
        request: usize,
        sending: u32,
    },
    /// A message from a peer, with the operation that waits for the response.
    PeerMessage(Correlation, Envelope),
    /// The operators' call of that key.
    OperatorCall(u64),
    /// A planned stop begins.
    Stop,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// An input reaches the process of an entry, if the incarnation still runs.
    Input(usize, u64, Input),
    /// A sending of a caller arrives at the process that currently runs at an entry.
    RequestArrived {
        entry: usize,
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    },
    /// A message from a peer arrives at the process that currently runs at an entry.
    PeerMessage(usize, Correlation, Envelope),
    /// The operators' call of that key arrives at the process that currently runs at an entry.
    OperatorCall(usize, u64),
    /// An operator receives the reply to the call of that key, absent when the connection broke.
    OperatorReply(u64, Option<decision::operator::Reply>),
    /// The call of that key is sent again, unless it is settled or a later try than this one
    /// exists.
    ReplyTimeout(u64, u32),
    /// The planned call of that index is due.
    PlannedCall(usize),
    /// One operator changes the configuration, or two do so at the same time.
    Reconfigure,
    /// A caller sends a request for the first time or, for some requests, a second time.
    RequestDue(usize),
    /// A caller receives the outcome of a sending, absent when the connection broke, and possibly a
    /// fresh ticket.
    Outcome {
        request: usize,
        sending: u32,
        outcome: Option<Outcome>,
        fresh: Option<Ticket>,
    },
    /// A caller stops waiting for the outcome of a sending.
    SendingTimeout { request: usize, sending: u32 },
    /// A request, command or cancellation arrives at a worker, or a run on it finishes.
    Worker(usize, Activity),
    /// An operation arrives at the table or the object store.
    Platform(Correlation, Operation),
    /// The table or the object store executes an operation; the flag tells whether the answer
    /// reaches the sender.
    Execute(Correlation, Operation, bool),
    /// The load balancer checks which entries are ready.
    ReadinessCheck,
    /// The tasks of all workers advance and utilisation is sampled.
    Sample,
    /// A fault begins or ends.
    Fault(Injection),
    /// The process of an entry starts.
    StartEntry(usize),
    /// A planned stop of an entry's process begins.
    StopEntry(usize),
}

/// The settings of one run beside the scenario.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The decision logic that the entries run.
    pub policy: Policy,
    /// The faults that are injected.
    pub faults: Vec<Fault>,
    /// A deliberate mistake of the harness that a check has to report; absent in measurements.
    pub mistake: Option<Mistake>,
    /// Whether the decisions of entries and all recorded facts are printed to standard error.
    pub trace: bool,
}

/// The state of a run.
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
    /// The entries that the load balancer found ready at its last check.
    pub ready_entries: Vec<usize>,
    /// The targets of all entries. Under the baseline every entry sends to all of them.
    pub shared_targets: BTreeMap<Name, request::Target>,
    /// Whether all worker commands arrive in time; false while connections go silent.
    pub commands_reliable: bool,
    /// Whether the run is over.
    finished: bool,
}

/// The results of a run.
#[derive(Debug)]
pub struct Record {
    /// The facts that all observers recorded.
    pub log: Log,
    /// The measurements within the window.
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

    /// The current virtual time in milliseconds, as the platform and the observers use it.
    pub(crate) const fn now(&self) -> Ms {
        ms(self.queue.now())
    }

    /// The current time of the entries' clocks.
    pub(crate) fn entry_clock(&self) -> Ms {
        CLOCK_START + self.now()
    }

    /// Prints a note of an entry's decision logic if the run is traced.
    pub(crate) fn trace_note(&self, index: usize, note: &timeline::Note) {
        if self.setup.trace {
            let (now, entry) = (self.now(), &self.entries[index].name);
            eprintln!("{now} {entry} {note:?}");
        }
    }

    /// Adds a fact to the history, and prints it if the run is traced.
    pub(crate) fn record(&mut self, fact: Fact) {
        if self.setup.trace {
            eprintln!("{} {fact:?}", self.now());
        }
        self.log.push(self.now(), fact);
    }

    /// Records the initial facts and schedules everything that is planned from the start.
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

/// Runs a scenario until all accepted batch work has ended or the time for it is over.
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

/// The purpose of an entry's pending operation, which tells where the machines expect its answer.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Table(control::Id),
    Object(control::Id),
    Command(control::Id, worker::Command),
    Message(control::Id),
    Attempt(Attempt),
    Forward(Attempt),
    /// The handover of the tickets to a successor during a planned stop.
    Book,
}
