//! Several control paths in virtual time over one table, with faults and fixed seeds.

mod checks;
mod faults;
pub mod sample;
pub mod table;
pub mod workers;

use std::collections::BTreeMap;
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
pub use faults::Fate;
pub use faults::Faults;
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
    /// Workers missing from the list, and since when.
    pub hidden: BTreeMap<Name, u64>,
    /// Until when an entry, or every one, cannot reach a worker.
    pub cuts: BTreeMap<(Option<Name>, Name), u64>,
    random: StdRng,
    queue: BTreeMap<(u64, u64), Thing>,
    sequence: u64,
    asks: BTreeMap<u64, (Name, Id)>,
    calls: u64,
    pub commits: u64,
}

/// One entry.
pub struct Entry {
    pub machine: Machine<Board>,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub paused_until: u64,
    /// How far its list of workers lags behind.
    pub lag: u64,
    /// Operations from this id on began after the last pause; none of them has ended yet.
    unproven: Option<u64>,
    last_id: u64,
    ticked: u64,
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
            hidden: BTreeMap::new(),
            cuts: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            asks: BTreeMap::new(),
            calls: 0,
            commits: 0,
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
            lag: self.random.random_range(0..4_000),
            unproven: None,
            last_id: 0,
            ticked: 0,
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

    /// A worker dies, and vanishes from the list some seconds later.
    pub fn kill(&mut self, vm: &Name) {
        let worker = self.workers.get_mut(vm).unwrap();
        worker.die(&mut self.seen);
        self.hidden.insert(vm.clone(), self.now + 5_000);
    }

    /// One entry, or every one, cannot reach a worker for a while.
    pub fn cut(&mut self, entry: Option<&str>, vm: &Name, time: u64) {
        let until = self.now + time;
        self.cuts.insert((entry.map(name), vm.clone()), until);
    }

    fn is_cut(&self, entry: &Name, vm: &Name) -> bool {
        let cut = |entry| {
            let until = self.cuts.get(&(entry, vm.clone()));
            until.is_some_and(|until| self.now < *until)
        };
        cut(None) || cut(Some(entry.clone()))
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
                let outcome = outcome.unwrap_or_else(|| self.operate(&entry, &operation));
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
            let lag = self.entries[entry].lag;
            let seen = |since: &u64| since + lag <= self.now;
            let listed = listed.filter(|one| !self.hidden.get(&one.vm.name).is_some_and(seen));
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
        let within = |(from, to): &(u64, u64)| (*from..*to).contains(&now);
        let down = self.faults.outages.iter().any(within);
        if now.saturating_sub(one.ticked) > 3_100 && one.ticked > 0 && !down {
            one.unproven = Some(one.last_id);
        }
        one.ticked = now;
        for event in events {
            let one = self.entries.get_mut(entry).unwrap();
            let incarnation = one.incarnation;
            if let (Event::Table(id, Outcome::Rows(_)), Some(last)) = (&event, one.unproven)
                && id.0 > last
            {
                one.unproven = None;
            }
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
                self.proven(
                    entry,
                    id,
                    matches!(command.verb, worker::Verb::Start { .. }),
                );
                let silent = self.lost(self.faults.lost_messages);
                let late = self.random.random_range(0..8_000);
                let delay = if silent { late } else { 2 };
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
            Action::OperatorReply(number, reply) => {
                self.replies.insert(number, (now, reply));
            }
            Action::Targets(targets) => {
                self.proven(entry, Id(0), !targets.is_empty());
                self.entries.get_mut(entry).unwrap().targets = targets;
            }
            Action::Config(version, _) => self.configured(entry, version),
            Action::Stopped => self.entries.get_mut(entry).unwrap().stopped = Some(now),
            Action::Object(..) | Action::Peers(_) | Action::Note(_) => {}
        }
    }

    /// After a pause nothing may let new work in before the table was read again. While the
    /// table does not answer, peers and workers may stand in for it.
    fn proven(&mut self, entry: &Name, id: Id, lets_in: bool) {
        let one = self.entries.get_mut(entry).unwrap();
        one.last_id = one.last_id.max(id.0);
        let within = |(from, to): &(u64, u64)| (*from..*to).contains(&self.now);
        let failing = self.faults.lost_answers > 0 || self.faults.outages.iter().any(within);
        if !lets_in || one.unproven.is_none() {
            return;
        }
        if failing {
            one.unproven = None;
        } else {
            let violation = format!("{}: {entry} let work in after a pause", self.now);
            self.seen.violations.push(violation);
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
        self.proven(entry, id, false);
        let now = self.now;
        let within =
            |spans: &[(u64, u64)]| spans.iter().any(|(from, to)| (*from..*to).contains(&now));
        if within(&self.faults.outages) {
            let outcome = Some(Outcome::Unavailable);
            let thing = Thing::Table(entry.clone(), incarnation, id, operation, outcome);
            self.later(50, thing);
            return;
        }
        let fate = self.fate(&operation);
        match fate {
            Fate::Answered => {}
            Fate::Lost => {
                self.operate(entry, &operation);
            }
            Fate::Late(time) => {
                let late = Thing::Table(entry.clone(), 0, id, operation.clone(), None);
                self.later(time, late);
            }
            Fate::Never => {}
        }
        let answered = fate == Fate::Answered;
        let delay = match answered {
            true if within(&self.faults.slow) => 700,
            true => 5,
            false => 1_000,
        };
        let outcome = (!answered).then_some(Outcome::Unknown);
        let thing = Thing::Table(entry.clone(), incarnation, id, operation, outcome);
        self.later(delay, thing);
    }

    fn operate(&mut self, entry: &Name, operation: &Operation) -> Outcome {
        let outcome = self.table.run(operation);
        if let (Operation::Commit { conditions, .. }, Outcome::Committed(_)) = (operation, &outcome)
        {
            self.check_owner(entry, conditions);
        }
        outcome
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
        let dead = dead || self.is_cut(entry, vm);
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
        let silent = Thing::Event(from, incarnation, Event::Unanswered(id));
        self.later(1_000, silent);
        if let (Some(receiver), false) = (receiver, lost) {
            self.deliver(&receiver, Event::PeerRequest(ask, envelope));
        }
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
