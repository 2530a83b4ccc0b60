//! Clients that keep a connection to an entry open and use it until it ends, also while the entry
//! stops. A request that the entry has read whole must get a whole answer.
//!
//! An entry that closes a connection on which it has not read all that arrived resets it. So an end
//! without an answer and without a reset shows that the request was read.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use scheduler::id::Job;

use super::judge::Known;
use super::spec::Spec;
use super::spec::StepSpec;
use super::world::World;
use super::world::wait;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a request may have no answer. It exceeds the time in which an entry stops.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(9_000);
/// How long a reset may follow the end of a connection, in ms.
const RESET_MS: u64 = 500;
/// The pause between two requests, and that while the entry stops, in ms.
const PAUSE_MS: u64 = 150;
const STOPPING_PAUSE_MS: u64 = 5;
/// Of this many requests, one submits a job.
const SUBMIT_SHARE: u64 = 16;

/// How a connection answered a request.
#[derive(Debug, Eq, PartialEq)]
enum Answer {
    /// The status, and whether the entry closes the connection after it.
    Whole(u16, bool),
    /// The connection ended after this many bytes of an answer.
    Ended(usize),
    /// There was no end and no whole answer in time.
    Silent,
}

/// Returns the status of an answer and whether the connection closes after it; `None` if more of it
/// is to come.
fn parse(bytes: &[u8]) -> Option<(u16, bool)> {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length: usize = header("content-length: ").map_or(0, |raw| raw.parse().unwrap_or(0));
    let is_chunked = header("transfer-encoding: ") == Some("chunked");
    let is_whole = if is_chunked {
        body.ends_with("0\r\n\r\n")
    } else {
        body.len() >= length
    };
    is_whole.then_some((status, header("connection: ") == Some("close")))
}

fn read(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if is_timeout(&error) => return Answer::Silent,
            Ok(0) | Err(_) => return Answer::Ended(bytes.len()),
        }
        if let Some((status, closes)) = parse(&bytes) {
            return Answer::Whole(status, closes);
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Returns whether the entry has not closed the connection yet.
fn is_open(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(peeked.is_err_and(|error| is_timeout(&error)))
}

/// Returns whether a connection that has ended was reset.
fn is_reset(stream: &TcpStream) -> bool {
    for _ in 0..RESET_MS / STOPPING_PAUSE_MS {
        if !matches!(stream.take_error(), Ok(None)) {
            return true;
        }
        wait(STOPPING_PAUSE_MS);
    }
    false
}

/// A client that uses one connection at a time to one entry, past the proxies.
pub struct Kept<'a> {
    world: &'a World,
    entry: usize,
    /// The id of the next job.
    next: u64,
}

impl<'a> Kept<'a> {
    pub const fn new(world: &'a World, seed: u64, entry: usize) -> Self {
        let number = 0x8000 + entry as u64;
        Self {
            world,
            entry,
            next: (seed & 0xffff) << 48 | number << 32,
        }
    }

    /// Uses connections until the end of the traffic.
    pub fn run(&mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::SeqCst) {
            let kills = self.world.kills(self.entry);
            let address = self.world.direct(self.entry);
            if let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                // An error shows that the entry has closed the connection before a request.
                drop(self.converse(&mut stream, kills, is_over));
            }
            wait(PAUSE_MS);
        }
    }

    /// Sends requests on a connection until it ends.
    fn converse(
        &mut self,
        stream: &mut TcpStream,
        kills: u64,
        is_over: &AtomicBool,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        while !is_over.load(Ordering::SeqCst) && is_open(stream)? {
            let job = Job(self.next);
            self.next += 1;
            let submits = self.next.is_multiple_of(SUBMIT_SHARE);
            let request = self.request(job, submits);
            stream.write_all(request.as_bytes())?;
            match read(stream) {
                Answer::Whole(status, closes) => {
                    self.record(job, submits && (200..300).contains(&status));
                    if closes {
                        return Ok(());
                    }
                }
                Answer::Ended(count) => {
                    let is_read = count > 0 || !is_reset(stream);
                    if is_read && self.world.kills(self.entry) == kills {
                        self.find(job, count);
                    }
                    return Ok(());
                }
                Answer::Silent => return Ok(()),
            }
            wait(if self.world.is_stopping(self.entry) {
                STOPPING_PAUSE_MS
            } else {
                PAUSE_MS
            });
        }
        Ok(())
    }

    /// Returns a request for the state of a job, or one that submits it.
    fn request(&self, job: Job, submits: bool) -> String {
        if !submits {
            return format!("GET /q/{job} HTTP/1.1\r\nhost: a.example\r\n\r\n");
        }
        let spec = Spec {
            steps: vec![StepSpec {
                count: 1,
                millicores: 200,
                memory_mb: 100,
                duration: 200,
                is_gang: false,
                has_checkpoints: false,
                is_lasting: false,
            }],
        };
        let body = spec.to_json();
        let length = body.len();
        let mut hosts = self.world.site.settled().0;
        hosts.judge.jobs.insert(job, Known::new(spec));
        format!(
            "POST /q/{job} HTTP/1.1\r\nhost: a.example\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    }

    fn record(&self, job: Job, is_accepted: bool) {
        let is_stopping = self.world.is_stopping(self.entry);
        let (mut hosts, now) = self.world.site.settled();
        hosts.judge.kept_answers += 1;
        hosts.judge.stopping_answers += u64::from(is_stopping);
        let known = hosts.judge.jobs.get_mut(&job);
        if let Some(known) = known.filter(|_| is_accepted) {
            known.accepted = Some(now);
        }
    }

    fn find(&self, job: Job, count: usize) {
        let (mut hosts, now) = self.world.site.settled();
        let text = format!(
            "{now} e{} read a request for {job} whole and ended the connection without a reset \
             after {count} bytes of an answer",
            self.entry
        );
        hosts.judge.find("UNANSWERED", job, text);
    }
}

#[test]
fn an_answer_is_whole_with_its_body() {
    let cases: &[(&str, Option<(u16, bool)>)] = &[
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n", None),
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\na", None),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
            Some((200, false)),
        ),
        (
            "HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            Some((503, true)),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n",
            None,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
            Some((200, false)),
        ),
    ];
    for (text, answer) in cases {
        assert_eq!(parse(text.as_bytes()), *answer, "{text}");
    }
}

/// A server that reads a request and closes the connection ends it; one that leaves a request unread
/// resets it.
#[test]
fn an_end_without_a_reset_shows_that_the_request_was_read() {
    for is_request_read in [true, false] {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut client = TcpStream::connect(address).expect("a connection");
        let (mut server, _) = listener.accept().expect("a connection");
        client
            .write_all(b"GET / HTTP/1.1\r\n\r\n")
            .expect("it is sent");
        if is_request_read {
            let count = server.read(&mut [0; 100]).expect("it arrives");
            assert!(count > 0);
        } else {
            wait(50);
            server
                .shutdown(std::net::Shutdown::Write)
                .expect("it is open");
        }
        drop(server);
        assert_eq!(read(&mut client), Answer::Ended(0));
        assert_eq!(is_reset(&client), !is_request_read);
    }
}
