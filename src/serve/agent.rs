//! The agent: carries out the leader's orders and reports their results and the state of workers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use decision::clock::Ms;
use decision::name::Name;
use futures_channel::oneshot;
use scheduler::agent::Inventory;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::message::Heartbeat;
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

/// The age after which the contents of a heartbeat are no longer used.
const HEARTBEAT_VALIDITY: Ms = Ms(3_000);

/// The state of the agent across sessions with successive leaders.
#[derive(Default)]
pub(super) struct Agent {
    state: Mutex<State>,
    pending: Mutex<PendingQueries>,
}

#[derive(Default)]
struct State {
    /// The epoch of the leader that is or was last followed.
    epoch: Epoch,
    /// When the session began or the last heartbeat arrived, whichever is later.
    last_contact: Ms,
    /// Whether the leader has sent an order in this session.
    has_order: bool,
    /// Where reports for the leader go; `None` outside a session.
    reports: Option<Sender<Report>>,
    watchers: HashMap<Name, Arc<Watcher>>,
    /// The runs known from orders of earlier leaders.
    inventory: Inventory,
    /// The newest heartbeat of the leader.
    heartbeat: Heartbeat,
}

/// The leader's reply to a query of this agent.
enum Reply {
    Stage(Option<Stage>),
    Stored(Storage),
}

#[derive(Default)]
struct PendingQueries {
    /// The number of the newest query.
    last_number: u64,
    /// Where the replies go, by the number of the query.
    senders: HashMap<u64, oneshot::Sender<Reply>>,
}

impl Agent {
    /// Begins a session with the leader of `epoch`. Returns the runs known from earlier orders by
    /// worker, with the time since the last order that may have extended its lease.
    pub(super) fn begin_session(
        &self,
        epoch: Epoch,
        reports: Sender<Report>,
    ) -> Vec<(Name, Ms, Vec<Placement>)> {
        log::info!("kind=leader-followed epoch={epoch}");
        let mut state = lock(&self.state);
        let now = clock::now();
        let watchers = std::mem::take(&mut state.watchers);
        let watches = watchers.into_iter().map(|(name, watcher)| {
            let (lease, placements) = watcher.lease_and_runs();
            (name, lease, placements)
        });
        let known = state.inventory.collect(now, watches);
        state.epoch = epoch;
        state.last_contact = now;
        state.has_order = false;
        state.reports = Some(reports);
        state.heartbeat.store_age = Ms::ZERO;
        known
    }

    /// Ends the session with the leader of `epoch`. Returns whether the leader had sent an order;
    /// also returns `true` if a session in another epoch has begun meanwhile.
    pub(super) fn end_session(&self, epoch: Epoch) -> bool {
        let mut state = lock(&self.state);
        if state.epoch != epoch {
            return true;
        }
        state.reports = None;
        lock(&self.pending).senders.clear();
        state.has_order
    }

    /// Returns the time of the last heartbeat, and the age of the leader's last confirmed write
    /// according to it.
    pub(super) fn leader_health(&self) -> (Ms, Ms) {
        let state = lock(&self.state);
        (state.last_contact, state.heartbeat.store_age)
    }

    /// Returns the epoch of the followed leader and the time of its last heartbeat.
    pub(super) fn leader(&self) -> (Epoch, Ms) {
        let state = lock(&self.state);
        (state.epoch, state.last_contact)
    }

    /// Returns the newest heartbeat, if it is at most [`HEARTBEAT_VALIDITY`] old.
    pub(super) fn heartbeat(&self) -> Option<Heartbeat> {
        let state = lock(&self.state);
        let is_valid =
            state.has_order && clock::now().since(state.last_contact) <= HEARTBEAT_VALIDITY;
        is_valid.then(|| state.heartbeat.clone())
    }

    /// Sends a report to the leader, or drops it outside a session.
    pub(super) fn notify_leader(&self, report: Report) {
        let reports = lock(&self.state).reports.clone();
        if let Some(reports) = reports {
            // Sending fails once the session has ended. The next session reports everything again.
            drop(reports.try_send(report));
        }
    }

    /// Queries the leader for the stage of a job. The outer `None` means that there was no reply,
    /// the inner `None` that the leader does not know the job.
    pub(super) async fn query_stage(&self, job: Job) -> Option<Option<Stage>> {
        match self
            .send_query(|number| Report::QueryStage(number, job))?
            .await
        {
            Ok(Reply::Stage(stage)) => Some(stage),
            Ok(Reply::Stored(_)) | Err(_) => None,
        }
    }

    /// Requests a customer's write from the leader. `None` means that the request was not sent.
    pub(super) async fn request_write(&self, request: Request) -> Option<Storage> {
        let reply = self.send_query(|number| Report::Store(number, request))?;
        match reply.await {
            Ok(Reply::Stored(storage)) => Some(storage),
            // The connection was lost, so the leader may or may not have written.
            Ok(Reply::Stage(_)) | Err(_) => Some(Storage::Unknown),
        }
    }

    fn send_query(&self, report: impl FnOnce(u64) -> Report) -> Option<oneshot::Receiver<Reply>> {
        let reports = lock(&self.state).reports.clone()?;
        let (sender, receiver) = oneshot::channel();
        let number = {
            let mut pending = lock(&self.pending);
            pending.last_number += 1;
            let number = pending.last_number;
            pending.senders.insert(number, sender);
            number
        };
        if reports.try_send(report(number)).is_err() {
            lock(&self.pending).senders.remove(&number);
            return None;
        }
        Some(receiver)
    }

    fn deliver_reply(&self, number: u64, reply: Reply) {
        let sender = lock(&self.pending).senders.remove(&number);
        if let Some(sender) = sender {
            // Sending fails if the customer has disconnected.
            let _ = sender.send(reply);
        }
    }

    /// Carries out an order of the leader.
    pub(super) fn execute(&self, shared: &Arc<Shared>, order: Order) {
        lock(&self.state).has_order = true;
        match order {
            Order::Beat(heartbeat) => {
                let leader_version = heartbeat.config;
                {
                    let mut state = lock(&self.state);
                    state.last_contact = clock::now();
                    state.heartbeat = heartbeat;
                }
                if let Some(raw) = shared.newer_config(leader_version) {
                    self.notify_leader(Report::Config(raw));
                }
            }
            Order::Watch(watch) => {
                let mut state = lock(&self.state);
                let existing = state
                    .watchers
                    .get(&watch.worker)
                    .filter(|watcher| watcher.is_at(&watch.address));
                if let Some(watcher) = existing {
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
            Order::Stop(placement) => self.stop_run(shared, placement, false),
            Order::Void(placement) => self.stop_run(shared, placement, true),
            Order::Pace(placement, percent) => {
                if let Some(watcher) = self.watcher(&placement.worker) {
                    let run = watcher.pace_run(Arc::clone(shared), placement, percent);
                    shared.spawner.spawn(run).detach();
                }
            }
            Order::Config(raw) => shared.apply_config(&raw),
            Order::Stage(number, stage) => self.deliver_reply(number, Reply::Stage(stage)),
            Order::Stored(number, storage) => self.deliver_reply(number, Reply::Stored(storage)),
        }
    }

    fn stop_run(&self, shared: &Arc<Shared>, placement: Placement, polls_after: bool) {
        match self.watcher(&placement.worker) {
            Some(watcher) => {
                let run = watcher.stop_run(Arc::clone(shared), placement, polls_after);
                shared.spawner.spawn(run).detach();
            }
            None => self.notify_leader(Report::Stopped(placement, Outcome::Unsent, clock::now())),
        }
    }

    fn watcher(&self, name: &Name) -> Option<Arc<Watcher>> {
        lock(&self.state).watchers.get(name).cloned()
    }
}
