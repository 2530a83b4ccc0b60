//! The command `entry`, which runs one entry.

use std::path::PathBuf;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use lexopt::Parser;

use super::Error;
use super::Parsed;
use super::Run;
use super::failed;
use crate::arguments;
use crate::daemon::Daemon;
use crate::logs;
use crate::settings::Settings;

/// The help text of this command.
pub const HELP: &str = "\
Usage: samphiretrail entry --settings FILE

Runs one entry. SIGTERM and SIGINT are a graceful shutdown: requests in flight
finish, tickets and groups are handed over.

Options:
      --settings FILE  Settings in INI form; docs/example.ini shows all keys
  -h, --help           Show this help
";

/// The command `entry` with its parsed options.
#[derive(Debug)]
pub struct Entry {
    file: PathBuf,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    Ok(match arguments::settings_file(parser)? {
        Some(file) => Parsed::Run(Box::new(Entry { file })),
        None => Parsed::Help(HELP),
    })
}

impl Run for Entry {
    fn run(&self) -> Result<(), Error> {
        let settings = Settings::load(&self.file)?;
        logs::start(settings.entry.log).map_err(|error| failed("entry", &error))?;
        let mut signals =
            Signals::new([Signal::Term, Signal::Int]).map_err(|error| failed("signals", &error))?;
        let daemon = Daemon::start(settings).map_err(|error| failed("entry", &error))?;
        log::info!(
            "caller={} operator={} peer={}",
            daemon.caller(),
            daemon.operator(),
            daemon.peer()
        );
        smol::block_on(signals.next());
        if daemon.stop(true) {
            Ok(())
        } else {
            Err(Error::Failed(
                "entry: graceful shutdown did not finish within stop_ms".into(),
            ))
        }
    }
}
