//! Simulated workers, which enforce epochs, owners, capacity and leases.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::vm::Vm;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Refusal;
use decision::worker::Reply;
use decision::worker::Report;
use decision::worker::State;
use decision::worker::Task;
use decision::worker::Verb;

const MIN_OWNER_SILENCE: Ms = Ms(5_000);

#[derive(Debug)]
struct Running {
    task: Task,
    lease: Ms,
    ends: Ms,
}

/// A simulated worker.
#[derive(Debug)]
pub struct Worker {
    pub vm: Vm,
    pub dead: bool,
    pub epoch: Epoch,
    pub owner: Option<Name>,
    pub last_adopted: Ms,
    last_command: Ms,
    tasks: BTreeMap<Name, Running>,
    run_time: Ms,
}

/// Observations of all workers.
#[derive(Debug, Default)]
pub struct Observed {
    /// Violated invariants.
    pub violations: Vec<String>,
    /// The number of completions of each task.
    pub completed: BTreeMap<Name, u32>,
    /// The number of accepted starts.
    pub starts: u64,
    /// The last time at which a worker accepted a new owner.
    pub adopted: Ms,
    /// The number of commands refused as stale.
    pub stale: u64,
}

impl Worker {
    pub fn new(vm: Vm, run_time: Ms) -> Self {
        Self {
            vm,
            dead: false,
            epoch: Epoch::default(),
            owner: None,
            last_adopted: Ms::ZERO,
            last_command: Ms::ZERO,
            tasks: BTreeMap::new(),
            run_time,
        }
    }

    /// Completes tasks that ended by `now` and stops those whose lease expired.
    pub fn advance(&mut self, now: Ms, observed: &mut Observed) {
        for (name, running) in &mut self.tasks {
            if running.task.state != State::Running {
                continue;
            }
            // A task that ended before its lease expired is complete.
            if now >= running.lease && running.ends >= running.lease {
                running.task.state = State::Stopped;
            } else if now >= running.ends {
                running.task.state = State::Completed;
                let count = observed.completed.entry(name.clone()).or_default();
                *count += 1;
                if *count > 1 {
                    let violation = format!("{now}: {name} completed twice on {}", self.vm.name);
                    observed.violations.push(violation);
                }
            }
        }
    }

    /// Crashes the VM. Its tasks are lost, and so are completions that were not acknowledged.
    pub fn crash(&mut self, observed: &mut Observed) {
        self.dead = true;
        for (name, running) in &self.tasks {
            if running.task.state == State::Completed {
                observed.completed.remove(name);
            }
        }
        self.tasks.clear();
    }

    pub fn runs(&self) -> impl Iterator<Item = &Name> {
        let running = self.tasks.iter();
        let running = running.filter(|(_, running)| running.task.state == State::Running);
        running.map(|(name, _)| name)
    }

    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    pub fn command(&mut self, now: Ms, command: &Command, observed: &mut Observed) -> Reply {
        let has_other_owner = self
            .owner
            .as_ref()
            .is_some_and(|owner| *owner != command.owner);
        if command.epoch < self.epoch || (command.epoch == self.epoch && has_other_owner) {
            observed.stale += 1;
            return Reply::Refused(Refusal::Stale(self.epoch));
        }
        if let Verb::Adopt { caretaker } = command.verb {
            if caretaker && has_other_owner && now.since(self.last_command) < MIN_OWNER_SILENCE {
                return Reply::Refused(Refusal::Owned);
            }
            if has_other_owner {
                observed.adopted = now;
                self.last_adopted = now;
            }
        } else if command.epoch > self.epoch {
            let violation = format!("{now}: {} got {command:?} before its Adopt", self.vm.name);
            observed.violations.push(violation);
        }
        self.epoch = command.epoch;
        self.owner = Some(command.owner.clone());
        self.last_command = now;
        match self.execute(now, &command.verb, observed) {
            Some(refusal) => Reply::Refused(refusal),
            None => Reply::Done(self.report()),
        }
    }

    fn execute(&mut self, now: Ms, verb: &Verb, observed: &mut Observed) -> Option<Refusal> {
        match verb {
            Verb::Adopt { .. } => {}
            Verb::Renew { lease } => {
                for running in self.tasks.values_mut() {
                    running.lease = now + *lease;
                }
            }
            Verb::Start { .. } => return self.start(now, verb, observed),
            Verb::Stop { task, attempt, .. } => {
                let found = self.tasks.get_mut(task);
                let Some(found) = found.filter(|running| running.task.attempt == *attempt) else {
                    return Some(Refusal::Missing);
                };
                if found.task.state == State::Running {
                    found.task.state = State::Stopped;
                }
            }
            Verb::Acknowledge { tasks } => {
                for (name, attempt) in tasks {
                    let ended = |running: &Running| running.task.state != State::Running;
                    let found = self.tasks.get(name).filter(|running| ended(running));
                    if found.is_some_and(|running| running.task.attempt == *attempt) {
                        self.tasks.remove(name);
                    }
                }
            }
            Verb::Throttle { .. } | Verb::Checkpoint { .. } => {}
        }
        None
    }

    fn start(&mut self, now: Ms, verb: &Verb, observed: &mut Observed) -> Option<Refusal> {
        let Verb::Start {
            task,
            attempt,
            kind,
            grant,
            lease,
            ..
        } = verb
        else {
            return None;
        };
        if self.tasks.contains_key(task) {
            return None;
        }
        let used = self.tasks.values();
        let used = used.filter(|running| running.task.state == State::Running);
        let used = used.fold(Size::ZERO, |sum, running| sum.plus(running.task.grant));
        if !grant.fits(self.vm.capacity.minus(used)) {
            return Some(Refusal::Full);
        }
        observed.starts += 1;
        let value = Task {
            name: task.clone(),
            attempt: *attempt,
            kind: kind.clone(),
            grant: *grant,
            used: *grant,
            progress: Ms::ZERO,
            saved: Ms::ZERO,
            throttle: 100,
            state: State::Running,
        };
        let running = Running {
            task: value,
            lease: now + *lease,
            ends: now + self.run_time,
        };
        self.tasks.insert(task.clone(), running);
        None
    }

    fn report(&self) -> Report {
        Report {
            vm: self.vm.name.clone(),
            epoch: self.epoch,
            capacity: self.vm.capacity,
            busy: 0,
            former: 0,
            attempts: Vec::new(),
            service: Size::ZERO,
            tasks: self
                .tasks
                .values()
                .map(|running| running.task.clone())
                .collect(),
        }
    }
}
