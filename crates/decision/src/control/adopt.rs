//! Adoption and renewal of the workers of owned groups.
//!
//! The control path sends `Adopt` and `Renew`, and gives every report to the board as
//! `place::Event::Adopted`. All other commands are the board's.

use super::Action;
use super::Id;
use super::Machine;
use crate::clock::Ms;
use crate::group;
use crate::group::ADOPT_AGAIN;
use crate::group::Adoption;
use crate::group::COMMAND_LOST;
use crate::group::LEASE;
use crate::group::RENEW;
use crate::group::Right;
use crate::name::Name;
use crate::place;
use crate::request;
use crate::step::Step;
use crate::timeline::Kind;
use crate::vm::State;
use crate::vm::Vm;
use crate::worker::Command;
use crate::worker::Epoch;
use crate::worker::Outcome;
use crate::worker::Refusal;
use crate::worker::Reply;
use crate::worker::Report;
use crate::worker::Verb;

// A worker that appears in the list this soon after a takeover may have been known to the former
// owner, whose list can be ahead of ours.
const LIST_LAG: Ms = Ms(30_000);

const NO_SLOWDOWN: u32 = 100;

/// A command without an outcome yet.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) vm: Name,
    pub(super) group: Name,
    pub(super) epoch: Epoch,
    pub(super) at: Ms,
    /// The board's command, or `None` for `Adopt` and `Renew`.
    pub(super) board: Option<place::Id>,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Sends `Adopt` and `Renew` where they are due.
    pub(super) fn renew(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (group, held) in &mut self.held {
            let caretaker = held.right == Right::Caretaker;
            for adoption in held.workers.values_mut() {
                let lost = |(_, at): (_, Ms)| now.since(at) > COMMAND_LOST;
                let waits = adoption.waiting.is_some_and(|waiting| !lost(waiting));
                if waits || now < adoption.next || adoption.gone.is_some() {
                    continue;
                }
                let verb = match adoption.epoch() {
                    None => Verb::Adopt { caretaker },
                    Some(_) => Verb::Renew { lease: LEASE },
                };
                self.ids += 1;
                let id = Id(self.ids);
                adoption.waiting = Some((id, now));
                due.push((
                    id,
                    group.clone(),
                    adoption.vm.name.clone(),
                    adoption.target,
                    verb,
                ));
            }
        }
        for (id, group, vm, epoch, verb) in due {
            self.command(id, group, vm, epoch, verb, None);
        }
    }

    pub(super) fn command(
        &mut self,
        id: Id,
        group: Name,
        vm: Name,
        epoch: Epoch,
        verb: Verb,
        board: Option<place::Id>,
    ) {
        let sent = Sent {
            vm: vm.clone(),
            group,
            epoch,
            at: self.now,
            board,
        };
        self.commands.insert(id, sent);
        let command = Command {
            epoch,
            owner: self.identity.entry.clone(),
            verb,
        };
        self.out.push(Action::Worker { id, vm, command });
    }

    pub(super) fn worker_ended(&mut self, id: Id, outcome: Outcome) {
        let Some(sent) = self.commands.remove(&id) else {
            return;
        };
        let stale = match &outcome {
            Outcome::Answered(Reply::Refused(Refusal::Stale(seen))) => Some(*seen),
            _ => None,
        };
        match (sent.board, outcome) {
            (Some(board), outcome) => self.drive(place::Event::Ended(board, outcome)),
            (None, Outcome::Answered(Reply::Done(report))) => self.accepted(id, &sent, report),
            (None, _) => self.refused(id, &sent),
        }
        if let Some(seen) = stale {
            self.fenced(&sent, seen);
        }
    }

    fn adoption(&mut self, sent: &Sent) -> Option<&mut Adoption> {
        let held = self.held.get_mut(&sent.group)?;
        held.workers.get_mut(&sent.vm)
    }

    fn accepted(&mut self, id: Id, sent: &Sent, report: Report) {
        let (now, floor) = (self.now, self.floor);
        let Some(adoption) = self.adoption(sent) else {
            return;
        };
        let periodic = adoption.waiting.is_some_and(|(waiting, _)| waiting == id);
        if periodic {
            adoption.waiting = None;
        }
        let before = (adoption.epoch(), adoption.proven);
        let first = adoption.accepted.is_none();
        if adoption.accepted < Some(sent.epoch) {
            adoption.accepted = Some(sent.epoch);
            adoption.busy = report.former;
        }
        if report.epoch == sent.epoch {
            // Under one epoch the number only falls, whatever the order of reports.
            adoption.busy = adoption.busy.min(report.former);
            if adoption.seen.as_ref().is_none_or(|seen| seen.at < sent.at) {
                let attempts = report.attempts.clone();
                adoption.seen = Some(request::Snapshot {
                    at: sent.at,
                    attempts,
                });
            }
        }
        let current = adoption.epoch().is_some();
        adoption.proven |= id >= floor;
        if periodic {
            adoption.next = if current { now + RENEW } else { now };
        }
        if !current || adoption.gone.is_some() {
            return;
        }
        let vm = adoption.vm.clone();
        let changed = before != (adoption.epoch(), adoption.proven);
        self.retarget |= changed;
        if first {
            self.note(
                Kind::WorkerAdopted,
                &vm.name,
                Some(sent.epoch),
                "it accepted the epoch",
            );
        }
        self.look_for_leftovers(sent, &report);
        self.report(vm, sent.epoch, report);
    }

    fn report(&mut self, mut vm: Vm, epoch: Epoch, report: Report) {
        if self.fleet.leaving(&vm) {
            vm.state = State::Leaving;
        }
        self.drive(place::Event::Adopted { vm, epoch, report });
    }

    fn refused(&mut self, id: Id, sent: &Sent) {
        let now = self.now;
        if let Some(adoption) = self.adoption(sent)
            && adoption.waiting.is_some_and(|(waiting, _)| waiting == id)
        {
            adoption.waiting = None;
            adoption.next = now + ADOPT_AGAIN;
        }
    }

    /// A worker has seen a higher epoch, or the same from another entry.
    fn fenced(&mut self, sent: &Sent, seen: Epoch) {
        let Some(held) = self.held.get_mut(&sent.group) else {
            return;
        };
        let caretaker = held.right == Right::Caretaker;
        let Some(adoption) = held.workers.get_mut(&sent.vm) else {
            return;
        };
        // The refusal answers an epoch that this entry has replaced since.
        if seen < adoption.target || (seen == adoption.target && sent.epoch < seen) {
            return;
        }
        if caretaker && adoption.accepted.is_none() {
            adoption.target = Epoch {
                row: seen.row,
                step: seen.step + 1,
            };
            return;
        }
        self.drive(place::Event::Fenced(sent.vm.clone()));
        self.lose(&sent.group, "a worker has seen a higher epoch");
    }

    /// Compares the workers of all held groups with the platform's list.
    pub(super) fn sync_workers(&mut self) {
        let names = Vec::from_iter(self.held.keys().cloned());
        for name in names {
            self.sync_group(&name);
        }
    }

    pub(super) fn sync_group(&mut self, name: &Name) {
        let now = self.now;
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        let mut events = Vec::new();
        let listed = self.fleet.groups.get(name).into_iter().flatten();
        for vm in listed.filter_map(|vm| self.fleet.vms.get(vm)) {
            let holds = held.frozen && now.since(held.taken) <= LIST_LAG;
            let fresh = || Adoption::new(vm.clone(), held.epoch, holds);
            let adoption = held.workers.entry(vm.name.clone()).or_insert_with(fresh);
            let leaving = self.fleet.leaving(vm);
            if adoption.accepted.is_some() && leaving != adoption.leaving {
                events.push(place::Event::Leaving(vm.name.clone(), leaving));
            }
            adoption.vm = vm.clone();
            adoption.leaving = leaving;
            if adoption.gone.take().is_some() {
                adoption.accepted = None;
                adoption.next = now;
            }
        }
        for (vm, since) in self.fleet.gone.values().filter(|(vm, _)| vm.group == *name) {
            let fresh = || Adoption::new(vm.clone(), held.epoch, held.frozen);
            let adoption = held.workers.entry(vm.name.clone()).or_insert_with(fresh);
            if adoption.gone.is_none() {
                adoption.gone = Some(*since);
                events.push(place::Event::Unlisted(vm.name.clone()));
            }
        }
        let lapsed = |one: &Adoption| one.gone.is_some_and(|gone| group::lapsed(now, gone));
        held.workers.retain(|_, one| !lapsed(one));
        self.retarget = true;
        for event in events {
            self.drive(event);
        }
    }

    /// The workers that the request path may use.
    pub(super) fn targets(&self) -> Vec<request::Target> {
        if !self.rollout.ready() || self.stopping.is_some() {
            return Vec::new();
        }
        let mut targets = Vec::new();
        for held in self.held.values() {
            for adoption in held.workers.values() {
                let proven = held.proven || adoption.proven;
                let Some(epoch) = adoption.epoch().filter(|_| proven) else {
                    continue;
                };
                if adoption.gone.is_some() {
                    continue;
                }
                let slowdown = self.slowdown.get(&adoption.vm.name);
                targets.push(request::Target {
                    vm: adoption.vm.name.clone(),
                    epoch,
                    domain: adoption.vm.domain.clone(),
                    slots: adoption.vm.slots,
                    busy: adoption.busy,
                    snapshot: adoption.seen.clone(),
                    leaving: adoption.leaving,
                    slowdown: slowdown.copied().unwrap_or(NO_SLOWDOWN),
                });
            }
        }
        targets
    }
}
