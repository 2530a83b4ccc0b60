//! Several control paths in virtual time over one table, with faults and fixed seeds.

pub mod sample;
pub mod table;
pub mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use decision::clock::Ms;
use decision::config::Version;
use decision::control::Action;
use decision::control::Event;
use decision::control::Id;
use decision::control::Identity;
use decision::control::Machine;
use decision::name::Name;
use decision::operator;
use decision::peer::Envelope;
use decision::peer::Message;
use decision::place::Board;
use decision::request::Target;
use decision::step::Step;
use decision::table::Operation;
use decision::table::Outcome;
use decision::worker;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sample::name;
use sample::vm;
use table::Table;
use workers::Seen;
use workers::Worker;

const TICK: u64 = 100;
const CHECK: u64 = 10;

/// What goes wrong.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Percent of table operations whose answer is lost; commits may take effect late.
    pub lost_answers: u32,
    /// Percent of peer messages and worker commands lost, each way.
    pub lost_messages: u32,
    /// When the table is down.
    pub outages: Vec<(u64, u64)>,
    /// When the table is slow.
    pub slow: Vec<(u64, u64)>,
}

/// Entries, workers and what is under way.
pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub table: Table,
    pub workers: BTreeMap<Name, Worker>,
    pub seen: Seen,
    pub entries: BTreeMap<Name, Entry>,
    pub replies: BTreeMap<u64, (u64, operator::Reply)>,
    checked: u64,
    pub hidden: BTreeSet<Name>,
    random: StdRng,
    queue: BTreeMap<(u64, u64), Thing>,
    sequence: u64,
    asks: BTreeMap<u64, (Name, Id)>,
    calls: u64,
}

/// One entry.
pub struct Entry {
    pub machine: Machine<Board>,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub paused_until: u64,
    pub stopped: Option<u64>,
    pub targets: Vec<Target>,
    pub version: Option<Version>,
    pub configured: BTreeMap<u64, u64>,
    held: Vec<Event>,
}

enum Thing {
    Event(Name, u64, Event),
    Table(Name, u64, Id, Operation, Option<Outcome>),
    Command(Name, u64, Id, Name, worker::Command, bool),
    Message(Name, u64, Id, SocketAddr, Envelope),
    Answer(u64, Envelope),
}

impl World {
    pub fn new(seed: u64, workers: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: 0,
            faults,
            table: Table::default(),
            workers: BTreeMap::new(),
            seen: Seen::default(),
            entries: BTreeMap::new(),
            replies: BTreeMap::new(),
            checked: 0,
            hidden: BTreeSet::new(),
            random: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            asks: BTreeMap::new(),
            calls: 0,
        };
        for index in 0..workers {
            let vm = vm(index);
            let worker = Worker::new(vm.clone(), Ms(6_000));
            world.workers.insert(vm.name, worker);
        }
        world
    }

    pub fn join(&mut self, entry: &str) {
        let entry = name(entry);
        let number = u16::try_from(self.sequence % 50_000).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
        self.sequence += 1;
        let seeds = self.entries.values().map(|one| one.address).take(3);
        let seed = self.random.random();
        let identity = Identity {
            entry: entry.clone(),
            incarnation: self.now + 1,
            address,
            domain: name("a"),
            seeds: seeds.collect(),
            seed,
        };
        let one = Entry {
            incarnation: identity.incarnation,
            machine: Machine::new(identity, Board::new(seed)),
            address,
            paused_until: 0,
            stopped: None,
            targets: Vec::new(),
            version: None,
            configured: BTreeMap::new(),
            held: Vec::new(),
        };
        self.entries.insert(entry.clone(), one);
        let offset = self.random.random_range(0..TICK);
        let incarnation = self.entries[&entry].incarnation;
        self.later(
            offset,
            Thing::Event(entry.clone(), incarnation, Event::Tick),
        );
        self.later(
            offset + 1,
            Thing::Event(entry, incarnation, Event::Vms(Vec::new())),
        );
    }

    pub fn crash(&mut self, entry: &str) {
        self.entries.remove(entry);
    }

    pub fn pause(&mut self, entry: &str, time: u64) {
        let until = self.now + time;
        self.entries.get_mut(entry).unwrap().paused_until = until;
    }

    pub fn stop(&mut self, entry: &str) {
        self.deliver(&name(entry), Event::Stopping);
    }

    pub fn call(&mut self, entry: &str, call: operator::Call) -> u64 {
        self.calls += 1;
        let number = self.calls;
        self.deliver(&name(entry), Event::Operator(number, call));
        number
    }

    fn later(&mut self, delay: u64, thing: Thing) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), thing);
    }

    fn lost(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Runs until this time.
    pub fn run(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            self.now = self.now.max(entry.key().0);
            let thing = entry.remove();
            self.handle(thing);
            if self.now >= self.checked + CHECK {
                self.checked = self.now;
                self.check();
            }
        }
        self.now = until;
    }

    fn handle(&mut self, thing: Thing) {
        match thing {
            Thing::Event(entry, incarnation, event) => self.event(&entry, incarnation, event),
            Thing::Table(entry, incarnation, id, operation, outcome) => {
                let outcome = outcome.unwrap_or_else(|| self.operate(&operation));
                let event = Event::Table(id, outcome);
                self.event(&entry, incarnation, event);
            }
            Thing::Command(entry, incarnation, id, vm, command, silent) => {
                self.command(&entry, incarnation, id, &vm, &command, silent);
            }
            Thing::Message(entry, incarnation, id, to, envelope) => {
                self.message(entry, incarnation, id, to, envelope);
            }
            Thing::Answer(ask, envelope) => {
                if let Some((entry, _)) = self.asks.remove(&ask) {
                    self.deliver(&entry, Event::Peer(envelope));
                }
            }
        }
    }

    fn event(&mut self, entry: &Name, incarnation: u64, event: Event) {
        let Some(one) = self.entries.get(entry) else {
            return;
        };
        if one.incarnation != incarnation || one.stopped.is_some() {
            return;
        }
        if matches!(event, Event::Tick) {
            let thing = Thing::Event(entry.clone(), incarnation, Event::Tick);
            let wait = TICK.max(one.paused_until.saturating_sub(self.now));
            self.later(wait, thing);
        }
        if let Event::Vms(_) = event {
            let thing = Thing::Event(entry.clone(), incarnation, Event::Vms(Vec::new()));
            self.later(1_000, thing);
            let listed = self.workers.values();
            let listed = listed.filter(|one| !self.hidden.contains(&one.vm.name));
            let list = listed.map(|worker| worker.vm.clone()).collect();
            self.deliver(entry, Event::Vms(list));
            return;
        }
        self.deliver(entry, event);
    }

    fn deliver(&mut self, entry: &Name, event: Event) {
        let now = self.now;
        let Some(one) = self.entries.get_mut(entry) else {
            return;
        };
        if one.stopped.is_some() {
            return;
        }
        if now < one.paused_until {
            if !matches!(event, Event::Tick) {
                one.held.push(event);
            }
            return;
        }
        // What was on its way during a pause is delivered before anything else.
        let mut events = std::mem::take(&mut one.held);
        events.push(event);
        for event in events {
            let one = self.entries.get_mut(entry).unwrap();
            let incarnation = one.incarnation;
            let actions = one.machine.step(Ms(now), event);
            for action in actions {
                self.act(entry, incarnation, action);
            }
        }
    }

    fn act(&mut self, entry: &Name, incarnation: u64, action: Action) {
        let now = self.now;
        match action {
            Action::Table(id, operation) => self.table_action(entry, incarnation, id, operation),
            Action::Worker { id, vm, command } => {
                let silent = self.lost(self.faults.lost_messages);
                let delay = if silent { 2_000 } else { 2 };
                let thing = Thing::Command(entry.clone(), incarnation, id, vm, command, silent);
                self.later(delay, thing);
            }
            Action::Send { id, to, message } => {
                let envelope = envelope(entry, incarnation, message);
                let thing = Thing::Message(entry.clone(), incarnation, id, to, envelope);
                self.later(2, thing);
            }
            Action::Respond(number, message) => {
                if self.lost(self.faults.lost_messages) {
                    return;
                }
                let thing = Thing::Answer(number, envelope(entry, incarnation, message));
                self.later(2, thing);
            }
            Action::Operated(number, reply) => {
                self.replies.insert(number, (now, reply));
            }
            Action::Targets(targets) => self.entries.get_mut(entry).unwrap().targets = targets,
            Action::Config(version, _) => self.configured(entry, version),
            Action::Stopped => self.entries.get_mut(entry).unwrap().stopped = Some(now),
            Action::Object(..) | Action::Peers(_) | Action::Note(_) => {}
        }
    }

    fn configured(&mut self, entry: &Name, version: Version) {
        let now = self.now;
        let one = self.entries.get_mut(entry).unwrap();
        if one.version.is_some_and(|before| before >= version) {
            let violation = format!("{now}: configuration of {entry} went back to {version:?}");
            self.seen.violations.push(violation);
        }
        one.version = Some(version);
        one.configured.insert(version.0, now);
    }

    fn table_action(&mut self, entry: &Name, incarnation: u64, id: Id, operation: Operation) {
        let now = self.now;
        let within =
            |spans: &[(u64, u64)]| spans.iter().any(|(from, to)| (*from..*to).contains(&now));
        let thing =
            |outcome| Thing::Table(entry.clone(), incarnation, id, operation.clone(), outcome);
        if within(&self.faults.outages) {
            let thing = thing(Some(Outcome::Unavailable));
            self.later(50, thing);
            return;
        }
        if self.random.random_range(0..100) < self.faults.lost_answers {
            if self.lost(50) {
                self.operate(&operation);
            } else if self.lost(50) {
                // Takes effect after the answer was given up.
                let late = Thing::Table(name("nobody"), 0, id, operation.clone(), None);
                self.later(1_500, late);
            }
            let thing = Thing::Table(
                entry.clone(),
                incarnation,
                id,
                operation,
                Some(Outcome::Unknown),
            );
            self.later(1_000, thing);
            return;
        }
        let delay = if within(&self.faults.slow) { 700 } else { 5 };
        let thing = thing(None);
        self.later(delay, thing);
    }

    fn operate(&mut self, operation: &Operation) -> Outcome {
        self.table.run(operation)
    }

    fn command(
        &mut self,
        entry: &Name,
        incarnation: u64,
        id: Id,
        vm: &Name,
        command: &worker::Command,
        silent: bool,
    ) {
        let now = Ms(self.now);
        let lost = self.lost(50);
        let dead = self.workers.get(vm).is_none_or(|worker| worker.dead);
        let outcome = match self.workers.get_mut(vm).filter(|_| !dead) {
            None => worker::Outcome::Unsent,
            Some(_) if silent && lost => worker::Outcome::Unknown,
            Some(worker) => {
                worker.advance(now, &mut self.seen);
                let reply = worker.command(now, command, &mut self.seen);
                if silent {
                    worker::Outcome::Unknown
                } else {
                    worker::Outcome::Answered(reply)
                }
            }
        };
        let thing = Thing::Event(entry.clone(), incarnation, Event::Worker(id, outcome));
        self.later(2, thing);
    }

    fn message(
        &mut self,
        from: Name,
        incarnation: u64,
        id: Id,
        to: SocketAddr,
        envelope: Envelope,
    ) {
        let receiver = self.entries.iter().find(|(_, one)| one.address == to);
        let receiver = receiver.filter(|(_, one)| one.stopped.is_none());
        let receiver = receiver.map(|(name, _)| name.clone());
        let lost = self.lost(self.faults.lost_messages);
        self.sequence += 1;
        let ask = self.sequence;
        self.asks.insert(ask, (from.clone(), id));
        let silent = Thing::Event(from, incarnation, Event::Silent(id));
        self.later(1_000, silent);
        if let (Some(receiver), false) = (receiver, lost) {
            self.deliver(&receiver, Event::Asked(ask, envelope));
        }
    }

    /// Checks what must hold at every moment.
    fn check(&mut self) {
        let now = Ms(self.now);
        let mut places = BTreeMap::<Name, Name>::new();
        for worker in self.workers.values_mut() {
            worker.advance(now, &mut self.seen);
            for task in worker.runs() {
                if let Some(other) = places.insert(task.clone(), worker.vm.name.clone()) {
                    let violation = format!("{now}: {task} runs on {other} and {}", worker.vm.name);
                    self.seen.violations.push(violation);
                }
            }
        }
    }

    /// Fails when any rule was broken.
    pub fn assert_clean(&self) {
        let versions = &self.table.configs;
        assert!(
            versions.is_sorted(),
            "configuration rows went back: {versions:?}"
        );
        let violations = &self.seen.violations;
        assert!(
            violations.is_empty(),
            "{:#?}",
            &violations[..violations.len().min(5)]
        );
    }

    /// The groups whose workers all accepted this entry.
    pub fn owned(&self, entry: &str) -> usize {
        let owned = self.workers.values();
        let owned = owned.filter(|worker| worker.owner.as_deref() == Some(entry));
        BTreeSet::from_iter(owned.map(|worker| &worker.vm.group)).len()
    }

    pub fn completed(&self, job: &str) -> usize {
        let prefix = format!("{job}#");
        let done = self.seen.completed.keys();
        done.filter(|task| task.starts_with(&prefix)).count()
    }
}

fn envelope(from: &Name, incarnation: u64, message: Message) -> Envelope {
    Envelope {
        from: from.clone(),
        incarnation,
        lamport: 0,
        message,
    }
}
