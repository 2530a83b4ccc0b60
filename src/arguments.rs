//! Parses arguments that several commands share.

use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use decision::name::Name;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use quick_error::quick_error;

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
