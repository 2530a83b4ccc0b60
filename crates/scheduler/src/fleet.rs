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
use crate::message::Place;
use crate::spec;

/// What a worker's registration says.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
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
    pub born: Ms,
    /// It takes no new tasks.
    pub is_draining: bool,
}

/// An end that the worker keeps until it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub enum Pending {
    /// It may be forgotten.
    Settled,
    /// It may be forgotten when this version of the job's progress is durable.
    Progress(id::Job, u64),
}

/// A worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Its registration, while there is one.
    pub listing: Option<Listing>,
    /// The agent that watches it.
    pub agent: Option<Name>,
    /// The incarnation last seen.
    pub born: Option<Ms>,
    /// Whether it has told this leader what it runs.
    pub is_known: bool,
    /// What its last agent knows of the orders of an earlier leader.
    pub account: Option<Vec<Place>>,
    /// Whether the last look failed.
    pub is_silent: bool,
    /// When its leases have expired if it stays silent.
    pub lapses: Option<Ms>,
    /// Booked by runs, filling ones with their memory only.
    pub booked: Size,
    /// Millicores that filling runs asked for.
    pub filling: u32,
    /// Millicores booked by lasting runs.
    pub serving: u32,
    /// Runs that hold room.
    pub runs: BTreeSet<(Task, Run)>,
    /// Tasks of each step here, for limits of tasks on one worker.
    pub steps: BTreeMap<id::Step, u32>,
    /// Ends seen and not acknowledged.
    pub pending: BTreeMap<u64, Pending>,
    /// Ends up to this number are acknowledged.
    pub acknowledged: u64,
    /// Failed runs in a row.
    pub strikes: u32,
    /// No new tasks before this time.
    pub avoid_until: Ms,
    /// No new filling tasks before this time.
    pub no_filling_until: Ms,
}

impl Worker {
    /// Books room for a run.
    pub fn book(&mut self, step: &spec::Step, task: Task, run: Run) {
        if !self.runs.insert((task, run)) {
            return;
        }
        self.booked = self.booked.plus(counted(step));
        *self.steps.entry(task.step).or_default() += 1;
        if step.is_filling {
            self.filling += step.need.millicores;
        }
        if step.is_lasting {
            self.serving += step.need.millicores;
        }
    }

    /// Gives the room of a run back.
    pub fn free(&mut self, step: &spec::Step, task: Task, run: Run) {
        if !self.runs.remove(&(task, run)) {
            return;
        }
        self.booked = self.booked.minus(counted(step));
        if let Some(count) = self.steps.get_mut(&task.step) {
            *count -= 1;
            if *count == 0 {
                self.steps.remove(&task.step);
            }
        }
        if step.is_filling {
            self.filling = self.filling.saturating_sub(step.need.millicores);
        }
        if step.is_lasting {
            self.serving = self.serving.saturating_sub(step.need.millicores);
        }
    }

    /// Forgets ends of an earlier incarnation.
    pub fn restart(&mut self, born: Ms) {
        self.born = Some(born);
        self.pending.clear();
        self.acknowledged = 0;
        self.strikes = 0;
        self.avoid_until = Ms::ZERO;
    }

    /// Takes out the ends that may be forgotten by now; whether there are any.
    pub fn acknowledge(&mut self, is_durable: impl Fn(id::Job, u64) -> bool) -> bool {
        let before = self.acknowledged;
        while let Some((&number, pending)) = self.pending.first_key_value() {
            let is_settled = match *pending {
                Pending::Settled => true,
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

/// What a task takes from a worker's size.
#[must_use]
pub const fn counted(step: &spec::Step) -> Size {
    if step.is_filling {
        Size {
            millicores: 0,
            ..step.need
        }
    } else {
        step.need
    }
}
