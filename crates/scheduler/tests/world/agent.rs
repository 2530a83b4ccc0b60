//! The simulated agents, which carry out orders and poll workers.

use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use rand::RngExt;
use scheduler::agent::Lease;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::id::Task;
use scheduler::leader::Event;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Termination;

use super::CALL_TIMEOUT_MS;
use super::Call;
use super::Delivery;
use super::MESSAGE_DELAY_MS;
use super::POLL_INTERVAL_MS;
use super::TICKET_VALIDITY_MS;
use super::Watch;
use super::World;
use super::is_allowed;
use super::name;
use super::size;
use super::worker::Execution;
use super::worker::MAX_LEASE_MS;

impl World {
    /// Answers a request for advice: only workers with an even number may run a step.
    pub(super) fn answer_advice(&mut self, step: id::Step, workers: Vec<Name>) {
        let good = workers.into_iter().filter(is_allowed);
        let tickets = good.map(|name| (name, Arc::from(format!("ticket-{step}"))));
        let tickets = tickets.collect();
        self.handle_event(Event::AdviceReceived(step, tickets, Ms(TICKET_VALIDITY_MS)));
    }

    pub(super) fn handle_order(&mut self, entry: &Name, epoch: Epoch, order: Order) {
        let now = self.now;
        let Some(agent) = self.agents.get_mut(entry) else {
            return;
        };
        // A replaced leader still reaches the agent of its own entry.
        let is_from_own_replaced = epoch < agent.epoch && *entry == name("e0");
        if epoch < agent.epoch && !is_from_own_replaced {
            return;
        }
        match order {
            Order::Watch(watch) => {
                let is_new = !agent.watches.contains_key(&watch.worker);
                let state = agent.watches.entry(watch.worker.clone()).or_insert(Watch {
                    lease: Lease::new(Ms(MAX_LEASE_MS), Ms(now)),
                    epoch,
                    acknowledged: None,
                    known: BTreeSet::new(),
                });
                state.acknowledged = watch.acknowledged;
                if is_new {
                    self.enqueue(now, Delivery::Poll(entry.clone(), watch.worker, epoch));
                }
            }
            Order::Unwatch(worker) => drop(agent.watches.remove(&worker)),
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

    pub(super) fn send_start(&mut self, entry: &Name, epoch: Epoch, start: &Start) {
        let now = Ms(self.now);
        let placement = start.placement();
        let watch = self
            .agents
            .get_mut(entry)
            .and_then(|agent| agent.watches.get_mut(&start.worker));
        let Some(deadline) = watch.and_then(|watch| {
            let deadline = watch.lease.deadline(now, now)?;
            watch.lease.record_renewal(now);
            watch.known.insert(placement.clone());
            Some(deadline.0)
        }) else {
            let report = Report::Started(placement, Outcome::Unsent);
            return self.enqueue(
                self.now + MESSAGE_DELAY_MS,
                Delivery::Report(epoch, entry.clone(), report),
            );
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
            self.random.random_range(1_000..12_000)
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
            self.send_outcome(&call, Outcome::Unknown, self.now + CALL_TIMEOUT_MS);
        }
        self.enqueue(self.now + delay, Delivery::Called(call));
    }

    pub(super) fn send_outcome(&mut self, call: &Call, outcome: Outcome, at: u64) {
        let placement = call.placement.clone();
        let report = if call.deadline.is_some() {
            Report::Started(placement, outcome)
        } else {
            Report::Stopped(placement, outcome, Ms(at))
        };
        let delivery = Delivery::Report(call.epoch, call.agent.clone(), report);
        self.enqueue(at, delivery);
    }

    /// Delivers an order to its worker.
    pub(super) fn deliver_call(&mut self, call: Call) {
        let now = self.now;
        let is_failing = self.should_fail(self.faults.failed_run);
        let millis = if self.runs_never_end {
            1_000_000
        } else {
            self.random.random_range(100..1_500)
        };
        let Some(worker) = self.workers.get_mut(&call.placement.worker) else {
            return;
        };
        if worker.unreachable_until > now {
            if call.is_answered {
                self.send_outcome(&call, Outcome::Unknown, call.sent + CALL_TIMEOUT_MS);
            }
            return;
        }
        let (task, run) = (call.placement.task, call.placement.run);
        let outcome = if !worker.accept_token(call.epoch) {
            Outcome::Fenced
        } else if let Some(deadline) = call.deadline {
            let was_running = worker.executions.contains_key(&task);
            let execution = Execution {
                run,
                ends_at: now + millis,
                termination: if is_failing {
                    Termination::Failed
                } else {
                    Termination::Done
                },
                size: size(1_000),
            };
            let outcome = worker.start(now, task, execution, deadline);
            if outcome == Outcome::Done && !was_running {
                self.check_start(&call);
            }
            outcome
        } else {
            worker.stop(now, task, run)
        };
        if call.is_answered {
            self.send_outcome(&call, outcome, now + MESSAGE_DELAY_MS);
        }
        if call.polls_after {
            let (agent, worker) = (call.agent.clone(), call.placement.worker.clone());
            self.poll_worker(&agent, &worker, call.epoch, false);
        }
    }

    /// Checks the invariants that concern the start of a run.
    pub(super) fn check_start(&mut self, call: &Call) {
        let (task, now) = (call.placement.task, self.now);
        let target = &call.placement.worker;
        let others = self.workers.iter().filter(|(name, _)| *name != target);
        let other_worker = others
            .filter(|(_, worker)| worker.executions.contains_key(&task))
            .map(|(name, _)| name.clone())
            .next();
        if let Some(other) = other_worker {
            self.violations
                .push(format!("{now}: {task} runs on {other} and {target}"));
        }
        if self.acknowledged_done.contains(&task) {
            self.violations
                .push(format!("{now}: {task} is done and starts again"));
        }
        let worker = &self.workers[target];
        if !worker.booked().fits(worker.size) {
            self.violations
                .push(format!("{now}: {target} is over its size"));
        }
        let spec = &self.jobs[&task.step.job].1.spec;
        for &before in &spec.steps[usize::from(task.step.step)].after {
            for index in 0..spec.steps[usize::from(before)].count {
                let step = id::Step {
                    step: before,
                    ..task.step
                };
                if !self.done.contains(&Task { step, index }) {
                    self.violations
                        .push(format!("{now}: {task} starts before step {before}"));
                }
            }
        }
    }

    pub(super) fn poll_worker(&mut self, entry: &Name, name: &Name, epoch: Epoch, repeat: bool) {
        let now = self.now;
        if repeat {
            let next = Delivery::Poll(entry.clone(), name.clone(), epoch);
            self.enqueue(now + POLL_INTERVAL_MS, next);
        }
        let Some(watch) = self
            .agents
            .get_mut(entry)
            .and_then(|agent| agent.watches.get_mut(name))
            .filter(|watch| watch.epoch == epoch)
        else {
            return;
        };
        let poll = watch.lease.next_poll(Ms(now), Ms(now), Ms(now));
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if poll.deadline.is_some() {
            watch.lease.record_renewal(Ms(now));
        }
        if worker.unreachable_until > now {
            let renewal_age = watch.lease.record_failure(Ms(now));
            let report = Report::PollFailed(Failure {
                worker: name.clone(),
                renewal_age,
                is_closed: false,
            });
            return self.enqueue(
                now + MESSAGE_DELAY_MS,
                Delivery::Report(epoch, entry.clone(), report),
            );
        }
        if !worker.accept_token(epoch) {
            return;
        }
        if let Some(deadline) = poll.deadline {
            worker.extend_lease(now, deadline.0);
        }
        let acknowledged = watch.lease.acknowledged(watch.acknowledged);
        watch
            .lease
            .record_answer(Ms(now), Ms(worker.clock(now)), worker.incarnation);
        let (kept, discarded): (Vec<_>, Vec<_>) = std::mem::take(&mut worker.ends)
            .into_iter()
            .partition(|end| end.number > acknowledged);
        worker.ends = kept;
        let done = discarded
            .into_iter()
            .filter(|end| end.termination == Termination::Done);
        self.acknowledged_done.extend(done.map(|end| end.task));
        let observation = Observation {
            worker: name.clone(),
            incarnation: worker.incarnation,
            polled_at: Ms(now),
            running: Some(worker.running()),
            ended: worker.ends.clone(),
        };
        watch.known.retain(|placement| {
            let has_ended = worker.ends.iter().any(|end| end.run == placement.run);
            has_ended || worker.executions.contains_key(&placement.task)
        });
        let report = Report::Polled(observation);
        self.enqueue(
            now + MESSAGE_DELAY_MS,
            Delivery::Report(epoch, entry.clone(), report),
        );
    }
}
