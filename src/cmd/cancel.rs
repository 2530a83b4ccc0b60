//! The command `cancel`, which cancels a job.

use decision::name::Name;
use decision::operator::Action;
use lexopt::Arg;
use lexopt::Parser;

use super::Connection;
use super::Error;
use super::Parsed;
use super::Run;
use super::common::Common;
use crate::arguments;

/// The help text of this command.
pub const HELP: &str = "\
Usage: samphiretrail cancel --entry ADDR [OPTIONS] JOB

Cancels a job: its waiting tasks are dropped, its running tasks are stopped.

Options:
      --entry ADDR  Operator address of any entry
      --call ID     Id of the call; repeating a call with its id is harmless
  -h, --help        Show this help
";

/// The command `cancel` with its parsed options.
#[derive(Debug)]
pub struct Cancel {
    connection: Connection,
    job: Name,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let mut common = Common::default();
    let mut job = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Value(raw) if job.is_none() => job = Some(arguments::name("JOB", raw)?),
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.parse_option(&option, parser)? {
                    return Err(arguments::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Cancel {
        connection: common.finish()?,
        job: arguments::required("JOB", job)?,
    })))
}

impl Run for Cancel {
    fn run(&self) -> Result<(), Error> {
        let job = self.job.clone();
        self.connection.call(Action::Cancel { job })
    }
}
