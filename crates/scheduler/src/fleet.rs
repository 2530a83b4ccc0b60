//! Workers as the leader knows them.

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
use crate::message::Placement;
use crate::spec;

/// What a worker's registration says.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: Name,
    /// What it has.
    pub size: Size,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// When this incarnation started, in ms since 1970.
    pub incarnation: Ms,
    /// It takes no new tasks.
    pub is_draining: bool,
}

/// An end that the worker keeps until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub enum Pending {
    /// It may be forgotten.
    Settled,
    /// Its job is not known, since this time: the row may be on the way.
    Unknown(Ms),
    /// It may be forgotten when this version of the job's progress is durable.
    Progress(id::Job, u64),
}

/// What the tasks of a step take from a worker.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// What counts against the worker's size: of filling tasks no processors.
    pub size: Size,
    /// The processors asked for, in thousandths of a core.
    pub millicores: u32,
    /// How the tasks share the worker.
    pub class: Class,
    /// What they run.
    pub image: Image,
}

/// How tasks share a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Class {
    /// They use what they asked for.
    Plain,
    /// They use processor time that others leave.
    Filling,
    /// They answer their own users, with a tail of this limit in ms, if there is one.
    Serving(Option<f64>),
}

impl Claim {
    /// The claim of a step.
    #[must_use]
    pub fn new(step: &spec::Step, model: &mut Model) -> Self {
        #[expect(
            clippy::cast_precision_loss,
            reason = "a limit of response times is far below the precision of a float"
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

/// Serving tasks of one image on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingGroup {
    /// How many there are.
    pub count: u32,
}

/// A worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Its registration, while there is one.
    pub registration: Option<Registration>,
    /// Its last registration said that it drains.
    pub was_draining: bool,
    /// The agent that watches it.
    pub agent: Option<Name>,
    /// The incarnation last seen.
    pub incarnation: Option<Ms>,
    /// Whether it has reported to this leader what it runs.
    pub is_known: bool,
    /// What its last agent knows of the orders of an earlier leader.
    pub reported_runs: Option<Vec<Placement>>,
    /// Whether the last look failed.
    pub is_unresponsive: bool,
    /// Leases that earlier agents renewed may last until then.
    pub min_lease_expiry: Ms,
    /// When its leases have expired if it stays silent.
    pub lease_expiry: Option<Ms>,
    /// Booked by runs, filling ones with their memory only.
    pub booked: Size,
    /// Millicores that filling runs asked for.
    pub filling_millicores: u32,
    /// Millicores booked by lasting runs.
    pub serving_millicores: u32,
    /// Millicores that filling runs asked for, by image.
    pub filling_by_image: BTreeMap<Image, u32>,
    /// By how much the least slack of each serving image differed from what was expected at the last
    /// look: the load of serving tasks swings.
    pub residuals: BTreeMap<Image, f64>,
    /// Serving runs with a limit, by image.
    pub serving_groups: BTreeMap<Image, ServingGroup>,
    /// Runs that hold room.
    pub runs: BTreeSet<(Task, Run)>,
    /// Runs of jobs that the leader has not learned of; their size is not known.
    pub unknown_runs: BTreeSet<(Task, Run)>,
    /// Tasks of each step here, for limits of tasks on one worker.
    pub steps: BTreeMap<id::Step, u32>,
    /// Ends seen and not acknowledged.
    pub pending: BTreeMap<u64, Pending>,
    /// Ends up to this number are acknowledged.
    pub acknowledged: u64,
    /// Failed runs in a row.
    pub consecutive_failures: u32,
    /// No new tasks before this time.
    pub avoid_until: Ms,
    /// Until then its tasks count as slowed by the worker itself.
    pub slow_until: Ms,
    /// Serving tasks are over their limits, so that it takes no new filling tasks.
    pub is_halted: bool,
}

impl Worker {
    /// Books room for a run.
    pub fn book(&mut self, claim: &Claim, task: Task, run: Run) {
        if !self.runs.insert((task, run)) {
            return;
        }
        self.booked = self.booked.plus(claim.size);
        *self.steps.entry(task.step).or_default() += 1;
        match claim.class {
            Class::Plain => {}
            Class::Filling => {
                self.filling_millicores += claim.millicores;
                *self.filling_by_image.entry(claim.image).or_default() += claim.millicores;
            }
            Class::Serving(limit) => {
                self.serving_millicores += claim.millicores;
                if limit.is_some() {
                    self.serving_groups.entry(claim.image).or_default().count += 1;
                }
            }
        }
    }

    /// Gives the room of a run back.
    pub fn free(&mut self, claim: &Claim, task: Task, run: Run) {
        if !self.runs.remove(&(task, run)) {
            return;
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

    /// Forgets ends of an earlier incarnation.
    pub fn restart(&mut self, incarnation: Ms) {
        self.incarnation = Some(incarnation);
        self.pending.clear();
        self.unknown_runs.clear();
        self.acknowledged = 0;
        self.consecutive_failures = 0;
        self.avoid_until = Ms::ZERO;
        self.slow_until = Ms::ZERO;
    }

    /// Takes out the ends that may be forgotten by now; whether there are any.
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
