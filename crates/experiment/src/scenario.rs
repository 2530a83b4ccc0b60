//! The scenario of a run: fleet, demand and operators' calls, drawn from the case and the seed
//! alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use decision::clock::Ms;
use decision::config::Document;
use decision::config::Service;
use decision::config::Team;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Job;
use decision::resource::Size;
use decision::vm::State;
use decision::vm::Vm;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::worker::Need;

use crate::case::Case;
use crate::demand;
use crate::demand::Kind;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;

/// The time before demand starts, in which entries take ownership and operators set the
/// configuration.
pub const WARM_UP: Us = 10 * SECOND;

/// The number of workers in one rack, which is one group.
const RACK: usize = 8;

/// The parameters from which [`Scenario::new`] draws a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// The case, which sets the load and the fleet.
    pub case: Case,
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of entries.
    pub entries: usize,
    /// The duration of the measured window in microseconds.
    pub window: Us,
    /// The divisor of the number of workers, the demand and the jobs; above 1 for quick tests.
    pub shrink: usize,
}

impl Parameters {
    /// A run of a case with the full fleet for 60 s.
    #[must_use]
    pub const fn new(case: Case, seed: u64) -> Self {
        Self {
            case,
            seed,
            entries: 6,
            window: 60 * SECOND,
            shrink: 1,
        }
    }

    /// A third of the fleet for 30 s, for tests in debug builds.
    #[must_use]
    pub const fn small(case: Case, seed: u64) -> Self {
        Self {
            window: 30 * SECOND,
            shrink: 3,
            ..Self::new(case, seed)
        }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The time of the first sending.
    pub at: Us,
    /// Index into [`Scene::kinds`].
    pub kind: usize,
    /// The run time on an idle worker, in microseconds.
    pub work: Us,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the caller sends the request a second time while the first sending is in flight.
    pub sends_twice: bool,
    /// Index into [`Scene::teams`].
    pub team: usize,
}

/// A job with the true needs of its tasks.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The time of the submission.
    pub at: Us,
    /// The job as the operator submits it, with a declared size and run time.
    pub job: Job,
    /// The true need of each task; empty for a job that fits on no worker.
    pub needs: Vec<Need>,
}

/// A kind of batch task.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The slowdown of each kind of request on a worker that is filled with such tasks, in percent.
    pub interference: Vec<u32>,
}

/// Everything that is drawn before a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The parameters from which the scenario was drawn.
    pub parameters: Parameters,
    /// The VMs of the workers, ordered by name.
    pub vms: Vec<Vm>,
    /// The only service, which all requests belong to.
    pub service: Service,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The teams of requests and jobs.
    pub teams: Vec<Name>,
    /// All requests, ordered by the time of their first sending.
    pub requests: Vec<Request>,
    /// The start and the end of the peak of demand.
    pub peak: (Us, Us),
    /// The kinds of batch tasks by name.
    pub batch: BTreeMap<Name, Batch>,
    /// All jobs, ordered by the time of their submission.
    pub jobs: Vec<Plan>,
    /// The times and actions of operators' calls beside submissions and reconfigurations.
    pub calls: Vec<(Us, Action)>,
    /// The indices of workers that fail everything as soon as they start it.
    pub faulty_workers: Vec<usize>,
    /// The times of planned stops with the index of the entry, which is then started again.
    pub restarts: Vec<(Us, usize)>,
    /// The one-way latency between callers and entries, in microseconds.
    pub client_latency: Us,
}

/// Creates a random number generator for one purpose. Each purpose has its own, so that a draw for
/// one purpose does not change the numbers of another.
#[must_use]
pub fn seeded_rng(seed: u64, purpose: &str) -> StdRng {
    let mut mixed = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in purpose.bytes() {
        mixed = (mixed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    StdRng::seed_from_u64(mixed)
}

/// Converts a name that the harness makes.
///
/// # Panics
///
/// When the name holds a character that is not allowed.
#[must_use]
pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the harness makes names of allowed characters")
}

impl Scenario {
    /// Draws a scenario. The same parameters always give the same scenario.
    #[must_use]
    pub fn new(parameters: Parameters) -> Self {
        let plant = parameters.case.plant();
        let vms = fleet(&parameters, plant);
        let kinds = demand::kinds(parameters.case, plant);
        let peak = (
            WARM_UP + parameters.window * 2 / 5,
            WARM_UP + parameters.window * 3 / 5,
        );
        let teams = vec![name("coast"), name("inland")];
        let requests = demand::requests(&parameters, &kinds, vms.len() * 8, peak);
        let service = service(plant);
        let capacity = vms[0].capacity;
        let batch = demand::batch(parameters.seed, kinds.len());
        let room = capacity.minus(service.reserved);
        let jobs = demand::jobs(&parameters, room, vms.len(), &teams);
        let mut scenario = Self {
            parameters,
            vms,
            service,
            kinds,
            teams,
            requests,
            peak,
            batch,
            jobs,
            calls: Vec::new(),
            faulty_workers: Vec::new(),
            restarts: Vec::new(),
            client_latency: if plant { MS } else { 3 * MS },
        };
        scenario.add_disturbances();
        scenario
    }

    /// The first configuration that operators set. Each team's quota is the whole fleet.
    #[must_use]
    pub fn document(&self) -> Document {
        let whole = self
            .vms
            .iter()
            .fold(Size::ZERO, |sum, vm| sum.plus(vm.capacity));
        let team = |name: &Name| Team {
            name: name.clone(),
            quota: whole,
            weight: 1,
        };
        Document {
            services: vec![self.service.clone()],
            teams: self.teams.iter().map(team).collect(),
            ..Document::default()
        }
    }

    /// The virtual time at which the measured window ends.
    #[must_use]
    pub const fn end(&self) -> Us {
        WARM_UP + self.parameters.window
    }

    fn add_disturbances(&mut self) {
        let mut random = seeded_rng(self.parameters.seed, "disturbances");
        match self.parameters.case {
            Case::BlackHole => {
                let count = (self.vms.len() / 12).max(1);
                self.faulty_workers = distinct_indices(&mut random, count, self.vms.len());
            }
            Case::CancelWave => self.cancel_waves(&mut random),
            Case::RollingRestart => self.restart_all(&mut random),
            _ => {}
        }
    }

    /// Cancels three of five jobs in two waves, each within a quarter of a second.
    fn cancel_waves(&mut self, random: &mut StdRng) {
        for (index, plan) in self.jobs.iter().enumerate() {
            let wave = match index % 5 {
                0 | 2 => WARM_UP + self.parameters.window / 3,
                4 => WARM_UP + self.parameters.window * 2 / 3,
                _ => continue,
            };
            let at = wave.max(plan.at + SECOND) + random.random_range(0..250) * MS;
            let job = plan.job.name.clone();
            self.calls.push((at, Action::Cancel { job }));
        }
    }

    fn restart_all(&mut self, random: &mut StdRng) {
        let entries = self.parameters.entries;
        let step = self.parameters.window / (entries as u64 + 1);
        for entry in 0..entries {
            self.restarts
                .push((WARM_UP + step / 2 + step * entry as u64, entry));
        }
        for worker in distinct_indices(random, (self.vms.len() / 16).max(1), self.vms.len()) {
            let vm = self.vms[worker].name.clone();
            let at = WARM_UP + random.random_range(0..self.parameters.window / 2);
            let leave = |leave| Action::Drain {
                vm: vm.clone(),
                leave,
            };
            self.calls.push((at, leave(true)));
            self.calls.push((at + 20 * SECOND, leave(false)));
        }
    }
}

/// Draws up to `count` different indices below `below` and returns them in increasing order.
pub fn distinct_indices(random: &mut StdRng, count: usize, below: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..below).collect();
    let chosen = (0..count.min(below)).map(|_| all.remove(random.random_range(0..all.len())));
    let mut chosen: Vec<usize> = chosen.collect();
    chosen.sort_unstable();
    chosen
}

fn fleet(parameters: &Parameters, plant: bool) -> Vec<Vm> {
    let (count, cores, memory_gb) = if plant { (65, 16, 60) } else { (50, 32, 125) };
    let capacity = Size {
        millicores: cores * 1_000,
        memory_mb: memory_gb * 1_000,
        accelerators: 0,
    };
    let vm = |index: usize| Vm {
        name: name(&format!("vm-{index:03}")),
        address: SocketAddr::from(([127, 0, 0, 1], 20_000 + index as u16)),
        group: name(&format!("rack-{}", index / RACK)),
        domain: domain(index / RACK),
        capacity,
        slots: 8,
        state: State::Live,
    };
    (0..(count / parameters.shrink).max(RACK)).map(vm).collect()
}

/// The failure domain of the rack or the entry with this index. There are three domains.
#[must_use]
pub fn domain(index: usize) -> Name {
    name(&format!("domain-{}", index % 3))
}

fn service(plant: bool) -> Service {
    let (cores, memory_gb) = if plant { (6, 16) } else { (10, 32) };
    Service {
        name: name(if plant { "logs" } else { "orders" }),
        reserved: Size {
            millicores: cores * 1_000,
            memory_mb: memory_gb * 1_000,
            accelerators: 0,
        },
        queue: 2_000,
        deadline: Ms(2_000),
        attempt: Ms(1_500),
    }
}
