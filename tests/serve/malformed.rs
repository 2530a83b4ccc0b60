//! Tests that no message ends a process: malformed, truncated, oversized and out-of-order input at
//! each address at which an entry listens, and malformed answers of workers and of the store.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use decision::clock::Ms;
use decision::name::Name;
use http::StatusCode;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::message::End;
use scheduler::message::Failure;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Outcome;
use scheduler::message::Placement;
use scheduler::message::Report;
use scheduler::message::Request;
use scheduler::message::Running;
use scheduler::message::Termination;
use serde_json::Value;
use serde_json::json;

use crate::JOB;
use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::server;
use crate::start;

/// How long a client waits for an answer to malformed input.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The most clients that send at the same time.
const CLIENTS: usize = 16;
const LAST: Ms = Ms(u64::MAX);

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

/// Sends bytes over a connection of their own and closes it, once an answer has been read or none
/// came. A listener that refuses them may close it first.
fn send_bytes(to: SocketAddr, bytes: &[u8], ends: bool) {
    let mut stream = TcpStream::connect(to).expect("the entry listens");
    let timeout = stream.set_read_timeout(Some(ANSWER_TIME));
    timeout.expect("the time is not zero");
    let sent = stream.write_all(bytes);
    if sent.is_ok() && ends {
        drop(stream.shutdown(Shutdown::Write));
    }
    drop(stream.read(&mut [0; 1_024]));
}

/// Sends all inputs, each once as it is and once with an end of the connection.
fn send_all(to: SocketAddr, inputs: &[Vec<u8>]) {
    for some in inputs.chunks(CLIENTS) {
        thread::scope(|scope| {
            for bytes in some {
                scope.spawn(|| {
                    send_bytes(to, bytes, false);
                    send_bytes(to, bytes, true);
                });
            }
        });
    }
}

fn http_inputs() -> Vec<Vec<u8>> {
    let text = |raw: &str| raw.as_bytes().to_vec();
    let long = "x".repeat(2_000_000);
    let post = |headers: &str, body: &str| {
        text(&format!(
            "POST /q/00000000000000f7 HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n\r\n{body}"
        ))
    };
    let sized = |body: &str| post(&format!("Content-Length: {}", body.len()), body);
    let job = |step: &str| sized(&format!(r#"{{"taskSpec":"x","steps":[{step}]}}"#));
    vec![
        Vec::new(),
        vec![0; 64],
        vec![0xff; 100_000],
        text("\r\n\r\n"),
        text("GET"),
        text("GET /readiness HTTP/1.1\r\nHost: a"),
        text("GET / HTTP/9.9\r\n\r\n"),
        text("GET \u{0} HTTP/1.1\r\n\r\n"),
        text("GET /q/%zz%00%ff HTTP/1.1\r\nHost: a.example\r\n\r\n"),
        text("GET /q/../../q/ HTTP/1.1\r\nHost: a.example\r\n\r\n"),
        text("GET /q/ HTTP/1.1\r\nHost: \u{e9}\r\n\r\n"),
        text("DELETE /q/zzzzzzzzzzzzzzzz HTTP/1.1\r\nHost: a.example\r\n\r\n"),
        text(&format!("GET /{long} HTTP/1.1\r\n\r\n")),
        text(&format!("GET / HTTP/1.1\r\nA: {long}\r\n\r\n")),
        text(&format!(
            "GET / HTTP/1.1\r\n{}\r\n",
            "A: b\r\n".repeat(5_000)
        )),
        text("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\u{0}\u{0}\u{12}\u{4}"),
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(),
        post("Content-Length: -1", "{}"),
        post("Content-Length: 99999999999999999999999", "{}"),
        post("Content-Length: 18446744073709551615", "{}"),
        post("Content-Length: 2\r\nContent-Length: 3", "{}"),
        post("Content-Length: 100", "{\"taskSpec\":"),
        post("Content-Length: 1", "{}GET / HTTP/1.1\r\n\r\n"),
        post("Transfer-Encoding: chunked", "zz\r\n{}\r\n0\r\n\r\n"),
        post("Transfer-Encoding: chunked", "ffffffffffffffff\r\n{}"),
        post("Transfer-Encoding: chunked", "2\r\n{}\r\n5"),
        sized(""),
        sized("null"),
        sized("[]"),
        sized("\u{0}"),
        sized(&long),
        sized(&"[".repeat(100_000)),
        sized(&"{\"steps\":".repeat(50_000)),
        sized("{\"taskSpec\":\"x\",\"steps\":[]}"),
        sized("{\"taskSpec\":\"\\ud800\",\"steps\":[{}]}"),
        sized(&format!(
            "{{\"taskSpec\":\"x\",\"steps\":[{}{{}}]}}",
            "{},".repeat(50_000)
        )),
        job(r#"{"count":-1,"cpu":500,"memMb":100,"estimateMs":150}"#),
        job(r#"{"count":1e30,"cpu":500,"memMb":100,"estimateMs":150}"#),
        job(r#"{"count":18446744073709551615,"cpu":500,"memMb":100,"estimateMs":150}"#),
        job(r#"{"count":1,"cpu":1e400,"memMb":100,"estimateMs":150}"#),
        job(r#"{"count":1,"cpu":500,"memMb":100,"estimateMs":150,"after":[0]}"#),
        job(r#"{"count":1,"cpu":500,"memMb":100,"estimateMs":150,"after":[4294967295]}"#),
    ]
}

/// Returns the frame of a length and these bytes.
fn frame(bytes: &[u8]) -> Vec<u8> {
    let length = u32::try_from(bytes.len()).expect("test frames are short");
    [&length.to_be_bytes(), bytes].concat()
}

fn reports_frame(reports: &[Report]) -> Vec<u8> {
    frame(&rmp_serde::to_vec(reports).expect("reports can be encoded"))
}

/// The first message of an agent in a failure domain that has no workers.
fn hello(epoch: Epoch, known: Vec<(Name, Ms, Vec<Placement>)>) -> Report {
    Report::Hello(Hello {
        entry: name("odd"),
        domain: name("elsewhere"),
        epoch,
        known,
    })
}

fn placement(incarnation: Ms, run: Run) -> Placement {
    Placement {
        worker: name("i-0"),
        incarnation,
        task: Task::default(),
        run,
    }
}

/// Returns reports on a worker that another agent polls, with the highest times and numbers.
fn odd_reports() -> Vec<Report> {
    let last = placement(LAST, Run(u64::MAX));
    let running = Running {
        task: Task::default(),
        run: Run(u64::MAX),
        checkpoint: None,
        percent: u8::MAX,
        measurement: u32::MAX,
    };
    let end = End {
        number: u64::MAX,
        task: Task::default(),
        run: Run(u64::MAX),
        termination: Termination::Done,
        checkpoint: None,
    };
    vec![
        Report::Beat,
        Report::Polled(Observation {
            worker: name("i-0"),
            incarnation: LAST,
            polled_at: LAST,
            running: Some(vec![running]),
            ended: vec![end],
        }),
        Report::PollFailed(Failure {
            worker: name("i-0"),
            renewal_age: LAST,
            is_closed: true,
        }),
        Report::Started(last.clone(), Outcome::Done),
        Report::Stopped(last, Outcome::Done, LAST),
        Report::Stopped(placement(LAST, Run(0)), Outcome::Unsent, LAST),
        Report::Config(vec![0xff; 1_000].into()),
        Report::Store(u64::MAX, Request::Cancel(Job(u64::MAX))),
        Report::QueryStage(u64::MAX, Job(u64::MAX)),
        Report::QueryStage(1 << 62, Job(0)),
    ]
}

/// Returns input for a leader of this epoch.
fn peer_inputs(epoch: Epoch) -> Vec<Vec<u8>> {
    let reports = odd_reports();
    let known = vec![(name("i-0"), LAST, vec![placement(LAST, Run(u64::MAX))])];
    let good = reports_frame(&[hello(epoch, Vec::new())]);
    let after = |bytes: &[u8]| [&good, bytes].concat();
    let all = reports_frame(&reports);
    vec![
        Vec::new(),
        vec![0, 0],
        frame(&[]),
        frame(&[0x90]),
        frame(&[0xc1; 64]),
        frame(&[0xdd, 0xff, 0xff, 0xff, 0xff]),
        frame(&vec![0x91; 100_000]),
        vec![0xff; 64],
        vec![0, 0x40, 0, 0],
        vec![0, 0x40, 0, 1, 0x90],
        good[..good.len() / 2].to_vec(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        all.clone(),
        reports_frame(&[hello(Epoch(0), Vec::new())]),
        reports_frame(&[hello(Epoch(u64::MAX), Vec::new())]),
        reports_frame(&[hello(epoch, known.clone()), hello(epoch, known)]),
        after(&good),
        after(&all),
        after(&all[..all.len() - 1]),
        after(&frame(&[0xc1; 64])),
        after(&frame(&vec![0x91; 100_000])),
        after(&[0xff; 64]),
        after(&vec![0x90; 1_000]),
    ]
}

/// Returns the epoch of the leader and the entry that leads.
fn leader_of(entries: &[Entry]) -> (Epoch, &Entry) {
    let epoch = |entry: &Entry| {
        let epochs = entry.logged("lead-begun", "epoch");
        epochs.last().and_then(|raw| raw.parse().ok()).map(Epoch)
    };
    let leaders = entries
        .iter()
        .filter_map(|entry| Some((epoch(entry)?, entry)));
    let leader = leaders.max_by_key(|(epoch, _)| *epoch);
    leader.expect("an entry leads")
}

fn complete(fleet: &Fleet, to: SocketAddr, job: &str) {
    fleet.submit(to, job, JOB);
    fleet.wait_for_completion(to, job, 10_000);
}

/// Panics unless all entries run, answer at each address and complete jobs.
#[track_caller]
fn assert_all_serve(fleet: &Fleet, entries: &mut [Entry], first_job: u64) {
    for (entry, job) in entries.iter_mut().zip(first_job..) {
        assert!(!entry.has_ended());
        assert_eq!(fleet.send(entry.ready, "GET", "/readiness", "").0, 200);
        assert_eq!(fleet.send(entry.metrics, "GET", "/metrics", "").0, 200);
        complete(fleet, entry.customer, &format!("{job:016x}"));
    }
    fleet.assert_no_violations();
}

#[test]
fn malformed_requests_end_no_process() {
    let fleet = Fleet::start(2);
    let mut entries = start(&fleet, &["a", "b"]);
    let inputs = http_inputs();
    for entry in &entries {
        for to in [entry.customer, entry.ready, entry.metrics] {
            send_all(to, &inputs);
        }
    }
    assert_all_serve(&fleet, &mut entries, 0xe100);
}

#[test]
fn malformed_frames_end_neither_a_process_nor_the_lead() {
    let fleet = Fleet::start(2);
    let mut entries = start(&fleet, &["a", "b"]);
    complete(&fleet, entries[0].customer, "000000000000e200");
    let (epoch, leader) = leader_of(&entries);
    send_all(leader.peer, &peer_inputs(epoch));
    for entry in &entries {
        send_all(entry.peer, &peer_inputs(Epoch(epoch.0 + 1)));
    }
    assert_all_serve(&fleet, &mut entries, 0xe201);
    assert_eq!(leader_of(&entries).0, epoch);
    let log = leader_of(&entries).1.read_log();
    assert!(log.contains("kind=agent-joined agent=odd"));
}

/// Listens for calls and answers each with these bytes.
fn answer_with(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else {
                return;
            };
            drop(stream.read(&mut [0; 4_096]));
            drop(stream.write_all(&bytes));
        }
    });
    address
}

/// Returns answers of workers that are no answers to a poll, and some with the highest numbers.
fn worker_answers() -> Vec<Vec<u8>> {
    let sized = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let task = "00000000000000aa.0.0.0";
    let last = u64::MAX;
    let status = |clock: u64, running: &str, ended: &str| {
        sized(&format!(
            r#"{{"clockMs":{clock},"born":{last},"running":[{running}],"ended":[{ended}]}}"#
        ))
    };
    let run = format!(r#"["{task}",{last},"",255,4294967295]"#);
    let end = format!(r#"[{last},"{task}",{last},"done",""]"#);
    let answers = [
        String::new(),
        "\u{0}\u{0}\u{0}\u{0}".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{".into(),
        "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n{}".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{}".into(),
        "HTTP/1.1 999 \r\nContent-Length: 0\r\n\r\n".into(),
        "HTTP/1.1 204 No Content\r\n\r\n".into(),
        sized("[]"),
        sized(&"[".repeat(100_000)),
        sized(&"x".repeat(2_000_000)),
        status(0, "[\"x\",-1]", "[1e400,\"\",{}]"),
        status(last, "", ""),
        status(0, &run, &end),
        status(last, &run, &end),
        status(
            last,
            &vec![run.clone(); 2_000].join(","),
            &vec![end.clone(); 2_000].join(","),
        ),
    ];
    answers.map(String::into_bytes).into()
}

#[test]
fn malformed_answers_of_workers_end_no_process() {
    let fleet = Fleet::start(2);
    for (index, answer) in worker_answers().into_iter().enumerate() {
        let row = json!({"service": "other", "address": answer_with(answer).to_string(), "zone": "z",
            "state": "ready", "capacity": {"cpu": 2000, "memMb": 4000}, "labels": [], "born": 7});
        let id = format!("odd-{index}");
        fleet.store.put("servers", &id, &row.to_string());
    }
    let mut entries = start(&fleet, &["a", "b"]);
    assert_all_serve(&fleet, &mut entries, 0xe301);
    thread::sleep(Duration::from_millis(2_000));
    assert_all_serve(&fleet, &mut entries, 0xe311);
}

/// Returns a malformed answer of the store.
fn odd_answer(index: usize) -> (StatusCode, Value) {
    let row = |value: Value| {
        json!({"rows": [{"table": "lead", "part": "", "key": "record", "ver": 1, "value": value}],
            "hasMore": false, "ver": 1, "nowMs": 1})
    };
    let nested = format!("{}{}", "[".repeat(120), "]".repeat(120));
    let nested = serde_json::from_str(&nested).unwrap_or_default();
    let odd = [
        (200, json!(null)),
        (200, json!([])),
        (200, json!({"rows": 5})),
        (200, json!({"rows": [], "ver": -1, "nowMs": u64::MAX})),
        (200, row(json!("no base64!"))),
        (200, row(json!(7))),
        (200, nested),
        (204, json!({})),
        (302, json!({})),
        (412, json!({"rows": "x"})),
        (500, json!("x")),
        (999, json!({})),
    ];
    let (status, body) = odd[index % odd.len()].clone();
    (
        StatusCode::from_u16(status).expect("the status is in range"),
        body,
    )
}

/// Starts a store that gives a malformed answer to one of three calls, as long as the flag is set.
fn start_odd_store(fleet: &Fleet) -> (SocketAddr, Arc<AtomicBool>) {
    let is_odd = Arc::new(AtomicBool::new(true));
    let (store, flag) = (fleet.store.clone(), Arc::clone(&is_odd));
    let calls = Arc::new(AtomicUsize::new(0));
    let address = server::start(&fleet.spawner, move |path, query, body| {
        let store = store.clone();
        let call = calls.fetch_add(1, Ordering::SeqCst);
        let is_odd = call % 3 == 2 && flag.load(Ordering::SeqCst);
        async move {
            if is_odd {
                return odd_answer(call / 3);
            }
            store.respond(&path, &query, &body).await
        }
    });
    (address, is_odd)
}

#[test]
fn malformed_answers_of_the_store_end_no_process() {
    let fleet = Fleet::start(2);
    let (address, is_odd) = start_odd_store(&fleet);
    let mut entries = vec![Entry::start("a", address), Entry::start("b", address)];
    thread::sleep(Duration::from_millis(6_000));
    is_odd.store(false, Ordering::SeqCst);
    for entry in &entries {
        fleet.wait_for_readiness(entry.ready, 10_000);
    }
    wait_until("a leader", 10_000, || {
        let mut entries = entries.iter();
        entries.any(|entry| entry.read_log().contains("kind=recovered"))
    });
    // An entry refuses jobs until a call shows that the store serves it again.
    for (entry, job) in entries.iter().zip(["000000000000e401", "000000000000e402"]) {
        fleet.wait_for_acceptance(entry.customer, job, JOB, 5_000);
    }
    assert_all_serve(&fleet, &mut entries, 0xe411);
}

/// A new leader reads each table in many calls. If it began anew after each failed one, it would
/// hardly ever come to the end.
#[test]
fn a_leader_reads_the_rows_although_one_of_three_calls_fails() {
    let fleet = Fleet::start(2);
    let (address, _) = start_odd_store(&fleet);
    let entry = Entry::start("a", address);
    wait_until("the recovery", 10_000, || {
        entry.read_log().contains("kind=recovered")
    });
}
