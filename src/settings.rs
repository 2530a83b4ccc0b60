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

/// The sections of a settings file with their keys.
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
    /// An error in a settings file.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The setting at this file, line and key is wrong, for this reason. The line is 0 if the
        /// error is not in a line of the file.
        At(file: String, line: usize, key: String, reason: String) {
            display("{}:{}: {}: {}", file, line, key, reason)
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The section `entry`.
    pub entry: Entry,
    /// The section `listen`.
    pub listen: Listen,
    /// The section `platform`.
    pub platform: Platform,
    /// The section `limits`. Each of its keys has a default.
    pub limits: Limits,
    /// The section `times`. Each of its keys has a default.
    pub times: Times,
}

/// The identity of the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The name, unique among entries.
    pub name: Name,
    /// The failure domain of the VM that the entry runs on.
    pub failure_domain: Name,
    /// The peer addresses of other entries that it contacts first; empty for the first entry.
    pub seeds: Vec<SocketAddr>,
    /// The least severe level of the log lines that are written. Defaults to info.
    pub log: log::LevelFilter,
}

/// The addresses that the entry listens on. Port 0 selects a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The address for peers. Other entries connect to it, so it must not be an unspecified
    /// address.
    pub peer: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Platform {
    /// The address of the transactional table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the service that lists VMs.
    pub vms: SocketAddr,
}

/// Limits on the resources of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The number of worker threads. Defaults to the number of available processors.
    pub threads: usize,
    /// The most simultaneous connections of callers.
    pub connections: usize,
    /// The timeline events retained in memory, separately for events of single requests and others.
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

/// Time limits and intervals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Times {
    /// The time limit for establishing a connection.
    pub connect: Duration,
    /// The time limit of a command to a worker, including the time that it waits for its turn.
    pub command: Duration,
    /// The time limit of a message to a peer and its answer.
    pub peer: Duration,
    /// The interval between reads of the list of VMs.
    pub vms: Duration,
    /// The time limit of a graceful stop.
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
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or wrong, with its place in the file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        Self::parse(&file, &read_text(path)?)
    }

    /// Parses the text of a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or wrong, with its place in the file.
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

/// Reads the text of a settings file.
pub(crate) fn read_text(path: &Path) -> Result<String, Error> {
    let file = path.display().to_string();
    match fs::read(path) {
        Ok(bytes) => String::from_utf8(bytes).map_err(|error| not_text(file, &error)),
        Err(error) => Err(Error::At(file, 0, "file".into(), error.to_string())),
    }
}

fn not_text(file: String, error: &std::string::FromUtf8Error) -> Error {
    let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
    let line = 1 + valid.iter().filter(|byte| **byte == b'\n').count();
    Error::At(file, line, "file".into(), "not valid UTF-8".into())
}

fn entry(source: &Source<'_>) -> Result<Entry, Error> {
    let name = |raw: &str| Name::try_from(raw).map_err(|error| error.to_string());
    Ok(Entry {
        name: source.required("entry", "name", name)?,
        failure_domain: source.required("entry", "failure_domain", name)?,
        seeds: source
            .optional("entry", "seeds", parse_seeds)?
            .unwrap_or_default(),
        log: source
            .optional("entry", "log", parse_level)?
            .unwrap_or(log::LevelFilter::Info),
    })
}

fn parse_seeds(raw: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = raw.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(parse_remote_address)
        .collect()
}

pub(crate) fn parse_level(raw: &str) -> Result<log::LevelFilter, String> {
    raw.parse()
        .map_err(|_error| "must be off, error, warn, info, debug or trace".into())
}

fn listen(source: &Source<'_>) -> Result<Listen, Error> {
    Ok(Listen {
        caller: source.required("listen", "caller", parse_address)?,
        operator: source.required("listen", "operator", parse_address)?,
        peer: source.required("listen", "peer", parse_specific_address)?,
    })
}

fn platform(source: &Source<'_>) -> Result<Platform, Error> {
    Ok(Platform {
        table: source.required("platform", "table", parse_remote_address)?,
        objects: source.required("platform", "objects", parse_remote_address)?,
        vms: source.required("platform", "vms", parse_remote_address)?,
    })
}

fn limits(source: &Source<'_>) -> Result<Limits, Error> {
    let default = Limits::default();
    let number = |key, most, default| {
        let found = source.optional("limits", key, |raw| parse_within(raw, 1, most))?;
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
        let found = source.optional("times", key, |raw| parse_within(raw, 10, most))?;
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

pub(crate) fn parse_within(raw: &str, least: u32, most: u32) -> Result<u32, String> {
    match raw.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => Err(format!("must be a number from {least} to {most}")),
    }
}

fn parse_address(raw: &str) -> Result<SocketAddr, String> {
    raw.parse()
        .map_err(|_error| "must be an IP address and a port".into())
}

/// Parses an address that other processes can connect to. The port may be 0.
pub(crate) fn parse_specific_address(raw: &str) -> Result<SocketAddr, String> {
    let address = parse_address(raw)?;
    if address.ip().is_unspecified() {
        return Err("must be an address that peers can connect to".into());
    }
    Ok(address)
}

/// Parses an address to connect to, which must have a port.
pub(crate) fn parse_remote_address(raw: &str) -> Result<SocketAddr, String> {
    let address = parse_specific_address(raw)?;
    if address.port() == 0 {
        return Err("must have a port above 0".into());
    }
    Ok(address)
}
