//! Tests of how the reports of an agent are read.

use scheduler::id;
use scheduler::message::Failure;
use scheduler::message::Finding;
use scheduler::message::Watch;
use smol::LocalExecutor;

use super::*;
use crate::serve::inbox;
use crate::serve::inbox::Inbox;
use crate::serve::testing::options;

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

/// Returns both ends of a connection on loopback.
async fn stream_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let agent = TcpStream::connect(address).await.expect("a connection");
    let (leader, _) = listener.accept().await.expect("a connection");
    (agent, leader)
}

/// Reads the reports of an agent and passes them on.
fn read_from(
    local: &LocalExecutor<'_>,
    leadership: &Arc<Leadership>,
    entry: &Name,
    mut reader: TcpStream,
) -> Task<Error> {
    let (leadership, entry) = (Arc::clone(leadership), entry.clone());
    local.spawn(async move {
        let (read_ahead, reports) = smol::channel::bounded(MAX_READ_AHEAD_REPORTS);
        let read = read_reports(&mut reader, &leadership, &entry, CONNECTION, read_ahead);
        zip(read, pass_on(&leadership, &entry, reports)).await.0
    })
}

/// Connects an agent whose reports are read and passed on by the returned task.
async fn connect(
    local: &LocalExecutor<'_>,
    leadership: &Arc<Leadership>,
    entry: &Name,
) -> (TcpStream, Task<Error>) {
    let (agent, reader) = stream_pair().await;
    (agent, read_from(local, leadership, entry, reader))
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

/// The time for which an overload lasts in a test.
const OVERLOAD_TIME: Ms = Ms(5_000);
/// The least number of contact queries in that time, one each 0.4 s.
const MIN_QUERIES: usize = 8;
/// The interval between two inputs that a leader handles in a test.
const HANDLING_TIME: Ms = Ms(10);

/// Answers the queries of an agent, as the driver does, and handles one input in each
/// [`HANDLING_TIME`]. Returns the number of contact queries and the longest time from one to its
/// handling.
async fn lead_slowly(inbox: &Inbox, mut orders: TcpStream) -> (usize, Ms) {
    let begun = clock::now();
    let (mut queries, mut longest) = (0, Ms::ZERO);
    while clock::now().since(begun) < OVERLOAD_TIME {
        let input = inbox.try_next();
        let number = match input {
            Some(Input::Queried(_, _, Report::QueryStage(number, _))) => Some(number),
            Some(Input::Event(Event::Received(_, Report::QueryStage(number, _)))) => Some(number),
            _ => None,
        };
        if let Some(number) = number {
            let order = Order::Stage(number, None);
            if let Some(sent_at) = order.contact_query_sent_at() {
                queries += 1;
                longest = longest.max(clock::now().since(sent_at));
            }
            let frame = [order];
            frame::write(&mut orders, &frame).await.expect("a write");
        }
        sleep(HANDLING_TIME).await;
    }
    (queries, longest)
}

/// Reports as much as the session takes and sends a contact query at each interval, for ever.
async fn report_too_much(session: Arc<Session>) {
    let mut query_due = clock::now();
    loop {
        while session.report(Report::Beat) {}
        if clock::now() >= query_due {
            query_due = clock::now() + HEARTBEAT_INTERVAL;
            session.query_contact();
        }
        sleep(Ms(5)).await;
    }
}

async fn execute_all(shared: Arc<Shared>, session: Arc<Session>, orders: Receiver<Vec<Order>>) {
    while let Ok(batch) = orders.recv().await {
        for order in batch {
            shared.agent.execute(&shared, &session, order);
        }
    }
}

/// An overload that lasts has to cost reports, which later polls repeat, and no agent.
#[test]
fn contact_queries_of_an_agent_that_reports_too_much_are_answered_in_time() {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let shared = Arc::new(Shared::new(options(unused)).expect("no port is needed"));
    let local = LocalExecutor::new();
    smol::block_on(local.run(async {
        let (inputs, inbox) = inbox::new();
        let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs));
        let entry = Name::try_from("b").expect("test names are valid");
        let (agent, leader) = stream_pair().await;
        let _reading = read_from(&local, &leadership, &entry, leader.clone());

        let (session, outgoing) = Session::begin(Epoch(7), MAX_QUEUED_REPORTS);
        shared.agent.begin_session(&session);
        let (incoming, orders) = smol::channel::bounded(MAX_QUEUED_FRAMES);
        let _forwarding = local.spawn(forward_frames(agent, outgoing, incoming));
        let executing = execute_all(Arc::clone(&shared), Arc::clone(&session), orders);
        let _executing = local.spawn(executing);
        let _reporting = local.spawn(report_too_much(Arc::clone(&session)));
        let (queries, longest) = lead_slowly(&inbox, leader).await;

        assert!(
            queries >= MIN_QUERIES,
            "{queries} contact queries were handled"
        );
        assert!(longest < LEADER_CONTACT_TIMEOUT, "one took {longest} ms");
        let age = clock::now().since(session.confirmed_contact());
        assert!(age < LEADER_CONTACT_TIMEOUT, "the last one is {age} ms old");
    }));
}
