//! Tests of invalid input, disconnects and outcomes at the server for callers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use caller::reply::Reply;
use caller::request::Request;
use caller::server::Handler;
use decision::request::Answer;
use decision::request::Outcome;
use decision::ticket::Ticket;
use http_body_util::BodyExt;
use http_body_util::Full;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use smol::Timer;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolExecutor;

/// Answers with the parsed request. Requests of the kind `wait` never end.
#[derive(Default)]
struct Echo {
    withdrawn: Arc<AtomicUsize>,
    started: AtomicUsize,
}

/// Increments a counter when it is dropped.
struct DropCounter(Arc<AtomicUsize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl Handler for Echo {
    async fn call(&self, request: Request) -> Reply {
        self.started.fetch_add(1, Ordering::SeqCst);
        if &*request.kind == "wait" {
            let _counter = DropCounter(Arc::clone(&self.withdrawn));
            Timer::never().await;
        }
        let Request {
            service,
            kind,
            team,
            repeatable,
            remaining,
            body,
            ..
        } = request;
        let text = format!(
            "{service} {kind} {team} {repeatable} {remaining:?} {}",
            body.len()
        );
        let answer = Answer {
            status: 200,
            body: text.into(),
        };
        Reply {
            outcome: Outcome::Answered(answer),
            ticket: None,
        }
    }

    fn tickets(&self, count: u32) -> Vec<Ticket> {
        let ticket = |sequence: u32| {
            Ticket::try_from(format!("entry-1/1/{sequence:x}/2").as_str())
                .expect("the ticket is valid")
        };
        (0..count).map(ticket).collect()
    }

    fn ready(&self) -> bool {
        false
    }

    fn metrics(&self) -> String {
        "up 1\n".into()
    }
}

fn start() -> (Server, Arc<Echo>) {
    let spawner = Spawner::default();
    let handler = Arc::new(Echo::default());
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let limits = Limits::default();
    let server = caller::server::start(&spawner, listener, limits, Arc::clone(&handler));
    thread::spawn(move || smol::block_on(spawner.run(smol::future::pending::<()>())));
    (server.expect("the server starts"), handler)
}

fn open(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection can be opened");
    let limit = Some(Duration::from_millis(10_000));
    stream
        .set_read_timeout(limit)
        .expect("the read timeout can be set");
    stream
}

/// Sends bytes on a new connection and reads until the server closes it.
fn exchange(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = open(to);
    // The server may close before it has read everything.
    drop(stream.write_all(bytes));
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        answer.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn raw(line: &str, headers: &str) -> Vec<u8> {
    let end = "host: test\r\nconnection: close\r\n\r\n";
    format!("{line} HTTP/1.1\r\n{headers}{end}").into_bytes()
}

/// Guards against invalid input that is accepted, answered with another status, or that affects
/// other connections.
#[test]
fn invalid_input_gets_a_typed_error_and_affects_no_other_connection() {
    let long = format!("x-team: {}\r\n", "a".repeat(20_000));
    let call = "POST /call/orders/place";
    let ticket = "x-ticket: entry-1/zz/1/1\r\n";
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("no such path", raw("GET /nothing", ""), "404"),
        ("path too deep", raw("POST /call/a/b/c", ""), "404"),
        ("wrong method", raw("GET /call/orders/place", ""), "405"),
        ("wrong method for tickets", raw("GET /ticket", ""), "405"),
        ("service is not a name", raw("POST /call/or%20ders/place", ""), "400"),
        ("empty kind", raw("POST /call/orders/", ""), "400"),
        ("long service", raw(&format!("POST /call/{}/x", "a".repeat(129)), ""), "400"),
        ("repeatable is neither", raw(call, "x-repeatable: maybe\r\n"), "400"),
        ("deadline of zero", raw(call, "x-deadline-ms: 0\r\n"), "400"),
        ("negative deadline", raw(call, "x-deadline-ms: -1\r\n"), "400"),
        ("absurd deadline", raw(call, "x-deadline-ms: 99999999999999999999\r\n"), "400"),
        ("team is not a name", raw(call, "x-team: a b\r\n"), "400"),
        ("header given twice", raw(call, "x-team: a\r\nx-team: b\r\n"), "400"),
        ("ticket without form", raw(call, ticket), "400"),
        ("count of zero", raw("POST /ticket?count=0", ""), "400"),
        ("absurd count", raw("POST /ticket?count=1001", ""), "400"),
        ("unknown query", raw("POST /ticket?n=1", ""), "400"),
        ("long header", raw(call, &long), "431"),
        ("absurd length", raw(call, "content-length: 8388609\r\n"), "413"),
        ("impossible length", raw(call, "content-length: 99999999999999999999\r\n"), "400"),
        ("two lengths", raw(call, "content-length: 1\r\ncontent-length: 2\r\n"), "400"),
        ("not HTTP", b"\x00\x01\x02\x03\r\n\r\n".to_vec(), "400"),
        ("wrong version", b"GET / HTTP/9.9\r\n\r\n".to_vec(), "400"),
        (
            "team is not UTF-8",
            [b"POST /call/a/b HTTP/1.1\r\nhost: t\r\nconnection: close\r\nx-team: \xff\xfe\r\n\r\n"
                .as_slice()]
            .concat(),
            "400",
        ),
    ];
    let (server, _) = start();
    let mut bystander = open(server.address());
    for (name, bytes, status) in cases {
        let answer = exchange(server.address(), &bytes);
        let expected = format!("HTTP/1.1 {status}");
        assert!(answer.starts_with(&expected), "{name}: {answer:?}");
        check_alive(&mut bystander, name);
    }
}

fn check_alive(bystander: &mut TcpStream, after: &str) {
    bystander
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: test\r\n\r\n")
        .expect("the connection is open");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"\r\n\r\nok\n") {
        let count = bystander.read(&mut byte).expect("the request is answered");
        assert_eq!(count, 1, "the other connection is closed after: {after}");
        answer.push(byte[0]);
    }
}

/// Guards against invalid HTTP/2 input that affects other connections.
#[test]
fn broken_http2_closes_only_its_connection() {
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice();
    let cases: [(&str, &[u8]); 4] = [
        (
            "frame over the size limit",
            b"\xff\xff\xff\x00\x00\x00\x00\x00\x01",
        ),
        ("data on stream 0", b"\x00\x00\x01\x00\x00\x00\x00\x00\x00x"),
        (
            "settings of a wrong size",
            b"\x00\x00\x05\x04\x00\x00\x00\x00\x00abcde",
        ),
        (
            "headers that cannot be decoded",
            b"\x00\x00\x02\x01\x05\x00\x00\x00\x01\xff\xff",
        ),
    ];
    let (server, _) = start();
    let mut bystander = open(server.address());
    for (name, frames) in cases {
        let bytes = [preface, b"\x00\x00\x00\x04\x00\x00\x00\x00\x00", frames].concat();
        exchange(server.address(), &bytes);
        check_alive(&mut bystander, name);
    }
}

/// Guards against a request whose parsed form differs from what was sent.
#[test]
fn a_request_is_parsed_as_sent() {
    let cases = [
        (
            "POST /call/orders/place",
            "",
            "orders place default false None 0",
        ),
        (
            "POST /call/orders/place",
            "x-repeatable: yes\r\nx-team: lamps\r\nx-deadline-ms: 250\r\n",
            "orders place lamps true Some(Ms(250)) 0",
        ),
        ("POST /ticket", "", "entry-1/1/0/2\n"),
        ("POST /ticket?count=2", "", "entry-1/1/0/2\nentry-1/1/1/2\n"),
        ("GET /healthz", "", "ok\n"),
        ("GET /readyz", "", "not ready\n"),
        ("GET /metrics", "", "up 1\n"),
    ];
    let (server, _) = start();
    for (line, headers, expected) in cases {
        let answer = exchange(server.address(), &raw(line, headers));
        assert!(
            answer.ends_with(&format!("\r\n\r\n{expected}")),
            "{line}: {answer:?}"
        );
    }
}

/// Guards against a request that stays in progress after its caller disconnected.
#[test]
fn a_disconnect_withdraws_the_request() {
    let (server, handler) = start();
    let stream = open(server.address());
    (&stream)
        .write_all(b"POST /call/orders/wait HTTP/1.1\r\nhost: test\r\n\r\n")
        .expect("the request can be sent");
    await_count(&handler.started, "the start");
    drop(stream);
    await_count(&handler.withdrawn, "the withdrawal");
}

fn await_count(count: &AtomicUsize, event: &str) {
    let end = Instant::now() + Duration::from_millis(10_000);
    while count.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < end, "waited too long for {event}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against an outcome that callers would take for another one.
#[test]
fn each_outcome_has_its_status() {
    use decision::request::Refusal;
    let refused = Outcome::Refused;
    let answered = |status| {
        Outcome::Answered(Answer {
            status,
            body: Bytes::new(),
        })
    };
    let cases = [
        (answered(200), 200, "answered"),
        (answered(503), 503, "answered"),
        (answered(9), 502, "unknown"),
        (refused(Refusal::TicketNeeded), 428, "refused"),
        (refused(Refusal::TicketExpired), 428, "refused"),
        (refused(Refusal::Full), 429, "refused"),
        (refused(Refusal::Late), 503, "refused"),
        (refused(Refusal::Stopping), 503, "refused"),
        (refused(Refusal::Missing), 503, "refused"),
        (refused(Refusal::Unreachable), 503, "refused"),
        (Outcome::Unknown, 504, "unknown"),
    ];
    for (outcome, status, text) in cases {
        let name = format!("{outcome:?}");
        let reply = Reply {
            outcome,
            ticket: None,
        };
        let response = http::Response::from(reply);
        assert_eq!(response.status(), status, "{name}");
        assert_eq!(response.headers()["x-outcome"], text, "{name}");
    }
}

/// Guards against HTTP/2 callers that are not served, or whose cancellation of one request affects
/// another one on the same connection.
#[test]
fn http2_requests_share_a_connection() {
    let (server, handler) = start();
    let spawner = Spawner::default();
    let stream = smol::block_on(smol::net::TcpStream::connect(server.address()));
    let io = FuturesIo::new(stream.expect("a connection can be opened"));
    let executor = SmolExecutor::new(Arc::clone(&spawner));
    let request = |kind| {
        http::Request::post(format!("http://entry/call/orders/{kind}"))
            .header("x-repeatable", "yes")
            .body(Full::new(Bytes::from_static(b"lamp")))
            .expect("the request is valid")
    };
    smol::block_on(spawner.run(async {
        let handshake = hyper::client::conn::http2::handshake(executor, io).await;
        let (mut sender, driver) = handshake.expect("the HTTP/2 handshake succeeds");
        let driver = spawner.spawn(async move { drop(driver.await) });
        let waiting = spawner.spawn(sender.send_request(request("wait")));
        while handler.started.load(Ordering::SeqCst) == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        drop(waiting);
        while handler.withdrawn.load(Ordering::SeqCst) == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        let answer = sender
            .send_request(request("place"))
            .await
            .expect("the request is answered");
        assert_eq!(answer.headers()["x-outcome"], "answered");
        let body = answer
            .into_body()
            .collect()
            .await
            .expect("the body is received completely");
        assert_eq!(body.to_bytes(), "orders place default true None 4");
        drop(driver);
    }));
}
