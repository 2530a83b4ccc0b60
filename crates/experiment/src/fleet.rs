//! Models the workers: interference between tasks and requests, commands, connections and delayed
//! usage reports.

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
use decision::worker::Outcome;
use decision::worker::Reply;
use decision::worker::State;
use decision::worker::Verb;
use history::Fact;
use standin::checkpoint;
use standin::worker::Change;
use standin::worker::Model;
use standin::worker::Need;

use crate::case::Mistake;
use crate::ledger::Ledger;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;
use crate::simulation::Answer;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// The time after which an attempt to connect to a crashed VM fails.
const CONNECT_TIMEOUT: Us = 300 * MS;

/// A connection that was idle for longer than this is checked before it is used again, so that a
/// silent or broken one is noticed.
const IDLE_CHECK_AFTER: Us = SECOND;

/// The time after its start during which the usage of a running task is reported as zero.
const USAGE_LAG: Ms = Ms(2_000);

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

/// The pool of connections from one entry to one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pool {
    /// The connections in use.
    pub open: u32,
    /// The largest number of connections that were in use at the same time.
    size: u32,
    /// The established connections over which nothing arrives any more.
    silent: u32,
    last_used: Us,
}

/// A worker with the state of its VM.
#[derive(Debug)]
pub(crate) struct Worker {
    pub model: Model,
    /// The time of the VM's crash, absent while the VM runs.
    pub crashed_at: Option<Us>,
    /// The worker is cut off from the network until this time.
    pub partitioned_until: Us,
    /// The start of each attempt, by task and attempt.
    started: BTreeMap<(Name, u32), Ms>,
    /// The connection pools by index of the entry.
    pub pools: BTreeMap<usize, Pool>,
    /// Requests that arrived while all slots were in use.
    pub waiting: VecDeque<Request>,
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

impl Worker {
    fn running(&self) -> impl Iterator<Item = &decision::worker::Task> {
        let running = |task: &&decision::worker::Task| task.state == State::Running;
        self.model.tasks().filter(running)
    }

    /// The slowdown of a kind of request by the running tasks, in percent.
    pub(crate) fn interference(&self, scenario: &Scenario, kind: usize, now: Us) -> f64 {
        let whole = f64::from(self.model.vm().capacity.millicores);
        let sum = self.running().map(|task| {
            let interference = scenario
                .batch
                .get(&task.kind)
                .map_or(0, |batch| batch.interference[kind]);
            let share = f64::from(task.used.millicores) / whole;
            f64::from(interference) * share * f64::from(task.throttle) / 100.0
        });
        // The interference between the same kinds grows with the load and varies over time.
        let load = 0.5 + f64::from(self.model.busy()) / f64::from(self.model.vm().slots);
        let drift = 1.0 + 0.4 * (now as f64 / (20 * SECOND) as f64).sin();
        sum.sum::<f64>() * load * drift
    }

    /// Acquires a connection from an entry and returns whether the connection is silent.
    pub(crate) fn acquire_connection(&mut self, entry: usize, now: Us) -> bool {
        let pool = self.pools.entry(entry).or_default();
        if now > pool.last_used + IDLE_CHECK_AFTER {
            pool.silent = 0;
        }
        pool.last_used = now;
        pool.open += 1;
        pool.size = pool.size.max(pool.open);
        let silent = pool.silent > 0;
        pool.silent = pool.silent.saturating_sub(1);
        silent
    }

    /// Removes the usage of recently started tasks from a reply, because usage is reported late.
    fn hide_recent_usage(&self, reply: &mut Reply, now: Ms) {
        let Reply::Done(report) = reply else {
            return;
        };
        // The usage of an ended task is known at its end, so only running tasks are affected.
        let running = |task: &&mut decision::worker::Task| task.state == State::Running;
        for task in report.tasks.iter_mut().filter(running) {
            let since = self.started.get(&(task.name.clone(), task.attempt));
            if since.is_none_or(|since| now.since(*since) < USAGE_LAG) {
                task.used = Size::ZERO;
            }
        }
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

    pub(crate) fn send_command(&mut self, correlation: Correlation, vm: &Name, command: Command) {
        let Some(vm) = self.worker_index(vm) else {
            return self.schedule_answer(correlation, MS, Answer::Unreachable);
        };
        if let Some(delay) = self.command_delay() {
            let latency = self.worker_latency(correlation, vm) + delay;
            let activity = Activity::Command(correlation, command);
            self.queue
                .schedule_after(latency, Event::Worker(vm, activity));
        }
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

    fn handle_command(&mut self, vm: usize, correlation: Correlation, mut command: Command) {
        let now = self.now();
        self.advance_worker(vm);
        let scenario = self.scenario;
        let grant = match &command.verb {
            Verb::Start { grant, .. } => *grant,
            _ => Size::ZERO,
        };
        let need = |_: &Name, task: &Name| task_need(scenario, task, grant);
        let worker = &mut self.fleet.workers[vm];
        let newest = worker.model.report().epoch;
        if self.setup.mistake == Some(Mistake::NoFence) && command.epoch <= newest {
            command.epoch = Epoch {
                step: newest.step + 1,
                ..newest
            };
        }
        let mut objects = checkpoint::Store(&mut self.platform.objects);
        let mut reply = worker.model.command(now, &command, &mut objects, need);
        self.record_changes(vm);
        if let (Verb::Stop { task, .. }, Reply::Done(_)) = (&command.verb, &reply) {
            self.fleet.ledger.record_commanded_stop(task);
        }
        self.fleet.workers[vm].hide_recent_usage(&mut reply, now);
        let latency = self.worker_latency(correlation, vm);
        self.schedule_answer(
            correlation,
            latency,
            Answer::Worker(Outcome::Answered(reply)),
        );
    }

    fn record_changes(&mut self, vm: usize) {
        let now = self.now();
        for change in self.fleet.workers[vm].model.changes() {
            let worker = &mut self.fleet.workers[vm];
            if let Change::Started(task, _) = &change {
                worker
                    .started
                    .insert((task.name.clone(), task.attempt), now);
            }
            self.fleet.ledger.apply(vm, &change);
            let fact = change.into_fact(self.scenario.vms[vm].name.clone());
            self.record(fact);
        }
    }

    fn advance_worker(&mut self, vm: usize) {
        let now = self.now();
        let worker = &mut self.fleet.workers[vm];
        let busy = worker.model.busy();
        worker.model.service = Size {
            millicores: REQUEST_USAGE.millicores * busy,
            memory_mb: REQUEST_USAGE.memory_mb * busy,
            accelerators: 0,
        };
        worker.model.speed = 100 - 20 * busy / worker.model.vm().slots.max(1);
        worker.model.advance(now);
        self.record_changes(vm);
    }

    pub(crate) fn advance_workers(&mut self) {
        for vm in 0..self.fleet.workers.len() {
            if self.fleet.workers[vm].crashed_at.is_none() {
                self.advance_worker(vm);
            }
        }
        for vm in 0..self.fleet.workers.len() {
            let worker = &self.fleet.workers[vm];
            if worker.crashed_at.is_none() {
                self.fleet.ledger.record_progress(vm, worker.running());
            }
        }
    }

    pub(crate) fn record_workers(&mut self) {
        for plan in self
            .scenario
            .jobs
            .iter()
            .filter(|plan| !plan.needs.is_empty())
        {
            let job = plan.job.name.clone();
            self.record(Fact::Feasible { job });
        }
        for vm in &self.scenario.vms {
            self.record(Fact::Worker {
                vm: vm.name.clone(),
                capacity: vm.capacity,
                reserved: self.scenario.service.reserved,
                slots: vm.slots,
            });
        }
    }

    pub(crate) fn record_listed(&mut self) {
        let now = self.now();
        let mut facts = Vec::new();
        for vm in self.platform.vms.list(now) {
            let leaving = vm.state == decision::vm::State::Leaving;
            let before = self.fleet.listed.insert(vm.name.clone(), leaving);
            if before != Some(leaving) {
                let vm = vm.name.clone();
                facts.push(Fact::Listed { vm, leaving });
            }
        }
        facts.into_iter().for_each(|fact| self.record(fact));
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

/// The need of a task under a grant. With fewer processors than it can use, its work takes longer.
fn task_need(scenario: &Scenario, task: &Name, grant: Size) -> Need {
    let (job, index) = task.split_once('#').expect("tasks are named job#index");
    let plan = scenario.jobs.iter().find(|plan| &*plan.job.name == job);
    let index: usize = index.parse().expect("tasks are named job#index");
    let mut need = plan.expect("only submitted jobs are started").needs[index];
    if grant.millicores < need.size.millicores {
        let longer = need.work.0 * u64::from(need.size.millicores);
        need.work = Ms(longer / u64::from(grant.millicores.max(1)));
    }
    need
}
