//! Parses the command line.

use std::ffi::OsString;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

pub use crate::arguments::Error;
use crate::cmd;
pub use crate::cmd::Parsed;

/// The help text of the program.
pub const HELP: &str = "\
Usage: samphiretrail COMMAND [OPTIONS]

Commands:
  entry        Run one entry until SIGTERM
  serve        Run one entry on the users' platform until SIGTERM
  check        Check a settings file
  demo         Run entries and stand-ins in one process
  submit       Submit a batch job
  cancel       Cancel a job
  drain        Take a worker out of service, or back into it
  reconfigure  Replace the configuration
  status       Show the state of the system, or watch its events
  timeline     Show recent events of all entries in causal order

Options:
  -h, --help   Show this help, or the help on a command

Exit codes: 0 success, 1 the work failed, 2 usage or settings error
";

/// Parses a command line whose first argument is the program name.
///
/// # Errors
///
/// Returns an error when the command line does not have a documented form.
pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Parsed, Error> {
    let mut parser = Parser::from_iter(arguments);
    let name = match parser.next()? {
        None => return Err(Error::Usage("no command; try --help".into())),
        Some(Arg::Short('h') | Arg::Long("help")) => return Ok(Parsed::Help(HELP)),
        Some(Arg::Value(name)) => name.string()?,
        Some(other) => return Err(other.unexpected().into()),
    };
    match name.as_str() {
        "entry" => cmd::entry::parse(&mut parser),
        "serve" => cmd::serve::parse(&mut parser),
        "check" => cmd::check::parse(&mut parser),
        "demo" => cmd::demo::parse(&mut parser),
        "submit" => cmd::submit::parse(&mut parser),
        "cancel" => cmd::cancel::parse(&mut parser),
        "drain" => cmd::drain::parse(&mut parser),
        "reconfigure" => cmd::reconfigure::parse(&mut parser),
        "status" => cmd::status::parse(&mut parser),
        "timeline" => cmd::timeline::parse(&mut parser),
        _ => Err(Error::Usage(format!("no command {name:?}; try --help"))),
    }
}
