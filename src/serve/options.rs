//! Settings of an entry on the users' platform.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use decision::clock::Ms;
use decision::name::Name;

use crate::settings;
use crate::settings::Error;
use crate::settings::source::Keys;
use crate::settings::source::Source;

/// Every section with its keys.
const KEYS: Keys = &[
    (
        "entry",
        &["name", "failure_domain", "processor_share", "log"],
    ),
    ("listen", &["customer", "ready", "peer", "metrics"]),
    ("platform", &["store", "advice"]),
    ("bounds", &["lease_ms", "retention_s", "harm_ms", "stop_s"]),
];

/// The most processors that a process gets.
const MAX_PROCESSOR_SHARE: f64 = 1_024.0;
/// The longest bound that makes sense, in its unit.
const MAX_BOUND: u32 = 3_600_000;

/// Settings of an entry on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The name, unique among entries.
    pub name: Name,
    /// The failure domain that the VM is in.
    pub failure_domain: Name,
    /// The share of a processor that the process gets.
    pub processor_share: f64,
    /// The least severe log level written.
    pub log: log::LevelFilter,
    /// Where customers connect.
    pub customer: SocketAddr,
    /// Where the platform asks whether the entry is ready.
    pub ready: SocketAddr,
    /// Where agents connect when this entry leads.
    pub peer: SocketAddr,
    /// Where metrics are read, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// The advice service, where queues need tickets.
    pub advice: Option<SocketAddr>,
    /// The longest lease of a worker.
    pub lease: Ms,
    /// How long ended jobs are remembered.
    pub retention: Ms,
    /// How long a serving task may be over its limit.
    pub harm: Ms,
    /// The time from SIGTERM until the process is killed.
    pub stop: Ms,
}

impl fmt::Display for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "entry={} failure_domain={} customer={} ready={} peer={} store={} lease_ms={} \
             retention_ms={} harm_ms={} stop_ms={}",
            self.name,
            self.failure_domain,
            self.customer,
            self.ready,
            self.peer,
            self.store,
            self.lease.0,
            self.retention.0,
            self.harm.0,
            self.stop.0
        )
    }
}

impl Options {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its place.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        Self::parse(&file, &settings::read_text(path)?)
    }

    /// Reads the text of a file named `file`.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let source = Source::new(file, text, KEYS)?;
        let name = |raw: &str| Name::try_from(raw).map_err(|error| error.to_string());
        let bound = |key, unit: u64| {
            let number = source.required("bounds", key, |raw| settings::within(raw, 1, MAX_BOUND));
            number.map(|number| Ms(u64::from(number) * unit))
        };
        Ok(Self {
            name: source.required("entry", "name", name)?,
            failure_domain: source.required("entry", "failure_domain", name)?,
            processor_share: source
                .optional("entry", "processor_share", parse_share)?
                .unwrap_or(1.0),
            log: source
                .optional("entry", "log", settings::level)?
                .unwrap_or(log::LevelFilter::Info),
            customer: source.required("listen", "customer", settings::specific)?,
            ready: source.required("listen", "ready", settings::specific)?,
            peer: source.required("listen", "peer", settings::specific)?,
            metrics: source.optional("listen", "metrics", settings::specific)?,
            store: source.required("platform", "store", settings::remote)?,
            advice: source
                .optional("platform", "advice", optional_address)?
                .flatten(),
            lease: bound("lease_ms", 1)?,
            retention: bound("retention_s", 1_000)?,
            harm: bound("harm_ms", 1)?,
            stop: bound("stop_s", 1_000)?,
        })
    }
}

fn parse_share(raw: &str) -> Result<f64, String> {
    match raw.parse() {
        Ok(share) if share > 0.0 && share <= MAX_PROCESSOR_SHARE => Ok(share),
        _ => Err(format!(
            "must be a number above 0 and up to {MAX_PROCESSOR_SHARE}"
        )),
    }
}

/// An address, or nothing.
fn optional_address(raw: &str) -> Result<Option<SocketAddr>, String> {
    if raw.is_empty() {
        Ok(None)
    } else {
        settings::remote(raw).map(Some)
    }
}
