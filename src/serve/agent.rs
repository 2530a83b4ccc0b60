//! The agent: carries out the leader's orders and tells it what happens.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use decision::clock::Ms;
use decision::name::Name;
use futures_channel::oneshot;
use scheduler::agent::Inventory;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::message::Beat;
use scheduler::message::Order;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Request;
use scheduler::message::Storage;
use scheduler::progress::Stage;
use smol::channel::Sender;

use super::Shared;
use super::clock;
use super::lock;
use super::watch::Watcher;

/// The age of a beat after which what it says is no longer used.
const HEARTBEAT_VALIDITY: Ms = Ms(3_000);

/// What an agent knows.
#[derive(Default)]
pub(super) struct Agent {
    state: Mutex<State>,
    pending: Mutex<PendingQueries>,
}

#[derive(Default)]
struct State {
    epoch: Epoch,
    heard_at: Ms,
    has_order: bool,
    notes: Option<Sender<Report>>,
    watchers: HashMap<Name, Arc<Watcher>>,
    accounts: Inventory,
    beat: Beat,
}

/// What the leader answers to a question.
enum Reply {
    Stage(Option<Stage>),
    Stored(Storage),
}

#[derive(Default)]
struct PendingQueries {
    last_number: u64,
    waiting: HashMap<u64, oneshot::Sender<Reply>>,
}

impl Agent {
    /// Begins to follow a leader. Returns the runs that are known from earlier orders.
    pub(super) fn begin_session(
        &self,
        epoch: Epoch,
        notes: Sender<Report>,
    ) -> Vec<(Name, Ms, Vec<Placement>)> {
        log::info!("kind=leader-followed epoch={epoch}");
        let mut state = lock(&self.state);
        let now = clock::now();
        let watchers = std::mem::take(&mut state.watchers);
        let watches = watchers.into_iter().map(|(name, watcher)| {
            let (lease, places) = watcher.known();
            (name, lease, places)
        });
        let known = state.accounts.collect(now, watches);
        state.epoch = epoch;
        state.heard_at = now;
        state.has_order = false;
        state.notes = Some(notes);
        state.beat.store_age = Ms::ZERO;
        known
    }

    /// Stops following a leader; whether it had sent anything.
    pub(super) fn end_session(&self, epoch: Epoch) -> bool {
        let mut state = lock(&self.state);
        if state.epoch != epoch {
            return true;
        }
        state.notes = None;
        lock(&self.pending).waiting.clear();
        state.has_order
    }

    /// When the leader was last heard, and the age of its last confirmed write.
    pub(super) fn leader_health(&self) -> (Ms, Ms) {
        let state = lock(&self.state);
        (state.heard_at, state.beat.store_age)
    }

    /// The epoch followed and when its leader was last heard.
    pub(super) fn leader(&self) -> (Epoch, Ms) {
        let state = lock(&self.state);
        (state.epoch, state.heard_at)
    }

    /// The newest beat, if it is not too old.
    pub(super) fn heartbeat(&self) -> Option<Beat> {
        let state = lock(&self.state);
        let is_valid = state.has_order && clock::now().since(state.heard_at) <= HEARTBEAT_VALIDITY;
        is_valid.then(|| state.beat.clone())
    }

    /// Tells the leader something, if there is one.
    pub(super) fn notify_leader(&self, note: Report) {
        let notes = lock(&self.state).notes.clone();
        if let Some(notes) = notes {
            // A session that has ended is followed by one that asks for everything anew.
            drop(notes.try_send(note));
        }
    }

    /// Asks the leader for the stage of a job. The outer `None` means that there is no answer.
    pub(super) async fn query_stage(&self, job: Job) -> Option<Option<Stage>> {
        match self
            .send_query(|number| Report::QueryStage(number, job))?
            .await
        {
            Ok(Reply::Stage(stage)) => Some(stage),
            Ok(Reply::Stored(_)) | Err(_) => None,
        }
    }

    /// Asks the leader to write for a customer. `None` means that nothing was asked.
    pub(super) async fn request_write(&self, request: Request) -> Option<Storage> {
        let reply = self.send_query(|number| Report::Store(number, request))?;
        match reply.await {
            Ok(Reply::Stored(storage)) => Some(storage),
            // The connection was lost; the leader may have written.
            Ok(Reply::Stage(_)) | Err(_) => Some(Storage::Unknown),
        }
    }

    fn send_query(&self, note: impl FnOnce(u64) -> Report) -> Option<oneshot::Receiver<Reply>> {
        let notes = lock(&self.state).notes.clone()?;
        let (sender, receiver) = oneshot::channel();
        let number = {
            let mut pending = lock(&self.pending);
            pending.last_number += 1;
            let number = pending.last_number;
            pending.waiting.insert(number, sender);
            number
        };
        if notes.try_send(note(number)).is_err() {
            lock(&self.pending).waiting.remove(&number);
            return None;
        }
        Some(receiver)
    }

    fn deliver(&self, number: u64, reply: Reply) {
        let waiting = lock(&self.pending).waiting.remove(&number);
        if let Some(waiting) = waiting {
            // The customer may have left.
            let _ = waiting.send(reply);
        }
    }

    /// Carries out an order.
    pub(super) fn execute(&self, shared: &Arc<Shared>, order: Order) {
        lock(&self.state).has_order = true;
        match order {
            Order::Beat(beat) => {
                let leader_version = beat.config;
                {
                    let mut state = lock(&self.state);
                    state.heard_at = clock::now();
                    state.beat = beat;
                }
                if let Some(raw) = shared.newer_config(leader_version) {
                    self.notify_leader(Report::Config(raw));
                }
            }
            Order::Watch(watch) => {
                let mut state = lock(&self.state);
                let current = state
                    .watchers
                    .get(&watch.worker)
                    .filter(|watcher| watcher.is_at(&watch.address));
                if let Some(watcher) = current {
                    watcher.acknowledge(watch.acknowledged);
                    return;
                }
                let epoch = state.epoch;
                let name = watch.worker.clone();
                match Watcher::start(shared, epoch, watch) {
                    Ok(watcher) => drop(state.watchers.insert(name, watcher)),
                    Err(error) => log::error!("kind=watch-refused worker={name} cause={error}"),
                }
            }
            Order::Unwatch(name) => drop(lock(&self.state).watchers.remove(&name)),
            Order::Start(start) => match self.watcher(&start.worker) {
                Some(watcher) => {
                    let run = watcher.start_task(Arc::clone(shared), start);
                    shared.spawner.spawn(run).detach();
                }
                None => {
                    self.notify_leader(Report::Started(start.placement(), Outcome::Unsent));
                }
            },
            Order::Stop(place) => self.stop(shared, place, false),
            Order::Void(place) => self.stop(shared, place, true),
            Order::Pace(place, percent) => {
                if let Some(watcher) = self.watcher(&place.worker) {
                    let run = watcher.pace_run(Arc::clone(shared), place, percent);
                    shared.spawner.spawn(run).detach();
                }
            }
            Order::Config(raw) => shared.apply_config(&raw),
            Order::Stage(number, stage) => self.deliver(number, Reply::Stage(stage)),
            Order::Stored(number, storage) => self.deliver(number, Reply::Stored(storage)),
        }
    }

    fn stop(&self, shared: &Arc<Shared>, place: Placement, polls_after: bool) {
        match self.watcher(&place.worker) {
            Some(watcher) => {
                let run = watcher.stop_run(Arc::clone(shared), place, polls_after);
                shared.spawner.spawn(run).detach();
            }
            None => self.notify_leader(Report::Stopped(place, Outcome::Unsent, clock::now())),
        }
    }

    fn watcher(&self, name: &Name) -> Option<Arc<Watcher>> {
        lock(&self.state).watchers.get(name).cloned()
    }
}
