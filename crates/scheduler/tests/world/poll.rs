//! The polls of the simulated agents, which renew leases and may lose their answers.

use decision::clock::Ms;
use decision::name::Name;
use rand::RngExt;
use scheduler::id;
use scheduler::id::Epoch;
use scheduler::leader::LEADER_CONTACT_TIMEOUT;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Observation;
use scheduler::message::Placement;
use scheduler::message::Report;

use super::Call;
use super::Delivery;
use super::MESSAGE_DELAY_MS;
use super::MIN_LATE_MS;
use super::Watch;
use super::World;

/// The time for which a worker delays its answer.
const WAIT_MS: u64 = 96;
/// The time limit of a poll beyond the wait.
const TIMEOUT_MS: u64 = 700;
/// The pause after a reported failure.
const RETRY_DELAY_MS: u64 = 200;

/// A poll in transit to a worker.
#[derive(Clone)]
pub(super) struct Poll {
    pub(super) agent: Name,
    worker: Name,
    epoch: Epoch,
    /// Tells its watch from others; absent for a poll out of turn.
    watch: Option<u64>,
    /// The number of its watch, which its reports carry.
    number: id::Watch,
    deadline: Option<Ms>,
    acknowledged: u64,
    sent: u64,
    pub(super) is_answered: bool,
}

impl Poll {
    const fn wait(&self) -> u64 {
        if self.deadline.is_some() { WAIT_MS } else { 0 }
    }
}

impl World {
    fn watch_of(&mut self, entry: &Name, worker: &Name) -> Option<&mut Watch> {
        self.agents.get_mut(entry)?.watches.get_mut(worker)
    }

    /// Returns the watch that the poll belongs to, which may have ended, unless the poll is out of
    /// turn.
    fn watch_of_poll(&mut self, poll: &Poll) -> Option<&mut Watch> {
        let id = poll.watch?;
        let agent = self.agents.get_mut(&poll.agent)?;
        let present = agent.watches.get_mut(&poll.worker);
        match present.filter(|watch| watch.id == id) {
            Some(watch) => Some(watch),
            None => agent.former_watches.get_mut(&id),
        }
    }

    fn is_present(&self, poll: &Poll) -> bool {
        let present = self.agents[&poll.agent].watches.get(&poll.worker);
        present.is_some_and(|watch| Some(watch.id) == poll.watch)
    }

    pub(super) fn send_regular_poll(&mut self, agent: Name, worker: Name, id: u64) {
        let now = Ms(self.now);
        let last_contact = Ms(self.agents[&agent].last_contact);
        let Some(watch) = self
            .watch_of(&agent, &worker)
            .filter(|watch| watch.id == id)
        else {
            return;
        };
        if now.since(last_contact) > LEADER_CONTACT_TIMEOUT {
            let due = Delivery::PollDue(agent, worker, id);
            return self.enqueue(now.0 + RETRY_DELAY_MS, due);
        }
        let deadline = watch.lease.next_poll(now, last_contact, now).deadline;
        if deadline.is_some() {
            watch.lease.record_renewal(now);
        }
        let poll = Poll {
            epoch: watch.epoch,
            watch: Some(id),
            number: watch.number,
            deadline,
            acknowledged: watch.lease.acknowledged(now, watch.acknowledged),
            sent: now.0,
            is_answered: true,
            agent,
            worker,
        };
        self.send_poll(poll);
    }

    /// Polls the worker of a call without a renewal and without an acknowledgement.
    pub(super) fn send_extra_poll(&mut self, call: &Call) {
        let watch = self.watch_of(&call.agent, &call.placement.worker);
        let watch = watch.filter(|watch| watch.epoch == call.epoch);
        let number = watch.map_or(id::Watch::NONE, |watch| watch.number);
        self.send_poll(Poll {
            agent: call.agent.clone(),
            worker: call.placement.worker.clone(),
            epoch: call.epoch,
            watch: None,
            number,
            deadline: None,
            acknowledged: 0,
            sent: self.now,
            is_answered: true,
        });
    }

    fn send_poll(&mut self, mut poll: Poll) {
        let mut delay = MESSAGE_DELAY_MS;
        if self.should_fail(self.faults.lost_poll) {
            poll.is_answered = false;
            self.time_out(poll.clone());
            match self.random.random_range(0..3) {
                0 => return,
                1 => delay = self.random.random_range(MIN_LATE_MS..12_000),
                _ => {}
            }
        }
        self.enqueue(self.now + delay, Delivery::Polled(poll));
    }

    fn time_out(&mut self, poll: Poll) {
        let at = if self.is_closed(&poll.worker) {
            self.now + MESSAGE_DELAY_MS
        } else {
            poll.sent + poll.wait() + TIMEOUT_MS
        };
        self.enqueue(at.max(self.now), Delivery::PollTimedOut(poll));
    }

    pub(super) fn deliver_poll(&mut self, poll: Poll) {
        let now = self.now;
        if !self.is_reachable(&poll.agent, &poll.worker, poll.sent) {
            if poll.is_answered {
                self.time_out(poll);
            }
            return;
        }
        let Some(worker) = self.workers.get_mut(&poll.worker) else {
            return;
        };
        if !worker.accept_token(poll.epoch) {
            if poll.is_answered && self.is_own_agent(&poll.agent, poll.epoch) {
                self.enqueue(now + MESSAGE_DELAY_MS, Delivery::Deposed(poll.epoch));
            }
            if let (true, Some(id)) = (poll.is_answered, poll.watch) {
                let due = Delivery::PollDue(poll.agent, poll.worker, id);
                self.enqueue(now + LEADER_CONTACT_TIMEOUT.0, due);
            }
            return;
        }
        if let Some(deadline) = poll.deadline {
            worker.extend_lease(now, deadline.0);
        }
        let incarnation = worker.incarnation;
        let discarded = worker.acknowledge(poll.acknowledged);
        self.record_acknowledged(&poll.worker, discarded);
        if poll.is_answered {
            self.enqueue(now + poll.wait(), Delivery::PollHeld(poll, incarnation));
        }
    }

    pub(super) fn answer_poll(&mut self, poll: Poll, incarnation: Ms) {
        let now = self.now;
        let worker = &self.workers[&poll.worker];
        let is_reachable = self.is_reachable(&poll.agent, &poll.worker, poll.sent);
        if !is_reachable || worker.incarnation != incarnation {
            return self.time_out(poll);
        }
        let observation = Observation {
            worker: poll.worker.clone(),
            incarnation,
            polled_at: Ms(poll.sent),
            running: Some(worker.running()),
            ended: worker.ends.clone(),
        };
        let clock = Ms(worker.clock(now));
        let answer = Delivery::PollAnswered(poll, observation, clock);
        self.enqueue(now + MESSAGE_DELAY_MS, answer);
    }

    pub(super) fn handle_poll_answer(&mut self, poll: &Poll, observation: Observation, clock: Ms) {
        let now = self.now;
        if let Some(id) = poll.watch.filter(|_| self.is_present(poll)) {
            let due = Delivery::PollDue(poll.agent.clone(), poll.worker.clone(), id);
            self.enqueue(now, due);
        }
        let is_present = poll.watch.is_none() || self.is_present(poll);
        let watch = self.watch_of(&poll.agent, &poll.worker);
        if let Some(watch) = watch.filter(|watch| is_present && watch.epoch == poll.epoch) {
            let incarnation = observation.incarnation;
            watch.lease.record_answer(Ms(now), clock, incarnation);
            watch.record_known(poll.sent, &observation);
        }
        let report = Report::of_watch(poll.number, Finding::Polled(observation));
        self.notify_leader(&poll.agent, poll.epoch, report);
    }

    pub(super) fn handle_poll_timeout(&mut self, poll: &Poll) {
        let now = self.now;
        let is_closed = self.is_closed(&poll.worker);
        let is_present = self.is_present(poll);
        let (Some(watch), Some(id)) = (self.watch_of_poll(poll), poll.watch) else {
            return;
        };
        let is_first_failure = !watch.lease.is_unresponsive();
        let renewal_age = watch.lease.record_failure(Ms(now));
        let due = Delivery::PollDue(poll.agent.clone(), poll.worker.clone(), id);
        if is_first_failure {
            if is_present {
                self.enqueue(now, due);
            }
            return;
        }
        let failure = Failure {
            worker: poll.worker.clone(),
            renewal_age,
            is_closed,
        };
        let report = Report::of_watch(poll.number, Finding::PollFailed(failure));
        self.notify_leader(&poll.agent, poll.epoch, report);
        if is_present {
            self.enqueue(now + RETRY_DELAY_MS, due);
        }
    }
}

impl Watch {
    /// Records the runs that the worker listed, which an agent reports to the next leader.
    fn record_known(&mut self, sent: u64, observation: &Observation) {
        self.known.retain(|_, since| *since >= sent);
        let running = observation.running.iter().flatten();
        let running = running.map(|row| (row.task, row.run));
        let ended = observation.ended.iter().map(|end| (end.task, end.run));
        for (task, run) in running.chain(ended) {
            let placement = Placement {
                worker: observation.worker.clone(),
                incarnation: observation.incarnation,
                task,
                run,
            };
            self.known.entry(placement).or_insert(0);
        }
    }
}
