//! The command `reconfigure`, which replaces the configuration.

use std::fs;
use std::path::PathBuf;

use decision::config::Checked;
use decision::config::Document;
use decision::config::Version;
use decision::operator::Action;
use lexopt::Arg;
use lexopt::Parser;

use super::Connection;
use super::Error;
use super::Parsed;
use super::Run;
use super::common::Common;
use super::failed;
use crate::arguments;

/// The help text of this command.
pub const HELP: &str = "\
Usage: samphiretrail reconfigure --entry ADDR --expected N --file FILE [OPTIONS]

Replaces the configuration, unless another version than N is in force.

Options:
      --entry ADDR  Operator address of any entry
      --call ID     Id of the call; repeating a call with its id is harmless
      --expected N  The version seen last; status shows it
      --file FILE   The new configuration; docs/example.json shows all fields
      --dry-run     Only check and show what would change
  -h, --help        Show this help
";

/// The command `reconfigure` with its parsed options.
#[derive(Debug)]
pub struct Reconfigure {
    connection: Connection,
    expected: Version,
    file: PathBuf,
    dry_run: bool,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let mut common = Common::default();
    let mut expected = None;
    let mut file = None;
    let mut dry_run = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("expected") => expected = Some(arguments::value(parser, "expected")?),
            Arg::Long("file") => file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("dry-run") => dry_run = true,
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.parse_option(&option, parser)? {
                    return Err(arguments::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Reconfigure {
        connection: common.finish()?,
        expected: Version(arguments::required("--expected N", expected)?),
        file: arguments::required("--file FILE", file)?,
        dry_run,
    })))
}

impl Run for Reconfigure {
    fn run(&self) -> Result<(), Error> {
        self.connection.call(Action::Reconfigure {
            expected: self.expected,
            document: self.document()?,
            dry_run: self.dry_run,
        })
    }
}

impl Reconfigure {
    /// Reads and checks the document, so that an invalid one is refused without calling the entry.
    fn document(&self) -> Result<Document, Error> {
        let file = self.file.display().to_string();
        let text = fs::read_to_string(&self.file).map_err(|error| failed(&file, &error))?;
        let document: Document =
            serde_json::from_str(&text).map_err(|error| failed(&file, &error))?;
        let checked = Checked::try_from(document).map_err(|error| failed(&file, &error))?;
        Ok(checked.document().clone())
    }
}
