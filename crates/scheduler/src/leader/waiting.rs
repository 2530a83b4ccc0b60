//! Selects the waiting steps that one pass considers, and their order.
//!
//! Load: any number of steps may wait, and many of them for ever, because nothing has room for them.
//! A pass considers the most urgent ones, and some of the others in turn.
//!
//! Load: a burst beyond the capacity, then steady work close to the capacity, while leaders change
//! each few seconds. Within a priority, steps that can still meet their objective come before late
//! ones, so that the work after the burst is on time. That alone leaves to the burst what the steady
//! work does not need, which may be nothing. So overdue steps come first in some slices of time, the
//! more the later they are. The slices follow from the clock alone; no change of the leader shifts
//! them. Work that takes the fleet `b` seconds then waits for some `sqrt(2 * b * FULL_LATENESS)`, because
//! its share of the starts grows until it is begun. This holds for steps that fit where a task ends;
//! nothing keeps room free for larger ones. The price is paid by new work, of which that share may be
//! late where the steady work leaves no capacity; a shorter wait of the burst would cost more of it.

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
/// A step is overdue this long after its latest start.
const OVERDUE_AFTER: Ms = Ms(10_000);
/// The lateness of a step that would come first all the time. The share of the time in which an overdue
/// step comes first grows with its lateness, up to [`age::MAX`].
const FULL_LATENESS: Ms = Ms(1_000_000);
/// The length of a slice of time. A pass takes place in each of them.
const SLICE_MS: u64 = 50;
/// The most overdue steps that come first, if very many steps wait.
const MAX_OVERDUE_FIRST: usize = MAX_URGENT_STEPS / 2;

impl Leader {
    /// Returns the waiting steps in order of urgency, or the most urgent ones of very many. Within a
    /// priority, steps that can still meet the objective come before those that cannot, except in the
    /// turns of overdue ones.
    pub(super) fn by_urgency(&self, now: Ms) -> Vec<(Rank, id::Step)> {
        if self.waiting.len() > MAX_URGENT_STEPS {
            return self.most_urgent(now);
        }
        let mut waiting: Vec<(Rank, id::Step)> = self.waiting.iter().copied().collect();
        waiting.sort_by_cached_key(|&(rank, step)| {
            let is_first = comes_first(now, rank);
            (rank.priority, !is_first, self.is_late(now, rank, step))
        });
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
            let overdue = self.waiting.range(first..).take_while(is_same);
            let overdue = overdue.take_while(|&&(rank, _)| comes_first(now, rank));
            let room = MAX_OVERDUE_FIRST.min(MAX_URGENT_STEPS - urgent.len());
            let begin = urgent.len();
            urgent.extend(overdue.take(room));
            let first_late = match urgent[begin..].last() {
                Some(&last) => Bound::Excluded(last),
                None => Bound::Included(first),
            };
            let on_time = self.waiting.range(first_on_time..).take_while(is_same);
            let on_time = on_time.filter(|&&(rank, step)| !self.is_late(now, rank, step));
            let late = self.waiting.range((first_late, Bound::Unbounded));
            let late = late.take_while(is_same);
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
        let delay = remaining.map_or(0, |it| it.0.saturating_mul(EXPECTED_DELAY_PERCENT) / 100);
        rank.latest_start < age::shifted(now) + Ms(delay)
    }
}

/// Returns whether a step is overdue, and comes before the steps that are on time at this time.
pub(super) fn comes_first(now: Ms, rank: Rank) -> bool {
    let lateness = age::shifted(now).since(rank.latest_start).min(age::MAX);
    lateness > OVERDUE_AFTER && slice_position(now) < u64::MAX / FULL_LATENESS.0 * lateness.0
}

/// Returns the position of a slice of time in a sequence that covers all numbers evenly and has no
/// period, so that a periodic load does not always miss the slices below a limit.
const fn slice_position(now: Ms) -> u64 {
    /// 2^64 divided by the golden ratio.
    const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;
    (now.0 / SLICE_MS).wrapping_mul(SPREAD)
}

/// A step that sorts after all others of its rank.
const LAST_STEP: id::Step = id::Step {
    job: id::Job(u64::MAX),
    occurrence: u32::MAX,
    step: u16::MAX,
};
