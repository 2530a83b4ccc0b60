//! The command `serve`, which runs one entry on the users' platform.

use std::env;
use std::path::PathBuf;

use lexopt::Parser;

use super::Error;
use super::Parsed;
use super::Run;
use super::failed;
use crate::arguments;
use crate::serve;
use crate::serve::options::Options;

/// The help text of this command.
pub const HELP: &str = "\
Usage: samphiretrail serve [--settings FILE]

Runs one entry on the users' platform. SIGTERM is a graceful shutdown; SIGHUP
reads the settings again.

Options:
      --settings FILE  Settings in INI form [default: $SAMPHIRETRAIL_BOOT]
  -h, --help           Show this help
";

/// The environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "SAMPHIRETRAIL_BOOT";

/// The command `serve` with its parsed options.
#[derive(Debug)]
pub struct Serve {
    file: PathBuf,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let default_file = env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let file = match arguments::settings_file_or(parser, default_file)? {
        Some(file) => file,
        None => return Ok(Parsed::Help(HELP)),
    };
    Ok(Parsed::Run(Box::new(Serve { file })))
}

impl Run for Serve {
    fn run(&self) -> Result<(), Error> {
        let options = Options::load(&self.file)?;
        serve::run(&self.file, options).map_err(|error| failed("serve", &error))
    }
}
