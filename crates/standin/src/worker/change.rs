//! A change of a task's state, and the fact that it is in the history.

use decision::name::Name;
use decision::worker::State;
use decision::worker::Task;
use history::Ending;
use history::Fact;

/// A change of a task's state, which the history records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// An attempt started, from the checkpoint with this key if there is one.
    Started(Task, Option<String>),
    /// An attempt ended with the state that the task has.
    Ended(Task),
    /// A checkpoint was stored under this key.
    Saved(Task, String),
    /// An ended attempt was acknowledged and removed.
    Acknowledged(Task),
    /// The start of this task was refused because its grant exceeds the free resources.
    Overfull(Name),
}

impl Change {
    /// Converts the change into a fact of the history of the worker `vm`.
    #[must_use]
    pub fn into_fact(self, vm: Name) -> Fact {
        match self {
            Self::Started(task, from) => Fact::TaskStarted {
                vm,
                task: task.name,
                attempt: task.attempt,
                grant: task.grant,
                from,
            },
            Self::Ended(task) => Fact::TaskEnded {
                vm,
                task: task.name,
                attempt: task.attempt,
                ending: match task.state {
                    State::Completed => Ending::Completed,
                    State::Failed(_) => Ending::Failed,
                    State::Stopped | State::Running => Ending::Stopped,
                },
            },
            Self::Saved(task, key) => Fact::Checkpointed {
                vm,
                task: task.name,
                attempt: task.attempt,
                key,
            },
            Self::Acknowledged(task) => Fact::Acknowledged {
                vm,
                task: task.name,
                attempt: task.attempt,
            },
            Self::Overfull(task) => Fact::Overfull {
                vm,
                work: task.to_string(),
            },
        }
    }
}
