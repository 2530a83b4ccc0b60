//! Operators: submissions, cancellations, drains and reconfigurations, sent until they are settled.

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

use crate::agenda::MS;
use crate::agenda::SECOND;
use crate::agenda::Us;
use crate::case::Fault;
use crate::scene::Scene;
use crate::scene::WARM_UP;
use crate::scene::name;
use crate::world::Happening;
use crate::world::Inside;
use crate::world::World;

/// When the first configuration is set.
const FIRST: Us = 2 * SECOND;

/// A call without a reply is sent again after this time.
const REPLY: Us = 5 * SECOND;

/// A call that cannot be accepted now is sent again after this time.
const AGAIN: Us = SECOND;

#[derive(Debug)]
struct Pending {
    call: Call,
    tries: u32,
    settled: bool,
}

/// All operators.
#[derive(Debug)]
pub(crate) struct Operators {
    planned: Vec<(Us, Action)>,
    calls: BTreeMap<u64, Pending>,
    version: Version,
    accepted: BTreeSet<usize>,
    cancelled: BTreeSet<Name>,
    changes: u32,
}

impl Operators {
    pub(crate) fn new(scene: &Scene) -> Self {
        let jobs = scene.jobs.iter();
        let mut planned: Vec<(Us, Action)> = jobs
            .map(|plan| (plan.at, Action::Submit(plan.job.clone())))
            .collect();
        planned.extend(scene.calls.iter().cloned());
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

impl World<'_> {
    pub(crate) fn plan_operators(&mut self) {
        for (index, (at, _)) in self.operators.planned.iter().enumerate() {
            self.agenda.put(*at, Happening::Planned(index));
        }
        self.agenda.put(FIRST, Happening::Reconfigure);
    }

    pub(crate) fn planned(&mut self, index: usize) {
        let action = self.operators.planned[index].1.clone();
        if let Action::Cancel { job } = &action {
            self.fleet.ledger.cancel(job);
            self.operators.cancelled.insert(job.clone());
        }
        self.call(action);
    }

    /// One operator changes the limits now and then; in a race two do so at the same time.
    pub(crate) fn reconfigure(&mut self) {
        let racing = self.setup.faults.contains(&Fault::OperatorRace);
        let now = self.agenda.now();
        let calls = if racing && now > WARM_UP { 2 } else { 1 };
        for _ in 0..calls {
            self.operators.changes += 1;
            let mut document = self.scene.document();
            document.limits.hedges = 3 + self.operators.changes % 3;
            self.call(Action::Reconfigure {
                expected: self.operators.version,
                document,
                dry_run: false,
            });
        }
        let pause = if racing { 3 * SECOND } else { 10 * SECOND };
        if now < self.scene.end() {
            self.agenda.after(pause, Happening::Reconfigure);
        }
    }

    fn call(&mut self, action: Action) {
        let key = self.operators.calls.len() as u64;
        let id = name(&format!("call-{key}"));
        let call = Call { id, action };
        self.see(Fact::Called { call: call.clone() });
        let pending = Pending {
            call,
            tries: 0,
            settled: false,
        };
        self.operators.calls.insert(key, pending);
        self.send_call(key);
    }

    fn send_call(&mut self, key: u64) {
        let entry = if self.balanced.is_empty() {
            self.random.random_range(0..self.entries.len())
        } else {
            self.balanced[self.random.random_range(0..self.balanced.len())]
        };
        let Some(pending) = self.operators.calls.get_mut(&key) else {
            return;
        };
        pending.tries += 1;
        let tries = pending.tries;
        let client = self.scene.client;
        self.agenda.after(client, Happening::Operate(entry, key));
        self.agenda.after(REPLY, Happening::Impatient(key, tries));
    }

    pub(crate) fn reach_operator(&mut self, entry: usize, key: u64) {
        if self.entries[entry].alive {
            self.inside(entry, 0, Inside::Operated(key));
        } else {
            self.agenda
                .after(self.scene.client, Happening::Replied(key, None));
        }
    }

    /// The call is inside the entry's process.
    pub(crate) fn operated(&mut self, index: usize, key: u64) {
        let Some(call) = self
            .operators
            .calls
            .get(&key)
            .map(|known| known.call.clone())
        else {
            return;
        };
        let tag = self.entries[index].number();
        self.entries[index].operating.insert(tag, key);
        self.step_control(index, control::Event::Operator(tag, call));
    }

    pub(crate) fn impatient(&mut self, key: u64, tries: u32) {
        let waiting = self.operators.calls.get(&key);
        if waiting.is_some_and(|pending| !pending.settled && pending.tries == tries) {
            self.send_call(key);
        }
    }

    pub(crate) fn replied(&mut self, key: u64, reply: Option<Reply>) {
        let Some(pending) = self.operators.calls.get_mut(&key) else {
            return;
        };
        let action = pending.call.action.clone();
        let again = match &reply {
            None | Some(Reply::Unknown | Reply::Refused(Refusal::Unavailable)) => true,
            // A cancellation may arrive before the submission has been accepted.
            Some(Reply::Refused(Refusal::Missing)) => {
                matches!(action, Action::Cancel { .. }) && pending.tries < 5
            }
            _ => false,
        };
        let settled = pending.settled || !again;
        pending.settled = settled;
        let (call, tries) = (pending.call.id.clone(), pending.tries);
        if let Some(reply) = &reply {
            let reply = reply.clone();
            self.see(Fact::Replied { call, reply });
        }
        if !settled {
            return self.agenda.after(AGAIN, Happening::Impatient(key, tries));
        }
        self.learn(&action, reply.as_ref());
    }

    fn learn(&mut self, action: &Action, reply: Option<&Reply>) {
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
                let jobs = &self.scene.jobs;
                let found = jobs.iter().position(|plan| plan.job.name == job.name);
                operators.accepted.extend(found);
            }
            _ => {}
        }
    }

    /// Whether no operator waits and each accepted task has a stored end.
    pub(crate) fn all_ended(&self) -> bool {
        let waiting = |pending: &Pending| !pending.settled;
        if self.operators.calls.values().any(waiting) {
            return false;
        }
        let mut accepted = self
            .operators
            .accepted
            .iter()
            .map(|index| &self.scene.jobs[*index]);
        accepted.all(|plan| {
            let mut tasks = 0..plan.job.tasks;
            tasks.all(|index| self.platform.ended(&format!("{}#{index}", plan.job.name)))
        })
    }

    /// An additional wave of conflicting calls: the same job is cancelled twice, and the same
    /// worker is drained and returned at once.
    pub(crate) fn conflict(&mut self) {
        let jobs = &self.scene.jobs;
        let job = &jobs[self.random.random_range(0..jobs.len())];
        let vms = &self.scene.vms;
        let vm = vms[self.random.random_range(0..vms.len())].name.clone();
        if job.at + 2 * MS < self.agenda.now() {
            let job = job.job.name.clone();
            self.fleet.ledger.cancel(&job);
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
