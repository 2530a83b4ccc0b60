//! A TCP proxy on loopback that can stall or close the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use link::Spawner;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

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
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    pub fn start(spawner: &Spawner, target: SocketAddr) -> Self {
        let listener =
            smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
        let proxy = Self {
            address: listener.local_addr().expect("the listener has an address"),
            mode: Arc::default(),
        };
        let (owned, inner) = (proxy.clone(), Arc::clone(spawner));
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = owned.clone();
                let connection = async move {
                    if let Ok(upstream) = TcpStream::connect(target).await {
                        let outbound = proxy.forward(stream.clone(), upstream.clone());
                        outbound.or(proxy.forward(upstream, stream)).await;
                    }
                };
                inner.spawn(connection).detach();
            }
        };
        spawner.spawn(accept).detach();
        proxy
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("no holder of this lock panics") = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().expect("no holder of this lock panics")
    }

    /// Waits while traffic is stalled. Returns whether it is forwarded afterwards.
    async fn may_pass(&self) -> bool {
        while self.mode() == Mode::Stall {
            Timer::after(Duration::from_millis(10)).await;
        }
        self.mode() == Mode::Pass
    }

    async fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => count,
            };
            if !self.may_pass().await || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}
