//! Runs the leader on this entry: passes inputs to [`Leader`] and carries out its actions.

use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::store::Error;
use adapter::store::Key;
use adapter::store::Transaction;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::config::Config;
use scheduler::election;
use scheduler::id::Epoch;
use scheduler::id::Step;
use scheduler::leader::Action;
use scheduler::leader::Bounds;
use scheduler::leader::Commit;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::leader::Tally;
use scheduler::message::Hello;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Request;
use scheduler::message::Storage;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;

use super::Shared;
use super::clock;
use super::feeds;
use super::lock;
use super::peers;
use super::persist;
use super::resign;
use super::resign::End;
use super::rows;
use super::session::Session;
use super::sleep;

/// The interval at which the leader gets [`Event::Tick`].
const TICK_INTERVAL: Ms = Ms(50);
/// The pause of the driver loop after which this entry stops leading: by then its agents may follow
/// another leader and its feeds may be out of date.
const SUSPENSION_THRESHOLD: Ms = Ms(1_500);
/// The reason given when the driver loop paused for [`SUSPENSION_THRESHOLD`] or longer.
const SUSPENDED: &str = "suspended";
/// The reason given when a worker refused the fencing token of this leader in a poll.
const FENCED: &str = "fenced by a worker";
/// The reason given when the store refused a write because it has another leader record.
const REPLACED: &str = "the store has another leader";
/// Attempts at a write that conflicts because the heartbeat row has a newer version.
const MAX_WRITE_ATTEMPTS: usize = 3;
/// The most inputs that are handled before the leader schedules tasks.
const MAX_BATCH_EVENTS: usize = 256;

/// An input of the driver loop.
#[derive(Debug)]
pub(super) enum Input {
    Event(Event),
    /// An agent connected: its first message, the number of the connection, and where its orders
    /// go.
    Joined(Hello, u64, Sender<Vec<Order>>),
    /// The connection with this number to an agent ended.
    Left(Name, u64),
    /// A newer configuration, decoded and as the operator wrote it.
    Config(Arc<Config>, Arc<[u8]>),
    /// The result of the write that an agent requested under this number.
    Stored(Name, u64, Storage),
    /// This entry has to stop leading.
    Ended(End),
}

/// The leadership of this entry in one epoch, shared by the tasks that send inputs or write rows.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) epoch: Epoch,
    pub(super) inputs: Sender<Input>,
    /// The number of the next connection of an agent.
    connections: AtomicU64,
    /// When the store last confirmed a write of this leader, on this VM's clock in ms.
    confirmed_at: AtomicU64,
    /// The store's clock at that confirmation, in ms.
    confirmed_store_time: AtomicU64,
    /// When the newest confirmed write of this leader was sent, on this VM's clock in ms; 0 if none
    /// was confirmed.
    confirmed_sent_at: AtomicU64,
    /// The version of the heartbeat row, or `None` while it is unknown. Each write of the leader
    /// expects this version and changes it, so a delayed write cannot overwrite a later one.
    heartbeat_version: smol::lock::Mutex<Option<u64>>,
}

impl Leadership {
    pub(super) fn send(&self, input: Input) {
        // Sending fails once the driver has ended. The next leader obtains the same information
        // from the store and the agents.
        drop(self.inputs.try_send(input));
    }

    pub(super) fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Passes a new configuration to the leader, which sends it to all agents.
    pub(super) fn configure(&self, config: Arc<Config>, raw: Arc<[u8]>) {
        self.send(Input::Config(config, raw));
    }

    /// Registers a connection of an agent and returns its number.
    pub(super) fn join(&self, hello: Hello, out: Sender<Vec<Order>>) -> u64 {
        let connection = self.connections.fetch_add(1, Ordering::SeqCst);
        self.send(Input::Joined(hello, connection, out));
        connection
    }

    fn record_confirmation(&self, sent_at: Ms, store_time: Ms) {
        self.confirmed_sent_at
            .fetch_max(sent_at.0, Ordering::SeqCst);
        self.confirmed_store_time
            .fetch_max(store_time.0, Ordering::SeqCst);
        self.confirmed_at.store(clock::now().0, Ordering::SeqCst);
    }

    fn store_age(&self) -> Ms {
        clock::now().since(Ms(self.confirmed_at.load(Ordering::SeqCst)))
    }

    /// Commits a transaction together with a heartbeat. Writes are serialised by the heartbeat
    /// row's version: an earlier write of this leader takes effect before this one or not at all.
    async fn write(&self, shared: &Shared, transaction: Transaction) -> Result<(), Error> {
        let mut known_version = self.heartbeat_version.lock().await;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let version = match *known_version {
                Some(version) => version,
                None => {
                    let (row, _) = shared.store.row(&rows::heartbeat()).await?;
                    row.map_or(0, |row| row.version)
                }
            };
            // The version is unknown until the store confirms this write.
            *known_version = None;
            let mut transaction = transaction.clone();
            transaction.expected =
                vec![(rows::record(), self.epoch.0), (rows::heartbeat(), version)];
            transaction.puts.push(self.heartbeat());
            let sent_at = clock::now();
            match shared.store.transact(&transaction).await {
                Ok(page) => {
                    *known_version = Some(page.version);
                    self.record_confirmation(sent_at, page.now);
                    return Ok(());
                }
                Err(Error::Conflict(current)) => {
                    let is_deposed = current
                        .iter()
                        .any(|row| row.key == rows::record().key && row.version != self.epoch.0);
                    if is_deposed {
                        return Err(Error::Conflict(current));
                    }
                    // A delayed write of this leader changed the row; the next attempt reads it
                    // again.
                }
                Err(error) => return Err(error),
            }
        }
        Err(Error::Refused(
            "the heartbeat row changed before each attempt".into(),
        ))
    }

    /// Returns the heartbeat row, which shows other entries that this leader is alive.
    fn heartbeat(&self) -> (Key, Vec<u8>) {
        let heartbeat = rows::Heartbeat {
            epoch: self.epoch.0,
            at: self.store_time().0,
        };
        (rows::heartbeat(), rows::encode(&heartbeat))
    }

    /// Returns the store's clock now, estimated from the last confirmed write.
    fn store_time(&self) -> Ms {
        Ms(self.confirmed_store_time.load(Ordering::SeqCst)) + self.store_age()
    }
}

/// Leads in this epoch until the leadership ends.
pub(super) async fn run(shared: &Arc<Shared>, epoch: Epoch, store_time: Ms) {
    let (inputs, queue) = smol::channel::unbounded();
    let leadership = Arc::new(Leadership {
        epoch,
        inputs: inputs.clone(),
        connections: AtomicU64::new(0),
        confirmed_at: AtomicU64::new(clock::now().0),
        confirmed_store_time: AtomicU64::new(store_time.0),
        confirmed_sent_at: AtomicU64::new(0),
        heartbeat_version: smol::lock::Mutex::new(None),
    });
    log::info!("kind=lead-begun epoch={epoch}");
    shared.instruments.record_lead();
    *lock(&shared.leadership) = Some(Arc::clone(&leadership));
    let spawn = |task| shared.spawner.spawn(task);
    let tasks = [
        spawn(Box::pin(feeds::follow_jobs(Arc::clone(shared), inputs.clone())) as BoxedTask),
        spawn(Box::pin(feeds::follow_workers(
            Arc::clone(shared),
            inputs.clone(),
        ))),
        spawn(Box::pin(write_heartbeats(
            Arc::clone(shared),
            Arc::clone(&leadership),
        ))),
        spawn(Box::pin(load_interference(
            Arc::clone(shared),
            Arc::clone(&leadership),
        ))),
        spawn(Box::pin(run_own_agent(
            Arc::clone(shared),
            Arc::clone(&leadership),
        ))),
    ];
    let mut driver = Driver::new(shared, &leadership, queue);
    let end = driver.run().await;
    drop(tasks);
    *lock(&shared.leadership) = None;
    shared.agent.end_session(epoch);
    shared.instruments.record_tally(Tally::default());
    log::warn!("kind=lead-ended epoch={epoch} reason={:?}", end.reason());
    if let End::Unconfirmed(_) = end {
        resign::resign_until_confirmed(shared, epoch).await;
    }
}

type BoxedTask = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs the agent on the leader's own entry over channels instead of a connection, and starts a new
/// session whenever one ends. A session that a worker's refusal ended also ends the leadership.
async fn run_own_agent(shared: Arc<Shared>, leadership: Arc<Leadership>) {
    let entry = shared.options.name.clone();
    loop {
        let (reports, received) = smol::channel::unbounded();
        let (out, orders) = smol::channel::unbounded();
        let mut connection = None;
        let relay = async {
            while let Ok(report) = received.recv().await {
                if let Report::Hello(hello) = report {
                    connection = Some(leadership.join(hello, out.clone()));
                } else {
                    leadership.send_event(Event::Received(entry.clone(), report));
                }
            }
        };
        let session = Session::begin(leadership.epoch, reports);
        let running = async {
            peers::run_session(&shared, &session, orders).await;
        };
        relay.or(running).await;
        log::warn!("kind=own-agent-lost epoch={}", leadership.epoch);
        if session.is_fenced() {
            return leadership.send(Input::Ended(End::Unconfirmed(FENCED)));
        }
        if let Some(connection) = connection {
            leadership.send(Input::Left(entry.clone(), connection));
        }
        sleep(election::CHECK_INTERVAL).await;
    }
}

/// Reads the interference coefficients that earlier leaders stored. Without them the leader learns
/// them again from measurements.
async fn load_interference(shared: Arc<Shared>, leadership: Arc<Leadership>) {
    let row = match shared.store.row(&rows::interference()).await {
        Ok((Some(row), _)) => row,
        Ok((None, _)) => return,
        Err(error) => {
            return log::warn!("kind=recall-failed cause={:?}", error.to_string());
        }
    };
    match rows::decode(&row) {
        Ok(summary) => leadership.send_event(Event::InterferenceLoaded(summary)),
        Err(error) => log::warn!("kind=recall-failed cause={:?}", error.to_string()),
    }
}

/// Writes a heartbeat at each interval in which no commit carried one.
async fn write_heartbeats(shared: Arc<Shared>, leadership: Arc<Leadership>) {
    let mut is_first = true;
    loop {
        if !is_first && leadership.store_age() < election::HEARTBEAT_INTERVAL {
            // A commit has carried a heartbeat within the interval.
            sleep(election::HEARTBEAT_INTERVAL.since(leadership.store_age())).await;
            continue;
        }
        is_first = false;
        match leadership.write(&shared, Transaction::default()).await {
            Ok(()) => {}
            Err(Error::Conflict(_)) => {
                leadership.send(Input::Ended(End::Confirmed(REPLACED)));
            }
            Err(error) => log::warn!("kind=beat-unconfirmed cause={:?}", error.to_string()),
        }
        sleep(election::HEARTBEAT_INTERVAL).await;
    }
}

/// The loop that owns the leader and the connections of its agents.
struct Driver {
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
    fn new(shared: &Arc<Shared>, leadership: &Arc<Leadership>, queue: Receiver<Input>) -> Self {
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

    async fn run(&mut self) -> End {
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
        let sent_at = Ms(self.leadership.confirmed_sent_at.load(Ordering::SeqCst));
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
