//! The stand-ins of a demo: the platform, workers in racks, and what they saw.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::vm::State;
use decision::vm::Vm;
use decision::worker;
use history::Ending;
use history::Fact;
use history::Log;
use smol::Task;
use standin::backend::Backend;
use standin::backend::Behaviour;
use standin::backend::Observation;
use standin::platform::Platform;
use standin::serve::Server;
use standin::worker::Change;
use standin::worker::Need;

const RACKS: usize = 3;
const WORKERS_PER_RACK: usize = 4;
const LIST_LAG: Ms = Ms(500);
const ADVANCE_EVERY: std::time::Duration = std::time::Duration::from_millis(50);

/// What a worker of the demo has, and what it keeps free for the service.
pub const CAPACITY: Size = Size {
    millicores: 32_000,
    memory_mb: 125_000,
    accelerators: 0,
};
/// The service's reservation on each worker.
pub const RESERVED: Size = Size {
    millicores: 16_000,
    memory_mb: 32_000,
    accelerators: 0,
};

/// The history of a demo on the platform's time axis.
#[derive(Debug, Default)]
pub struct Recorder {
    log: Mutex<Log>,
}

impl Recorder {
    /// Records an event.
    pub fn push(&self, at: Ms, fact: Fact) {
        self.log().push(at, fact);
    }

    /// The history so far.
    pub fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().expect("no holder of the history panics")
    }
}

/// Service times and task needs derived from names, so that equal seeds behave alike.
#[derive(Debug)]
struct Habit {
    seed: u64,
    recorder: Arc<Recorder>,
}

impl Habit {
    fn spread(&self, of: &[u8], width: u64) -> u64 {
        let hash = of
            .iter()
            .fold(self.seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
                (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
            });
        (hash >> 20) % width
    }
}

impl Behaviour for Habit {
    fn serve(&self, kind: &str, body: &Bytes) -> (Ms, Bytes) {
        let base = if kind == "preview" { 15 } else { 5 };
        (Ms(base + self.spread(body, base)), history::answer(body))
    }

    fn need(&self, _kind: &Name, task: &Name) -> Need {
        let work = Ms(500 + self.spread(task.as_bytes(), 1_000));
        Need {
            work,
            size: Size {
                millicores: 1_500,
                memory_mb: 3_000,
                accelerators: 0,
            },
        }
    }

    fn record(&self, vm: &Name, now: Ms, observation: Observation) {
        self.recorder.push(now, fact(vm.clone(), observation));
    }
}

fn fact(vm: Name, observation: Observation) -> Fact {
    match observation {
        Observation::Began {
            request,
            body,
            epoch,
        } => Fact::RunStarted {
            vm,
            id: request,
            epoch,
            body,
        },
        Observation::Ended { request, .. } => Fact::RunEnded { vm, id: request },
        Observation::Overfull { request } => Fact::Overfull { vm, work: request },
        Observation::Task(change) => task_fact(vm, change),
    }
}

fn task_fact(vm: Name, change: Change) -> Fact {
    match change {
        Change::Started(task, from) => {
            let worker::Task {
                name,
                attempt,
                grant,
                ..
            } = task;
            Fact::TaskStarted {
                vm,
                task: name,
                attempt,
                grant,
                from,
            }
        }
        Change::Ended(task) => {
            let ending = match task.state {
                worker::State::Completed => Ending::Completed,
                worker::State::Failed(_) => Ending::Failed,
                worker::State::Running | worker::State::Stopped => Ending::Stopped,
            };
            Fact::TaskEnded {
                vm,
                task: task.name,
                attempt: task.attempt,
                ending,
            }
        }
        Change::Saved(task, key) => Fact::Checkpointed {
            vm,
            task: task.name,
            attempt: task.attempt,
            key,
        },
        Change::Acknowledged(task) => Fact::Acknowledged {
            vm,
            task: task.name,
            attempt: task.attempt,
        },
        Change::Overfull(task) => Fact::Overfull {
            vm,
            work: task.to_string(),
        },
    }
}

/// The running stand-ins.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's models.
    pub platform: Arc<Platform>,
    /// What happened.
    pub recorder: Arc<Recorder>,
    server: Server,
    workers: HashMap<Name, Server>,
    _advance: Task<()>,
}

impl Fleet {
    /// Starts the platform and all workers.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(seed: u64) -> std::io::Result<Self> {
        let platform = Arc::new(Platform::new(LIST_LAG, Vec::new()));
        let recorder = Arc::new(Recorder::default());
        let habit = Arc::new(Habit {
            seed,
            recorder: Arc::clone(&recorder),
        });
        let mut workers = HashMap::new();
        let mut backends = Vec::new();
        for number in 0..RACKS * WORKERS_PER_RACK {
            let mut vm = describe(number);
            let shared = Arc::clone(&platform);
            let backend = Arc::new(Backend::new(vm.clone(), shared, Arc::clone(&habit)));
            let server = Server::start(Arc::clone(&backend)).await?;
            vm.address = server.address();
            recorder.push(Ms::ZERO, introduce(&vm));
            workers.insert(vm.name.clone(), server);
            platform.vms().add(Ms::ZERO, vm);
            backends.push(backend);
        }
        let server = Server::start(Arc::clone(&platform)).await?;
        let advance = smol::spawn(advance(backends));
        Ok(Self {
            platform,
            recorder,
            server,
            workers,
            _advance: advance,
        })
    }

    /// Where table, object store and VM list answer.
    #[must_use]
    pub const fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// A worker that may be taken out of service, the first by name.
    #[must_use]
    pub fn first(&self) -> Option<Name> {
        self.workers.keys().min().cloned()
    }
}

async fn advance(backends: Vec<Arc<Backend<Habit>>>) {
    loop {
        smol::Timer::after(ADVANCE_EVERY).await;
        backends.iter().for_each(|backend| backend.advance());
    }
}

fn introduce(vm: &Vm) -> Fact {
    let Vm {
        name,
        capacity,
        slots,
        ..
    } = vm.clone();
    Fact::Worker {
        vm: name,
        capacity,
        reserved: RESERVED,
        slots,
    }
}

fn describe(number: usize) -> Vm {
    let rack = number / WORKERS_PER_RACK;
    let name = |raw: String| Name::try_from(raw).expect("a generated name is valid");
    Vm {
        name: name(format!("worker-{number:02}")),
        address: ([127, 0, 0, 1], 0).into(),
        group: name(format!("rack-{rack}")),
        domain: name(format!("domain-{rack}")),
        capacity: CAPACITY,
        slots: 8,
        state: State::Live,
    }
}
