//! Settings of an entry, read from an INI file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use decision::name::Name;
use quick_error::quick_error;

use self::source::Source;

pub(crate) mod source;

/// Every section with its keys.
const KEYS: source::Keys = &[
    ("entry", &["name", "failure_domain", "seeds", "log"]),
    ("listen", &["caller", "operator", "peer"]),
    ("platform", &["table", "objects", "vms"]),
    ("limits", &["threads", "connections", "events"]),
    (
        "times",
        &["connect_ms", "command_ms", "peer_ms", "vms_ms", "stop_ms"],
    ),
];

quick_error! {
    /// A settings error with its place.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Something at this place is wrong.
        At(file: String, line: usize, key: String, reason: String) {
            display("{}:{}: {}: {}", file, line, key, reason)
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Section `entry`.
    pub entry: Entry,
    /// Section `listen`.
    pub listen: Listen,
    /// Section `platform`.
    pub platform: Platform,
    /// Section `limits`.
    pub limits: Limits,
    /// Section `times`.
    pub times: Times,
}

/// Who the entry is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The name, unique among entries.
    pub name: Name,
    /// The failure domain that the VM is in.
    pub failure_domain: Name,
    /// Peer addresses of other entries.
    pub seeds: Vec<SocketAddr>,
    /// The least severe log level written.
    pub log: log::LevelFilter,
}

/// Where the entry listens. Port 0 selects a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For peers; other entries connect to this address.
    pub peer: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Platform {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
}

/// Bounds of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Worker threads.
    pub threads: usize,
    /// Connections of callers at once.
    pub connections: usize,
    /// Timeline events kept in memory.
    pub events: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            threads: thread::available_parallelism().map_or(2, usize::from),
            connections: 4_096,
            events: 65_536,
        }
    }
}

/// Time limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Times {
    /// To establish a connection.
    pub connect: Duration,
    /// For a worker command, its turn included.
    pub command: Duration,
    /// For a message to a peer.
    pub peer: Duration,
    /// Between reads of the list of VMs.
    pub vms: Duration,
    /// For a graceful shutdown.
    pub stop: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            command: Duration::from_millis(2_000),
            peer: Duration::from_millis(2_000),
            vms: Duration::from_millis(1_000),
            stop: Duration::from_millis(20_000),
        }
    }
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its place.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        Self::parse(&file, &read_text(path)?)
    }

    /// Reads the text of a file named `file`.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let source = Source::new(file, text, KEYS)?;
        let settings = Self {
            entry: entry(&source)?,
            listen: listen(&source)?,
            platform: platform(&source)?,
            limits: limits(&source)?,
            times: times(&source)?,
        };
        Ok(settings)
    }
}

/// Reads a settings file.
pub(crate) fn read_text(path: &Path) -> Result<String, Error> {
    let file = path.display().to_string();
    match fs::read(path) {
        Ok(bytes) => String::from_utf8(bytes).map_err(|error| not_text(file, &error)),
        Err(error) => Err(Error::At(file, 0, "file".into(), error.to_string())),
    }
}

fn not_text(file: String, error: &std::string::FromUtf8Error) -> Error {
    let good = &error.as_bytes()[..error.utf8_error().valid_up_to()];
    let line = 1 + good.iter().filter(|byte| **byte == b'\n').count();
    Error::At(file, line, "file".into(), "not valid UTF-8".into())
}

fn entry(source: &Source<'_>) -> Result<Entry, Error> {
    let name = |raw: &str| Name::try_from(raw).map_err(|error| error.to_string());
    Ok(Entry {
        name: source.required("entry", "name", name)?,
        failure_domain: source.required("entry", "failure_domain", name)?,
        seeds: source
            .optional("entry", "seeds", seeds)?
            .unwrap_or_default(),
        log: source
            .optional("entry", "log", level)?
            .unwrap_or(log::LevelFilter::Info),
    })
}

fn seeds(raw: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = raw.split(',').map(str::trim);
    parts.filter(|part| !part.is_empty()).map(remote).collect()
}

pub(crate) fn level(raw: &str) -> Result<log::LevelFilter, String> {
    raw.parse()
        .map_err(|_error| "must be off, error, warn, info, debug or trace".into())
}

fn listen(source: &Source<'_>) -> Result<Listen, Error> {
    Ok(Listen {
        caller: source.required("listen", "caller", address)?,
        operator: source.required("listen", "operator", address)?,
        peer: source.required("listen", "peer", specific)?,
    })
}

fn platform(source: &Source<'_>) -> Result<Platform, Error> {
    Ok(Platform {
        table: source.required("platform", "table", remote)?,
        objects: source.required("platform", "objects", remote)?,
        vms: source.required("platform", "vms", remote)?,
    })
}

fn limits(source: &Source<'_>) -> Result<Limits, Error> {
    let default = Limits::default();
    let number = |key, most, default| {
        let found = source.optional("limits", key, |raw| within(raw, 1, most))?;
        Ok(found.map_or(default, |number| number as usize))
    };
    Ok(Limits {
        threads: number("threads", 256, default.threads)?,
        connections: number("connections", 65_536, default.connections)?,
        events: number("events", 1_000_000, default.events)?,
    })
}

fn times(source: &Source<'_>) -> Result<Times, Error> {
    let default = Times::default();
    let time = |key, most, default| {
        let found = source.optional("times", key, |raw| within(raw, 10, most))?;
        Ok(found.map_or(default, |ms| Duration::from_millis(ms.into())))
    };
    Ok(Times {
        connect: time("connect_ms", 60_000, default.connect)?,
        command: time("command_ms", 60_000, default.command)?,
        peer: time("peer_ms", 60_000, default.peer)?,
        vms: time("vms_ms", 60_000, default.vms)?,
        stop: time("stop_ms", 3_600_000, default.stop)?,
    })
}

pub(crate) fn within(raw: &str, least: u32, most: u32) -> Result<u32, String> {
    match raw.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => Err(format!("must be a number from {least} to {most}")),
    }
}

fn address(raw: &str) -> Result<SocketAddr, String> {
    raw.parse()
        .map_err(|_error| "must be an IP address and a port".into())
}

/// An address that others can connect to, but the port may be 0.
pub(crate) fn specific(raw: &str) -> Result<SocketAddr, String> {
    let address = address(raw)?;
    if address.ip().is_unspecified() {
        return Err("must be an address that peers can connect to".into());
    }
    Ok(address)
}

/// An address to connect to.
pub(crate) fn remote(raw: &str) -> Result<SocketAddr, String> {
    let address = specific(raw)?;
    if address.port() == 0 {
        return Err("must have a port above 0".into());
    }
    Ok(address)
}
