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

use crate::agenda::Agenda;
use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::agenda::ms;
use crate::caller::Callers;
use crate::case::Fault;
use crate::case::Mistake;
use crate::case::Policy;
use crate::entry::Entry;
use crate::fault::Trouble;
use crate::fleet::Fleet;
use crate::fleet::Work;
use crate::operators::Operators;
use crate::platform::Platform;
use crate::platform::Query;
use crate::sample::Samples;
use crate::scene::Scene;
use crate::scene::WARM_UP;
use crate::scene::stream;

/// After the window, accepted batch work gets this much time to end.
const SETTLE: Us = 400 * SECOND;

/// The interval at which workers advance and are sampled.
pub(crate) const SAMPLE: Us = 100 * MS;

/// Where an answer goes: an operation of one entry process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Back {
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
pub(crate) enum Inside {
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
    Asked(Back, Envelope),
    Operated(u64),
    Stop,
}

/// Anything that happens.
#[derive(Clone, Debug)]
pub(crate) enum Happening {
    /// In the process of that number at an entry.
    Entry(usize, u64, Inside),
    /// A sending arrives at whatever process runs at an entry.
    Arrive {
        entry: usize,
        request: usize,
        sending: u32,
        ticket: Option<Ticket>,
        remaining: Us,
    },
    /// A message from a peer arrives at whatever process runs at an entry.
    Peer(usize, Back, Envelope),
    /// An operator's call arrives at whatever process runs at an entry.
    Operate(usize, u64),
    /// An operator gets a reply, or none.
    Replied(u64, Option<decision::operator::Reply>),
    /// An operator waits no longer for the reply to a try.
    Impatient(u64, u32),
    /// An operator's planned call is due.
    Planned(usize),
    /// Two operators change the configuration.
    Reconfigure,
    /// A caller first sends a request.
    Request(usize),
    /// A caller learns how a sending ended.
    Outcome {
        request: usize,
        sending: u32,
        outcome: Option<Outcome>,
        fresh: Option<Ticket>,
    },
    /// A caller gives up on a sending.
    GiveUp { request: usize, sending: u32 },
    /// Something arrives at a worker or ends there.
    Worker(usize, Work),
    /// An operation reaches the platform's services.
    Platform(Back, Query),
    /// The platform carries out an operation, answering if asked.
    Carry(Back, Query, bool),
    /// The load balancer checks the entries.
    Balance,
    /// Workers advance and are sampled.
    Sample,
    /// A fault begins or ends.
    Trouble(Trouble),
    /// A process starts.
    Start(usize),
    /// A planned stop begins.
    Stop(usize),
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
pub(crate) struct World<'a> {
    pub scene: &'a Scene,
    pub setup: Setup,
    pub agenda: Agenda<Happening>,
    pub random: StdRng,
    pub log: Log,
    pub entries: Vec<Entry>,
    pub fleet: Fleet,
    pub callers: Callers,
    pub platform: Platform,
    pub operators: Operators,
    pub samples: Samples,
    /// Entries among which the load balancer spreads.
    pub balanced: Vec<usize>,
    /// The targets of all entries, which the baseline shares.
    pub registry: BTreeMap<Name, request::Target>,
    /// Whether all worker commands arrive in time.
    pub loud: bool,
    over: bool,
}

/// What a run leaves behind.
#[derive(Debug)]
pub struct Record {
    /// What everybody saw.
    pub log: Log,
    /// What was measured.
    pub samples: Samples,
}

impl<'a> World<'a> {
    fn new(scene: &'a Scene, setup: Setup) -> Self {
        Self {
            scene,
            agenda: Agenda::default(),
            random: stream(scene.shape.seed, "world"),
            log: Log::default(),
            entries: Vec::new(),
            fleet: Fleet::new(scene),
            callers: Callers::new(scene),
            platform: Platform::new(scene),
            operators: Operators::new(scene),
            samples: Samples::new(scene),
            balanced: Vec::new(),
            registry: BTreeMap::new(),
            loud: true,
            over: false,
            setup,
        }
    }

    /// What the decision logic and the observers are told as the time.
    pub(crate) const fn now(&self) -> Ms {
        ms(self.agenda.now())
    }

    /// Prints a decision of an entry when its run is traced.
    pub(crate) fn note(&self, index: usize, note: &timeline::Note) {
        if self.setup.trace {
            let (now, entry) = (self.now(), &self.entries[index].name);
            eprintln!("{now} {entry} {note:?}");
        }
    }

    pub(crate) fn see(&mut self, fact: Fact) {
        if self.setup.trace {
            eprintln!("{} {fact:?}", self.now());
        }
        self.log.push(self.now(), fact);
    }

    fn prepare(&mut self) {
        self.see_workers();
        for entry in 0..self.scene.shape.entries {
            self.entries.push(Entry::absent(self.scene, entry));
            self.agenda
                .put(entry as u64 * 37 * MS, Happening::Start(entry));
        }
        self.agenda.put(0, Happening::Balance);
        self.agenda.put(0, Happening::Sample);
        for (index, request) in self.scene.requests.iter().enumerate() {
            self.agenda.put(request.at, Happening::Request(index));
        }
        for (at, entry) in &self.scene.restarts {
            self.agenda.put(*at, Happening::Stop(*entry));
        }
        self.plan_operators();
        self.plan_troubles();
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Entry(entry, incarnation, inside) => {
                self.enter(entry, incarnation, inside);
            }
            Happening::Arrive {
                entry,
                request,
                sending,
                ticket,
                remaining,
            } => self.arrive(entry, request, sending, ticket, remaining),
            Happening::Peer(entry, back, envelope) => self.reach_peer(entry, back, envelope),
            Happening::Operate(entry, key) => self.reach_operator(entry, key),
            Happening::Replied(key, reply) => self.replied(key, reply),
            Happening::Impatient(key, tries) => self.impatient(key, tries),
            Happening::Planned(index) => self.planned(index),
            Happening::Reconfigure => self.reconfigure(),
            Happening::Request(request) => self.due(request),
            Happening::Outcome {
                request,
                sending,
                outcome,
                fresh,
            } => self.outcome(request, sending, outcome, fresh),
            Happening::GiveUp { request, sending } => self.give_up(request, sending),
            Happening::Worker(vm, work) => self.work(vm, work),
            Happening::Platform(back, query) => self.reach_platform(back, query),
            Happening::Carry(back, query, answering) => self.carry(back, query, answering),
            Happening::Balance => self.balance(),
            Happening::Sample => self.sample(),
            Happening::Trouble(trouble) => self.trouble(trouble),
            Happening::Start(entry) => self.start(entry),
            Happening::Stop(entry) => self.stop(entry),
        }
    }

    fn balance(&mut self) {
        let now = self.agenda.now();
        let ready = |entry: &Entry| entry.ready(now);
        let entries = self.entries.iter().enumerate();
        self.balanced = entries
            .filter(|(_, entry)| ready(entry))
            .map(|(index, _)| index)
            .collect();
        self.agenda.after(500 * MS, Happening::Balance);
    }

    fn sample(&mut self) {
        self.advance_workers();
        self.see_listed();
        let now = self.agenda.now();
        let scene = self.scene;
        if now == WARM_UP || now == scene.end() {
            self.samples.mark(now, self.platform.count());
        }
        if now >= WARM_UP && now < scene.end() {
            let busy = self.fleet.use_now();
            self.samples.utilisation(now, busy);
        }
        if now == scene.end() {
            let work = self.fleet.ledger.summary();
            self.samples.batch = work;
        }
        let settled = now >= scene.end() + 10 * SECOND && self.all_ended();
        self.over = settled || now >= scene.end() + SETTLE;
        self.agenda.after(SAMPLE, Happening::Sample);
    }
}

/// Runs a case under a policy until all accepted batch work has ended or should have.
#[must_use]
pub fn run(scene: &Scene, setup: Setup) -> Record {
    let mut world = World::new(scene, setup);
    world.prepare();
    while !world.over {
        let Some(happening) = world.agenda.take() else {
            break;
        };
        world.happen(happening);
    }
    world.see(Fact::Settled);
    Record {
        log: world.log,
        samples: world.samples,
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
