//! The loop that passes inputs to [`Leader`] and carries out its actions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::mem;
use std::sync::Arc;

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
use scheduler::message::Heartbeat;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Request;
use scheduler::message::Storage;
use smol::channel::Sender;
use smol::channel::TrySendError;

use super::Shared;
use super::agent;
use super::chunks::Divided;
use super::clock;
use super::inbox::Inbox;
use super::leadership::Input;
use super::leadership::Leadership;
use super::leadership::REPLACED;
use super::peers;
use super::persist;
use super::resign::End;
use super::rows;
use super::sleep;

/// The interval at which the leader gets [`Event::Tick`].
const TICK_INTERVAL: Ms = Ms(50);
/// The pause of the driver loop after which this entry stops leading: by then its agents may follow
/// another leader and its feeds may be out of date.
const SUSPENSION_THRESHOLD: Ms = Ms(1_500);
/// The reason given when the driver loop paused for [`SUSPENSION_THRESHOLD`] or longer.
const SUSPENDED: &str = "suspended";
/// The most inputs that are handled before the leader schedules tasks.
const MAX_BATCH_INPUTS: usize = 256;
/// The time after which the leader schedules tasks although more inputs are queued.
const MAX_BATCH_TIME: Ms = Ms(10);
/// The number of inputs between two readings of the clock.
const INPUTS_PER_CLOCK_READING: usize = 8;
/// The shortest pause after a round that leaves inputs in the queue or that lasted until the next
/// tick. In it the other tasks of this process read and write their connections; merely yielding
/// would not let the sockets be polled.
const MIN_BUSY_PAUSE: Ms = Ms(1);
/// The part of the time of a round that its pause takes, so that the other tasks keep a share of the
/// processor however long rounds take.
const BUSY_PAUSE_DIVISOR: u64 = 10;
/// The interval of the log lines that report the load of the driver.
const LOAD_INTERVAL: Ms = Ms(1_000);
/// The bytes of configuration that are sent to agents with each tick, unless a single one is larger.
/// Agents that reach the store read it there, so this need not be fast.
const MAX_CONFIG_BYTES_PER_TICK: usize = 256 << 10;

/// The rounds of the driver since the last log line.
#[derive(Debug, Default)]
struct Load {
    rounds: u64,
    inputs: u64,
    /// The longest time that a round took.
    longest: Ms,
    /// The most inputs that were left in the queues after a round.
    queued: usize,
    logged: Ms,
}

/// The loop that owns the leader and the connections of its agents.
pub(super) struct Driver {
    shared: Arc<Shared>,
    leadership: Arc<Leadership>,
    inbox: Inbox,
    leader: Leader,
    /// The current connection of each agent: its number and where orders go.
    agents: BTreeMap<Name, (u64, Sender<Vec<Order>>)>,
    /// Orders by agent since the last flush.
    outgoing: BTreeMap<Name, Vec<Order>>,
    /// When the newest confirmed write that the leader knows of was sent.
    confirmed_sent_at: Ms,
    /// The version of the configuration that the leader has.
    config_version: u64,
    /// The agents that were not sent that configuration yet.
    config_due: VecDeque<Name>,
    /// The counts of waiting jobs in the last heartbeat.
    waiting: Vec<(Name, u32)>,
    load: Load,
}

impl Driver {
    pub(super) fn new(shared: &Arc<Shared>, leadership: &Arc<Leadership>, inbox: Inbox) -> Self {
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
            inbox,
            agents: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            confirmed_sent_at: Ms::ZERO,
            config_version: 0,
            config_due: VecDeque::new(),
            waiting: Vec::new(),
            load: Load::default(),
        }
    }

    /// Runs the loop until the leadership has to end, and returns how it ends.
    pub(super) async fn run(&mut self) -> End {
        let mut last_active = clock::now();
        let mut tick_due = last_active;
        let mut heartbeat_due = last_active;
        loop {
            if let Some(end) = self.leadership.ended() {
                return end;
            }
            let input = self.inbox.next(tick_due.since(clock::now())).await;
            let begun = clock::now();
            if begun.since(last_active) >= SUSPENSION_THRESHOLD {
                return End::Unconfirmed(SUSPENDED);
            }
            last_active = begun;
            self.apply_config();
            self.handle_batch(begun, input);
            let now = clock::now();
            if now >= heartbeat_due {
                heartbeat_due = now + peers::HEARTBEAT_INTERVAL;
                self.send_heartbeats();
            }
            if now >= tick_due {
                tick_due = now + TICK_INTERVAL;
                self.handle_event(Event::Tick(clock::unix()));
                self.send_config();
            }
            self.confirm_lead();
            let actions = self.leader.schedule(now);
            self.shared.instruments.record_tally(self.leader.tally());
            self.perform(actions);
            self.flush();
            self.record_round(begun);
            let now = clock::now();
            if self.inbox.len() > 0 || now >= tick_due {
                sleep(busy_pause(now.since(begun))).await;
            }
        }
    }

    /// Handles an input and those queued behind it, as far as one round may.
    fn handle_batch(&mut self, begun: Ms, first: Option<Input>) {
        let mut next = first;
        for count in 1..=MAX_BATCH_INPUTS {
            let Some(input) = next else {
                return;
            };
            self.handle_input(input);
            self.load.inputs += 1;
            let reads_clock = count.is_multiple_of(INPUTS_PER_CLOCK_READING);
            if reads_clock && clock::now().since(begun) >= MAX_BATCH_TIME {
                return;
            }
            next = self.inbox.try_next();
        }
        if let Some(input) = next {
            self.handle_input(input);
        }
    }

    /// Records the length of a round, and logs the load from time to time.
    fn record_round(&mut self, begun: Ms) {
        let now = clock::now();
        let time = now.since(begun);
        let queued = self.inbox.len();
        self.shared.instruments.record_round(time, queued);
        let load = &mut self.load;
        load.rounds += 1;
        load.longest = load.longest.max(time);
        load.queued = load.queued.max(queued);
        if now.since(load.logged) < LOAD_INTERVAL {
            return;
        }
        log::info!(
            "kind=driver-load epoch={} rounds={} inputs={} longest_round_ms={} queued={}",
            self.leadership.epoch,
            load.rounds,
            load.inputs,
            load.longest.0,
            load.queued
        );
        *load = Load {
            logged: now,
            ..Load::default()
        };
    }

    /// Passes a newer configuration to the leader, and to its agents little by little.
    fn apply_config(&mut self) {
        let Some(config) = self.shared.config() else {
            return;
        };
        if config.version <= self.config_version {
            return;
        }
        self.config_version = config.version;
        self.config_due = self.agents.keys().cloned().collect();
        self.handle_event(Event::Config(config));
    }

    /// Sends the configuration to some of the agents that were not sent it yet.
    fn send_config(&mut self) {
        let Some(raw) = self.shared.newer_config(0) else {
            return;
        };
        let most = (MAX_CONFIG_BYTES_PER_TICK / raw.len().max(1)).max(1);
        for _ in 0..most {
            let Some(agent) = self.config_due.pop_front() else {
                return;
            };
            if self.agents.contains_key(&agent) {
                let orders = self.outgoing.entry(agent).or_default();
                orders.push(Order::Config(Arc::clone(&raw)));
            }
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
            Input::Event(Event::Received(
                _,
                Report::Store(agent::STORED, Request::Cancel(job)),
            )) => self.handle_event(Event::Cancelled(job)),
            Input::Event(Event::Received(entry, Report::Store(number, request))) => {
                self.write_for_agent(entry, number, request);
            }
            Input::Event(Event::Received(_, Report::Config(raw))) => self.shared.apply_config(&raw),
            Input::Event(event) => self.handle_event(event),
            Input::Queried(entry, connection, query) => {
                // An answer tells the agent that it is connected.
                if self.is_current(&entry, connection) {
                    self.handle_event(Event::Received(entry, query));
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
                    // Orders for the connection before would reach the agent over this one.
                    self.disconnect(entry.clone());
                }
                self.agents.insert(entry.clone(), (connection, out));
                self.config_due.push_back(entry.clone());
                self.handle_event(Event::Received(entry.clone(), Report::Hello(hello)));
                self.handle_event(Event::Joined(entry.clone(), domain));
                self.greet(entry);
            }
            Input::Left(entry, connection) => {
                if self.is_current(&entry, connection) {
                    self.disconnect(entry);
                }
            }
        }
    }

    /// Returns whether this is the number of the current connection of an agent.
    fn is_current(&self, entry: &Name, connection: u64) -> bool {
        let current = self.agents.get(entry);
        current.is_some_and(|(current, _)| *current == connection)
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Received(_, report) = &event
            && let Some((_, observation)) = report.observation()
        {
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
                Action::Resign(reason) => self.leadership.end(End::Unconfirmed(reason)),
                Action::Log(line) => log::info!("epoch={} {line}", self.leadership.epoch),
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let heartbeat = self.leader.heartbeat(self.leadership.store_age());
        self.waiting.clone_from(&heartbeat.waiting);
        for agent in self.agents.keys() {
            let orders = self.outgoing.entry(agent.clone()).or_default();
            orders.push(Order::Beat(heartbeat.clone()));
        }
    }

    /// Sends an agent that has just connected a heartbeat, with the counts of the last one.
    fn greet(&mut self, entry: Name) {
        let heartbeat = Heartbeat {
            store_age: self.leadership.store_age(),
            config: self.config_version,
            waiting: self.waiting.clone(),
            full: Vec::new(),
        };
        let orders = self.outgoing.entry(entry).or_default();
        orders.push(Order::Beat(heartbeat));
    }

    /// Sends each agent the orders that have been collected for it. An agent that has not taken
    /// [`peers::MAX_QUEUED_BATCHES`] earlier ones is disconnected, so that it finds out that orders
    /// are missing.
    fn flush(&mut self) {
        for (agent, orders) in mem::take(&mut self.outgoing) {
            let Some((_, out)) = self.agents.get(&agent) else {
                continue;
            };
            match out.try_send(orders) {
                Ok(()) => {}
                // The connection has ended; [`Input::Left`] follows.
                Err(TrySendError::Closed(_)) => {}
                Err(TrySendError::Full(_)) => {
                    log::warn!(
                        "kind=agent-dropped agent={agent} cause=orders-not-taken batches={}",
                        peers::MAX_QUEUED_BATCHES
                    );
                    self.disconnect(agent);
                }
            }
        }
    }

    /// Forgets an agent, whose connection closes with the queue of its orders.
    fn disconnect(&mut self, entry: Name) {
        self.agents.remove(&entry);
        self.outgoing.remove(&entry);
        self.handle_event(Event::Left(entry));
    }

    /// Requests tickets for a step from the advice service.
    fn advise(&self, step: Step, workers: Vec<Name>) {
        let shared = Arc::clone(&self.shared);
        let leadership = Arc::clone(&self.leadership);
        let request = async move {
            let Some(client) = &shared.advice else {
                log::error!("kind=advice-missing step={step} cause=no-address");
                return Event::AdviceFailed(step);
            };
            match client.request(step, &workers).await {
                Ok(advice) => Event::AdviceReceived(step, advice.tickets, advice.validity),
                Err(error) => {
                    log::warn!(
                        "kind=advice-missing step={step} cause={:?}",
                        error.to_string()
                    );
                    Event::AdviceFailed(step)
                }
            }
        };
        let call = async move {
            leadership.send_result(Input::Event(request.await)).await;
        };
        self.shared.spawner.spawn(call).detach();
    }

    /// Makes a customer's write for an agent that the store does not serve.
    fn write_for_agent(&self, entry: Name, number: u64, request: Request) {
        let shared = Arc::clone(&self.shared);
        let leadership = Arc::clone(&self.leadership);
        let write = async move {
            let storage = persist::write_for_agent(&shared, &request).await;
            if let (Request::Cancel(job), Storage::Done) = (request, storage) {
                leadership
                    .send_result(Input::Event(Event::Cancelled(job)))
                    .await;
            }
            leadership
                .send_result(Input::Stored(entry, number, storage))
                .await;
        };
        self.shared.spawner.spawn(write).detach();
    }

    /// Writes a commit to the store and queues the result as an input.
    fn commit(&self, commit: &Commit) {
        let max = rows::max_value_bytes(self.shared.options.row_bytes);
        let transaction = transaction(commit, &mut self.leadership.divided(), max);
        let shared = Arc::clone(&self.shared);
        let leadership = Arc::clone(&self.leadership);
        let write = async move {
            let event = match leadership.write(&shared, transaction).await {
                Ok(()) => Event::Committed,
                Err(Error::Conflict(_)) => return leadership.end(End::Confirmed(REPLACED)),
                Err(error) => {
                    log::warn!("kind=commit-unconfirmed cause={:?}", error.to_string());
                    Event::CommitUnconfirmed
                }
            };
            leadership.send_result(Input::Event(event)).await;
        };
        self.shared.spawner.spawn(write).detach();
    }
}

/// Returns the pause after a round that took this long while more work is due.
fn busy_pause(round: Ms) -> Ms {
    Ms(round.0 / BUSY_PAUSE_DIVISOR).max(MIN_BUSY_PAUSE)
}

/// Returns the rows that a commit writes and removes, without the rows that it expects. Each row has
/// at most `max` bytes.
fn transaction(commit: &Commit, divided: &mut Divided, max: usize) -> Transaction {
    let mut transaction = Transaction::default();
    for (job, progress) in &commit.progress {
        let value = rows::encode(progress);
        divided.put(&mut transaction, rows::progress(*job), value, max);
    }
    if let Some(fleet) = &commit.fleet {
        divided.put(&mut transaction, rows::members(), rows::encode(fleet), max);
    }
    if let Some(interference) = &commit.interference {
        let value = rows::encode(interference);
        if value.len() <= max {
            transaction.puts.push((rows::interference(), value));
        } else {
            // Later leaders learn without it.
            log::warn!(
                "kind=row-too-long table=lead bytes={} max={max}",
                value.len()
            );
        }
    }
    for &job in &commit.removed {
        transaction.removed.push(rows::accepted(job));
        transaction.removed.push(rows::cancelled(job));
        // The end of the job, which is durable, has removed all further rows.
        transaction.removed.push(rows::progress(job));
    }
    transaction
}

#[cfg(test)]
mod tests;
