//! The loop that passes inputs to [`Leader`] and carries out its actions.

use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use adapter::store::Error;
use adapter::store::Transaction;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::id::Step;
use scheduler::leader::Action;
use scheduler::leader::Bounds;
use scheduler::leader::Commit;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Request;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use super::Shared;
use super::clock;
use super::leadership::Input;
use super::leadership::Leadership;
use super::leadership::REPLACED;
use super::peers;
use super::persist;
use super::resign::End;
use super::rows;

/// The interval at which the leader gets [`Event::Tick`].
const TICK_INTERVAL: Ms = Ms(50);
/// The pause of the driver loop after which this entry stops leading: by then its agents may follow
/// another leader and its feeds may be out of date.
const SUSPENSION_THRESHOLD: Ms = Ms(1_500);
/// The reason given when the driver loop paused for [`SUSPENSION_THRESHOLD`] or longer.
const SUSPENDED: &str = "suspended";
/// The most inputs that are handled before the leader schedules tasks.
const MAX_BATCH_EVENTS: usize = 256;

/// The loop that owns the leader and the connections of its agents.
pub(super) struct Driver {
    shared: Arc<Shared>,
    leadership: Arc<Leadership>,
    queue: Receiver<Input>,
    leader: Leader,
    /// The current connection of each agent: its number and where orders go.
    agents: BTreeMap<Name, (u64, Sender<Vec<Order>>)>,
    /// Orders by agent since the last flush.
    outgoing: BTreeMap<Name, Vec<Order>>,
    /// When the newest confirmed write that the leader knows of was sent.
    confirmed_sent_at: Ms,
    /// How the driver has to end; `None` while it leads.
    end: Option<End>,
}

impl Driver {
    pub(super) fn new(
        shared: &Arc<Shared>,
        leadership: &Arc<Leadership>,
        queue: Receiver<Input>,
    ) -> Self {
        let options = &shared.options;
        let bounds = Bounds {
            lease: options.lease,
            retention: options.retention,
            harm: options.harm,
        };
        Self {
            leader: Leader::new(options.name.clone(), leadership.epoch, bounds, clock::now()),
            shared: Arc::clone(shared),
            leadership: Arc::clone(leadership),
            queue,
            agents: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            confirmed_sent_at: Ms::ZERO,
            end: None,
        }
    }

    /// Runs the loop until the leadership has to end, and returns how it ends.
    pub(super) async fn run(&mut self) -> End {
        if let Some(config) = self.shared.config() {
            self.handle_event(Event::Config(config));
        }
        let mut last_active = clock::now();
        let mut tick_due = last_active;
        let mut heartbeat_due = clock::now();
        loop {
            if let Some(end) = self.end {
                return end;
            }
            let queue = self.queue.clone();
            let next = async { queue.recv().await.ok() };
            let pause = Duration::from_millis(tick_due.since(clock::now()).0);
            let timer = async {
                Timer::after(pause).await;
                None
            };
            let input = next.or(timer).await;
            if clock::now().since(last_active) >= SUSPENSION_THRESHOLD {
                return End::Unconfirmed(SUSPENDED);
            }
            last_active = clock::now();
            if let Some(input) = input {
                self.handle_input(input);
            }
            for _ in 1..MAX_BATCH_EVENTS {
                let Ok(input) = self.queue.try_recv() else {
                    break;
                };
                self.handle_input(input);
            }
            let now = clock::now();
            if now >= tick_due {
                tick_due = now + TICK_INTERVAL;
                self.handle_event(Event::Tick(clock::unix()));
            }
            if now >= heartbeat_due {
                heartbeat_due = now + peers::HEARTBEAT_INTERVAL;
                self.send_heartbeats();
            }
            self.confirm_lead();
            let actions = self.leader.schedule(now);
            self.shared.instruments.record_tally(self.leader.tally());
            self.perform(actions);
            self.flush();
        }
    }

    /// Tells the leader of the newest confirmed write.
    fn confirm_lead(&mut self) {
        let sent_at = self.leadership.confirmed_sent_at();
        if sent_at > self.confirmed_sent_at {
            self.confirmed_sent_at = sent_at;
            self.handle_event(Event::LeadConfirmed(sent_at));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(Event::Received(entry, Report::Store(number, request))) => {
                self.write_for_agent(entry, number, request);
            }
            Input::Event(Event::Received(_, Report::Config(raw))) => self.shared.apply_config(&raw),
            Input::Event(event) => self.handle_event(event),
            Input::Config(config, raw) => {
                self.handle_event(Event::Config(config));
                for agent in self.agents.keys() {
                    let orders = self.outgoing.entry(agent.clone()).or_default();
                    orders.push(Order::Config(Arc::clone(&raw)));
                }
            }
            Input::Stored(entry, number, storage) => {
                let orders = self.outgoing.entry(entry).or_default();
                orders.push(Order::Stored(number, storage));
            }
            Input::Joined(hello, connection, out) => {
                let entry = hello.entry.clone();
                let domain = hello.domain.clone();
                if self.agents.contains_key(&entry) {
                    self.handle_event(Event::Left(entry.clone()));
                }
                self.agents.insert(entry.clone(), (connection, out));
                if let Some(raw) = self.shared.newer_config(0) {
                    let orders = self.outgoing.entry(entry.clone()).or_default();
                    orders.push(Order::Config(raw));
                }
                self.handle_event(Event::Received(entry.clone(), Report::Hello(hello)));
                self.handle_event(Event::Joined(entry, domain));
                self.send_heartbeats();
            }
            Input::Left(entry, connection) => {
                let is_current = self
                    .agents
                    .get(&entry)
                    .is_some_and(|(current, _)| *current == connection);
                if is_current {
                    self.agents.remove(&entry);
                    self.outgoing.remove(&entry);
                    self.handle_event(Event::Left(entry));
                }
            }
            Input::Ended(end) => self.end = Some(end),
        }
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Received(_, Report::Polled(observation)) = &event {
            for end in &observation.ended {
                self.shared.instruments.record_end(end.termination);
            }
        }
        let is_recovered = matches!(event, Event::Recovered);
        let actions = self.leader.handle(clock::now(), event);
        self.perform(actions);
        if is_recovered {
            // The heartbeats before had no counts of waiting jobs.
            self.send_heartbeats();
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(agent, order) => self.outgoing.entry(agent).or_default().push(order),
                Action::Commit(commit) => self.commit(&commit),
                Action::Advise(step, workers) => self.advise(step, workers),
                Action::Resign(reason) => self.end = Some(End::Unconfirmed(reason)),
                Action::Log(line) => log::info!("epoch={} {line}", self.leadership.epoch),
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let heartbeat = self.leader.heartbeat(self.leadership.store_age());
        for agent in self.agents.keys() {
            let orders = self.outgoing.entry(agent.clone()).or_default();
            orders.push(Order::Beat(heartbeat.clone()));
        }
    }

    /// Sends each agent the orders that have been collected for it.
    fn flush(&mut self) {
        for (agent, orders) in mem::take(&mut self.outgoing) {
            if let Some((_, out)) = self.agents.get(&agent) {
                // Sending fails once the connection has ended; [`Input::Left`] follows.
                drop(out.try_send(orders));
            }
        }
    }

    /// Requests tickets for a step from the advice service.
    fn advise(&self, step: Step, workers: Vec<Name>) {
        let shared = Arc::clone(&self.shared);
        let leadership = Arc::clone(&self.leadership);
        let call = async move {
            let Some(client) = &shared.advice else {
                log::error!("kind=advice-missing step={step} cause=no-address");
                return leadership.send_event(Event::AdviceFailed(step));
            };
            let event = match client.request(step, &workers).await {
                Ok(advice) => Event::AdviceReceived(step, advice.tickets, advice.validity),
                Err(error) => {
                    log::warn!(
                        "kind=advice-missing step={step} cause={:?}",
                        error.to_string()
                    );
                    Event::AdviceFailed(step)
                }
            };
            leadership.send_event(event);
        };
        self.shared.spawner.spawn(call).detach();
    }

    /// Makes a customer's write for an agent that the store does not serve.
    fn write_for_agent(&self, entry: Name, number: u64, request: Request) {
        let shared = Arc::clone(&self.shared);
        let leadership = Arc::clone(&self.leadership);
        let write = async move {
            let storage = persist::write_for_agent(&shared, &request).await;
            leadership.send(Input::Stored(entry, number, storage));
        };
        self.shared.spawner.spawn(write).detach();
    }

    /// Writes a commit to the store and queues the result as an input.
    fn commit(&self, commit: &Commit) {
        let transaction = transaction(commit);
        let shared = Arc::clone(&self.shared);
        let leadership = Arc::clone(&self.leadership);
        let write = async move {
            let input = match leadership.write(&shared, transaction).await {
                Ok(()) => Input::Event(Event::Committed),
                Err(Error::Conflict(_)) => Input::Ended(End::Confirmed(REPLACED)),
                Err(error) => {
                    log::warn!("kind=commit-unconfirmed cause={:?}", error.to_string());
                    Input::Event(Event::CommitUnconfirmed)
                }
            };
            leadership.send(input);
        };
        self.shared.spawner.spawn(write).detach();
    }
}

/// Returns the rows that a commit writes and removes, without the rows that it expects.
fn transaction(commit: &Commit) -> Transaction {
    let progress = commit.progress.iter();
    let mut puts: Vec<_> = progress
        .map(|(job, progress)| (rows::progress(*job), rows::encode(progress)))
        .collect();
    if let Some(interference) = &commit.interference {
        puts.push((rows::interference(), rows::encode(interference)));
    }
    if let Some(fleet) = &commit.fleet {
        puts.push((rows::members(), rows::encode(fleet)));
    }
    let removed = commit.removed.iter().flat_map(|&job| {
        [
            rows::accepted(job),
            rows::cancelled(job),
            rows::progress(job),
        ]
    });
    Transaction {
        expected: Vec::new(),
        puts,
        removed: removed.collect(),
    }
}
