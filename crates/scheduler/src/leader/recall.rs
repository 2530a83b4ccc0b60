//! Keeps what acknowledged ends tell of jobs that this leader does not know.
//!
//! A leader that has read all rows does not know a job only if the job was removed, or if no leader
//! has started it: earlier ones start no job whose row is newer than the row of the next leader. So
//! the ends of unknown jobs are acknowledged after a while, since a worker discards its ends in
//! order. A worker forgets an end that is acknowledged; if a row arrives late all the same, the
//! leader still knows the end. Jobs whose rows cannot be read keep their ends on the worker.

use std::collections::BTreeMap;

use decision::clock::Ms;

use super::Leader;
use crate::id;
use crate::message::End;
use crate::message::Termination;

/// The most ends of unknown jobs that are kept. Further ones are not acknowledged.
const MAX_KEPT: usize = 20_000;

/// The ends of unknown jobs that were acknowledged.
#[derive(Clone, Debug, Default)]
pub(super) struct Recall {
    ends: BTreeMap<id::Job, Vec<End>>,
    count: usize,
}

impl Recall {
    /// Returns whether another end can be kept.
    pub(super) const fn has_room(&self) -> bool {
        self.count < MAX_KEPT
    }

    /// Keeps an end if its task must not forget it.
    pub(super) fn keep(&mut self, end: &End) {
        if !matches!(end.termination, Termination::Done | Termination::Failed) {
            return;
        }
        self.ends
            .entry(end.task.step.job)
            .or_default()
            .push(end.clone());
        self.count += 1;
    }

    fn take(&mut self, id: id::Job) -> Vec<End> {
        let ends = self.ends.remove(&id).unwrap_or_default();
        self.count -= ends.len();
        ends
    }
}

impl Leader {
    /// Applies the acknowledged ends of a job that has become known.
    pub(super) fn apply_recalled_ends(&mut self, now: Ms, id: id::Job) {
        for end in self.recall.take(id) {
            let task = end.task;
            self.discover_occurrence(task.step);
            self.log(format!(
                "kind=end-recalled task={task} run={} how={:?}",
                end.run, end.termination
            ));
            if end.termination == Termination::Failed {
                let failures = self.count_failure(&end);
                self.fail_exhausted_job(now, id, failures);
            } else if self.complete_tasks(task) {
                self.finish_step(now, task.step);
            }
            self.schedule_write(id);
        }
    }
}
