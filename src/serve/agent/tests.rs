//! Tests of how the agent stops polling a worker, and of the numbers of its queries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use link::server::Limits;
use link::server::Server;
use scheduler::id;
use scheduler::message::Watch;
use smol::future::poll_once;
use smol::net::TcpListener;

use super::*;
use crate::serve::sleep;
use crate::serve::testing::options;

/// Starts a worker that answers each poll after a short while, and counts them.
async fn serve_worker(shared: &Arc<Shared>) -> (SocketAddr, Arc<AtomicU32>, Server) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let polls = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&polls);
    let handler = move |_| {
        counter.fetch_add(1, Ordering::SeqCst);
        async {
            sleep(Ms(20)).await;
            let body = r#"{"clockMs":1000,"born":77,"running":[],"ended":[]}"#;
            Response::new(Full::new(Bytes::from(body)))
        }
    };
    let server = Server::start(&shared.spawner, listener, Limits::default(), handler);
    (address, polls, server.expect("a server"))
}

/// An order to start that was under way kept the polls alive until it was answered, and they renewed
/// the lease of a worker that another agent polled by then.
#[test]
fn no_poll_follows_the_order_to_stop_polling_although_a_start_is_under_way() {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let shared = Arc::new(Shared::new(options(unused)).expect("no port is needed"));
    let spawner = Arc::clone(&shared.spawner);
    smol::block_on(spawner.run(async {
        let (address, polls, _server) = serve_worker(&shared).await;
        let (session, _outgoing) = Session::begin(Epoch(7), 1_000);
        shared.agent.begin_session(&session);
        let name = Name::try_from("w").expect("test names are valid");
        let watch = Watch {
            worker: name.clone(),
            address: Arc::from(address.to_string()),
            acknowledged: None,
            number: id::Watch(1),
        };
        let execute = |order| shared.agent.execute(&shared, &session, order);
        execute(Order::Watch(watch));
        sleep(Ms(200)).await;
        assert!(polls.load(Ordering::SeqCst) >= 2);
        // An order to start holds the watcher until it is answered.
        let held = shared.agent.watcher(&name);
        execute(Order::Unwatch(name));
        // The poll that is under way ends.
        sleep(Ms(100)).await;
        let before = polls.load(Ordering::SeqCst);
        sleep(Ms(300)).await;
        assert_eq!(polls.load(Ordering::SeqCst), before);
        drop(held);
    }));
}

const QUERIES: usize = 100;

/// Returns the numbers of the first queries of a process.
fn numbers(instance: u64) -> BTreeSet<u64> {
    let agent = Agent::new(instance);
    let (session, mut outgoing) = Session::begin(Epoch(1), QUERIES);
    agent.begin_session(&session);
    for _ in 0..QUERIES {
        smol::block_on(poll_once(agent.query_stage(Job(1))));
    }
    let mut numbers = BTreeSet::new();
    while let Some(Some(report)) = smol::block_on(poll_once(outgoing.next())) {
        match report {
            Report::QueryStage(number, _) => numbers.insert(number),
            other => panic!("{other:?} is no query"),
        };
    }
    numbers
}

/// The leader knows an agent by the name of its entry. The answer to a write that an entry requested
/// just before it was restarted may reach its next process, where it must not count as the answer to
/// another write.
#[test]
fn two_processes_of_an_entry_number_their_queries_differently() {
    let first = numbers(1_796_526_100_000);
    let second = numbers(1_796_526_100_001);
    assert_eq!(first.len(), QUERIES);
    assert!(first.is_disjoint(&second));
    assert!(!first.contains(&STORED));
}
