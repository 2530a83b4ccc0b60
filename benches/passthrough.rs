//! Compares the throughput of one entry with that of a bare pass-through, on as many threads and in
//! the same run.

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

/// The threads of the entry, and also of the pass-through.
const THREADS: usize = 3;
const LOAD_THREADS: usize = 3;
const TARGET_THREADS: usize = 3;
const TARGETS: usize = 8;
/// Connections that send requests. They are fewer than the slots of all targets, so that no request
/// queues.
const CONNECTIONS: usize = 32;
const ROUNDS: usize = 41;
const WARM_UP_TIME: Duration = Duration::from_millis(100);
const ROUND_TIME: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_millis(10_000);

fn main() {
    let (targets, platform) = (
        start_executor("target", TARGET_THREADS),
        start_executor("platform", 1),
    );
    let servers: Vec<Server> = (0..TARGETS)
        .map(|index| start_target(&targets, index))
        .collect();
    let list = start_platform(&platform, &servers);
    let daemon = Daemon::start(settings(list)).expect("the entry starts");
    configure(&daemon);
    let bare = start_passthrough(&start_executor("bare", THREADS), servers[0].address());
    thread::sleep(Duration::from_millis(2_000));
    let (mut bare_cost, mut entry_cost) = (Cost::default(), Cost::default());
    let mut ratios: Vec<f64> = (0..ROUNDS)
        .map(|round| {
            let passthrough = bare_cost.measure("bare-", || throughput(bare));
            let entry = entry_cost.measure("worker-", || throughput(daemon.caller()));
            let ratio = entry / passthrough;
            println!(
                "round={round} passthrough_rps={passthrough:.0} entry_rps={entry:.0} ratio={ratio:.3}"
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

/// Processor time and requests. Other load on the VM affects their ratio less than the throughput.
#[derive(Default)]
struct Cost {
    nanos: u64,
    requests: f64,
}

impl Cost {
    /// Runs `work`, which returns requests per second, and adds the processor time that threads
    /// with this name prefix spend meanwhile.
    fn measure(&mut self, prefix: &str, work: impl FnOnce() -> f64) -> f64 {
        let before = processor_time(prefix);
        let rate = work();
        self.nanos += processor_time(prefix) - before;
        self.requests += rate * (WARM_UP_TIME + ROUND_TIME).as_secs_f64();
        rate
    }

    fn per_request(&self) -> f64 {
        self.nanos as f64 / 1_000.0 / self.requests
    }
}

/// Returns the processor time so far of all threads with this name prefix, in nanoseconds.
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

/// Starts an executor on `threads` threads, whose names start with `name`.
fn start_executor(name: &str, threads: usize) -> Spawner {
    let spawner = Spawner::default();
    for index in 0..threads {
        let spawner = Arc::clone(&spawner);
        let builder = thread::Builder::new().name(format!("{name}-{index}"));
        let work = move || smol::block_on(spawner.run(smol::future::pending::<()>()));
        builder.spawn(work).expect("the thread starts");
    }
    spawner
}

fn listen() -> TcpListener {
    smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free")
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

/// Starts a target that answers each request at once with its body.
fn start_target(spawner: &Spawner, index: usize) -> Server {
    let vm = name(&format!("vm-{index}"));
    Server::start(spawner, listen(), Limits::default(), move |request| {
        let vm = vm.clone();
        async move { answer(vm, request).await }
    })
    .expect("the target starts")
}

async fn answer(vm: Name, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .expect("the body is complete")
        .to_bytes();
    if head.uri.path() == "/command" {
        let command: worker::Command =
            rmp_serde::from_slice(&body).expect("the body is a worker command");
        let reply = worker::Reply::Done(worker::Report {
            vm,
            epoch: command.epoch,
            capacity: capacity(),
            busy: 0,
            former: 0,
            attempts: Vec::new(),
            service: Size::ZERO,
            tasks: Vec::new(),
        });
        let reply = rmp_serde::to_vec(&reply).expect("the reply can be encoded");
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

fn start_platform(spawner: &Spawner, targets: &[Server]) -> SocketAddr {
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
    // Forgetting the server keeps it running until the process exits.
    std::mem::forget(server);
    address
}

fn settings(platform: SocketAddr) -> Settings {
    let text = format!(
        "[entry]\nname=entry-1\nfailure_domain=zone-a\n[listen]\ncaller=127.0.0.1:0\n\
         operator=127.0.0.1:0\npeer=127.0.0.1:0\n[platform]\ntable={platform}\n\
         objects={platform}\nvms={platform}\n[limits]\nthreads={THREADS}\n"
    );
    Settings::parse("bench", &text).expect("the settings are valid")
}

fn configure(daemon: &Daemon) {
    let text = include_str!("../docs/example.json");
    let document: Document = serde_json::from_str(text).expect("the document is valid");
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
        let mut client = Client::connect(&spawner, daemon.operator(), CALL_TIMEOUT).await?;
        client.call(&call).await
    };
    let reply = smol::block_on(spawner.run(configured)).expect("the entry answers");
    assert!(matches!(reply, Reply::Configured { .. }), "{reply:?}");
}

/// Starts a bare pass-through. It opens one connection to the target for each incoming connection,
/// and forwards each request and answer as it arrives.
fn start_passthrough(spawner: &Spawner, to: SocketAddr) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().expect("the listener has an address");
    let accepting = Arc::clone(spawner);
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepting
                .spawn(forward_connection(Arc::clone(&accepting), stream, to))
                .detach();
        }
    };
    spawner.spawn(accept).detach();
    address
}

async fn forward_connection(spawner: Spawner, stream: TcpStream, to: SocketAddr) {
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
    let stream = TcpStream::connect(to)
        .await
        .expect("the target accepts connections");
    stream.set_nodelay(true).expect("TCP_NODELAY can be set");
    let handshake = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await;
    let (sender, driver) = handshake.expect("the HTTP handshake succeeds");
    spawner.spawn(async move { drop(driver.await) }).detach();
    sender
}

/// Measures the requests per second over all connections. Each connection sends its next request
/// after the answer to the last one.
fn throughput(to: SocketAddr) -> f64 {
    let spawner = start_executor("load", LOAD_THREADS);
    let (count, stop) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let client = run_client(
                Arc::clone(&spawner),
                to,
                Arc::clone(&count),
                Arc::clone(&stop),
            );
            spawner.spawn(client)
        })
        .collect();
    thread::sleep(WARM_UP_TIME);
    let (before, start) = (count.load(Ordering::SeqCst), Instant::now());
    thread::sleep(ROUND_TIME);
    let done = count.load(Ordering::SeqCst) - before;
    let rate = done as f64 / start.elapsed().as_secs_f64();
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(smol::block_on);
    rate
}

async fn run_client(
    spawner: Spawner,
    to: SocketAddr,
    count: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) {
    let mut sender = connect::<Full<Bytes>>(&spawner, to).await;
    while !stop.load(Ordering::Relaxed) {
        let request = Request::post("/call/orders/place")
            .header("host", "bench")
            .header("x-repeatable", "yes")
            .body(Full::new(Bytes::from_static(&[7; 256])))
            .expect("the request is valid");
        sender.ready().await.expect("the connection stays open");
        let response = sender
            .send_request(request)
            .await
            .expect("the entry answers");
        assert_eq!(response.status(), 200);
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the body is complete");
        assert_eq!(body.to_bytes().len(), 256);
        count.fetch_add(1, Ordering::Relaxed);
    }
}
