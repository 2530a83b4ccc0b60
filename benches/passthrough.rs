//! Throughput of one entry against a bare pass-through, on the same threads and in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use decision::clock::Ms;
use decision::config::Document;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Reply;
use decision::resource::Size;
use decision::vm;
use decision::worker;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use operator::client::Client;
use samphiretrail::daemon::Daemon;
use samphiretrail::settings::Settings;
use smol::lock::Mutex;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Threads of the entry and of the pass-through alike.
const THREADS: usize = 3;
const LOAD_THREADS: usize = 3;
const TARGET_THREADS: usize = 3;
const TARGETS: usize = 8;
/// As many as the targets have slots, so that nothing queues.
const CONNECTIONS: usize = 32;
const ROUNDS: usize = 41;
const WARM_UP: Duration = Duration::from_millis(100);
const ROUND: Duration = Duration::from_millis(250);
const LIMIT: Duration = Duration::from_millis(10_000);

fn main() {
    let (targets, platform) = (run("target", TARGET_THREADS), run("platform", 1));
    let servers: Vec<Server> = (0..TARGETS).map(|index| target(&targets, index)).collect();
    let list = platform_server(&platform, &servers);
    let daemon = Daemon::start(settings(list)).expect("the entry starts");
    configure(&daemon);
    let bare = passthrough(&run("bare", THREADS), servers[0].address());
    thread::sleep(Duration::from_millis(2_000));
    let (mut bare_cost, mut entry_cost) = (Cost::default(), Cost::default());
    let mut ratios: Vec<f64> = (0..ROUNDS)
        .map(|round| {
            let through = bare_cost.of("bare-", || throughput(bare));
            let entry = entry_cost.of("worker-", || throughput(daemon.caller()));
            let ratio = entry / through;
            println!(
                "round={round} passthrough_rps={through:.0} entry_rps={entry:.0} ratio={ratio:.3}"
            );
            ratio
        })
        .collect();
    ratios.sort_by(f64::total_cmp);
    let (bare_us, entry_us) = (bare_cost.per_request(), entry_cost.per_request());
    println!("passthrough_cpu_us={bare_us:.1} entry_cpu_us={entry_us:.1}");
    println!("median_ratio={:.3} goal=0.7", ratios[ROUNDS / 2]);
    let _ = daemon.stop(false);
}

/// Processor time and requests, which other load on the machine disturbs less than throughput.
#[derive(Default)]
struct Cost {
    nanos: u64,
    requests: f64,
}

impl Cost {
    /// Adds what threads with this name prefix spend while `work` counts requests per second.
    fn of(&mut self, prefix: &str, work: impl FnOnce() -> f64) -> f64 {
        let before = processor_time(prefix);
        let rate = work();
        self.nanos += processor_time(prefix) - before;
        self.requests += rate * (WARM_UP + ROUND).as_secs_f64();
        rate
    }

    fn per_request(&self) -> f64 {
        self.nanos as f64 / 1_000.0 / self.requests
    }
}

/// Nanoseconds on a processor so far, over all threads with this name prefix.
fn processor_time(prefix: &str) -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("the threads are listed");
    let paths = tasks.filter_map(|task| Some(task.ok()?.path()));
    let named = paths.filter(|path| {
        let name = std::fs::read_to_string(path.join("comm"));
        name.is_ok_and(|name| name.starts_with(prefix))
    });
    let spent = named.filter_map(|path| {
        let text = std::fs::read_to_string(path.join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    spent.sum()
}

/// An executor on `threads` threads.
fn run(name: &str, threads: usize) -> Spawner {
    let spawner = Spawner::default();
    for index in 0..threads {
        let spawner = Arc::clone(&spawner);
        let builder = thread::Builder::new().name(format!("{name}-{index}"));
        let work = move || smol::block_on(spawner.run(smol::future::pending::<()>()));
        builder.spawn(work).expect("a thread");
    }
    spawner
}

fn listen() -> TcpListener {
    smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port")
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a valid name")
}

/// A target that answers at once with the contents of the request.
fn target(spawner: &Spawner, index: usize) -> Server {
    let vm = name(&format!("vm-{index}"));
    Server::start(spawner, listen(), Limits::default(), move |request| {
        let vm = vm.clone();
        async move { answer(vm, request).await }
    })
    .expect("a target")
}

async fn answer(vm: Name, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.expect("the whole body").to_bytes();
    if head.uri.path() == "/command" {
        let command: worker::Command = rmp_serde::from_slice(&body).expect("a command");
        let reply = worker::Reply::Done(worker::Report {
            vm,
            epoch: command.epoch,
            capacity: capacity(),
            busy: 0,
            former: 0,
            service: Size::ZERO,
            tasks: Vec::new(),
        });
        let reply = rmp_serde::to_vec(&reply).expect("a reply can be encoded");
        return Response::new(Full::new(reply.into()));
    }
    let mut response = Response::new(Full::new(body));
    if let Some(id) = head.headers.get("x-request") {
        response.headers_mut().insert("x-request", id.clone());
    }
    response
}

const fn capacity() -> Size {
    Size {
        millicores: 32_000,
        memory_mb: 125_000,
        accelerators: 0,
    }
}

fn platform_server(spawner: &Spawner, targets: &[Server]) -> SocketAddr {
    let platform = Arc::new(standin::platform::Platform::new(Ms(0), Vec::new()));
    for (index, server) in targets.iter().enumerate() {
        let vm = vm::Vm {
            name: name(&format!("vm-{index}")),
            address: server.address(),
            group: name("rack-0"),
            domain: name("zone-a"),
            capacity: capacity(),
            slots: 8,
            state: vm::State::Live,
        };
        platform.vms().add(platform.now(), vm);
    }
    let server = smol::block_on(spawner.run(standin::serve::Server::start(platform)));
    let server = server.expect("the platform starts");
    let address = server.address();
    // It serves until the process ends.
    std::mem::forget(server);
    address
}

fn settings(platform: SocketAddr) -> Settings {
    let text = format!(
        "[entry]\nname=entry-1\nfailure_domain=zone-a\n[listen]\ncaller=127.0.0.1:0\n\
         operator=127.0.0.1:0\npeer=127.0.0.1:0\n[platform]\ntable={platform}\n\
         objects={platform}\nvms={platform}\n[limits]\nthreads={THREADS}\n"
    );
    Settings::parse("bench", &text).expect("valid settings")
}

fn configure(daemon: &Daemon) {
    let text = include_str!("../docs/example.json");
    let document: Document = serde_json::from_str(text).expect("a valid document");
    let call = Call {
        id: name("first"),
        action: Action::Reconfigure {
            expected: Version(0),
            document,
            dry_run: false,
        },
    };
    let spawner = Spawner::default();
    let configured = async {
        let mut client = Client::connect(&spawner, daemon.operator(), LIMIT).await?;
        client.call(&call).await
    };
    let reply = smol::block_on(spawner.run(configured)).expect("an answer");
    assert!(matches!(reply, Reply::Configured { .. }), "{reply:?}");
}

/// A bare pass-through: each connection has one connection to the target, and passes on every
/// request and answer as it comes.
fn passthrough(spawner: &Spawner, to: SocketAddr) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().expect("a local address");
    let accepting = Arc::clone(spawner);
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepting
                .spawn(pass(Arc::clone(&accepting), stream, to))
                .detach();
        }
    };
    spawner.spawn(accept).detach();
    address
}

async fn pass(spawner: Spawner, stream: TcpStream, to: SocketAddr) {
    let upstream = Mutex::new(connect::<Incoming>(&spawner, to).await);
    drop(stream.set_nodelay(true));
    let service = service_fn(|request| async {
        let mut upstream = upstream.lock().await;
        upstream.ready().await?;
        upstream.send_request(request).await
    });
    let connection = hyper::server::conn::http1::Builder::new();
    drop(
        connection
            .serve_connection(FuturesIo::new(stream), service)
            .await,
    );
}

async fn connect<B>(spawner: &Spawner, to: SocketAddr) -> SendRequest<B>
where
    B: hyper::body::Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let stream = TcpStream::connect(to).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let shaken = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await;
    let (sender, driver) = shaken.expect("a handshake");
    spawner.spawn(async move { drop(driver.await) }).detach();
    sender
}

/// Requests per second over all connections, each waiting for its answer.
fn throughput(to: SocketAddr) -> f64 {
    let spawner = run("load", LOAD_THREADS);
    let (count, stop) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let client = load(
                Arc::clone(&spawner),
                to,
                Arc::clone(&count),
                Arc::clone(&stop),
            );
            spawner.spawn(client)
        })
        .collect();
    thread::sleep(WARM_UP);
    let (before, start) = (count.load(Ordering::SeqCst), Instant::now());
    thread::sleep(ROUND);
    let done = count.load(Ordering::SeqCst) - before;
    let rate = done as f64 / start.elapsed().as_secs_f64();
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(smol::block_on);
    rate
}

async fn load(spawner: Spawner, to: SocketAddr, count: Arc<AtomicU64>, stop: Arc<AtomicBool>) {
    let mut sender = connect::<Full<Bytes>>(&spawner, to).await;
    while !stop.load(Ordering::Relaxed) {
        let request = Request::post("/call/orders/place")
            .header("host", "bench")
            .header("x-repeatable", "yes")
            .body(Full::new(Bytes::from_static(&[7; 256])))
            .expect("a valid request");
        sender.ready().await.expect("an open connection");
        let response = sender.send_request(request).await.expect("an answer");
        assert_eq!(response.status(), 200);
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the whole body");
        assert_eq!(body.to_bytes().len(), 256);
        count.fetch_add(1, Ordering::Relaxed);
    }
}
