//! Calls to one worker: looks that renew its lease, starts, stops and paces.

use std::collections::BTreeMap;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use adapter::worker::Error;
use adapter::worker::Held;
use adapter::worker::Hold;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::agent::Lease;
use scheduler::agent::REPORT_INTERVAL;
use scheduler::id::Epoch;
use scheduler::leader::LEADER_CONTACT_TIMEOUT;
use scheduler::message::Failure;
use scheduler::message::Observation;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Start;
use scheduler::message::Watch;
use smol::Task;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use super::Shared;
use super::clock;
use super::lock;
use super::sleep;

/// The pause after a look without an answer.
const RETRY: Ms = Ms(200);
/// The longest wait for the leader to acknowledge ends before the next look.
const ACKNOWLEDGE: Ms = Ms(250);

/// A worker that this agent watches. Each lock is taken for a moment, alone, and never over I/O.
pub(super) struct Watched {
    name: Name,
    address: SocketAddr,
    raw_address: Arc<str>,
    epoch: Epoch,
    lease: Mutex<Lease>,
    acknowledged: Mutex<Option<(Ms, u64)>>,
    acknowledgement: (Sender<()>, Receiver<()>),
    /// Runs that may be on the worker, with the time of the order.
    known: Mutex<BTreeMap<Placement, Ms>>,
    looking: Mutex<Option<Task<()>>>,
}

impl Watched {
    /// Starts to watch a worker.
    pub(super) fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        watch: Watch,
    ) -> Result<Arc<Self>, AddrParseError> {
        let watched = Arc::new(Self {
            name: watch.worker,
            address: watch.address.parse()?,
            raw_address: watch.address,
            epoch,
            lease: Mutex::new(Lease::new(shared.options.lease)),
            acknowledged: Mutex::new(watch.acknowledged),
            acknowledgement: smol::channel::bounded(1),
            known: Mutex::default(),
            looking: Mutex::default(),
        });
        let looks = look_on(Arc::clone(shared), Arc::downgrade(&watched));
        *lock(&watched.looking) = Some(shared.spawner.spawn(looks));
        Ok(watched)
    }

    pub(super) fn is_at(&self, address: &str) -> bool {
        *self.raw_address == *address
    }

    pub(super) fn acknowledge(&self, acknowledged: Option<(Ms, u64)>) {
        *lock(&self.acknowledged) = acknowledged;
        // One signal in the queue is enough.
        let _ = self.acknowledgement.0.try_send(());
    }

    /// The lease, and the runs that may be on the worker.
    pub(super) fn known(&self) -> (Lease, Vec<Placement>) {
        let lease = *lock(&self.lease);
        (lease, lock(&self.known).keys().cloned().collect())
    }

    pub(super) async fn start_task(self: Arc<Self>, shared: Arc<Shared>, start: Start) {
        let (_, heard) = shared.agent.leader();
        let now = clock::now();
        let place = start.placement();
        let deadline = {
            let mut lease = lock(&self.lease);
            let deadline = lease.deadline(now, heard);
            if deadline.is_some() {
                lease.record_renewal(now);
            }
            deadline
        };
        let Some(deadline) = deadline else {
            return shared.agent.tell(Report::Started(place, Outcome::Unsent));
        };
        lock(&self.known).insert(place.clone(), now);
        let workers = &shared.workers;
        let outcome = workers
            .start(self.address, self.epoch, deadline, &start)
            .await;
        if !matches!(outcome, Outcome::Done | Outcome::Unknown) {
            lock(&self.known).remove(&place);
        }
        shared.instruments.start(outcome);
        shared.agent.tell(Report::Started(place, outcome));
        if outcome == Outcome::Unknown {
            self.look_now(&shared).await;
        }
    }

    pub(super) async fn stop_run(
        self: Arc<Self>,
        shared: Arc<Shared>,
        place: Placement,
        looks_after: bool,
    ) {
        let outcome = shared.workers.stop(self.address, self.epoch, &place).await;
        shared
            .agent
            .tell(Report::Stopped(place, outcome, clock::now()));
        if looks_after && matches!(outcome, Outcome::Done | Outcome::Old) {
            self.look_now(&shared).await;
        }
    }

    pub(super) async fn pace_run(
        self: Arc<Self>,
        shared: Arc<Shared>,
        place: Placement,
        percent: u8,
    ) {
        let workers = shared.workers.clone();
        let outcome = workers
            .pace(self.address, self.epoch, &place, percent)
            .await;
        if outcome != Outcome::Done {
            log::warn!(
                "kind=pace-failed task={} run={} worker={} outcome={outcome:?}",
                place.task,
                place.run,
                place.worker
            );
        }
    }

    fn hold(&self, deadline: Option<Ms>, wait: Ms) -> Hold {
        let reported = *lock(&self.acknowledged);
        Hold {
            epoch: self.epoch,
            deadline,
            acknowledged: lock(&self.lease).acknowledged(reported),
            wait,
        }
    }

    /// Looks once, without a wait and without a renewal.
    async fn look_now(&self, shared: &Shared) {
        // The millisecond makes sure that the look comes after the answer before it.
        sleep(Ms(1)).await;
        let asked = clock::now();
        let hold = self.hold(None, Ms::ZERO);
        if let Ok(held) = shared.workers.hold(&self.name, self.address, hold).await {
            self.report(shared, asked, held, true);
        }
    }

    /// Looks in turn, renewing the lease; returns how long to pause.
    async fn look(&self, shared: &Shared, reported: &mut Ms) -> Ms {
        let (_, heard) = shared.agent.leader();
        let asked = clock::now();
        if asked.since(heard) > LEADER_CONTACT_TIMEOUT {
            return RETRY;
        }
        let plan = {
            let mut lease = lock(&self.lease);
            let plan = lease.next_poll(asked, heard, *reported);
            if plan.deadline.is_some() {
                lease.record_renewal(asked);
            }
            plan
        };
        let hold = self.hold(plan.deadline, plan.wait);
        match shared.workers.hold(&self.name, self.address, hold).await {
            Ok(held) => {
                let now = clock::now();
                shared.instruments.look(now.since(asked + plan.wait));
                let was_silent = lock(&self.lease).record_answer(now, held.clock, held.born);
                let has_ends = !held.ended.is_empty();
                let is_due = now.since(*reported) >= REPORT_INTERVAL || was_silent;
                if is_due {
                    *reported = now;
                }
                if is_due || has_ends {
                    self.report(shared, asked, held, is_due);
                }
                if has_ends {
                    self.wait_for_acknowledgement().await;
                }
                Ms::ZERO
            }
            Err(error) => {
                let now = clock::now();
                log::info!(
                    "kind=look-failed worker={} ms={} cause={:?}",
                    self.name,
                    now.since(asked).0,
                    error.to_string()
                );
                if matches!(error, Error::Fenced) {
                    return LEADER_CONTACT_TIMEOUT;
                }
                let (ago, is_first) = {
                    let mut lease = lock(&self.lease);
                    let is_first = !lease.is_unresponsive();
                    (lease.record_failure(now), is_first)
                };
                if is_first {
                    // A single answer may be lost; the next look asks over another connection.
                    return Ms::ZERO;
                }
                shared.agent.tell(Report::PollFailed(Failure {
                    worker: self.name.clone(),
                    renewal_age: ago,
                    is_closed: matches!(error, Error::Closed),
                }));
                RETRY
            }
        }
    }

    async fn wait_for_acknowledgement(&self) {
        let reported = async {
            // The channel lives as long as this value.
            let _ = self.acknowledgement.1.recv().await;
        };
        reported.or(sleep(ACKNOWLEDGE)).await;
    }

    fn report(&self, shared: &Shared, asked: Ms, held: Held, with_running: bool) {
        {
            let mut known = lock(&self.known);
            known.retain(|_, since| *since >= asked);
            // An end that is not acknowledged may be all that a new leader learns of a run.
            let running = held.running.iter().map(|row| (row.task, row.run));
            let ended = held.ended.iter().map(|end| (end.task, end.run));
            for (task, run) in running.chain(ended) {
                let place = Placement {
                    worker: self.name.clone(),
                    incarnation: held.born,
                    task,
                    run,
                };
                known.entry(place).or_insert(Ms::ZERO);
            }
        }
        shared.agent.tell(Report::Polled(Observation {
            worker: self.name.clone(),
            incarnation: held.born,
            polled_at: asked,
            running: with_running.then_some(held.running),
            ended: held.ended,
        }));
    }
}

/// Looks at a worker for as long as it is watched.
async fn look_on(shared: Arc<Shared>, watched: Weak<Watched>) {
    let mut reported = Ms::ZERO;
    while let Some(watched) = watched.upgrade() {
        let pause = watched.look(&shared, &mut reported).await;
        drop(watched);
        if pause > Ms::ZERO {
            sleep(pause).await;
        }
    }
}
