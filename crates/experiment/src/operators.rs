//! Models the operators, who submit and cancel jobs, drain workers and change the configuration,
//! and who repeat each call until it is settled.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use decision::config::Version;
use decision::control;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Refusal;
use decision::operator::Reply;
use history::Fact;
use rand::RngExt;

use crate::case::Fault;
use crate::queue::MS;
use crate::queue::SECOND;
use crate::queue::Us;
use crate::scenario::Scenario;
use crate::scenario::WARM_UP;
use crate::scenario::name;
use crate::simulation::Event;
use crate::simulation::Input;
use crate::simulation::Simulation;

/// The time at which the first configuration is set.
const FIRST_CONFIG: Us = 2 * SECOND;

/// The time after which a call without a reply is sent again.
const REPLY_TIMEOUT: Us = 5 * SECOND;

/// The delay before a call that could not be accepted is sent again.
const RETRY_DELAY: Us = SECOND;

/// A call and its tries.
#[derive(Debug)]
struct Pending {
    call: Call,
    /// The number of times that the call was sent.
    tries: u32,
    /// Whether a final reply was received.
    settled: bool,
}

/// The state of all operators.
#[derive(Debug)]
pub(crate) struct Operators {
    /// The calls of the scenario with their times.
    planned: Vec<(Us, Action)>,
    /// All calls that were sent, by key.
    calls: BTreeMap<u64, Pending>,
    /// The newest configuration version that a reply named.
    version: Version,
    /// The indices of accepted jobs in the scenario.
    accepted: BTreeSet<usize>,
    /// The jobs for which a cancellation was sent.
    cancelled: BTreeSet<Name>,
    /// The number of configuration changes that were sent.
    changes: u32,
}

impl Operators {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let jobs = scenario.jobs.iter();
        let mut planned: Vec<(Us, Action)> = jobs
            .map(|plan| (plan.at, Action::Submit(plan.job.clone())))
            .collect();
        planned.extend(scenario.calls.iter().cloned());
        Self {
            planned,
            calls: BTreeMap::new(),
            version: Version(0),
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            changes: 0,
        }
    }
}

impl Simulation<'_> {
    pub(crate) fn schedule_operators(&mut self) {
        for (index, (at, _)) in self.operators.planned.iter().enumerate() {
            self.queue.schedule_at(*at, Event::PlannedCall(index));
        }
        self.queue.schedule_at(FIRST_CONFIG, Event::Reconfigure);
    }

    pub(crate) fn send_planned(&mut self, index: usize) {
        let action = self.operators.planned[index].1.clone();
        if let Action::Cancel { job } = &action {
            self.fleet.ledger.record_cancellation(job);
            self.operators.cancelled.insert(job.clone());
        }
        self.call(action);
    }

    /// Changes the limit of hedges at regular intervals. In an operator race, two operators send a
    /// change for the same version at the same time.
    pub(crate) fn reconfigure(&mut self) {
        let racing = self.setup.faults.contains(&Fault::OperatorRace);
        let now = self.queue.now();
        let calls = if racing && now > WARM_UP { 2 } else { 1 };
        for _ in 0..calls {
            self.operators.changes += 1;
            let mut document = self.scenario.document();
            document.limits.hedges = 3 + self.operators.changes % 3;
            self.call(Action::Reconfigure {
                expected: self.operators.version,
                document,
                dry_run: false,
            });
        }
        let pause = if racing { 3 * SECOND } else { 10 * SECOND };
        if now < self.scenario.end() {
            self.queue.schedule_after(pause, Event::Reconfigure);
        }
    }

    fn call(&mut self, action: Action) {
        let key = self.operators.calls.len() as u64;
        let id = name(&format!("call-{key}"));
        let call = Call { id, action };
        self.record(Fact::Called { call: call.clone() });
        let pending = Pending {
            call,
            tries: 0,
            settled: false,
        };
        self.operators.calls.insert(key, pending);
        self.send_call(key);
    }

    fn send_call(&mut self, key: u64) {
        let entry = if self.ready_entries.is_empty() {
            self.random.random_range(0..self.entries.len())
        } else {
            self.ready_entries[self.random.random_range(0..self.ready_entries.len())]
        };
        let Some(pending) = self.operators.calls.get_mut(&key) else {
            return;
        };
        pending.tries += 1;
        let tries = pending.tries;
        let client_latency = self.scenario.client_latency;
        self.queue
            .schedule_after(client_latency, Event::OperatorCall(entry, key));
        self.queue
            .schedule_after(REPLY_TIMEOUT, Event::ReplyTimeout(key, tries));
    }

    pub(crate) fn deliver_operator_call(&mut self, entry: usize, key: u64) {
        if self.entries[entry].alive {
            self.schedule_input(entry, 0, Input::OperatorCall(key));
        } else {
            self.queue.schedule_after(
                self.scenario.client_latency,
                Event::OperatorReply(key, None),
            );
        }
    }

    /// Passes a call that reached the entry's process to its control path.
    pub(crate) fn receive_operator_call(&mut self, index: usize, key: u64) {
        let Some(call) = self
            .operators
            .calls
            .get(&key)
            .map(|known| known.call.clone())
        else {
            return;
        };
        let tag = self.entries[index].next_number();
        self.entries[index].operator_calls.insert(tag, key);
        self.step_control(index, control::Event::Operator(tag, call));
    }

    pub(crate) fn resend_call(&mut self, key: u64, tries: u32) {
        let waiting = self.operators.calls.get(&key);
        if waiting.is_some_and(|pending| !pending.settled && pending.tries == tries) {
            self.send_call(key);
        }
    }

    pub(crate) fn receive_reply(&mut self, key: u64, reply: Option<Reply>) {
        let Some(pending) = self.operators.calls.get_mut(&key) else {
            return;
        };
        let action = pending.call.action.clone();
        let retry = match &reply {
            None | Some(Reply::Unknown | Reply::Refused(Refusal::Unavailable)) => true,
            // A cancellation may arrive before the submission is accepted, so it is tried again.
            Some(Reply::Refused(Refusal::Missing)) => {
                matches!(action, Action::Cancel { .. }) && pending.tries < 5
            }
            _ => false,
        };
        let settled = pending.settled || !retry;
        pending.settled = settled;
        let (call, tries) = (pending.call.id.clone(), pending.tries);
        if let Some(reply) = &reply {
            let reply = reply.clone();
            self.record(Fact::Replied { call, reply });
        }
        if !settled {
            return self
                .queue
                .schedule_after(RETRY_DELAY, Event::ReplyTimeout(key, tries));
        }
        self.apply_reply(&action, reply.as_ref());
    }

    fn apply_reply(&mut self, action: &Action, reply: Option<&Reply>) {
        let operators = &mut self.operators;
        match (action, reply) {
            (
                _,
                Some(
                    Reply::Configured { version, .. } | Reply::Refused(Refusal::Conflict(version)),
                ),
            ) => {
                operators.version = operators.version.max(*version);
            }
            (Action::Submit(job), Some(Reply::Accepted)) => {
                let jobs = &self.scenario.jobs;
                let found = jobs.iter().position(|plan| plan.job.name == job.name);
                operators.accepted.extend(found);
            }
            _ => {}
        }
    }

    /// Whether all calls are settled and the table holds the outcome of each accepted task.
    pub(crate) fn all_ended(&self) -> bool {
        let waiting = |pending: &Pending| !pending.settled;
        if self.operators.calls.values().any(waiting) {
            return false;
        }
        let mut accepted = self
            .operators
            .accepted
            .iter()
            .map(|index| &self.scenario.jobs[*index]);
        accepted.all(|plan| {
            let mut tasks = 0..plan.job.tasks;
            tasks.all(|index| {
                self.platform
                    .has_ended(&format!("{}#{index}", plan.job.name))
            })
        })
    }

    /// Sends conflicting calls at the same time: two cancellations of the same job, and a drain of
    /// a worker together with its return to service.
    pub(crate) fn send_conflicting_calls(&mut self) {
        let jobs = &self.scenario.jobs;
        let job = &jobs[self.random.random_range(0..jobs.len())];
        let vms = &self.scenario.vms;
        let vm = vms[self.random.random_range(0..vms.len())].name.clone();
        if job.at + 2 * MS < self.queue.now() {
            let job = job.job.name.clone();
            self.fleet.ledger.record_cancellation(&job);
            self.operators.cancelled.insert(job.clone());
            self.call(Action::Cancel { job: job.clone() });
            self.call(Action::Cancel { job });
        }
        for leave in [true, false] {
            let vm = vm.clone();
            self.call(Action::Drain { vm, leave });
        }
    }
}
