//! The life cycle of a batch task as a typestate: each state is a type, and each transition
//! consumes the state it leaves.

use crate::clock::Ms;
use crate::name::Name;
use crate::piece::Record;
use crate::resource::Size;
use crate::worker;
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

impl History {
    /// Returns the waiting state of the task: resuming if there is a checkpoint, else pending.
    #[must_use]
    pub fn into_waiting(self) -> Any {
        if self.checkpoint.is_some() {
            Any::Resuming(Task {
                history: self,
                state: Resuming,
            })
        } else {
            Any::Pending(Task {
                history: self,
                state: Pending,
            })
        }
    }

    fn start(mut self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.attempt = (self.attempt + 1).max(min_attempt);
        let booking = Booking {
            worker,
            attempt: self.attempt,
            grant,
        };
        Task {
            history: self,
            state: Starting {
                booking,
                since: now,
                awaited: true,
                unanswered_at: None,
            },
        }
    }

    /// Makes an attempt that was discovered in a worker's report the current one.
    #[must_use]
    pub fn discover(mut self, worker: u32, reported: &worker::Task, now: Ms) -> Task<Running> {
        self.attempt = self.attempt.max(reported.attempt);
        let booking = Booking {
            worker,
            attempt: reported.attempt,
            grant: reported.grant,
        };
        let mut state = Running::new(booking, now);
        state.discovered = true;
        state.update(reported);
        Task {
            history: self,
            state,
        }
    }

    /// Sets the checkpoint to resume from. If `proven`, it was certainly written; otherwise the
    /// previous one is kept as a fallback.
    pub fn set_checkpoint(&mut self, key: String, proven: bool) {
        let before = self.checkpoint.replace(key.into_boxed_str());
        self.refused_resumes = 0;
        self.fallback = if proven { None } else { before };
    }

    /// Counts a refused resume. An unproven checkpoint is replaced by the previous one after
    /// `unproven` refusals, and a proven one is dropped after `proven` refusals, which are so many
    /// that the object must be lost.
    pub fn record_refused_resume(&mut self, unproven: u32, proven: u32) {
        self.refused_resumes += 1;
        let limit = if self.fallback.is_some() {
            unproven
        } else {
            proven
        };
        if self.refused_resumes >= limit {
            self.checkpoint = self.fallback.take();
            self.refused_resumes = 0;
        }
    }
}

impl Running {
    const fn new(booking: Booking, now: Ms) -> Self {
        Self {
            booking,
            since: now,
            progress: Ms::ZERO,
            saved: Ms::ZERO,
            used: Size::ZERO,
            sampled: false,
            initial_saved: Ms::ZERO,
            share: 100,
            missing: false,
            discovered: false,
        }
    }

    /// Updates the attempt with its reported state. Progress never goes back.
    pub fn update(&mut self, reported: &worker::Task) {
        self.progress = self.progress.max(reported.progress);
        self.saved = self.saved.max(reported.saved);
        self.used = reported.used;
        self.share = reported.throttle;
        self.missing = false;
    }

    /// Returns the work that would be lost if the attempt ended without a new checkpoint.
    #[must_use]
    pub const fn unsaved(&self) -> Ms {
        self.progress.since(self.saved)
    }
}

impl Task<Pending> {
    /// Books the next attempt on a worker. Its number is at least `min_attempt`.
    #[must_use]
    pub fn start(self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.history.start(worker, grant, min_attempt, now)
    }
}

impl Task<Resuming> {
    /// Books the next attempt on a worker. Its number is at least `min_attempt`.
    #[must_use]
    pub fn start(self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.history.start(worker, grant, min_attempt, now)
    }
}

impl Task<Starting> {
    /// Confirms the start, because the worker reported the attempt.
    #[must_use]
    pub fn confirm(self, reported: &worker::Task, now: Ms) -> Task<Running> {
        let mut state = Running::new(self.state.booking, now);
        state.initial_saved = reported.saved;
        state.update(reported);
        Task {
            history: self.history,
            state,
        }
    }

    /// Withdraws the start, which certainly had no effect.
    #[must_use]
    pub fn withdraw(self) -> Any {
        self.history.into_waiting()
    }
}

impl Task<Running> {
    /// Marks the attempt as being stopped.
    #[must_use]
    pub fn evict(self, reason: Reason) -> Task<Evicting> {
        Task {
            history: self.history,
            state: Evicting {
                run: self.state,
                reason,
                awaited: true,
            },
        }
    }

    /// Ends an attempt that this entry did not stop, at its last checkpoint.
    #[must_use]
    pub fn interrupt(mut self, task: &Name) -> Any {
        if self.state.saved > self.state.initial_saved {
            let key = checkpoint_key(task, self.state.booking.attempt);
            self.history.set_checkpoint(key, !self.state.discovered);
        }
        self.history.into_waiting()
    }
}

impl Task<Evicting> {
    /// Returns the task to running, because the stop had no effect.
    #[must_use]
    pub fn abort_eviction(self) -> Task<Running> {
        Task {
            history: self.history,
            state: self.state.run,
        }
    }

    /// Confirms the stop. If `saved`, the checkpoint was written.
    #[must_use]
    pub fn stop(mut self, task: &Name, saved: bool) -> Any {
        if self.state.reason == Reason::Cancelled {
            return Any::Cancelled;
        }
        self.history.evictions += 1;
        if saved {
            let run = self.state.run;
            let proven = run.saved > run.initial_saved && !run.discovered;
            let key = checkpoint_key(task, run.booking.attempt);
            self.history.set_checkpoint(key, proven);
            return self.history.into_waiting();
        }
        self.abort_eviction().interrupt(task)
    }
}

impl Any {
    /// Returns the history, unless the task has ended.
    #[must_use]
    pub const fn history(&self) -> Option<&History> {
        match self {
            Self::Pending(task) => Some(&task.history),
            Self::Resuming(task) => Some(&task.history),
            Self::Starting(task) => Some(&task.history),
            Self::Running(task) => Some(&task.history),
            Self::Evicting(task) => Some(&task.history),
            Self::Done | Self::Cancelled | Self::Failed => None,
        }
    }

    /// Returns the history for changes, unless the task has ended.
    pub const fn history_mut(&mut self) -> Option<&mut History> {
        match self {
            Self::Pending(task) => Some(&mut task.history),
            Self::Resuming(task) => Some(&mut task.history),
            Self::Starting(task) => Some(&mut task.history),
            Self::Running(task) => Some(&mut task.history),
            Self::Evicting(task) => Some(&mut task.history),
            Self::Done | Self::Cancelled | Self::Failed => None,
        }
    }

    /// Converts the task into its history, unless the task has ended.
    #[must_use]
    pub fn into_history(self) -> Option<History> {
        match self {
            Self::Pending(task) => Some(task.history),
            Self::Resuming(task) => Some(task.history),
            Self::Starting(task) => Some(task.history),
            Self::Running(task) => Some(task.history),
            Self::Evicting(task) => Some(task.history),
            Self::Done | Self::Cancelled | Self::Failed => None,
        }
    }

    /// Returns the booking while an attempt is starting, running or being stopped.
    #[must_use]
    pub const fn booking(&self) -> Option<Booking> {
        match self {
            Self::Starting(task) => Some(task.state.booking),
            Self::Running(task) => Some(task.state.booking),
            Self::Evicting(task) => Some(task.state.run.booking),
            _ => None,
        }
    }

    /// Returns the running attempt, also while it is being stopped.
    #[must_use]
    pub const fn run(&self) -> Option<&Running> {
        match self {
            Self::Running(task) => Some(&task.state),
            Self::Evicting(task) => Some(&task.state.run),
            _ => None,
        }
    }

    /// Returns the running attempt for changes, also while it is being stopped.
    pub const fn run_mut(&mut self) -> Option<&mut Running> {
        match self {
            Self::Running(task) => Some(&mut task.state),
            Self::Evicting(task) => Some(&mut task.state.run),
            _ => None,
        }
    }

    /// Returns whether the task waits to be started or resumed.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        matches!(self, Self::Pending(_) | Self::Resuming(_))
    }

    /// Chooses the waiting state again after a change of the history, which may have lost its
    /// checkpoint. Other states stay as they are.
    #[must_use]
    pub fn update_waiting(self) -> Self {
        match self {
            Self::Pending(task) => task.history.into_waiting(),
            Self::Resuming(task) => task.history.into_waiting(),
            other => other,
        }
    }

    /// Returns whether the task is done, cancelled or failed for good.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self, Self::Done | Self::Cancelled | Self::Failed)
    }

    /// Returns the stored form of the task.
    #[must_use]
    pub fn record(&self) -> Record {
        match (self, self.history()) {
            (Self::Done, _) => Record::Done,
            (Self::Cancelled, _) => Record::Cancelled,
            (_, Some(history)) => Record::Open {
                attempt: history.attempt,
                checkpoint: history.checkpoint.as_deref().map(str::to_owned),
                evictions: history.evictions,
                failures: history.failures,
            },
            (_, None) => Record::Failed,
        }
    }
}

impl From<Record> for Any {
    fn from(record: Record) -> Self {
        match record {
            Record::Done => Self::Done,
            Record::Cancelled => Self::Cancelled,
            Record::Failed => Self::Failed,
            Record::Open {
                attempt,
                checkpoint,
                evictions,
                failures,
            } => {
                let checkpoint = checkpoint.map(String::into_boxed_str);
                let history = History {
                    attempt,
                    evictions,
                    failures,
                    checkpoint,
                    ..History::default()
                };
                history.into_waiting()
            }
        }
    }
}
