//! Benchmarks of the control path: digests, ticks, the takeover of groups and updates of the VM
//! list.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use decision::clock::Ms;
use decision::config::Version;
use decision::control::Action;
use decision::control::Event;
use decision::control::Identity;
use decision::control::Machine;
use decision::member::Roster;
use decision::name::Name;
use decision::peer::Digest;
use decision::peer::Envelope;
use decision::peer::Member;
use decision::peer::Message;
use decision::place::Board;
use decision::record;
use decision::request::Peer;
use decision::resource::Size;
use decision::step::Step;
use decision::table;
use decision::table::Operation;
use decision::table::Row;
use decision::table::Token;
use decision::vm::State;
use decision::vm::Vm;
use decision::worker;
use decision::worker::Reply;
use decision::worker::Report;

const WORKERS_PER_RACK: usize = 8;
const TICK_MS: u64 = 100;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("bench names are valid")
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(1_024 + index % 60_000).expect("the port is in range");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(index: usize, beat: u64) -> Member {
    let entry = name(&format!("entry-{index}"));
    Member {
        entry: entry.clone(),
        incarnation: 1,
        address: address(index),
        domain: name("a"),
        beat,
        version: Version(0),
        request: Peer {
            entry,
            incarnation: 1,
            free: 8,
            waiting: 0,
            stopping: false,
            adopted: Vec::new(),
        },
        room: Vec::new(),
        held: Vec::new(),
    }
}

fn vm(index: usize) -> Vm {
    Vm {
        name: name(&format!("vm-{index}")),
        address: address(index),
        group: name(&format!("rack-{}", index / WORKERS_PER_RACK)),
        domain: name("a"),
        capacity: Size {
            millicores: 32_000,
            memory_mb: 125_000,
            accelerators: 0,
        },
        slots: 8,
        state: State::Live,
    }
}

/// A control path with a table and workers that answer immediately.
struct Harness {
    machine: Machine<Board>,
    rows: BTreeMap<String, Row>,
    now: u64,
    elapsed: Duration,
}

impl Harness {
    /// Creates an entry whose peer owns all groups of `workers` workers.
    fn new(workers: usize) -> Self {
        let identity = Identity {
            entry: name("entry-0"),
            incarnation: 1,
            address: address(0),
            domain: name("a"),
            seeds: Vec::new(),
            seed: 1,
        };
        let mut harness = Self {
            machine: Machine::new(identity, Board::new(1)),
            rows: BTreeMap::new(),
            now: 0,
            elapsed: Duration::ZERO,
        };
        let owner = Some((name("entry-1"), 1));
        let value = record::encode(&record::Group { owner });
        for group in 0..workers.div_ceil(WORKERS_PER_RACK) {
            let key = format!("group/rack-{group}");
            harness.write(key, value.clone());
        }
        harness.step(Event::Vms((0..workers).map(vm).collect()));
        harness.step(Event::Peer(Envelope {
            from: name("entry-1"),
            incarnation: 1,
            lamport: 0,
            message: Message::Digest(Digest {
                member: member(1, 1),
                others: Vec::new(),
            }),
        }));
        harness
    }

    fn write(&mut self, key: String, value: bytes::Bytes) -> table::Version {
        let version = self.rows.get(&key).map_or(0, |row| row.version.0) + 1;
        let row = Row {
            key: key.clone(),
            version: table::Version(version),
            token: Token(0),
            value,
        };
        self.rows.insert(key, row);
        table::Version(version)
    }

    fn answer(&mut self, operation: Operation) -> table::Outcome {
        match operation {
            Operation::Read(keys) => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
                table::Outcome::Rows(rows.collect())
            }
            Operation::Scan { .. } => table::Outcome::Rows(Vec::new()),
            Operation::Commit { writes, .. } => {
                let writes = writes.into_iter();
                let write =
                    |write: table::Write| self.write(write.key, write.value.unwrap_or_default());
                table::Outcome::Committed(writes.map(write).collect())
            }
        }
    }

    /// Processes an event and all events that result from it, and adds up the time of the steps.
    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let start = Instant::now();
            let actions = self.machine.step(Ms(self.now), event);
            self.elapsed += start.elapsed();
            for action in actions {
                match action {
                    Action::Table(id, operation) => {
                        events.push(Event::Table(id, self.answer(operation)));
                    }
                    Action::Worker { id, vm, command } => {
                        let reply = Reply::Done(report(vm, command.epoch));
                        events.push(Event::Worker(id, worker::Outcome::Answered(reply)));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Ticks for this many ms of simulated time.
    fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_MS;
            self.step(Event::Tick);
        }
    }

    fn adopted(&self) -> usize {
        self.machine.groups().count()
    }
}

fn report(vm: Name, epoch: worker::Epoch) -> Report {
    Report {
        vm,
        epoch,
        capacity: Size {
            millicores: 32_000,
            memory_mb: 125_000,
            accelerators: 0,
        },
        busy: 0,
        former: 0,
        attempts: Vec::new(),
        service: Size::ZERO,
        tasks: Vec::new(),
    }
}

fn digest(c: &mut Criterion) {
    let mut group = c.benchmark_group("digest");
    for entries in [9, 50, 250] {
        let mut roster = Roster::new(member(0, 0), Vec::new());
        for index in 1..entries {
            roster.merge_record(Ms(1_000), &member(index, 1), Ms::ZERO);
        }
        group.bench_function(BenchmarkId::from_parameter(entries), |b| {
            b.iter(|| black_box(roster.digest(Ms(1_100))));
        });
    }
    group.finish();
}

/// Measures ten ticks of an entry that owns all workers, with renewals, heartbeats and reads.
fn second(c: &mut Criterion) {
    let mut group = c.benchmark_group("second");
    group.sample_size(20);
    for workers in [10, 100, 1_000] {
        let mut harness = Harness::new(workers);
        harness.run(30_000);
        assert_eq!(harness.adopted(), workers.div_ceil(WORKERS_PER_RACK));
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|count| {
                harness.elapsed = Duration::ZERO;
                for _ in 0..count {
                    harness.run(1_000);
                }
                harness.elapsed
            });
        });
    }
    group.finish();
}

/// Measures the takeover of the groups of an owner that sends no more digests, until all its
/// workers are adopted.
fn takeover(c: &mut Criterion) {
    let mut group = c.benchmark_group("takeover");
    group.sample_size(20);
    for workers in [10, 100, 1_000] {
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|count| {
                let mut elapsed = Duration::ZERO;
                for _ in 0..count {
                    let mut harness = Harness::new(workers);
                    harness.run(7_500);
                    assert_eq!(harness.adopted(), 0);
                    harness.elapsed = Duration::ZERO;
                    harness.run(2_500);
                    assert_eq!(harness.adopted(), workers.div_ceil(WORKERS_PER_RACK));
                    elapsed += harness.elapsed;
                }
                elapsed
            });
        });
    }
    group.finish();
}

/// Measures the update of a VM list in which one worker leaves or returns, at an entry that owns a
/// hundred workers.
fn list(c: &mut Criterion) {
    let mut group = c.benchmark_group("list");
    group.sample_size(20);
    for workers in [1_000, 5_000, 25_000] {
        let mut harness = Harness::new(100);
        harness.run(30_000);
        let mut vms = Vec::from_iter((0..workers).map(vm));
        group.bench_function(BenchmarkId::from_parameter(workers), |b| {
            b.iter_custom(|count| {
                harness.elapsed = Duration::ZERO;
                for _ in 0..count {
                    let last = vms.last_mut().expect("the list is not empty");
                    last.state = match last.state {
                        State::Live => State::Leaving,
                        State::Leaving => State::Live,
                    };
                    harness.step(Event::Vms(vms.clone()));
                }
                harness.elapsed
            });
        });
    }
    group.finish();
}

criterion_group!(benches, digest, second, takeover, list);
criterion_main!(benches);
