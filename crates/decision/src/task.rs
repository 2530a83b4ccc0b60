//! The life cycle of a batch task as a typestate: each state is a type, and each transition
//! consumes the state it leaves.

use crate::clock::Ms;
use crate::name::Name;
use crate::piece::Record;
use crate::resource::Size;
use crate::worker;
use crate::worker::Epoch;

/// The lease of a task at its worker.
pub const LEASE: Ms = Ms(20_000);

/// The most by which clocks and message delays can stretch a lease.
pub const CLOCK_BOUND: Ms = Ms(2_000);

/// How long after the last possible renewal an unheard worker can still run a task.
pub const LEASE_EXPIRY: Ms = Ms(LEASE.0 + CLOCK_BOUND.0);

/// Attempts of a task within one ownership before its numbers reach those of the next one. An
/// owner stores the attempt with every end of one, so that it uses far fewer unstored ones.
const ATTEMPTS_PER_STEP: u32 = 256;

/// Direct handovers within one row version that are told apart.
const STEPS_PER_ROW: u32 = 64;

/// Takeovers of a group that are told apart: decades of them, and within the numbers of attempts.
const MAX_ROWS: u64 = 1 << 17;

/// The first attempt of an owner that took over a stored record. The owner before may have used
/// attempts that it never stored and whose worker is gone; the jump keeps attempts and their
/// checkpoint keys unique.
#[must_use]
pub fn first_attempt(epoch: Epoch) -> u32 {
    let row = u32::try_from(epoch.row % MAX_ROWS).unwrap_or(0);
    (row * STEPS_PER_ROW + epoch.step % STEPS_PER_ROW) * ATTEMPTS_PER_STEP
}

/// The object key of the checkpoint that an attempt writes. It is derived from the attempt alone,
/// so that a new owner finds the checkpoint of an eviction whose record was never stored.
#[must_use]
pub fn checkpoint_key(task: &Name, attempt: u32) -> String {
    format!("checkpoint/{task}/{attempt}")
}

/// What outlives the attempts of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// The highest attempt number seen.
    pub attempt: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// How often it failed by itself.
    pub failures: u32,
    /// How often it failed where the worker may be at fault; not stored.
    pub suspected_failures: u32,
    /// Resumes that the worker refused because the checkpoint was unreadable.
    pub refused_resumes: u32,
    /// The highest attempt whose end was taken in.
    pub last_ended: u32,
    /// When a start of any attempt last ended without an answer; it may still arrive.
    pub unanswered_at: Option<Ms>,
    /// The least memory to grant, in MB, raised when a grant ran out.
    pub memory_floor: u32,
    /// The worker on which it failed last.
    pub avoid: Option<u32>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Box<str>>,
    /// The checkpoint before, while it is unproven that the current one was written.
    pub fallback: Option<Box<str>>,
}

/// A worker with the resources booked on it for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Booking {
    /// The worker's index.
    pub worker: u32,
    /// The attempt.
    pub attempt: u32,
    /// The resources.
    pub grant: Size,
}

/// A task in state `S`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task<S> {
    /// What outlives the attempts.
    pub history: History,
    /// The state.
    pub state: S,
}

/// Waits for its first start, or to start over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pending;

/// Waits to go on from its checkpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resuming;

/// A start was sent. Place and resources stay booked until its effect is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Starting {
    /// Where.
    pub booking: Booking,
    /// When the start was first sent.
    pub since: Ms,
    /// Whether an answer is still expected.
    pub awaited: bool,
    /// When a start of this attempt last ended without an answer; it may still take effect.
    pub unanswered_at: Option<Ms>,
}

/// Runs, as its worker last said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Running {
    /// Where.
    pub booking: Booking,
    /// When the attempt was first known to run.
    pub since: Ms,
    /// Work done.
    pub progress: Ms,
    /// Work covered by a checkpoint.
    pub saved: Ms,
    /// What the worker last measured.
    pub used: Size,
    /// Whether the estimate of its kind counts it.
    pub sampled: bool,
    /// Work covered by a checkpoint when the attempt was first seen.
    pub initial_saved: Ms,
    /// The processor share in percent.
    pub share: u8,
    /// Whether a report lacked it, so that the worker is being asked.
    pub missing: bool,
    /// Whether the attempt was found in a report, so that it is unknown which checkpoint covers
    /// the saved work.
    pub discovered: bool,
}

/// Why a running task is stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// To protect a service or capacity; a checkpoint is written.
    Evicted,
    /// Its job was cancelled.
    Cancelled,
}

/// A stop was sent. Place and resources stay booked until it is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Evicting {
    /// What runs.
    pub run: Running,
    /// Why it is stopped.
    pub reason: Reason,
    /// Whether an answer is still expected.
    pub awaited: bool,
}

/// A task in any state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Any {
    /// See [`Pending`].
    Pending(Task<Pending>),
    /// See [`Starting`].
    Starting(Task<Starting>),
    /// See [`Running`].
    Running(Task<Running>),
    /// See [`Evicting`].
    Evicting(Task<Evicting>),
    /// See [`Resuming`].
    Resuming(Task<Resuming>),
    /// Finished.
    Done,
    /// Cancelled and confirmed not to run.
    Cancelled,
    /// Failed for good.
    Failed,
}

impl History {
    /// The state in which the task waits: resuming if there is a checkpoint, else pending.
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

    /// Counts an attempt seen at a worker as running.
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

    /// Adopts the checkpoint of an attempt; `proven` tells that it was certainly written.
    pub fn set_checkpoint(&mut self, key: String, proven: bool) {
        let before = self.checkpoint.replace(key.into_boxed_str());
        self.refused_resumes = 0;
        self.fallback = if proven { None } else { before };
    }

    /// Counts a refused resume. An unproven checkpoint is given up for the one before at the
    /// second refusal, a proven one only after so many that the object must be lost.
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

    /// Takes in what the worker says.
    pub fn update(&mut self, reported: &worker::Task) {
        self.progress = self.progress.max(reported.progress);
        self.saved = self.saved.max(reported.saved);
        self.used = reported.used;
        self.share = reported.throttle;
        self.missing = false;
    }

    /// Work that would be lost without a new checkpoint.
    #[must_use]
    pub const fn unsaved(&self) -> Ms {
        self.progress.since(self.saved)
    }
}

impl Task<Pending> {
    /// Books the next attempt, numbered at least `least`.
    #[must_use]
    pub fn start(self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.history.start(worker, grant, min_attempt, now)
    }
}

impl Task<Resuming> {
    /// Books the next attempt, numbered at least `least`.
    #[must_use]
    pub fn start(self, worker: u32, grant: Size, min_attempt: u32, now: Ms) -> Task<Starting> {
        self.history.start(worker, grant, min_attempt, now)
    }
}

impl Task<Starting> {
    /// The worker shows the attempt.
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

    /// The start had no effect.
    #[must_use]
    pub fn withdraw(self) -> Any {
        self.history.into_waiting()
    }
}

impl Task<Running> {
    /// A stop is sent.
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

    /// The attempt ended without a stop of ours, at its last checkpoint.
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
    /// The stop had no effect: the task goes on.
    #[must_use]
    pub fn abort_eviction(self) -> Task<Running> {
        Task {
            history: self.history,
            state: self.state.run,
        }
    }

    /// The stop is confirmed. `saved` tells whether the checkpoint was written.
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
    /// The history, unless the task has ended.
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

    /// The history for changes, unless the task has ended.
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

    /// What is booked, if anything.
    #[must_use]
    pub const fn booking(&self) -> Option<Booking> {
        match self {
            Self::Starting(task) => Some(task.state.booking),
            Self::Running(task) => Some(task.state.booking),
            Self::Evicting(task) => Some(task.state.run.booking),
            _ => None,
        }
    }

    /// The running attempt, also while it is being stopped.
    #[must_use]
    pub const fn run(&self) -> Option<&Running> {
        match self {
            Self::Running(task) => Some(&task.state),
            Self::Evicting(task) => Some(&task.state.run),
            _ => None,
        }
    }

    /// The running attempt for changes, also while it is being stopped.
    pub const fn run_mut(&mut self) -> Option<&mut Running> {
        match self {
            Self::Running(task) => Some(&mut task.state),
            Self::Evicting(task) => Some(&mut task.state.run),
            _ => None,
        }
    }

    /// Whether it waits to be started or resumed.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        matches!(self, Self::Pending(_) | Self::Resuming(_))
    }

    /// The waiting state that fits the checkpoint after a change of the history.
    #[must_use]
    pub fn update_waiting(self) -> Self {
        match self {
            Self::Pending(task) => task.history.into_waiting(),
            Self::Resuming(task) => task.history.into_waiting(),
            other => other,
        }
    }

    /// Whether it has ended for good.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self, Self::Done | Self::Cancelled | Self::Failed)
    }

    /// What is stored of the task.
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
