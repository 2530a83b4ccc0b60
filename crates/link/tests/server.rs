//! Tests of the limits and the stop of a server.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use link::Spawner;
use link::server::Limits;
use link::server::Server;
use smol::Timer;
use smol::channel::Receiver;
use smol::future::FutureExt;
use smol::net::TcpListener;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Starts a server that answers after `delay`. The receiver gets a message when a request begins.
fn start(limits: Limits, delay: Duration) -> (Server, Receiver<()>) {
    let spawner = Spawner::default();
    let (sender, begun) = smol::channel::unbounded();
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let server = Server::start(&spawner, listener, limits, move |_request| {
        let sender = sender.clone();
        async move {
            let _ = sender.send(()).await;
            Timer::after(delay).await;
            Response::new(Full::new(Bytes::from_static(b"whole")))
        }
    });
    thread::spawn(move || smol::block_on(spawner.run(smol::future::pending::<()>())));
    (server.expect("the server starts"), begun)
}

fn open(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("a connection can be opened");
    let limit = Some(Duration::from_millis(10_000));
    stream
        .set_read_timeout(limit)
        .expect("the read timeout can be set");
    stream
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    drop(stream.read_to_end(&mut bytes));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a graceful stop that aborts a request in flight.
#[test]
fn a_stop_lets_requests_finish_and_closes_idle_connections() {
    let (server, begun) = start(Limits::default(), Duration::from_millis(200));
    let mut idle = open(&server);
    let mut busy = open(&server);
    busy.write_all(REQUEST).expect("the request can be sent");
    begun.recv_blocking().expect("the request begins");
    smol::block_on(server.stop());
    assert!(
        read_all(&mut busy).ends_with("whole"),
        "the request in flight is answered completely"
    );
    assert_eq!(read_all(&mut idle), "", "the idle connection is closed");
    assert!(
        TcpStream::connect(server.address()).is_err(),
        "new connections are refused after the stop"
    );
}

/// Guards against an immediate stop that waits for requests in flight.
#[test]
fn a_kill_aborts_requests() {
    let (server, begun) = start(Limits::default(), Duration::from_millis(600_000));
    let mut busy = open(&server);
    busy.write_all(REQUEST).expect("the request can be sent");
    begun.recv_blocking().expect("the request begins");
    let killed = async {
        server.kill().await;
        true
    };
    let timeout = async {
        Timer::after(Duration::from_millis(10_000)).await;
        false
    };
    assert!(
        smol::block_on(killed.or(timeout)),
        "the kill did not end within 10 s"
    );
    assert_eq!(read_all(&mut busy), "");
}

/// Guards against connections above the limit, and against ended connections that still count.
#[test]
fn connections_over_the_limit_are_closed() {
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    let (server, begun) = start(limits, Duration::ZERO);
    // An answer shows that the connection has been accepted.
    let mut admitted = [open(&server), open(&server)];
    for stream in &mut admitted {
        stream.write_all(REQUEST).expect("the request can be sent");
        begun.recv_blocking().expect("the request begins");
    }
    assert_eq!(
        read_all(&mut open(&server)),
        "",
        "the third connection is closed"
    );
    drop(admitted);
    let free = (0..100).any(|_| {
        thread::sleep(Duration::from_millis(100));
        let mut next = open(&server);
        // A closed connection may refuse the request.
        drop(next.write_all(b"GET / HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n"));
        read_all(&mut next).ends_with("whole")
    });
    assert!(free, "no connection is admitted after others have ended");
}
