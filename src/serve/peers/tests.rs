//! Tests of how the reports of an agent are read.

#[path = "../../../crates/scheduler/tests/known_red/mod.rs"]
mod known_red;

use scheduler::id;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Watch;
use smol::LocalExecutor;

use super::*;
use crate::serve::inbox;
use crate::serve::inbox::Inbox;

const CONNECTION: u64 = 5;
const REPORTS: usize = 200;
const FRAME_REPORTS: usize = 64;
const TEST_TIME: Ms = Ms(2_000);

/// Returns the next input, or `None` if none is queued within [`TEST_TIME`].
async fn next_input(inbox: &Inbox) -> Option<Input> {
    let begun = clock::now();
    while clock::now().since(begun) < TEST_TIME {
        if let Some(input) = inbox.try_next() {
            return Some(input);
        }
        sleep(Ms(5)).await;
    }
    None
}

/// Connects an agent whose reports are read and passed on by the returned task.
async fn connect(
    local: &LocalExecutor<'_>,
    leadership: &Arc<Leadership>,
    entry: &Name,
) -> (TcpStream, Task<Error>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let agent = TcpStream::connect(address).await.expect("a connection");
    let (mut reader, _) = listener.accept().await.expect("a connection");
    let (leadership, entry) = (Arc::clone(leadership), entry.clone());
    let reading = local.spawn(async move {
        let (read_ahead, reports) = smol::channel::bounded(MAX_READ_AHEAD_REPORTS);
        let read = read_reports(&mut reader, &leadership, &entry, CONNECTION, read_ahead);
        zip(read, pass_on(&leadership, &entry, reports)).await.0
    });
    (agent, reading)
}

async fn send_reports(agent: &mut TcpStream, count: usize) {
    let reports = vec![Report::Beat; count];
    for frame in reports.chunks(FRAME_REPORTS) {
        frame::write(agent, frame).await.expect("a write");
    }
}

/// A leader that is behind with reports has to answer contact queries in time all the same, or its
/// agents renew no leases. What it had received of an agent that has gone still counts.
#[test]
fn contact_queries_overtake_the_reports_before_them_and_no_report_is_lost() {
    let local = LocalExecutor::new();
    smol::block_on(local.run(async {
        let (inputs, inbox) = inbox::new();
        let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs.clone()));
        let entry = Name::try_from("b").expect("test names are valid");
        let other = || Input::Left(entry.clone(), 0);
        while poll_once(inputs.send(other())).await.is_some() {}
        let queued = inbox.len();

        let (mut agent, reading) = connect(&local, &leadership, &entry).await;

        send_reports(&mut agent, REPORTS).await;
        let query = Report::contact_query(Ms(1_234));
        let last = [Report::Beat, query.clone()];
        frame::write(&mut agent, &last).await.expect("a write");
        // The driver gets no room for reports before it has read the query.
        let begun = clock::now();
        while inbox.len() == queued && clock::now().since(begun) < TEST_TIME {
            sleep(Ms(5)).await;
        }
        let first = inbox.try_next();
        let is_query = matches!(
            &first,
            Some(Input::Queried(by, CONNECTION, report)) if *by == entry && *report == query
        );
        assert!(is_query, "{first:?}");

        drop(agent);
        let mut received = 0;
        while received <= REPORTS {
            match next_input(&inbox).await {
                Some(Input::Event(Event::Received(..))) => received += 1,
                Some(Input::Left(..)) => {}
                other => panic!("{received} reports, then {other:?}"),
            }
        }
        assert!(matches!(reading.await, Error::Peer(_)));
        assert!(inbox.try_next().is_none());
    }));
}

/// A leader that handles no report for a while, or fewer than come, reads no more of them once some
/// are read ahead. The contact queries behind them are not answered then, and after 3 s the agent
/// renews no leases and leaves, although the leader counts on it.
#[test]
fn contact_queries_overtake_however_many_reports_wait() {
    known_red::run(
        concat!(env!("CARGO_MANIFEST_DIR"), "/KNOWN-RED.txt"),
        "contact_queries_overtake_however_many_reports_wait",
        assert_contact_queries_overtake_all_reports,
    );
}

fn assert_contact_queries_overtake_all_reports() {
    const QUERY: Ms = Ms(1_234);
    for waiting in [200, 1_024] {
        let local = LocalExecutor::new();
        smol::block_on(local.run(async {
            let (inputs, inbox) = inbox::new();
            let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs.clone()));
            let entry = Name::try_from("b").expect("test names are valid");
            let other = || Input::Left(entry.clone(), 0);
            while poll_once(inputs.send(other())).await.is_some() {}

            let (mut agent, reading) = connect(&local, &leadership, &entry).await;

            // An agent queues 1,024 reports before it drops any, and sends a query each 0.4 s.
            send_reports(&mut agent, waiting).await;
            let query = [Report::contact_query(QUERY)];
            frame::write(&mut agent, &query).await.expect("a write");
            // The leader handles 100 reports a second, and each query at once.
            let begun = clock::now();
            let mut is_answered = false;
            while !is_answered && clock::now().since(begun) < LEADER_CONTACT_TIMEOUT {
                let input = inbox.try_next();
                is_answered = matches!(input, Some(Input::Queried(..)));
                sleep(Ms(10)).await;
            }
            drop(reading);
            assert!(is_answered, "{waiting} reports waiting");
        }));
    }
}

/// What the build before reads of an order to poll a worker.
type EarlierWatch = (Name, Arc<str>, Option<(Ms, u64)>);

/// A list of fields that is longer than an agent of an earlier build expects ends its connection.
#[test]
fn an_agent_of_an_earlier_build_reads_orders_to_poll_and_its_reports_are_read() {
    let worker = Name::try_from("w").expect("test names are valid");
    let watch = Watch {
        worker: worker.clone(),
        address: Arc::from("10.0.0.1:1"),
        acknowledged: Some((Ms(77), 5)),
        number: id::Watch(9),
    };
    let encode = |watch: &Watch| rmp_serde::to_vec(watch).expect("it can be encoded");
    let mut order = Order::Watch(watch.clone());
    order.remove_number();
    let Order::Watch(unnumbered) = order else {
        panic!("{order:?}");
    };
    let earlier: EarlierWatch = (
        worker.clone(),
        Arc::clone(&watch.address),
        watch.acknowledged,
    );
    let read = rmp_serde::from_slice::<EarlierWatch>(&encode(&unnumbered));
    assert_eq!(read.expect("it can be read"), earlier);
    assert!(rmp_serde::from_slice::<EarlierWatch>(&encode(&watch)).is_err());
    // A leader of an earlier build sends the same, and gets reports without a number.
    let earlier = rmp_serde::to_vec(&earlier).expect("it can be encoded");
    let read: Watch = rmp_serde::from_slice(&earlier).expect("it can be read");
    assert_eq!(read, unnumbered);
    let failure = Failure {
        worker,
        renewal_age: Ms(5),
        is_closed: false,
    };
    let report = Report::of_watch(read.number, Finding::PollFailed(failure.clone()));
    assert_eq!(report, Report::PollFailed(failure));
}

#[test]
fn a_report_of_a_watch_is_read_with_its_number() {
    let failure = Failure {
        worker: Name::try_from("w").expect("test names are valid"),
        renewal_age: Ms(5),
        is_closed: false,
    };
    let report = Report::of_watch(id::Watch(9), Finding::PollFailed(failure));
    let bytes = rmp_serde::to_vec(&report).expect("it can be encoded");
    assert!(matches!(
        rmp_serde::from_slice(&bytes),
        Ok(Report::Watched(id::Watch(9), Finding::PollFailed(_)))
    ));
}
