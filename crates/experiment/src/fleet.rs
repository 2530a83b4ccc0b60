//! Models the workers: interference between tasks and requests, commands, connections and delayed
//! usage reports.

mod command;
mod record;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::request::Call;
use decision::resource::Size;
use decision::worker::Command;
use decision::worker::Epoch;
use history::Fact;
use standin::worker::Model;

use self::worker::Worker;
use crate::ledger::Ledger;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;
use crate::simulation::Answer;
use crate::simulation::Correlation;
use crate::simulation::Simulation;

/// The time after which an attempt to connect to a crashed VM fails.
const CONNECT_TIMEOUT: Us = 300 * MS;

/// A connection that was idle for longer than this is checked before it is used again, so that a
/// silent or broken one is noticed.
const IDLE_CHECK_AFTER: Us = SECOND;

/// The resources that one request in progress uses.
const REQUEST_USAGE: Size = Size {
    millicores: 1_000,
    memory_mb: 1_000,
    accelerators: 0,
};

/// An arrival at a worker, or the end of a run on it.
#[derive(Clone, Debug)]
pub(crate) enum Activity {
    Run(Request),
    Finished(Correlation),
    Cancel(Correlation),
    Command(Correlation, Command),
}

/// A request on its way to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub correlation: Correlation,
    pub id: String,
    pub epoch: Epoch,
    pub call: Arc<Call>,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Run {
    pub vm: usize,
    pub id: String,
    /// The epoch under which the run acquired its slot.
    pub epoch: Epoch,
    pub call: Arc<Call>,
    pub run_time: Us,
}

/// All workers with the runs on them.
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    pub ledger: Ledger,
    pub runs: BTreeMap<Correlation, Run>,
    /// The worker to which each request was sent whose run has not ended.
    pub sent: BTreeMap<Correlation, usize>,
    /// The duration of the last run of each request.
    pub run_times: Vec<Us>,
    /// Runs whose connection went silent, so that neither answer nor cancellation arrives.
    pub silent_runs: BTreeSet<Correlation>,
    /// Whether the VM list last showed each VM as leaving.
    listed: BTreeMap<Name, bool>,
}

impl Fleet {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let worker = |vm: &decision::vm::Vm| Worker {
            model: Model::new(vm.clone(), Ms::ZERO),
            crashed_at: None,
            partitioned_until: 0,
            started: BTreeMap::new(),
            pools: BTreeMap::new(),
            waiting: VecDeque::new(),
        };
        let mut workers: Vec<Worker> = scenario.vms.iter().map(worker).collect();
        for index in &scenario.faulty_workers {
            workers[*index].model.broken = true;
        }
        Self {
            workers,
            ledger: Ledger::new(scenario),
            runs: BTreeMap::new(),
            sent: BTreeMap::new(),
            run_times: vec![0; scenario.requests.len()],
            silent_runs: BTreeSet::new(),
            listed: BTreeMap::new(),
        }
    }

    /// The duration of the last run of a request.
    pub(crate) fn last_run_time(&self, request: usize) -> Us {
        self.run_times[request]
    }

    /// The shares of slots and of processors in use, from 0 to 1.
    pub(crate) fn utilisation(&self) -> (f64, f64) {
        let mut slots = (0, 0);
        let mut cores = (0, 0);
        for worker in self
            .workers
            .iter()
            .filter(|worker| worker.crashed_at.is_none())
        {
            let vm = worker.model.vm();
            slots = (slots.0 + worker.model.busy(), slots.1 + vm.slots);
            let used = worker.running().map(|task| u64::from(task.used.millicores));
            let busy = u64::from(worker.model.busy() * REQUEST_USAGE.millicores);
            let all = u64::from(vm.capacity.millicores);
            cores = (cores.0 + used.sum::<u64>() + busy, cores.1 + all);
        }
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        (
            share(f64::from(slots.0), f64::from(slots.1)),
            share(cores.0 as f64, cores.1 as f64),
        )
    }

    /// Makes all established connections to the given workers silent.
    pub(crate) fn silence_connections(&mut self, vms: &[usize]) {
        for vm in vms {
            for pool in self.workers[*vm].pools.values_mut() {
                pool.silent = pool.size;
            }
        }
        let affected = self.runs.iter().filter(|(_, run)| vms.contains(&run.vm));
        self.silent_runs
            .extend(affected.map(|(correlation, _)| *correlation));
    }
}

impl Simulation<'_> {
    /// The index of a worker, absent for a VM that is not part of the scenario.
    pub(crate) fn worker_index(&self, vm: &Name) -> Option<usize> {
        let found = self
            .scenario
            .vms
            .binary_search_by(|known| known.name.cmp(vm));
        found.ok()
    }

    /// The one-way latency between the entry of an operation and a worker.
    pub(crate) fn worker_latency(&self, correlation: Correlation, vm: usize) -> Us {
        self.latency(
            &self.entries[correlation.entry].domain,
            &self.scenario.vms[vm].domain,
        )
    }

    pub(crate) fn handle_activity(&mut self, vm: usize, activity: Activity) {
        let now = self.queue.now();
        let worker = &self.fleet.workers[vm];
        if let Activity::Finished(correlation) = activity {
            return self.finish_run(vm, correlation);
        }
        if let Some(crashed_at) = worker.crashed_at {
            let (Activity::Run(Request { correlation, .. })
            | Activity::Command(correlation, _)
            | Activity::Cancel(correlation)) = activity
            else {
                return;
            };
            // Until the connections are checked, messages to a crashed VM get no answer at all.
            if now > crashed_at + IDLE_CHECK_AFTER {
                self.schedule_answer(correlation, CONNECT_TIMEOUT, Answer::Unreachable);
            }
            return;
        }
        if worker.partitioned_until > now {
            return;
        }
        match activity {
            Activity::Run(request) => self.receive_run(vm, request),
            Activity::Cancel(correlation) => self.handle_cancel(vm, correlation),
            Activity::Command(correlation, command) => {
                self.handle_command(vm, correlation, command)
            }
            Activity::Finished(_) => {}
        }
    }

    /// Crashes a VM with all tasks and requests on it.
    pub(crate) fn crash_worker(&mut self, vm: usize) {
        let now = self.queue.now();
        self.fleet.workers[vm].crashed_at = Some(now);
        self.fleet.workers[vm].waiting.clear();
        self.fleet.runs.retain(|_, run| run.vm != vm);
        self.fleet.ledger.record_crash(vm);
        let name = self.scenario.vms[vm].name.clone();
        let at = self.now();
        self.platform.vms.remove(at, &name);
        self.record(Fact::WorkerCrashed { vm: name });
    }
}
