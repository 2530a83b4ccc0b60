//! Real entries under faults from outside: signals and proxies in front of the store and workers.

use std::env;
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fleet::Entry;
use crate::fleet::Fleet;
use crate::fleet::wait;
use crate::proxy::Mode;

/// Seeds played when `SOAK_SEEDS` does not say how many.
const SEEDS: u64 = 2;
const ROUNDS: usize = 6;
const JOBS_A_ROUND: usize = 3;
const NAMES: [&str; 3] = ["a", "b", "c"];
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
        let entries: Vec<Entry> = NAMES.iter().map(|name| fleet.entry(name)).collect();
        for entry in &entries {
            wait("readiness", 10_000, || {
                fleet.send(entry.ready, "GET", "/readiness", "").0 == 200
            });
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

    /// Hands a job in at any entry until one accepts it.
    fn submit(&mut self) {
        let id = format!("{:016x}", 0xa000 + self.jobs.len());
        let path = format!("/q/{id}");
        wait("acceptance", 40_000, || {
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
        self.entries[index] = self.fleet.entry(NAMES[index]);
    }

    fn fault(&mut self) {
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

    fn play(&mut self, seed: u64) {
        for _ in 0..ROUNDS {
            for _ in 0..JOBS_A_ROUND {
                self.submit();
            }
            self.fault();
            self.fleet.assert_kept();
        }
        let to = self.entries[0].customer;
        for job in &self.jobs {
            let what = format!("seed {seed}: completion of {job}");
            wait(&what, 60_000, || self.fleet.state(to, job) == "completed");
        }
        self.fleet.assert_kept();
    }
}

#[test]
fn promises_hold_in_real_processes_under_faults() {
    let seeds = env::var("SOAK_SEEDS").ok();
    let seeds = seeds.and_then(|raw| raw.parse().ok()).unwrap_or(SEEDS);
    let first = env::var("SOAK_FIRST").ok();
    let first: u64 = first.and_then(|raw| raw.parse().ok()).unwrap_or(1);
    for seed in first..first + seeds {
        eprintln!("soak seed {seed}");
        Soak::start(seed).play(seed);
    }
}
