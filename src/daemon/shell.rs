//! The state shared by the worker threads of the daemon, including its state machines and clients.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use decision::clock::Ms;
use decision::config::Checked;
use decision::control;
use decision::control::Identity;
use decision::operator;
use decision::peer::Envelope;
use decision::peer::Message;
use decision::place;
use decision::request;
use decision::request::Attempt;
use decision::request::Outcome;
use decision::ticket::Ticket;
use decision::timeline::Event;
use decision::timeline::Note;
use link::Spawner;
use link::pool;
use smol::channel::Receiver;
use smol::channel::Sender;

use super::Error;
use super::clock::Clock;
use super::directory::Directory;
use super::pending::Pending;
use super::tasks::Tasks;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The age of the last control tick above which the configuration in force may be outdated. The
/// control path uses the same limit.
const MAX_TICK_AGE: Ms = Ms(3_000);

/// The state shared by the worker threads.
///
/// Lock order: `control` is acquired before `request`. All other locks are acquired last and held
/// briefly. No lock is held across I/O.
pub(super) struct Shell {
    pub(super) spawner: Spawner,
    pub(super) settings: Settings,
    pub(super) identity: Identity,
    pub(super) clock: Clock,
    pub(super) journal: Journal,
    pub(super) metrics: Metrics,
    pub(super) directory: Directory,
    pub(super) clients: Clients,
    pub(super) control: Mutex<control::Machine<place::Board>>,
    pub(super) request: Mutex<request::Machine>,
    /// Requests of callers and peers that wait for their outcome.
    pub(super) requests: Pending<Outcome>,
    /// Messages of peers that wait for an answer from the control path.
    pub(super) peer_requests: Pending<Message>,
    /// Calls of operators that wait for a result from the control path.
    pub(super) operator_calls: Pending<operator::Reply>,
    /// Attempts in progress at targets and peers.
    pub(super) attempts: Arc<Tasks<Attempt>>,
    /// Operations in progress that the control path started.
    pub(super) operations: Arc<Tasks<u64>>,
    pub(super) next_operation: AtomicU64,
    /// Service times that the next control tick passes to the control path.
    pub(super) measurements: Mutex<Vec<control::Event>>,
    /// The configuration in force; `None` until one has been read.
    pub(super) config: Mutex<Option<Arc<Checked>>>,
    pub(super) stopping: AtomicBool,
    /// Whether the control path accepted new work as of its last step.
    pub(super) accepts_work: AtomicBool,
    /// The time of the last control tick, on this entry's clock.
    pub(super) last_tick_ms: AtomicU64,
    /// Closed when the control path has finished stopping.
    pub(super) control_stopped: (Sender<()>, Receiver<()>),
}

/// The clients of targets, workers, peers and the platform's services.
pub(super) struct Clients {
    pub(super) targets: target::attempt::Client,
    pub(super) workers: target::command::Client,
    pub(super) peers: peer::client::Client,
    pub(super) table: platform::table::Client,
    pub(super) objects: platform::object::Client,
    pub(super) vms: platform::vms::Client,
}

impl fmt::Debug for Shell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shell")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl Shell {
    pub(super) fn new(
        settings: Settings,
        identity: Identity,
        spawner: &Spawner,
    ) -> Result<Self, Error> {
        let board = place::Board::new(identity.seed);
        Ok(Self {
            spawner: Arc::clone(spawner),
            clock: Clock::new(),
            journal: Journal::new(identity.entry.clone(), settings.limits.events),
            metrics: Metrics::new()?,
            directory: Directory::default(),
            clients: clients(&settings),
            control: Mutex::new(control::Machine::new(identity.clone(), board)),
            request: Mutex::new(request::Machine::new(&identity)),
            requests: Pending::new(),
            peer_requests: Pending::new(),
            operator_calls: Pending::new(),
            attempts: Tasks::new(spawner),
            operations: Tasks::new(spawner),
            next_operation: AtomicU64::new(1),
            measurements: Mutex::default(),
            config: Mutex::default(),
            stopping: AtomicBool::new(false),
            accepts_work: AtomicBool::new(false),
            last_tick_ms: AtomicU64::new(0),
            control_stopped: smol::channel::bounded(1),
            settings,
            identity,
        })
    }

    /// Whether new requests are accepted.
    pub(super) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::SeqCst) && self.is_config_current()
    }

    /// Whether the configuration in force is certain to be current. After a pause of the process it
    /// is not, until the control path has read it again.
    pub(super) fn is_config_current(&self) -> bool {
        let last_tick = Ms(self.last_tick_ms.load(Ordering::SeqCst));
        self.accepts_work.load(Ordering::SeqCst)
            && self.clock.now().since(last_tick) <= MAX_TICK_AGE
    }

    /// Returns the configuration in force, or `None` until one has been read.
    pub(super) fn config(&self) -> Option<Arc<Checked>> {
        let config = self.config.lock().expect("no holder of this lock panics");
        config.as_ref().map(Arc::clone)
    }

    /// Issues `count` tickets, or none after the ticket book was handed over.
    pub(super) fn issue_tickets(&self, count: u32) -> Vec<Ticket> {
        let mut machine = self.request.lock().expect("no holder of this lock panics");
        machine.mint(self.clock.now(), count as usize)
    }

    /// Removes and returns the ticket book, which is sent to a successor. No ticket is issued
    /// afterwards.
    pub(super) fn hand_over_tickets(&self) -> request::Book {
        let mut machine = self.request.lock().expect("no holder of this lock panics");
        machine.hand_over_tickets(self.clock.now())
    }

    /// Wraps a message in an envelope of this entry.
    pub(super) fn envelope(&self, message: Message) -> Envelope {
        Envelope {
            from: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            lamport: self.journal.tick(),
            message,
        }
    }

    /// Records the Lamport counter and the addresses that an envelope carries.
    pub(super) fn record_envelope(&self, envelope: &Envelope) {
        self.journal.advance_to(envelope.lamport);
        self.directory.learn_addresses(envelope);
    }

    /// Records an event in the journal. The caller logs it after releasing its locks, because no
    /// lock is held across I/O.
    pub(super) fn record(&self, note: Note) -> Event {
        self.journal.record(self.clock.now(), note)
    }
}

fn clients(settings: &Settings) -> Clients {
    let connect = settings.times.connect;
    let limits = pool::Limits {
        connect_timeout: connect,
        ..pool::Limits::default()
    };
    Clients {
        targets: target::attempt::Client::new(limits),
        workers: target::command::Client::new(connect),
        peers: peer::client::Client::new(connect),
        table: platform::table::Client::new(settings.platform.table),
        objects: platform::object::Client::new(settings.platform.objects),
        vms: platform::vms::Client::new(settings.platform.vms),
    }
}
