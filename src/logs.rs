//! Log lines of `key=value` pairs.

use decision::timeline::Event;
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;
use quick_error::quick_error;

use crate::journal;

const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} level={l} {m}{n}";
const APPENDER_NAME: &str = "stderr";

quick_error! {
    /// Why logging cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// A logger is already set, or the logger refuses its configuration.
        Start(reason: String) {
            display("logs: {}", reason)
        }
    }
}

/// Writes log lines of at least `level` to standard error.
///
/// # Errors
///
/// Returns an error when a logger is already set.
pub fn start(level: LevelFilter) -> Result<(), Error> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(appender)))
        .build(Root::builder().appender(APPENDER_NAME).build(level))
        .map_err(|error| Error::Start(error.to_string()))?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|error| Error::Start(error.to_string()))
}

/// Logs a timeline event, at level `debug` if it belongs to a single request and at `info`
/// otherwise.
pub fn event(event: &Event) {
    let level = if journal::is_frequent(event.note.kind) {
        log::Level::Debug
    } else {
        log::Level::Info
    };
    if log::log_enabled!(level) {
        log::log!(level, "{}", line(event));
    }
}

/// Formats a timeline event as `key=value` pairs.
#[must_use]
pub fn line(event: &Event) -> String {
    let note = &event.note;
    let mut line = format!(
        "entry={} lamport={} at_ms={} kind={} subject={}",
        event.entry,
        event.lamport,
        event.at.0,
        note.kind,
        quote_if_needed(&note.subject)
    );
    if let Some(vm) = &note.vm {
        line += &format!(" vm={vm}");
    }
    if let Some(epoch) = note.epoch {
        line += &format!(" epoch={epoch}");
    }
    line + &format!(" cause={}", quote_if_needed(&note.cause))
}

/// Quotes the text unless it is one word without quotes and equals signs.
fn quote_if_needed(text: &str) -> String {
    let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(is_plain) {
        text.into()
    } else {
        format!("{text:?}")
    }
}
