//! Soaks of real entries under random faults: one of overlapping faults, whose promises are checked
//! while it runs, and one of single faults in rounds.
//!
//! `SOAK_SEEDS` and `SOAK_FIRST` select the seeds, `SOAK_SECONDS` the time in which faults begin,
//! `SOAK_ENTRIES` and `SOAK_WORKERS` the size, and `SOAK_PLAN` a file with the faults to play.

mod clients;
mod judge;
mod kept;
mod plan;
mod releases;
mod rounds;
mod site;
mod spec;
mod world;

use std::env;
use std::fs;
use std::path::Path;
use std::str::FromStr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use clients::Client;
use judge::Finding;
use judge::Judge;
use kept::Kept;
use plan::Fault;
use scheduler::id::Job;
use world::World;
use world::wait;

/// The number of seeds that run if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 2;
const DEFAULT_SECONDS: u64 = 28;
const DEFAULT_ENTRIES: usize = 5;
const DEFAULT_WORKERS: usize = 16;
/// The clients, for each worker of the fleet a part of one.
const WORKERS_PER_CLIENT: usize = 3;
/// The calm time after the last fault for which the clients go on, in ms.
const CALM_MS: u64 = 16_000;
/// The time after the traffic within which all accepted jobs complete, in ms.
const COMPLETION_MS: u64 = 90_000;
/// The time for which the workers are looked at after the last cancel, in ms.
const LAST_LOOK_MS: u64 = 4_500;
/// The most findings and log lines that a failure prints. The report holds all.
const MAX_PRINTED: usize = 12;
const MAX_PRINTED_LINES: usize = 60;

/// Returns the value of a variable of the environment, if it has one that can be read.
fn variable<T: FromStr>(name: &str, default: T) -> T {
    let raw = env::var(name).ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(default)
}

fn faults(seed: u64, entries: usize, workers: usize) -> Vec<Fault> {
    let Ok(file) = env::var("SOAK_PLAN") else {
        let length = variable("SOAK_SECONDS", DEFAULT_SECONDS) * 1_000;
        return plan::draw(seed, entries, workers, length);
    };
    let text = fs::read_to_string(&file).expect("the plan can be read");
    match plan::parse(&file, &text) {
        Ok(faults) => faults,
        Err(error) => panic!("{error}"),
    }
}

/// Plays the faults while clients submit jobs, and returns what the judge has found.
fn play(seed: u64, faults: &[Fault]) -> (Vec<Finding>, String) {
    let entries = variable("SOAK_ENTRIES", DEFAULT_ENTRIES);
    let workers = variable("SOAK_WORKERS", DEFAULT_WORKERS);
    let judge = Judge::new(faults.to_vec());
    let world = World::start(seed, entries, workers, judge);
    let end = faults.iter().map(Fault::end).max().unwrap_or(0) + CALM_MS;
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..workers.div_ceil(WORKERS_PER_CLIENT) {
            let mut client = Client::new(&world, seed, number as u64);
            let is_over = &is_over;
            scope.spawn(move || client.run(is_over));
        }
        for entry in 0..entries {
            let mut client = Kept::new(&world, seed, entry);
            let is_over = &is_over;
            scope.spawn(move || client.run(is_over));
        }
        scope.spawn(|| world.read_metrics(&is_over));
        for fault in faults {
            wait(fault.at.saturating_sub(world.site.now()));
            scope.spawn(|| world.play(fault));
        }
        wait(end.saturating_sub(world.site.now()));
        is_over.store(true, Ordering::SeqCst);
    });
    complete(&world, seed);
    let summary = summarise(&world, seed);
    let findings = world.site.settled().0.judge.findings.clone();
    let report = report(&world, &findings);
    (findings, format!("{summary}\n{report}"))
}

/// Cancels what lasts and waits until all that is owed is completed.
fn complete(world: &World, seed: u64) {
    let mut client = Client::new(world, seed, 0xff);
    let lasting: Vec<Job> = {
        let (hosts, _) = world.site.settled();
        let jobs = hosts.judge.jobs.iter();
        let lasting = jobs.filter(|(_, known)| known.accepted.is_some() && known.spec.is_lasting());
        lasting.map(|(job, _)| *job).collect()
    };
    for job in lasting {
        client.cancel(job);
    }
    let cancelled_at = world.site.now();
    loop {
        let (hosts, now) = world.site.settled();
        let owed = hosts.judge.owed();
        drop(hosts);
        let is_late = now > cancelled_at + COMPLETION_MS;
        if is_late || owed.is_empty() && now > cancelled_at + LAST_LOOK_MS {
            break;
        }
        for job in owed {
            client.ask(job);
        }
        wait(200);
    }
    let ended = world.ended_entries();
    let early = world.early_releases();
    let (mut hosts, now) = world.site.settled();
    hosts.judge.end(now);
    for finding in early {
        hosts.judge.find(finding.rule, finding.job, finding.text);
    }
    for name in ended {
        let text = format!("{now} the process of {name} has ended by itself");
        let job = Job::default();
        hosts.judge.findings.push(Finding {
            rule: "FAULT",
            job,
            text,
        });
    }
}

fn summarise(world: &World, seed: u64) -> String {
    let (hosts, now) = world.site.settled();
    let (starts, done) = hosts.judge.counts();
    let jobs = hosts.judge.jobs.values();
    let accepted = jobs.filter(|known| known.accepted.is_some()).count();
    let mut rules: Vec<&str> = hosts
        .judge
        .findings
        .iter()
        .map(|finding| finding.rule)
        .collect();
    rules.sort_unstable();
    let rules: Vec<String> = rules
        .chunk_by(|one, other| one == other)
        .map(|same| format!("{} {}", same[0], same.len()))
        .collect();
    format!(
        "soak seed {seed}: {now} ms, {accepted} jobs accepted, {starts} starts, {done} done, \
         {} answers on kept connections, {} of stopping entries, found {rules:?}",
        hosts.judge.kept_answers, hosts.judge.stopping_answers
    )
}

/// Returns the findings, and the log lines that name their jobs.
fn report(world: &World, findings: &[Finding]) -> String {
    let texts = findings
        .iter()
        .map(|finding| format!("{} {}\n", finding.rule, finding.text));
    let jobs = findings.iter().map(|finding| finding.job.to_string());
    let mut jobs: Vec<String> = jobs.collect();
    jobs.dedup();
    let lines = if jobs.is_empty() {
        Vec::new()
    } else {
        world.log_lines(&jobs)
    };
    format!("{}\n{}\n", texts.collect::<String>(), lines.join("\n"))
}

fn run_seed(seed: u64) -> bool {
    let entries = variable("SOAK_ENTRIES", DEFAULT_ENTRIES);
    let workers = variable("SOAK_WORKERS", DEFAULT_WORKERS);
    let faults = faults(seed, entries, workers);
    let (findings, report) = play(seed, &faults);
    let summary = report.lines().next().unwrap_or_default();
    eprintln!("{summary}");
    if findings.is_empty() {
        return true;
    }
    let plan = plan::to_text(&faults);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}.txt"));
    fs::write(&file, format!("{report}\nplan of seed {seed}:\n{plan}")).expect("it can be written");
    for finding in findings.iter().take(MAX_PRINTED) {
        eprintln!("{} {}", finding.rule, finding.text);
    }
    let lines: Vec<&str> = report.lines().skip(findings.len() + 2).collect();
    eprintln!("{}", lines[..lines.len().min(MAX_PRINTED_LINES)].join("\n"));
    eprintln!("plan of seed {seed}, all in {}:\n{plan}", file.display());
    false
}

#[test]
fn promises_hold_under_overlapping_faults() {
    let first: u64 = variable("SOAK_FIRST", 1);
    let seeds = first..first + variable("SOAK_SEEDS", DEFAULT_SEEDS);
    let broken: Vec<u64> = seeds.filter(|seed| !run_seed(*seed)).collect();
    assert!(
        broken.is_empty(),
        "promises were broken in seeds {broken:?}"
    );
}
