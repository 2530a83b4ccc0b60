//! Drives a real agent by a real leader, over workers on loopback that may fall silent.

#[path = "../../../crates/scheduler/tests/common/mod.rs"]
mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use common::BOUNDS;
use common::INCARNATION;
use common::name;
use common::registration;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use link::server::Limits;
use link::server::Server;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::leader::Action;
use scheduler::leader::Bounds;
use scheduler::leader::Event;
use scheduler::leader::Leader;
use scheduler::message::Order;
use scheduler::spec;
use serde_json::Value;
use serde_json::json;
use smol::future::poll_once;
use smol::net::TcpListener;

use super::*;
use crate::serve::outgoing::Outgoing;
use crate::serve::testing::options;

const LEASE: Ms = Ms(1_000);
/// The longest time for which the tests wait for a state.
const WAIT_LIMIT: Ms = Ms(8_000);
/// The time in which polls that were under way when their watch ended time out.
const LAST_POLL_TIME: Ms = Ms(2_000);
/// The time for which a worker delays its answer to a poll.
const HOLD_TIME: Ms = Ms(40);
const TICK_INTERVAL: Ms = Ms(50);
const QUERY_INTERVAL: Ms = Ms(400);

/// A worker that answers polls and starts what it is ordered to, unless it is silent.
struct Worker {
    address: SocketAddr,
    is_silent: Arc<AtomicBool>,
    /// The polls that it has received.
    polls: Arc<AtomicU32>,
    _server: Server,
}

impl Worker {
    async fn start(shared: &Arc<Shared>, incarnation: Ms) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let is_silent = Arc::new(AtomicBool::new(false));
        let polls = Arc::new(AtomicU32::new(0));
        let running = Arc::new(Mutex::new(Vec::new()));
        let (silent, count) = (Arc::clone(&is_silent), Arc::clone(&polls));
        let handler = move |request: Request<Incoming>| {
            let (silent, count) = (Arc::clone(&silent), Arc::clone(&count));
            let running = Arc::clone(&running);
            async move {
                let is_start = request.uri().path() == "/run-start";
                let body = request.into_body().collect().await.expect("a body");
                let body: Value = serde_json::from_slice(&body.to_bytes()).expect("JSON");
                if !is_start {
                    count.fetch_add(1, Ordering::SeqCst);
                }
                if silent.load(Ordering::SeqCst) {
                    sleep(WAIT_LIMIT).await;
                } else if is_start {
                    lock(&running).push(json!([body["task"], body["runId"], "", 0]));
                } else {
                    sleep(HOLD_TIME).await;
                }
                let answer = json!({
                    "clockMs": clock::now().0,
                    "born": incarnation.0,
                    "running": *lock(&running),
                    "ended": [],
                });
                Response::new(Full::new(Bytes::from(answer.to_string())))
            }
        };
        let server = Server::start(&shared.spawner, listener, Limits::default(), handler);
        Self {
            address,
            is_silent,
            polls,
            _server: server.expect("a server"),
        }
    }

    fn registration(&self, incarnation: Ms) -> Registration {
        Registration {
            address: Arc::from(self.address.to_string()),
            incarnation,
            ..registration("d")
        }
    }

    fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    fn polls(&self) -> u32 {
        self.polls.load(Ordering::SeqCst)
    }
}

/// A leader whose orders the agent carries out, and which handles what the agent reports.
struct Play {
    shared: Arc<Shared>,
    session: Arc<Session>,
    outgoing: Outgoing,
    leader: Leader,
    /// The workers on which the leader has started tasks.
    starts: Vec<Name>,
    log: Vec<String>,
    ticked_at: Ms,
    queried_at: Ms,
}

impl Play {
    fn new(shared: &Arc<Shared>) -> Self {
        let (session, outgoing) = Session::begin(Epoch(7), 1_000);
        shared.agent.begin_session(&session);
        let bounds = Bounds {
            lease: LEASE,
            ..BOUNDS
        };
        let entry = shared.options.name.clone();
        let mut play = Self {
            shared: Arc::clone(shared),
            session,
            outgoing,
            leader: Leader::new(entry.clone(), Epoch(7), bounds, clock::now()),
            starts: Vec::new(),
            log: Vec::new(),
            ticked_at: Ms::ZERO,
            queried_at: Ms::ZERO,
        };
        play.handle(Event::Config(Arc::new(common::config())));
        play.handle(Event::Recovered);
        play.handle(Event::Joined(entry, name("d")));
        play
    }

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        let mut actions = self.leader.handle(now, event);
        actions.extend(self.leader.schedule(now));
        for action in actions {
            match action {
                Action::Send(_, order) => {
                    if let Order::Start(start) = &order {
                        self.starts.push(start.worker.clone());
                    }
                    self.shared
                        .agent
                        .execute(&self.shared, &self.session, order);
                }
                Action::Commit(_) => self.handle(Event::Committed),
                Action::Log(line) => self.log.push(line),
                Action::Advise(..) | Action::Resign(_) => panic!("{action:?}"),
            }
        }
    }

    fn list(&mut self, worker: &str, registration: Option<Registration>) {
        self.handle(Event::RegistrationChanged(name(worker), registration));
    }

    fn submit(&mut self) {
        let step = spec::Step {
            count: 1,
            estimate: Ms(60_000),
            ..spec::Step::default()
        };
        let accepted = common::accepted_job(vec![step]);
        self.handle(Event::Accepted(Job(1), 5, accepted, None));
    }

    async fn run(&mut self) {
        sleep(Ms(5)).await;
        while let Some(Some(report)) = poll_once(self.outgoing.next()).await {
            let entry = self.shared.options.name.clone();
            self.handle(Event::Received(entry, report));
        }
        let now = clock::now();
        if now.since(self.queried_at) >= QUERY_INTERVAL {
            self.queried_at = now;
            self.session.query_contact();
        }
        if now.since(self.ticked_at) >= TICK_INTERVAL {
            self.ticked_at = now;
            self.handle(Event::LeadConfirmed(now));
            self.handle(Event::Tick(clock::unix()));
        }
    }

    async fn run_for(&mut self, time: Ms) {
        let begun = clock::now();
        while clock::now().since(begun) < time {
            self.run().await;
        }
    }

    async fn run_until(&mut self, what: &str, is_reached: impl Fn(&Self) -> bool) {
        let begun = clock::now();
        while !is_reached(self) {
            assert!(
                clock::now().since(begun) < WAIT_LIMIT,
                "{what} in {:#?}",
                self.log
            );
            self.run().await;
        }
    }

    async fn run_until_logged(&mut self, text: &str) {
        let is_logged = |play: &Self| play.log.iter().any(|line| line.contains(text));
        self.run_until(text, is_logged).await;
    }
}

/// How a worker that was silent comes back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Return {
    /// Its registration had expired, and so had its leases.
    Listed,
    /// It has restarted at another address.
    Moved,
}

/// A worker falls silent until its leases have expired and then comes back while a poll is under way
/// that gets no answer. It gets a task at once.
fn assert_a_former_poll_releases_nothing(case: Return) {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let mut options = options(unused);
    options.lease = LEASE;
    let shared = Arc::new(Shared::new(options).expect("no port is needed"));
    let spawner = Arc::clone(&shared.spawner);
    smol::block_on(spawner.run(async {
        let later = INCARNATION + Ms(1_000);
        let returning = Worker::start(&shared, INCARNATION).await;
        let moved = Worker::start(&shared, later).await;
        let other = Worker::start(&shared, INCARNATION).await;
        let mut play = Play::new(&shared);
        play.list("w", Some(returning.registration(INCARNATION)));
        play.run_until_logged("kind=worker-known worker=w ").await;
        returning.set_silent(true);
        play.run_until_logged("kind=worker-lapsed worker=w ").await;
        let polls = returning.polls();
        play.run_until("a poll", |_| returning.polls() > polls)
            .await;
        play.log.clear();
        returning.set_silent(false);
        match case {
            Return::Listed => {
                play.list("w", None);
                play.list("w", Some(returning.registration(INCARNATION)));
            }
            Return::Moved => play.list("w", Some(moved.registration(later))),
        }
        play.submit();
        play.run_until("a start", |play| !play.starts.is_empty())
            .await;
        play.list("v", Some(other.registration(INCARNATION)));
        play.run_for(LAST_POLL_TIME).await;
        assert_eq!(play.starts, [name("w")], "{case:?}: {:#?}", play.log);
    }));
}

/// The last poll of a former watch failed, and its age of the last renewal released what had just
/// begun.
#[test]
fn a_poll_of_a_former_watch_releases_no_run() {
    assert_a_former_poll_releases_nothing(Return::Listed);
}

#[test]
fn a_poll_of_a_former_address_releases_no_run() {
    assert_a_former_poll_releases_nothing(Return::Moved);
}
