//! Benchmarks of one placement decision at growing numbers of workers and tasks, compared with the
//! baseline.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use decision::clock::Ms;
use decision::config::Checked;
use decision::config::Document;
use decision::config::Service;
use decision::naive;
use decision::name::Name;
use decision::operator::Job;
use decision::piece::Piece;
use decision::piece::Record;
use decision::place::Board;
use decision::place::Event;
use decision::place::Id;
use decision::place::Order;
use decision::place::Read;
use decision::resource::Size;
use decision::step::Step;
use decision::vm::State;
use decision::vm::Vm;
use decision::worker;
use decision::worker::Epoch;
use decision::worker::Outcome;
use decision::worker::Reply;
use decision::worker::Report;
use decision::worker::Task;
use decision::worker::Verb;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Numbers of workers and of running tasks.
const SIZES: [(u32, u32); 4] = [
    (100, 1_760),
    (1_000, 17_600),
    (5_000, 88_000),
    (25_000, 440_000),
];

/// The number of tasks in one job piece.
const TASKS_PER_PIECE: u32 = 256;

/// One in this many workers of the last tenth has room for the task to be placed. The other workers
/// are full, as first fit fills the workers that it examines first.
const ROOMY_DIVISOR: u32 = 10;

const EPOCH: Epoch = Epoch { row: 1, step: 0 };

const CAPACITY: Size = Size {
    millicores: 32_000,
    memory_mb: 125_000,
    accelerators: 0,
};

/// The size that running tasks declared.
const DECLARED: Size = Size {
    millicores: 2_000,
    memory_mb: 8_000,
    accelerators: 0,
};

const WANTED: Size = Size {
    millicores: 6_000,
    memory_mb: 16_000,
    accelerators: 0,
};

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("bench names are valid")
}

fn config() -> Arc<Checked> {
    let service = Service {
        name: name("orders"),
        reserved: Size::ZERO,
        queue: 100,
        deadline: Ms(1_000),
        attempt: Ms(500),
    };
    let document = Document {
        services: vec![service],
        ..Document::default()
    };
    Arc::new(Checked::try_from(document).expect("the bench configuration is valid"))
}

fn vm(index: u32) -> Vm {
    Vm {
        name: name(&format!("vm-{index}")),
        address: ([127, 0, 0, 1], 1).into(),
        group: name("rack"),
        domain: name("zone"),
        capacity: CAPACITY,
        slots: 8,
        state: State::Live,
    }
}

fn piece(raw: &str, tasks: u32, size: Size) -> Piece {
    let kind = if size == WANTED { "wanted" } else { "running" };
    let open = Record::Open {
        attempt: 0,
        checkpoint: None,
        evictions: 0,
        failures: 0,
    };
    Piece {
        name: name(&format!("{raw}.0")),
        job: Job {
            name: name(raw),
            team: name("team"),
            kind: name(kind),
            tasks,
            size,
            run_time: Ms(60_000),
            urgent: false,
        },
        first: 0,
        tasks: vec![open; tasks as usize],
        cancelled: false,
    }
}

/// A board with running tasks, and the reports of its workers.
struct Fleet<B> {
    board: B,
    now: Ms,
    reports: Vec<Report>,
    placed: u64,
}

impl<B: Step<Event = Event, Action = Order> + Read> Fleet<B> {
    fn new(mut board: B, workers: u32, tasks: u32) -> Self {
        let now = Ms(1_000);
        board.step(now, Event::Config(config()));
        board.step(now, Event::Frozen(name("rack"), true));
        for index in 0..tasks.div_ceil(TASKS_PER_PIECE) {
            let piece = piece(&format!("job{index}"), TASKS_PER_PIECE, DECLARED);
            let group = name("rack");
            let old = true;
            board.step(now, Event::Piece { group, piece, old });
        }
        let mut rng = StdRng::seed_from_u64(5);
        let mut reports = Vec::new();
        for index in 0..workers {
            let first = u64::from(index) * u64::from(tasks) / u64::from(workers);
            let end = u64::from(index + 1) * u64::from(tasks) / u64::from(workers);
            let roomy = index >= workers / 10 * 9 && index % ROOMY_DIVISOR == ROOMY_DIVISOR - 1;
            let free_millicores = if roomy {
                12_000
            } else {
                rng.random_range(0..4_000)
            };
            let report = report(index, first..end, free_millicores);
            let vm = vm(index);
            let epoch = EPOCH;
            reports.push(report.clone());
            board.step(now, Event::Adopted { vm, epoch, report });
        }
        Self {
            board,
            now,
            reports,
            placed: 0,
        }
    }

    /// Places one task and then completes it. Returns the time that the placement took.
    fn place(&mut self) -> Duration {
        self.placed += 1;
        self.now += Ms(1);
        let piece = piece(&format!("new{}", self.placed), 1, WANTED);
        let stored = piece.name.clone();
        let event = Event::Piece {
            group: name("rack"),
            piece,
            old: false,
        };
        let start = Instant::now();
        let orders = black_box(self.board.step(self.now, event));
        let time = start.elapsed();
        self.complete(&orders);
        self.board.step(self.now, Event::Stored(stored.clone()));
        self.board.step(self.now, Event::Moved(stored));
        time
    }

    fn complete(&mut self, orders: &[Order]) {
        let started = orders.iter().find_map(|order| match order {
            Order::Command {
                id,
                vm,
                verb: Verb::Start { task, grant, .. },
            } => Some((*id, vm, task, *grant)),
            _ => None,
        });
        let (id, vm, name, grant) = started.expect("a worker has room for the task");
        let index: usize = vm
            .trim_start_matches("vm-")
            .parse()
            .expect("VM names end in an index");
        let mut report = self.reports[index].clone();
        let mut task = running(name.clone(), grant);
        task.state = worker::State::Completed;
        report.tasks.push(task);
        self.end(id, report);
        let report = self.reports[index].clone();
        let (vm, epoch) = (report.vm.clone(), EPOCH);
        let index = u32::try_from(index).expect("there are fewer than 2^32 workers");
        let vm = Vm {
            name: vm,
            ..self::vm(index)
        };
        self.board
            .step(self.now, Event::Adopted { vm, epoch, report });
    }

    fn end(&mut self, id: Id, report: Report) {
        let outcome = Outcome::Answered(Reply::Done(report));
        self.board.step(self.now, Event::Ended(id, outcome));
    }
}

/// Creates the report of a worker whose running tasks leave this many millicores free.
fn report(index: u32, tasks: std::ops::Range<u64>, free_millicores: u32) -> Report {
    let count =
        u32::try_from(tasks.end - tasks.start).expect("a worker runs fewer than 2^32 tasks");
    let grant = Size {
        millicores: (CAPACITY.millicores - free_millicores) / count.max(1),
        memory_mb: (CAPACITY.memory_mb - free_millicores * 4) / count.max(1),
        accelerators: 0,
    };
    let names = tasks.map(|task| {
        let (job, index) = (
            task / u64::from(TASKS_PER_PIECE),
            task % u64::from(TASKS_PER_PIECE),
        );
        name(&format!("job{job}#{index}"))
    });
    Report {
        vm: name(&format!("vm-{index}")),
        epoch: EPOCH,
        capacity: CAPACITY,
        busy: 4,
        former: 0,
        attempts: Vec::new(),
        service: Size::ZERO,
        tasks: names.map(|name| running(name, grant)).collect(),
    }
}

fn running(task: Name, grant: Size) -> Task {
    Task {
        name: task,
        attempt: 1,
        kind: name("running"),
        grant,
        used: grant,
        progress: Ms(1_000),
        saved: Ms::ZERO,
        throttle: 100,
        state: worker::State::Running,
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|raw| raw.parse().ok());
    pages.unwrap_or(0) * 4_096
}

fn memory() {
    let (workers, tasks) = SIZES[SIZES.len() - 1];
    let before = resident();
    let idle = Fleet::new(Board::new(1), workers, 0);
    drop(idle.reports);
    let with_workers = resident();
    black_box(&idle.board);
    let full = Fleet::new(Board::new(1), workers, tasks);
    drop(full.reports);
    let with_tasks = resident();
    black_box(&full.board);
    let worker = (with_workers - before) / workers as usize;
    let task = (with_tasks - with_workers).saturating_sub(worker * workers as usize);
    println!(
        "memory: {worker} B per worker, {} B per task",
        task / tasks as usize
    );
}

fn placement(criterion: &mut Criterion) {
    memory();
    let mut group = criterion.benchmark_group("placement");
    for (workers, tasks) in SIZES {
        let label = format!("{workers} workers {tasks} tasks");
        let mut current = Fleet::new(Board::new(1), workers, tasks);
        group.bench_function(BenchmarkId::new("current", &label), |bench| {
            bench.iter_custom(|count| (0..count).map(|_| current.place()).sum());
        });
        drop(current);
        let mut baseline = Fleet::new(naive::Board::new(1), workers, tasks);
        group.bench_function(BenchmarkId::new("naive", &label), |bench| {
            bench.iter_custom(|count| (0..count).map(|_| baseline.place()).sum());
        });
    }
    group.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
