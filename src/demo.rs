//! A demo of three entries with stand-ins for everything else, in one process on loopback.

pub mod fleet;
pub mod shop;
pub mod summary;
mod watch;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use decision::clock::Ms;
use decision::config::Document;
use decision::config::Limits;
use decision::config::Service;
use decision::config::Team;
use decision::config::Version;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Job;
use decision::operator::Reply;
use decision::resource::Size;
use history::Fact;
use history::Life;
use link::Spawner;
use link::pool;
use link::pool::Pool;
use operator::client::Client;
use quick_error::quick_error;

use self::fleet::Fleet;
use self::shop::Door;
use self::shop::Shop;
use self::summary::Summary;
use self::watch::Watch;
use crate::daemon;
use crate::daemon::Daemon;
use crate::settings;
use crate::settings::Settings;

const ENTRIES: usize = 3;
const CALLERS: u64 = 12;
const TASKS: u32 = 48;
const CALL_TIME: Duration = Duration::from_millis(12_000);
const START_TIME: Ms = Ms(10_000);
/// Time for batch work to end after the last request.
const BATCH_TIME: Ms = Ms(60_000);
const POLL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why a demo could not be carried out.
    #[derive(Debug)]
    pub enum Error {
        /// A stand-in could not start.
        Fleet(error: std::io::Error) {
            from()
            display("stand-ins: {}", error)
        }
        /// An entry could not start.
        Entry(error: daemon::Error) {
            from()
            display("entry: {}", error)
        }
        /// The settings made for an entry are wrong.
        Settings(error: settings::Error) {
            from()
            display("settings: {}", error)
        }
        /// An operator's call got no result.
        Call(error: operator::client::Error) {
            from()
            display("operator's call: {}", error)
        }
        /// A step did not go as it must.
        Step(what: String) {
            display("{}", what)
        }
    }
}

/// How long to run, and with which randomness.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// How long callers send requests.
    pub duration: Ms,
    /// Selects service times, run times and bodies.
    pub seed: u64,
}

/// Runs the demo and sums up what callers and stand-ins saw.
///
/// # Errors
///
/// When it could not be carried out; broken promises are part of the summary.
pub fn run(options: Options) -> Result<Summary, Error> {
    let mut demo = Demo::start(options)?;
    demo.configure(0, 1_000)?;
    demo.open();
    demo.wait_until(options.duration, 10);
    demo.submit()?;
    demo.wait_until(options.duration, 30);
    demo.configure(1, 2_000)?;
    demo.wait_until(options.duration, 45);
    demo.drain()?;
    demo.wait_until(options.duration, 65);
    demo.stop_entry(ENTRIES - 1)?;
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
    opened: Ms,
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
        for number in 0..ENTRIES {
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
            doors: Mutex::default(),
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
        let (opened, calls) = (Ms::ZERO, 0);
        Ok(Self {
            options,
            fleet,
            entries,
            shop,
            spawner,
            callers,
            watch,
            opened,
            calls,
        })
    }

    /// Lets callers in, as soon as the entries say that they are ready.
    fn open(&mut self) {
        self.wait(START_TIME, |demo| {
            demo.live().all(|(_, daemon)| daemon.ready())
        });
        let doors = self.live().map(|(name, daemon)| Door {
            entry: name.clone(),
            address: daemon.caller(),
        });
        *self
            .shop
            .doors
            .lock()
            .expect("no holder of the entries panics") = doors.collect();
        self.opened = self.now();
        let end = self.opened + self.options.duration;
        for caller in 0..CALLERS {
            let visit = Arc::clone(&self.shop).visit(caller, end);
            self.callers.push(self.spawner.spawn(visit));
        }
    }

    fn configure(&mut self, expected: u64, queue: u32) -> Result<(), Error> {
        let action = Action::Reconfigure {
            expected: Version(expected),
            document: document(queue),
            dry_run: false,
        };
        match self.call(action)? {
            Reply::Configured { .. } => Ok(()),
            other => Err(Error::Step(format!("reconfigure: {other:?}"))),
        }
    }

    fn submit(&mut self) -> Result<(), Error> {
        let size = Size {
            millicores: 2_000,
            memory_mb: 4_000,
            accelerators: 0,
        };
        let job = Job {
            name: name(&format!("renders-{}", self.options.seed)),
            team: name("shop"),
            kind: name("render"),
            tasks: TASKS,
            size,
            run_time: Ms(1_000),
            urgent: false,
        };
        self.expect_accepted(Action::Submit(job))
    }

    fn drain(&mut self) -> Result<(), Error> {
        let vm = self
            .fleet
            .first()
            .ok_or_else(|| Error::Step("there is no worker".into()))?;
        self.expect_accepted(Action::Drain { vm, leave: true })
    }

    fn expect_accepted(&mut self, action: Action) -> Result<(), Error> {
        match self.call(action.clone())? {
            Reply::Accepted => Ok(()),
            other => Err(Error::Step(format!("{action:?}: {other:?}"))),
        }
    }

    /// Sends a call to the first live entry, again with the same id while its outcome is unknown.
    fn call(&mut self, action: Action) -> Result<Reply, Error> {
        self.calls += 1;
        let call = Call {
            id: name(&format!("call-{}", self.calls)),
            action,
        };
        self.record(Fact::Called { call: call.clone() });
        let until = self.now() + START_TIME;
        loop {
            let reply = self.send(&call)?;
            let again = matches!(
                reply,
                Reply::Unknown | Reply::Refused(decision::operator::Refusal::Unavailable)
            );
            if !again || self.now() > until {
                self.record(Fact::Replied {
                    call: call.id,
                    reply: reply.clone(),
                });
                return Ok(reply);
            }
            thread::sleep(POLL);
        }
    }

    fn send(&self, call: &Call) -> Result<Reply, Error> {
        let (_, daemon) = self
            .live()
            .next()
            .ok_or_else(|| Error::Step("no entry is live".into()))?;
        let address = daemon.operator();
        let sent = async {
            let mut client = Client::connect(&self.spawner, address, CALL_TIME).await?;
            client.call(call).await
        };
        Ok(smol::block_on(sent)?)
    }

    /// Stops an entry as the platform would: out of the load balancer first, then SIGTERM.
    fn stop_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = self.entries[index].name.clone();
        let Some(daemon) = self.entries[index].daemon.take() else {
            return Ok(());
        };
        let mut doors = self
            .shop
            .doors
            .lock()
            .expect("no holder of the entries panics");
        doors.retain(|door| door.entry != entry);
        drop(doors);
        self.record(Fact::Entry {
            entry: entry.clone(),
            life: Life::Stopping,
        });
        let orderly = daemon.stop(true);
        self.record(Fact::Entry {
            entry: entry.clone(),
            life: Life::Exited,
        });
        if orderly {
            Ok(())
        } else {
            Err(Error::Step(format!("{entry} did not stop in time")))
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
        if self.wait(BATCH_TIME, done) {
            self.record(Fact::Settled);
        }
        self.watch.stop();
        for index in 0..self.entries.len() {
            self.stop_entry(index)?;
        }
        let log = self.fleet.recorder.log();
        Ok(Summary::from(&*log))
    }

    fn live(&self) -> impl Iterator<Item = (&Name, &Daemon)> {
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

    /// Waits until `percent` of the duration have passed since callers were let in.
    fn wait_until(&self, duration: Ms, percent: u64) {
        let until = self.opened + Ms(duration.0 * percent / 100);
        thread::sleep(Duration::from_millis(until.since(self.now()).0));
    }

    /// Waits for a condition, and tells whether it came true in time.
    fn wait(&self, limit: Ms, condition: impl Fn(&Self) -> bool) -> bool {
        let until = self.now() + limit;
        while self.now() < until {
            if condition(self) {
                return true;
            }
            thread::sleep(POLL);
        }
        condition(self)
    }
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the demo's names are valid")
}

fn document(queue: u32) -> Document {
    let service = Service {
        name: name("shop"),
        reserved: fleet::RESERVED,
        queue,
        deadline: Ms(2_000),
        attempt: Ms(1_000),
    };
    let quota = Size {
        millicores: 1_000_000,
        memory_mb: 4_000_000,
        accelerators: 0,
    };
    let team = Team {
        name: name("shop"),
        quota,
        weight: 1,
    };
    Document {
        services: vec![service],
        teams: vec![team],
        limits: Limits::default(),
    }
}

fn settings(
    name: &Name,
    number: usize,
    seeds: &[String],
    fleet: &Fleet,
) -> Result<Settings, Error> {
    let platform = fleet.address();
    let seeds = match seeds {
        [] => String::new(),
        seeds => format!("seeds={}\n", seeds.join(",")),
    };
    let text = format!(
        "[entry]\nname={name}\nfailure_domain=domain-{number}\n{seeds}\
         [listen]\ncaller=127.0.0.1:0\noperator=127.0.0.1:0\npeer=127.0.0.1:0\n\
         [platform]\ntable={platform}\nobjects={platform}\nvms={platform}\n\
         [limits]\nthreads=2\n[times]\nvms_ms=200\n"
    );
    Ok(Settings::parse("demo", &text)?)
}
