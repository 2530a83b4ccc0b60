//! A TCP proxy on loopback that can refuse, close, stall, delay or cut one way the connections
//! through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use link::Spawner;
use smol::Task;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// How long a delayed request may take at the server after its delivery.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Attempts to listen again at an address, at most one each 20 ms.
const MAX_BIND_ATTEMPTS: usize = 250;

/// How the proxy treats traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Traffic is forwarded.
    #[default]
    Pass,
    /// Traffic is held back until the mode changes.
    Stall,
    /// A connection is closed when traffic arrives on it.
    Reset,
    /// All connections are closed, and new ones are refused.
    Refuse,
    /// Requests are forwarded, answers are held back until the mode changes.
    OneWay,
    /// Requests are forwarded, and answers end the connection instead of being forwarded.
    LoseAnswers,
    /// Requests are forwarded after this time, although the client may have gone, without an
    /// answer.
    Late(Duration),
}

/// The direction of traffic through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Request,
    Answer,
}

#[derive(Default)]
struct State {
    mode: Mode,
    /// The number of changes of the mode.
    changes: u64,
    /// The task that accepts connections; `None` while they are refused.
    accepting: Option<Task<()>>,
    connections: Vec<Task<()>>,
}

/// A proxy in front of one address, which may change.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    spawner: Spawner,
    target: Arc<Mutex<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    pub fn start(spawner: &Spawner, target: SocketAddr) -> Self {
        let listener =
            smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
        let proxy = Self {
            address: listener.local_addr().expect("the listener has an address"),
            spawner: Arc::clone(spawner),
            target: Arc::new(Mutex::new(target)),
            state: Arc::default(),
        };
        proxy.accept(listener);
        proxy
    }

    /// Forwards later connections to another address.
    pub fn redirect(&self, target: SocketAddr) {
        *self.target.lock().expect("no holder of this lock panics") = target;
    }

    /// Changes the mode, and returns the number of this change.
    pub fn set(&self, mode: Mode) -> u64 {
        let mut state = self.state();
        state.mode = mode;
        state.changes += 1;
        let change = state.changes;
        if mode == Mode::Refuse {
            state.accepting = None;
            state.connections.clear();
        } else if state.accepting.is_none() {
            drop(state);
            self.accept(self.bind());
        }
        change
    }

    /// Forwards traffic again unless the mode has changed since the change of this number.
    pub fn restore(&self, change: u64) {
        let is_newest = self.state().changes == change;
        if is_newest {
            self.set(Mode::Pass);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn mode(&self) -> Mode {
        self.state().mode
    }

    fn bind(&self) -> TcpListener {
        for _ in 0..MAX_BIND_ATTEMPTS {
            if let Ok(listener) = smol::block_on(TcpListener::bind(self.address)) {
                return listener;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("another process listens at {}", self.address);
    }

    fn accept(&self, listener: TcpListener) {
        let proxy = self.clone();
        let accepting = self.spawner.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = proxy.spawner.spawn(proxy.clone().connect(stream));
                let mut state = proxy.state();
                state.connections.retain(|task| !task.is_finished());
                state.connections.push(connection);
            }
        });
        self.state().accepting = Some(accepting);
    }

    async fn connect(self, stream: TcpStream) {
        let target = *self.target.lock().expect("no holder of this lock panics");
        if let Ok(upstream) = TcpStream::connect(target).await {
            let outbound = self.forward(stream.clone(), upstream.clone(), Direction::Request);
            outbound
                .or(self.forward(upstream, stream, Direction::Answer))
                .await;
        }
    }

    /// Waits while traffic in this direction is held back. Returns the mode that then applies.
    async fn pass(&self, direction: Direction) -> Mode {
        loop {
            match self.mode() {
                Mode::Stall => {}
                Mode::OneWay if direction == Direction::Answer => {}
                mode => return mode,
            }
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    async fn forward(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => count,
            };
            match (self.pass(direction).await, direction) {
                (Mode::Reset | Mode::Refuse, _)
                | (Mode::LoseAnswers | Mode::Late(_), Direction::Answer) => return,
                (Mode::Late(delay), Direction::Request) => {
                    Timer::after(delay).await;
                    if to.write_all(&buffer[..count]).await.is_ok() {
                        Timer::after(LATE_ANSWER_TIME).await;
                    }
                    return;
                }
                _ => {}
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
