//! Tests of valid and invalid frames between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use decision::clock::Ms;
use decision::name::Name;
use decision::peer::Envelope;
use decision::peer::Forward;
use decision::peer::Message;
use decision::timeline::Filter;
use http::Request;
use http::Response;
use http_body_util::Full;
use link::Spawner;
use link::pool;
use link::pool::Pool;
use link::server::Server;
use peer::client;
use peer::client::Client;
use peer::frame;
use peer::frame::Frame;
use peer::frame::MAX_BYTES;
use peer::server::Handler;
use smol::Timer;
use smol::net::TcpListener;

const LIMIT: Duration = Duration::from_millis(10_000);

/// Returns each frame unchanged, but never answers a timeline query.
struct Echo;

impl Handler for Echo {
    async fn handle(&self, frame: Frame) -> Frame {
        if let Frame::Timeline(_) = frame {
            Timer::never().await;
        }
        frame
    }
}

fn start() -> Server {
    let spawner = Spawner::default();
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let server = peer::server::start(&spawner, listener, Arc::new(Echo));
    thread::spawn(move || smol::block_on(spawner.run(smol::future::pending::<()>())));
    server.expect("the server starts")
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

/// Creates a frame that forwards a request with a body of this many bytes.
fn forward(bytes: usize) -> Frame {
    let message = Message::Forward(Forward {
        service: name("orders"),
        kind: name("place"),
        team: name("lamps"),
        repeatable: false,
        ticket: None,
        remaining: Ms(1_000),
        body: vec![7; bytes].into(),
    });
    Frame::Message(Box::new(Envelope {
        from: name("entry-1"),
        incarnation: 1,
        lamport: 2,
        message,
    }))
}

fn post(to: SocketAddr, path: &str, body: Vec<u8>) -> Response<Bytes> {
    let pool = Pool::new(pool::Limits::default());
    let request = Request::post(path)
        .header("host", "entry")
        .body(Full::new(body.into()))
        .expect("the request is valid");
    smol::block_on(pool.send(to, request, LIMIT)).expect("the request is answered")
}

/// Guards against a message that is changed on its way.
#[test]
fn a_frame_arrives_as_sent() {
    let server = start();
    let client = Client::new(LIMIT);
    for bytes in [0, 1, 1_000, 500_000] {
        let sent = forward(bytes);
        let answer = smol::block_on(client.exchange(server.address(), &sent, LIMIT));
        assert!(
            answer.expect("the request is answered") == sent,
            "{bytes} bytes"
        );
    }
}

/// Guards against invalid frames that are accepted, or that are rejected without a typed error.
#[test]
fn invalid_frames_are_refused() {
    let valid = frame::encode(&forward(3)).expect("the frame fits into the limit");
    let with = |version| [&[version], &valid[1..]].concat();
    let cases = [
        ("empty", Vec::new(), "the frame is empty"),
        (
            "version 0",
            with(0),
            "the frame has version 0, version 1 is supported",
        ),
        (
            "newer version",
            with(2),
            "the frame has version 2, version 1 is supported",
        ),
        (
            "absurd size",
            vec![1; MAX_BYTES + 1],
            "the frame has 1048577 bytes",
        ),
        (
            "cut short",
            valid[..valid.len() - 1].to_vec(),
            "the frame cannot be read",
        ),
        ("only a version", vec![1], "the frame cannot be read"),
        (
            "garbage",
            [b"\x01".as_slice(), &[0xc1; 40]].concat(),
            "the frame cannot be read",
        ),
        (
            "nested without end",
            [b"\x01".as_slice(), &[0x91; 100_000]].concat(),
            "the frame",
        ),
    ];
    let server = start();
    for (name, bytes, expected) in cases {
        let answer = post(server.address(), "/peer", bytes);
        assert_eq!(answer.status(), 400, "{name}");
        let error: frame::Error =
            rmp_serde::from_slice(answer.body()).expect("the answer holds a typed error");
        assert!(error.to_string().starts_with(expected), "{name}: {error}");
    }
    let missing = post(server.address(), "/other", valid);
    assert_eq!(missing.status(), 404);
}

/// Guards against a name that is not validated because it was received from a peer.
#[test]
fn an_invalid_name_in_a_frame_is_refused() {
    let mut bytes = frame::encode(&forward(0)).expect("the frame fits into the limit");
    let position = bytes.windows(6).position(|part| part == b"orders");
    let position = position.expect("the service is in the frame");
    bytes[position..position + 6].copy_from_slice(b"or ers");
    let error = frame::decode(&bytes).expect_err("the name is refused");
    assert!(matches!(error, frame::Error::Contents(_)), "{error}");
    bytes[position..position + 6].copy_from_slice(b"or\xff\xfers");
    let error = frame::decode(&bytes).expect_err("invalid UTF-8 is refused");
    assert!(matches!(error, frame::Error::Contents(_)), "{error}");
}

/// Guards against a frame that is reported as unsent although it may have arrived, and against one
/// that is reported as possibly sent although it cannot have arrived.
#[test]
fn the_client_distinguishes_unsent_from_broken() {
    let server = start();
    let client = Client::new(LIMIT);
    let exchange = |to, frame, limit| smol::block_on(client.exchange(to, &frame, limit));
    let unanswered = Frame::Timeline(Filter::default());
    let result = exchange(server.address(), unanswered, Duration::from_millis(50));
    assert!(
        matches!(result, Err(client::Error::Broken(_))),
        "{result:?}"
    );
    let unused = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let result = exchange(
        unused.expect("a loopback port is free"),
        Frame::Silent,
        LIMIT,
    );
    assert!(
        matches!(result, Err(client::Error::Unsent(_))),
        "{result:?}"
    );
    let result = exchange(server.address(), forward(MAX_BYTES), LIMIT);
    assert!(
        matches!(result, Err(client::Error::Unsent(_))),
        "{result:?}"
    );
}
