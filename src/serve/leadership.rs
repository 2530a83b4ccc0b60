//! The leadership of this entry in one epoch: its inputs, and its writes and heartbeats in the
//! store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use adapter::store::Error;
use adapter::store::Key;
use adapter::store::Transaction;
use decision::clock::Ms;
use decision::name::Name;
use scheduler::election;
use scheduler::id::Epoch;
use scheduler::leader::Event;
use scheduler::message::Hello;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::message::Storage;
use smol::channel::Sender;

use super::Shared;
use super::chunks::Divided;
use super::clock;
use super::inbox::Closed;
use super::inbox::Outlet;
use super::lock;
use super::resign::End;
use super::rows;
use super::sleep;

/// The reason given when the store refused a write because it has another leader record.
pub(super) const REPLACED: &str = "the store has another leader";
/// Attempts at a write that conflicts because the heartbeat row has a newer version.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// An input of the driver loop.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the leader, from a feed, an agent or a task of the leadership.
    Event(Event),
    /// An agent connected: its first message, the number of the connection, and where its orders
    /// go.
    Joined(Hello, u64, Sender<Vec<Order>>),
    /// The connection with this number to an agent ended.
    Left(Name, u64),
    /// A contact query over the connection with this number to an agent.
    Queried(Name, u64, Report),
    /// The result of the write that an agent requested under this number.
    Stored(Name, u64, Storage),
}

/// The leadership of this entry in one epoch, shared by the tasks that send inputs or write rows.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) epoch: Epoch,
    /// The queues of the driver loop.
    inputs: Outlet,
    /// How this entry has to stop leading; `None` while it leads.
    end: Mutex<Option<End>>,
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
    /// The values that the store holds in several rows.
    divided: Mutex<Divided>,
}

impl Leadership {
    /// Begins a leadership whose inputs go to `inputs`. `store_time` is the store's clock now.
    pub(super) fn new(epoch: Epoch, store_time: Ms, inputs: Outlet) -> Self {
        Self {
            epoch,
            inputs,
            end: Mutex::new(None),
            connections: AtomicU64::new(0),
            confirmed_at: AtomicU64::new(clock::now().0),
            confirmed_store_time: AtomicU64::new(store_time.0),
            confirmed_sent_at: AtomicU64::new(0),
            heartbeat_version: smol::lock::Mutex::new(None),
            divided: Mutex::default(),
        }
    }

    /// Returns what is known of the values that the store holds in several rows.
    pub(super) fn divided(&self) -> MutexGuard<'_, Divided> {
        lock(&self.divided)
    }

    /// Queues the result of a call of the leader, or a contact query, for the driver loop.
    pub(super) async fn send_result(&self, input: Input) {
        // It is not needed once the driver has ended.
        let _: Result<(), Closed> = self.inputs.send_result(input).await;
    }

    /// Queues an input from an agent for the driver loop, and waits while too many are queued.
    pub(super) async fn send(&self, input: Input) -> Result<(), Closed> {
        self.inputs.send(input).await
    }

    /// Ends the leadership; the first end counts.
    pub(super) fn end(&self, end: End) {
        lock(&self.end).get_or_insert(end);
        self.wake();
    }

    /// Returns how this entry has to stop leading, or `None` while it leads.
    pub(super) fn ended(&self) -> Option<End> {
        *lock(&self.end)
    }

    /// Wakes the driver loop up.
    pub(super) fn wake(&self) {
        self.inputs.wake();
    }

    /// Registers a connection of an agent and returns its number.
    pub(super) async fn join(&self, hello: Hello, out: Sender<Vec<Order>>) -> u64 {
        let connection = self.connections.fetch_add(1, Ordering::SeqCst);
        // The connection is closed once the driver has ended.
        let _: Result<(), Closed> = self.send(Input::Joined(hello, connection, out)).await;
        connection
    }

    /// Records a confirmed write: when it was sent, on this VM's clock, and the store's clock in
    /// the answer.
    fn record_confirmation(&self, sent_at: Ms, store_time: Ms) {
        self.confirmed_sent_at
            .fetch_max(sent_at.0, Ordering::SeqCst);
        self.confirmed_store_time
            .fetch_max(store_time.0, Ordering::SeqCst);
        self.confirmed_at.store(clock::now().0, Ordering::SeqCst);
    }

    /// Returns when the newest confirmed write was sent, on this VM's clock; zero if none was
    /// confirmed.
    pub(super) fn confirmed_sent_at(&self) -> Ms {
        Ms(self.confirmed_sent_at.load(Ordering::SeqCst))
    }

    /// Returns for how long the store has confirmed no write.
    pub(super) fn store_age(&self) -> Ms {
        clock::now().since(Ms(self.confirmed_at.load(Ordering::SeqCst)))
    }

    /// Commits a transaction together with a heartbeat. Writes are serialised by the heartbeat
    /// row's version: an earlier write of this leader takes effect before this one or not at all.
    pub(super) async fn write(
        &self,
        shared: &Shared,
        transaction: Transaction,
    ) -> Result<(), Error> {
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

/// Writes a heartbeat at each interval in which no commit carried one.
pub(super) async fn write_heartbeats(shared: Arc<Shared>, leadership: Arc<Leadership>) {
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
                leadership.end(End::Confirmed(REPLACED));
            }
            Err(error) => log::warn!("kind=beat-unconfirmed cause={:?}", error.to_string()),
        }
        sleep(election::HEARTBEAT_INTERVAL).await;
    }
}
