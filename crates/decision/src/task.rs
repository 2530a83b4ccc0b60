//! The life cycle of a batch task as a typestate: each state is a type, and each transition
//! consumes the state it leaves.

mod any;
mod history;
mod transition;

use crate::clock::Ms;
use crate::name::Name;
use crate::resource::Size;
use crate::worker::Epoch;

/// The lease time of a task. A worker stops a task whose lease was not renewed for this long.
pub const LEASE: Ms = Ms(20_000);

/// Upper bound of the time by which clock drift and message delays can extend a lease.
pub const CLOCK_BOUND: Ms = Ms(2_000);

/// Time after the last possible renewal after which an unreachable worker certainly runs no task.
pub const LEASE_EXPIRY: Ms = Ms(LEASE.0 + CLOCK_BOUND.0);

/// Number of attempts reserved for one ownership of a group, before the numbers of the next
/// ownership begin. An owner stores the attempt number at the end of each attempt, so that it uses
/// far fewer numbers that are not stored.
const ATTEMPTS_PER_STEP: u32 = 256;

/// Number of direct handovers within one row version that get attempt numbers of their own.
const STEPS_PER_ROW: u32 = 64;

/// Number of takeovers of a group that get attempt numbers of their own. They suffice for decades,
/// and the resulting attempt numbers fit in 32 bits.
const MAX_ROWS: u64 = 1 << 17;

/// Returns the first attempt number of an owner that took over a stored record. The former owner
/// may have used numbers that it never stored, on workers that no longer exist. Starting from a
/// number that depends on the epoch keeps attempts and their checkpoint keys unique.
#[must_use]
pub fn first_attempt(epoch: Epoch) -> u32 {
    let row = u32::try_from(epoch.row % MAX_ROWS).unwrap_or(0);
    (row * STEPS_PER_ROW + epoch.step % STEPS_PER_ROW) * ATTEMPTS_PER_STEP
}

/// Returns the object key of the checkpoint that an attempt writes. It is derived from the task and
/// the attempt alone, so that a new owner finds the checkpoint of an eviction whose record was
/// never stored.
#[must_use]
pub fn checkpoint_key(task: &Name, attempt: u32) -> String {
    format!("checkpoint/{task}/{attempt}")
}

/// The state of a task that is kept across its attempts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// The highest attempt number used or reported; zero before the first start.
    pub attempt: u32,
    /// The number of evictions.
    pub evictions: u32,
    /// The number of failures that are known to be the task's own fault.
    pub failures: u32,
    /// The number of failures where the worker may be at fault; not stored.
    pub suspected_failures: u32,
    /// The number of resumes refused because the current checkpoint was unreadable.
    pub refused_resumes: u32,
    /// The highest attempt number whose end was recorded.
    pub last_ended: u32,
    /// When a start of any attempt last ended without an answer; that start may still arrive.
    pub unanswered_at: Option<Ms>,
    /// The minimum memory to grant, in MB; raised when an attempt runs out of memory.
    pub memory_floor: u32,
    /// The index of the worker on which the task failed last, or from which it was evicted last.
    pub avoid: Option<u32>,
    /// The object key of the checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<Box<str>>,
    /// The object key of the previous checkpoint, kept while the current one may not be written.
    pub fallback: Option<Box<str>>,
}

/// A worker with the resources booked on it for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Booking {
    /// The index of the worker.
    pub worker: u32,
    /// The number of the attempt.
    pub attempt: u32,
    /// The resources granted to the attempt.
    pub grant: Size,
}

/// A task in state `S`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task<S> {
    /// The state that is kept across attempts.
    pub history: History,
    /// The state of the life cycle with its own data.
    pub state: S,
}

/// The state of a task that waits for its first start, or to start over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pending;

/// The state of a task that waits to resume from its checkpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resuming;

/// The state of a task whose start was sent. The resources stay booked on the worker until the
/// effect of the start is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Starting {
    /// The worker and the resources booked on it.
    pub booking: Booking,
    /// When the start was first sent.
    pub since: Ms,
    /// Whether the answer to the last start sent is still outstanding.
    pub awaited: bool,
    /// When a start of this attempt last ended without an answer; that start may still take effect.
    pub unanswered_at: Option<Ms>,
}

/// The state of a task that runs, according to the last report of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Running {
    /// The worker and the resources booked on it.
    pub booking: Booking,
    /// When the attempt was first known to run.
    pub since: Ms,
    /// The work done since the task's first start, in full-speed run time.
    pub progress: Ms,
    /// The part of the work that is covered by a checkpoint.
    pub saved: Ms,
    /// The resources in use when the worker last measured them.
    pub used: Size,
    /// Whether the attempt was already counted in the estimate of its kind.
    pub sampled: bool,
    /// The value of `saved` when the attempt was first reported.
    pub initial_saved: Ms,
    /// The share of its processors that the task may use, in percent.
    pub share: u8,
    /// Whether a report lacked the attempt and the worker is being queried for it.
    pub missing: bool,
    /// Whether the attempt was discovered in a report, so that it is unknown which checkpoint
    /// covers the saved work.
    pub discovered: bool,
}

/// The reason for which a running task is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The task is evicted to protect a service or its reservation; a checkpoint is written.
    Evicted,
    /// The job was cancelled; no checkpoint is written.
    Cancelled,
}

/// The state of a task whose stop was sent. The resources stay booked on the worker until the stop
/// is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evicting {
    /// The running attempt.
    pub run: Running,
    /// The reason for the stop.
    pub reason: Reason,
    /// Whether the answer to the last stop sent is still outstanding.
    pub awaited: bool,
}

/// A task in any state of its life cycle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Any {
    /// Waits for its first start, or to start over.
    Pending(Task<Pending>),
    /// A start was sent, but is not yet confirmed by a report.
    Starting(Task<Starting>),
    /// Runs on a worker.
    Running(Task<Running>),
    /// A stop was sent, but is not yet confirmed.
    Evicting(Task<Evicting>),
    /// Waits to resume from its checkpoint.
    Resuming(Task<Resuming>),
    /// Completed.
    Done,
    /// Cancelled, and confirmed not to run any more.
    Cancelled,
    /// Failed too often and is not tried again.
    Failed,
}
