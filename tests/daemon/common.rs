//! A platform and workers on loopback for tests of whole entries.

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

/// The time limit of every wait. What tests wait for takes seconds at most.
pub const TIMEOUT: Duration = Duration::from_millis(30_000);

/// Target behaviour that answers each request with its body. The kind `slow` takes 300 ms.
#[derive(Debug, Default)]
struct Echo {
    runs: AtomicU64,
    /// Requests of the kind `slow` that started.
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
        let server =
            smol::block_on(Server::start(Arc::clone(&platform))).expect("a loopback port is free");
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

    /// Returns the number of requests that targets have run.
    pub fn runs(&self) -> u64 {
        self.echo.runs.load(Ordering::SeqCst)
    }

    /// Returns the number of requests of the kind `slow` that have started.
    pub fn slow_runs(&self) -> u64 {
        self.echo.slow.load(Ordering::SeqCst)
    }

    /// Makes a worker keep its connections open and send no answers.
    pub fn make_unresponsive(&self, index: usize) {
        self.workers[index].set_silent(true);
    }

    /// Returns the settings of an entry on free ports.
    pub fn settings(&self, name: &str) -> Settings {
        Settings::parse(name, &self.settings_text(name)).expect("the settings are valid")
    }

    /// Returns the text of a settings file of an entry on free ports.
    pub fn settings_text(&self, name: &str) -> String {
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
        name: Name::try_from(name.as_str()).expect("the name is valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        group: Name::try_from(format!("rack-{}", index / 8).as_str()).expect("the name is valid"),
        domain: Name::try_from("zone-a").expect("the name is valid"),
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
    let server =
        smol::block_on(Server::start(Arc::clone(&backend))).expect("a loopback port is free");
    vm.address = server.address();
    platform.vms().add(platform.now(), vm);
    (backend, server)
}

/// Returns the example configuration with a queue of length `queue` for its service `orders`.
pub fn document(queue: u32) -> Document {
    let text = include_str!("../../docs/example.json");
    let mut document: Document = serde_json::from_str(text).expect("the document is valid");
    document.services[0].queue = queue;
    document
}

/// Makes an operator call and returns the reply.
pub fn call_operator(daemon: &Daemon, id: &str, action: Action) -> Reply {
    let call = Call {
        id: Name::try_from(id).expect("the name is valid"),
        action,
    };
    let spawner = Spawner::default();
    let reply = async {
        let mut client = Client::connect(&spawner, daemon.operator(), TIMEOUT).await?;
        client.call(&call).await
    };
    smol::block_on(spawner.run(reply)).expect("the entry answers")
}

/// Writes the first configuration, repeating the call until it is in force.
pub fn configure(daemon: &Daemon) {
    wait_until("the configuration", || {
        let action = Action::Reconfigure {
            expected: Version(0),
            document: document(100),
            dry_run: false,
        };
        matches!(
            call_operator(daemon, "first", action),
            Reply::Configured { .. }
        )
    });
}

/// A caller with its own pool of connections.
pub struct Caller {
    pool: Pool,
}

impl Caller {
    /// Creates a caller without open connections.
    pub fn new() -> Self {
        let pool = Pool::new(pool::Limits::default());
        Self { pool }
    }

    /// Sends a request with headers and reads the complete answer.
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
            .expect("the request is valid");
        let sent = self.pool.send(to, request, TIMEOUT);
        smol::block_on(sent)
    }
}

/// Waits until a condition holds, and panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "{what}: condition did not hold within {TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
