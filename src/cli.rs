//! Parses the command line.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use decision::name::Name;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use quick_error::quick_error;

use crate::cmd;
use crate::cmd::Run;

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

quick_error! {
    /// Why a command line cannot be parsed.
    #[derive(Debug)]
    pub enum Error {
        /// An argument is missing, unknown or has an invalid value.
        Usage(reason: String) {
            display("usage: {}", reason)
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// A parsed command line.
pub enum Parsed {
    /// A request for help, with the text to print.
    Help(&'static str),
    /// A command to run.
    Run(Box<dyn Run>),
}

impl fmt::Debug for Parsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Help(text) => f.debug_tuple("Help").field(text).finish(),
            Self::Run(_) => f.debug_tuple("Run").finish_non_exhaustive(),
        }
    }
}

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

/// Parses the value of an option.
///
/// # Errors
///
/// Returns an error when the value is absent or invalid.
pub(crate) fn value<T>(parser: &mut Parser, option: &str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text = parser.value()?.string()?;
    text.parse()
        .map_err(|error| Error::Usage(format!("--{option} {text:?}: {error}")))
}

/// Parses a name given as an option or argument; `what` names it in the error.
pub(crate) fn name(what: &str, raw: OsString) -> Result<Name, Error> {
    let text = raw.string()?;
    Name::try_from(text.as_str()).map_err(|error| Error::Usage(format!("{what} {text:?}: {error}")))
}

/// Returns the value of a required option, or an error if it is absent.
pub(crate) fn required<T>(option: &str, value: Option<T>) -> Result<T, Error> {
    value.ok_or_else(|| Error::Usage(format!("{option} is missing")))
}

/// Parses the arguments of a command whose only option is `--settings FILE`. `None` asks for help.
pub(crate) fn settings_file(parser: &mut Parser) -> Result<Option<PathBuf>, Error> {
    settings_file_or(parser, None)
}

/// Like [`settings_file`], but uses `default_file` if the option is not given.
pub(crate) fn settings_file_or(
    parser: &mut Parser,
    default_file: Option<PathBuf>,
) -> Result<Option<PathBuf>, Error> {
    let mut file = default_file;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    required("--settings FILE", file).map(Some)
}

/// The options that all operator commands share.
#[derive(Debug, Default)]
pub(crate) struct Common {
    entry: Option<SocketAddr>,
    call: Option<Name>,
}

impl Common {
    /// Parses the option if it is a shared one, and returns whether it is.
    pub(crate) fn parse_option(
        &mut self,
        option: &str,
        parser: &mut Parser,
    ) -> Result<bool, Error> {
        match option {
            "entry" => self.entry = Some(value(parser, option)?),
            "call" => self.call = Some(name("--call", parser.value()?)?),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Returns the checked options. Without `--call`, a unique id is generated.
    pub(crate) fn finish(self) -> Result<cmd::Connection, Error> {
        Ok(cmd::Connection {
            entry: required("--entry ADDR", self.entry)?,
            call: self.call.unwrap_or_else(cmd::unique_call_id),
        })
    }
}
