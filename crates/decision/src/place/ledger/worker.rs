//! A worker with the resources and tasks booked on it.

use super::piece::Key;
use crate::clock::Ms;
use crate::interference::Presence;
use crate::name::Name;
use crate::resource::Size;
use crate::vm::Vm;
use crate::worker;
use crate::worker::Epoch;

/// The number of tasks of one kind on a worker, and the processors that they hold.
#[derive(Clone, Debug)]
pub struct Usage {
    /// The kind of the tasks.
    pub kind: Name,
    /// The number of tasks.
    pub count: u32,
    /// The processor time granted to them, in thousandths of a core.
    pub millicores: u32,
}

/// A worker with the resources and tasks booked on it.
#[derive(Debug)]
pub struct Worker {
    /// The VM as the platform lists it.
    pub vm: Vm,
    /// The index of its group in [`Ledger::groups`].
    pub group: u32,
    /// The epoch under which the worker was adopted.
    pub epoch: Epoch,
    /// The capacity that the worker last reported.
    pub capacity: Size,
    /// The resources that services on the worker used when last measured.
    pub service: Size,
    /// The number of requests in progress when last reported.
    pub busy: u32,
    /// The resources booked for tasks, including running attempts in `extra`.
    pub booked: Size,
    /// The tasks of held pieces that are booked on the worker.
    pub tasks: Vec<Key>,
    /// The kinds of these tasks.
    pub kinds: Vec<Usage>,
    /// Attempts on the worker that belong to no task booked here.
    pub extra: Vec<worker::Task>,
    /// Whether the worker is leaving; nothing is placed on it.
    pub leaving: bool,
    /// Whether the worker refused this entry's epoch; no commands are sent to it.
    pub fenced: bool,
    /// Whether a command failed or was refused for lack of room since the last report; nothing is
    /// placed on the worker.
    pub unresponsive: bool,
    /// When the VM was removed from the platform's list; `None` while it is listed.
    pub unlisted: Option<Ms>,
    /// Ended attempts to acknowledge, by task name and attempt.
    pub acks: Vec<(Name, u32)>,
    /// Whether an acknowledgement is in flight.
    pub ack_in_flight: bool,
}

impl Worker {
    /// Returns what batch work may use: the capacity without the services' reservation or, in each
    /// dimension where it is larger, their measured use.
    #[must_use]
    pub fn limit(&self, reserve: Size) -> Size {
        self.capacity.minus(reserve.max(self.service))
    }

    /// Returns the capacity that is free for more tasks.
    #[must_use]
    pub fn room(&self, reserve: Size) -> Size {
        self.limit(reserve).minus(self.booked)
    }

    pub(in crate::place) fn count_kind(&mut self, kind: &Name, millicores: u32) {
        match self.kinds.iter_mut().find(|held| held.kind == *kind) {
            Some(held) => {
                held.count += 1;
                held.millicores += millicores;
            }
            None => self.kinds.push(Usage {
                kind: kind.clone(),
                count: 1,
                millicores,
            }),
        }
    }

    pub(in crate::place) fn discount_kind(&mut self, kind: &Name, millicores: u32) {
        if let Some(at) = self.kinds.iter().position(|held| held.kind == *kind) {
            let held = &mut self.kinds[at];
            held.count -= 1;
            held.millicores = held.millicores.saturating_sub(millicores);
            if held.count == 0 {
                self.kinds.swap_remove(at);
            }
        }
    }

    /// Returns the kinds of tasks on the worker with the shares of its processors that they hold.
    pub fn presence(&self) -> impl Iterator<Item = Presence<'_>> + Clone {
        self.kinds.iter().map(|held| Presence {
            kind: &held.kind,
            share: self.share(held.millicores),
        })
    }

    /// Converts processor time to a share of the worker's processors.
    #[must_use]
    pub fn share(&self, millicores: u32) -> f64 {
        f64::from(millicores) / f64::from(self.capacity.millicores.max(1))
    }

    /// Returns whether commands may be sent to the worker.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        !self.fenced && self.unlisted.is_none()
    }
}
