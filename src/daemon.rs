//! The daemon, which runs an entry within this process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::SystemTime;

use decision::control::Identity;
use decision::timeline::Event;
use decision::timeline::Filter;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use quick_error::quick_error;
use rand::TryRng;
use rand::rngs::SysRng;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::net::TcpListener;

use self::shell::Shell;
use crate::metrics;
use crate::settings::Settings;

mod callers;
mod clock;
mod control;
mod directory;
mod operators;
mod peers;
mod pending;
mod request;
mod shell;
mod stop;
mod tasks;
mod ticks;

quick_error! {
    /// Why an entry cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// The entry cannot listen on an address.
        Listen(address: SocketAddr, cause: io::Error) {
            display("listen on {}: {}", address, cause)
            source(cause)
        }
        /// The system does not provide random numbers, a clock after 1970, a listener or a thread.
        System(what: &'static str, cause: String) {
            display("{}: {}", what, cause)
        }
        /// The metrics exporter cannot be set up.
        Metrics(error: metrics::Error) {
            from()
            display("{}", error)
        }
    }
}

/// A running entry.
#[derive(Debug)]
pub struct Daemon {
    shell: Arc<Shell>,
    servers: Servers,
    /// The loops that send ticks and read the list of VMs. Dropping them ends the loops.
    loops: Vec<smol::Task<()>>,
    /// Closed to end the worker threads.
    quit: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Servers {
    caller: Server,
    operator: Server,
    peer: Server,
}

struct Listeners {
    caller: TcpListener,
    operator: TcpListener,
    peer: TcpListener,
}

impl Daemon {
    /// Starts an entry and returns once it listens on all its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry cannot listen on an address or the system lacks a resource.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listeners = Listeners {
            caller: bind(settings.listen.caller)?,
            operator: bind(settings.listen.operator)?,
            peer: bind(settings.listen.peer)?,
        };
        let identity = identity(&settings, &listeners.peer)?;
        let spawner = Spawner::default();
        let count = settings.limits.threads;
        let shell = Arc::new(Shell::new(settings, identity, &spawner)?);
        let servers = serve(&shell, &spawner, listeners)?;
        let loops = ticks::start(&shell, &spawner);
        let (quit, quit_signal) = smol::channel::bounded(1);
        let threads = (0..count)
            .map(|index| start_thread(index, &spawner, &quit_signal))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            shell,
            servers,
            loops,
            quit,
            threads,
        })
    }

    /// Returns the address on which the entry listens for callers, with the port that was bound.
    #[must_use]
    pub const fn caller(&self) -> SocketAddr {
        self.servers.caller.address()
    }

    /// Returns the address on which the entry listens for operators, with the port that was bound.
    #[must_use]
    pub const fn operator(&self) -> SocketAddr {
        self.servers.operator.address()
    }

    /// Returns the address on which the entry listens for peers, with the port that was bound.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.servers.peer.address()
    }

    /// Whether the entry accepts new requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shell.ready()
    }

    /// Returns the retained timeline events that the filter selects, oldest first.
    #[must_use]
    pub fn events(&self, filter: &Filter) -> Vec<Event> {
        self.shell.journal.select(filter, usize::MAX)
    }

    /// Stops the entry. A graceful stop finishes requests in flight and hands over tickets and
    /// groups; otherwise all connections are closed at once, as in a crash. Returns `false` if a
    /// graceful stop did not finish within the stop time of the settings.
    #[must_use]
    pub fn stop(self, graceful: bool) -> bool {
        !graceful || smol::block_on(stop::gracefully(&self.shell, &self.servers))
    }
}

/// Closes all connections and cancels all work that a graceful stop has not finished.
impl Drop for Daemon {
    fn drop(&mut self) {
        self.loops.clear();
        smol::block_on(stop::close(&self.shell, &self.servers));
        self.quit.close();
        for thread in self.threads.drain(..) {
            thread
                .join()
                .expect("worker threads abort the process instead of panicking");
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    smol::block_on(TcpListener::bind(address)).map_err(|cause| Error::Listen(address, cause))
}

fn identity(settings: &Settings, peer: &TcpListener) -> Result<Identity, Error> {
    let address = peer
        .local_addr()
        .map_err(|cause| Error::Listen(settings.listen.peer, cause))?;
    let seed = SysRng
        .try_next_u64()
        .map_err(|error| Error::System("random numbers", error.to_string()))?;
    let started = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_err(|error| Error::System("clock", error.to_string()))?;
    Ok(Identity {
        entry: settings.entry.name.clone(),
        // The start time distinguishes incarnations, since an entry does not start twice within one
        // nanosecond. Nanoseconds since 1970 fit until the year 2554.
        incarnation: u64::try_from(started.as_nanos()).unwrap_or(u64::MAX),
        address,
        domain: settings.entry.failure_domain.clone(),
        seeds: settings.entry.seeds.clone(),
        seed,
    })
}

fn serve(shell: &Arc<Shell>, spawner: &Spawner, on: Listeners) -> Result<Servers, Error> {
    let limits = Limits {
        connections: shell.settings.limits.connections,
        ..Limits::default()
    };
    let failed = |error: io::Error| Error::System("listener", error.to_string());
    let callers = Arc::new(callers::Endpoint(Arc::clone(shell)));
    let operators = Arc::new(operators::Endpoint(Arc::clone(shell)));
    let peers = Arc::new(peers::Endpoint(Arc::clone(shell)));
    Ok(Servers {
        caller: caller::server::start(spawner, on.caller, limits, callers).map_err(failed)?,
        operator: operator::server::start(spawner, on.operator, operators).map_err(failed)?,
        peer: peer::server::start(spawner, on.peer, peers).map_err(failed)?,
    })
}

/// Starts a thread that runs the entry's tasks. A panic in it means that an invariant is violated,
/// so it aborts the process.
fn start_thread(
    index: usize,
    spawner: &Spawner,
    quit: &Receiver<()>,
) -> Result<JoinHandle<()>, Error> {
    struct Abort;
    impl Drop for Abort {
        fn drop(&mut self) {
            if thread::panicking() {
                std::process::abort();
            }
        }
    }
    let spawner = Arc::clone(spawner);
    let quit = quit.clone();
    thread::Builder::new()
        .name(format!("worker-{index}"))
        .spawn(move || {
            let _abort = Abort;
            let forever = spawner.run(smol::future::pending::<()>());
            smol::block_on(forever.or(async {
                let _ = quit.recv().await;
            }));
        })
        .map_err(|error| Error::System("thread", error.to_string()))
}
