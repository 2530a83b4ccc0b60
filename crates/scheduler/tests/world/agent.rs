//! The simulated agents, which carry out the orders of the leader.

use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use rand::RngExt;
use scheduler::fleet::Claim;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::interference::Model;
use scheduler::leader::Event;
use scheduler::message;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Termination;

use super::CALL_TIMEOUT_MS;
use super::Call;
use super::Delivery;
use super::GANG_WAIT_MS;
use super::MESSAGE_DELAY_MS;
use super::MIN_LATE_MS;
use super::TICKET_VALIDITY_MS;
use super::Watch;
use super::World;
use super::is_allowed;
use super::worker::Execution;

impl World {
    /// Answers a request for advice: only workers with an even number may run a step.
    pub(super) fn answer_advice(&mut self, step: id::Step, workers: Vec<Name>) {
        let good = workers.into_iter().filter(is_allowed);
        let tickets = good.map(|name| (name, Arc::from(format!("ticket-{step}"))));
        let tickets = tickets.collect();
        self.handle_event(Event::AdviceReceived(step, tickets, Ms(TICKET_VALIDITY_MS)));
    }

    pub(super) fn handle_order(&mut self, entry: &Name, epoch: Epoch, order: Order) {
        // A leader that is replaced by another one of the same entry still reaches its agent.
        let is_own_replaced = self.is_own_agent(entry, epoch);
        let Some(agent) = self.agents.get_mut(entry) else {
            return;
        };
        let is_from_own = epoch < agent.epoch && is_own_replaced;
        if !agent.is_connected || epoch != agent.epoch && !is_from_own {
            return;
        }
        match order {
            Order::Watch(_) | Order::Unwatch(_) if is_from_own => {}
            Order::Watch(watch) => self.watch(entry, epoch, watch),
            Order::Unwatch(worker) => agent.end_watch(&worker),
            Order::Start(start) => self.send_start(entry, epoch, &start),
            Order::Stop(placement) => self.send_stop(entry, epoch, placement, false),
            Order::Void(placement) => self.send_stop(entry, epoch, placement, true),
            Order::Beat(_)
            | Order::Config(_)
            | Order::Pace(..)
            | Order::Stage(..)
            | Order::Stored(..) => {}
        }
    }

    fn watch(&mut self, entry: &Name, epoch: Epoch, order: message::Watch) {
        let id = self.sequence;
        let Some(agent) = self.agents.get_mut(entry) else {
            return;
        };
        let same = agent.watches.get_mut(&order.worker);
        if let Some(watch) = same.filter(|watch| watch.number == order.number) {
            watch.acknowledged = order.acknowledged;
            return;
        }
        agent.end_watch(&order.worker);
        let watch = Watch::new(id, epoch, &order, Ms(self.now));
        agent.watches.insert(order.worker.clone(), watch);
        let due = Delivery::PollDue(entry.clone(), order.worker, id);
        self.enqueue(self.now, due);
    }

    /// Sends a report on a call of this epoch to its leader, unless the agent follows another one by
    /// now.
    pub(super) fn notify_leader(&mut self, entry: &Name, epoch: Epoch, report: Report) {
        let agent = &self.agents[entry];
        if !agent.is_connected || agent.epoch != epoch {
            return;
        }
        let delivery = Delivery::Report(epoch, entry.clone(), report);
        self.enqueue(self.now + MESSAGE_DELAY_MS, delivery);
    }

    pub(super) fn send_start(&mut self, entry: &Name, epoch: Epoch, start: &Start) {
        let now = Ms(self.now);
        let placement = start.placement();
        let agent = self.agents.get_mut(entry);
        let deadline = agent.and_then(|agent| {
            let last_contact = Ms(agent.last_contact);
            let watch = agent.watches.get_mut(&start.worker)?;
            let deadline = watch.lease.deadline(now, last_contact)?;
            watch.lease.record_renewal(now);
            watch.known.insert(placement.clone(), now.0);
            Some(deadline.0)
        });
        let Some(deadline) = deadline else {
            return self.notify_leader(entry, epoch, Report::Started(placement, Outcome::Unsent));
        };
        self.send_call(entry, epoch, placement, Some(deadline), false);
    }

    pub(super) fn send_stop(
        &mut self,
        entry: &Name,
        epoch: Epoch,
        placement: Placement,
        polls_after: bool,
    ) {
        if !self.agents[entry].watches.contains_key(&placement.worker) {
            let report = Report::Stopped(placement, Outcome::Unsent, Ms(self.now));
            return self.notify_leader(entry, epoch, report);
        }
        self.send_call(entry, epoch, placement, None, polls_after);
    }

    pub(super) fn send_call(
        &mut self,
        entry: &Name,
        epoch: Epoch,
        placement: Placement,
        deadline: Option<u64>,
        polls_after: bool,
    ) {
        let is_late = self.should_fail(self.faults.late);
        let is_lost = is_late || self.should_fail(self.faults.lost_answer);
        let delay = if is_late {
            self.random.random_range(MIN_LATE_MS..12_000)
        } else {
            MESSAGE_DELAY_MS
        };
        let call = Call {
            agent: entry.clone(),
            epoch,
            placement,
            deadline,
            is_answered: !is_lost,
            sent: self.now,
            polls_after,
        };
        if is_lost {
            let outcome = Delivery::Outcome(call.clone(), Outcome::Unknown);
            self.enqueue(self.now + CALL_TIMEOUT_MS, outcome);
        }
        self.enqueue(self.now + delay, Delivery::Called(call));
    }

    /// Reports the outcome of a call to the leader, and polls the worker if the run may be there.
    pub(super) fn handle_outcome(&mut self, call: Call, outcome: Outcome) {
        let placement = call.placement.clone();
        let is_start = call.deadline.is_some();
        if is_start && !matches!(outcome, Outcome::Done | Outcome::Unknown) {
            let agent = self.agents.get_mut(&call.agent);
            let watch = agent.and_then(|agent| agent.watches.get_mut(&placement.worker));
            if let Some(watch) = watch.filter(|watch| watch.epoch == call.epoch) {
                watch.known.remove(&placement);
            }
        }
        let report = if is_start {
            Report::Started(placement, outcome)
        } else {
            Report::Stopped(placement, outcome, Ms(self.now))
        };
        self.notify_leader(&call.agent, call.epoch, report);
        let is_poll_due = if is_start {
            outcome == Outcome::Unknown
        } else {
            call.polls_after && matches!(outcome, Outcome::Done | Outcome::Old)
        };
        if is_poll_due {
            self.enqueue(self.now + 1, Delivery::PollNow(call));
        }
    }

    /// Delivers an order to its worker.
    pub(super) fn deliver_call(&mut self, call: Call) {
        if self.is_replaced(&call.placement.worker) {
            if call.is_answered {
                let answer = Delivery::Outcome(call, Outcome::Reborn);
                self.enqueue(self.now + MESSAGE_DELAY_MS, answer);
            }
            return;
        }
        let now = self.now;
        let is_failing = self.should_fail(self.faults.failed_run);
        let is_lasting = self.step_of(call.placement.task).is_lasting;
        let millis = if self.runs_never_end || is_lasting {
            1_000_000
        } else {
            self.random.random_range(100..1_500)
        };
        let is_alone = self.is_in_deadly_gang(call.placement.task);
        if !self.is_reachable(&call.agent, &call.placement.worker, call.sent) {
            if call.is_answered {
                let (at, outcome) = if self.is_closed(&call.placement.worker) {
                    (now + MESSAGE_DELAY_MS, Outcome::Unsent)
                } else {
                    (call.sent + CALL_TIMEOUT_MS, Outcome::Unknown)
                };
                self.enqueue(at, Delivery::Outcome(call, outcome));
            }
            return;
        }
        let (task, run) = (call.placement.task, call.placement.run);
        let claimed = Claim::new(self.step_of(task), &mut Model::default()).size;
        let Some(worker) = self.workers.get_mut(&call.placement.worker) else {
            return;
        };
        let outcome = if !worker.accept_token(call.epoch) {
            Outcome::Fenced
        } else if let Some(deadline) = call.deadline {
            let was_running = worker.executions.contains_key(&task);
            let execution = Execution {
                run,
                ends_at: now + if is_alone { GANG_WAIT_MS } else { millis },
                termination: if is_alone {
                    Termination::Alone
                } else if is_failing {
                    Termination::Failed
                } else {
                    Termination::Done
                },
                size: claimed,
            };
            let outcome = worker.start(now, task, execution, deadline);
            if outcome == Outcome::Done && !was_running {
                self.check_start(&call);
                self.note_deadly_start(&call);
            }
            outcome
        } else {
            worker.stop(now, task, run)
        };
        if call.is_answered {
            let answer = Delivery::Outcome(call, outcome);
            self.enqueue(now + MESSAGE_DELAY_MS, answer);
        }
    }
}
