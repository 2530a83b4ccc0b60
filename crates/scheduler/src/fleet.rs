//! The state of the workers as the leader knows it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use decision::clock::Ms;
use decision::name::Name;
use decision::resource::Size;

use crate::id;
use crate::id::Run;
use crate::id::Task;
use crate::interference::Image;
use crate::interference::Model;
use crate::over::Lapse;
use crate::over::Over;
use crate::renewals::Renewals;
use crate::spec;

/// The registration of a worker in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The service that the worker belongs to.
    pub service: Name,
    /// The address at which it accepts calls, as `host:port`.
    pub address: Arc<str>,
    /// The failure domain of the worker.
    pub domain: Name,
    /// The total resources of the worker.
    pub size: Size,
    /// The labels of the worker. They include its kind, and the last one is its rack.
    pub labels: Vec<Name>,
    /// The time when this incarnation of the worker started, in ms since 1970, which identifies it.
    pub incarnation: Ms,
    /// The worker accepts no new tasks.
    pub is_draining: bool,
}

/// The state of an end that the worker keeps until the leader acknowledges it.
#[derive(Clone, Copy, Debug)]
pub enum Pending {
    /// The worker may discard it.
    Settled,
    /// Its job has been unknown since this time; the row of the job may still arrive.
    Unknown(Ms),
    /// The worker may discard it when this version of the job's progress is durable.
    Progress(id::Job, u64),
}

/// The resources that one task of a step takes from a worker.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The amount booked against the worker's size. It contains no processors for filling tasks.
    pub size: Size,
    /// The processors that the task requests, in thousandths of a core.
    pub millicores: u32,
    /// How the task shares the worker with others.
    pub class: Class,
    /// The image that the task runs, for which interference is learned.
    pub image: Image,
}

/// The ways in which tasks share a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Class {
    /// The task uses the resources that it requested.
    Plain,
    /// The task uses processor time that other tasks leave unused.
    Filling,
    /// The task runs until its job is cancelled and serves requests; the value is the limit of its
    /// tail latency in ms, if the customer set one.
    Serving(Option<f64>),
}

impl Claim {
    /// Creates the claim of one task of a step.
    #[must_use]
    pub fn new(step: &spec::Step, model: &mut Model) -> Self {
        #[expect(
            clippy::cast_precision_loss,
            reason = "latency limits in ms are exact in an f64"
        )]
        let class = if step.is_filling {
            Class::Filling
        } else if step.is_lasting {
            Class::Serving(step.tail_limit.map(|limit| limit.0.max(1) as f64))
        } else {
            Class::Plain
        };
        let size = if step.is_filling {
            Size {
                millicores: 0,
                ..step.need
            }
        } else {
            step.need
        };
        Self {
            size,
            millicores: step.need.millicores,
            class,
            image: model.image(step.image.as_ref()),
        }
    }
}

/// The serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingGroup {
    /// The number of such tasks.
    pub count: u32,
}

/// How the incarnation of a worker that answers relates to the one that answered before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Life {
    /// It is the same.
    Same,
    /// It began later, so the other one has ended.
    Later,
    /// It is another one, and either may be the later one.
    Unclear,
}

/// The state of a worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// The current registration; absent if the worker has none.
    pub registration: Option<Registration>,
    /// The last incarnation that was registered as draining, which leaves without a crash.
    pub drained: Option<Ms>,
    /// The entry whose agent polls the worker; absent while no agent is connected.
    pub agent: Option<Name>,
    /// The number of the present watch; [`id::Watch::NONE`] while no agent polls the worker.
    pub watch: id::Watch,
    /// The incarnation that was observed last; absent until the worker has answered.
    pub incarnation: Option<Ms>,
    /// The highest incarnation that was ever observed.
    pub highest_incarnation: Ms,
    /// The watch under which the incarnation that was observed last has answered.
    pub answered_under: id::Watch,
    /// An earlier leader may have started tasks on the worker.
    pub is_inherited: bool,
    /// The runs on the worker are known: it has answered this leader, after which it refuses the
    /// orders of earlier ones, or all leases have expired.
    pub is_known: bool,
    /// The last poll got no answer.
    pub is_unresponsive: bool,
    /// What is known of the renewals of its lease.
    pub renewals: Renewals,
    /// The time when the worker's address first refused connections since the worker last answered,
    /// or another worker answered there.
    pub refused_since: Option<Ms>,
    /// The time when the last answer to a poll arrived.
    pub last_answer: Ms,
    /// The time when the worker may last have become able to take a task that it could not take
    /// before, other than by the passing of time.
    pub improved_at: Ms,
    /// The time when a run was last booked.
    pub last_start: Ms,
    /// Only tasks of this job that may crash the worker start there before this time.
    pub trial: Option<(id::Job, Ms)>,
    /// All leases have expired since the worker last answered.
    pub has_lapsed: bool,
    /// The worker has never answered this leader: a poll failed after all leases had expired, so
    /// nothing runs on it.
    pub is_unreached: bool,
    /// The resources booked by runs; those of filling runs contain no processors.
    pub booked: Size,
    /// The millicores that filling runs requested.
    pub filling_millicores: u32,
    /// The millicores booked by long-running runs.
    pub serving_millicores: u32,
    /// The millicores that filling runs requested, by image.
    pub filling_by_image: BTreeMap<Image, u32>,
    /// The difference between the lowest slack and the expected one at the last poll, by serving
    /// image. It accounts for the fluctuating load of serving tasks.
    pub residuals: BTreeMap<Image, f64>,
    /// The serving tasks with a latency limit, by image.
    pub serving_groups: BTreeMap<Image, ServingGroup>,
    /// The runs that hold resources.
    pub runs: BTreeSet<(Task, Run)>,
    /// The runs whose jobs the leader does not know, so that their size is unknown.
    pub unknown_runs: BTreeSet<(Task, Run)>,
    /// The number of tasks of each step on the worker, to enforce limits per worker.
    pub steps: BTreeMap<id::Step, u32>,
    /// The ends that were reported but not acknowledged, by number.
    pub pending: BTreeMap<u64, Pending>,
    /// The number up to which ends are acknowledged.
    pub acknowledged: u64,
    /// The number of runs that failed since one last completed.
    pub consecutive_failures: u32,
    /// The worker gets no new tasks before this time.
    pub avoid_until: Ms,
    /// The worker counts as slow until this time, so that new tasks avoid it.
    pub slow_until: Ms,
    /// Serving tasks exceed their limits, so the worker gets no new filling tasks.
    pub is_halted: bool,
}

impl Worker {
    /// Books the resources of a run; a booked run is not booked again.
    pub fn book(&mut self, claim: &Claim, task: Task, run: Run) {
        if !self.runs.insert((task, run)) {
            return;
        }
        self.booked = self.booked.plus(claim.size);
        *self.steps.entry(task.step).or_default() += 1;
        match claim.class {
            Class::Plain => {}
            Class::Filling => {
                self.filling_millicores = self.filling_millicores.saturating_add(claim.millicores);
                let load = self.filling_by_image.entry(claim.image).or_default();
                *load = load.saturating_add(claim.millicores);
            }
            Class::Serving(limit) => {
                self.serving_millicores = self.serving_millicores.saturating_add(claim.millicores);
                if limit.is_some() {
                    self.serving_groups.entry(claim.image).or_default().count += 1;
                }
            }
        }
    }

    /// Frees the resources of a run that is over, if they are booked.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a proof is used up by what it permits"
    )]
    pub fn free(&mut self, claim: &Claim, over: Over) {
        let task = over.task();
        if !self.runs.remove(&(task, over.run())) {
            return;
        }
        let job = task.step.job;
        let is_last = !self.runs.iter().any(|(other, _)| other.step.job == job);
        if is_last && self.trial.is_some_and(|(on_trial, _)| on_trial == job) {
            self.trial = None;
        }
        self.booked = self.booked.minus(claim.size);
        if let Some(count) = self.steps.get_mut(&task.step) {
            *count -= 1;
            if *count == 0 {
                self.steps.remove(&task.step);
            }
        }
        match claim.class {
            Class::Plain => {}
            Class::Filling => {
                self.filling_millicores = self.filling_millicores.saturating_sub(claim.millicores);
                if let Some(load) = self.filling_by_image.get_mut(&claim.image) {
                    *load = load.saturating_sub(claim.millicores);
                    if *load == 0 {
                        self.filling_by_image.remove(&claim.image);
                    }
                }
            }
            Class::Serving(_) => {
                self.serving_millicores = self.serving_millicores.saturating_sub(claim.millicores);
                if let Some(group) = self.serving_groups.get_mut(&claim.image) {
                    group.count -= 1;
                    if group.count == 0 {
                        self.serving_groups.remove(&claim.image);
                    }
                }
            }
        }
    }

    /// Returns the job whose tasks are on trial on the worker; tasks of others do not start there.
    #[must_use]
    pub fn trial_job(&self, now: Ms) -> Option<id::Job> {
        let (job, until) = self.trial?;
        (now < until).then_some(job)
    }

    /// Returns whether runs of an earlier leader may be on the worker that this leader has not seen.
    #[must_use]
    pub const fn is_unheard(&self) -> bool {
        self.is_inherited && !self.is_known
    }

    /// Returns whether the worker has no runs, and no ends whose effect is not durable yet. The next
    /// leader must poll it to learn of either.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.runs.is_empty() && self.unknown_runs.is_empty() && self.pending.is_empty()
    }

    /// Ends the present watch, if there is one. Its agent may renew the lease until this time.
    pub fn end_watch(&mut self, last_renewal: Ms) {
        if !self.watch.is_none() {
            self.watch = id::Watch::NONE;
            self.renewals.include(last_renewal);
        }
    }

    /// Records that others may have renewed the lease until this time, and that no poll of the present
    /// watch is known to renew it.
    pub fn hold_until(&mut self, renewal: Ms) {
        self.renewals.include(renewal);
        self.renewals.expect_none_after(renewal);
    }

    /// Records that all leases have expired, so that nothing runs on the worker.
    pub fn record_lapse(&mut self, _lapse: Lapse) {
        self.is_known = true;
        self.is_unresponsive = true;
        self.renewals.continue_renewing();
        self.has_lapsed = true;
    }

    /// Compares the incarnation that has answered a poll of a watch with the one that was observed
    /// last. Incarnations are times of the worker's clock, which may have been set back, so only one
    /// that is higher than all others is later by itself. Any other is later if the one before has not
    /// answered under this watch: all polls of a watch are sent after it begins.
    #[must_use]
    pub fn compare_life(&self, watch: id::Watch, incarnation: Ms) -> Life {
        let is_later_watch = !watch.is_none() && watch != self.answered_under;
        match self.incarnation {
            None => Life::Later,
            Some(last) if last == incarnation => Life::Same,
            Some(_) if incarnation > self.highest_incarnation || is_later_watch => Life::Later,
            Some(_) => Life::Unclear,
        }
    }

    /// Records an answer of the incarnation that was observed last.
    pub const fn record_answer(&mut self, now: Ms, watch: id::Watch) {
        self.last_answer = now;
        self.refused_since = None;
        self.answered_under = watch;
    }

    /// Resets the state of an earlier incarnation.
    pub fn restart(&mut self, incarnation: Ms) {
        self.incarnation = Some(incarnation);
        self.highest_incarnation = self.highest_incarnation.max(incarnation);
        self.pending.clear();
        self.unknown_runs.clear();
        self.acknowledged = 0;
        self.consecutive_failures = 0;
        self.avoid_until = Ms::ZERO;
        self.slow_until = Ms::ZERO;
        self.trial = None;
    }

    /// Removes the ends that the worker may discard by now, and returns whether there were any.
    pub fn acknowledge(&mut self, is_durable: impl Fn(id::Job, u64) -> bool) -> bool {
        let before = self.acknowledged;
        while let Some((&number, pending)) = self.pending.first_key_value() {
            let is_settled = match *pending {
                Pending::Settled => true,
                Pending::Unknown(_) => false,
                Pending::Progress(job, version) => is_durable(job, version),
            };
            if !is_settled {
                break;
            }
            self.pending.remove(&number);
            self.acknowledged = self.acknowledged.max(number);
        }
        self.acknowledged > before
    }
}
