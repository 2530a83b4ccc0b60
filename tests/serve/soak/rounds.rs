//! A randomised test of real entries under faults: signals to entries, and stalled or closed
//! connections to the store and workers.

use std::env;
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::entry::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::proxy::Mode;

/// The number of seeds that run if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: u64 = 2;
const ROUNDS: usize = 6;
const JOBS_PER_ROUND: usize = 3;
const ENTRY_NAMES: [&str; 3] = ["a", "b", "c"];
const JOB: &str = r#"{"taskSpec":"x","steps":[
    {"count":4,"cpu":500,"memMb":100,"estimateMs":150},
    {"count":2,"cpu":500,"memMb":100,"estimateMs":150,"after":[0]}]}"#;

struct Soak {
    fleet: Fleet,
    entries: Vec<Entry>,
    random: StdRng,
    jobs: Vec<String>,
}

impl Soak {
    fn start(seed: u64) -> Self {
        let fleet = Fleet::start(4);
        let entries: Vec<Entry> = ENTRY_NAMES.iter().map(|name| fleet.entry(name)).collect();
        for entry in &entries {
            fleet.wait_for_readiness(entry.ready, 10_000);
        }
        Self {
            fleet,
            entries,
            random: StdRng::seed_from_u64(seed),
            jobs: Vec::new(),
        }
    }

    fn pause(&mut self, least: u64, most: u64) {
        let time = self.random.random_range(least..most);
        thread::sleep(Duration::from_millis(time));
    }

    /// Submits a job at random entries until one accepts it.
    fn submit(&mut self) {
        let id = format!("{:016x}", 0xa000 + self.jobs.len());
        let path = format!("/q/{id}");
        wait_until("acceptance", 40_000, || {
            let index = self.random.random_range(0..self.entries.len());
            self.fleet
                .send(self.entries[index].customer, "POST", &path, JOB)
                .0
                == 200
        });
        self.jobs.push(id);
    }

    fn restart(&mut self, index: usize, signal: &str) {
        self.entries[index].signal(signal);
        self.entries[index].wait();
        self.entries[index] = self.fleet.entry(ENTRY_NAMES[index]);
    }

    fn inject_fault(&mut self) {
        let index = self.random.random_range(0..self.entries.len());
        match self.random.random_range(0..7) {
            0 => self.restart(index, "-KILL"),
            1 => self.restart(index, "-TERM"),
            2 => {
                self.entries[index].signal("-STOP");
                self.pause(500, 3_500);
                self.entries[index].signal("-CONT");
            }
            3 => self.disturb_store(Mode::Stall),
            4 => self.disturb_store(Mode::Reset),
            5 => self.disturb_worker(Mode::Stall),
            _ => self.disturb_worker(Mode::Reset),
        }
    }

    fn disturb_store(&mut self, mode: Mode) {
        self.fleet.store_proxy.set(mode);
        self.pause(300, 3_000);
        self.fleet.store_proxy.set(Mode::Pass);
    }

    fn disturb_worker(&mut self, mode: Mode) {
        let count = self.fleet.worker_proxies.len();
        let index = self.random.random_range(0..count);
        self.fleet.worker_proxies[index].set(mode);
        self.pause(300, 3_000);
        self.fleet.worker_proxies[index].set(Mode::Pass);
    }

    fn run(&mut self, seed: u64) {
        for _ in 0..ROUNDS {
            for _ in 0..JOBS_PER_ROUND {
                self.submit();
            }
            self.inject_fault();
            self.fleet.assert_no_violations();
        }
        let to = self.entries[0].customer;
        for job in &self.jobs {
            let what = format!("seed {seed}: completion of {job}");
            wait_until(&what, 60_000, || self.fleet.state(to, job) == "completed");
        }
        self.fleet.assert_no_violations();
    }
}

#[test]
fn promises_hold_in_real_processes_under_faults() {
    let seeds = env::var("SOAK_SEEDS").ok();
    let seeds = seeds
        .and_then(|raw| raw.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    let first = env::var("SOAK_FIRST").ok();
    let first: u64 = first.and_then(|raw| raw.parse().ok()).unwrap_or(1);
    for seed in first..first + seeds {
        eprintln!("soak seed {seed}");
        Soak::start(seed).run(seed);
    }
}
