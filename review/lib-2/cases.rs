//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::route;
use crate::record::Record;
use crate::worker::Behave;
use crate::worker::Behaviour;

/// `finish_s` and the 3 s in which a job may have nothing running, in ms.
const FINISH: u64 = 14_000;
const IDLE: u64 = 3_000;

fn plain(work: u64) -> Behave {
    Arc::new(move |_| Behaviour {
        work: Some(work),
        fails: false,
        tail: 0.0,
        disturbs: 0.0,
        uses: 1_000.0,
    })
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A configuration drops the route of a job that is at work on its first step.
pub fn dropped_route(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let fleet = Fleet::start(Arc::clone(record), 3, 8, None, &plain(2_500));
    let (batch, other) = (
        route("r-batch", "/batch/", 3),
        route("r-other", "/other/", 3),
    );
    fleet.configure(1, vec![batch.clone(), other.clone()]);
    if !fleet.is_served("/batch/") {
        return Verdict::NotRun;
    }
    let (id, path) = ("5c0e7a21d94b36f8", "/batch/5c0e7a21d94b36f8");
    let step = r#"{"count":2,"cpu":1000,"memMb":256,"estimateMs":2500}"#;
    let next = r#"{"count":2,"cpu":1000,"memMb":256,"estimateMs":2500,"after":[0]}"#;
    let body = format!(r#"{{"taskSpec":"two steps","steps":[{step},{next}]}}"#);
    if !fleet.submit(path, &body) {
        return Verdict::NotRun;
    }
    let names = |step: u32| [format!("{id}.0.{step}.0"), format!("{id}.0.{step}.1")];
    let (first, second) = (names(0), names(1));
    let is_any_of =
        |fleet: &Fleet, names: &[String; 2]| names.iter().any(|it| fleet.find(it).is_some());
    if !fleet.wait(5_000, |fleet| {
        first.iter().all(|it| fleet.find(it).is_some())
    }) {
        return Verdict::NotRun;
    }
    if has_trouble {
        fleet.configure(2, vec![other]);
    } else {
        fleet.configure(2, vec![batch, other, route("r-more", "/more/", 3)]);
    }
    // The first step goes on to its end.
    if !fleet.wait(10_000, |fleet| !is_any_of(fleet, &first)) {
        return Verdict::NotRun;
    }
    record.line("the first step has ended; the second one's turn has come");
    let has_begun = fleet.wait(FINISH + IDLE, |fleet| is_any_of(fleet, &second));
    fleet.state(path);
    if !has_begun {
        record.line("nothing of the job ran for 17 s, with all 8 workers empty");
        return Verdict::Broken;
    }
    let is_completed = fleet.wait(20_000, |fleet| {
        pause(500);
        fleet.state(path).as_deref() == Some("completed")
    });
    if is_completed {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}

/// Two workers crash, one after the other, each soon after it has begun the same task of a service
/// that is to run until it is cancelled.
pub fn crashed_workers(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const COUNT: usize = 6;
    let behave: Behave = Arc::new(|_| Behaviour {
        work: None,
        fails: false,
        tail: 0.0,
        disturbs: 0.0,
        uses: 1_000.0,
    });
    let fleet = Fleet::start(Arc::clone(record), 3, 8, None, &behave);
    fleet.configure(1, vec![route("r-live", "/live/", 3)]);
    if !fleet.is_served("/live/") {
        return Verdict::NotRun;
    }
    let (id, path) = ("5c0e7a21d94b36f8", "/live/5c0e7a21d94b36f8");
    let step = r#"{"count":6,"cpu":1000,"memMb":256,"longRunning":true,"antiAffinity":1}"#;
    if !fleet.submit(
        path,
        &format!(r#"{{"taskSpec":"a service","steps":[{step}]}}"#),
    ) {
        return Verdict::NotRun;
    }
    let task = format!("{id}.0.0.0");
    let at_work = |fleet: &Fleet| {
        let tasks = (0..COUNT).map(|n| format!("{id}.0.0.{n}"));
        tasks.filter(|task| fleet.find(task).is_some()).count()
    };
    if !fleet.wait(5_000, |fleet| at_work(fleet) == COUNT) {
        return Verdict::NotRun;
    }
    if has_trouble {
        for _ in 0..2 {
            if !fleet.wait(20_000, |fleet| fleet.find(&task).is_some()) {
                break;
            }
            pause(300);
            let Some((worker, _)) = fleet.find(&task) else {
                break;
            };
            fleet.workers[worker].crash();
            // Its address is used again later than `addrReuseS`.
            pause(2_500);
            fleet.workers[worker].start();
        }
    }
    let mut state = String::new();
    fleet.wait(30_000, |fleet| {
        pause(1_000);
        state = fleet.state(path).unwrap_or_default();
        matches!(state.as_str(), "completed" | "failed" | "cancelled")
    });
    pause(2_000);
    let left = at_work(&fleet);
    record.line(&format!(
        "the service is shown as {state}; {left} of its {COUNT} tasks are at work"
    ));
    match state.as_str() {
        "failed" => {
            record.line("no worker has listed an end failed, and nobody has cancelled the service");
            Verdict::Broken
        }
        "running" if left == COUNT => Verdict::Held,
        _ => Verdict::NotRun,
    }
}
