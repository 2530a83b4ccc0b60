//! The stand-ins of a demo: the platform, workers in racks, and the history that they record.

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
use history::Fact;
use history::Log;
use smol::Task;
use standin::backend::Backend;
use standin::backend::Behaviour;
use standin::backend::Observation;
use standin::platform::Platform;
use standin::serve::Server;
use standin::worker::Need;

const RACKS: usize = 3;
const WORKERS_PER_RACK: usize = 4;
const VM_LIST_LAG: Ms = Ms(500);
const ADVANCE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// The capacity of each worker of the demo.
pub const CAPACITY: Size = Size {
    millicores: 32_000,
    memory_mb: 125_000,
    accelerators: 0,
};
/// The part of each worker's capacity that is reserved for the service.
pub const RESERVED: Size = Size {
    millicores: 16_000,
    memory_mb: 32_000,
    accelerators: 0,
};

/// The history of a demo, with times of the platform's clock.
#[derive(Debug, Default)]
pub struct Recorder {
    log: Mutex<Log>,
}

impl Recorder {
    /// Records an event.
    pub fn push(&self, at: Ms, fact: Fact) {
        self.log().push(at, fact);
    }

    /// Returns the history so far.
    pub fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().expect("no holder of this lock panics")
    }
}

/// The behaviour of workers. Service times and the needs of tasks are derived from the seed and
/// from bodies and names, so that equal seeds behave alike.
#[derive(Debug)]
struct Workload {
    seed: u64,
    recorder: Arc<Recorder>,
}

impl Workload {
    /// Hashes bytes with the seed to a number below `bound`.
    fn hash_below(&self, bytes: &[u8], bound: u64) -> u64 {
        let hash = bytes
            .iter()
            .fold(self.seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
                (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
            });
        (hash >> 20) % bound
    }
}

impl Behaviour for Workload {
    fn serve(&self, kind: &str, body: &Bytes) -> (Ms, Bytes) {
        let base = if kind == "preview" { 15 } else { 5 };
        (
            Ms(base + self.hash_below(body, base)),
            history::answer(body),
        )
    }

    fn need(&self, _kind: &Name, task: &Name) -> Need {
        let work = Ms(500 + self.hash_below(task.as_bytes(), 1_000));
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
        Observation::Task(change) => change.into_fact(vm),
    }
}

/// The running platform and workers.
#[derive(Debug)]
pub struct Fleet {
    /// The model of the platform.
    pub platform: Arc<Platform>,
    /// The history of the demo.
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
    /// Returns an error when no port can be bound.
    pub async fn start(seed: u64) -> std::io::Result<Self> {
        let platform = Arc::new(Platform::new(VM_LIST_LAG, Vec::new()));
        let recorder = Arc::new(Recorder::default());
        let workload = Arc::new(Workload {
            seed,
            recorder: Arc::clone(&recorder),
        });
        let mut workers = HashMap::new();
        let mut backends = Vec::new();
        for number in 0..RACKS * WORKERS_PER_RACK {
            let mut vm = new_vm(number);
            let shared = Arc::clone(&platform);
            let backend = Arc::new(Backend::new(vm.clone(), shared, Arc::clone(&workload)));
            let server = Server::start(Arc::clone(&backend)).await?;
            vm.address = server.address();
            recorder.push(Ms::ZERO, worker_fact(&vm));
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

    /// Returns the address of the platform's table, object store and list of VMs.
    #[must_use]
    pub const fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Returns the first worker by name; `None` if there are no workers.
    #[must_use]
    pub fn first_worker(&self) -> Option<Name> {
        self.workers.keys().min().cloned()
    }
}

async fn advance(backends: Vec<Arc<Backend<Workload>>>) {
    loop {
        smol::Timer::after(ADVANCE_INTERVAL).await;
        backends.iter().for_each(|backend| backend.advance());
    }
}

fn worker_fact(vm: &Vm) -> Fact {
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

fn new_vm(number: usize) -> Vm {
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
