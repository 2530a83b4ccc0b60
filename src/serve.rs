//! An entry on the users' platform: it serves customers, acts as an agent of the leader, and leads
//! itself while it holds the leader record in the store.

mod agent;
mod chunks;
mod clock;
mod driver;
mod election;
mod feeds;
mod flow;
mod frame;
mod front;
mod inbox;
mod instruments;
mod lead;
mod leadership;
pub mod logging;
pub mod options;
mod orphans;
mod outgoing;
mod own_agent;
mod peers;
mod persist;
mod resign;
mod rows;
mod session;
#[cfg(test)]
mod testing;
mod watch;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::advice;
use adapter::store::Store;
use adapter::worker;
use async_signal::Signal;
use async_signal::Signals;
use decision::clock::Ms;
use futures_lite::StreamExt;
use link::Spawner;
use link::pool::Limits;
use link::pool::Pool;
use link::server::Server;
use quick_error::quick_error;
use scheduler::config::Config;
use scheduler::election::Observer;
use smol::Timer;
use smol::net::TcpListener;

use self::agent::Agent;
use self::instruments::Instruments;
use self::leadership::Leadership;
use self::logging::quote;
use self::options::Options;
use self::orphans::Quota;

/// How long an idle connection is kept. It is longer than the intervals of polls and feeds, so that
/// their connections are reused.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// The most idle connections kept for each address. A wide step may start many tasks on one worker.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a stopping entry keeps serving after it reports that it is not ready, while the
/// platform routes customers to other entries.
const DRAIN_TIME: Ms = Ms(2_200);
/// The part of the stop time that is reserved for closing connections.
const CLOSE_MARGIN: Ms = Ms(1_500);

/// Consecutive unanswered writes after which the store counts as unavailable.
const MAX_UNANSWERED_WRITES: u32 = 2;

quick_error! {
    /// Why an entry cannot start, or why a connection between entries ended.
    #[derive(Debug)]
    pub enum Error {
        /// A resource that the entry needs, such as a port or a thread, is not available.
        Start(reason: String) {
            display("{}", reason)
        }
        /// The connection to another entry failed or was closed.
        Peer(reason: String) {
            display("peer: {}", reason)
        }
    }
}

/// A configuration, decoded and as it is stored.
type ActiveConfig = (Arc<Config>, Arc<[u8]>);

/// The state shared by the tasks of an entry. Each lock is held briefly, never together with
/// another lock and never across I/O.
struct Shared {
    options: Options,
    /// The start time of this process in ms since 1970, which distinguishes it from earlier
    /// processes of the same entry.
    instance: u64,
    spawner: Spawner,
    store: Store,
    workers: worker::Client,
    advice: Option<advice::Client>,
    /// The configuration in force; `None` until one has been read.
    config: Mutex<Option<ActiveConfig>>,
    /// Whether the store serves this entry, by the last read, feed or series of writes.
    is_store_available: AtomicBool,
    /// Consecutive writes for customers that had no answer.
    unanswered_writes: AtomicU32,
    /// The limit of writes of cancellations of unknown jobs.
    unknown_cancels: Mutex<Quota>,
    /// Tracks for how long the leader's heartbeat in the store has been unchanged.
    observer: Mutex<Observer>,
    agent: Agent,
    instruments: Instruments,
    /// The leadership of this entry; `None` while another entry leads.
    leadership: Mutex<Option<Arc<Leadership>>>,
    is_stopping: AtomicBool,
}

impl Shared {
    fn new(options: Options) -> Result<Self, Error> {
        let limits = Limits {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            max_idle: MAX_IDLE_CONNECTIONS,
            ..Limits::default()
        };
        let pool = Arc::new(Pool::new(limits));
        let instance = clock::unix().0;
        Ok(Self {
            instruments: Instruments::new()?,
            instance,
            spawner: Spawner::default(),
            store: Store::new(options.store, Arc::clone(&pool)),
            advice: options
                .advice
                .map(|address| advice::Client::new(address, Arc::clone(&pool))),
            workers: worker::Client::new(pool),
            config: Mutex::default(),
            is_store_available: AtomicBool::new(true),
            unanswered_writes: AtomicU32::new(0),
            unknown_cancels: Mutex::default(),
            observer: Mutex::default(),
            agent: Agent::new(instance),
            leadership: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            options,
        })
    }

    /// Returns the configuration in force, or `None` until one has been read.
    fn config(&self) -> Option<Arc<Config>> {
        let current = lock(&self.config);
        current.as_ref().map(|(config, _)| Arc::clone(config))
    }

    /// Returns the configuration in force as the operator wrote it, if its version is above
    /// `version`.
    fn newer_config(&self, version: u64) -> Option<Arc<[u8]>> {
        let current = lock(&self.config);
        let newer = current
            .as_ref()
            .filter(|(config, _)| config.version > version);
        newer.map(|(_, raw)| Arc::clone(raw))
    }

    /// Puts a configuration in force if it can be decoded and is newer than the current one.
    fn apply_config(&self, raw: &[u8]) {
        let current = lock(&self.config).clone();
        if current.is_some_and(|(_, current)| *current == *raw) {
            return;
        }
        let config = match adapter::config::decode(raw) {
            Ok(config) => Arc::new(config),
            Err(error) => {
                log::error!("kind=config-refused cause={}", quote(&error.to_string()));
                return;
            }
        };
        {
            let mut current = lock(&self.config);
            if current
                .as_ref()
                .is_some_and(|(current, _)| current.version >= config.version)
            {
                return;
            }
            *current = Some((Arc::clone(&config), Arc::from(raw)));
        }
        // The driver compares the versions each time it is woken up.
        if let Some(leadership) = self.leadership() {
            leadership.wake();
        }
        log::info!(
            "kind=config-in-force version={} queues={}",
            config.version,
            config.queues.len()
        );
    }

    /// Records that the heartbeat row was read with this version, and returns for how long it has
    /// been unchanged.
    fn observe_heartbeat(&self, version: u64) -> Ms {
        lock(&self.observer).observe(clock::now(), version)
    }

    /// Records whether the store serves this entry, and logs a change.
    fn set_store_available(&self, is_available: bool) {
        let was_available = self.is_store_available.swap(is_available, Ordering::SeqCst);
        if was_available != is_available {
            log::warn!("kind=store-served served={is_available}");
        }
    }

    /// Records whether a write for a customer had an answer. Consecutive unanswered writes show
    /// that the store is unavailable earlier than the feeds do.
    fn record_write(&self, is_answered: bool) {
        if is_answered {
            self.unanswered_writes.store(0, Ordering::SeqCst);
        } else if self.unanswered_writes.fetch_add(1, Ordering::SeqCst) + 1 >= MAX_UNANSWERED_WRITES
        {
            self.set_store_available(false);
        }
    }

    /// Returns whether the store serves this entry.
    fn is_store_available(&self) -> bool {
        self.is_store_available.load(Ordering::SeqCst)
    }

    /// Returns whether this entry can serve customers, through the store or through the leader.
    fn is_ready(&self) -> bool {
        let can_store = self.is_store_available() || self.agent.heartbeat().is_some();
        self.config().is_some() && can_store && !self.is_stopping()
    }

    /// Returns whether the entry is shutting down.
    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns the leadership of this entry, or `None` while another entry leads.
    fn leadership(&self) -> Option<Arc<Leadership>> {
        lock(&self.leadership).clone()
    }
}

/// Acquires a lock whose holders never panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

async fn sleep(time: Ms) {
    Timer::after(Duration::from_millis(time.0)).await;
}

/// Runs an entry until it receives SIGTERM or SIGINT; SIGHUP reads the settings in `file` again.
///
/// # Errors
///
/// Returns an error when a port, a thread or a signal handler that the entry needs is not
/// available.
pub fn run(file: &Path, options: Options) -> Result<(), Error> {
    logging::start(&options.name, options.log)?;
    let shared = Arc::new(Shared::new(options)?);
    let spawner = Arc::clone(&shared.spawner);
    smol::block_on(spawner.run(serve(file, shared)))
}

async fn serve(file: &Path, shared: Arc<Shared>) -> Result<(), Error> {
    let start_error = |resource: &str, error: &dyn std::error::Error| {
        Error::Start(format!("{resource}: {error}"))
    };
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| start_error("signals", &error))?;
    let options = &shared.options;
    log::info!(
        "kind=process-started instance={} domain={} store={}",
        shared.instance,
        options.failure_domain,
        options.store
    );
    let listen = async |address: SocketAddr| {
        let listener = TcpListener::bind(address).await;
        listener.map_err(|error| start_error(&address.to_string(), &error))
    };
    let front = front::start(&shared, listen(options.customer).await?)?;
    let ready = if options.ready == options.customer {
        None
    } else {
        Some(front::start(&shared, listen(options.ready).await?)?)
    };
    let _metrics = match options.metrics {
        Some(address) => serve_metrics(&shared, address).await,
        None => None,
    };
    let _tasks = [
        shared.spawner.spawn(peers::accept(
            Arc::clone(&shared),
            listen(options.peer).await?,
        )),
        shared
            .spawner
            .spawn(feeds::follow_config(Arc::clone(&shared))),
        shared.spawner.spawn(election::follow(Arc::clone(&shared))),
    ];
    while let Some(Ok(signal)) = signals.next().await {
        match signal {
            Signal::Hup => reload(file, options),
            _ => break,
        }
    }
    stop(&shared, &front, ready.as_ref()).await;
    Ok(())
}

/// Starts the metrics server. An entry whose metrics port is not available runs without metrics.
async fn serve_metrics(shared: &Arc<Shared>, address: SocketAddr) -> Option<Server> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| Error::Start(error.to_string()));
    match listener.and_then(|listener| instruments::serve(shared, listener)) {
        Ok(server) => Some(server),
        Err(error) => {
            log::error!(
                "kind=metrics-off address={address} cause={:?}",
                error.to_string()
            );
            None
        }
    }
}

/// Reads the settings again and logs whether they changed. Changes take effect at the next start,
/// because addresses and bounds are fixed for the life of a process.
fn reload(file: &Path, options: &Options) {
    match Options::load(file) {
        Ok(new) if new == *options => log::info!("kind=settings-read changed=false"),
        Ok(_) => log::warn!("kind=settings-read changed=true in_force=at-restart"),
        Err(error) => log::error!("kind=settings-refused cause={:?}", error.to_string()),
    }
}

async fn stop(shared: &Arc<Shared>, front: &Server, ready: Option<&Server>) {
    log::info!("kind=process-stopping");
    shared.is_stopping.store(true, Ordering::SeqCst);
    resign::resign(shared);
    let stop_time = shared.options.stop.since(CLOSE_MARGIN);
    sleep(DRAIN_TIME.min(stop_time)).await;
    let close_time = stop_time.since(DRAIN_TIME);
    let closed = async {
        front.stop().await;
        true
    };
    let timeout = async {
        sleep(close_time).await;
        false
    };
    let is_closed = smol::future::or(closed, timeout).await;
    if let Some(ready) = ready {
        ready.kill().await;
    }
    log::info!("kind=process-stopped all_answered={is_closed}");
}
