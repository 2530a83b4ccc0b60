//! Tasks in progress that can be cancelled by their key.

use std::collections::HashMap;
use std::hash::Hash;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use decision::clock::Ms;
use futures_channel::oneshot;
use link::Spawner;
use smol::future::FutureExt;

type BoxedWork = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Work in progress. Dropping it cancels the work.
struct Running {
    /// The time after which [`Tasks::expire`] cancels the work.
    deadline: Ms,
    /// The spawned work; `None` while the caller runs it inline.
    task: Option<smol::Task<()>>,
    /// Dropping this sender cancels inline work.
    _cancel: Option<oneshot::Sender<()>>,
}

/// The tasks in progress by key. No task is accepted once this is closed.
pub(super) struct Tasks<K> {
    spawner: Spawner,
    running: Mutex<Option<HashMap<K, Running>>>,
}

impl<K: Copy + Eq + Hash + Send + 'static> Tasks<K> {
    pub(super) fn new(spawner: &Spawner) -> Arc<Self> {
        Arc::new(Self {
            spawner: Arc::clone(spawner),
            running: Mutex::new(Some(HashMap::new())),
        })
    }

    /// Spawns `work` under `key`. It runs until it ends, is cancelled, or expires after `deadline`.
    pub(super) fn spawn(
        self: &Arc<Self>,
        key: K,
        deadline: Ms,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let tasks = Arc::clone(self);
        // The lock is held while spawning, so that the task cannot end before it is registered.
        let mut running = self.lock();
        let Some(running) = running.as_mut() else {
            return;
        };
        let task = self.spawner.spawn(async move {
            work.await;
            tasks.finish(key);
        });
        let entry = Running {
            deadline,
            task: Some(task),
            _cancel: None,
        };
        running.insert(key, entry);
    }

    /// Like [`Self::spawn`], but the caller runs the work itself, which saves two switches between
    /// threads. If the caller drops it unfinished, it continues as a spawned task.
    pub(super) fn run_inline(
        self: &Arc<Self>,
        key: K,
        deadline: Ms,
        work: impl Future<Output = ()> + Send + 'static,
    ) -> Inline<K> {
        let (cancel, cancelled) = oneshot::channel::<()>();
        let entry = Running {
            deadline,
            task: None,
            _cancel: Some(cancel),
        };
        if let Some(running) = self.lock().as_mut() {
            running.insert(key, entry);
        }
        let tasks = Arc::clone(self);
        let work = async move {
            let cancelled = async {
                let _ = cancelled.await;
            };
            work.or(cancelled).await;
            tasks.finish(key);
        };
        Inline {
            key,
            work: Some(Box::pin(work)),
            tasks: Arc::clone(self),
        }
    }

    /// Spawns unfinished inline work, unless it was cancelled.
    fn run_in_background(&self, key: K, work: BoxedWork) {
        let mut running = self.lock();
        let entry = running.as_mut().and_then(|running| running.get_mut(&key));
        if let Some(entry) = entry {
            entry.task = Some(self.spawner.spawn(work));
        }
    }

    /// Cancels a task, which closes its connection.
    pub(super) fn cancel(&self, key: K) {
        let task = self.lock().as_mut().and_then(|tasks| tasks.remove(&key));
        drop(task);
    }

    /// Cancels the tasks whose deadline has passed and returns their keys.
    pub(super) fn expire(&self, now: Ms) -> Vec<K> {
        let mut running = self.lock();
        let Some(running) = running.as_mut() else {
            return Vec::new();
        };
        let expired = running.extract_if(|_, task| task.deadline < now);
        expired.map(|(key, _)| key).collect()
    }

    /// Cancels all tasks and accepts no further ones.
    pub(super) fn close(&self) {
        let tasks = self.lock().take();
        drop(tasks);
    }

    fn finish(&self, key: K) {
        let task = self.lock().as_mut().and_then(|tasks| tasks.remove(&key));
        if let Some(task) = task.and_then(|running| running.task) {
            task.detach();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<HashMap<K, Running>>> {
        self.running.lock().expect("no holder of this lock panics")
    }
}

/// Work that was started by [`Tasks::run_inline`]. Dropping it unfinished continues it as a spawned
/// task.
pub(super) struct Inline<K: Copy + Eq + Hash + Send + 'static> {
    key: K,
    work: Option<BoxedWork>,
    tasks: Arc<Tasks<K>>,
}

impl<K: Copy + Eq + Hash + Send + 'static> Inline<K> {
    /// Runs the work to its end.
    pub(super) async fn run(&mut self) {
        if let Some(work) = &mut self.work {
            work.await;
        }
        self.work = None;
    }
}

impl<K: Copy + Eq + Hash + Send + 'static> Drop for Inline<K> {
    fn drop(&mut self) {
        if let Some(work) = self.work.take() {
            self.tasks.run_in_background(self.key, work);
        }
    }
}
