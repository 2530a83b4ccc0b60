//! A simulated world around a board: workers, a table, and a network that loses and delays
//! messages.

pub mod check;
pub mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::config::Checked;
use decision::config::Document;
use decision::config::Service;
use decision::name::Name;
use decision::operator::Job;
use decision::piece::Piece;
use decision::piece::Record;
use decision::place::Event;
use decision::place::Id;
use decision::place::Order;
use decision::place::Read;
use decision::resource::Size;
use decision::step::Step;
use decision::vm;
use decision::vm::Vm;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Outcome;
use decision::worker::Reply;
use decision::worker::Verb;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::worker::Need;
use self::worker::Objects;
use self::worker::Worker;

/// The time at the start of a world, as on a VM whose clock has run for ten hours. A time that was
/// never set is then not recent.
const START: Ms = Ms(36_000_000);
pub const TICK: Ms = Ms(100);
const RENEW_INTERVAL_MS: u64 = 2_000;
const LEASE: Ms = Ms(20_000);
const LEASE_EXPIRY: Ms = Ms(22_000);

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

pub const fn size(millicores: u32, memory_mb: u32, accelerators: u32) -> Size {
    Size {
        millicores,
        memory_mb,
        accelerators,
    }
}

pub fn vm(index: usize, capacity: Size) -> Vm {
    Vm {
        name: name(&format!("vm-{index}")),
        address: ([127, 0, 0, 1], 1).into(),
        group: name("rack"),
        domain: name("zone"),
        capacity,
        slots: 8,
        state: vm::State::Live,
    }
}

pub fn job(raw: &str, tasks: u32, size: Size) -> Job {
    Job {
        name: name(raw),
        team: name("team"),
        kind: name(&format!("kind-{raw}")),
        tasks,
        size,
        run_time: Ms(5_000),
        urgent: false,
    }
}

pub fn piece(job: Job) -> Piece {
    let open = Record::Open {
        attempt: 0,
        checkpoint: None,
        evictions: 0,
        failures: 0,
    };
    Piece {
        name: name(&format!("{}.0", job.name)),
        first: 0,
        tasks: vec![open; job.tasks as usize],
        cancelled: false,
        job,
    }
}

pub fn config(reserved: Size) -> Arc<Checked> {
    let service = Service {
        name: name("orders"),
        reserved,
        queue: 100,
        deadline: Ms(1_000),
        attempt: Ms(500),
    };
    let document = Document {
        services: vec![service],
        ..Document::default()
    };
    Arc::new(Checked::try_from(document).expect("the test configuration is valid"))
}

/// Probabilities of faults in percent, applied to each command, report or store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub unsent: u32,
    pub lost_request: u32,
    pub lost_answer: u32,
    pub late_request: u32,
    pub late_report: u32,
    pub late_store: u32,
}

#[derive(Debug)]
enum Message {
    Command(Option<Id>, usize, Command, bool),
    Ended(Id, usize, Outcome),
    Report(usize, decision::worker::Report, Epoch),
    Store(Name),
    Unlisted(usize),
}

pub struct World<B> {
    pub board: B,
    pub now: Ms,
    pub workers: Vec<Worker>,
    pub partitioned: BTreeSet<usize>,
    pub table: BTreeMap<Name, Piece>,
    pub objects: Objects,
    pub faults: Faults,
    pub needs: BTreeMap<Name, Need>,
    pub reserve: Size,
    /// The factor by which a task of each kind slows down the service at full processor share.
    pub slowdowns: BTreeMap<Name, f64>,
    pub traffic: bool,
    pub starts: BTreeMap<Name, Vec<(u32, Option<String>)>>,
    pub completions: BTreeMap<Name, u32>,
    pub stops: u32,
    pub orders: Vec<Order>,
    epoch: Epoch,
    adopting: BTreeSet<usize>,
    unlisted: BTreeMap<usize, Ms>,
    network: BTreeMap<(Ms, u64), (u64, Message)>,
    sequence: u64,
    generation: u64,
    rng: StdRng,
}

impl<B: Step<Event = Event, Action = Order> + Read> World<B> {
    pub fn new(board: B, seed: u64, capacities: &[Size], reserve: Size) -> Self {
        let workers = capacities.iter().enumerate();
        let mut world = Self {
            board,
            now: START,
            workers: workers
                .map(|(index, capacity)| Worker::new(vm(index, *capacity)))
                .collect(),
            partitioned: BTreeSet::new(),
            table: BTreeMap::new(),
            objects: Objects {
                up: true,
                stored: BTreeMap::new(),
            },
            faults: Faults::default(),
            needs: BTreeMap::new(),
            reserve,
            slowdowns: BTreeMap::new(),
            traffic: false,
            starts: BTreeMap::new(),
            completions: BTreeMap::new(),
            stops: 0,
            orders: Vec::new(),
            epoch: Epoch { row: 1, step: 0 },
            adopting: BTreeSet::new(),
            unlisted: BTreeMap::new(),
            network: BTreeMap::new(),
            sequence: 0,
            generation: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        world.event(Event::Config(config(reserve)));
        world.adopt_all();
        world
    }

    /// Replaces the board by an empty one, which reads the table and adopts the workers again.
    pub fn restart(&mut self, board: B) {
        self.board = board;
        self.generation += 1;
        self.epoch.row += 1;
        self.event(Event::Config(config(self.reserve)));
        self.event(Event::Frozen(name("rack"), true));
        for piece in self.table.clone().into_values() {
            self.event(Event::Piece {
                group: name("rack"),
                piece,
                old: true,
            });
        }
        self.adopt_all();
    }

    fn adopt_all(&mut self) {
        self.adopting = (0..self.workers.len()).collect();
        for index in 0..self.workers.len() {
            self.send(None, index, Verb::Adopt { caretaker: false });
        }
    }

    pub fn submit(&mut self, piece: Piece, need: Need) {
        for index in 0..piece.tasks.len() {
            let task = name(&format!("{}#{index}", piece.job.name));
            self.needs.insert(task, need);
        }
        self.table.insert(piece.name.clone(), piece.clone());
        self.event(Event::Piece {
            group: name("rack"),
            piece,
            old: false,
        });
    }

    pub fn cancel(&mut self, job: &Name) {
        for piece in self.table.values_mut() {
            piece.cancelled |= piece.job.name == *job;
        }
        self.event(Event::Cancel(job.clone()));
    }

    /// Kills the worker's VM, which disappears from the platform's list 3 s later.
    pub fn kill(&mut self, index: usize) {
        self.workers[index].alive = false;
        self.schedule(Ms(3_000), Message::Unlisted(index));
    }

    /// Cuts the worker off from the network. It disappears from the platform's list 1 s later,
    /// although it still runs.
    pub fn partition(&mut self, index: usize) {
        self.partitioned.insert(index);
        self.schedule(Ms(1_000), Message::Unlisted(index));
    }

    /// Ends all faults, except that killed workers stay dead.
    pub fn end_faults(&mut self) {
        self.faults = Faults::default();
        self.objects.up = true;
        self.partitioned.clear();
        self.unlisted.retain(|&index, _| !self.workers[index].alive);
        self.workers
            .iter_mut()
            .for_each(|worker| worker.broken = false);
    }

    pub fn event(&mut self, event: Event) {
        let orders = self.board.step(self.now, event);
        for order in orders {
            self.execute_order(&order);
            self.orders.push(order);
        }
    }

    fn execute_order(&mut self, order: &Order) {
        match order {
            Order::Command { id, vm, verb } => {
                let found = self.workers.iter().position(|worker| worker.vm.name == *vm);
                let index = found.expect("the command names a worker of this world");
                self.send(Some(*id), index, verb.clone());
            }
            Order::Store(piece) => {
                let late = self.chance(self.faults.late_store);
                let delay = if late { 3_000 } else { 150 };
                self.schedule(Ms(delay), Message::Store(piece.clone()));
            }
            _ => {}
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn schedule(&mut self, delay: Ms, message: Message) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.network.insert(at, (self.generation, message));
    }

    fn reachable(&self, index: usize) -> bool {
        self.workers[index].alive && !self.partitioned.contains(&index)
    }

    fn send(&mut self, id: Option<Id>, index: usize, verb: Verb) {
        let command = Command {
            epoch: self.epoch,
            owner: name("entry"),
            verb,
        };
        if !self.reachable(index) || self.chance(self.faults.unsent) {
            if let Some(id) = id {
                self.schedule(Ms(50), Message::Ended(id, index, Outcome::Unsent));
            }
            return;
        }
        if self.chance(self.faults.lost_request) {
            if let Some(id) = id {
                self.schedule(Ms(1_000), Message::Ended(id, index, Outcome::Unknown));
            }
            return;
        }
        if self.chance(self.faults.late_request) {
            if let Some(id) = id {
                self.schedule(Ms(1_000), Message::Ended(id, index, Outcome::Unknown));
            }
            let late = Ms(1_000 + self.rng.random_range(0..1_900));
            return self.schedule(late, Message::Command(None, index, command, true));
        }
        let lost = self.chance(self.faults.lost_answer);
        let delay = Ms(self.rng.random_range(1..20));
        self.schedule(delay, Message::Command(id, index, command, lost));
    }

    /// Simulates `time`, rounded up to the next tick.
    pub fn run(&mut self, time: Ms) {
        let end = self.now + time;
        while self.now < end {
            let next = Ms((self.now.0 / TICK.0 + 1) * TICK.0);
            self.deliver_until(next);
            self.tick();
        }
    }

    /// Simulates exactly `time`, without running a tick after it.
    pub fn run_exactly(&mut self, time: Ms) {
        let end = self.now + time;
        let ticks = end.0 / TICK.0 * TICK.0;
        self.run(Ms(ticks).since(self.now));
        self.deliver_until(end);
    }

    fn deliver_until(&mut self, end: Ms) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (generation, message)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(generation, message);
            self.check();
        }
        self.now = end;
    }

    fn tick(&mut self) {
        for index in 0..self.workers.len() {
            if self.workers[index].alive {
                self.workers[index].advance(self.now);
            }
        }
        self.check();
        if self.now.0.is_multiple_of(RENEW_INTERVAL_MS) {
            for index in 0..self.workers.len() {
                if self.unlisted.contains_key(&index) {
                    continue;
                }
                let verb = if self.adopting.contains(&index) {
                    Verb::Adopt { caretaker: false }
                } else {
                    Verb::Renew { lease: LEASE }
                };
                self.send(None, index, verb);
            }
        }
        if self.traffic {
            (0..self.workers.len()).for_each(|index| self.serve_request(index));
        }
        self.event(Event::Tick);
        self.unfreeze();
    }

    /// Serves a request on the worker and reports the service time to the board.
    fn serve_request(&mut self, index: usize) {
        if !self.reachable(index) {
            return;
        }
        self.workers[index].busy = 4;
        let mut slowdown = 1.0;
        for task in self.workers[index].running() {
            let factor = self.slowdowns.get(&task.kind).copied().unwrap_or(1.0);
            slowdown *= 1.0 + (factor - 1.0) * f64::from(task.throttle) / 100.0;
        }
        let time = Ms((20.0 * slowdown) as u64);
        self.event(Event::Measured {
            vm: self.workers[index].vm.name.clone(),
            service: name("orders"),
            kind: name("order"),
            time,
        });
    }

    fn unfreeze(&mut self) {
        let missing = |index: &usize| {
            let unlisted = self.unlisted.get(index);
            unlisted.is_none_or(|&unlisted| self.now < unlisted + LEASE_EXPIRY)
        };
        if !self.adopting.iter().any(missing) {
            self.event(Event::Frozen(name("rack"), false));
        }
    }

    fn deliver(&mut self, generation: u64, message: Message) {
        let current = generation == self.generation;
        match message {
            Message::Command(id, index, command, lost) => {
                self.execute(id, index, &command, lost, current);
            }
            Message::Ended(id, index, outcome) if current => {
                if let Outcome::Answered(Reply::Done(report)) = &outcome {
                    self.deliver_report(index, report.clone(), self.epoch);
                }
                self.event(Event::Ended(id, outcome));
            }
            Message::Report(index, report, epoch) if current => {
                self.deliver_report(index, report, epoch)
            }
            Message::Store(piece) if current => {
                let state = self
                    .board
                    .piece(&piece)
                    .expect("the board holds the piece that it ordered to store");
                self.table.insert(piece.clone(), state);
                self.event(Event::Stored(piece));
            }
            Message::Unlisted(index) if !self.reachable(index) => {
                self.unlisted.insert(index, self.now);
                let vm = self.workers[index].vm.name.clone();
                self.event(Event::Unlisted(vm));
            }
            _ => {}
        }
    }

    fn deliver_report(&mut self, index: usize, report: decision::worker::Report, epoch: Epoch) {
        self.adopting.remove(&index);
        let vm = self.workers[index].vm.clone();
        self.event(Event::Adopted { vm, epoch, report });
    }

    fn execute(
        &mut self,
        id: Option<Id>,
        index: usize,
        command: &Command,
        lost: bool,
        current: bool,
    ) {
        if !self.reachable(index) {
            if let Some(id) = id.filter(|_| current) {
                self.schedule(Ms(500), Message::Ended(id, index, Outcome::Unknown));
            }
            return;
        }
        let needs = &self.needs;
        let need = |task: &Name| needs[task];
        let worker = &mut self.workers[index];
        let reply = worker.execute(self.now, command, &mut self.objects, need);
        match id.filter(|_| current) {
            Some(id) if lost => self.schedule(Ms(900), Message::Ended(id, index, Outcome::Unknown)),
            Some(id) => self.schedule(Ms(2), Message::Ended(id, index, Outcome::Answered(reply))),
            None if lost || !current => {}
            None => {
                let late = self.chance(self.faults.late_report);
                let delay = if late { 1_500 } else { 2 };
                if let Reply::Done(report) = reply {
                    let message = Message::Report(index, report, command.epoch);
                    self.schedule(Ms(delay), message);
                }
            }
        }
    }
}
