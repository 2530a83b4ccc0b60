//! Records when a configuration is stored in the table and when it is in force at each entry.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use decision::config::Version;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Reply;
use decision::record;
use decision::rollout;
use history::Fact;
use link::Spawner;
use operator::client::Client;
use smol::Timer;
use standin::platform::Platform;

use super::fleet::Fleet;
use super::fleet::Recorder;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The running tasks that watch the configuration.
#[derive(Debug)]
pub struct Watch {
    tasks: Vec<smol::Task<()>>,
}

impl Watch {
    /// Starts to watch the table and these entries, given by name and operator address.
    pub fn start(spawner: &Spawner, fleet: &Fleet, entries: Vec<(Name, SocketAddr)>) -> Self {
        let table = watch_table(Arc::clone(&fleet.platform), Arc::clone(&fleet.recorder));
        let mut tasks = vec![spawner.spawn(table)];
        for (entry, address) in entries {
            let watcher = Watcher {
                spawner: Arc::clone(spawner),
                platform: Arc::clone(&fleet.platform),
                recorder: Arc::clone(&fleet.recorder),
                entry,
                address,
            };
            tasks.push(spawner.spawn(watcher.run()));
        }
        Self { tasks }
    }

    /// Stops watching.
    pub fn stop(&mut self) {
        self.tasks.clear();
    }
}

async fn watch_table(platform: Arc<Platform>, recorder: Arc<Recorder>) {
    let mut recorded = BTreeMap::new();
    loop {
        let stored = stored_version(&platform);
        if let Some(version) = stored.filter(|version| recorded.insert(*version, ()).is_none()) {
            recorder.push(platform.now(), Fact::Stored { version });
        }
        Timer::after(Duration::from_millis(2)).await;
    }
}

fn stored_version(platform: &Platform) -> Option<Version> {
    let value = platform.table().row(rollout::KEY)?.value.clone();
    let config: record::Config = record::decode(&value).ok()?;
    Some(config.version)
}

struct Watcher {
    spawner: Spawner,
    platform: Arc<Platform>,
    recorder: Arc<Recorder>,
    entry: Name,
    address: SocketAddr,
}

impl Watcher {
    async fn run(self) {
        let mut known = Version::default();
        loop {
            if let Ok(mut client) = Client::connect(&self.spawner, self.address, CALL_TIMEOUT).await
            {
                while let Some(version) = query_version(&mut client).await {
                    if version != known {
                        known = version;
                        self.record(version);
                    }
                    Timer::after(POLL_INTERVAL).await;
                }
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn record(&self, version: Version) {
        let fact = Fact::InForce {
            entry: self.entry.clone(),
            version,
        };
        self.recorder.push(self.platform.now(), fact);
    }
}

async fn query_version(client: &mut Client) -> Option<Version> {
    let id = Name::try_from("watch").ok()?;
    let call = Call {
        id,
        action: Action::Status { job: None },
    };
    match client.call(&call).await {
        Ok(Reply::Status(status)) => Some(status.version),
        _ => None,
    }
}
