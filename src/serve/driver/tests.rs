//! Drives the loop with the real queues, a store on loopback, and more reports than it can handle.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use decision::resource::Size;
use http::Response;
use http_body_util::Full;
use link::server::Limits;
use link::server::Server;
use scheduler::config::Config;
use scheduler::config::Queue;
use scheduler::fleet::Registration;
use scheduler::id::Epoch;
use scheduler::id::Job;
use scheduler::id::Run;
use scheduler::id::Task;
use scheduler::job::Accepted;
use scheduler::message::Hello;
use scheduler::message::Observation;
use scheduler::message::Running;
use scheduler::session::SILENCE_TIMEOUT;
use scheduler::spec;
use smol::LocalExecutor;
use smol::channel::Receiver;
use smol::net::TcpListener;

use super::*;
use crate::serve::inbox;
use crate::serve::inbox::Outlet;
use crate::serve::leadership;
use crate::serve::lock;
use crate::serve::testing::options;

const WORKERS: usize = 1_100;
const AGENTS: usize = 147;
const JOBS: u64 = 20;
const TASKS_PER_JOB: u32 = 40;
const INCARNATION: Ms = Ms(77);
/// The time for which more reports come than the loop can handle.
const OVERLOAD_TIME: Ms = Ms(2_500);
/// The time after the overload in which the queues have to be empty and all tasks started.
const RECOVERY_TIME: Ms = Ms(1_500);

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("test names are valid")
}

fn worker(index: usize) -> Name {
    name(&format!("w{index}"))
}

fn agent(index: usize) -> Name {
    name(&format!("e{index}"))
}

fn config() -> Config {
    let queue = Queue {
        name: name("queue"),
        host: Arc::from("host"),
        prefix: Arc::from("/q/"),
        service: name("service"),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        latency_allowance: Ms(1_000),
        needs_ticket: false,
    };
    Config {
        version: 1,
        queues: vec![queue],
        services: Vec::new(),
        max_body_bytes: 1_000,
    }
}

fn registration(index: usize) -> Event {
    let registration = Registration {
        service: name("service"),
        address: Arc::from(format!("10.0.{}.{}:80", index / 250, index % 250)),
        domain: name("d"),
        size: Size {
            millicores: 32_000,
            memory_mb: 125_000,
            accelerators: 0,
        },
        labels: vec![name("rack")],
        incarnation: INCARNATION,
        is_draining: false,
    };
    Event::RegistrationChanged(worker(index), Some(registration))
}

fn accepted(job: u64) -> Event {
    let step = spec::Step {
        count: TASKS_PER_JOB,
        need: Size {
            millicores: 3_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        estimate: Ms(2_000),
        ..spec::Step::default()
    };
    let accepted = Accepted {
        queue: name("queue"),
        spec: spec::Job {
            payload: Arc::from("payload"),
            steps: vec![step],
            schedule: None,
        },
        at: Ms(1),
    };
    Event::Accepted(Job(job), 1_000 + job, accepted, None)
}

/// Returns the answer to a poll of a worker with runs of a job that no row tells of.
fn polled(index: usize, by: &Name, runs: u64) -> Input {
    let running = (1..=runs).map(|run| Running {
        task: Task::default(),
        run: Run(run),
        checkpoint: None,
        percent: 0,
        measurement: 0,
    });
    let observation = Observation {
        worker: worker(index),
        incarnation: INCARNATION,
        polled_at: clock::now(),
        running: Some(running.collect()),
        ended: Vec::new(),
    };
    Input::Event(Event::Received(by.clone(), Report::Polled(observation)))
}

/// What the agents have received.
#[derive(Default)]
struct Received {
    /// The longest time between two heartbeats for one agent.
    longest_silence: Cell<Ms>,
    /// The longest time until a contact query was answered.
    longest_answer: Cell<Ms>,
    starts: Cell<u32>,
}

/// Takes the orders of one agent, which sends a contact query at each heartbeat. Each worker that it
/// has to watch answers a poll.
async fn follow(
    orders: Receiver<Vec<Order>>,
    (me, connection): (Name, u64),
    inputs: Outlet,
    received: Rc<Received>,
) {
    let mut last = clock::now();
    while let Ok(batch) = orders.recv().await {
        for order in batch {
            if let Some(sent_at) = order.contact_query_sent_at() {
                let time = clock::now().since(sent_at);
                received
                    .longest_answer
                    .set(received.longest_answer.get().max(time));
            }
            match order {
                Order::Beat(_) => {
                    let silence = clock::now().since(last);
                    last = clock::now();
                    received
                        .longest_silence
                        .set(received.longest_silence.get().max(silence));
                    let query = Report::contact_query(last);
                    let query = Input::Queried(me.clone(), connection, query);
                    if inputs.send_result(query).await.is_err() {
                        return;
                    }
                }
                Order::Watch(watch) => {
                    let index = watch.worker[1..].parse().expect("the number of a worker");
                    if inputs.send(polled(index, &me, 0)).await.is_err() {
                        return;
                    }
                }
                Order::Start(_) => received.starts.set(received.starts.get() + 1),
                _ => {}
            }
        }
    }
}

/// Sends reports as fast as the queue takes them.
async fn flood(inputs: Outlet, begun: Ms) {
    // The agent does not poll these workers any more, so its reports have no effect but their cost.
    let stranger = name("stranger");
    let mut index = 0;
    while clock::now().since(begun) < OVERLOAD_TIME {
        index = (index + 1) % WORKERS;
        if inputs.send(polled(index, &stranger, 40)).await.is_err() {
            return;
        }
    }
}

async fn serve_store(shared: &Arc<Shared>, listener: TcpListener) -> Server {
    let versions = Arc::new(std::sync::atomic::AtomicU64::new(10));
    let handler = move |_| {
        let version = versions.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let body = format!(
            "{{\"rows\":[],\"ver\":{version},\"nowMs\":{}}}",
            clock::now().0
        );
        async move { Response::new(Full::new(Bytes::from(body))) }
    };
    Server::start(&shared.spawner, listener, Limits::default(), handler).expect("a server")
}

/// The loop never gave way while its queue held inputs: no heartbeat and no order left the process,
/// all agents went away, and the next leader was given the same load.
#[test]
fn a_leader_with_more_reports_than_it_can_handle_is_not_silent_and_recovers() {
    let local = LocalExecutor::new();
    smol::block_on(local.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::new(options(address)).expect("no port is needed"));
        *lock(&shared.config) = Some((Arc::new(config()), Arc::from(&b"{}"[..])));
        let executor = Arc::clone(&shared.spawner);
        let network = local.spawn(async move { executor.run(std::future::pending::<()>()).await });
        let server = serve_store(&shared, listener).await;
        let (inputs, inbox) = inbox::new();
        let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs.clone()));
        let mut driver = Driver::new(&shared, &leadership, inbox);
        let running = local.spawn(async move { driver.run().await });
        let heartbeats = leadership::write_heartbeats(Arc::clone(&shared), Arc::clone(&leadership));
        let heartbeats = shared.spawner.spawn(heartbeats);

        let received = Rc::new(Received::default());
        let mut tasks = Vec::new();
        for index in 0..AGENTS {
            let (out, orders) = smol::channel::bounded(peers::MAX_QUEUED_BATCHES);
            let hello = hello(index);
            let me = (agent(index), leadership.join(hello, out).await);
            let received = Rc::clone(&received);
            tasks.push(local.spawn(follow(orders, me, inputs.clone(), received)));
        }
        for index in 0..WORKERS {
            let sent = inputs.send_row(registration(index)).await;
            sent.expect("the driver runs");
        }
        let recovered = inputs.send_row(Event::Recovered).await;
        recovered.expect("the driver runs");
        // The first write lists the fleet, after which tasks may start.
        sleep(Ms(1_500)).await;
        received.longest_silence.set(Ms::ZERO);
        received.longest_answer.set(Ms::ZERO);

        let begun = clock::now();
        let floods: Vec<_> = (0..3)
            .map(|_| local.spawn(flood(inputs.clone(), begun)))
            .collect();
        for job in 0..JOBS {
            let sent = inputs.send_row(accepted(job)).await;
            sent.expect("the driver runs");
            sleep(Ms(50)).await;
        }
        for task in floods {
            task.await;
        }
        let overloaded = clock::now();
        while received.starts.get() < u32::try_from(JOBS).expect("few jobs") * TASKS_PER_JOB
            && clock::now().since(overloaded) < RECOVERY_TIME
        {
            sleep(Ms(20)).await;
        }
        let silence = received.longest_silence.get();
        assert!(silence < SILENCE_TIMEOUT, "silent for {silence}");
        let answer = received.longest_answer.get();
        assert!(answer > Ms::ZERO && answer < SILENCE_TIMEOUT, "{answer}");
        assert_eq!(
            received.starts.get(),
            u32::try_from(JOBS).expect("few jobs") * TASKS_PER_JOB
        );

        leadership.end(End::Confirmed("test over"));
        assert_eq!(running.await, End::Confirmed("test over"));
        drop((tasks, network, heartbeats, server));
    }));
}

/// Returns a driver whose store nobody serves.
fn new_driver() -> Driver {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let shared = Arc::new(Shared::new(options(unused)).expect("no port is needed"));
    let (inputs, inbox) = inbox::new();
    let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs));
    Driver::new(&shared, &leadership, inbox)
}

/// Returns the first message of an agent that knows no runs.
fn hello(index: usize) -> Hello {
    Hello {
        entry: agent(index),
        domain: name("d"),
        epoch: Epoch(7),
        known: Vec::new(),
    }
}

/// Returns the orders for an agent that are to be sent.
fn outgoing(driver: &Driver, index: usize) -> &[Order] {
    driver
        .outgoing
        .get(&agent(index))
        .map_or(&[], Vec::as_slice)
}

/// An answer tells an agent that its leader has kept it, so a query that was sent over a connection
/// which was lost since must not be answered over the next one.
#[test]
fn a_contact_query_is_answered_over_the_current_connection_only() {
    let mut driver = new_driver();
    let (out, _orders) = smol::channel::bounded(peers::MAX_QUEUED_BATCHES);
    let hello = hello(1);
    let query = |connection| Input::Queried(agent(1), connection, Report::contact_query(Ms(30)));
    let answers = |driver: &Driver| {
        let orders = outgoing(driver, 1).iter();
        orders.filter_map(Order::contact_query_sent_at).count()
    };
    driver.handle_input(query(3));
    assert_eq!(answers(&driver), 0, "not connected yet");
    driver.handle_input(Input::Joined(hello, 3, out));
    driver.handle_input(query(2));
    assert_eq!(answers(&driver), 0, "an earlier connection");
    driver.handle_input(query(3));
    assert_eq!(answers(&driver), 1, "the current connection");
    driver.handle_input(Input::Left(agent(1), 3));
    driver.handle_input(query(3));
    assert_eq!(answers(&driver), 0, "a lost connection");
}

/// An agent sends no further reports while too many have no receipt, also while the leader reads the
/// rows of earlier leaders.
#[test]
fn a_query_for_a_receipt_is_answered_before_the_rows_are_read() {
    let mut driver = new_driver();
    let (out, _orders) = smol::channel::bounded(peers::MAX_QUEUED_BATCHES);
    driver.handle_input(Input::Joined(hello(1), 3, out));
    let query = Event::Received(agent(1), Report::receipt_query(Ms(30)));
    driver.handle_input(Input::Event(query));
    let orders = outgoing(&driver, 1).iter();
    let receipts: Vec<Ms> = orders.filter_map(Order::receipt_query_sent_at).collect();
    assert_eq!(receipts, [Ms(30)]);
}

/// An order of before the loss of a connection could reach the agent over the next one. It then
/// polled a worker that another agent had by then, and renewed a lease that the leader took for
/// expired.
#[test]
fn orders_for_an_earlier_connection_of_an_agent_are_not_sent_over_the_next_one() {
    let mut driver = new_driver();
    let join = |index, connection| {
        let (out, orders) = smol::channel::bounded(peers::MAX_QUEUED_BATCHES);
        let hello = hello(index);
        (Input::Joined(hello, connection, out), orders)
    };
    let watches = |driver: &Driver, index| {
        let orders = outgoing(driver, index).iter();
        orders
            .filter(|order| matches!(order, Order::Watch(_)))
            .count()
    };
    let (first, _first_orders) = join(1, 1);
    driver.handle_input(first);
    driver.handle_input(Input::Event(registration(0)));
    assert_eq!(watches(&driver, 1), 1);
    let (other, _other_orders) = join(2, 2);
    driver.handle_input(other);
    let (second, _second_orders) = join(1, 3);
    driver.handle_input(second);
    assert_eq!(watches(&driver, 2), 1, "the other agent has the worker");
    assert_eq!(watches(&driver, 1), 0, "{:?}", outgoing(&driver, 1));
}

/// Among hundreds of agents that wait for room in one queue, a feed passed on some 50 rows a second,
/// so that a new leader read the jobs for 4 s and started a task whose cancellation it did not know.
#[test]
fn rows_of_the_store_do_not_wait_behind_reports() {
    smol::block_on(async {
        let (inputs, inbox) = inbox::new();
        let stranger = name("stranger");
        while smol::future::poll_once(inputs.send(polled(0, &stranger, 0)))
            .await
            .is_some()
        {}
        for job in 0..100 {
            let sent = smol::future::poll_once(inputs.send_row(Event::Cancelled(Job(job)))).await;
            assert!(matches!(sent, Some(Ok(()))), "row {job}");
        }
        for job in 0..100 {
            let next = inbox.try_next();
            let is_row = matches!(next, Some(Input::Event(Event::Cancelled(id))) if id == Job(job));
            assert!(is_row, "row {job}: {next:?}");
        }
        assert!(matches!(
            inbox.try_next(),
            Some(Input::Event(Event::Received(..)))
        ));
    });
}

/// Each pass over a large backlog took longer than the interval between two ticks. No timer was left
/// to wait for, so the loop never gave way while no input was queued, and no input ever came.
#[test]
fn a_leader_with_a_large_backlog_gives_way_to_the_other_tasks_of_its_process() {
    const BACKLOG_JOBS: u64 = 3_200;
    const STEPS: usize = 64;
    const TEST_TIME: Ms = Ms(10_000);
    let local = LocalExecutor::new();
    smol::block_on(local.run(async {
        let unused = "127.0.0.1:9".parse().expect("an address");
        let shared = Arc::new(Shared::new(options(unused)).expect("no port is needed"));
        *lock(&shared.config) = Some((Arc::new(config()), Arc::from(&b"{}"[..])));
        let (inputs, inbox) = inbox::new();
        let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs.clone()));
        let mut driver = Driver::new(&shared, &leadership, inbox);
        // Nothing else ends a loop that does not give way.
        let ended = Arc::clone(&leadership);
        let begun = clock::now();
        let (test_end, over) = std::sync::mpsc::channel();
        let watchdog = std::thread::spawn(move || {
            // An error means that the test is over before.
            let _: Result<(), _> = over.recv_timeout(std::time::Duration::from_millis(TEST_TIME.0));
            ended.end(End::Confirmed("test over"));
        });
        let running = local.spawn(async move { driver.run().await });
        let sent = inputs.send_row(Event::Recovered).await;
        sent.expect("the driver runs");
        for job in 0..BACKLOG_JOBS {
            let Event::Accepted(id, _, mut job, progress) = accepted(job) else {
                unreachable!("the helper returns an accepted job");
            };
            let step = job.spec.steps[0].clone();
            job.spec.steps = vec![spec::Step { count: 1, ..step }; STEPS];
            // An earlier leader has read these rows, so the tasks need no confirmed lead.
            let sent = inputs.send_row(Event::Accepted(id, 1, job, progress)).await;
            sent.expect("the driver runs");
        }
        // The queue is empty by now, and only ticks are left.
        sleep(Ms(500)).await;
        let mut longest = Ms::ZERO;
        let mut turns = 0;
        while clock::now().since(begun) < Ms(TEST_TIME.0 - 1_000) && turns < 50 {
            let before = clock::now();
            sleep(Ms(1)).await;
            longest = longest.max(clock::now().since(before));
            turns += 1;
        }
        assert!(turns >= 50, "{turns} turns");
        assert!(longest < SILENCE_TIMEOUT, "no turn for {longest}");
        drop::<std::sync::mpsc::Sender<()>>(test_end);
        assert_eq!(running.await, End::Confirmed("test over"));
        watchdog.join().expect("the watchdog does not panic");
    }));
}

/// The queues hold a bounded number of inputs, and results of the leader's own calls come first.
#[test]
fn a_full_queue_of_reports_holds_back_their_readers_but_not_results() {
    smol::block_on(async {
        let (inputs, inbox) = inbox::new();
        let stranger = name("stranger");
        let mut queued = 0;
        while smol::future::poll_once(inputs.send(polled(0, &stranger, 0)))
            .await
            .is_some()
        {
            queued += 1;
            assert!(queued <= 100_000, "the queue has no bound");
        }
        let result = Input::Event(Event::Committed);
        let sent = smol::future::poll_once(inputs.send_result(result)).await;
        assert!(matches!(sent, Some(Ok(()))));
        assert!(matches!(
            inbox.try_next(),
            Some(Input::Event(Event::Committed))
        ));
        assert_eq!(inbox.len(), queued);
    });
}

#[test]
fn the_end_of_a_leadership_reaches_the_loop_past_full_queues() {
    let unused = "127.0.0.1:9".parse().expect("an address");
    let shared = Arc::new(Shared::new(options(unused)).expect("no port is needed"));
    let (inputs, inbox) = inbox::new();
    let leadership = Arc::new(Leadership::new(Epoch(7), Ms::ZERO, inputs));
    leadership.end(End::Unconfirmed("first"));
    leadership.end(End::Confirmed("second"));
    let mut driver = Driver::new(&shared, &leadership, inbox);
    let end = smol::block_on(driver.run());
    assert_eq!(end, End::Unconfirmed("first"));
}

/// An agent that reads nothing is disconnected, so that its starts count as unsure.
#[test]
fn an_agent_that_takes_no_orders_is_disconnected() {
    let mut driver = new_driver();
    let (out, orders) = smol::channel::bounded(peers::MAX_QUEUED_BATCHES);
    let hello = hello(1);
    driver.handle_input(Input::Joined(hello, 1, out));
    let mut taken = HashMap::new();
    for round in 0..=peers::MAX_QUEUED_BATCHES {
        driver.send_heartbeats();
        driver.flush();
        taken.insert(round, driver.agents.len());
    }
    assert_eq!(taken[&(peers::MAX_QUEUED_BATCHES - 1)], 1);
    assert_eq!(taken[&peers::MAX_QUEUED_BATCHES], 0);
    assert_eq!(orders.len(), peers::MAX_QUEUED_BATCHES);
    assert!(orders.is_closed());
}
