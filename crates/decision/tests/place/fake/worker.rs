//! A fake worker that follows the rules of the worker interface and records its actions.

use std::collections::BTreeMap;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::vm::Vm;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Fault;
use decision::worker::Refusal;
use decision::worker::Reply;
use decision::worker::Report;
use decision::worker::State;
use decision::worker::Task;
use decision::worker::Verb;

/// The actual run time and resource needs of a task, which may differ from its declaration.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    pub work: Ms,
    pub size: Size,
    pub fails: bool,
}

/// An action of a worker, recorded for the checks.
#[derive(Clone, Debug)]
pub enum Action {
    Started(Name, u32, Option<String>),
    Ended(Name, State),
    Forgot(Name, u32, State),
}

#[derive(Debug)]
struct Slot {
    task: Task,
    need: Need,
    lease: Ms,
}

#[derive(Debug)]
pub struct Worker {
    pub vm: Vm,
    pub alive: bool,
    pub broken: bool,
    pub busy: u32,
    pub service: Size,
    pub actions: Vec<Action>,
    epoch: Epoch,
    clock: Ms,
    slots: BTreeMap<Name, Slot>,
}

impl Worker {
    pub fn new(vm: Vm) -> Self {
        Self {
            vm,
            alive: true,
            broken: false,
            busy: 0,
            service: Size::ZERO,
            actions: Vec::new(),
            epoch: Epoch::default(),
            clock: Ms::ZERO,
            slots: BTreeMap::new(),
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &Task> {
        let tasks = self.slots.values().map(|slot| &slot.task);
        tasks.filter(|task| task.state == State::Running)
    }

    pub fn granted(&self) -> Size {
        self.running()
            .fold(Size::ZERO, |sum, task| sum.plus(task.grant))
    }

    pub fn report(&self) -> Report {
        Report {
            vm: self.vm.name.clone(),
            epoch: self.epoch,
            capacity: self.vm.capacity,
            busy: self.busy,
            former: 0,
            attempts: Vec::new(),
            service: self.service,
            tasks: self.slots.values().map(|slot| slot.task.clone()).collect(),
        }
    }

    pub fn advance(&mut self, now: Ms) {
        let passed = now.since(self.clock);
        self.clock = now;
        let broken = self.broken;
        for slot in self.slots.values_mut() {
            if slot.task.state != State::Running {
                continue;
            }
            let full = slot.need.size.millicores.max(1);
            let speed = u64::from(slot.task.grant.millicores.min(full)) * 100 / u64::from(full);
            let share = u64::from(slot.task.throttle) * speed.max(10);
            slot.task.progress += Ms(passed.0 * share / 10_000);
            slot.task.used = slot.need.size.min(slot.task.grant);
            slot.task.state = slot.outcome(now, broken);
            if slot.task.state != State::Running {
                let task = &slot.task;
                let action = Action::Ended(task.name.clone(), task.state);
                self.actions.push(action);
            }
        }
    }

    pub fn execute(
        &mut self,
        now: Ms,
        command: &Command,
        objects: &mut Objects,
        need: impl Fn(&Name) -> Need,
    ) -> Reply {
        self.advance(now);
        if command.epoch < self.epoch {
            return Reply::Refused(Refusal::Stale(self.epoch));
        }
        self.epoch = command.epoch;
        match self.execute_verb(now, &command.verb, objects, need) {
            Ok(()) => Reply::Done(self.report()),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    fn execute_verb(
        &mut self,
        now: Ms,
        verb: &Verb,
        objects: &mut Objects,
        need: impl Fn(&Name) -> Need,
    ) -> Result<(), Refusal> {
        match verb {
            Verb::Adopt { .. } => {}
            Verb::Renew { lease } => {
                let slots = self.slots.values_mut();
                slots.for_each(|slot| slot.lease = now + *lease);
            }
            Verb::Start { task, .. } => return self.start(now, verb, objects, need(task)),
            Verb::Stop {
                task,
                attempt,
                checkpoint,
            } => return self.stop(task, *attempt, checkpoint.as_ref(), objects),
            Verb::Throttle { task, share } => {
                let slot = self.slots.get_mut(task).ok_or(Refusal::Missing)?;
                slot.task.throttle = *share;
            }
            Verb::Checkpoint { task, key } => return self.write_checkpoint(task, key, objects),
            Verb::Acknowledge { tasks } => {
                for (task, attempt) in tasks {
                    self.forget(task, *attempt);
                }
            }
        }
        Ok(())
    }

    fn start(
        &mut self,
        now: Ms,
        verb: &Verb,
        objects: &Objects,
        need: Need,
    ) -> Result<(), Refusal> {
        let Verb::Start {
            task: name,
            attempt,
            kind,
            grant,
            from,
            lease,
        } = verb
        else {
            return Err(Refusal::Missing);
        };
        if let Some(present) = self.slots.get(name) {
            if present.task.attempt == *attempt {
                return Ok(());
            }
            if present.task.attempt > *attempt || present.task.state == State::Running {
                return Err(Refusal::Full);
            }
        }
        if !self.granted().plus(*grant).fits(self.vm.capacity) {
            return Err(Refusal::Full);
        }
        let progress = match from {
            Some(key) => objects.load(key).ok_or(Refusal::Checkpoint)?,
            None => Ms::ZERO,
        };
        let action = Action::Started(name.clone(), *attempt, from.clone());
        self.actions.push(action);
        let task = Task {
            name: name.clone(),
            attempt: *attempt,
            kind: kind.clone(),
            grant: *grant,
            used: Size::ZERO,
            progress,
            saved: progress,
            throttle: 100,
            state: State::Running,
        };
        let slot = Slot {
            task,
            need,
            lease: now + *lease,
        };
        self.slots.insert(name.clone(), slot);
        Ok(())
    }

    fn stop(
        &mut self,
        name: &Name,
        attempt: u32,
        checkpoint: Option<&String>,
        objects: &mut Objects,
    ) -> Result<(), Refusal> {
        let slot = self.slots.get(name).ok_or(Refusal::Missing)?;
        if slot.task.attempt != attempt {
            return Err(Refusal::Missing);
        }
        if slot.task.state != State::Running {
            return Ok(());
        }
        if let Some(key) = checkpoint {
            self.write_checkpoint(name, key, objects)?;
        }
        let slot = self.slots.get_mut(name).ok_or(Refusal::Missing)?;
        slot.task.state = State::Stopped;
        let action = Action::Ended(name.clone(), State::Stopped);
        self.actions.push(action);
        Ok(())
    }

    fn write_checkpoint(
        &mut self,
        name: &Name,
        key: &str,
        objects: &mut Objects,
    ) -> Result<(), Refusal> {
        let slot = self.slots.get_mut(name).ok_or(Refusal::Missing)?;
        if slot.task.state != State::Running {
            return Err(Refusal::Missing);
        }
        if !objects.up {
            return Err(Refusal::Checkpoint);
        }
        objects.stored.insert(key.to_owned(), slot.task.progress);
        slot.task.saved = slot.task.progress;
        Ok(())
    }

    fn forget(&mut self, name: &Name, attempt: u32) {
        let matches =
            |slot: &Slot| slot.task.attempt == attempt && slot.task.state != State::Running;
        if self.slots.get(name).is_some_and(matches)
            && let Some(slot) = self.slots.remove(name)
        {
            let action = Action::Forgot(name.clone(), attempt, slot.task.state);
            self.actions.push(action);
        }
    }
}

impl Slot {
    fn outcome(&self, now: Ms, broken: bool) -> State {
        if broken || self.need.fails {
            State::Failed(Fault::Exit)
        } else if now >= self.lease {
            State::Stopped
        } else if self.need.size.memory_mb > self.task.grant.memory_mb {
            State::Failed(Fault::Memory)
        } else if self.task.progress >= self.need.work {
            State::Completed
        } else {
            State::Running
        }
    }
}

/// The object store for checkpoints, which can be down.
#[derive(Debug)]
pub struct Objects {
    pub up: bool,
    pub stored: BTreeMap<String, Ms>,
}

impl Objects {
    fn load(&self, key: &str) -> Option<Ms> {
        self.up.then(|| self.stored.get(key).copied()).flatten()
    }
}
