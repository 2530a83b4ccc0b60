//! Answers that others wait for.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures_channel::oneshot;

/// Who waits for which answer.
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

    /// A new id and where its answer will come.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Gives the answer to whoever still waits.
    pub(super) fn complete(&self, id: u64, answer: T) {
        let sender = self.lock().remove(&id);
        if let Some(sender) = sender {
            drop(sender.send(answer));
        }
    }

    /// Nobody waits for this id any more. Returns whether there was no answer yet.
    pub(super) fn cancel(&self, id: u64) -> bool {
        self.lock().remove(&id).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.senders.lock().expect("no holder of this lock panics")
    }
}
