//! Calls to one worker: polls that renew its lease, and orders to start, stop and pace runs.

use std::collections::BTreeMap;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use adapter::worker::Error;
use adapter::worker::Poll;
use adapter::worker::Status;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::agent::ACKNOWLEDGEMENT_TIMEOUT;
use scheduler::agent::Lease;
use scheduler::agent::REPORT_INTERVAL;
use scheduler::id;
use scheduler::leader::LEADER_CONTACT_TIMEOUT;
use scheduler::message::Failure;
use scheduler::message::Finding;
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
use super::session::Session;
use super::sleep;

/// The pause after a failed poll.
const RETRY_DELAY: Ms = Ms(200);
/// The time beyond the wait of a poll after which its answer counts as none. It exceeds the time
/// limit of the call, so only a process that was suspended reads a later one, and the worker may have
/// restarted since.
const MAX_ANSWER_DELAY: Ms = Ms(1_000);

/// Polls one worker and sends orders to it in one session with a leader. Each lock is held
/// briefly, never together with another lock and never across I/O.
pub(super) struct Watcher {
    name: Name,
    /// The number by which the leader knows this watch.
    number: id::Watch,
    address: SocketAddr,
    /// The address as the leader sent it.
    raw_address: Arc<str>,
    session: Arc<Session>,
    lease: Mutex<Lease>,
    /// The incarnation of the worker and the number up to which the leader has acknowledged its
    /// ends.
    acknowledged: Mutex<Option<(Ms, u64)>>,
    /// Signals a new value of `acknowledged` to the poll loop.
    acknowledgement: (Sender<()>, Receiver<()>),
    /// Runs that may be on the worker, with the time of the order to start them.
    known_runs: Mutex<BTreeMap<Placement, Ms>>,
    /// The poll loop. Dropping it cancels the loop.
    polling: Mutex<Option<Task<()>>>,
}

impl Watcher {
    /// Starts to poll a worker.
    pub(super) fn start(
        shared: &Arc<Shared>,
        session: Arc<Session>,
        watch: Watch,
    ) -> Result<Arc<Self>, AddrParseError> {
        let watcher = Arc::new(Self {
            name: watch.worker,
            number: watch.number,
            address: watch.address.parse()?,
            raw_address: watch.address,
            session,
            lease: Mutex::new(Lease::new(shared.options.lease, clock::now())),
            acknowledged: Mutex::new(watch.acknowledged),
            acknowledgement: smol::channel::bounded(1),
            known_runs: Mutex::default(),
            polling: Mutex::default(),
        });
        let polls = poll_while_watched(Arc::clone(shared), Arc::downgrade(&watcher));
        *lock(&watcher.polling) = Some(shared.spawner.spawn(polls));
        log::info!(
            "kind=watch-begun worker={} watch={} epoch={}",
            watcher.name,
            watcher.number,
            watcher.session.epoch()
        );
        Ok(watcher)
    }

    /// Returns whether an order is about this watch and begins no other one.
    pub(super) fn is_of(&self, watch: &Watch) -> bool {
        self.number == watch.number && *self.raw_address == *watch.address
    }

    /// Ends the polls after the one that is under way, and all renewals, although orders to the worker
    /// may still be under way.
    pub(super) fn end(&self) {
        lock(&self.lease).end();
    }

    fn has_ended(&self) -> bool {
        lock(&self.lease).has_ended()
    }

    /// Sends the leader a finding of this watch.
    fn report(&self, finding: Finding) -> bool {
        self.session.report(Report::of_watch(self.number, finding))
    }

    pub(super) fn acknowledge(&self, acknowledged: Option<(Ms, u64)>) {
        *lock(&self.acknowledged) = acknowledged;
        // The channel holds one signal, and a signal that is already queued is enough.
        let _ = self.acknowledgement.0.try_send(());
    }

    /// Ends the watch, and returns the lease and the runs that may be on the worker.
    pub(super) fn conclude(&self) -> (Lease, Vec<Placement>) {
        let lease = {
            let mut lease = lock(&self.lease);
            lease.end();
            *lease
        };
        (lease, lock(&self.known_runs).keys().cloned().collect())
    }

    /// Sends an order to start a task, unless the session is over or the lease cannot be renewed, and
    /// reports the outcome.
    pub(super) async fn start_task(self: Arc<Self>, shared: Arc<Shared>, start: Start) {
        let now = clock::now();
        let placement = start.placement();
        let deadline = self.session.start_contact().and_then(|last_contact| {
            let mut lease = lock(&self.lease);
            let deadline = lease.deadline(now, last_contact);
            if deadline.is_some() {
                lease.record_renewal(now);
            }
            deadline
        });
        let Some(deadline) = deadline else {
            self.session
                .report(Report::Started(placement, Outcome::Unsent));
            return;
        };
        lock(&self.known_runs).insert(placement.clone(), now);
        let workers = &shared.workers;
        let outcome = workers
            .start(self.address, self.session.epoch(), deadline, &start)
            .await;
        self.log_order("start", &placement, outcome, now);
        if !matches!(outcome, Outcome::Done | Outcome::Unknown) {
            lock(&self.known_runs).remove(&placement);
        }
        shared.instruments.record_start(outcome);
        self.session.report(Report::Started(placement, outcome));
        if outcome == Outcome::Unknown {
            self.poll_now(&shared).await;
        }
    }

    /// Sends an order to stop a run and reports the outcome. With `polls_after`, then polls the
    /// worker to find out whether the run had started.
    pub(super) async fn stop_run(
        self: Arc<Self>,
        shared: Arc<Shared>,
        placement: Placement,
        polls_after: bool,
    ) {
        let sent_at = clock::now();
        let outcome = shared
            .workers
            .stop(self.address, self.session.epoch(), &placement)
            .await;
        self.log_order("stop", &placement, outcome, sent_at);
        self.report(Finding::Stopped(placement, outcome, clock::now()));
        if polls_after && matches!(outcome, Outcome::Done | Outcome::Old) {
            self.poll_now(&shared).await;
        }
    }

    /// Sends an order to limit a run to `percent` of its full speed.
    pub(super) async fn pace_run(
        self: Arc<Self>,
        shared: Arc<Shared>,
        placement: Placement,
        percent: u8,
    ) {
        let workers = shared.workers.clone();
        let outcome = workers
            .pace(self.address, self.session.epoch(), &placement, percent)
            .await;
        if outcome != Outcome::Done {
            log::warn!(
                "kind=pace-failed task={} run={} worker={} outcome={outcome:?}",
                placement.task,
                placement.run,
                placement.worker
            );
        }
    }

    /// Logs the outcome of an order that was sent at `sent_at`, with the age of the confirmed
    /// contact with the leader.
    fn log_order(&self, order: &str, placement: &Placement, outcome: Outcome, sent_at: Ms) {
        let now = clock::now();
        log::info!(
            "kind=order-answered order={order} task={} run={} worker={} epoch={} \
             outcome={outcome:?} ms={} contact_ms={}",
            placement.task,
            placement.run,
            placement.worker,
            self.session.epoch(),
            now.since(sent_at).0,
            now.since(self.session.confirmed_contact()).0
        );
    }

    fn poll_request(&self, deadline: Option<Ms>, wait: Ms) -> Poll {
        let acknowledged = *lock(&self.acknowledged);
        Poll {
            epoch: self.session.epoch(),
            deadline,
            acknowledged: lock(&self.lease).acknowledged(clock::now(), acknowledged),
            wait,
        }
    }

    /// Sends a poll. An answer that is read late counts as none.
    async fn send_poll(
        &self,
        shared: &Shared,
        sent_at: Ms,
        request: Poll,
    ) -> Result<Status, Error> {
        let workers = &shared.workers;
        let status = workers.poll(&self.name, self.address, request).await?;
        let delay = clock::now().since(sent_at + request.wait);
        if delay > MAX_ANSWER_DELAY {
            return Err(Error::Unknown(format!("answer read {} ms late", delay.0)));
        }
        Ok(status)
    }

    /// Returns whether the next poll acknowledges all ends that an answer lists, which the poll that
    /// it answers did not.
    fn can_acknowledge(&self, request: Poll, status: &Status) -> bool {
        let last = status.ended.iter().map(|end| end.number).max();
        let acknowledged = *lock(&self.acknowledged);
        acknowledged.is_some_and(|(incarnation, number)| {
            incarnation == status.incarnation
                && last <= Some(number)
                && last > Some(request.acknowledged)
        })
    }

    /// Polls the worker immediately, without waiting for an end and without renewing the lease. It
    /// acknowledges no ends, because the worker may have restarted while the regular poll waits.
    async fn poll_now(&self, shared: &Shared) {
        // The sleep makes the time of this poll later than that of the preceding answer, because
        // times are in whole milliseconds.
        sleep(Ms(1)).await;
        if !self.session.is_open() {
            return;
        }
        let sent_at = clock::now();
        let request = Poll {
            epoch: self.session.epoch(),
            deadline: None,
            acknowledged: 0,
            wait: Ms::ZERO,
        };
        match self.send_poll(shared, sent_at, request).await {
            Ok(status) => {
                let now = clock::now();
                lock(&self.lease).record_answer(now, status.clock, status.incarnation);
                self.report_status(sent_at, status, true);
            }
            Err(Error::Fenced) => shared.agent.fence(&self.session),
            Err(_) => {}
        }
    }

    /// Makes one poll of the loop, which renews the lease if it may be renewed. Returns the pause
    /// before the next poll.
    async fn poll(&self, shared: &Shared, last_contact: Ms, reported_at: &mut Ms) -> Ms {
        let sent_at = clock::now();
        if sent_at.since(last_contact) > LEADER_CONTACT_TIMEOUT {
            return RETRY_DELAY;
        }
        let plan = {
            let mut lease = lock(&self.lease);
            let plan = lease.next_poll(sent_at, last_contact, *reported_at);
            if plan.deadline.is_some() {
                lease.record_renewal(sent_at);
            }
            plan
        };
        let request = self.poll_request(plan.deadline, plan.wait);
        match self.send_poll(shared, sent_at, request).await {
            Ok(status) => {
                let now = clock::now();
                shared
                    .instruments
                    .record_poll(now.since(sent_at + plan.wait));
                let was_unresponsive =
                    lock(&self.lease).record_answer(now, status.clock, status.incarnation);
                let has_ends = !status.ended.is_empty();
                let waits = has_ends && !self.can_acknowledge(request, &status);
                let is_due = now.since(*reported_at) >= REPORT_INTERVAL || was_unresponsive;
                if is_due {
                    *reported_at = now;
                }
                if is_due || has_ends {
                    self.report_status(sent_at, status, is_due);
                }
                if waits {
                    self.wait_for_acknowledgement().await;
                }
                Ms::ZERO
            }
            Err(error) => {
                let now = clock::now();
                let renewal_age = lock(&self.lease).renewal_age(now);
                log::info!(
                    "kind=look-failed worker={} watch={} epoch={} ms={} renewed_ago_ms={} ended={} cause={:?}",
                    self.name,
                    self.number,
                    self.session.epoch(),
                    now.since(sent_at).0,
                    renewal_age.map_or_else(|| "none".into(), |age| age.0.to_string()),
                    self.has_ended(),
                    error.to_string()
                );
                if matches!(error, Error::Fenced) {
                    shared.agent.fence(&self.session);
                    return Ms::ZERO;
                }
                let (renewal_age, is_first_failure) = {
                    let mut lease = lock(&self.lease);
                    let is_first_failure = !lease.is_unresponsive();
                    (lease.record_failure(now), is_first_failure)
                };
                if is_first_failure || self.has_ended() {
                    // A single answer may be lost, so the next poll retries over another connection
                    // before the failure is reported.
                    return Ms::ZERO;
                }
                self.report(Finding::PollFailed(Failure {
                    worker: self.name.clone(),
                    renewal_age,
                    is_closed: matches!(error, Error::Closed | Error::Replaced),
                }));
                RETRY_DELAY
            }
        }
    }

    async fn wait_for_acknowledgement(&self) {
        let acknowledged = async {
            // This value owns both ends of the channel, so receiving cannot fail.
            let _ = self.acknowledgement.1.recv().await;
        };
        acknowledged.or(sleep(ACKNOWLEDGEMENT_TIMEOUT)).await;
    }

    /// Reports the answer to a poll, unless the watch has ended: leaders of earlier builds cannot tell
    /// its reports from those of the next watch.
    fn report_status(&self, sent_at: Ms, status: Status, includes_running: bool) {
        if self.has_ended() {
            return;
        }
        {
            let mut known = lock(&self.known_runs);
            known.retain(|_, since| *since >= sent_at);
            // Ends that are not acknowledged count as known runs, because they may be the only
            // record of a run that a new leader gets.
            let running = status.running.iter().map(|row| (row.task, row.run));
            let ended = status.ended.iter().map(|end| (end.task, end.run));
            for (task, run) in running.chain(ended) {
                let placement = Placement {
                    worker: self.name.clone(),
                    incarnation: status.incarnation,
                    task,
                    run,
                };
                known.entry(placement).or_insert(Ms::ZERO);
            }
        }
        self.report(Finding::Polled(Observation {
            worker: self.name.clone(),
            incarnation: status.incarnation,
            polled_at: sent_at,
            running: includes_running.then_some(status.running),
            ended: status.ended,
        }));
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        log::info!(
            "kind=watch-ended worker={} watch={} epoch={}",
            self.name,
            self.number,
            self.session.epoch()
        );
    }
}

/// Polls a worker until its [`Watcher`] has ended or is dropped, or its session has ended.
async fn poll_while_watched(shared: Arc<Shared>, watcher: Weak<Watcher>) {
    let mut reported_at = Ms::ZERO;
    while let Some(watcher) = watcher.upgrade() {
        let Some(last_contact) = watcher.session.renewal_contact() else {
            return;
        };
        if watcher.has_ended() {
            return;
        }
        let pause = watcher.poll(&shared, last_contact, &mut reported_at).await;
        drop(watcher);
        if pause > Ms::ZERO {
            sleep(pause).await;
        }
    }
}

#[cfg(test)]
mod tests;
