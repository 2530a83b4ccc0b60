//! Answers that others wait for.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures_channel::oneshot;

/// Who waits for which answer.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Waiting<T> {
    pub(super) fn new() -> Self {
        Self {
            next: AtomicU64::new(1),
            waiting: Mutex::default(),
        }
    }

    /// A new id and where its answer will come.
    pub(super) fn open(&self) -> (u64, oneshot::Receiver<T>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Gives the answer to whoever still waits.
    pub(super) fn answer(&self, id: u64, answer: T) {
        let sender = self.lock().remove(&id);
        if let Some(sender) = sender {
            drop(sender.send(answer));
        }
    }

    /// Nobody waits for this id any more. Returns whether there was no answer yet.
    pub(super) fn close(&self, id: u64) -> bool {
        self.lock().remove(&id).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<T>>> {
        self.waiting.lock().expect("no holder of this lock panics")
    }
}
