//! The effects of commands on tasks.

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;
use decision::worker::Refusal;
use decision::worker::State;
use decision::worker::Task;
use decision::worker::Verb;

use super::Model;
use super::Need;
use super::Slot;
use super::change::Change;
use crate::checkpoint;

impl Model {
    pub(super) fn execute(
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
