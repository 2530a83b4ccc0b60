//! The command `check`, which checks a settings file.

use std::path::PathBuf;

use lexopt::Parser;

use super::Error;
use super::Parsed;
use super::Run;
use super::print;
use crate::arguments;
use crate::serve::options::Options;
use crate::settings;
use crate::settings::Settings;

/// The help text of this command.
pub const HELP: &str = "\
Usage: samphiretrail check --settings FILE

Checks a settings file of `entry`, or of `serve` (which has a section bounds),
and starts nothing. An error names file, line and key.

Options:
      --settings FILE  Settings in INI form; docs/example.ini and
                       deploy/settings.ini show all keys
  -h, --help           Show this help
";

/// The header of the section that only settings of `serve` have.
const BOUNDS_SECTION: &str = "[bounds]";

/// The command `check` with its parsed options.
#[derive(Debug)]
pub struct Check {
    file: PathBuf,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    Ok(match arguments::settings_file(parser)? {
        Some(file) => Parsed::Run(Box::new(Check { file })),
        None => Parsed::Help(HELP),
    })
}

impl Run for Check {
    fn run(&self) -> Result<(), Error> {
        let text = settings::read_text(&self.file)?;
        if text.lines().any(|line| line.trim() == BOUNDS_SECTION) {
            let options = Options::load(&self.file)?;
            return print(&format!("ok {options}\n"));
        }
        let settings = Settings::load(&self.file)?;
        print(&format!("ok entry={}\n", settings.entry.name))
    }
}
