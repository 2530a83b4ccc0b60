//! A TCP proxy on loopback that can refuse, close, stall, lose, delay or cut one way the connections
//! through it.

use std::net::SocketAddr;
use std::ops::Range;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use link::Spawner;
use rustix::net;
use rustix::net::Shutdown;
use rustix::net::sockopt;
use smol::Task;
use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// How long a delayed request may take at the server after its delivery.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(500);
/// By how much time the delay of slow traffic grows in each unit of time.
const SLOWDOWN: f64 = 1.8;
/// How often a silent connection looks whether its sender has closed it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// The ports of proxies, which lie below those of outgoing connections, so that no such connection
/// takes the port of a proxy that refuses connections.
const PORTS: Range<u16> = 10_000..32_000;

/// Listens at a free port of proxies. Each process begins its search at another port.
fn listen() -> TcpListener {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in PORTS {
        let count = NEXT.fetch_add(1, Ordering::SeqCst);
        let count = count.wrapping_add(process::id().wrapping_mul(1_009));
        let port = PORTS.start + (count % PORTS.len() as u32) as u16;
        if let Ok(listener) = smol::block_on(TcpListener::bind(("127.0.0.1", port))) {
            return listener;
        }
    }
    panic!("no port of {PORTS:?} is free");
}

/// How the proxy treats traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Traffic is forwarded.
    #[default]
    Pass,
    /// Traffic is held back until the mode changes.
    Stall,
    /// Traffic is lost. A connection on which some was lost stays silent when the mode changes, as
    /// while its sender waits before it sends again.
    Drop,
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
    /// Traffic arrives later and later, at most by this time, but without a long gap.
    Slow(Duration),
}

/// The direction of traffic through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Request,
    Answer,
}

/// A mode that applies unless a later disturbance does.
struct Disturbance {
    number: u64,
    mode: Mode,
    begun: Instant,
}

#[derive(Default)]
struct State {
    /// What disturbs the traffic, in the order in which it began.
    disturbances: Vec<Disturbance>,
    /// The number of disturbances so far.
    count: u64,
    /// The task that accepts connections; `None` while they are refused.
    accepting: Option<Task<()>>,
    connections: Vec<Task<()>>,
}

impl State {
    fn mode(&self) -> Mode {
        let newest = self.disturbances.last();
        newest.map_or(Mode::Pass, |newest| newest.mode)
    }

    /// Adds a disturbance and returns its number.
    fn disturb(&mut self, mode: Mode) -> u64 {
        self.count += 1;
        self.disturbances.push(Disturbance {
            number: self.count,
            mode,
            begun: Instant::now(),
        });
        self.count
    }
}

/// A proxy in front of one address, which may change.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    spawner: Spawner,
    /// The socket that holds the address, also while connections are refused.
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    state: Arc<Mutex<State>>,
    /// Held while the mode changes, so that only one change at a time listens again.
    changing: Arc<Mutex<()>>,
}

impl Proxy {
    pub fn start(spawner: &Spawner, target: SocketAddr) -> Self {
        let listener = listen();
        let proxy = Self {
            address: listener.local_addr().expect("the listener has an address"),
            spawner: Arc::clone(spawner),
            listener,
            target: Arc::new(Mutex::new(target)),
            state: Arc::default(),
            changing: Arc::default(),
        };
        proxy.accept();
        proxy
    }

    /// Forwards later connections to another address.
    pub fn redirect(&self, target: SocketAddr) {
        *self.target.lock().expect("no holder of this lock panics") = target;
    }

    /// Ends all disturbances and sets the mode.
    pub fn set(&self, mode: Mode) {
        self.change(|state| {
            state.disturbances.clear();
            if mode != Mode::Pass {
                state.disturb(mode);
            }
        });
    }

    /// Begins a disturbance, which outlasts those that end before it, and returns its number.
    pub fn disturb(&self, mode: Mode) -> u64 {
        self.change(|state| state.disturb(mode))
    }

    /// Ends the disturbance of this number, if it lasts.
    pub fn restore(&self, number: u64) {
        self.change(|state| {
            state
                .disturbances
                .retain(|disturbance| disturbance.number != number);
        });
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let _changing = self.changing.lock().expect("no holder of this lock panics");
        let mut state = self.state();
        let result = change(&mut state);
        if state.mode() == Mode::Refuse {
            if state.accepting.take().is_some() {
                // The socket stays bound, so that no other process takes the port meanwhile.
                net::shutdown(&self.listener, Shutdown::Both).expect("the socket listens");
                let kept = sockopt::set_socket_reuseaddr(&self.listener, false);
                kept.expect("the socket is open");
            }
            state.connections.clear();
        } else if state.accepting.is_none() {
            drop(state);
            let shared = sockopt::set_socket_reuseaddr(&self.listener, true);
            shared.expect("the socket is open");
            net::listen(&self.listener, BACKLOG).expect("the socket is bound");
            self.accept();
        }
        result
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn mode(&self) -> Mode {
        self.state().mode()
    }

    fn accept(&self) {
        let proxy = self.clone();
        let accepting = self.spawner.spawn(async move {
            while let Ok((stream, _)) = proxy.listener.accept().await {
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

    /// Returns how much later traffic arrives that is sent now.
    fn delay(&self) -> Duration {
        let state = self.state();
        let newest = state.disturbances.last();
        newest.map_or(Duration::ZERO, |newest| match newest.mode {
            Mode::Slow(most) => most.min(newest.begun.elapsed().mul_f64(SLOWDOWN)),
            _ => Duration::ZERO,
        })
    }

    async fn forward(&self, mut from: TcpStream, to: TcpStream, direction: Direction) {
        let (sender, receiver) = smol::channel::unbounded();
        let read = async {
            let mut buffer = vec![0; 16 << 10];
            while let Ok(count @ 1..) = from.read(&mut buffer).await {
                let due = Instant::now() + self.delay();
                if sender.try_send((due, buffer[..count].to_vec())).is_err() {
                    break;
                }
            }
            sender.close();
            smol::future::pending().await
        };
        read.or(self.write(receiver, to, direction)).await;
    }

    /// Forwards what is received at the time when it is due, until a mode ends the connection.
    async fn write(
        &self,
        receiver: Receiver<(Instant, Vec<u8>)>,
        mut to: TcpStream,
        direction: Direction,
    ) {
        while let Ok((due, bytes)) = receiver.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            match (self.pass(direction).await, direction) {
                (Mode::Reset | Mode::Refuse, _)
                | (Mode::LoseAnswers | Mode::Late(_), Direction::Answer) => return,
                (Mode::Drop, _) => return wait_until_closed(&receiver).await,
                (Mode::Late(delay), Direction::Request) => {
                    Timer::after(delay).await;
                    if to.write_all(&bytes).await.is_ok() {
                        Timer::after(LATE_ANSWER_TIME).await;
                    }
                    return;
                }
                _ => {}
            }
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }
}

/// Waits until the sender of what is received has closed its connection.
async fn wait_until_closed(receiver: &Receiver<(Instant, Vec<u8>)>) {
    while !receiver.is_closed() {
        Timer::after(CLOSE_CHECK_INTERVAL).await;
    }
}

/// A soak ended when another process took the port of a proxy that refused connections.
#[test]
fn a_proxy_that_refuses_connections_keeps_its_port() {
    let spawner = Spawner::default();
    let runner = Arc::clone(&spawner);
    std::thread::spawn(move || smol::block_on(runner.run(smol::future::pending::<()>())));
    let server = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = Proxy::start(&spawner, server.local_addr().expect("an address"));
    let connects = || std::net::TcpStream::connect(proxy.address).is_ok();
    for _ in 0..3 {
        assert!(connects());
        proxy.set(Mode::Refuse);
        assert!(!connects());
        let other = smol::block_on(TcpListener::bind(proxy.address));
        assert!(other.is_err(), "the port is taken");
        proxy.set(Mode::Pass);
    }
    assert!(connects());
    drop(server.accept().expect("a connection through the proxy"));
}
