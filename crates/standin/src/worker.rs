//! A model of a worker with request slots, tasks under leases, epochs and checkpoints.

mod change;
mod execute;

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

pub use self::change::Change;
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
