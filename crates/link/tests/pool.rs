//! Tests of the pool with servers that fail.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::pool::Error;
use link::pool::Limits;
use link::pool::Pool;
use smol::Timer;
use smol::future::FutureExt;

const COMPLETE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LIMIT: Duration = Duration::from_millis(500);

/// Starts a listener that serves each connection in a thread. Returns its address and the count of
/// accepted connections.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener
        .local_addr()
        .expect("the listener has a local address");
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::SeqCst);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    (address, count)
}

/// Reads the head of one request. Returns false if the connection ended.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/")
        .header("host", "test")
        .body(Full::default())
        .expect("the request is valid")
}

fn pool(idle: Duration) -> Pool {
    let limits = Limits {
        idle_timeout: idle,
        max_answer_bytes: 16,
        ..Limits::default()
    };
    Pool::new(limits)
}

/// Guards against a partial, oversized or missing answer that is taken for a complete one.
#[test]
fn an_incomplete_answer_is_broken() {
    let cases = [
        ("closed without an answer", ""),
        (
            "cut short",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        ),
        ("without a length", "HTTP/1.1 200 OK\r\n\r\nok"),
        (
            "longer than allowed",
            "HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n12345678901234567",
        ),
        ("not HTTP", "hello\r\n\r\n"),
        ("head cut short", "HTTP/1.1 200 OK\r\ncontent-le"),
    ];
    for (name, answer) in cases {
        let (address, _) = listen(move |mut stream| {
            read_head(&mut stream);
            drop(stream.write_all(answer.as_bytes()));
        });
        let pool = pool(LIMIT);
        let result = smol::block_on(pool.send(address, request(), LIMIT));
        assert!(
            matches!(result, Err(Error::Broken(_))),
            "{name}: {result:?}"
        );
    }
}

/// Guards against a request that is reported as possibly sent although it cannot have arrived.
#[test]
fn a_refused_connection_is_unsent() {
    let unused = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = unused.expect("a loopback port is free");
    let pool = pool(LIMIT);
    let result = smol::block_on(pool.send(address, request(), LIMIT));
    assert!(matches!(result, Err(Error::Unsent(_))), "{result:?}");
}

/// Guards against waiting forever for a server that does not answer.
#[test]
fn an_unresponsive_server_is_broken_after_the_limit() {
    let (address, _) = listen(|mut stream| while read_head(&mut stream) {});
    let pool = pool(LIMIT);
    let limit = Duration::from_millis(50);
    let result = smol::block_on(pool.send(address, request(), limit));
    assert!(matches!(result, Err(Error::Broken(_))), "{result:?}");
}

/// Guards against the reuse of connections that were idle for too long, and against connections
/// that are never reused.
#[test]
fn a_connection_is_reused_only_within_the_idle_timeout() {
    let cases = [(Duration::from_millis(60_000), 1), (Duration::ZERO, 3)];
    for (idle, expected) in cases {
        let (address, count) = listen(|mut stream| {
            while read_head(&mut stream) {
                drop(stream.write_all(COMPLETE_ANSWER.as_bytes()));
            }
        });
        let pool = pool(idle);
        smol::block_on(async {
            for _ in 0..3 {
                let answer = pool.send(address, request(), LIMIT).await;
                assert_eq!(answer.expect("the request is answered").body(), "ok");
                Timer::after(Duration::from_millis(5)).await;
            }
        });
        assert_eq!(
            count.load(Ordering::SeqCst),
            expected,
            "idle limit {idle:?}"
        );
    }
}

/// Guards against a request that fails because the server has closed the idle connection.
#[test]
fn an_idle_connection_that_was_closed_is_replaced() {
    let (address, count) = listen(|mut stream| {
        read_head(&mut stream);
        drop(stream.write_all(COMPLETE_ANSWER.as_bytes()));
    });
    let pool = pool(Duration::from_millis(60_000));
    smol::block_on(async {
        for _ in 0..2 {
            let answer = pool.send(address, request(), LIMIT).await;
            assert_eq!(answer.expect("the request is answered").body(), "ok");
            // Leaves time for the close to arrive.
            Timer::after(Duration::from_millis(300)).await;
        }
    });
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

/// Guards against a connection that stays open after its request was abandoned.
#[test]
fn dropping_a_request_closes_its_connection() {
    let (ended, end) = smol::channel::bounded(1);
    let (address, _) = listen(move |mut stream| {
        read_head(&mut stream);
        // The second read ends when the client closes the connection.
        read_head(&mut stream);
        let _ = ended.send_blocking(());
    });
    let pool = pool(LIMIT);
    smol::block_on(async {
        let timeout = async {
            Timer::after(Duration::from_millis(50)).await;
            None
        };
        let sent = async { Some(pool.send(address, request(), LIMIT).await) };
        assert!(sent.or(timeout).await.is_none(), "the server never answers");
        end.recv().await.expect("the client closes the connection");
    });
}
