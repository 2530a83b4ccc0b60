//! Selects the waiting steps that one pass considers, and their order.
//!
//! Load: any number of steps may wait, and many of them for ever, because nothing has room for them.
//! A pass considers the most urgent ones, and some of the others in turn.

use std::ops::Bound;

use decision::clock::Ms;

use super::Leader;
use super::Rank;
use crate::age;
use crate::id;

/// The most steps that a pass considers by their urgency.
const MAX_URGENT_STEPS: usize = 2_048;
/// The most steps that a pass considers in turn. Most of them are like one without room and cost
/// little.
const MAX_STEPS_IN_TURN: usize = 512;
/// The time that the rest of a job is expected to take beyond its estimate, in percent. Tasks differ,
/// and filling ones are slowed down now and then. Under overload, most steps start as late as they
/// may, and those that take longer than estimated would miss their objectives.
const EXPECTED_DELAY_PERCENT: u64 = 30;

impl Leader {
    /// Returns the waiting steps in order of urgency, or the most urgent ones of very many. Within a
    /// priority, steps that can still meet the objective come before those that cannot, so that new
    /// jobs after a burst are on time instead of all jobs being late.
    pub(super) fn by_urgency(&self, now: Ms) -> Vec<(Rank, id::Step)> {
        if self.waiting.len() > MAX_URGENT_STEPS {
            return self.most_urgent(now);
        }
        let mut waiting: Vec<(Rank, id::Step)> = self.waiting.iter().copied().collect();
        waiting.sort_by_cached_key(|&(rank, step)| (rank.priority, self.is_late(now, rank, step)));
        waiting
    }

    /// Returns the [`MAX_URGENT_STEPS`] most urgent steps without examining all that wait.
    fn most_urgent(&self, now: Ms) -> Vec<(Rank, id::Step)> {
        let mut urgent = Vec::with_capacity(MAX_URGENT_STEPS);
        let mut next = self.waiting.first();
        while let Some(&(Rank { priority, .. }, _)) = next {
            let first = (
                Rank {
                    priority,
                    latest_start: Ms::ZERO,
                    row: 0,
                },
                id::Step::default(),
            );
            let first_on_time = (
                Rank {
                    priority,
                    latest_start: age::shifted(now),
                    row: 0,
                },
                id::Step::default(),
            );
            let is_same = |&&(rank, _): &&(Rank, id::Step)| rank.priority == priority;
            let on_time = self.waiting.range(first_on_time..).take_while(is_same);
            let on_time = on_time.filter(|&&(rank, step)| !self.is_late(now, rank, step));
            let late = self.waiting.range(first..).take_while(is_same);
            let late = late.filter(|&&(rank, step)| self.is_late(now, rank, step));
            urgent.extend(on_time.chain(late).take(MAX_URGENT_STEPS - urgent.len()));
            if urgent.len() == MAX_URGENT_STEPS {
                break;
            }
            let last = (
                Rank {
                    priority,
                    latest_start: Ms(u64::MAX),
                    row: u64::MAX,
                },
                LAST_STEP,
            );
            let later = (Bound::Excluded(last), Bound::Unbounded);
            next = self.waiting.range(later).next();
        }
        urgent
    }

    /// Returns some of the waiting steps, from the one after the last that was tried in turn.
    pub(super) fn next_in_turn(&self) -> Vec<(Rank, id::Step)> {
        let from = self.last_in_turn.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.waiting.range((from, Bound::Unbounded));
        let until = self.last_in_turn.map_or(Bound::Unbounded, Bound::Included);
        let earlier = self.waiting.range((Bound::Unbounded, until));
        let all = later.chain(earlier);
        let distinct = all.take(MAX_STEPS_IN_TURN.min(self.waiting.len()));
        distinct.copied().collect()
    }

    /// Returns whether a step that starts now is likely to miss the objective of its job.
    fn is_late(&self, now: Ms, rank: Rank, step: id::Step) -> bool {
        let job = self.jobs.get(&step.job);
        let remaining = job.and_then(|job| job.remaining.get(usize::from(step.step)));
        let delay = remaining.map_or(0, |it| it.0 * EXPECTED_DELAY_PERCENT / 100);
        rank.latest_start < age::shifted(now) + Ms(delay)
    }
}

/// A step that sorts after all others of its rank.
const LAST_STEP: id::Step = id::Step {
    job: id::Job(u64::MAX),
    occurrence: u32::MAX,
    step: u16::MAX,
};
