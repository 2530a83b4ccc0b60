//! Keeps ended jobs for as long as customers may ask for them, and removes their rows afterwards.
//!
//! The times of day of two entries differ, and each may jump by seconds. The retention time is
//! therefore measured on the monotonic clock of the leader, from when it knows that the end is
//! durable. Of a job that ended under an earlier leader, the age by the time of day counts as far as
//! both clocks can be trusted, so that rows are also removed where no leader lasts for that time.

use decision::clock::Ms;

use super::Leader;
use crate::id;
use crate::job;

/// The most by which the difference between two times of day, read at different times or on
/// different entries, may exceed the time that has passed. It also covers the time from the end of a
/// job until the store confirmed it.
const CLOCK_TOLERANCE: Ms = Ms(60_000);

impl Leader {
    /// Begins the retention time of a job whose end has just become durable.
    pub(super) fn retain_ended_job(&mut self, now: Ms, id: id::Job) {
        let is_durable = |job: &job::Job| job.has_ended() && job.committed == job.version;
        if self.jobs.get(&id).is_some_and(is_durable) {
            self.retained.insert((now + self.bounds.retention, id));
        }
    }

    /// Begins what is left of the retention time of the jobs that ended under earlier leaders.
    fn retain_inherited_jobs(&mut self, now: Ms) {
        for (id, ended_at) in std::mem::take(&mut self.inherited_ends) {
            let age = self.unix.since(ended_at).since(CLOCK_TOLERANCE);
            let left = self.bounds.retention.since(age);
            self.retained.insert((now + left, id));
        }
    }

    /// Removes the jobs whose retention time is over, and schedules the removal of their rows.
    pub(super) fn remove_expired_jobs(&mut self, now: Ms) {
        self.retain_inherited_jobs(now);
        self.drop_forgotten_jobs(now);
        while let Some(&(until, id)) = self.retained.first() {
            if now <= until {
                return;
            }
            self.retained.pop_first();
            let durable = self
                .jobs
                .get(&id)
                .filter(|job| job.committed == job.version);
            // Otherwise the commit of the later progress begins the retention time anew.
            if let Some(row) = durable.map(|job| job.row_version) {
                self.jobs.remove(&id);
                self.forgotten.insert(id, row);
                self.removable.push(id);
                self.log(format!("kind=job-removed job={id} reason=retention-over"));
            }
        }
    }

    /// Drops the versions of rows that were removed so long ago that no read can still return them.
    fn drop_forgotten_jobs(&mut self, now: Ms) {
        while let Some(&(at, id)) = self.removed.first() {
            if now.since(at) <= self.bounds.retention {
                return;
            }
            self.removed.pop_first();
            self.forgotten.remove(&id);
        }
    }
}
