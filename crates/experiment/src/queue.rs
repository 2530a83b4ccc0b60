//! The event queue of the simulation and its virtual clock.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use decision::clock::Ms;

/// A point in virtual time or a duration, in microseconds, because hops take less than a
/// millisecond.
pub type Us = u64;

/// One millisecond.
pub const MS: Us = 1_000;

/// One second.
pub const SECOND: Us = 1_000 * MS;

/// Converts a point in time to the milliseconds that the decision logic uses, rounded down.
#[must_use]
pub const fn ms(at: Us) -> Ms {
    Ms(at / MS)
}

#[derive(Debug)]
struct Item<T> {
    at: Us,
    order: u64,
    payload: T,
}

impl<T> Eq for Item<T> {}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    /// The heap yields its greatest item first, so earlier items are greater.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A queue that is ordered by time. Items of the same time keep the order in which they were
/// scheduled.
#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Item<T>>,
    order: u64,
    now: Us,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            order: 0,
            now: 0,
        }
    }
}

impl<T> Queue<T> {
    /// The current virtual time, which is the time of the last item taken.
    #[must_use]
    pub const fn now(&self) -> Us {
        self.now
    }

    /// Schedules an item at a point in time, or now if that time has passed.
    pub fn schedule_at(&mut self, at: Us, payload: T) {
        self.order += 1;
        let at = at.max(self.now);
        let order = self.order;
        self.heap.push(Item { at, order, payload });
    }

    /// Schedules an item after a duration.
    pub fn schedule_after(&mut self, duration: Us, payload: T) {
        self.schedule_at(self.now + duration, payload);
    }

    /// Removes the next item and advances the clock to its time; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.heap.pop()?;
        self.now = item.at;
        Some(item.payload)
    }
}
