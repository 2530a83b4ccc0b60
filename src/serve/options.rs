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

/// The sections of a settings file with their keys.
const KEYS: Keys = &[
    (
        "entry",
        &["name", "failure_domain", "processor_share", "log"],
    ),
    ("listen", &["customer", "ready", "peer", "metrics"]),
    ("platform", &["store", "advice", "row_bytes"]),
    ("bounds", &["lease_ms", "retention_s", "harm_ms", "stop_s"]),
];

/// The highest accepted processor share, in processors.
const MAX_PROCESSOR_SHARE: f64 = 1_024.0;
/// The limit of a row's value in bytes where the settings give none.
const DEFAULT_ROW_BYTES: u32 = 65_536;
/// The lowest and the highest accepted limit of a row's value, in bytes.
const ROW_BYTES: (u32, u32) = (1_024, 1 << 30);
/// The highest accepted value of a bound, in the unit of its key (ms or s).
const MAX_BOUND: u32 = 3_600_000;

/// Settings of an entry on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The name, unique among entries.
    pub name: Name,
    /// The failure domain of the VM that the entry runs on.
    pub failure_domain: Name,
    /// The processors available to the process, as a fraction or multiple of one. Defaults to 1.
    pub processor_share: f64,
    /// The least severe level of the log lines that are written. Defaults to info.
    pub log: log::LevelFilter,
    /// The address that customers connect to.
    pub customer: SocketAddr,
    /// The address of the readiness check; it may be the same as `customer`.
    pub ready: SocketAddr,
    /// The address that agents connect to while this entry leads.
    pub peer: SocketAddr,
    /// The address that serves metrics; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the advice service; `None` where no queue needs tickets.
    pub advice: Option<SocketAddr>,
    /// The most bytes of a row's value in the store, in base64. Defaults to 65,536.
    pub row_bytes: u32,
    /// The length of a worker's lease after each renewal.
    pub lease: Ms,
    /// How long the results of ended jobs are kept.
    pub retention: Ms,
    /// How long a serving task may exceed its tail limit before filling tasks must yield.
    pub harm: Ms,
    /// The time that the platform leaves the process between SIGTERM and SIGKILL.
    pub stop: Ms,
}

impl fmt::Display for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "entry={} failure_domain={} customer={} ready={} peer={} store={} row_bytes={} \
             lease_ms={} retention_ms={} harm_ms={} stop_ms={}",
            self.name,
            self.failure_domain,
            self.customer,
            self.ready,
            self.peer,
            self.store,
            self.row_bytes,
            self.lease.0,
            self.retention.0,
            self.harm.0,
            self.stop.0
        )
    }
}

impl Options {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or wrong, with its place in the file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        Self::parse(&file, &settings::read_text(path)?)
    }

    /// Parses the text of a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or wrong, with its place in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let source = Source::new(file, text, KEYS)?;
        let name = |raw: &str| Name::try_from(raw).map_err(|error| error.to_string());
        let bound = |key, unit: u64| {
            let number = source.required("bounds", key, |raw| {
                settings::parse_within(raw, 1, MAX_BOUND)
            });
            number.map(|number| Ms(u64::from(number) * unit))
        };
        Ok(Self {
            name: source.required("entry", "name", name)?,
            failure_domain: source.required("entry", "failure_domain", name)?,
            processor_share: source
                .optional("entry", "processor_share", parse_share)?
                .unwrap_or(1.0),
            log: source
                .optional("entry", "log", settings::parse_level)?
                .unwrap_or(log::LevelFilter::Info),
            customer: source.required("listen", "customer", settings::parse_specific_address)?,
            ready: source.required("listen", "ready", settings::parse_specific_address)?,
            peer: source.required("listen", "peer", settings::parse_specific_address)?,
            metrics: source.optional("listen", "metrics", settings::parse_specific_address)?,
            store: source.required("platform", "store", settings::parse_remote_address)?,
            advice: source
                .optional("platform", "advice", optional_address)?
                .flatten(),
            row_bytes: source
                .optional("platform", "row_bytes", |raw| {
                    settings::parse_within(raw, ROW_BYTES.0, ROW_BYTES.1)
                })?
                .unwrap_or(DEFAULT_ROW_BYTES),
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

/// Parses an address; an empty value is `None`.
fn optional_address(raw: &str) -> Result<Option<SocketAddr>, String> {
    if raw.is_empty() {
        Ok(None)
    } else {
        settings::parse_remote_address(raw).map(Some)
    }
}
