//! Tests of entries within this process, over real sockets.

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
use crate::common::TIMEOUT;
use crate::common::call_operator;
use crate::common::configure;
use crate::common::document;
use crate::common::wait_until;

const NOT_REPEATABLE: (&str, &str) = ("x-repeatable", "no");
const REPEATABLE: (&str, &str) = ("x-repeatable", "yes");

fn post(caller: &Caller, to: SocketAddr, kind: &str, headers: &[(&str, &str)]) -> Response<Bytes> {
    let path = format!("/call/orders/{kind}");
    let answer = caller.send(to, "POST", &path, headers, "lamp");
    answer.expect("the entry answers")
}

fn outcome(answer: &Response<Bytes>) -> &str {
    answer.headers()["x-outcome"]
        .to_str()
        .expect("the value is text")
}

/// Starts entries and waits until each serves requests.
fn start(fleet: &Fleet, names: &[&str]) -> Vec<Daemon> {
    let start = |name: &&str| Daemon::start(fleet.settings(name)).expect("the entry starts");
    let daemons: Vec<Daemon> = names.iter().map(start).collect();
    configure(&daemons[0]);
    let caller = Caller::new();
    for daemon in &daemons {
        wait_until("an answer", || {
            let answer = post(&caller, daemon.caller(), "place", &[REPEATABLE]);
            outcome(&answer) == "answered"
        });
    }
    daemons
}

fn ticket(caller: &Caller, from: SocketAddr) -> String {
    let answer = caller
        .send(from, "POST", "/ticket", &[], "")
        .expect("the entry answers");
    let text = String::from_utf8(answer.body().to_vec()).expect("the value is text");
    text.trim().to_owned()
}

/// Guards against a request or answer that is lost or changed between a caller and a target.
#[test]
fn a_caller_gets_the_whole_answer_of_a_target() {
    let fleet = Fleet::start(2);
    let mut daemons = start(&fleet, &["entry-1"]);
    let caller = Caller::new();
    let answer = post(&caller, daemons[0].caller(), "place", &[REPEATABLE]);
    assert_eq!(outcome(&answer), "answered");
    assert_eq!(answer.body(), "lamp");
    let metrics = caller.send(daemons[0].caller(), "GET", "/metrics", &[], "");
    let metrics = String::from_utf8(metrics.expect("the entry serves metrics").body().to_vec())
        .expect("the value is text");
    assert!(
        metrics.contains("requests_total{outcome=\"answered\""),
        "{metrics}"
    );
    assert!(daemons.remove(0).stop(true), "the entry stops in time");
}

/// Guards against a request that must not be repeated but runs without a ticket or twice, when
/// several entries receive it with the same ticket.
#[test]
fn a_ticket_runs_once_through_any_entry() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1", "entry-2"]);
    let (first, second) = (daemons[0].caller(), daemons[1].caller());
    let caller = Caller::new();
    let without = post(&caller, first, "place", &[NOT_REPEATABLE]);
    assert_eq!(
        (without.status().as_u16(), outcome(&without)),
        (428, "refused")
    );
    let offered = without.headers()["x-ticket"]
        .to_str()
        .expect("the value is text")
        .to_owned();
    let headers = [NOT_REPEATABLE, ("x-ticket", offered.as_str())];
    let runs_before = fleet.runs();
    for entry in [first, second, first, second] {
        let answer = post(&caller, entry, "place", &headers);
        assert_eq!(
            (outcome(&answer), answer.body().as_ref()),
            ("answered", b"lamp".as_slice())
        );
    }
    assert_eq!(fleet.runs(), runs_before + 1, "the order ran once");
}

/// Guards against a graceful stop that interrupts requests, loses tickets or does not hand over
/// groups.
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
        &[NOT_REPEATABLE, ("x-ticket", &used)],
    );
    assert_eq!(outcome(&order), "answered");
    let to = leaving.caller();
    let slow = thread::spawn(move || post(&Caller::new(), to, "slow", &[REPEATABLE]));
    wait_until("the slow request", || fleet.slow_runs() == 1);
    assert!(leaving.stop(true), "the entry stops in time");
    assert_eq!(
        outcome(&slow.join().expect("the thread does not panic")),
        "answered"
    );
    let runs_before = fleet.runs();
    let other = daemons[0].caller();
    let repeated = post(
        &caller,
        other,
        "place",
        &[NOT_REPEATABLE, ("x-ticket", &used)],
    );
    assert_eq!(
        outcome(&repeated),
        "answered",
        "the retained answer is replayed"
    );
    assert_eq!(fleet.runs(), runs_before, "the order did not run again");
    let unused_answer = post(
        &caller,
        other,
        "place",
        &[NOT_REPEATABLE, ("x-ticket", &unused)],
    );
    assert_eq!(
        outcome(&unused_answer),
        "answered",
        "the successor runs unused tickets"
    );
    wait_until("all targets", || {
        let status = call_operator(&daemons[0], "status", Action::Status { job: None });
        let Reply::Status(status) = status else {
            return false;
        };
        let own = |owner: &Option<Name>| owner.as_deref() == Some("entry-2");
        status.workers.len() == 2 && status.workers.iter().all(|worker| own(&worker.owner))
    });
}

/// Guards against an abrupt stop that still answers requests in flight, or that blocks the process.
#[test]
fn a_crash_breaks_connections() {
    let fleet = Fleet::start(2);
    let mut daemons = start(&fleet, &["entry-1"]);
    let daemon = daemons.remove(0);
    let to = daemon.caller();
    let slow = thread::spawn(move || {
        let caller = Caller::new();
        caller.send(to, "POST", "/call/orders/slow", &[REPEATABLE], "lamp")
    });
    wait_until("the slow request", || fleet.slow_runs() == 1);
    assert!(daemon.stop(false));
    let broken = slow.join().expect("the thread does not panic");
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
    let reply = call_operator(&daemons[1], "second", change(1, 200));
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
    assert_eq!(
        call_operator(&daemons[0], "third", change(1, 300)),
        conflict
    );
    let missing = Action::Cancel {
        job: Name::try_from("no-such-job").expect("the name is valid"),
    };
    let refused = Reply::Refused(Refusal::Missing);
    assert_eq!(call_operator(&daemons[0], "fourth", missing), refused);
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
        let mut client = Client::connect(&spawner, daemons[1].operator(), TIMEOUT).await?;
        client.timeline(&filter, false).await
    }));
    let timeline = timeline.expect("the entry answers");
    assert_eq!(timeline.missing, Vec::<String>::new());
    let order = timeline
        .events
        .iter()
        .map(|event| (event.lamport, &*event.entry));
    let order: Vec<_> = order.collect();
    assert!(order.is_sorted(), "{order:?}");
    let entries: Vec<_> = order.iter().map(|(_, entry)| *entry).collect();
    assert_eq!(
        entries,
        ["entry-1", "entry-2"],
        "events are in causal order"
    );
}

/// Guards against an accepted job whose tasks do not all run, or whose status counts them wrongly.
#[test]
fn a_submitted_job_is_done() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1", "entry-2"]);
    let name = |raw| Name::try_from(raw).expect("the name is valid");
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
        call_operator(&daemons[0], "submit", submit.clone()),
        Reply::Accepted
    );
    let repeated = call_operator(&daemons[1], "submit", submit);
    assert_eq!(repeated, Reply::Accepted, "the same call again is harmless");
    wait_until("the job", || {
        let job = Some(name("job-1"));
        let Reply::Status(status) = call_operator(&daemons[1], "status", Action::Status { job })
        else {
            return false;
        };
        let done = status.jobs.iter().map(|job| job.done).sum::<u32>();
        assert!(done <= 20, "{done} tasks of 20 are done");
        done == 20
    });
}

/// Guards against lost answers when a target becomes unresponsive, and against a request that must
/// not be repeated but is sent to another target after it.
#[test]
fn an_unresponsive_target_loses_no_answers() {
    let fleet = Fleet::start(2);
    let daemons = start(&fleet, &["entry-1"]);
    let (to, caller) = (daemons[0].caller(), Caller::new());
    // The retry budget is a tenth of first attempts, so these requests provide the retries that are
    // needed below.
    for _ in 0..100 {
        assert_eq!(
            outcome(&post(&caller, to, "place", &[REPEATABLE])),
            "answered"
        );
    }
    fleet.make_unresponsive(0);
    let mut unknown = 0;
    for _ in 0..8 {
        let repeated = post(&caller, to, "place", &[REPEATABLE]);
        assert_eq!(outcome(&repeated), "answered", "another target serves it");
        let runs_before = fleet.runs();
        let ticket = ticket(&caller, to);
        let once = post(
            &caller,
            to,
            "place",
            &[NOT_REPEATABLE, ("x-ticket", &ticket)],
        );
        assert!(
            fleet.runs() <= runs_before + 1,
            "the order ran at most once"
        );
        unknown += u32::from(outcome(&once) == "unknown");
    }
    assert!(
        unknown < 8,
        "requests are no longer sent to the unresponsive target"
    );
}
