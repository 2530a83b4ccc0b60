//! Tests of the outcomes of attempts and commands, also at targets that fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use decision::name::Name;
use decision::request::Answer;
use decision::request::Ending;
use decision::resource::Size;
use decision::worker::Command;
use decision::worker::Epoch;
use decision::worker::Outcome;
use decision::worker::Refusal;
use decision::worker::Reply;
use decision::worker::Report;
use decision::worker::Verb;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use link::Spawner;
use link::pool;
use link::server::Limits;
use link::server::Server;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use target::attempt;
use target::command;

const LIMIT: Duration = Duration::from_millis(5_000);
const ID: &str = "entry-1/a/7";

/// Starts a server that answers with `respond`.
fn start<F>(respond: impl Fn(Request<Incoming>) -> F + Send + Sync + 'static) -> Server
where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let spawner = Spawner::default();
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let server = Server::start(&spawner, listener, Limits::default(), respond);
    thread::spawn(move || smol::block_on(spawner.run(smol::future::pending::<()>())));
    server.expect("the server starts")
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

fn sample() -> attempt::Attempt {
    attempt::Attempt {
        id: attempt::Id {
            entry: name("entry-1"),
            incarnation: 10,
            attempt: 7,
        },
        epoch: Epoch { row: 3, step: 1 },
        service: name("orders"),
        kind: name("place"),
        body: Bytes::from_static(b"lamp"),
    }
}

/// Guards against the answer to another attempt that is taken for the answer to this one, and
/// against an attempt that is reported as not run although it may have run.
#[test]
fn the_ending_of_an_attempt_follows_from_the_answer() {
    let answered = |status| {
        Ending::Answered(Answer {
            status,
            body: Bytes::from_static(b"whole"),
        })
    };
    type Case = (u16, Option<&'static str>, Option<&'static str>, Ending);
    let cases: [Case; 9] = [
        (200, Some(ID), None, answered(200)),
        (500, Some(ID), None, answered(500)),
        (503, Some(ID), None, answered(503)),
        (503, Some(ID), Some("refused"), Ending::NotRun),
        (503, None, Some("refused"), Ending::NotRun),
        (503, Some("entry-1/a/8"), Some("refused"), Ending::Unknown),
        (200, Some(ID), Some("refused"), answered(200)),
        (200, Some("entry-1/a/8"), None, Ending::Unknown),
        (200, None, None, Ending::Unknown),
    ];
    for (status, id, outcome, expected) in cases {
        let server = start(move |_request| async move {
            let mut response = Response::builder().status(status);
            for (header, value) in [("x-request", id), ("x-outcome", outcome)] {
                if let Some(value) = value {
                    response = response.header(header, value);
                }
            }
            response
                .body(Full::new(Bytes::from_static(b"whole")))
                .expect("the response is valid")
        });
        let client = attempt::Client::new(pool::Limits::default());
        let ending = smol::block_on(client.run(server.address(), sample(), LIMIT));
        assert_eq!(ending, expected, "{status} {id:?} {outcome:?}");
    }
}

/// Guards against a request that is changed on its way to the target.
#[test]
fn an_attempt_arrives_as_sent() {
    let server = start(|request: Request<Incoming>| async {
        let (head, body) = request.into_parts();
        let body = body
            .collect()
            .await
            .expect("the body is received completely")
            .to_bytes();
        let epoch = head.headers["x-epoch"]
            .to_str()
            .expect("the epoch is visible ASCII")
            .to_owned();
        let id = head.headers["x-request"].clone();
        let received = format!("{} {epoch} {}", head.uri, body.escape_ascii());
        let response = Response::builder().header("x-request", id);
        response
            .body(Full::new(received.into()))
            .expect("the response is valid")
    });
    let client = attempt::Client::new(pool::Limits::default());
    let ending = smol::block_on(client.run(server.address(), sample(), LIMIT));
    let received = "/run/orders/place 3.1 lamp";
    let body = Bytes::from_static(received.as_bytes());
    assert_eq!(ending, Ending::Answered(Answer { status: 200, body }));
}

/// Guards against an attempt that is reported as not run although the target got it and did not
/// answer, and against one that is reported as unknown although no connection was established.
#[test]
fn a_missing_answer_is_unknown_and_a_failed_connection_is_not_run() {
    let server = start(|_request| async {
        Timer::never().await;
        Response::default()
    });
    let client = attempt::Client::new(pool::Limits::default());
    let short = Duration::from_millis(50);
    let unanswered = client.run(server.address(), sample(), short);
    let timeout = async {
        smol::Timer::after(4 * short).await;
        Ending::Unknown
    };
    assert_eq!(smol::block_on(unanswered.or(timeout)), Ending::Unknown);
    let unused = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let unused = unused.expect("a loopback port is free");
    let refused = smol::block_on(client.run(unused, sample(), LIMIT));
    assert_eq!(refused, Ending::NotRun);
}

fn renewal(row: u64) -> Command {
    Command {
        epoch: Epoch { row, step: 0 },
        owner: name("entry-1"),
        verb: Verb::Renew {
            lease: decision::clock::Ms(20_000),
        },
    }
}

fn report(epoch: Epoch) -> Reply {
    Reply::Done(Report {
        vm: name("vm-1"),
        epoch,
        capacity: Size::ZERO,
        busy: 0,
        former: 0,
        attempts: Vec::new(),
        service: Size::ZERO,
        tasks: Vec::new(),
    })
}

fn command(to: SocketAddr, limit: Duration) -> Outcome {
    let client = command::Client::new(LIMIT);
    smol::block_on(client.run(to, &renewal(1), limit))
}

/// Guards against a reply that is decoded wrongly, and against invalid bytes that are taken for a
/// reply.
#[test]
fn the_outcome_of_a_command_follows_from_the_reply() {
    let stale = Reply::Refused(Refusal::Stale(Epoch { row: 9, step: 0 }));
    let done = report(Epoch { row: 1, step: 0 });
    let encode = |reply: &Reply| rmp_serde::to_vec(reply).expect("the reply can be encoded");
    let cases = [
        (200, encode(&stale), Outcome::Answered(stale.clone())),
        (200, encode(&done), Outcome::Answered(done.clone())),
        (500, encode(&done), Outcome::Unknown),
        (200, b"\xc1garbage".to_vec(), Outcome::Unknown),
        (200, Vec::new(), Outcome::Unknown),
        (200, vec![0; 2 << 20], Outcome::Unknown),
    ];
    for (status, body, expected) in cases {
        let server = start(move |_request| {
            let body = Full::new(Bytes::from(body.clone()));
            async move {
                Response::builder()
                    .status(status)
                    .body(body)
                    .expect("the response is valid")
            }
        });
        assert_eq!(command(server.address(), LIMIT), expected, "{status}");
    }
}

/// Guards against commands to one worker that overtake each other, and against a command whose
/// outcome is reported as unknown although it was never sent.
#[test]
fn commands_to_a_worker_are_sent_one_at_a_time() {
    let received = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&received);
    let server = start(move |request: Request<Incoming>| {
        let log = Arc::clone(&log);
        async move {
            let body = request
                .into_body()
                .collect()
                .await
                .expect("the body is received completely");
            let command: Command =
                rmp_serde::from_slice(&body.to_bytes()).expect("the body is a command");
            log.lock()
                .expect("no holder of this lock panics")
                .push(command.epoch.row);
            Timer::after(Duration::from_millis(20)).await;
            let reply =
                rmp_serde::to_vec(&report(command.epoch)).expect("the reply can be encoded");
            Response::new(Full::new(reply.into()))
        }
    });
    let client = Arc::new(command::Client::new(LIMIT));
    let to = server.address();
    let running: Vec<_> = (0..5)
        .map(|row| {
            let client = Arc::clone(&client);
            let mut task = Box::pin(async move { client.run(to, &renewal(row), LIMIT).await });
            // The first poll determines the place of the command in the order.
            smol::block_on(smol::future::poll_once(&mut task));
            task
        })
        .collect();
    let late = smol::block_on(client.run(to, &renewal(9), Duration::ZERO));
    assert_eq!(late, Outcome::Unsent);
    for task in running {
        let outcome = smol::block_on(task);
        assert!(matches!(outcome, Outcome::Answered(_)), "{outcome:?}");
    }
    assert_eq!(
        *received.lock().expect("no holder of this lock panics"),
        [0, 1, 2, 3, 4]
    );
}
