//! Running tasks that can be cancelled.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use decision::clock::Ms;
use link::Spawner;

/// A task and when it is late.
struct Running {
    task: smol::Task<()>,
    end: Ms,
}

/// Tasks by key; none once closed.
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

    /// Runs `work` under `key` until it ends or is cancelled. It is late after `end`.
    pub(super) fn spawn(
        self: &Arc<Self>,
        key: K,
        end: Ms,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let tasks = Arc::clone(self);
        // The lock is held while spawning, so that the task cannot end before it is listed.
        let mut running = self.lock();
        let Some(running) = running.as_mut() else {
            return;
        };
        let task = self.spawner.spawn(async move {
            work.await;
            tasks.forget(key);
        });
        running.insert(key, Running { task, end });
    }

    /// Drops the task, which closes its connection.
    pub(super) fn cancel(&self, key: K) {
        let task = self.lock().as_mut().and_then(|tasks| tasks.remove(&key));
        drop(task);
    }

    /// Drops the tasks that are late and returns their keys.
    pub(super) fn expire(&self, now: Ms) -> Vec<K> {
        let mut running = self.lock();
        let Some(running) = running.as_mut() else {
            return Vec::new();
        };
        let late = running.extract_if(|_, task| task.end < now);
        late.map(|(key, _)| key).collect()
    }

    /// Drops all tasks and takes no more.
    pub(super) fn close(&self) {
        let tasks = self.lock().take();
        drop(tasks);
    }

    fn forget(&self, key: K) {
        let task = self.lock().as_mut().and_then(|tasks| tasks.remove(&key));
        if let Some(running) = task {
            running.task.detach();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<HashMap<K, Running>>> {
        self.running.lock().expect("no holder of this lock panics")
    }
}
