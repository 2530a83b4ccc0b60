//! Treatment of tasks that wait for a long time: a worker is reserved for them, or their pieces are
//! offered to other groups.

use std::collections::BTreeSet;

use super::Order;
use super::board::Board;
use super::ledger::piece::Key;
use super::ledger::piece::Piece;
use crate::clock::Ms;
use crate::resource::Size;

/// Waiting time after which a worker is reserved for a large task, or its piece is offered to other
/// groups.
const LONG_WAIT: Ms = Ms(10_000);

/// Waiting time after which a piece is offered if its tasks fit on no worker of the group. More
/// workers may still be adopted during this time.
const INFEASIBLE_WAIT: Ms = Ms(2_000);

/// Minimum time between two offers of the same class.
const OFFER_INTERVAL: Ms = Ms(10_000);

/// Maximum number of pieces of one class in one offer.
const MAX_OFFERS: usize = 16;

/// A task is large if it needs more than the largest worker's amount of a resource divided by this.
const LARGE_DIVISOR: u32 = 2;

/// At most one in this many workers of a group is reserved at a time.
const RESERVED_DIVISOR: usize = 4;

impl Board {
    /// Offers pieces to other groups whose tasks cannot start in their own group, or not soon.
    pub(super) fn offer_surplus(&mut self) {
        let now = self.ledger.now;
        for class in self.queue.blocked().collect::<Vec<_>>() {
            let blocked = self.queue.class(class);
            let Some(&(_, since)) = blocked.tasks.front() else {
                continue;
            };
            let last_offered = blocked.last_offered;
            if last_offered.is_some_and(|at| now.since(at) < OFFER_INTERVAL) {
                continue;
            }
            let shape = &blocked.shape;
            let group = &self.ledger.groups[shape.group as usize];
            let impossible = !group.workers.is_empty() && !self.feasible(shape.group, shape.size);
            let min_wait = if impossible {
                INFEASIBLE_WAIT
            } else {
                LONG_WAIT
            };
            if now.since(since) >= min_wait {
                self.queue.class_mut(class).last_offered = Some(now);
                self.offer(class);
            }
        }
    }

    /// Offers the pieces of a class of which no task is booked; others cannot be moved.
    fn offer(&mut self, class: u32) {
        let tasks = self.queue.class(class).tasks.iter();
        let pieces: BTreeSet<u32> = tasks.map(|(key, _)| key.piece).collect();
        let movable = pieces.into_iter().filter(|&index| {
            let piece = self.ledger.pieces[index as usize].as_ref();
            let idle = |piece: &Piece| piece.tasks.iter().all(|task| task.booking().is_none());
            piece.is_some_and(idle) && self.ledger.startable(index)
        });
        for index in movable.take(MAX_OFFERS).collect::<Vec<_>>() {
            let name = self.ledger.piece(index).name.clone();
            self.ledger.order(Order::Surplus(name));
        }
    }

    /// Reserves a worker for each class of large tasks that has waited for at least [`LONG_WAIT`].
    pub(super) fn reserve_workers(&mut self) {
        let now = self.ledger.now;
        self.drop_stale_reservations();
        for class in self.queue.blocked().collect::<Vec<_>>() {
            let blocked = self.queue.class(class);
            let waited = blocked.tasks.front().map(|&(_, since)| now.since(since));
            if blocked.reserved.is_some() || waited.is_none_or(|waited| waited < LONG_WAIT) {
                continue;
            }
            let (group, size) = (blocked.shape.group, blocked.shape.size);
            if self.is_large(group, size)
                && let Some(worker) = self.first_free(group, size)
            {
                self.view(worker).reserved = Some(class);
                self.queue.class_mut(class).reserved = Some(worker);
            }
        }
    }

    fn drop_stale_reservations(&mut self) {
        for worker in 0..self.views.len() {
            let Some(class) = self.views[worker].reserved else {
                continue;
            };
            if self.queue.class(class).tasks.is_empty() || self.views[worker].room.is_none() {
                self.views[worker].reserved = None;
                self.queue.class_mut(class).reserved = None;
            }
        }
    }

    fn is_large(&mut self, group: u32, size: Size) -> bool {
        let largest = self.largest_batch_capacity(group);
        size.accelerators > 0
            || size.millicores > largest.millicores / LARGE_DIVISOR
            || size.memory_mb > largest.memory_mb / LARGE_DIVISOR
    }

    /// Returns the worker that is expected to have room for `size` first, unless too many workers
    /// of the group are reserved already.
    fn first_free(&self, group: u32, size: Size) -> Option<u32> {
        let workers = &self.ledger.groups[group as usize].workers;
        let view = |worker: u32| self.views.get(worker as usize);
        let reserved = workers
            .iter()
            .filter(|&&worker| view(worker).is_some_and(|view| view.reserved.is_some()));
        if reserved.count() * RESERVED_DIVISOR >= workers.len().max(RESERVED_DIVISOR) {
            return None;
        }
        let candidates = workers.iter().copied().filter(|&worker| {
            let free = view(worker).is_some_and(|view| {
                view.reserved.is_none() && view.room.is_some() && !view.health.quarantined()
            });
            free && size.fits(self.batch_capacity(worker))
        });
        let times =
            candidates.filter_map(|worker| Some((self.time_until_room(worker, size)?, worker)));
        times.min().map(|(_, worker)| worker)
    }

    /// Returns the time until a worker is expected to have room for `size`.
    fn time_until_room(&self, worker: u32, size: Size) -> Option<Ms> {
        let known = self.ledger.worker(worker);
        let mut room = known.room(self.ledger.reserve);
        let mut ends: Vec<_> = known
            .tasks
            .iter()
            .filter_map(|&key| self.expected_end(key))
            .collect();
        ends.sort_unstable_by_key(|(remaining, _)| *remaining);
        if size.fits(room) {
            return Some(Ms::ZERO);
        }
        for (remaining, grant) in ends {
            room = room.plus(grant);
            if size.fits(room) {
                return Some(remaining);
            }
        }
        None
    }

    /// Returns the time until the attempt of a task is expected to end, with the size that is then
    /// freed.
    fn expected_end(&self, key: Key) -> Option<(Ms, Size)> {
        let task = self.ledger.task(key)?;
        let booking = task.booking()?;
        let job = &self.ledger.piece(key.piece).job;
        let estimate = self.kinds.get(&job.kind);
        let expected = estimate.map_or(job.run_time, |estimate| estimate.run_time(job.run_time));
        let progress = task.run().map_or(Ms::ZERO, |run| run.progress);
        // A straggler past its expected run time is assumed to need as long again as it has run.
        let remaining = if progress < expected {
            expected.since(progress)
        } else {
            progress
        };
        Some((remaining, booking.grant))
    }
}
