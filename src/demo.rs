//! A demo of three entries with stand-ins for everything else, in one process on loopback.

pub mod fleet;
mod setup;
pub mod shop;
mod step;
pub mod summary;
mod watch;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use decision::clock::Ms;
use decision::name::Name;
use history::Fact;
use history::Life;
use link::Spawner;
use link::pool;
use link::pool::Pool;
use quick_error::quick_error;

use self::fleet::Fleet;
use self::setup::name;
use self::setup::settings;
use self::shop::Endpoint;
use self::shop::Shop;
use self::summary::Summary;
use self::watch::Watch;
use crate::daemon;
use crate::daemon::Daemon;
use crate::settings;

const ENTRY_COUNT: usize = 3;
const CALLER_COUNT: u64 = 12;

/// The time that entries have to become ready, and for which an operator call is repeated.
const READY_TIMEOUT: Ms = Ms(10_000);

/// The time that batch work has to end after the last request.
const BATCH_TIMEOUT: Ms = Ms(60_000);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a demo could not be run.
    #[derive(Debug)]
    pub enum Error {
        /// The platform or a worker could not start.
        Fleet(error: std::io::Error) {
            from()
            display("stand-ins: {}", error)
        }
        /// An entry could not start.
        Entry(error: daemon::Error) {
            from()
            display("entry: {}", error)
        }
        /// The generated settings of an entry are wrong.
        Settings(error: settings::Error) {
            from()
            display("settings: {}", error)
        }
        /// An operator call failed without a result.
        Call(error: operator::client::Error) {
            from()
            display("operator call: {}", error)
        }
        /// A step of the demo had an unexpected result.
        Step(what: String) {
            display("{}", what)
        }
    }
}

/// The options of a demo.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long callers send requests, at least 2 s.
    pub duration: Ms,
    /// The seed from which service times, run times and bodies are derived.
    pub seed: u64,
}

/// Runs the demo and summarises the history that callers and stand-ins recorded.
///
/// # Errors
///
/// Returns an error when the demo could not be run. Violations are part of the summary instead.
pub fn run(options: Options) -> Result<Summary, Error> {
    let mut demo = Demo::start(options)?;
    demo.configure(0, 1_000)?;
    demo.start_callers();
    demo.wait_until(options.duration, 10);
    demo.submit()?;
    demo.wait_until(options.duration, 30);
    demo.configure(1, 2_000)?;
    demo.wait_until(options.duration, 45);
    demo.drain()?;
    demo.wait_until(options.duration, 65);
    demo.stop_entry(ENTRY_COUNT - 1)?;
    demo.wait_until(options.duration, 100);
    demo.finish()
}

struct Entry {
    name: Name,
    daemon: Option<Daemon>,
}

struct Demo {
    options: Options,
    fleet: Fleet,
    entries: Vec<Entry>,
    shop: Arc<Shop>,
    spawner: Spawner,
    callers: Vec<smol::Task<()>>,
    watch: Watch,
    started_at: Ms,
    calls: u32,
}

impl Demo {
    fn start(options: Options) -> Result<Self, Error> {
        let fleet = smol::block_on(Fleet::start(options.seed))?;
        let spawner = Spawner::default();
        for _ in 0..2 {
            let spawner = Arc::clone(&spawner);
            thread::spawn(move || smol::block_on(spawner.run(smol::future::pending::<()>())));
        }
        let mut entries: Vec<Entry> = Vec::new();
        for number in 0..ENTRY_COUNT {
            let seeds = entries.iter().filter_map(|entry| entry.daemon.as_ref());
            let seeds: Vec<String> = seeds.map(|daemon| daemon.peer().to_string()).collect();
            let name = name(&format!("entry-{number}"));
            let daemon = Daemon::start(settings(&name, number, &seeds, &fleet)?)?;
            let started = Fact::Entry {
                entry: name.clone(),
                life: Life::Started,
            };
            fleet.recorder.push(fleet.platform.now(), started);
            entries.push(Entry {
                name,
                daemon: Some(daemon),
            });
        }
        let shop = Arc::new(Shop {
            endpoints: Mutex::default(),
            platform: Arc::clone(&fleet.platform),
            recorder: Arc::clone(&fleet.recorder),
            pool: Pool::new(pool::Limits {
                max_idle: 64,
                ..pool::Limits::default()
            }),
            seed: options.seed,
        });
        let watched = entries
            .iter()
            .filter_map(|entry| Some((entry.name.clone(), entry.daemon.as_ref()?.operator())));
        let watch = Watch::start(&spawner, &fleet, watched.collect());
        let callers = Vec::new();
        let (started_at, calls) = (Ms::ZERO, 0);
        Ok(Self {
            options,
            fleet,
            entries,
            shop,
            spawner,
            callers,
            watch,
            started_at,
            calls,
        })
    }

    /// Starts the callers once all entries are ready.
    fn start_callers(&mut self) {
        self.wait(READY_TIMEOUT, |demo| {
            demo.live_entries().all(|(_, daemon)| daemon.ready())
        });
        let endpoints = self.live_entries().map(|(name, daemon)| Endpoint {
            entry: name.clone(),
            address: daemon.caller(),
        });
        *self
            .shop
            .endpoints
            .lock()
            .expect("no holder of this lock panics") = endpoints.collect();
        self.started_at = self.now();
        let end = self.started_at + self.options.duration;
        for caller in 0..CALLER_COUNT {
            let caller_task = Arc::clone(&self.shop).run_caller(caller, end);
            self.callers.push(self.spawner.spawn(caller_task));
        }
    }

    fn finish(mut self) -> Result<Summary, Error> {
        for caller in self.callers.drain(..) {
            smol::block_on(caller);
        }
        let done = |demo: &Self| {
            let log = demo.fleet.recorder.log();
            let summary = Summary::from(&*log);
            summary.batch_done >= summary.batch_submitted
        };
        if self.wait(BATCH_TIMEOUT, done) {
            self.record(Fact::Settled);
        }
        self.watch.stop();
        for index in 0..self.entries.len() {
            self.stop_entry(index)?;
        }
        let log = self.fleet.recorder.log();
        Ok(Summary::from(&*log))
    }

    fn live_entries(&self) -> impl Iterator<Item = (&Name, &Daemon)> {
        self.entries
            .iter()
            .filter_map(|entry| Some((&entry.name, entry.daemon.as_ref()?)))
    }

    fn record(&self, fact: Fact) {
        self.fleet.recorder.push(self.now(), fact);
    }

    fn now(&self) -> Ms {
        self.fleet.platform.now()
    }

    /// Waits until `percent` of the duration have passed since the callers started.
    fn wait_until(&self, duration: Ms, percent: u64) {
        let until = self.started_at + Ms(duration.0 * percent / 100);
        thread::sleep(Duration::from_millis(until.since(self.now()).0));
    }

    /// Waits up to `limit` for a condition and returns whether it holds.
    fn wait(&self, limit: Ms, condition: impl Fn(&Self) -> bool) -> bool {
        let until = self.now() + limit;
        while self.now() < until {
            if condition(self) {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        condition(self)
    }
}
