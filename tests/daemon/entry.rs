//! Whole entries over real sockets.

use std::net::SocketAddr;
use std::thread;

use bytes::Bytes;
use decision::clock::Ms;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Job;
use decision::operator::Refusal;
use decision::operator::Reply;
use decision::resource::Size;
use decision::timeline::Filter;
use decision::timeline::Kind;
use http::Response;
use link::Spawner;
use operator::client::Client;
use samphiretrail::daemon::Daemon;

use crate::common::Caller;
use crate::common::Fleet;
use crate::common::PATIENCE;
use crate::common::configure;
use crate::common::document;
use crate::common::operate;
use crate::common::wait;

const ONCE: (&str, &str) = ("x-repeatable", "no");
const AGAIN: (&str, &str) = ("x-repeatable", "yes");

fn post(caller: &Caller, to: SocketAddr, kind: &str, headers: &[(&str, &str)]) -> Response<Bytes> {
    let path = format!("/call/orders/{kind}");
    let answer = caller.send(to, "POST", &path, headers, "lamp");
    answer.expect("the entry answers")
}

fn outcome(answer: &Response<Bytes>) -> &str {
    answer.headers()["x-outcome"].to_str().expect("text")
}

/// Starts entries and waits until each serves requests.
fn start(fleet: &Fleet, names: &[&str]) -> Vec<Daemon> {
    let start = |name: &&str| Daemon::start(fleet.settings(name)).expect("the entry starts");
    let daemons: Vec<Daemon> = names.iter().map(start).collect();
    configure(&daemons[0]);
    let caller = Caller::new();
    for daemon in &daemons {
        wait("an answer", || {
            let answer = post(&caller, daemon.caller(), "place", &[AGAIN]);
            outcome(&answer) == "answered"
        });
    }
    daemons
}

fn ticket(caller: &Caller, from: SocketAddr) -> String {
    let answer = caller
        .send(from, "POST", "/ticket", &[], "")
        .expect("an answer");
    let text = String::from_utf8(answer.body().to_vec()).expect("text");
    text.trim().to_owned()
}

/// Guards against a break anywhere on the path from a caller to a target and back.
#[test]
fn a_caller_gets_the_whole_answer_of_a_target() {
    let fleet = Fleet::start(2);
    let mut daemons = start(&fleet, &["entry-1"]);
    let caller = Caller::new();
    let answer = post(&caller, daemons[0].caller(), "place", &[AGAIN]);
    assert_eq!(outcome(&answer), "answered");
    assert_eq!(answer.body(), "lamp");
    let metrics = caller.send(daemons[0].caller(), "GET", "/metrics", &[], "");
    let metrics = String::from_utf8(metrics.expect("metrics").body().to_vec()).expect("text");
    assert!(
        metrics.contains("requests_total{outcome=\"answered\""),
        "{metrics}"
    );
    assert!(daemons.remove(0).stop(true), "the entry stops in time");
}

/// Guards against an order that runs without a ticket, twice, or at another entry than its issuer.
#[test]
fn a_ticket_runs_once_through_any_entry() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1", "entry-2"]);
    let (first, second) = (daemons[0].caller(), daemons[1].caller());
    let caller = Caller::new();
    let without = post(&caller, first, "place", &[ONCE]);
    assert_eq!(
        (without.status().as_u16(), outcome(&without)),
        (428, "refused")
    );
    let offered = without.headers()["x-ticket"]
        .to_str()
        .expect("text")
        .to_owned();
    let headers = [ONCE, ("x-ticket", offered.as_str())];
    let ran = fleet.runs();
    for entry in [first, second, first, second] {
        let answer = post(&caller, entry, "place", &headers);
        assert_eq!(
            (outcome(&answer), answer.body().as_ref()),
            ("answered", b"lamp".as_slice())
        );
    }
    assert_eq!(fleet.runs(), ran + 1, "the order ran once");
}

/// Guards against a planned stop that cuts off requests, loses tickets or keeps groups.
#[test]
fn a_planned_stop_finishes_requests_and_hands_over() {
    let fleet = Fleet::start(2);
    let mut daemons = start(&fleet, &["entry-1", "entry-2"]);
    let leaving = daemons.remove(0);
    let caller = Caller::new();
    let used = ticket(&caller, leaving.caller());
    let unused = ticket(&caller, leaving.caller());
    let order = post(
        &caller,
        leaving.caller(),
        "place",
        &[ONCE, ("x-ticket", &used)],
    );
    assert_eq!(outcome(&order), "answered");
    let to = leaving.caller();
    let slow = thread::spawn(move || post(&Caller::new(), to, "slow", &[AGAIN]));
    wait("the slow request", || fleet.slow() == 1);
    assert!(leaving.stop(true), "the entry stops in time");
    assert_eq!(outcome(&slow.join().expect("no panic")), "answered");
    let ran = fleet.runs();
    let other = daemons[0].caller();
    let again = post(&caller, other, "place", &[ONCE, ("x-ticket", &used)]);
    assert_eq!(
        outcome(&again),
        "answered",
        "the retained answer is replayed"
    );
    assert_eq!(fleet.runs(), ran, "the order did not run again");
    let late = post(&caller, other, "place", &[ONCE, ("x-ticket", &unused)]);
    assert_eq!(
        outcome(&late),
        "answered",
        "the successor runs unused tickets"
    );
    wait("all targets", || {
        let status = operate(&daemons[0], "status", Action::Status { job: None });
        let Reply::Status(status) = status else {
            return false;
        };
        let own = |owner: &Option<Name>| owner.as_deref() == Some("entry-2");
        status.workers.len() == 2 && status.workers.iter().all(|worker| own(&worker.owner))
    });
}

/// Guards against a crash that answers as if it were a planned stop, or that blocks the process.
#[test]
fn a_crash_breaks_connections() {
    let fleet = Fleet::start(2);
    let mut daemons = start(&fleet, &["entry-1"]);
    let daemon = daemons.remove(0);
    let to = daemon.caller();
    let slow = thread::spawn(move || {
        let caller = Caller::new();
        caller.send(to, "POST", "/call/orders/slow", &[AGAIN], "lamp")
    });
    wait("the slow request", || fleet.slow() == 1);
    assert!(daemon.stop(false));
    let broken = slow.join().expect("no panic");
    assert!(
        matches!(broken, Err(link::pool::Error::Broken(_))),
        "{broken:?}"
    );
}

/// Guards against operator calls that only one entry can answer, and against lost updates.
#[test]
fn any_entry_answers_operators() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1", "entry-2"]);
    let change = |expected, queue| Action::Reconfigure {
        expected: Version(expected),
        document: document(queue),
        dry_run: false,
    };
    let reply = operate(&daemons[1], "second", change(1, 200));
    let Reply::Configured {
        version,
        in_force,
        pending,
    } = reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!((version, in_force.len(), pending.len()), (Version(2), 2, 0));
    let conflict = Reply::Refused(Refusal::Conflict(Version(2)));
    assert_eq!(operate(&daemons[0], "third", change(1, 300)), conflict);
    let missing = Action::Cancel {
        job: Name::try_from("no-such-job").expect("a valid name"),
    };
    let refused = Reply::Refused(Refusal::Missing);
    assert_eq!(operate(&daemons[0], "fourth", missing), refused);
}

/// Guards against a timeline that leaves out an entry or breaks the causal order.
#[test]
fn the_timeline_is_merged_over_all_entries() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1", "entry-2"]);
    let spawner = Spawner::default();
    let filter = Filter {
        subject: Some("config/1".into()),
        kind: Some(Kind::ConfigInForce),
        vm: None,
    };
    let timeline = smol::block_on(spawner.run(async {
        let mut client = Client::connect(&spawner, daemons[1].operator(), PATIENCE).await?;
        client.timeline(&filter, false).await
    }));
    let timeline = timeline.expect("an answer");
    assert_eq!(timeline.missing, Vec::<String>::new());
    let order = timeline
        .events
        .iter()
        .map(|event| (event.lamport, &*event.entry));
    let order: Vec<_> = order.collect();
    assert!(order.is_sorted(), "{order:?}");
    let entries: Vec<_> = order.iter().map(|(_, entry)| *entry).collect();
    assert_eq!(entries, ["entry-1", "entry-2"], "cause before effect");
}

/// Guards against batch work that is accepted but not carried out, or reported wrongly.
#[test]
fn a_submitted_job_is_done() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1", "entry-2"]);
    let name = |raw| Name::try_from(raw).expect("a valid name");
    let job = Job {
        name: name("job-1"),
        team: name("lamps"),
        kind: name("preview"),
        tasks: 20,
        size: Size {
            millicores: 1_000,
            memory_mb: 500,
            accelerators: 0,
        },
        run_time: Ms(50),
        urgent: false,
    };
    let submit = Action::Submit(job);
    assert_eq!(
        operate(&daemons[0], "submit", submit.clone()),
        Reply::Accepted
    );
    let again = operate(&daemons[1], "submit", submit);
    assert_eq!(again, Reply::Accepted, "the same call again is harmless");
    wait("the job", || {
        let job = Some(name("job-1"));
        let Reply::Status(status) = operate(&daemons[1], "status", Action::Status { job }) else {
            return false;
        };
        let done = status.jobs.iter().map(|job| job.done).sum::<u32>();
        assert!(done <= 20, "{done} tasks of 20 are done");
        done == 20
    });
}

/// Guards against a silent target that takes answers with it, and against a request that must not
/// be repeated but runs at another target after it.
#[test]
fn a_silent_target_costs_no_answers() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1"]);
    let (to, caller) = (daemons[0].caller(), Caller::new());
    // Retries are a tenth of first attempts, so these earn the retries needed below.
    for _ in 0..100 {
        assert_eq!(outcome(&post(&caller, to, "place", &[AGAIN])), "answered");
    }
    fleet.silence(0);
    let mut unknown = 0;
    for _ in 0..8 {
        let again = post(&caller, to, "place", &[AGAIN]);
        assert_eq!(outcome(&again), "answered", "another target serves it");
        let ran = fleet.runs();
        let ticket = ticket(&caller, to);
        let once = post(&caller, to, "place", &[ONCE, ("x-ticket", &ticket)]);
        assert!(fleet.runs() <= ran + 1, "the order ran at most once");
        unknown += u32::from(outcome(&once) == "unknown");
    }
    assert!(unknown < 8, "the silent target is left out in the end");
}
