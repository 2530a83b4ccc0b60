//! Tests of calls and replies over gRPC.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use decision::clock::Ms;
use decision::config::Document;
use decision::config::Limits;
use decision::config::Service;
use decision::config::Team;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Job;
use decision::operator::Progress;
use decision::operator::Refusal;
use decision::operator::Reply;
use decision::operator::Status;
use decision::operator::Worker;
use decision::resource::Dimension;
use decision::resource::Size;
use decision::timeline::Event;
use decision::timeline::Filter;
use decision::timeline::Kind;
use decision::timeline::Note;
use decision::worker::Epoch;
use link::Spawner;
use link::server::Server;
use operator::client;
use operator::client::Client;
use operator::server::Handler;
use operator::server::Timeline;
use smol::channel::Receiver;
use smol::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(10_000);
const SIZE: Size = Size {
    millicores: 1,
    memory_mb: 2,
    accelerators: 3,
};

/// A handler that returns a prepared reply and records the call.
struct Stub {
    reply: Reply,
    received: Mutex<Option<Call>>,
}

impl Handler for Stub {
    async fn call(&self, call: Call) -> Reply {
        *self.received.lock().expect("no holder of this lock panics") = Some(call);
        self.reply.clone()
    }

    fn watch(&self, filter: Filter) -> Receiver<Event> {
        let (sender, receiver) = smol::channel::unbounded();
        for event in events().into_iter().filter(|event| filter.selects(event)) {
            sender.try_send(event).expect("the channel is unbounded");
        }
        receiver
    }

    async fn timeline(&self, filter: Filter, local: bool) -> Timeline {
        let events = events().into_iter().filter(|event| filter.selects(event));
        Timeline {
            events: events.collect(),
            missing: if local {
                Vec::new()
            } else {
                vec!["127.0.0.1:1".into()]
            },
        }
    }
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn events() -> Vec<Event> {
    let event = |lamport, kind, subject: &str, vm: Option<&str>| Event {
        entry: name("entry-1"),
        lamport,
        at: Ms(5),
        note: Note {
            kind,
            subject: subject.into(),
            vm: vm.map(name),
            epoch: vm.map(|_| Epoch { row: 4, step: 2 }),
            cause: "a cause".into(),
        },
    };
    vec![
        event(1, Kind::JobAccepted, "job-1", None),
        event(2, Kind::TaskStarted, "job-1#0", Some("vm-1")),
        event(3, Kind::TaskStarted, "job-10#0", Some("vm-2")),
    ]
}

fn start(reply: Reply) -> (Server, Spawner, Arc<Stub>) {
    let spawner = Spawner::default();
    let received = Mutex::default();
    let stub = Arc::new(Stub { reply, received });
    let listener =
        smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a loopback port is free");
    let server = operator::server::start(&spawner, listener, Arc::clone(&stub));
    let running = Arc::clone(&spawner);
    thread::spawn(move || smol::block_on(running.run(smol::future::pending::<()>())));
    (server.expect("the server starts"), spawner, stub)
}

fn connect(server: &Server, spawner: &Spawner) -> Client {
    smol::block_on(Client::connect(spawner, server.address(), TIMEOUT))
        .expect("the server accepts connections")
}

fn job(tasks: u32) -> Action {
    Action::Submit(Job {
        name: name("job-1"),
        team: name("lamps"),
        kind: name("preview"),
        tasks,
        size: SIZE,
        run_time: Ms(9),
        urgent: true,
    })
}

fn document() -> Document {
    Document {
        services: vec![Service {
            name: name("orders"),
            reserved: SIZE,
            queue: 4,
            deadline: Ms(5),
            attempt: Ms(3),
        }],
        teams: vec![Team {
            name: name("lamps"),
            quota: SIZE,
            weight: 7,
        }],
        limits: Limits {
            retries: 1,
            hedges: 2,
            evictions: 3,
            slowdown: 200,
        },
    }
}

fn reconfigure() -> Action {
    Action::Reconfigure {
        expected: Version(6),
        document: document(),
        dry_run: true,
    }
}

fn status() -> Status {
    Status {
        entry: "entry-1".into(),
        version: Version(8),
        members: vec![name("entry-1"), name("entry-2")],
        workers: vec![Worker {
            vm: name("vm-1"),
            owner: Some(name("entry-2")),
            leaving: true,
            booked: SIZE,
            tasks: 2,
        }],
        jobs: vec![Progress {
            job: name("job-1"),
            pending: 1,
            running: 2,
            done: 3,
            cancelled: 4,
            failed: 5,
        }],
    }
}

/// Guards against a field that is lost or swapped in the conversion to or from the schema.
#[test]
fn calls_and_replies_arrive_as_sent() {
    let cancel = || Action::Cancel { job: name("job-1") };
    let drain = |leave| Action::Drain {
        vm: name("vm-1"),
        leave,
    };
    let configured = Reply::Configured {
        version: Version(7),
        in_force: vec![name("entry-1")],
        pending: vec![name("entry-2")],
    };
    let infeasible = Refusal::Infeasible {
        dimension: Dimension::Accelerators,
        nearest: SIZE,
    };
    let refused = Reply::Refused;
    let cases = [
        (job(3), Reply::Accepted),
        (job(3), refused(infeasible)),
        (job(3), Reply::Unknown),
        (cancel(), refused(Refusal::Missing)),
        (drain(true), Reply::Accepted),
        (drain(false), refused(Refusal::Unavailable)),
        (reconfigure(), configured),
        (
            reconfigure(),
            Reply::Difference(vec!["service orders".into()]),
        ),
        (reconfigure(), refused(Refusal::Conflict(Version(9)))),
        (reconfigure(), refused(Refusal::Invalid("a reason".into()))),
        (
            Action::Status {
                job: Some(name("job-1")),
            },
            Reply::Status(status()),
        ),
        (
            Action::Status { job: None },
            Reply::Status(Status::default()),
        ),
    ];
    for (action, reply) in cases {
        let (server, spawner, stub) = start(reply.clone());
        let id = match action {
            Action::Status { .. } => name("status"),
            _ => name("call-1"),
        };
        let call = Call { id, action };
        let mut client = connect(&server, &spawner);
        let answer = smol::block_on(client.call(&call)).expect("the server answers");
        assert_eq!(answer, reply, "{call:?}");
        let received = stub
            .received
            .lock()
            .expect("no holder of this lock panics")
            .take();
        assert_eq!(received, Some(call));
    }
}

/// Guards against an invalid call that reaches the decision logic.
#[test]
fn an_invalid_call_is_refused() {
    let (server, spawner, stub) = start(Reply::Accepted);
    let mut client = connect(&server, &spawner);
    let call = Call {
        id: name("call-1"),
        action: job(0),
    };
    let error = smol::block_on(client.call(&call)).expect_err("a job without tasks is refused");
    assert_eq!(
        error.to_string(),
        "InvalidArgument: job.tasks: out of range"
    );
    assert!(
        stub.received
            .lock()
            .expect("no holder of this lock panics")
            .is_none()
    );
}

/// Guards against events that are lost, changed or not filtered.
#[test]
fn events_arrive_as_recorded() {
    let filter = |subject: Option<&str>, vm: Option<&str>, kind| Filter {
        subject: subject.map(Into::into),
        vm: vm.map(name),
        kind,
    };
    let cases = [
        (filter(None, None, None), vec![0, 1, 2]),
        (filter(Some("job-1"), None, None), vec![0, 1]),
        (filter(Some("job-1#0"), None, None), vec![1]),
        (filter(None, Some("vm-2"), None), vec![2]),
        (filter(None, None, Some(Kind::TaskStarted)), vec![1, 2]),
        (filter(Some("job-1"), Some("vm-2"), None), vec![]),
    ];
    let (server, spawner, _) = start(Reply::Accepted);
    let mut client = connect(&server, &spawner);
    for (filter, expected) in cases {
        let all = events();
        let expected: Vec<Event> = expected
            .into_iter()
            .map(|index: usize| all[index].clone())
            .collect();
        let timeline = smol::block_on(client.timeline(&filter, false)).expect("the server answers");
        assert_eq!(timeline.events, expected, "{filter:?}");
        assert_eq!(timeline.missing, ["127.0.0.1:1"]);
        let received = smol::block_on(async {
            let mut watch = client
                .watch(&filter)
                .await
                .expect("the server starts the stream");
            let mut received = Vec::new();
            while let Some(event) = watch.next().await.expect("the connection stays open") {
                received.push(event);
            }
            received
        });
        assert_eq!(received, expected, "{filter:?}");
    }
}

/// Guards against a connection with bytes that are not gRPC that disturbs other connections.
#[test]
fn bytes_that_are_not_grpc_end_only_their_connection() {
    let (server, spawner, _) = start(Reply::Accepted);
    let mut client = connect(&server, &spawner);
    let call = Call {
        id: name("call-1"),
        action: job(1),
    };
    let cases: [&[u8]; 4] = [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\x00\x00\x00\x00\x00\x01",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ];
    for bytes in cases {
        let mut stream =
            TcpStream::connect(server.address()).expect("the server accepts connections");
        stream.write_all(bytes).expect("the bytes are written");
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("the connection stays open");
        drop(stream.read_to_end(&mut Vec::new()));
        let answer = smol::block_on(client.call(&call)).expect("the server answers");
        assert_eq!(answer, Reply::Accepted, "after {}", bytes.escape_ascii());
    }
}

/// Guards against an error for an unreachable entry that lacks its address.
#[test]
fn an_unreachable_entry_is_named() {
    let spawner = Spawner::default();
    let unused = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let unused = unused.expect("a loopback port is free");
    let result = smol::block_on(Client::connect(&spawner, unused, TIMEOUT));
    let error = result.expect_err("no process listens on this port");
    assert!(
        matches!(error, client::Error::Connect(entry, _) if entry == unused),
        "{error}"
    );
}
