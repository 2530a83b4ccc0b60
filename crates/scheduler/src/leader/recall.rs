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

/// The most ends of unknown jobs that are kept. The oldest ones are dropped beyond that, because an end
/// that is never acknowledged would hide all later ends of its worker.
const MAX_KEPT: usize = 20_000;

/// The ends of unknown jobs that were acknowledged.
#[derive(Clone, Debug, Default)]
pub(super) struct Recall {
    /// The ends in the order in which they were kept.
    ends: BTreeMap<u64, End>,
    /// The positions of the ends of each job.
    by_job: BTreeMap<id::Job, Vec<u64>>,
    /// The position of the next end.
    next: u64,
}

impl Recall {
    /// Keeps an end if its task must not forget it.
    pub(super) fn keep(&mut self, end: &End) {
        if !matches!(end.termination, Termination::Done | Termination::Failed) {
            return;
        }
        self.ends.insert(self.next, end.clone());
        let positions = self.by_job.entry(end.task.step.job).or_default();
        positions.push(self.next);
        self.next += 1;
        if self.ends.len() > MAX_KEPT {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((position, end)) = self.ends.pop_first() else {
            return;
        };
        let job = end.task.step.job;
        if let Some(positions) = self.by_job.get_mut(&job) {
            positions.retain(|&other| other != position);
            if positions.is_empty() {
                self.by_job.remove(&job);
            }
        }
    }

    fn take(&mut self, id: id::Job) -> Vec<End> {
        let positions = self.by_job.remove(&id).unwrap_or_default();
        let ends = positions.iter();
        ends.filter_map(|position| self.ends.remove(position))
            .collect()
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
