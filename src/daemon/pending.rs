//! Calls that wait for their answer.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures_channel::oneshot;

/// The calls that wait for an answer, by id.
#[derive(Debug)]
pub(super) struct Pending<T> {
    next_id: AtomicU64,
    senders: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Pending<T> {
    pub(super) fn new() -> Self {
        Self {
            next_id: AtomicU64::new(1),
            senders: Mutex::default(),
        }
    }

    /// Registers a call and returns its id and the receiver of its answer.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Sends the answer to the call, unless it has been answered or cancelled.
    pub(super) fn complete(&self, id: u64, answer: T) {
        let sender = self.lock().remove(&id);
        if let Some(sender) = sender {
            drop(sender.send(answer));
        }
    }

    /// Removes a call. Returns whether it had no answer yet.
    pub(super) fn cancel(&self, id: u64) -> bool {
        self.lock().remove(&id).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.senders.lock().expect("no holder of this lock panics")
    }
}
