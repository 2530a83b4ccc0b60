//! A model of a worker with request slots, tasks under leases, epochs and checkpoints.

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
use history::Ending;
use history::Fact;

use crate::checkpoint;

/// A caretaker is accepted only if the owner has sent no command for this time.
const OWNER_TIMEOUT: Ms = Ms(5_000);

/// The actual needs of a task, which may differ from those that it declared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// The run time at full speed from start to end.
    pub work: Ms,
    /// The resources that the task uses.
    pub size: Size,
}

/// A change of a task's state, which the history records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An attempt started, from the checkpoint with this key if there is one.
    Started(Task, Option<String>),
    /// An attempt ended with the state that the task has.
    Ended(Task),
    /// A checkpoint was stored under this key.
    Saved(Task, String),
    /// An ended attempt was acknowledged and removed.
    Acknowledged(Task),
    /// The start of this task was refused because its grant exceeds the free resources.
    Overfull(Name),
}

impl Change {
    /// Converts the change into a fact of the history of the worker `vm`.
    #[must_use]
    pub fn into_fact(self, vm: Name) -> Fact {
        match self {
            Self::Started(task, from) => Fact::TaskStarted {
                vm,
                task: task.name,
                attempt: task.attempt,
                grant: task.grant,
                from,
            },
            Self::Ended(task) => Fact::TaskEnded {
                vm,
                task: task.name,
                attempt: task.attempt,
                ending: match task.state {
                    State::Completed => Ending::Completed,
                    State::Failed(_) => Ending::Failed,
                    State::Stopped | State::Running => Ending::Stopped,
                },
            },
            Self::Saved(task, key) => Fact::Checkpointed {
                vm,
                task: task.name,
                attempt: task.attempt,
                key,
            },
            Self::Acknowledged(task) => Fact::Acknowledged {
                vm,
                task: task.name,
                attempt: task.attempt,
            },
            Self::Overfull(task) => Fact::Overfull {
                vm,
                work: task.to_string(),
            },
        }
    }
}

#[derive(Debug)]
struct Slot {
    task: Task,
    need: Need,
    lease: Ms,
}

/// The state of a worker in real or virtual time.
#[derive(Debug)]
pub struct Model {
    vm: Vm,
    epoch: Epoch,
    owner: Option<Name>,
    /// When the last command of the owner was accepted.
    last_command: Ms,
    /// The time up to which tasks have progressed.
    clock: Ms,
    tasks: BTreeMap<Name, Slot>,
    changes: Vec<Change>,
    /// The epochs and numbers of the attempts in progress.
    runs: Vec<(Epoch, u64)>,
    /// Whether every task and request fails immediately.
    pub broken: bool,
    /// The speed of tasks in percent, below 100 when other work slows them down.
    pub speed: u32,
    /// The resources that services used when last measured.
    pub service: Size,
}

impl Model {
    /// Creates a worker without tasks, requests and owner.
    #[must_use]
    pub const fn new(vm: Vm, now: Ms) -> Self {
        Self {
            vm,
            epoch: Epoch { row: 0, step: 0 },
            owner: None,
            last_command: now,
            clock: now,
            tasks: BTreeMap::new(),
            changes: Vec::new(),
            runs: Vec::new(),
            broken: false,
            speed: 100,
            service: Size::ZERO,
        }
    }

    /// Returns the VM on which the worker runs.
    #[must_use]
    pub const fn vm(&self) -> &Vm {
        &self.vm
    }

    /// Returns the tasks that are running, or that ended and are not yet acknowledged.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values().map(|slot| &slot.task)
    }

    /// Returns the changes of tasks since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn busy(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// Acquires a slot for an attempt that was sent under `epoch`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the epoch is old or all slots are in use. The attempt then does not
    /// run.
    pub fn begin(&mut self, epoch: Epoch, attempt: u64) -> Result<(), Refusal> {
        if epoch < self.epoch {
            return Err(Refusal::Stale(self.epoch));
        }
        if self.busy() >= self.vm.slots {
            return Err(Refusal::Full);
        }
        self.runs.push((epoch, attempt));
        Ok(())
    }

    /// Releases the slot of an attempt that began under `epoch`.
    pub fn finish(&mut self, epoch: Epoch, attempt: u64) {
        if let Some(index) = self.runs.iter().position(|run| *run == (epoch, attempt)) {
            self.runs.swap_remove(index);
        }
    }

    /// Executes a command. `need` returns the actual needs of a task by its kind and name.
    pub fn command(
        &mut self,
        now: Ms,
        command: &Command,
        objects: &mut checkpoint::Store<'_>,
        need: impl Fn(&Name, &Name) -> Need,
    ) -> Reply {
        self.advance(now);
        if let Some(refusal) = self.check_epoch(now, command) {
            return Reply::Refused(refusal);
        }
        self.last_command = now;
        match self.execute(now, &command.verb, objects, need) {
            Ok(()) => Reply::Done(self.report()),
            Err(refusal) => Reply::Refused(refusal),
        }
    }

    /// Advances the time to `now`: tasks progress, end, or are stopped when their lease expires.
    pub fn advance(&mut self, now: Ms) {
        let passed = now.since(self.clock).0;
        self.clock = self.clock.max(now);
        for slot in self
            .tasks
            .values_mut()
            .filter(|slot| slot.task.state == State::Running)
        {
            let share = u64::from(slot.task.throttle) * u64::from(self.speed);
            slot.task.progress += Ms(passed * share / 10_000);
            slot.task.used = slot.need.size.min(slot.task.grant);
            slot.task.state = slot.outcome(now, self.broken);
            if slot.task.state != State::Running {
                self.changes.push(Change::Ended(slot.task.clone()));
            }
        }
    }

    /// Returns the worker's report to its owner.
    #[must_use]
    pub fn report(&self) -> Report {
        let current = self.runs.iter().filter(|(epoch, _)| *epoch >= self.epoch);
        let mut attempts: Vec<u64> = current.map(|(_, attempt)| *attempt).collect();
        attempts.sort_unstable();
        Report {
            vm: self.vm.name.clone(),
            epoch: self.epoch,
            capacity: self.vm.capacity,
            busy: self.busy(),
            former: self.busy() - u32::try_from(attempts.len()).unwrap_or(u32::MAX),
            attempts,
            service: self.service,
            tasks: self.tasks.values().map(|slot| slot.task.clone()).collect(),
        }
    }

    /// Refuses a command under an old epoch, or of a caretaker while the owner still sends
    /// commands. Otherwise records its sender as the owner.
    fn check_epoch(&mut self, now: Ms, command: &Command) -> Option<Refusal> {
        let is_owner = self.owner.as_ref() == Some(&command.owner);
        if command.epoch < self.epoch || (command.epoch == self.epoch && !is_owner) {
            return Some(Refusal::Stale(self.epoch));
        }
        let caretaker = matches!(command.verb, Verb::Adopt { caretaker: true });
        if caretaker && !is_owner && now.since(self.last_command) < OWNER_TIMEOUT {
            return Some(Refusal::Owned);
        }
        self.epoch = command.epoch;
        self.owner = Some(command.owner.clone());
        None
    }

    fn execute(
        &mut self,
        now: Ms,
        verb: &Verb,
        objects: &mut checkpoint::Store<'_>,
        need: impl Fn(&Name, &Name) -> Need,
    ) -> Result<(), Refusal> {
        match verb {
            Verb::Adopt { .. } => Ok(()),
            Verb::Renew { lease } => {
                self.tasks
                    .values_mut()
                    .for_each(|slot| slot.lease = now + *lease);
                Ok(())
            }
            Verb::Start {
                task,
                attempt,
                kind,
                grant,
                from,
                lease,
            } => {
                let started = Task {
                    name: task.clone(),
                    attempt: *attempt,
                    kind: kind.clone(),
                    grant: *grant,
                    used: Size::ZERO,
                    progress: Ms::ZERO,
                    saved: Ms::ZERO,
                    throttle: 100,
                    state: State::Running,
                };
                let need = need(kind, task);
                self.start(
                    Slot {
                        task: started,
                        need,
                        lease: now + *lease,
                    },
                    from,
                    objects,
                )
            }
            Verb::Stop {
                task,
                attempt,
                checkpoint,
            } => self.stop(task, *attempt, checkpoint.as_ref(), objects),
            Verb::Throttle { task, share } => {
                let slot = self.tasks.get_mut(task).ok_or(Refusal::Missing)?;
                slot.task.throttle = (*share).min(100);
                Ok(())
            }
            Verb::Checkpoint { task, key } => self.save(task, key, objects),
            Verb::Acknowledge { tasks } => {
                for (task, attempt) in tasks {
                    self.acknowledge(task, *attempt);
                }
                Ok(())
            }
        }
    }

    fn start(
        &mut self,
        mut slot: Slot,
        from: &Option<String>,
        objects: &mut checkpoint::Store<'_>,
    ) -> Result<(), Refusal> {
        if let Some(present) = self.tasks.get(&slot.task.name) {
            if present.task.attempt == slot.task.attempt {
                return Ok(());
            }
            if present.task.state == State::Running || present.task.attempt > slot.task.attempt {
                return Err(Refusal::Full);
            }
        }
        if !slot.task.grant.fits(self.free()) {
            self.changes.push(Change::Overfull(slot.task.name.clone()));
            return Err(Refusal::Full);
        }
        if let Some(key) = from {
            slot.task.progress = objects.load(key).ok_or(Refusal::Checkpoint)?;
            slot.task.saved = slot.task.progress;
        }
        self.changes
            .push(Change::Started(slot.task.clone(), from.clone()));
        self.tasks.insert(slot.task.name.clone(), slot);
        Ok(())
    }

    fn stop(
        &mut self,
        task: &Name,
        attempt: u32,
        checkpoint: Option<&String>,
        objects: &mut checkpoint::Store<'_>,
    ) -> Result<(), Refusal> {
        let found = self
            .tasks
            .get(task)
            .filter(|slot| slot.task.attempt == attempt);
        let running = found.ok_or(Refusal::Missing)?.task.state == State::Running;
        if !running {
            return Ok(());
        }
        if let Some(key) = checkpoint {
            self.save(task, key, objects)?;
        }
        let slot = self.tasks.get_mut(task).ok_or(Refusal::Missing)?;
        slot.task.state = State::Stopped;
        self.changes.push(Change::Ended(slot.task.clone()));
        Ok(())
    }

    fn save(
        &mut self,
        task: &Name,
        key: &str,
        objects: &mut checkpoint::Store<'_>,
    ) -> Result<(), Refusal> {
        let slot = self.tasks.get_mut(task).ok_or(Refusal::Missing)?;
        if slot.task.state != State::Running {
            return Err(Refusal::Missing);
        }
        if !objects.save(key, slot.task.progress) {
            return Err(Refusal::Checkpoint);
        }
        slot.task.saved = slot.task.progress;
        self.changes
            .push(Change::Saved(slot.task.clone(), key.to_owned()));
        Ok(())
    }

    fn acknowledge(&mut self, task: &Name, attempt: u32) {
        let ended = |slot: &Slot| slot.task.attempt == attempt && slot.task.state != State::Running;
        if self.tasks.get(task).is_some_and(ended)
            && let Some(slot) = self.tasks.remove(task)
        {
            self.changes.push(Change::Acknowledged(slot.task));
        }
    }

    fn free(&self) -> Size {
        let running = self
            .tasks
            .values()
            .filter(|slot| slot.task.state == State::Running);
        let granted = running.fold(Size::ZERO, |sum, slot| sum.plus(slot.task.grant));
        self.vm.capacity.minus(granted)
    }
}

impl Slot {
    fn outcome(&self, now: Ms, broken: bool) -> State {
        if broken {
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
