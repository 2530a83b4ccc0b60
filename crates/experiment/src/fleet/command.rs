//! Commands to workers, and the progress of the tasks on them.

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Outcome;
use decision::worker::Reply;
use decision::worker::Verb;
use standin::checkpoint;
use standin::worker::Change;
use standin::worker::Need;

use super::Activity;
use super::REQUEST_USAGE;
use crate::case::Mistake;
use crate::queue::MS;
use crate::scenario::Scenario;
use crate::simulation::Answer;
use crate::simulation::Correlation;
use crate::simulation::Event;
use crate::simulation::Simulation;

impl Simulation<'_> {
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

    pub(super) fn handle_command(
        &mut self,
        vm: usize,
        correlation: Correlation,
        mut command: Command,
    ) {
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
