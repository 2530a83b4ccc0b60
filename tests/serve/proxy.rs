//! A TCP proxy on loopback that stalls or resets what passes through it.

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

/// What happens to traffic.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// It passes.
    #[default]
    Pass,
    /// It waits.
    Stall,
    /// Connections end.
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
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            mode: Arc::default(),
        };
        let (owned, inner) = (proxy.clone(), Arc::clone(spawner));
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = owned.clone();
                let carry = async move {
                    if let Ok(other) = TcpStream::connect(target).await {
                        let there = proxy.carry(stream.clone(), other.clone());
                        there.or(proxy.carry(other, stream)).await;
                    }
                };
                inner.spawn(carry).detach();
            }
        };
        spawner.spawn(accept).detach();
        proxy
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("no panic") = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().expect("no panic")
    }

    /// Waits while traffic stalls; whether it may pass then.
    async fn may_pass(&self) -> bool {
        while self.mode() == Mode::Stall {
            Timer::after(Duration::from_millis(10)).await;
        }
        self.mode() == Mode::Pass
    }

    async fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
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
