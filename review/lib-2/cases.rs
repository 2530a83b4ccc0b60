//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::ranked_route;
use crate::fleet::route;
use crate::record::Record;
use crate::record::unix;
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

/// The two workers that the jobs of one queue need are lost for good. The jobs of another queue, which
/// comes after it, run anywhere.
pub fn behind_others(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const TRAFFIC: u64 = 60_000;
    const INTERVAL: u64 = 100;
    const WATCHED: u64 = 8_000;
    let fleet = Fleet::with_kinds(Arc::clone(record), 3, 15, 2, None, &plain(300));
    let labelled = &fleet.workers[..2];
    let (first, batch) = (
        ranked_route("r-first", "/first/", 3, 0),
        ranked_route("r-batch", "/batch/", 3, 2),
    );
    fleet.configure(1, vec![first, batch]);
    if !fleet.is_served("/batch/") {
        return Verdict::NotRun;
    }
    let step = r#"{"count":1,"cpu":200,"memMb":64,"estimateMs":300,"requirements":"b"}"#;
    let needy = format!(r#"{{"taskSpec":"b","steps":[{step},{step}]}}"#);
    let mut steps = vec![r#"{"count":1,"cpu":500,"memMb":64,"estimateMs":300}"#.to_owned()];
    steps.extend((0..4).map(|before| {
        format!(r#"{{"count":1,"cpu":500,"memMb":64,"estimateMs":300,"after":[{before}]}}"#)
    }));
    let chain = format!(r#"{{"taskSpec":"a","steps":[{}]}}"#, steps.join(","));
    let begin = record.now();
    let mut chains = Vec::new();
    for turn in 0..TRAFFIC / INTERVAL {
        pause((begin + turn * INTERVAL).saturating_sub(record.now()));
        if has_trouble && turn == 50 {
            labelled.iter().for_each(|worker| worker.crash());
        }
        let is_accepted = fleet.submit(&format!("/first/{:016x}", 0xa000_0000 + turn), &needy);
        if !is_accepted {
            return Verdict::NotRun;
        }
        if turn % 20 == 10 {
            let id = format!("{:016x}", 0xb000_0000 + turn);
            if !fleet.submit(&format!("/batch/{id}"), &chain) {
                return Verdict::NotRun;
            }
            chains.push(id);
        }
    }
    record.line("the traffic ends");
    pause(FINISH);
    let open: Vec<&String> = chains
        .iter()
        .filter(|id| fleet.state(&format!("/batch/{id}")).as_deref() != Some("completed"))
        .collect();
    let mut since = vec![record.now(); open.len()];
    let mut longest = vec![0; open.len()];
    fleet.wait(WATCHED, |fleet| {
        for ((id, since), longest) in open.iter().zip(&mut since).zip(&mut longest) {
            if (0..5).any(|step| fleet.find(&format!("{id}.0.{step}.0")).is_some()) {
                *since = record.now();
            }
            *longest = record.now().saturating_sub(*since).max(*longest);
        }
        false
    });
    let is_idle = |(id, longest): &(&&String, &u64)| {
        let path = format!("/batch/{id}");
        **longest >= IDLE && fleet.state(&path).as_deref() != Some("completed")
    };
    let idle = open.iter().zip(&longest).filter(is_idle).count();
    record.line(&format!(
        "of {} jobs of r-batch, which run on any worker, {} were not completed, and {idle} of these ran nothing for 3 s",
        chains.len(),
        open.len(),
    ));
    if idle > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The two workers on which the last step of a scheduled job can run are lost for good. The other steps
/// run anywhere.
pub fn held_occurrences(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const STEPS: usize = 40;
    const OCCURRENCES: usize = 40;
    const INTERVAL: u64 = 1_000;
    let fleet = Fleet::with_kinds(Arc::clone(record), 3, 15, 2, None, &plain(300));
    let labelled = &fleet.workers[..2];
    fleet.configure(1, vec![route("r-batch", "/batch/", 3)]);
    if !fleet.is_served("/batch/") {
        return Verdict::NotRun;
    }
    // A reading at each of 39 places, and a report of them on a worker of kind b.
    let last = STEPS - 1;
    let mut steps = vec![r#"{"count":1,"cpu":200,"memMb":64,"estimateMs":300}"#.to_owned(); last];
    let after: Vec<String> = (0..last).map(|step| step.to_string()).collect();
    steps.push(format!(
        r#"{{"count":1,"cpu":200,"memMb":64,"estimateMs":300,"requirements":"b","after":[{}]}}"#,
        after.join(",")
    ));
    let first_run = unix() + 3_000;
    let begins_at = record.now() + 3_000;
    let (id, path) = ("5c0e7a21d94b36f8", "/batch/5c0e7a21d94b36f8");
    let body = format!(
        r#"{{"taskSpec":"readings","repeatCount":{OCCURRENCES},"firstRunMs":{first_run},"intervalMs":{INTERVAL},"steps":[{}]}}"#,
        steps.join(",")
    );
    if !fleet.submit(path, &body) {
        return Verdict::NotRun;
    }
    let has_begun = |fleet: &Fleet, occurrence: usize| {
        let task = format!("{id}.{occurrence}.0.0");
        fleet.workers.iter().any(|worker| worker.has_begun(&task))
    };
    if !fleet.wait(20_000, |fleet| has_begun(fleet, 7)) {
        return Verdict::NotRun;
    }
    if has_trouble {
        labelled.iter().for_each(|worker| worker.crash());
    }
    let ends_at = begins_at + (OCCURRENCES as u64 - 1) * INTERVAL;
    record.line(&format!(
        "the last time is due at {}.{:03}",
        ends_at / 1_000,
        ends_at % 1_000
    ));
    pause((ends_at + FINISH).saturating_sub(record.now()));
    let is_idle = |fleet: &Fleet| fleet.workers.iter().all(|worker| worker.runs().is_empty());
    let waits = |fleet: &Fleet| (0..OCCURRENCES).filter(|&k| !has_begun(fleet, k)).count();
    let is_held = |fleet: &Fleet| {
        fleet.state(path);
        fleet.wait(IDLE, |fleet| !is_idle(fleet) || waits(fleet) == 0)
    };
    if is_held(&fleet) {
        return Verdict::Held;
    }
    let begun: Vec<usize> = (0..OCCURRENCES).filter(|&k| has_begun(&fleet, k)).collect();
    record.line(&format!(
        "nothing runs anywhere for 3 s; of {OCCURRENCES} times {} have begun ({:?} to {:?}), {} never did",
        begun.len(),
        begun.first(),
        begun.last(),
        waits(&fleet)
    ));
    Verdict::Broken
}

/// Two of fifteen workers begin another life, of a kind on which tasks that serve are slower, though
/// well within their limit.
pub fn other_kind(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let behave: Behave = Arc::new(|task| {
        let is_serving = task.starts_with('5') || task.starts_with('6');
        Behaviour {
            work: (!is_serving).then_some(2_000),
            fails: false,
            tail: if is_serving { 10.0 } else { 0.0 },
            disturbs: 0.0,
            uses: 1_000.0,
        }
    });
    let fleet = Fleet::start(Arc::clone(record), 3, 15, None, &behave);
    fleet.configure(
        1,
        vec![route("r-batch", "/batch/", 3), route("r-live", "/live/", 3)],
    );
    if !fleet.is_served("/batch/") {
        return Verdict::NotRun;
    }
    let step = r#"{"count":15,"cpu":2000,"memMb":256,"longRunning":true,"image":"img-s","targetMs":45,"antiAffinity":1}"#;
    let services = ["5c0e7a21d94b36f8", "6c0e7a21d94b36f8"];
    for id in services {
        if !fleet.submit(
            &format!("/live/{id}"),
            &format!(r#"{{"taskSpec":"s","steps":[{step}]}}"#),
        ) {
            return Verdict::NotRun;
        }
    }
    let at_work = |fleet: &Fleet| {
        let tasks = services
            .iter()
            .flat_map(|id| (0..15).map(move |n| format!("{id}.0.0.{n}")));
        tasks.filter(|task| fleet.find(task).is_some()).count()
    };
    if !fleet.wait(10_000, |fleet| at_work(fleet) == 30) {
        return Verdict::NotRun;
    }
    pause(6_000);
    for worker in &fleet.workers[..2] {
        worker.crash();
    }
    pause(2_500);
    for worker in &fleet.workers[..2] {
        *worker.kind.lock().expect("lock") = "b".into();
        if has_trouble {
            *worker.slowness.lock().expect("lock") = 2.5;
        }
        worker.start();
    }
    record.line(&format!(
        "w0 and w1 are of kind b now, on which a task that serves has a tail of {} ms; its targetMs is 45",
        if has_trouble { 25 } else { 10 }
    ));
    if !fleet.wait(30_000, |fleet| at_work(fleet) == 30) {
        record.line(&format!(
            "only {} of 30 tasks that serve are at work",
            at_work(&fleet)
        ));
    }
    pause(8_000);
    let (id, path) = ("98ce7a21d94b36f8", "/batch/98ce7a21d94b36f8");
    let step = r#"{"count":1,"cpu":1000,"memMb":256,"estimateMs":2000,"requirements":"b"}"#;
    if !fleet.submit(path, &format!(r#"{{"taskSpec":"x","steps":[{step}]}}"#)) {
        return Verdict::NotRun;
    }
    let task = format!("{id}.0.0.0");
    if fleet.wait(FINISH + IDLE, |fleet| fleet.find(&task).is_some()) {
        return Verdict::Held;
    }
    record.line("nothing of the job ran for 17 s; each of the two workers of kind b has 12 of 16 cores free");
    let is_begun = fleet.wait(20_000, |fleet| fleet.find(&task).is_some());
    record.line(&format!("begun within 20 s more: {is_begun}"));
    fleet.state(path);
    Verdict::Broken
}

/// Four of 24 workers are slow for a few seconds while tasks that fill begin there.
pub fn slow_workers(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const SERVING: &str = "5c0e7a21d94b36f8";
    let behave: Behave = Arc::new(|task| {
        let is_serving = task.starts_with(SERVING);
        Behaviour {
            work: (!is_serving).then_some(10_000),
            fails: false,
            tail: if is_serving { 10.0 } else { 0.0 },
            disturbs: if is_serving { 0.0 } else { 0.4 },
            uses: 8_000.0,
        }
    });
    let fleet = Fleet::start(Arc::clone(record), 3, 24, None, &behave);
    fleet.configure(
        1,
        vec![route("r-batch", "/batch/", 3), route("r-live", "/live/", 3)],
    );
    if !fleet.is_served("/batch/") {
        return Verdict::NotRun;
    }
    let serving = r#"{"count":24,"cpu":2000,"memMb":256,"longRunning":true,"image":"img-s","targetMs":45,"antiAffinity":1}"#;
    let body = format!(r#"{{"taskSpec":"s","steps":[{serving}]}}"#);
    if !fleet.submit(&format!("/live/{SERVING}"), &body) {
        return Verdict::NotRun;
    }
    let is_live =
        |fleet: &Fleet| (0..24).all(|n| fleet.find(&format!("{SERVING}.0.0.{n}")).is_some());
    if !fleet.wait(10_000, is_live) {
        return Verdict::NotRun;
    }
    pause(6_000);
    let step = r#"{"count":4,"cpu":8000,"memMb":256,"estimateMs":10000,"fills":true,"image":"img-f","antiAffinity":1}"#;
    let body = format!(r#"{{"taskSpec":"f","steps":[{step}]}}"#);
    // The workers on which the first job will begin.
    let slow = [6, 7, 8, 9].map(|n: usize| &fleet.workers[n]);
    if has_trouble {
        record.line("w6 to w9 turn slow: all takes 6.5 times as long");
        for worker in slow {
            *worker.slowness.lock().expect("lock") = 6.5;
        }
    }
    let begins = |id: &str, limit: u64| {
        let is_accepted = fleet.submit(&format!("/batch/{id}"), &body);
        let is_begun =
            |fleet: &Fleet| (0..4).any(|n| fleet.find(&format!("{id}.0.0.{n}")).is_some());
        is_accepted.then(|| fleet.wait(limit, is_begun))
    };
    let (first, second) = ("77aa7a21d94b36f8", "88aa7a21d94b36f8");
    if begins(first, 10_000) != Some(true) {
        return Verdict::NotRun;
    }
    pause(6_000);
    fleet.call(0, "DELETE", &format!("/batch/{first}"), "");
    pause(800);
    for worker in slow {
        *worker.slowness.lock().expect("lock") = 1.0;
    }
    record.line("all workers are sound");
    pause(6_000);
    match begins(second, FINISH + IDLE) {
        None => Verdict::NotRun,
        Some(true) => Verdict::Held,
        Some(false) => {
            record.line(
                "nothing of the second job ran for 17 s; each worker has 14 of 16 cores free",
            );
            let is_begun = |fleet: &Fleet| fleet.find(&format!("{second}.0.0.0")).is_some();
            let is_begun = fleet.wait(30_000, is_begun);
            record.line(&format!("begun within 30 s more: {is_begun}"));
            fleet.state(&format!("/batch/{second}"));
            Verdict::Broken
        }
    }
}

/// Workers refuse orders on the pace of tasks for a few seconds, in which tasks that fill may go on.
pub fn lost_pace(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const SERVING: &str = "5c0e7a21d94b36f8";
    const FILLING: &str = "77aa7a21d94b36f8";
    let behave: Behave = Arc::new(|task| {
        let is_serving = task.starts_with(SERVING);
        Behaviour {
            work: (!is_serving).then_some(8_000),
            fails: false,
            tail: if is_serving { 10.0 } else { 0.0 },
            disturbs: if is_serving { 0.0 } else { 0.4 },
            uses: 8_000.0,
        }
    });
    let fleet = Fleet::start(Arc::clone(record), 3, 12, None, &behave);
    fleet.configure(
        1,
        vec![route("r-batch", "/batch/", 3), route("r-live", "/live/", 3)],
    );
    if !fleet.is_served("/batch/") {
        return Verdict::NotRun;
    }
    let serving = r#"{"count":12,"cpu":2000,"memMb":256,"longRunning":true,"image":"img-s","targetMs":45,"antiAffinity":1}"#;
    let filling = r#"{"count":2,"cpu":8000,"memMb":256,"estimateMs":8000,"fills":true,"image":"img-f","antiAffinity":1}"#;
    let body = |step: &str| format!(r#"{{"taskSpec":"x","steps":[{step}]}}"#);
    if !fleet.submit(&format!("/live/{SERVING}"), &body(serving)) {
        return Verdict::NotRun;
    }
    let is_live =
        |fleet: &Fleet| (0..12).all(|n| fleet.find(&format!("{SERVING}.0.0.{n}")).is_some());
    if !fleet.wait(10_000, is_live) {
        return Verdict::NotRun;
    }
    pause(6_000);
    let path = format!("/batch/{FILLING}");
    if !fleet.submit(&path, &body(filling)) {
        return Verdict::NotRun;
    }
    let paces = |fleet: &Fleet| -> Vec<(usize, f64)> {
        let found = (0..2).filter_map(|n| {
            let task = format!("{FILLING}.0.0.{n}");
            let (worker, _) = fleet.find(&task)?;
            let runs = fleet.workers[worker].runs();
            let run = runs.into_iter().find(|run| run.0 == task)?;
            Some((worker, run.2))
        });
        found.collect()
    };
    if !fleet.wait(5_000, |fleet| paces(fleet).len() == 2) {
        return Verdict::NotRun;
    }
    pause(1_000);
    let hosts: Vec<usize> = paces(&fleet).iter().map(|&(worker, _)| worker).collect();
    record.line(&format!(
        "workers {hosts:?} turn slow: all takes 6.5 times as long"
    ));
    for &host in &hosts {
        *fleet.workers[host].slowness.lock().expect("lock") = 6.5;
    }
    let are_halted = |fleet: &Fleet| {
        let paces = paces(fleet);
        !paces.is_empty() && paces.iter().all(|&(_, pace)| pace == 0.0)
    };
    if !fleet.wait(5_000, are_halted) {
        return Verdict::NotRun;
    }
    for &host in &hosts {
        *fleet.workers[host].refuses_pace.lock().expect("lock") = has_trouble;
    }
    fleet.call(0, "DELETE", &format!("/live/{SERVING}"), "");
    pause(3_000);
    for &host in &hosts {
        *fleet.workers[host].refuses_pace.lock().expect("lock") = false;
        *fleet.workers[host].slowness.lock().expect("lock") = 1.0;
    }
    record.line("all workers are sound");
    let is_completed = fleet.wait(60_000, |fleet| {
        pause(2_000);
        fleet.state(&path).as_deref() == Some("completed")
    });
    record.line(&format!("paces at the end: {:?}", paces(&fleet)));
    if is_completed {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
