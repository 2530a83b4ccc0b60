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
use super::watch::Watched;

/// The age of a beat after which what it says is no longer used.
const BEAT_VALID: Ms = Ms(3_000);

/// What an agent knows.
#[derive(Default)]
pub(super) struct Agent {
    state: Mutex<State>,
    asked: Mutex<Asked>,
}

#[derive(Default)]
struct State {
    epoch: Epoch,
    heard: Ms,
    has_order: bool,
    notes: Option<Sender<Report>>,
    watched: HashMap<Name, Arc<Watched>>,
    accounts: Inventory,
    beat: Beat,
}

/// What the leader answers to a question.
enum Answer {
    Stage(Option<Stage>),
    Stored(Storage),
}

#[derive(Default)]
struct Asked {
    next: u64,
    waiting: HashMap<u64, oneshot::Sender<Answer>>,
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
        let watched = std::mem::take(&mut state.watched);
        let watches = watched.into_iter().map(|(name, watched)| {
            let (lease, places) = watched.known();
            (name, lease, places)
        });
        let known = state.accounts.collect(now, watches);
        state.epoch = epoch;
        state.heard = now;
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
        lock(&self.asked).waiting.clear();
        state.has_order
    }

    /// When the leader was last heard, and the age of its last confirmed write.
    pub(super) fn contact(&self) -> (Ms, Ms) {
        let state = lock(&self.state);
        (state.heard, state.beat.store_age)
    }

    /// The epoch followed and when its leader was last heard.
    pub(super) fn leader(&self) -> (Epoch, Ms) {
        let state = lock(&self.state);
        (state.epoch, state.heard)
    }

    /// The newest beat, if it is not too old.
    pub(super) fn beat(&self) -> Option<Beat> {
        let state = lock(&self.state);
        let is_valid = state.has_order && clock::now().since(state.heard) <= BEAT_VALID;
        is_valid.then(|| state.beat.clone())
    }

    /// Tells the leader something, if there is one.
    pub(super) fn tell(&self, note: Report) {
        let notes = lock(&self.state).notes.clone();
        if let Some(notes) = notes {
            // A session that has ended is followed by one that asks for everything anew.
            drop(notes.try_send(note));
        }
    }

    /// Asks the leader for the stage of a job. The outer `None` means that there is no answer.
    pub(super) async fn ask(&self, job: Job) -> Option<Option<Stage>> {
        match self
            .question(|number| Report::QueryStage(number, job))?
            .await
        {
            Ok(Answer::Stage(stage)) => Some(stage),
            Ok(Answer::Stored(_)) | Err(_) => None,
        }
    }

    /// Asks the leader to write for a customer. `None` means that nothing was asked.
    pub(super) async fn store(&self, request: Request) -> Option<Storage> {
        let answer = self.question(|number| Report::Store(number, request))?;
        match answer.await {
            Ok(Answer::Stored(storage)) => Some(storage),
            // The connection was lost; the leader may have written.
            Ok(Answer::Stage(_)) | Err(_) => Some(Storage::Unknown),
        }
    }

    fn question(&self, note: impl FnOnce(u64) -> Report) -> Option<oneshot::Receiver<Answer>> {
        let notes = lock(&self.state).notes.clone()?;
        let (sender, receiver) = oneshot::channel();
        let number = {
            let mut asked = lock(&self.asked);
            asked.next += 1;
            let number = asked.next;
            asked.waiting.insert(number, sender);
            number
        };
        if notes.try_send(note(number)).is_err() {
            lock(&self.asked).waiting.remove(&number);
            return None;
        }
        Some(receiver)
    }

    fn answer(&self, number: u64, answer: Answer) {
        let waiting = lock(&self.asked).waiting.remove(&number);
        if let Some(waiting) = waiting {
            // The customer may have left.
            let _ = waiting.send(answer);
        }
    }

    /// Carries out an order.
    pub(super) fn obey(&self, shared: &Arc<Shared>, order: Order) {
        lock(&self.state).has_order = true;
        match order {
            Order::Beat(beat) => {
                let known = beat.config;
                {
                    let mut state = lock(&self.state);
                    state.heard = clock::now();
                    state.beat = beat;
                }
                if let Some(raw) = shared.newer_config(known) {
                    self.tell(Report::Config(raw));
                }
            }
            Order::Watch(watch) => {
                let mut state = lock(&self.state);
                let same = state
                    .watched
                    .get(&watch.worker)
                    .filter(|watched| watched.is_at(&watch.address));
                if let Some(watched) = same {
                    watched.acknowledge(watch.acknowledged);
                    return;
                }
                let epoch = state.epoch;
                let name = watch.worker.clone();
                match Watched::start(shared, epoch, watch) {
                    Ok(watched) => drop(state.watched.insert(name, watched)),
                    Err(error) => log::error!("kind=watch-refused worker={name} cause={error}"),
                }
            }
            Order::Unwatch(name) => drop(lock(&self.state).watched.remove(&name)),
            Order::Start(start) => match self.watched(&start.worker) {
                Some(watched) => {
                    let run = watched.start_task(Arc::clone(shared), start);
                    shared.spawner.spawn(run).detach();
                }
                None => {
                    self.tell(Report::Started(start.placement(), Outcome::Unsent));
                }
            },
            Order::Stop(place) => self.stop(shared, place, false),
            Order::Void(place) => self.stop(shared, place, true),
            Order::Pace(place, percent) => {
                if let Some(watched) = self.watched(&place.worker) {
                    let run = watched.pace_run(Arc::clone(shared), place, percent);
                    shared.spawner.spawn(run).detach();
                }
            }
            Order::Config(raw) => shared.take_config(&raw),
            Order::Stage(number, stage) => self.answer(number, Answer::Stage(stage)),
            Order::Stored(number, storage) => self.answer(number, Answer::Stored(storage)),
        }
    }

    fn stop(&self, shared: &Arc<Shared>, place: Placement, looks_after: bool) {
        match self.watched(&place.worker) {
            Some(watched) => {
                let run = watched.stop_run(Arc::clone(shared), place, looks_after);
                shared.spawner.spawn(run).detach();
            }
            None => self.tell(Report::Stopped(place, Outcome::Unsent, clock::now())),
        }
    }

    fn watched(&self, name: &Name) -> Option<Arc<Watched>> {
        lock(&self.state).watched.get(name).cloned()
    }
}
