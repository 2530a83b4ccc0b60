//! A small board: first fit on declared sizes, no eviction.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::clock::Ms;
use decision::name::Name;
use decision::operator::Progress;
use decision::piece::Piece;
use decision::piece::Record;
use decision::place::Event;
use decision::place::Id;
use decision::place::Order;
use decision::place::Read;
use decision::place::Summary;
use decision::resource::Size;
use decision::step::Step;
use decision::vm::Vm;
use decision::worker::Outcome;
use decision::worker::Reply;
use decision::worker::Report;
use decision::worker::State;
use decision::worker::Verb;

const LEASE: Ms = Ms(20_000);
const LAPSE: Ms = Ms(22_000);
const SURPLUS: Ms = Ms(3_000);

#[derive(Debug)]
struct Worker {
    vm: Vm,
    gone: Option<Ms>,
    /// Tasks that run or may run, with attempt and grant.
    booked: BTreeMap<Name, (u32, Size)>,
    /// Starts without an outcome, and since when the outcome is unknown.
    starting: BTreeMap<Name, (Id, Option<Ms>)>,
    stopping: BTreeSet<Name>,
}

#[derive(Debug)]
struct Holding {
    group: Name,
    piece: Piece,
    old: bool,
    since: Ms,
    told: bool,
}

/// The board.
#[derive(Debug, Default)]
pub struct Board {
    now: Ms,
    ids: u64,
    workers: BTreeMap<Name, Worker>,
    pieces: BTreeMap<Name, Holding>,
    frozen: BTreeSet<Name>,
    caretaker: BTreeSet<Name>,
    acknowledge: BTreeMap<Name, Vec<(Name, Name, u32)>>,
    cancelled: BTreeSet<Name>,
    unsaved: BTreeSet<Name>,
    orders: Vec<Order>,
}

fn task(piece: &Piece, index: usize) -> Name {
    let number = piece.first as usize + index;
    Name::try_from(format!("{}#{number}", piece.job.name)).unwrap()
}

impl Board {
    fn command(&mut self, vm: &Name, verb: Verb) -> Id {
        self.ids += 1;
        let id = Id(self.ids);
        let vm = vm.clone();
        self.orders.push(Order::Command { id, vm, verb });
        id
    }

    fn is_booked(&self, task: &Name) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| worker.booked.contains_key(task))
    }

    fn record(&mut self, name: &Name, record: Record) {
        let Some(holding) = self
            .piece_of(name)
            .and_then(|piece| self.pieces.get_mut(&piece))
        else {
            return;
        };
        let piece = &mut holding.piece;
        let index = (0..piece.tasks.len()).find(|index| task(piece, *index) == *name);
        let Some(index) = index.filter(|index| piece.tasks[*index] != record) else {
            return;
        };
        piece.tasks[index] = record;
        let piece = piece.name.clone();
        self.unsaved.insert(piece.clone());
        self.orders.push(Order::Store(piece));
    }

    fn piece_of(&self, name: &Name) -> Option<Name> {
        let job = name.split('#').next()?;
        let index = name.split('#').nth(1)?.parse::<u32>().ok()?;
        let mut pieces = self.pieces.values();
        let inside = |piece: &Piece| {
            let end = piece.first + u32::try_from(piece.tasks.len()).unwrap();
            *piece.job.name == *job && (piece.first..end).contains(&index)
        };
        let found = pieces.find(|holding| inside(&holding.piece))?;
        Some(found.piece.name.clone())
    }

    fn adopted(&mut self, vm: &Vm, report: &Report) {
        let entry = self.workers.entry(vm.name.clone());
        let worker = entry.or_insert_with(|| Worker {
            vm: vm.clone(),
            gone: None,
            booked: BTreeMap::new(),
            starting: BTreeMap::new(),
            stopping: BTreeSet::new(),
        });
        worker.vm = vm.clone();
        worker.gone = None;
        let starting = worker.starting.clone();
        worker.booked.retain(|name, _| starting.contains_key(name));
        worker.starting.retain(|name, (_, unknown)| {
            let arrived = report.tasks.iter().any(|task| task.name == *name);
            !(arrived && unknown.is_some())
        });
        for task in &report.tasks {
            let booked = (task.attempt, task.grant);
            worker.booked.insert(task.name.clone(), booked);
        }
        for task in &report.tasks {
            match task.state {
                State::Running => {}
                State::Completed => self.ended(vm, &task.name, task.attempt, Record::Done),
                State::Failed(_) => self.ended(vm, &task.name, task.attempt, Record::Failed),
                State::Stopped => self.stopped(vm, &task.name, task.attempt),
            }
        }
    }

    fn ended(&mut self, vm: &Vm, name: &Name, attempt: u32, record: Record) {
        let Some(piece) = self.piece_of(name) else {
            return;
        };
        self.record(name, record);
        if !self.unsaved.contains(&piece) {
            let tasks = vec![(name.clone(), attempt)];
            self.command(&vm.name, Verb::Acknowledge { tasks });
            return;
        }
        let list = self.acknowledge.entry(piece).or_default();
        let one = (vm.name.clone(), name.clone(), attempt);
        if !list.contains(&one) {
            list.push(one);
        }
    }

    fn stopped(&mut self, vm: &Vm, name: &Name, attempt: u32) {
        let cancelled = name
            .split('#')
            .next()
            .is_some_and(|job| self.cancelled.contains(job));
        if cancelled {
            self.ended(vm, name, attempt, Record::Cancelled);
            return;
        }
        if self.piece_of(name).is_some() {
            let tasks = vec![(name.clone(), attempt)];
            self.command(&vm.name, Verb::Acknowledge { tasks });
        }
    }

    fn cancel(&mut self, job: &Name) {
        self.cancelled.insert(job.clone());
        let mut changed = Vec::new();
        for holding in self.pieces.values_mut() {
            if holding.piece.job.name == *job && !holding.piece.cancelled {
                holding.piece.cancelled = true;
                changed.push(holding.piece.name.clone());
            }
        }
        self.unsaved.extend(changed.iter().cloned());
        self.orders.extend(changed.into_iter().map(Order::Store));
    }

    fn advance(&mut self) {
        for name in Vec::from_iter(self.pieces.keys().cloned()) {
            let holding = &self.pieces[&name];
            let group = holding.group.clone();
            let frozen = holding.old && self.frozen.contains(&group);
            if frozen || self.caretaker.contains(&group) {
                continue;
            }
            if holding.piece.cancelled {
                self.cancel_open(&name);
            } else {
                self.start_open(&name);
            }
        }
        self.lapse();
    }

    fn cancel_open(&mut self, name: &Name) {
        let piece = self.pieces[name].piece.clone();
        for (index, record) in piece.tasks.iter().enumerate() {
            let task = task(&piece, index);
            if !matches!(record, Record::Open { .. }) {
                continue;
            }
            if !self.is_booked(&task) {
                self.record(&task, Record::Cancelled);
                continue;
            }
            let mut stops = Vec::new();
            for (vm, worker) in &mut self.workers {
                if let Some((attempt, _)) = worker.booked.get(&task)
                    && worker.stopping.insert(task.clone())
                {
                    stops.push((vm.clone(), *attempt));
                }
            }
            for (vm, attempt) in stops {
                let verb = Verb::Stop {
                    task: task.clone(),
                    attempt,
                    checkpoint: None,
                };
                self.command(&vm, verb);
            }
        }
    }

    fn start_open(&mut self, name: &Name) {
        let piece = self.pieces[name].piece.clone();
        let group = self.pieces[name].group.clone();
        let size = piece.job.size;
        let mut waits = false;
        for (index, record) in piece.tasks.iter().enumerate() {
            let Record::Open {
                attempt,
                checkpoint,
                evictions,
                failures,
            } = record.clone()
            else {
                continue;
            };
            let task = task(&piece, index);
            if self.is_booked(&task) {
                continue;
            }
            let fits = |worker: &&mut Worker| {
                let booked = worker.booked.values();
                let used = booked.fold(Size::ZERO, |sum, (_, grant)| sum.plus(*grant));
                let stays = worker.vm.state == decision::vm::State::Live && worker.gone.is_none();
                worker.vm.group == group && stays && size.fits(worker.vm.capacity.minus(used))
            };
            let Some(worker) = self.workers.values_mut().find(fits) else {
                waits = true;
                break;
            };
            let attempt = attempt + 1;
            worker.booked.insert(task.clone(), (attempt, size));
            let vm = worker.vm.name.clone();
            let verb = Verb::Start {
                task: task.clone(),
                attempt,
                kind: piece.job.kind.clone(),
                grant: size,
                from: checkpoint.clone(),
                lease: LEASE,
            };
            let id = self.command(&vm, verb);
            let worker = self.workers.get_mut(&vm).unwrap();
            worker.starting.insert(task.clone(), (id, None));
            let record = Record::Open {
                attempt,
                checkpoint,
                evictions,
                failures,
            };
            self.record(&task, record);
        }
        self.surplus(name, waits);
    }

    fn surplus(&mut self, name: &Name, waits: bool) {
        let now = self.now;
        let running = self.progress(Some(&self.pieces[name].piece.job.name));
        let idle = running.iter().all(|one| one.running == 0);
        let holding = self.pieces.get_mut(name).unwrap();
        if !waits || !idle {
            holding.since = now;
            holding.told = false;
        } else if now.since(holding.since) > SURPLUS && !holding.told {
            holding.told = true;
            self.orders.push(Order::Surplus(name.clone()));
        }
    }

    /// Frees what was booked on workers whose leases have lapsed.
    fn lapse(&mut self) {
        let now = self.now;
        let lapsed = |gone: Ms| now.since(gone) > LAPSE;
        self.workers
            .retain(|_, worker| !worker.gone.is_some_and(lapsed));
        for worker in self.workers.values_mut() {
            let starting = &mut worker.starting;
            starting.retain(|_, (_, unknown)| !unknown.is_some_and(lapsed));
        }
    }

    fn command_ended(&mut self, id: Id, outcome: &Outcome) {
        for worker in self.workers.values_mut() {
            let Some(task) = worker.starting.iter().find(|(_, one)| one.0 == id) else {
                continue;
            };
            let task = task.0.clone();
            match outcome {
                Outcome::Unsent | Outcome::Answered(Reply::Refused(_)) => {
                    worker.starting.remove(&task);
                    worker.booked.remove(&task);
                }
                Outcome::Answered(Reply::Done(_)) => {
                    worker.starting.remove(&task);
                }
                // It stays booked for as long as it may still be carried out.
                Outcome::Unknown => {
                    worker.starting.insert(task, (id, Some(self.now)));
                }
            }
        }
    }
}

impl Read for Board {
    fn piece(&self, name: &Name) -> Option<Piece> {
        Some(self.pieces.get(name)?.piece.clone())
    }

    fn progress(&self, job: Option<&Name>) -> Vec<Progress> {
        let mut all = BTreeMap::<Name, Progress>::new();
        for holding in self.pieces.values() {
            let piece = &holding.piece;
            if job.is_some_and(|job| *job != piece.job.name) {
                continue;
            }
            let entry = all.entry(piece.job.name.clone());
            let sum = entry.or_insert_with(|| Progress {
                job: piece.job.name.clone(),
                pending: 0,
                running: 0,
                done: 0,
                cancelled: 0,
                failed: 0,
            });
            for (index, record) in piece.tasks.iter().enumerate() {
                match record {
                    Record::Open { .. } if self.is_booked(&task(piece, index)) => sum.running += 1,
                    Record::Open { .. } => sum.pending += 1,
                    Record::Done => sum.done += 1,
                    Record::Cancelled => sum.cancelled += 1,
                    Record::Failed => sum.failed += 1,
                }
            }
        }
        all.into_values().collect()
    }

    fn workers(&self) -> Vec<Summary> {
        let summary = |worker: &Worker| {
            let booked = worker.booked.values();
            let booked = booked.fold(Size::ZERO, |sum, (_, grant)| sum.plus(*grant));
            Summary {
                vm: worker.vm.name.clone(),
                group: worker.vm.group.clone(),
                booked,
                room: worker.vm.capacity.minus(booked),
                tasks: u32::try_from(worker.booked.len()).unwrap(),
                quarantined: false,
            }
        };
        self.workers.values().map(summary).collect()
    }

    fn held(&self) -> Vec<(Name, Size)> {
        Vec::new()
    }
}

impl Step for Board {
    type Event = Event;
    type Action = Order;

    fn step(&mut self, now: Ms, event: Event) -> Vec<Order> {
        self.now = now;
        match event {
            Event::Adopted { vm, report, .. } => self.adopted(&vm, &report),
            Event::Leaving(vm, leaving) => {
                if let Some(worker) = self.workers.get_mut(&vm) {
                    worker.vm.state = if leaving {
                        decision::vm::State::Leaving
                    } else {
                        decision::vm::State::Live
                    };
                }
            }
            Event::Gone(vm) => {
                if let Some(worker) = self.workers.get_mut(&vm) {
                    worker.gone = Some(now);
                }
            }
            Event::Lost(group) => {
                self.workers.retain(|_, worker| worker.vm.group != group);
                self.pieces.retain(|_, holding| holding.group != group);
            }
            Event::Frozen(group, frozen) => {
                if frozen {
                    self.frozen.insert(group);
                } else {
                    self.frozen.remove(&group);
                }
            }
            Event::Caretaker(group, caretaker) => {
                if caretaker {
                    self.caretaker.insert(group);
                } else {
                    self.caretaker.remove(&group);
                }
            }
            Event::Piece { group, piece, old } => {
                let name = piece.name.clone();
                let holding = Holding {
                    group,
                    piece,
                    old,
                    since: now,
                    told: false,
                };
                self.pieces.insert(name, holding);
            }
            Event::Moved(piece) => {
                self.pieces.remove(&piece);
            }
            Event::Cancel(job) => self.cancel(&job),
            Event::Stored(piece) => {
                self.unsaved.remove(&piece);
                for (vm, task, attempt) in self.acknowledge.remove(&piece).unwrap_or_default() {
                    let tasks = vec![(task, attempt)];
                    self.command(&vm, Verb::Acknowledge { tasks });
                }
            }
            Event::Ended(id, outcome) => self.command_ended(id, &outcome),
            Event::Tick => self.advance(),
            Event::Config(_) | Event::Fenced(_) | Event::Held(_) | Event::Measured { .. } => {}
        }
        std::mem::take(&mut self.orders)
    }
}
