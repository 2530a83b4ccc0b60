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
pub use faults::Delivery;
pub use faults::Faults;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sample::name;
use sample::vm;
use table::Table;
use workers::Observed;
use workers::Worker;

/// The clock of an entry shows at least this time when the world begins, as the clock of a VM that
/// has run for hours. Times from before the start are then never recent.
const START_MS: u64 = 36_000_000;
const TICK_MS: u64 = 100;
const CHECK_INTERVAL_MS: u64 = 10;

/// Simulated entries and workers with all scheduled events. Times are in ms.
pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub table: Table,
    pub workers: BTreeMap<Name, Worker>,
    pub observed: Observed,
    pub entries: BTreeMap<Name, Entry>,
    pub replies: BTreeMap<u64, (u64, operator::Reply)>,
    checked: u64,
    /// Workers that are missing from the list, with the time from which they are.
    pub unlisted: BTreeMap<Name, u64>,
    /// The time until which an entry, or every entry for `None`, cannot reach a worker.
    pub partitions: BTreeMap<(Option<Name>, Name), u64>,
    random: StdRng,
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    requests: BTreeMap<u64, (Name, Id)>,
    calls: u64,
    pub commits: u64,
}

/// A simulated entry.
pub struct Entry {
    pub machine: Machine<Board>,
    pub incarnation: u64,
    pub address: SocketAddr,
    pub paused_until: u64,
    /// What its clock shows at the start of the world. No two clocks show the same time.
    clock_start: u64,
    /// The delay of changes in its list of workers.
    pub list_lag: u64,
    /// The last operation that began before the last pause, until a read that began later has
    /// returned rows.
    unconfirmed_after: Option<u64>,
    last_id: u64,
    ticked: u64,
    pub stopped: Option<u64>,
    pub targets: Vec<Target>,
    pub version: Option<Version>,
    pub configured: BTreeMap<u64, u64>,
    deferred: Vec<Event>,
}

enum Scheduled {
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
            observed: Observed::default(),
            entries: BTreeMap::new(),
            replies: BTreeMap::new(),
            checked: 0,
            unlisted: BTreeMap::new(),
            partitions: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            requests: BTreeMap::new(),
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
        let seeds = self.entries.values().map(|entry| entry.address).take(3);
        let seed = self.random.random();
        let identity = Identity {
            entry: entry.clone(),
            incarnation: self.now + 1,
            address,
            domain: name("a"),
            seeds: seeds.collect(),
            seed,
        };
        let state = Entry {
            incarnation: identity.incarnation,
            machine: Machine::new(identity, Board::new(seed)),
            address,
            paused_until: 0,
            clock_start: START_MS + 977 * u64::from(number),
            list_lag: self.random.random_range(0..4_000),
            unconfirmed_after: None,
            last_id: 0,
            ticked: 0,
            stopped: None,
            targets: Vec::new(),
            version: None,
            configured: BTreeMap::new(),
            deferred: Vec::new(),
        };
        self.entries.insert(entry.clone(), state);
        let offset = self.random.random_range(0..TICK_MS);
        let incarnation = self.entries[&entry].incarnation;
        self.schedule(
            offset,
            Scheduled::Event(entry.clone(), incarnation, Event::Tick),
        );
        self.schedule(
            offset + 1,
            Scheduled::Event(entry, incarnation, Event::Vms(Vec::new())),
        );
    }

    pub fn crash(&mut self, entry: &str) {
        self.entries.remove(entry);
    }

    pub fn pause(&mut self, entry: &str, time: u64) {
        let until = self.now + time;
        self.entries.get_mut(entry).unwrap().paused_until = until;
    }

    /// Crashes a worker, which disappears from the list 5 s later.
    pub fn crash_worker(&mut self, vm: &Name) {
        let worker = self.workers.get_mut(vm).unwrap();
        worker.crash(&mut self.observed);
        self.unlisted.insert(vm.clone(), self.now + 5_000);
    }

    /// Separates one entry, or every entry for `None`, from a worker for this time.
    pub fn partition(&mut self, entry: Option<&str>, vm: &Name, time: u64) {
        let until = self.now + time;
        self.partitions.insert((entry.map(name), vm.clone()), until);
    }

    fn is_partitioned(&self, entry: &Name, vm: &Name) -> bool {
        let partitioned = |entry| {
            let until = self.partitions.get(&(entry, vm.clone()));
            until.is_some_and(|until| self.now < *until)
        };
        partitioned(None) || partitioned(Some(entry.clone()))
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

    fn schedule(&mut self, delay: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), scheduled);
    }

    fn draws_loss(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Handles all events that are scheduled up to this time.
    pub fn run(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            self.now = self.now.max(entry.key().0);
            let scheduled = entry.remove();
            self.handle(scheduled);
            if self.now >= self.checked + CHECK_INTERVAL_MS {
                self.checked = self.now;
                self.check();
            }
        }
        self.now = until;
    }

    fn handle(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Event(entry, incarnation, event) => self.event(&entry, incarnation, event),
            Scheduled::Table(entry, incarnation, id, operation, outcome) => {
                let outcome = outcome.unwrap_or_else(|| self.run_operation(&entry, &operation));
                let event = Event::Table(id, outcome);
                self.event(&entry, incarnation, event);
            }
            Scheduled::Command(entry, incarnation, id, vm, command, loses_answer) => {
                self.command(&entry, incarnation, id, &vm, &command, loses_answer);
            }
            Scheduled::Message(entry, incarnation, id, to, envelope) => {
                self.message(entry, incarnation, id, to, envelope);
            }
            Scheduled::Answer(number, envelope) => {
                if let Some((entry, _)) = self.requests.remove(&number) {
                    self.deliver(&entry, Event::Peer(envelope));
                }
            }
        }
    }

    fn event(&mut self, entry: &Name, incarnation: u64, event: Event) {
        let Some(state) = self.entries.get(entry) else {
            return;
        };
        if state.incarnation != incarnation || state.stopped.is_some() {
            return;
        }
        if matches!(event, Event::Tick) {
            let scheduled = Scheduled::Event(entry.clone(), incarnation, Event::Tick);
            let wait = TICK_MS.max(state.paused_until.saturating_sub(self.now));
            self.schedule(wait, scheduled);
        }
        if let Event::Vms(_) = event {
            let scheduled = Scheduled::Event(entry.clone(), incarnation, Event::Vms(Vec::new()));
            self.schedule(1_000, scheduled);
            let listed = self.workers.values();
            let lag = self.entries[entry].list_lag;
            let left_list = |since: &u64| since + lag <= self.now;
            let listed =
                listed.filter(|worker| !self.unlisted.get(&worker.vm.name).is_some_and(left_list));
            let list = listed.map(|worker| worker.vm.clone()).collect();
            self.deliver(entry, Event::Vms(list));
            return;
        }
        self.deliver(entry, event);
    }

    fn deliver(&mut self, entry: &Name, event: Event) {
        let now = self.now;
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        if state.stopped.is_some() {
            return;
        }
        if now < state.paused_until {
            if !matches!(event, Event::Tick) {
                state.deferred.push(event);
            }
            return;
        }
        // Events that arrived during a pause are delivered before others.
        let mut events = std::mem::take(&mut state.deferred);
        events.push(event);
        let within = |(from, to): &(u64, u64)| (*from..*to).contains(&now);
        let down = self.faults.outages.iter().any(within);
        if now.saturating_sub(state.ticked) > 3_100 && state.ticked > 0 && !down {
            state.unconfirmed_after = Some(state.last_id);
        }
        state.ticked = now;
        for event in events {
            let state = self.entries.get_mut(entry).unwrap();
            let incarnation = state.incarnation;
            if let (Event::Table(id, Outcome::Rows(_)), Some(last)) =
                (&event, state.unconfirmed_after)
                && id.0 > last
            {
                state.unconfirmed_after = None;
            }
            let clock = Ms(state.clock_start + now);
            let actions = state.machine.step(clock, event);
            for action in actions {
                self.execute(entry, incarnation, action);
            }
        }
    }

    fn execute(&mut self, entry: &Name, incarnation: u64, action: Action) {
        let now = self.now;
        match action {
            Action::Table(id, operation) => self.table_action(entry, incarnation, id, operation),
            Action::Worker { id, vm, command } => {
                self.check_admission(
                    entry,
                    id,
                    matches!(command.verb, worker::Verb::Start { .. }),
                );
                let loses_answer = self.draws_loss(self.faults.lost_messages);
                let late = self.random.random_range(0..8_000);
                let delay = if loses_answer { late } else { 2 };
                let scheduled =
                    Scheduled::Command(entry.clone(), incarnation, id, vm, command, loses_answer);
                self.schedule(delay, scheduled);
            }
            Action::Send { id, to, message } => {
                let envelope = envelope(entry, incarnation, message);
                let scheduled = Scheduled::Message(entry.clone(), incarnation, id, to, envelope);
                self.schedule(2, scheduled);
            }
            Action::Respond(number, message) => {
                if self.draws_loss(self.faults.lost_messages) {
                    return;
                }
                let scheduled = Scheduled::Answer(number, envelope(entry, incarnation, message));
                self.schedule(2, scheduled);
            }
            Action::OperatorReply(number, reply) => {
                self.replies.insert(number, (now, reply));
            }
            Action::Targets(targets) => {
                self.check_admission(entry, Id(0), !targets.is_empty());
                self.entries.get_mut(entry).unwrap().targets = targets;
            }
            Action::Config(version, _) => self.configured(entry, version),
            Action::Stopped => self.entries.get_mut(entry).unwrap().stopped = Some(now),
            Action::Object(..) | Action::Peers(_) | Action::Note(_) => {}
        }
    }

    /// Checks that after a pause no new work is admitted before the table was read again. While the
    /// table does not answer, confirmations from peers and workers are allowed instead.
    fn check_admission(&mut self, entry: &Name, id: Id, admits_work: bool) {
        let state = self.entries.get_mut(entry).unwrap();
        state.last_id = state.last_id.max(id.0);
        let within = |(from, to): &(u64, u64)| (*from..*to).contains(&self.now);
        let failing = self.faults.lost_answers > 0 || self.faults.outages.iter().any(within);
        if !admits_work || state.unconfirmed_after.is_none() {
            return;
        }
        if failing {
            state.unconfirmed_after = None;
        } else {
            let violation = format!("{}: {entry} admitted work after a pause", self.now);
            self.observed.violations.push(violation);
        }
    }

    fn configured(&mut self, entry: &Name, version: Version) {
        let now = self.now;
        let state = self.entries.get_mut(entry).unwrap();
        if state.version.is_some_and(|before| before >= version) {
            let violation = format!("{now}: configuration of {entry} went back to {version:?}");
            self.observed.violations.push(violation);
        }
        state.version = Some(version);
        state.configured.insert(version.0, now);
    }

    fn table_action(&mut self, entry: &Name, incarnation: u64, id: Id, operation: Operation) {
        self.check_admission(entry, id, false);
        let now = self.now;
        let within =
            |spans: &[(u64, u64)]| spans.iter().any(|(from, to)| (*from..*to).contains(&now));
        if within(&self.faults.outages) {
            let outcome = Some(Outcome::Unavailable);
            let scheduled = Scheduled::Table(entry.clone(), incarnation, id, operation, outcome);
            self.schedule(50, scheduled);
            return;
        }
        let delivery = self.next_delivery(&operation);
        match delivery {
            Delivery::Answered => {}
            Delivery::AnswerLost => {
                self.run_operation(entry, &operation);
            }
            Delivery::Late(time) => {
                let late = Scheduled::Table(entry.clone(), 0, id, operation.clone(), None);
                self.schedule(time, late);
            }
            Delivery::Dropped => {}
        }
        let answered = delivery == Delivery::Answered;
        let delay = match answered {
            true if within(&self.faults.slow) => 700,
            true => 5,
            false => 1_000,
        };
        let outcome = (!answered).then_some(Outcome::Unknown);
        let scheduled = Scheduled::Table(entry.clone(), incarnation, id, operation, outcome);
        self.schedule(delay, scheduled);
    }

    fn run_operation(&mut self, entry: &Name, operation: &Operation) -> Outcome {
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
        loses_answer: bool,
    ) {
        let now = Ms(self.now);
        let lost = self.draws_loss(50);
        let dead = self.workers.get(vm).is_none_or(|worker| worker.dead);
        let dead = dead || self.is_partitioned(entry, vm);
        let outcome = match self.workers.get_mut(vm).filter(|_| !dead) {
            None => worker::Outcome::Unsent,
            Some(_) if loses_answer && lost => worker::Outcome::Unknown,
            Some(worker) => {
                worker.advance(now, &mut self.observed);
                let reply = worker.command(now, command, &mut self.observed);
                if loses_answer {
                    worker::Outcome::Unknown
                } else {
                    worker::Outcome::Answered(reply)
                }
            }
        };
        let scheduled = Scheduled::Event(entry.clone(), incarnation, Event::Worker(id, outcome));
        self.schedule(2, scheduled);
    }

    fn message(
        &mut self,
        from: Name,
        incarnation: u64,
        id: Id,
        to: SocketAddr,
        envelope: Envelope,
    ) {
        let receiver = self.entries.iter().find(|(_, state)| state.address == to);
        let receiver = receiver.filter(|(_, state)| state.stopped.is_none());
        let receiver = receiver.map(|(name, _)| name.clone());
        let lost = self.draws_loss(self.faults.lost_messages);
        self.sequence += 1;
        let number = self.sequence;
        self.requests.insert(number, (from.clone(), id));
        let unanswered = Scheduled::Event(from, incarnation, Event::Unanswered(id));
        self.schedule(1_000, unanswered);
        if let (Some(receiver), false) = (receiver, lost) {
            self.deliver(&receiver, Event::PeerRequest(number, envelope));
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
