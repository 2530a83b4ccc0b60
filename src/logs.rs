//! Log lines of the form `key=value`.

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
const STDERR: &str = "stderr";

quick_error! {
    /// Why logging cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// The logger has been set before or its configuration is refused.
        Start(reason: String) {
            display("logs: {}", reason)
        }
    }
}

/// Writes log lines of at least `level` to standard error.
///
/// # Errors
///
/// When a logger has been set before.
pub fn start(level: LevelFilter) -> Result<(), Error> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(STDERR, Box::new(appender)))
        .build(Root::builder().appender(STDERR).build(level))
        .map_err(|error| Error::Start(error.to_string()))?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|error| Error::Start(error.to_string()))
}

/// Writes a timeline event; those of single requests only at level `debug`.
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

/// A timeline event as `key=value` pairs.
#[must_use]
pub fn line(event: &Event) -> String {
    let note = &event.note;
    let mut line = format!(
        "entry={} lamport={} at_ms={} kind={} subject={}",
        event.entry,
        event.lamport,
        event.at.0,
        note.kind,
        quoted(&note.subject)
    );
    if let Some(vm) = &note.vm {
        line += &format!(" vm={vm}");
    }
    if let Some(epoch) = note.epoch {
        line += &format!(" epoch={epoch}");
    }
    line + &format!(" cause={}", quoted(&note.cause))
}

/// The text, in quotes when it would not be one word.
fn quoted(text: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(plain) {
        text.into()
    } else {
        format!("{text:?}")
    }
}
