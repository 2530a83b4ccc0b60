//! The agent: carries out the leader's orders and reports their results and the state of workers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use decision::clock::Ms;
use decision::name::Name;
use futures_channel::oneshot;
use scheduler::agent::Inventory;
use scheduler::counts::Counts;
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

use super::Shared;
use super::clock;
use super::lock;
use super::session::Session;
use super::watch::Watcher;

/// The age after which the contents of a heartbeat are no longer used.
const HEARTBEAT_VALIDITY: Ms = Ms(3_000);
/// The low bits of a query's number count the queries of a process; the others are the start time of
/// the process. A leader may answer the query of a process to the next one of the same entry.
const NUMBER_BITS: u32 = 20;
/// The number of a [`Report::Store`] whose write the store has confirmed already. No query has it, so
/// the answer of a leader of an earlier build, which writes again, reaches nobody.
pub(super) const STORED: u64 = 0;

/// The state of the agent across sessions with successive leaders.
pub(super) struct Agent {
    state: Mutex<State>,
    pending: Mutex<PendingQueries>,
}

#[derive(Default)]
struct State {
    /// The current or last session; `None` before the first.
    session: Option<Arc<Session>>,
    /// The highest epoch that a worker has refused as a fencing token; `None` before the first
    /// refusal. Leaders up to this epoch have been replaced.
    refused_epoch: Option<Epoch>,
    /// Whether the leader has sent an order in this session.
    has_order: bool,
    watchers: HashMap<Name, Arc<Watcher>>,
    /// The runs known from orders of earlier leaders.
    inventory: Inventory,
    /// The newest heartbeat of the leader.
    heartbeat: Heartbeat,
    /// The newest counts of waiting jobs.
    counts: Counts,
}

/// The leader's reply to a query of this agent.
enum Reply {
    Stage(Option<Stage>),
    Stored(Storage),
}

struct PendingQueries {
    /// The number of the newest query.
    last_number: u64,
    /// Where the replies go, by the number of the query.
    senders: HashMap<u64, oneshot::Sender<Reply>>,
}

impl State {
    fn is_current(&self, session: &Arc<Session>) -> bool {
        let current = self.session.as_ref();
        current.is_some_and(|current| Arc::ptr_eq(current, session))
    }
}

impl Agent {
    /// Creates the agent of the process of an entry that started at `instance`, in ms since 1970.
    pub(super) fn new(instance: u64) -> Self {
        let pending = PendingQueries {
            last_number: instance << NUMBER_BITS,
            senders: HashMap::new(),
        };
        Self {
            state: Mutex::default(),
            pending: Mutex::new(pending),
        }
    }

    /// Makes a session the current one and ends the one before it. Returns the runs known from
    /// earlier orders by worker, with the time since the last order that may have extended its
    /// lease.
    pub(super) fn begin_session(&self, session: &Arc<Session>) -> Vec<(Name, Ms, Vec<Placement>)> {
        log::info!("kind=leader-followed epoch={}", session.epoch());
        let earlier = lock(&self.state).session.replace(Arc::clone(session));
        if let Some(earlier) = earlier {
            earlier.end();
        }
        let mut state = lock(&self.state);
        let watchers = std::mem::take(&mut state.watchers);
        let watches = watchers.into_iter().map(|(name, watcher)| {
            let (lease, placements) = watcher.conclude();
            (name, lease, placements)
        });
        let known = state.inventory.collect(clock::now(), watches);
        state.has_order = false;
        state.heartbeat.store_age = Ms::ZERO;
        known
    }

    /// Records that the connection of a session was lost. Returns whether the leader had sent an
    /// order; also returns `true` if another session has begun meanwhile.
    pub(super) fn lose_session(&self, session: &Arc<Session>) -> bool {
        session.lose();
        let state = lock(&self.state);
        if !state.is_current(session) {
            return true;
        }
        let has_order = state.has_order;
        drop(state);
        lock(&self.pending).senders.clear();
        has_order
    }

    /// Ends the current session if it is with the leader of `epoch`, which no longer leads.
    pub(super) fn end_session(&self, epoch: Epoch) {
        let session = lock(&self.state).session.clone();
        if let Some(session) = session.filter(|session| session.epoch() == epoch) {
            session.end();
            lock(&self.pending).senders.clear();
        }
    }

    /// Ends a session in which a worker refused a poll for its fencing token.
    pub(super) fn fence(&self, session: &Session) {
        session.fence();
        let mut state = lock(&self.state);
        state.refused_epoch = state.refused_epoch.max(Some(session.epoch()));
    }

    /// Returns whether a worker has shown that the leader of `epoch` has been replaced.
    pub(super) fn is_refused(&self, epoch: Epoch) -> bool {
        let refused = lock(&self.state).refused_epoch;
        refused.is_some_and(|refused| epoch <= refused)
    }

    /// Returns the age of the leader's last confirmed write according to its last heartbeat.
    pub(super) fn store_age(&self) -> Ms {
        lock(&self.state).heartbeat.store_age
    }

    /// Returns the newest heartbeat, if it is at most [`HEARTBEAT_VALIDITY`] old.
    pub(super) fn heartbeat(&self) -> Option<Heartbeat> {
        let last_contact = lock(&self.state).session.clone()?.last_contact();
        let state = lock(&self.state);
        let is_valid = state.has_order && clock::now().since(last_contact) <= HEARTBEAT_VALIDITY;
        is_valid.then(|| state.heartbeat.clone())
    }

    /// Returns the number of waiting jobs of a queue, or `None` if the last counts are too old.
    pub(super) fn waiting_in(&self, queue: &str) -> Option<u32> {
        lock(&self.state).counts.waiting_in(clock::now(), queue)
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

    /// Tells the leader of a cancellation that the store has confirmed. The leader's feed also shows
    /// it, unless the store does not serve the leader.
    pub(super) fn report_cancellation(&self, job: Job) {
        let session = lock(&self.state).session.clone();
        if let Some(session) = session {
            session.report(Report::Store(STORED, Request::Cancel(job)));
        }
    }

    fn send_query(&self, report: impl FnOnce(u64) -> Report) -> Option<oneshot::Receiver<Reply>> {
        let session = lock(&self.state).session.clone()?;
        let (sender, receiver) = oneshot::channel();
        let number = {
            let mut pending = lock(&self.pending);
            pending.last_number += 1;
            let number = pending.last_number;
            pending.senders.insert(number, sender);
            number
        };
        if !session.report(report(number)) {
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

    /// Carries out an order of the leader of a session, if that session is open. An open session is
    /// the current one.
    pub(super) fn execute(&self, shared: &Arc<Shared>, session: &Arc<Session>, order: Order) {
        if !session.is_open() {
            return;
        }
        lock(&self.state).has_order = true;
        if let Some(sent_at) = order.contact_query_sent_at() {
            return session.confirm_contact(sent_at);
        }
        match order {
            Order::Beat(heartbeat) => {
                let leader_version = heartbeat.config;
                session.record_contact();
                let mut state = lock(&self.state);
                state.counts.update(clock::now(), &heartbeat);
                state.heartbeat = heartbeat;
                drop(state);
                if let Some(raw) = shared.newer_config(leader_version) {
                    session.report(Report::Config(raw));
                }
            }
            Order::Watch(watch) => {
                let mut state = lock(&self.state);
                let earlier = state.watchers.get(&watch.worker);
                if let Some(same) = earlier.filter(|earlier| earlier.is_of(&watch)) {
                    same.acknowledge(watch.acknowledged);
                    return;
                }
                if let Some(earlier) = earlier {
                    earlier.end();
                }
                let name = watch.worker.clone();
                match Watcher::start(shared, Arc::clone(session), watch) {
                    Ok(watcher) => drop(state.watchers.insert(name, watcher)),
                    Err(error) => log::error!("kind=watch-refused worker={name} cause={error}"),
                }
            }
            Order::Unwatch(name) => {
                let watcher = lock(&self.state).watchers.remove(&name);
                if let Some(watcher) = watcher {
                    watcher.end();
                }
            }
            Order::Start(start) => match self.watcher(&start.worker) {
                Some(watcher) => {
                    let run = watcher.start_task(Arc::clone(shared), start);
                    shared.spawner.spawn(run).detach();
                }
                None => {
                    session.report(Report::Started(start.placement(), Outcome::Unsent));
                }
            },
            Order::Stop(placement) => self.stop_run(shared, session, placement, false),
            Order::Void(placement) => self.stop_run(shared, session, placement, true),
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

    fn stop_run(
        &self,
        shared: &Arc<Shared>,
        session: &Session,
        placement: Placement,
        polls_after: bool,
    ) {
        match self.watcher(&placement.worker) {
            Some(watcher) => {
                let run = watcher.stop_run(Arc::clone(shared), placement, polls_after);
                shared.spawner.spawn(run).detach();
            }
            // An echo would tell the leader that it has been sent all earlier reports.
            None if placement.echo_sent_at().is_some() && !session.is_complete() => {
                log::info!("kind=echo-withheld epoch={}", session.epoch());
            }
            None => {
                session.report(Report::Stopped(placement, Outcome::Unsent, clock::now()));
            }
        }
    }

    fn watcher(&self, name: &Name) -> Option<Arc<Watcher>> {
        lock(&self.state).watchers.get(name).cloned()
    }
}

#[cfg(test)]
mod tests;
