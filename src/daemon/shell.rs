//! The shared tables of the daemon and what surrounds them.

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
use super::tasks::Tasks;
use super::waiting::Waiting;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Control ticks later than this put the configuration in doubt, as in the control path itself.
const LATE: Ms = Ms(3_000);

/// Everything that the worker threads share. Lock order: `control` before `request`; all other
/// locks are taken last and for a moment. No lock is held over I/O.
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
    pub(super) calls: Waiting<Outcome>,
    /// Messages of peers that wait for an answer.
    pub(super) asked: Waiting<Message>,
    /// Calls of operators that wait for their result.
    pub(super) operated: Waiting<operator::Reply>,
    /// Attempts at targets and peers.
    pub(super) attempts: Arc<Tasks<Attempt>>,
    /// Operations of the control path.
    pub(super) operations: Arc<Tasks<u64>>,
    pub(super) next_operation: AtomicU64,
    /// Service times on their way to the control path.
    pub(super) measured: Mutex<Vec<control::Event>>,
    /// The configuration in force.
    pub(super) config: Mutex<Option<Arc<Checked>>>,
    pub(super) stopping: AtomicBool,
    /// Whether the control path lets new work in, as of its last step.
    pub(super) open: AtomicBool,
    /// When the control path ticked last, in ms.
    pub(super) ticked: AtomicU64,
    /// Closed when the control path has nothing left to do.
    pub(super) stopped: (Sender<()>, Receiver<()>),
}

/// Clients of everything the entry talks to.
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
            calls: Waiting::new(),
            asked: Waiting::new(),
            operated: Waiting::new(),
            attempts: Tasks::new(spawner),
            operations: Tasks::new(spawner),
            next_operation: AtomicU64::new(1),
            measured: Mutex::default(),
            config: Mutex::default(),
            stopping: AtomicBool::new(false),
            open: AtomicBool::new(false),
            ticked: AtomicU64::new(0),
            stopped: smol::channel::bounded(1),
            settings,
            identity,
        })
    }

    /// Whether new requests are taken.
    pub(super) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::SeqCst) && self.sure()
    }

    /// Whether the configuration in force is certain to be current. It is not after a pause, until
    /// the control path has read it again.
    pub(super) fn sure(&self) -> bool {
        let ticked = Ms(self.ticked.load(Ordering::SeqCst));
        self.open.load(Ordering::SeqCst) && self.clock.now().since(ticked) <= LATE
    }

    /// The configuration in force.
    pub(super) fn config(&self) -> Option<Arc<Checked>> {
        let config = self.config.lock().expect("no holder of this lock panics");
        config.as_ref().map(Arc::clone)
    }

    /// Issues tickets; none after the ticket book was handed over.
    pub(super) fn mint(&self, count: u32) -> Vec<Ticket> {
        let mut machine = self.request.lock().expect("no holder of this lock panics");
        machine.mint(self.clock.now(), count as usize)
    }

    /// The ticket book for a successor, after which no ticket is issued.
    pub(super) fn hand_over_tickets(&self) -> request::Book {
        let mut machine = self.request.lock().expect("no holder of this lock panics");
        machine.hand_over_tickets(self.clock.now())
    }

    /// A message in its envelope.
    pub(super) fn envelope(&self, message: Message) -> Envelope {
        Envelope {
            from: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            lamport: self.journal.tick(),
            message,
        }
    }

    /// Takes in what every message carries beside its contents.
    pub(super) fn receive(&self, envelope: &Envelope) {
        self.journal.witness(envelope.lamport);
        self.directory.learn(envelope);
    }

    /// Records an event; it is logged later, as no lock is held over I/O.
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
