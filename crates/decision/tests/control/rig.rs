//! One control path whose workers, list and table are under the control of a test. Its clock has run
//! for ten hours before its first event, as the clock of a VM may have.

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
use decision::peer;
use decision::peer::Digest;
use decision::peer::Envelope;
use decision::peer::Message;
use decision::piece::Piece;
use decision::piece::Record;
use decision::place::Board;
use decision::record;
use decision::record::Group;
use decision::record::Work;
use decision::request;
use decision::step::Step;
use decision::table::Condition;
use decision::table::Operation;
use decision::table::Outcome;
use decision::table::Token;
use decision::table::Version as RowVersion;
use decision::table::Write;
use decision::vm::Vm;
use decision::worker;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Verb;

use crate::world::sample::job;
use crate::world::sample::name;
use crate::world::sample::vm;
use crate::world::table::Table;
use crate::world::workers::Observed;
use crate::world::workers::Worker;

/// The time of the clock when a test begins.
pub const START_MS: u64 = 36_000_000;

const TICK_MS: u64 = 100;
const RUN_TIME: Ms = Ms(3_600_000);
/// The token of rows that were written by other entries.
const OTHER: Token = Token(7);

/// The entry `a` with its workers and its table. The entry `e` exists only by its messages, rows and
/// commands. The plan gives both groups of the first four workers to `a`.
pub struct Rig {
    pub now: u64,
    pub machine: Machine<Board>,
    pub table: Table,
    pub workers: BTreeMap<Name, Worker>,
    /// Workers that carry out commands, but whose answers are kept in `answers`.
    pub silent: BTreeSet<Name>,
    pub answers: Vec<(Id, Name, worker::Outcome)>,
    /// A group that another entry acquires right after this entry, whose answer is then lost.
    pub stolen: Option<&'static str>,
    /// Whether the answers to commits that store work are kept in `commits`.
    pub keeps_commits: bool,
    pub commits: Vec<(Id, Outcome)>,
    /// The list that the entry reads each second.
    pub list: Option<Vec<Vm>>,
    /// Whether the entry `e` is live.
    pub has_peer: bool,
    /// The starts that the entry ordered: task, VM and time.
    pub starts: Vec<(Name, Name, u64)>,
    observed: Observed,
    beat: u64,
    messages: u64,
}

impl Rig {
    /// Creates the entry with the workers of one or more groups, and no list yet.
    pub fn new(workers: usize) -> Self {
        let identity = Identity {
            entry: name("a"),
            incarnation: 5,
            address: address(1_001),
            domain: name("d"),
            seeds: Vec::new(),
            seed: 1,
        };
        let workers = (0..workers).map(vm);
        let workers = workers.map(|vm| (vm.name.clone(), Worker::new(vm, RUN_TIME)));
        Self {
            now: START_MS,
            machine: Machine::new(identity, Board::new(1)),
            table: Table::default(),
            workers: workers.collect(),
            silent: BTreeSet::new(),
            answers: Vec::new(),
            stolen: None,
            keeps_commits: false,
            commits: Vec::new(),
            list: None,
            has_peer: false,
            starts: Vec::new(),
            observed: Observed::default(),
            beat: 0,
            messages: 0,
        }
    }

    /// The list of all workers except these.
    pub fn list_without(&self, left: &[usize]) -> Option<Vec<Vm>> {
        let left = Vec::from_iter(left.iter().map(|index| vm(*index).name));
        let workers = self.workers.values();
        let listed = workers.filter(|worker| !left.contains(&worker.vm.name));
        Some(listed.map(|worker| worker.vm.clone()).collect())
    }

    /// Writes the row of a group as another entry does that acquires it. Returns its epoch.
    pub fn write_owner(&mut self, group: &str, owner: &str) -> Epoch {
        let value = record::encode(&Group {
            owner: Some((name(owner), 1)),
        });
        self.write(&format!("group/{group}"), value)
    }

    /// Stores a job of one piece for a group.
    pub fn write_job(&mut self, group: &str, text: &str, tasks: u32) {
        let open = Record::Open {
            attempt: 0,
            checkpoint: None,
            evictions: 0,
            failures: 0,
        };
        let piece = Piece {
            name: name(&format!("{text}.0")),
            job: job(text, tasks),
            first: 0,
            tasks: vec![open; tasks as usize],
            cancelled: false,
        };
        let value = record::encode(&Work::Piece(piece));
        self.write(&format!("job/{group}/{text}.0"), value);
    }

    fn write(&mut self, key: &str, value: bytes::Bytes) -> Epoch {
        let commit = Operation::Commit {
            token: OTHER,
            conditions: Vec::<Condition>::new(),
            writes: vec![Write {
                key: key.into(),
                value: Some(value),
            }],
        };
        match self.table.run(&commit) {
            Outcome::Committed(versions) => Epoch {
                row: versions.first().copied().unwrap_or(RowVersion(0)).0,
                step: 0,
            },
            other => panic!("{other:?}"),
        }
    }

    /// Sends a command of the entry `e` to a worker.
    pub fn command_by_peer(&mut self, index: usize, epoch: Epoch, verb: Verb) {
        let command = Command {
            epoch,
            owner: name("e"),
            verb,
        };
        let worker = self.workers.get_mut(&vm(index).name).unwrap();
        let reply = worker.command(Ms(self.now), &command, &mut self.observed);
        assert!(matches!(reply, worker::Reply::Done(_)), "{reply:?}");
    }

    /// Adopts a worker for the entry `e` and starts a task on it.
    pub fn start_by_peer(&mut self, index: usize, epoch: Epoch, task: &str) {
        self.command_by_peer(index, epoch, Verb::Adopt { caretaker: false });
        let sample = job("j", 1);
        let start = Verb::Start {
            task: name(task),
            attempt: 1,
            kind: sample.kind,
            grant: sample.size,
            from: None,
            lease: decision::task::LEASE,
        };
        self.command_by_peer(index, epoch, start);
    }

    /// Delivers the answers that were kept back, in the order of the commands.
    pub fn release_answers(&mut self) {
        for (id, _, outcome) in std::mem::take(&mut self.answers) {
            self.step(Event::Worker(id, outcome));
        }
    }

    /// Lets the commands without an answer end as unknown.
    pub fn lose_answers(&mut self) {
        for (id, _, _) in std::mem::take(&mut self.answers) {
            self.step(Event::Worker(id, worker::Outcome::Unknown));
        }
    }

    /// Delivers the answers to commits that were kept back.
    pub fn release_commits(&mut self) {
        self.keeps_commits = false;
        for (id, outcome) in std::mem::take(&mut self.commits) {
            self.step(Event::Table(id, outcome));
        }
    }

    /// Delivers a message of the entry `e`.
    pub fn deliver(&mut self, message: Message) {
        self.messages += 1;
        let envelope = Envelope {
            from: name("e"),
            incarnation: 1,
            lamport: 0,
            message,
        };
        self.step(Event::PeerRequest(self.messages, envelope));
    }

    /// Runs for this time with a tick each 100 ms and a list each second.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_MS;
            if self.has_peer && self.now.is_multiple_of(500) {
                self.beat += 1;
                self.deliver(Message::Digest(digest(self.beat)));
            }
            if let (Some(list), true) = (&self.list, self.now.is_multiple_of(1_000)) {
                let list = list.clone();
                self.step(Event::Vms(list));
            }
            self.step(Event::Tick);
        }
    }

    /// The entry that the row of the group names.
    pub fn owner(&self, group: &str) -> Name {
        let row = &self.table.rows[&format!("group/{group}")];
        let (owner, _) = record::decode::<Group>(&row.value).unwrap().owner.unwrap();
        owner
    }

    /// Whether the entry commands the group.
    pub fn holds(&self, group: &str) -> bool {
        self.machine.groups().any(|(held, _)| **held == *group)
    }

    /// The workers on which the task runs now.
    pub fn places(&mut self, task: &str) -> Vec<Name> {
        let now = Ms(self.now);
        let mut places = Vec::new();
        for (vm, worker) in &mut self.workers {
            worker.advance(now, &mut self.observed);
            if worker.runs().any(|running| **running == *task) {
                places.push(vm.clone());
            }
        }
        places
    }

    pub fn step(&mut self, event: Event) {
        let actions = self.machine.step(Ms(self.now), event);
        for action in actions {
            match action {
                Action::Table(id, operation) => self.run_operation(id, &operation),
                Action::Worker { id, vm, command } => self.run_command(id, &vm, &command),
                _ => {}
            }
        }
    }

    fn run_operation(&mut self, id: Id, operation: &Operation) {
        let mut outcome = self.table.run(operation);
        if let (Operation::Commit { writes, .. }, Some(group)) = (operation, self.stolen)
            && writes
                .iter()
                .any(|write| write.key == format!("group/{group}"))
        {
            self.stolen = None;
            self.write_owner(group, "e");
            outcome = Outcome::Unknown;
        }
        if let (Operation::Commit { writes, .. }, true) = (operation, self.keeps_commits)
            && writes.iter().any(|write| write.key.starts_with("job/"))
        {
            self.commits.push((id, outcome));
            return;
        }
        self.step(Event::Table(id, outcome));
    }

    fn run_command(&mut self, id: Id, vm: &Name, command: &Command) {
        if let Verb::Start { task, .. } = &command.verb {
            self.starts.push((task.clone(), vm.clone(), self.now));
        }
        let now = Ms(self.now);
        let worker = self.workers.get_mut(vm).unwrap();
        worker.advance(now, &mut self.observed);
        let reply = worker.command(now, command, &mut self.observed);
        let outcome = worker::Outcome::Answered(reply);
        if self.silent.contains(vm) {
            self.answers.push((id, vm.clone(), outcome));
        } else {
            self.step(Event::Worker(id, outcome));
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn digest(beat: u64) -> Digest {
    let request = request::Peer {
        entry: name("e"),
        incarnation: 1,
        free: 0,
        waiting: 0,
        stopping: false,
        adopted: Vec::new(),
    };
    let member = peer::Member {
        entry: name("e"),
        incarnation: 1,
        address: address(1_002),
        domain: name("d"),
        beat,
        version: Version(0),
        request,
        room: Vec::new(),
        held: Vec::new(),
    };
    Digest {
        member,
        others: Vec::new(),
    }
}
