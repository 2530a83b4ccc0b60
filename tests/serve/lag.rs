//! A TCP proxy on loopback that passes the bytes of its target on later and later, without gaps, and
//! delivers what is under way even after the target has gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use link::Spawner;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Bytes of the target and the time at which they are due.
type Chunk = (Instant, Vec<u8>);

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Lag {
    pub address: SocketAddr,
    /// When the delay began to grow, and the delay at which it stops; `None` while there is none.
    growth: Arc<Mutex<Option<(Instant, Duration)>>>,
}

impl Lag {
    pub fn start(spawner: &Spawner, target: SocketAddr) -> Self {
        let listener =
            smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
        let lag = Self {
            address: listener.local_addr().expect("the listener has an address"),
            growth: Arc::default(),
        };
        let (owned, inner) = (lag.clone(), Arc::clone(spawner));
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let lag = owned.clone();
                let connection = async move {
                    if let Ok(upstream) = TcpStream::connect(target).await {
                        lag.serve(stream, upstream).await;
                    }
                };
                inner.spawn(connection).detach();
            }
        };
        spawner.spawn(accept).detach();
        lag
    }

    /// Lets the delay grow by one second in each second until it is `longest`.
    pub fn grow(&self, longest: Duration) {
        let mut growth = self.growth.lock().expect("no holder of this lock panics");
        *growth = Some((Instant::now(), longest));
    }

    /// Returns the delay of what the target sends now.
    fn delay(&self) -> Duration {
        let growth = self.growth.lock().expect("no holder of this lock panics");
        growth.map_or(Duration::ZERO, |(since, longest)| {
            since.elapsed().min(longest)
        })
    }

    async fn serve(&self, client: TcpStream, target: TcpStream) {
        let (sender, receiver) = smol::channel::unbounded();
        let outbound = forward(client.clone(), target.clone());
        let inbound = smol::future::zip(self.queue(target, sender), deliver(client, receiver));
        // A target that has gone ends the outbound direction, but not what it has sent.
        let outbound = async {
            outbound.await;
            smol::future::pending().await
        };
        inbound.or(outbound).await;
    }

    async fn queue(&self, mut from: TcpStream, to: Sender<Chunk>) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer).await {
            let chunk = (Instant::now() + self.delay(), buffer[..count].to_vec());
            if count == 0 || to.send(chunk).await.is_err() {
                return;
            }
        }
    }
}

async fn deliver(mut to: TcpStream, chunks: Receiver<Chunk>) {
    while let Ok((due, bytes)) = chunks.recv().await {
        Timer::at(due).await;
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
