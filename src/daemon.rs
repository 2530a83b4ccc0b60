//! The daemon: an entry within this process.

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
        /// An address cannot be listened on.
        Listen(address: SocketAddr, cause: io::Error) {
            display("listen on {}: {}", address, cause)
            source(cause)
        }
        /// The system gives no randomness, clock or thread.
        System(what: &'static str, cause: String) {
            display("{}: {}", what, cause)
        }
        /// Metrics cannot be collected.
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
    loops: Vec<smol::Task<()>>,
    quit: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

/// The servers of an entry.
#[derive(Debug)]
struct Servers {
    caller: Server,
    operator: Server,
    peer: Server,
}

/// The bound listeners of an entry.
struct Listeners {
    caller: TcpListener,
    operator: TcpListener,
    peer: TcpListener,
}

impl Daemon {
    /// Starts an entry and returns once it listens.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened on or the system lacks a resource.
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

    /// Where it listens for callers.
    #[must_use]
    pub const fn caller(&self) -> SocketAddr {
        self.servers.caller.address()
    }

    /// Where it listens for operators.
    #[must_use]
    pub const fn operator(&self) -> SocketAddr {
        self.servers.operator.address()
    }

    /// Where it listens for peers.
    #[must_use]
    pub const fn peer(&self) -> SocketAddr {
        self.servers.peer.address()
    }

    /// Whether it takes new requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shell.ready()
    }

    /// The events that it still keeps.
    #[must_use]
    pub fn events(&self, filter: &Filter) -> Vec<Event> {
        self.shell.journal.select(filter, usize::MAX)
    }

    /// Stops the entry. A graceful stop finishes requests in flight and hands over tickets and
    /// groups; otherwise all connections break at once, as in a crash. Returns whether everything
    /// ended within the settings' stop time.
    #[must_use]
    pub fn stop(self, graceful: bool) -> bool {
        !graceful || smol::block_on(stop::gracefully(&self.shell, &self.servers))
    }
}

/// Breaks off whatever a graceful stop has not ended.
impl Drop for Daemon {
    fn drop(&mut self) {
        self.loops.clear();
        smol::block_on(stop::close(&self.shell, &self.servers));
        self.quit.close();
        for thread in self.threads.drain(..) {
            thread.join().expect("a worker thread aborts on a panic");
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
        // Nanoseconds since 1970 fit until the year 2554; an entry does not start twice in one.
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

/// Starts a worker thread. A panic means a violated invariant and ends the process.
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
