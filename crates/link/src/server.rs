//! A server for HTTP/1.1 and HTTP/2 with limits and a graceful stop.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::server::conn::auto::Builder;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;
use smol_hyper::rt::SmolTimer;

use crate::Spawner;

/// The pause after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The interval of pings to HTTP/2 clients. A lost client is detected within the sum of this
/// interval and the ping timeout, also while the server stops.
const PING_INTERVAL: Duration = Duration::from_millis(2_000);
const PING_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of concurrent connections. Further ones are closed after accepting them.
    pub connections: usize,
    /// The maximum size of the head of a request in bytes.
    pub max_head_bytes: usize,
    /// The maximum number of concurrent HTTP/2 streams of a connection.
    pub streams: u32,
    /// A connection on which no request was in progress for this time is closed; without a value
    /// idle connections stay open. The check runs once in each such period, because a timer for
    /// each request would cost two system calls.
    pub idle_timeout: Option<Duration>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            max_head_bytes: 16 << 10,
            streams: 256,
            idle_timeout: Some(Duration::from_millis(30_000)),
        }
    }
}

/// A running server for HTTP/1.1 and HTTP/2.
pub struct Server {
    address: SocketAddr,
    stop: Sender<()>,
    kill: Sender<()>,
    ended: Receiver<()>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// The state that all connection tasks share.
struct Context<H> {
    handler: H,
    builder: Builder<SmolExecutor<Spawner>>,
    idle_timeout: Option<Duration>,
    stop: Receiver<()>,
    kill: Receiver<()>,
    running: Sender<()>,
}

impl Server {
    /// Serves `listener` with `handler` until [`Self::stop`] or [`Self::kill`].
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no local address.
    pub fn start<H, F, B>(
        spawner: &Spawner,
        listener: TcpListener,
        limits: Limits,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + 'static,
    {
        let (stop, stopped) = smol::channel::bounded(1);
        let (kill, killed) = smol::channel::bounded(1);
        let (running, ended) = smol::channel::bounded(1);
        let server = Self {
            address: listener.local_addr()?,
            stop,
            kill,
            ended,
        };
        let context = Arc::new(Context {
            handler,
            builder: builder(spawner, limits),
            idle_timeout: limits.idle_timeout,
            stop: stopped,
            kill: killed,
            running,
        });
        let loop_spawner = Arc::clone(spawner);
        spawner
            .spawn(accept(loop_spawner, listener, limits.connections, context))
            .detach();
        Ok(server)
    }

    /// Returns the address at which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, lets requests in flight finish and waits until all connections
    /// have ended.
    pub async fn stop(&self) {
        self.stop.close();
        // The channel carries no messages. It is closed when the last connection task ends.
        let _ = self.ended.recv().await;
    }

    /// Closes all connections immediately and waits until they have ended.
    pub async fn kill(&self) {
        self.kill.close();
        self.stop().await;
    }
}

fn builder(spawner: &Spawner, limits: Limits) -> Builder<SmolExecutor<Spawner>> {
    let mut builder = Builder::new(SmolExecutor::new(Arc::clone(spawner)));
    builder.http1().max_buf_size(limits.max_head_bytes);
    builder
        .http2()
        .timer(SmolTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(limits.streams)
        .max_header_list_size(u32::try_from(limits.max_head_bytes).unwrap_or(u32::MAX));
    builder
}

async fn accept<H, F, B>(
    spawner: Spawner,
    listener: TcpListener,
    connections: usize,
    context: Arc<Context<H>>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let stop = context.stop.clone();
    let incoming = async {
        loop {
            match listener.accept().await {
                // The accept loop itself holds one sender.
                Ok((stream, _)) if context.running.sender_count() <= connections => {
                    let context = Arc::clone(&context);
                    let running = context.running.clone();
                    spawner.spawn(serve(stream, context, running)).detach();
                }
                Ok(_) => {}
                Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
            }
        }
    };
    let stopped = async {
        let _ = stop.recv().await;
    };
    incoming.or(stopped).await;
}

/// Serves one connection. Errors of the connection do not affect others.
async fn serve<H, F, B>(stream: TcpStream, context: Arc<Context<H>>, running: Sender<()>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    drop(stream.set_nodelay(true));
    let activity = Arc::new(Activity::default());
    let service = service_fn(|request| {
        let response = (context.handler)(request);
        let in_progress = InProgress::new(&activity);
        async move {
            let _in_progress = in_progress;
            Ok::<_, Infallible>(response.await)
        }
    });
    let mut connection = pin!(
        context
            .builder
            .serve_connection(FuturesIo::new(stream), service)
    );
    let stop = context.stop.recv();
    let killed = async {
        let _ = context.kill.recv().await;
    };
    let served = async {
        let ended = async {
            drop(connection.as_mut().await);
            true
        };
        let stopped = async {
            let _ = stop.await;
            false
        };
        if !ended.or(stopped).await {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    };
    served
        .or(killed)
        .or(wait_until_idle(&activity, context.idle_timeout))
        .await;
    drop(running);
}

/// The requests of one connection.
#[derive(Default)]
struct Activity {
    /// The number of requests so far.
    begun: AtomicUsize,
    /// The number of requests in progress.
    running: AtomicUsize,
}

/// Counts a request as in progress until it is dropped.
struct InProgress(Arc<Activity>);

impl InProgress {
    fn new(activity: &Arc<Activity>) -> Self {
        activity.begun.fetch_add(1, Ordering::SeqCst);
        activity.running.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(activity))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Waits until no request was in progress on the connection for a whole period.
async fn wait_until_idle(activity: &Activity, period: Option<Duration>) {
    let Some(period) = period else {
        return smol::future::pending().await;
    };
    let mut last_begun = activity.begun.load(Ordering::SeqCst);
    loop {
        Timer::after(period).await;
        let begun = activity.begun.load(Ordering::SeqCst);
        if begun == last_begun && activity.running.load(Ordering::SeqCst) == 0 {
            return;
        }
        last_begun = begun;
    }
}
