//! Adoption and renewal of the workers of owned groups.
//!
//! The control path sends `Adopt` and `Renew`, and passes every report to the board as
//! `place::Event::Adopted`. The board decides on all other commands, except the acknowledgement of
//! unacknowledged attempts.

use super::Action;
use super::Id;
use super::Machine;
use crate::clock::Ms;
use crate::group;
use crate::group::ADOPT_RETRY_INTERVAL;
use crate::group::Adoption;
use crate::group::Authority;
use crate::group::COMMAND_TIMEOUT;
use crate::group::MAX_LIST_LAG;
use crate::group::RENEW_INTERVAL;
use crate::name::Name;
use crate::place;
use crate::request;
use crate::step::Step;
use crate::task::LEASE;
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

// The slowdown, in percent, of a worker whose services are not slowed down.
const NO_SLOWDOWN: u32 = 100;

/// A command that was sent and has no outcome yet.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) vm: Name,
    pub(super) group: Name,
    pub(super) epoch: Epoch,
    pub(super) at: Ms,
    /// The id of the board's command, or `None` for commands of the control path.
    pub(super) board: Option<place::Id>,
}

impl<B> Machine<B>
where
    B: Step<Event = place::Event, Action = place::Order> + place::Read,
{
    /// Sends `Adopt` or `Renew` to each worker that is due for one.
    pub(super) fn send_due_renewals(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (group, held) in &mut self.held {
            let caretaker = held.authority == Authority::Caretaker;
            for adoption in held.workers.values_mut() {
                let timed_out = |(_, at): (_, Ms)| now.since(at) > COMMAND_TIMEOUT;
                let is_in_flight = adoption.in_flight.is_some_and(|sent| !timed_out(sent));
                if is_in_flight || now < adoption.next_send || adoption.missing_since.is_some() {
                    continue;
                }
                let verb = match adoption.epoch() {
                    None => Verb::Adopt { caretaker },
                    Some(_) => Verb::Renew { lease: LEASE },
                };
                self.ids += 1;
                let id = Id(self.ids);
                adoption.in_flight = Some((id, now));
                due.push((
                    id,
                    group.clone(),
                    adoption.vm.name.clone(),
                    adoption.target_epoch,
                    verb,
                ));
            }
        }
        for (id, group, vm, epoch, verb) in due {
            self.send_command(id, group, vm, epoch, verb, None);
        }
    }

    pub(super) fn send_command(
        &mut self,
        id: Id,
        group: Name,
        vm: Name,
        epoch: Epoch,
        verb: Verb,
        board: Option<place::Id>,
    ) {
        let sent = InFlight {
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
        self.actions.push(Action::Worker { id, vm, command });
    }

    pub(super) fn handle_command_outcome(&mut self, id: Id, outcome: Outcome) {
        let Some(sent) = self.commands.remove(&id) else {
            return;
        };
        let higher_epoch = match &outcome {
            Outcome::Answered(Reply::Refused(Refusal::Stale(seen))) => Some(*seen),
            _ => None,
        };
        match (sent.board, outcome) {
            (Some(board), outcome) => self.drive(place::Event::Ended(board, outcome)),
            (None, Outcome::Answered(Reply::Done(report))) => self.apply_report(id, &sent, report),
            (None, _) => self.schedule_adoption_retry(id, &sent),
        }
        if let Some(seen) = higher_epoch {
            self.handle_stale_epoch(&sent, seen);
        }
    }

    fn adoption(&mut self, sent: &InFlight) -> Option<&mut Adoption> {
        let held = self.held.get_mut(&sent.group)?;
        held.workers.get_mut(&sent.vm)
    }

    /// Records that a worker accepted a command, and passes its report to the board.
    fn apply_report(&mut self, id: Id, sent: &InFlight, report: Report) {
        let (now, first_valid_id) = (self.now, self.first_valid_id);
        let Some(adoption) = self.adoption(sent) else {
            return;
        };
        let periodic = adoption.in_flight.is_some_and(|(sent_id, _)| sent_id == id);
        if periodic {
            adoption.in_flight = None;
        }
        let before = (adoption.epoch(), adoption.confirmed);
        let first = adoption.accepted.is_none();
        if adoption.accepted < Some(sent.epoch) {
            adoption.accepted = Some(sent.epoch);
            adoption.busy = report.former;
        }
        if report.epoch == sent.epoch {
            // Under one epoch the number only falls, so the lowest is the latest even if reports
            // arrive out of order.
            adoption.busy = adoption.busy.min(report.former);
            if adoption
                .snapshot
                .as_ref()
                .is_none_or(|last| last.at < sent.at)
            {
                let attempts = report.attempts.clone();
                adoption.snapshot = Some(request::Snapshot {
                    at: sent.at,
                    attempts,
                });
            }
        }
        let current = adoption.epoch().is_some();
        adoption.confirmed |= id >= first_valid_id;
        if periodic {
            adoption.next_send = if current { now + RENEW_INTERVAL } else { now };
        }
        if !current || adoption.missing_since.is_some() {
            return;
        }
        adoption.reported = true;
        let vm = adoption.vm.clone();
        let changed = before != (adoption.epoch(), adoption.confirmed);
        self.targets_changed |= changed;
        if first {
            self.record_event(
                Kind::WorkerAdopted,
                &vm.name,
                Some(sent.epoch),
                "the worker accepted the epoch",
            );
        }
        self.check_unacknowledged(sent, &report);
        self.report_to_board(vm, sent.epoch, report);
    }

    fn report_to_board(&mut self, mut vm: Vm, epoch: Epoch, report: Report) {
        if self.fleet.is_leaving(&vm) {
            vm.state = State::Leaving;
        }
        self.drive(place::Event::Adopted { vm, epoch, report });
    }

    fn schedule_adoption_retry(&mut self, id: Id, sent: &InFlight) {
        let now = self.now;
        if let Some(adoption) = self.adoption(sent)
            && adoption.in_flight.is_some_and(|(sent_id, _)| sent_id == id)
        {
            adoption.in_flight = None;
            adoption.next_send = now + ADOPT_RETRY_INTERVAL;
        }
    }

    /// Handles the refusal of a worker that has seen a higher epoch, or the same epoch from another
    /// entry. A caretaker learns the epoch to adopt under from it; an owner loses the group.
    fn handle_stale_epoch(&mut self, sent: &InFlight, seen: Epoch) {
        let Some(held) = self.held.get_mut(&sent.group) else {
            return;
        };
        let caretaker = held.authority == Authority::Caretaker;
        let Some(adoption) = held.workers.get_mut(&sent.vm) else {
            return;
        };
        // The refused epoch has been replaced by this entry since the command was sent.
        if seen < adoption.target_epoch || (seen == adoption.target_epoch && sent.epoch < seen) {
            return;
        }
        if caretaker && adoption.accepted.is_none() {
            adoption.target_epoch = Epoch {
                row: seen.row,
                step: seen.step + 1,
            };
            return;
        }
        self.drive(place::Event::Fenced(sent.vm.clone()));
        self.lose_group(&sent.group, "a worker has seen a higher epoch");
    }

    /// Updates the workers of all held groups from the platform's list.
    pub(super) fn sync_workers(&mut self) {
        let names = Vec::from_iter(self.held.keys().cloned());
        for name in names {
            self.sync_group(&name);
        }
    }

    /// Updates the workers of one held group from the platform's list.
    pub(super) fn sync_group(&mut self, name: &Name) {
        let now = self.now;
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        let mut events = Vec::new();
        let listed = self.fleet.groups.get(name).into_iter().flatten();
        for vm in listed.filter_map(|vm| self.fleet.vms.get(vm)) {
            // A worker that first appears in the list this soon after a takeover may already have
            // run tasks for the former owner, whose list can be newer than the list of this entry.
            let blocks_unfreeze = held.frozen && now.since(held.acquired_at) <= MAX_LIST_LAG;
            let new_adoption = || Adoption::new(vm.clone(), held.epoch, blocks_unfreeze);
            let adoption = held
                .workers
                .entry(vm.name.clone())
                .or_insert_with(new_adoption);
            let leaving = self.fleet.is_leaving(vm);
            if adoption.accepted.is_some() && leaving != adoption.leaving {
                events.push(place::Event::Leaving(vm.name.clone(), leaving));
            }
            adoption.vm = vm.clone();
            adoption.leaving = leaving;
            if adoption.missing_since.take().is_some() {
                adoption.accepted = None;
                adoption.reported = false;
                adoption.next_send = now;
            }
        }
        for (vm, since) in self
            .fleet
            .missing
            .values()
            .filter(|(vm, _)| vm.group == *name)
        {
            let new_adoption = || Adoption::new(vm.clone(), held.epoch, held.frozen);
            let adoption = held
                .workers
                .entry(vm.name.clone())
                .or_insert_with(new_adoption);
            if adoption.missing_since.is_none() {
                adoption.missing_since =
                    Some(group::last_renewal(*since, held.acquired_at, MAX_LIST_LAG));
                events.push(place::Event::Unlisted(vm.name.clone()));
            }
        }
        let expired = |adoption: &Adoption| {
            adoption
                .missing_since
                .is_some_and(|since| group::leases_expired(now, since))
        };
        held.workers.retain(|_, adoption| !expired(adoption));
        self.targets_changed = true;
        for event in events {
            self.drive(event);
        }
    }

    /// The targets that the request path may use. There are none while the configuration is
    /// unconfirmed or the entry stops.
    pub(super) fn usable_targets(&self) -> Vec<request::Target> {
        if !self.rollout.is_ready() || self.stopping.is_some() {
            return Vec::new();
        }
        let mut targets = Vec::new();
        for held in self.held.values() {
            for adoption in held.workers.values() {
                let confirmed = held.confirmed || adoption.confirmed;
                let Some(epoch) = adoption.epoch().filter(|_| confirmed) else {
                    continue;
                };
                if adoption.missing_since.is_some() {
                    continue;
                }
                let slowdown = self.slowdown.get(&adoption.vm.name);
                targets.push(request::Target {
                    vm: adoption.vm.name.clone(),
                    epoch,
                    domain: adoption.vm.domain.clone(),
                    slots: adoption.vm.slots,
                    busy: adoption.busy,
                    snapshot: adoption.snapshot.clone(),
                    leaving: adoption.leaving,
                    slowdown: slowdown.copied().unwrap_or(NO_SLOWDOWN),
                });
            }
        }
        targets
    }
}
