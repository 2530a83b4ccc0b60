//! A fleet of stand-ins for tests of whole entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
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
use decision::vm::State;
use decision::vm::Vm;
use http::Request;
use http::Response;
use http_body_util::Full;
use link::Spawner;
use link::pool;
use link::pool::Pool;
use operator::client::Client;
use samphiretrail::daemon::Daemon;
use samphiretrail::settings::Settings;
use standin::backend::Backend;
use standin::backend::Behaviour;
use standin::backend::Observation;
use standin::platform::Platform;
use standin::serve::Server;
use standin::worker::Need;

/// The longest that any test waits for something that is due within seconds.
pub const PATIENCE: Duration = Duration::from_millis(30_000);

/// Answers every request with its contents; the kind `slow` takes 300 ms.
#[derive(Debug, Default)]
struct Echo {
    runs: AtomicU64,
    slow: AtomicU64,
}

impl Behaviour for Echo {
    fn serve(&self, kind: &str, body: &Bytes) -> (Ms, Bytes) {
        self.runs.fetch_add(1, Ordering::SeqCst);
        if kind != "slow" {
            return (Ms(1), body.clone());
        }
        self.slow.fetch_add(1, Ordering::SeqCst);
        (Ms(300), body.clone())
    }

    fn need(&self, _kind: &Name, _task: &Name) -> Need {
        let size = Size {
            millicores: 100,
            memory_mb: 10,
            accelerators: 0,
        };
        Need { work: Ms(50), size }
    }

    fn record(&self, _vm: &Name, _now: Ms, _observation: Observation) {}
}

/// The platform and some workers on loopback.
pub struct Fleet {
    echo: Arc<Echo>,
    workers: Vec<Arc<Backend<Echo>>>,
    platform_address: SocketAddr,
    _servers: Vec<Server>,
}

impl Fleet {
    /// Starts the platform and `count` workers.
    pub fn start(count: u32) -> Self {
        let platform = Arc::new(Platform::new(Ms(0), Vec::new()));
        let server = smol::block_on(Server::start(Arc::clone(&platform))).expect("a free port");
        let platform_address = server.address();
        let mut servers = vec![server];
        let echo = Arc::new(Echo::default());
        let mut workers = Vec::new();
        for index in 0..count {
            let (worker, server) = worker(&platform, &echo, index);
            workers.push(worker);
            servers.push(server);
        }
        Self {
            echo,
            workers,
            platform_address,
            _servers: servers,
        }
    }

    /// How many requests ran.
    pub fn runs(&self) -> u64 {
        self.echo.runs.load(Ordering::SeqCst)
    }

    /// How many requests of the kind `slow` began.
    pub fn slow(&self) -> u64 {
        self.echo.slow.load(Ordering::SeqCst)
    }

    /// Lets a worker keep its connections open without an answer.
    pub fn silence(&self, index: usize) {
        self.workers[index].set_silent(true);
    }

    /// Settings of an entry on free ports.
    pub fn settings(&self, name: &str) -> Settings {
        Settings::parse(name, &self.text(name)).expect("the settings are valid")
    }

    /// The settings file of an entry on free ports.
    pub fn text(&self, name: &str) -> String {
        let platform = self.platform_address;
        format!(
            "[entry]\nname={name}\nfailure_domain=zone-a\n[listen]\ncaller=127.0.0.1:0\n\
             operator=127.0.0.1:0\npeer=127.0.0.1:0\n[platform]\ntable={platform}\n\
             objects={platform}\nvms={platform}\n[limits]\nthreads=2\n[times]\nvms_ms=100\n"
        )
    }
}

fn worker(platform: &Arc<Platform>, echo: &Arc<Echo>, index: u32) -> (Arc<Backend<Echo>>, Server) {
    let name = format!("vm-{index}");
    let mut vm = Vm {
        name: Name::try_from(name.as_str()).expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        group: Name::try_from(format!("rack-{}", index / 8).as_str()).expect("a valid name"),
        domain: Name::try_from("zone-a").expect("a valid name"),
        capacity: Size {
            millicores: 32_000,
            memory_mb: 125_000,
            accelerators: 0,
        },
        slots: 8,
        state: State::Live,
    };
    let backend = Backend::new(vm.clone(), Arc::clone(platform), Arc::clone(echo));
    let backend = Arc::new(backend);
    let server = smol::block_on(Server::start(Arc::clone(&backend))).expect("a free port");
    vm.address = server.address();
    platform.vms().add(platform.now(), vm);
    (backend, server)
}

/// A configuration with the service `orders`, whose queue is `queue` long.
pub fn document(queue: u32) -> Document {
    let text = include_str!("../../docs/example.json");
    let mut document: Document = serde_json::from_str(text).expect("a valid document");
    document.services[0].queue = queue;
    document
}

/// Makes an operator's call.
pub fn operate(daemon: &Daemon, id: &str, action: Action) -> Reply {
    let call = Call {
        id: Name::try_from(id).expect("a valid name"),
        action,
    };
    let spawner = Spawner::default();
    let reply = async {
        let mut client = Client::connect(&spawner, daemon.operator(), PATIENCE).await?;
        client.call(&call).await
    };
    smol::block_on(spawner.run(reply)).expect("the entry answers")
}

/// Puts the first configuration in force.
pub fn configure(daemon: &Daemon) {
    wait("the configuration", || {
        let action = Action::Reconfigure {
            expected: Version(0),
            document: document(100),
            dry_run: false,
        };
        matches!(operate(daemon, "first", action), Reply::Configured { .. })
    });
}

/// A caller with its own connections.
pub struct Caller {
    pool: Pool,
}

impl Caller {
    /// A caller without connections yet.
    pub fn new() -> Self {
        let pool = Pool::new(pool::Limits::default());
        Self { pool }
    }

    /// Sends a request with headers and reads the whole answer.
    pub fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &'static str,
    ) -> Result<Response<Bytes>, pool::Error> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .header("host", "entry")
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .expect("a valid request");
        let sent = self.pool.send(to, request, PATIENCE);
        smol::block_on(sent)
    }
}

/// Waits until `done` holds.
pub fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
