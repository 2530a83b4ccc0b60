//! Queries of a task in any state, and its stored form.

use super::Any;
use super::Booking;
use super::History;
use super::Running;
use crate::piece::Record;

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
