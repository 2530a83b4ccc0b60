//! Workers: requests and tasks that disturb each other, commands, connections, lagging reports.

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

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::case::Mistake;
use crate::ledger::Ledger;
use crate::scene::Scene;
use crate::world::Answer;
use crate::world::Back;
use crate::world::Happening;
use crate::world::World;

/// Establishing a connection to a dead VM is given up after this time.
const CONNECT: Us = 300 * MS;

/// A connection that was idle for longer is checked before it is used again.
const IDLE: Us = SECOND;

/// What is used by a task is reported this much later.
const LAG: Ms = Ms(2_000);

/// What one request in progress uses.
const REQUEST: Size = Size {
    millicores: 1_000,
    memory_mb: 1_000,
    accelerators: 0,
};

/// Something arrives at a worker or ends there.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    Run(Request),
    Ran(Back),
    Cancel(Back),
    Command(Back, Command),
}

/// A request on its way to a worker.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub back: Back,
    pub id: String,
    pub epoch: Epoch,
    pub call: Arc<Call>,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Run {
    pub vm: usize,
    pub id: String,
    /// The epoch under which the slot was taken.
    pub epoch: Epoch,
    pub call: Arc<Call>,
    pub took: Us,
}

/// The connections from one entry to one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    pub open: u32,
    pool: u32,
    silent: u32,
    used: Us,
}

/// A worker and its VM.
#[derive(Debug)]
pub(crate) struct Worker {
    pub model: Model,
    /// When the VM died.
    pub died: Option<Us>,
    /// The network does not reach it until then.
    pub cut: Us,
    started: BTreeMap<(Name, u32), Ms>,
    pub links: BTreeMap<usize, Link>,
    /// Requests that came while all slots were taken.
    pub waiting: VecDeque<Request>,
}

/// All workers.
pub(crate) struct Fleet {
    pub workers: Vec<Worker>,
    pub ledger: Ledger,
    pub runs: BTreeMap<Back, Run>,
    /// Where requests were sent whose run has not ended.
    pub sent: BTreeMap<Back, usize>,
    pub took: Vec<Us>,
    pub silent: BTreeSet<Back>,
    listed: BTreeMap<Name, bool>,
}

impl Fleet {
    pub(crate) fn new(scene: &Scene) -> Self {
        let worker = |vm: &decision::vm::Vm| Worker {
            model: Model::new(vm.clone(), Ms::ZERO),
            died: None,
            cut: 0,
            started: BTreeMap::new(),
            links: BTreeMap::new(),
            waiting: VecDeque::new(),
        };
        let mut workers: Vec<Worker> = scene.vms.iter().map(worker).collect();
        for index in &scene.broken {
            workers[*index].model.broken = true;
        }
        Self {
            workers,
            ledger: Ledger::new(scene),
            runs: BTreeMap::new(),
            sent: BTreeMap::new(),
            took: vec![0; scene.requests.len()],
            silent: BTreeSet::new(),
            listed: BTreeMap::new(),
        }
    }

    /// How long the run of a request took that ended last.
    pub(crate) fn ran_for(&self, request: usize) -> Us {
        self.took[request]
    }

    /// Shares of slots and of processors in use.
    pub(crate) fn use_now(&self) -> (f64, f64) {
        let mut slots = (0, 0);
        let mut cores = (0, 0);
        for worker in self.workers.iter().filter(|worker| worker.died.is_none()) {
            let vm = worker.model.vm();
            slots = (slots.0 + worker.model.busy(), slots.1 + vm.slots);
            let used = worker.running().map(|task| u64::from(task.used.millicores));
            let busy = u64::from(worker.model.busy() * REQUEST.millicores);
            let all = u64::from(vm.capacity.millicores);
            cores = (cores.0 + used.sum::<u64>() + busy, cores.1 + all);
        }
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        (
            share(f64::from(slots.0), f64::from(slots.1)),
            share(cores.0 as f64, cores.1 as f64),
        )
    }

    /// All established connections to some workers go silent.
    pub(crate) fn silence(&mut self, vms: &[usize]) {
        for vm in vms {
            for link in self.workers[*vm].links.values_mut() {
                link.silent = link.pool;
            }
        }
        let hit = self.runs.iter().filter(|(_, run)| vms.contains(&run.vm));
        self.silent.extend(hit.map(|(back, _)| *back));
    }
}

impl Worker {
    fn running(&self) -> impl Iterator<Item = &decision::worker::Task> {
        let running = |task: &&decision::worker::Task| task.state == State::Running;
        self.model.tasks().filter(running)
    }

    /// How many percent longer a kind of request takes because of the tasks present.
    pub(crate) fn harm(&self, scene: &Scene, kind: usize, now: Us) -> f64 {
        let whole = f64::from(self.model.vm().capacity.millicores);
        let sum = self.running().map(|task| {
            let harm = scene
                .batch
                .get(&task.kind)
                .map_or(0, |batch| batch.harm[kind]);
            let share = f64::from(task.used.millicores) / whole;
            f64::from(harm) * share * f64::from(task.throttle) / 100.0
        });
        // The same pair disturbs more under load and at some times.
        let load = 0.5 + f64::from(self.model.busy()) / f64::from(self.model.vm().slots);
        let drift = 1.0 + 0.4 * (now as f64 / (20 * SECOND) as f64).sin();
        sum.sum::<f64>() * load * drift
    }

    /// Takes a connection from an entry and tells whether it is a silent one.
    pub(crate) fn connect(&mut self, entry: usize, now: Us) -> bool {
        let link = self.links.entry(entry).or_default();
        if now > link.used + IDLE {
            link.silent = 0;
        }
        link.used = now;
        link.open += 1;
        link.pool = link.pool.max(link.open);
        let silent = link.silent > 0;
        link.silent = link.silent.saturating_sub(1);
        silent
    }

    fn report_late(&self, reply: &mut Reply, now: Ms) {
        let Reply::Done(report) = reply else {
            return;
        };
        // What an ended task used is known at its end.
        let running = |task: &&mut decision::worker::Task| task.state == State::Running;
        for task in report.tasks.iter_mut().filter(running) {
            let since = self.started.get(&(task.name.clone(), task.attempt));
            if since.is_none_or(|since| now.since(*since) < LAG) {
                task.used = Size::ZERO;
            }
        }
    }
}

impl World<'_> {
    pub(crate) fn worker(&self, vm: &Name) -> Option<usize> {
        let found = self.scene.vms.binary_search_by(|known| known.name.cmp(vm));
        found.ok()
    }

    pub(crate) fn reach(&self, back: Back, vm: usize) -> Us {
        self.hop(&self.entries[back.entry].domain, &self.scene.vms[vm].domain)
    }

    pub(crate) fn send_command(&mut self, back: Back, vm: &Name, command: Command) {
        let Some(vm) = self.worker(vm) else {
            return self.answer(back, MS, Answer::Unreachable);
        };
        if let Some(delay) = self.command_trouble() {
            let hop = self.reach(back, vm) + delay;
            let work = Work::Command(back, command);
            self.agenda.after(hop, Happening::Worker(vm, work));
        }
    }

    pub(crate) fn work(&mut self, vm: usize, work: Work) {
        let now = self.agenda.now();
        let worker = &self.fleet.workers[vm];
        if let Work::Ran(back) = work {
            return self.ran(vm, back);
        }
        if let Some(died) = worker.died {
            let (Work::Run(Request { back, .. }) | Work::Command(back, _) | Work::Cancel(back)) =
                work
            else {
                return;
            };
            if now > died + IDLE {
                self.answer(back, CONNECT, Answer::Unreachable);
            }
            return;
        }
        if worker.cut > now {
            return;
        }
        match work {
            Work::Run(request) => self.run(vm, request),
            Work::Cancel(back) => self.cancelled(vm, back),
            Work::Command(back, command) => self.command(vm, back, command),
            Work::Ran(_) => {}
        }
    }

    fn command(&mut self, vm: usize, back: Back, mut command: Command) {
        let now = self.now();
        self.advance_worker(vm);
        let scene = self.scene;
        let grant = match &command.verb {
            Verb::Start { grant, .. } => *grant,
            _ => Size::ZERO,
        };
        let need = |_: &Name, task: &Name| need(scene, task, grant);
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
        self.see_changes(vm);
        if let (Verb::Stop { task, .. }, Reply::Done(_)) = (&command.verb, &reply) {
            self.fleet.ledger.commanded(task);
        }
        self.fleet.workers[vm].report_late(&mut reply, now);
        let hop = self.reach(back, vm);
        self.answer(back, hop, Answer::Worker(Outcome::Answered(reply)));
    }

    fn see_changes(&mut self, vm: usize) {
        let now = self.now();
        for change in self.fleet.workers[vm].model.changes() {
            let worker = &mut self.fleet.workers[vm];
            if let Change::Started(task, _) = &change {
                worker
                    .started
                    .insert((task.name.clone(), task.attempt), now);
            }
            self.fleet.ledger.change(vm, &change);
            let fact = crate::ledger::fact(&self.scene.vms[vm].name, change);
            self.see(fact);
        }
    }

    fn advance_worker(&mut self, vm: usize) {
        let now = self.now();
        let worker = &mut self.fleet.workers[vm];
        let busy = worker.model.busy();
        worker.model.service = Size {
            millicores: REQUEST.millicores * busy,
            memory_mb: REQUEST.memory_mb * busy,
            accelerators: 0,
        };
        worker.model.speed = 100 - 20 * busy / worker.model.vm().slots.max(1);
        worker.model.advance(now);
        self.see_changes(vm);
    }

    pub(crate) fn advance_workers(&mut self) {
        for vm in 0..self.fleet.workers.len() {
            if self.fleet.workers[vm].died.is_none() {
                self.advance_worker(vm);
            }
        }
        for vm in 0..self.fleet.workers.len() {
            let worker = &self.fleet.workers[vm];
            if worker.died.is_none() {
                self.fleet.ledger.progress(vm, worker.running());
            }
        }
    }

    pub(crate) fn see_workers(&mut self) {
        for plan in self.scene.jobs.iter().filter(|plan| !plan.needs.is_empty()) {
            let job = plan.job.name.clone();
            self.see(Fact::Feasible { job });
        }
        for vm in &self.scene.vms {
            self.see(Fact::Worker {
                vm: vm.name.clone(),
                capacity: vm.capacity,
                reserved: self.scene.service.reserved,
                slots: vm.slots,
            });
        }
    }

    pub(crate) fn see_listed(&mut self) {
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
        facts.into_iter().for_each(|fact| self.see(fact));
    }

    /// A VM dies with everything on it.
    pub(crate) fn kill_worker(&mut self, vm: usize) {
        let now = self.agenda.now();
        self.fleet.workers[vm].died = Some(now);
        self.fleet.workers[vm].waiting.clear();
        self.fleet.runs.retain(|_, run| run.vm != vm);
        self.fleet.ledger.crash(vm);
        let name = self.scene.vms[vm].name.clone();
        let at = self.now();
        self.platform.vms.remove(at, &name);
        self.see(Fact::WorkerCrashed { vm: name });
    }
}

/// What a task needs under a grant: with fewer processors than it can use, it takes longer.
fn need(scene: &Scene, task: &Name, grant: Size) -> Need {
    let (job, index) = task.split_once('#').expect("tasks are named job#index");
    let plan = scene.jobs.iter().find(|plan| &*plan.job.name == job);
    let index: usize = index.parse().expect("tasks are named job#index");
    let mut need = plan.expect("only submitted jobs are started").needs[index];
    if grant.millicores < need.size.millicores {
        let longer = need.work.0 * u64::from(need.size.millicores);
        need.work = Ms(longer / u64::from(grant.millicores.max(1)));
    }
    need
}
