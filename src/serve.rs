//! One entry on the users' platform: it serves customers, is an agent of the leader, and leads
//! itself when the store says so.

mod agent;
mod clock;
mod election;
mod feeds;
mod frame;
mod front;
mod instruments;
mod lead;
mod logbook;
pub mod options;
mod peers;
mod persist;
mod rows;
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
use self::lead::Leading;
use self::options::Options;

/// Idle connections are kept for longer than the intervals of looks and feeds.
const IDLE: Duration = Duration::from_millis(10_000);
/// Idle connections kept for each address: a wide step may start many tasks on a worker.
const KEPT: usize = 8;
/// The time to establish a connection.
const CONNECT: Duration = Duration::from_millis(600);
/// How long an entry that stops goes on to serve while customers are sent elsewhere.
const LINGER: Ms = Ms(2_200);
/// Left of the time to stop for closing connections.
const STOP_MARGIN: Ms = Ms(1_500);

/// Writes in a row without an answer after which the store counts as silent.
const MAX_UNANSWERED: u32 = 2;

quick_error! {
    /// Why an entry cannot run, or a connection between entries ended.
    #[derive(Debug)]
    pub enum Error {
        /// Something that is needed is not to be had.
        Start(reason: String) {
            display("{}", reason)
        }
        /// The connection to another entry ended.
        Peer(reason: String) {
            display("peer: {}", reason)
        }
    }
}

/// A configuration and its form in the store.
type InForce = (Arc<Config>, Arc<[u8]>);

/// What the tasks of an entry share. Each lock is taken for a moment, alone, and never over I/O.
struct Shared {
    options: Options,
    /// Tells one life of this process from another.
    instance: u64,
    spawner: Spawner,
    store: Store,
    workers: worker::Client,
    advice: Option<advice::Client>,
    /// The configuration in force, with its form in the store.
    config: Mutex<Option<InForce>>,
    /// Whether the store serves this entry.
    is_stored: AtomicBool,
    /// Writes for customers in a row that had no answer.
    unanswered: AtomicU32,
    /// Follows the beat of the leader in the store.
    observer: Mutex<Observer>,
    agent: Agent,
    instruments: Instruments,
    leading: Mutex<Option<Arc<Leading>>>,
    is_stopping: AtomicBool,
}

impl Shared {
    fn new(options: Options) -> Result<Self, Error> {
        let limits = Limits {
            connect_timeout: CONNECT,
            idle_timeout: IDLE,
            max_idle: KEPT,
            ..Limits::default()
        };
        let pool = Arc::new(Pool::new(limits));
        Ok(Self {
            instruments: Instruments::new()?,
            instance: clock::unix().0,
            spawner: Spawner::default(),
            store: Store::new(options.store, Arc::clone(&pool)),
            advice: options
                .advice
                .map(|address| advice::Client::new(address, Arc::clone(&pool))),
            workers: worker::Client::new(pool),
            config: Mutex::default(),
            is_stored: AtomicBool::new(true),
            unanswered: AtomicU32::new(0),
            observer: Mutex::default(),
            agent: Agent::default(),
            leading: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            options,
        })
    }

    /// The configuration in force.
    fn config(&self) -> Option<Arc<Config>> {
        let current = lock(&self.config);
        current.as_ref().map(|(config, _)| Arc::clone(config))
    }

    /// The configuration in force as the operator wrote it, if it is newer than this version.
    fn newer_config(&self, version: u64) -> Option<Arc<[u8]>> {
        let current = lock(&self.config);
        let newer = current
            .as_ref()
            .filter(|(config, _)| config.version > version);
        newer.map(|(_, raw)| Arc::clone(raw))
    }

    /// Puts a configuration in force if it can be read and is newer.
    fn take_config(&self, raw: &[u8]) {
        let config = match adapter::config::decode(raw) {
            Ok(config) => Arc::new(config),
            Err(error) => {
                log::error!("kind=config-refused cause={:?}", error.to_string());
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
        log::info!(
            "kind=config-in-force version={} queues={}",
            config.version,
            config.queues.len()
        );
        if let Some(leading) = self.leading() {
            leading.configure(config, Arc::from(raw));
        }
    }

    /// Takes in a read of the leader's beat and returns how long it has been unchanged.
    fn observe_beat(&self, version: u64) -> Ms {
        lock(&self.observer).observe(clock::now(), version)
    }

    /// Notes whether the store serves this entry.
    fn note_store(&self, is_served: bool) {
        let was_served = self.is_stored.swap(is_served, Ordering::SeqCst);
        if was_served != is_served {
            log::warn!("kind=store-served served={is_served}");
        }
    }

    /// Notes whether a write for a customer had an answer. Several without one in a row show that
    /// the store is silent before the feeds do.
    fn note_write(&self, is_answered: bool) {
        if is_answered {
            self.unanswered.store(0, Ordering::SeqCst);
        } else if self.unanswered.fetch_add(1, Ordering::SeqCst) + 1 >= MAX_UNANSWERED {
            self.note_store(false);
        }
    }

    /// Whether the store serves this entry.
    fn is_stored(&self) -> bool {
        self.is_stored.load(Ordering::SeqCst)
    }

    /// Whether a customer's request can be served here, by the store or through the leader.
    fn is_ready(&self) -> bool {
        let has_way = self.is_stored() || self.agent.beat().is_some();
        self.config().is_some() && has_way && !self.is_stopping()
    }

    /// Whether the entry is shutting down.
    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// What this entry leads, if it does.
    fn leading(&self) -> Option<Arc<Leading>> {
        lock(&self.leading).clone()
    }
}

/// Takes a lock whose holders never panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

/// Sleeps.
async fn sleep(time: Ms) {
    Timer::after(Duration::from_millis(time.0)).await;
}

/// Runs an entry until SIGTERM.
///
/// # Errors
///
/// When it cannot start.
pub fn run(file: &Path, options: Options) -> Result<(), Error> {
    logbook::start(&options.name, options.log)?;
    let shared = Arc::new(Shared::new(options)?);
    let spawner = Arc::clone(&shared.spawner);
    smol::block_on(spawner.run(serve(file, shared)))
}

async fn serve(file: &Path, shared: Arc<Shared>) -> Result<(), Error> {
    let start =
        |what: &str, error: &dyn std::error::Error| Error::Start(format!("{what}: {error}"));
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|error| start("signals", &error))?;
    let options = &shared.options;
    log::info!(
        "kind=process-started instance={} domain={} store={}",
        shared.instance,
        options.failure_domain,
        options.store
    );
    let listen = async |address: SocketAddr| {
        let listener = TcpListener::bind(address).await;
        listener.map_err(|error| start(&address.to_string(), &error))
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

/// Serves metrics, without which an entry works all the same.
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

/// Reads the settings again. Addresses and bounds are fixed for the life of a process.
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
    lead::resign(shared).await;
    let most = shared.options.stop.since(STOP_MARGIN);
    sleep(LINGER.min(most)).await;
    let rest = most.since(LINGER);
    let closed = async {
        front.stop().await;
        true
    };
    let late = async {
        sleep(rest).await;
        false
    };
    let is_closed = smol::future::or(closed, late).await;
    if let Some(ready) = ready {
        ready.kill().await;
    }
    log::info!("kind=process-stopped all_answered={is_closed}");
}
