//! Connections between the leader and its agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decision::clock::Ms;
use decision::name::Name;
use scheduler::election;
use scheduler::election::Record;
use scheduler::id::Epoch;
use scheduler::leader::Event;
use scheduler::leader::LEADER_CONTACT_TIMEOUT;
use scheduler::message::Hello;
use scheduler::message::Order;
use scheduler::message::Report;
use scheduler::session::SILENCE_TIMEOUT;
use smol::Task;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::future::poll_once;
use smol::future::zip;
use smol::net::TcpListener;
use smol::net::TcpStream;

use super::Error;
use super::Shared;
use super::clock;
use super::frame;
use super::inbox::Closed;
use super::leadership::Input;
use super::leadership::Leadership;
use super::outgoing::Outgoing;
use super::rows;
use super::session::Session;
use super::sleep;

/// The interval of heartbeats on a connection, in both directions.
pub(super) const HEARTBEAT_INTERVAL: Ms = Ms(400);
/// The time limit for connecting to the leader.
const CONNECT_TIMEOUT: Ms = Ms(600);
/// The pause after a failed accept before the next one.
const ACCEPT_RETRY_DELAY: Ms = Ms(50);
/// The age of the leader's last confirmed write above which an agent checks the leader record in
/// the store.
const MAX_STORE_AGE: Ms = Ms(1_800);

/// The most reports that wait for the leader to read them. Further ones are dropped: what they say
/// is found out again by later polls.
pub(super) const MAX_QUEUED_REPORTS: usize = 1_024;
/// The most batches of orders that wait for an agent to read them.
pub(super) const MAX_QUEUED_BATCHES: usize = 128;
/// The most received frames that wait to be carried out.
const MAX_QUEUED_FRAMES: usize = 64;
/// The most reports of an agent that are read ahead while those before them wait for the leader, so
/// that contact queries are not held up behind them.
const MAX_READ_AHEAD_REPORTS: usize = 256;
/// The most orders in one frame. The longest, with the payload of a job, takes some 4 KB.
const MAX_FRAME_ORDERS: usize = 512;

/// Why this entry stopped following a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// The address refused the connection, or the entry there closed it without sending an order.
    Refused,
    /// The connection was lost, the leader sent nothing within [`SILENCE_TIMEOUT`], or it was
    /// deposed.
    Lost,
}

/// Connects to the leader in `record` and follows it until the session ends.
pub(super) async fn follow(shared: &Arc<Shared>, epoch: Epoch, record: &Record) -> Ending {
    let address: SocketAddr = match record.address.parse() {
        Ok(address) => address,
        Err(error) => {
            log::error!(
                "kind=record-unusable address={:?} cause={error}",
                record.address
            );
            return Ending::Lost;
        }
    };
    let connect = async {
        TcpStream::connect(address)
            .await
            .map_err(|error| error.kind())
    };
    let timeout = async {
        sleep(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut)
    };
    let stream = match connect.or(timeout).await {
        Ok(stream) => stream,
        Err(kind) => {
            log::warn!("kind=leader-unreachable epoch={epoch} cause={kind}");
            return if kind == std::io::ErrorKind::ConnectionRefused {
                Ending::Refused
            } else {
                Ending::Lost
            };
        }
    };
    drop(stream.set_nodelay(true));
    let (incoming, orders) = smol::channel::bounded(MAX_QUEUED_FRAMES);
    let (session, outgoing) = Session::begin(epoch, MAX_QUEUED_REPORTS);
    let forwarding = forward_frames(stream, outgoing, incoming);
    let running = run_session(shared, &session, orders);
    let ended = async {
        let error = forwarding.await;
        log::warn!(
            "kind=leader-lost epoch={epoch} cause={:?}",
            error.to_string()
        );
        false
    };
    let was_ended_by_agent = running.or(ended).await;
    let had_order = shared.agent.lose_session(&session);
    if was_ended_by_agent || had_order {
        Ending::Lost
    } else {
        Ending::Refused
    }
}

/// Writes reports to a connection and reads orders from it until either fails.
async fn forward_frames(
    stream: TcpStream,
    mut outgoing: Outgoing,
    incoming: Sender<Vec<Order>>,
) -> Error {
    let mut reader = stream.clone();
    let mut writer = stream;
    let read = async {
        loop {
            let orders = match frame::read(&mut reader).await {
                Ok(orders) => orders,
                Err(error) => return error,
            };
            if incoming.send(orders).await.is_err() {
                return Error::Peer("the session ended".into());
            }
        }
    };
    let write = async {
        loop {
            let reports = outgoing.next_frame().await;
            if reports.is_empty() {
                return Error::Peer("the session ended".into());
            }
            if let Err(error) = frame::write(&mut writer, &reports).await {
                return error;
            }
        }
    };
    read.or(write).await
}

/// Carries out the orders of the leader of `session` until the session ends. Returns `false` if the
/// session could not begin or the leader's orders ended, and `true` if the agent ended the session,
/// for instance because the leader sent no heartbeat in time or was deposed.
///
/// The agent of the leader's own entry does not check the leader record, because the leader learns
/// from its own writes that the store has another leader.
pub(super) async fn run_session(
    shared: &Arc<Shared>,
    session: &Arc<Session>,
    orders: Receiver<Vec<Order>>,
) -> bool {
    let epoch = session.epoch();
    let hello = Hello {
        entry: shared.options.name.clone(),
        domain: shared.options.failure_domain.clone(),
        epoch,
        known: shared.agent.begin_session(session),
    };
    if !session.report(Report::Hello(hello)) {
        return false;
    }
    let mut heartbeat_due = clock::now() + HEARTBEAT_INTERVAL;
    let mut check_due = heartbeat_due;
    let mut check: Option<Task<bool>> = None;
    loop {
        let next = async { orders.recv().await.ok() };
        let fenced = async {
            session.wait_for_fence().await;
            Some(Vec::new())
        };
        let pause = Duration::from_millis(heartbeat_due.since(clock::now()).0);
        let timer = async {
            Timer::after(pause).await;
            Some(Vec::new())
        };
        let Some(received) = fenced.or(next).or(timer).await else {
            return false;
        };
        if session.is_fenced() {
            log::warn!("kind=leader-deposed epoch={epoch} reason=fenced-by-worker");
            return true;
        }
        let now = clock::now();
        if now >= heartbeat_due {
            heartbeat_due = now + HEARTBEAT_INTERVAL;
            session.query_contact();
            if !session.is_open() {
                return true;
            }
        }
        for order in received {
            shared.agent.execute(shared, session, order);
        }
        let last_contact = session.last_contact();
        let store_age = shared.agent.store_age();
        if now.since(last_contact) > SILENCE_TIMEOUT {
            log::warn!(
                "kind=leader-silent epoch={epoch} ms={}",
                now.since(last_contact).0
            );
            return true;
        }
        let confirmed_age = now.since(session.confirmed_contact());
        if confirmed_age > LEADER_CONTACT_TIMEOUT {
            // No lease may be renewed, so another agent has to poll the workers.
            log::warn!(
                "kind=leader-unconfirmed epoch={epoch} ms={}",
                confirmed_age.0
            );
            return true;
        }
        let is_own = shared.leadership().is_some();
        if store_age > MAX_STORE_AGE && !is_own && check.is_none() && now >= check_due {
            check_due = now + HEARTBEAT_INTERVAL;
            let owned = Arc::clone(shared);
            check = Some(
                shared
                    .spawner
                    .spawn(async move { is_deposed(&owned, epoch).await }),
            );
        }
        let checked = match &mut check {
            Some(task) => poll_once(task).await,
            None => None,
        };
        if checked.is_some() {
            check = None;
        }
        if checked == Some(true) {
            log::warn!(
                "kind=leader-deposed epoch={epoch} reason=replaced-or-silent store_age_ms={}",
                store_age.0
            );
            return true;
        }
    }
}

/// Returns whether the store shows another leader record than that of `epoch`, or a heartbeat that
/// no longer changes. The result is `false` when the store does not serve the read.
async fn is_deposed(shared: &Shared, epoch: Epoch) -> bool {
    let Ok(page) = shared.store.read(rows::LEAD, rows::UNDIVIDED, "", 8).await else {
        return false;
    };
    let row = |key: &str| page.rows.iter().find(|row| row.key == key);
    if row(&rows::record().key).is_some_and(|row| row.version != epoch.0) {
        return true;
    }
    let version = row(&rows::heartbeat().key).map_or(0, |row| row.version);
    shared.observe_heartbeat(version) >= election::UNCHANGED_TIMEOUT
}

/// Accepts connections of agents for the life of the process.
pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(stream.set_nodelay(true));
                let serving = serve(Arc::clone(&shared), stream);
                shared.spawner.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("kind=accept-failed cause={:?}", error.to_string());
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the connection of one agent. Closes it at once if this entry does not lead in the epoch
/// that the agent follows.
async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut reader = stream.clone();
    let mut writer = stream;
    let Ok(first) = read_with_timeout(&mut reader).await else {
        return;
    };
    let is_numbering = first.iter().any(Report::is_numbering);
    let Some(Report::Hello(hello)) = first.into_iter().next() else {
        return;
    };
    let Some(leadership) = shared
        .leadership()
        .filter(|leadership| leadership.epoch == hello.epoch)
    else {
        return;
    };
    let (out, orders) = smol::channel::bounded(MAX_QUEUED_BATCHES);
    let entry = hello.entry.clone();
    let connection = leadership.join(hello, out).await;
    let (read_ahead, reports) = smol::channel::bounded(MAX_READ_AHEAD_REPORTS);
    let reading = read_reports(&mut reader, &leadership, &entry, connection, read_ahead);
    let read = async {
        let (error, ()) = zip(reading, pass_on(&leadership, &entry, reports)).await;
        error
    };
    let write = async {
        while let Ok(first) = orders.recv().await {
            let mut batch: Vec<Order> = first;
            while batch.len() < MAX_FRAME_ORDERS
                && let Ok(more) = orders.try_recv()
            {
                batch.extend(more);
            }
            if !is_numbering {
                batch.iter_mut().for_each(Order::remove_number);
            }
            for part in batch.chunks(MAX_FRAME_ORDERS) {
                if let Err(error) = frame::write(&mut writer, part).await {
                    return error;
                }
            }
        }
        Error::Peer("this entry stopped leading".into())
    };
    let error = read.or(write).await;
    log::warn!(
        "kind=agent-lost agent={entry} cause={:?}",
        error.to_string()
    );
    // The input is not needed once the driver has ended.
    let _: Result<(), Closed> = leadership.send(Input::Left(entry, connection)).await;
}

/// Reads the reports of an agent until the connection fails, and no further ones while too many
/// are queued. Its contact queries do not wait for the reports before them.
async fn read_reports(
    reader: &mut TcpStream,
    leadership: &Leadership,
    entry: &Name,
    connection: u64,
    read_ahead: Sender<Report>,
) -> Error {
    loop {
        let reports = match read_with_timeout(reader).await {
            Ok(reports) => reports,
            Err(error) => return error,
        };
        let (queries, others): (Vec<Report>, Vec<Report>) =
            reports.into_iter().partition(Report::is_contact_query);
        for query in queries {
            let input = Input::Queried(entry.clone(), connection, query);
            leadership.send_result(input).await;
        }
        for report in others {
            if read_ahead.send(report).await.is_err() {
                return Error::Peer("this entry stopped leading".into());
            }
        }
    }
}

/// Passes the reports of an agent on to the driver until it ends or none are left.
async fn pass_on(leadership: &Leadership, entry: &Name, reports: Receiver<Report>) {
    while let Ok(report) = reports.recv().await {
        let event = Event::Received(entry.clone(), report);
        if leadership.send(Input::Event(event)).await.is_err() {
            return;
        }
    }
}

/// Reads one frame of reports, or fails if the agent sends none within [`SILENCE_TIMEOUT`].
async fn read_with_timeout(reader: &mut TcpStream) -> Result<Vec<Report>, Error> {
    let timeout = async {
        sleep(SILENCE_TIMEOUT).await;
        Err(Error::Peer(format!(
            "the agent sent nothing for {} ms",
            SILENCE_TIMEOUT.0
        )))
    };
    frame::read(reader).or(timeout).await
}

#[cfg(test)]
mod tests;
