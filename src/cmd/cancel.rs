//! Cancels a job.

use decision::name::Name;
use decision::operator::Action;
use lexopt::Arg;
use lexopt::Parser;

use super::Error;
use super::Run;
use super::Target;
use crate::cli;
use crate::cli::Common;
use crate::cli::Parsed;

/// Help on this command.
pub const HELP: &str = "\
Usage: samphiretrail cancel --entry ADDR [OPTIONS] JOB

Cancels a job: its waiting tasks are dropped, its running tasks are stopped.

Options:
      --entry ADDR  Operator address of any entry
      --call ID     Id of the call; repeating a call with its id is harmless
  -h, --help        Show this help
";

/// The command `cancel`.
#[derive(Debug)]
pub struct Cancel {
    target: Target,
    job: Name,
}

/// Parses the options.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, cli::Error> {
    let mut common = Common::default();
    let mut job = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Value(raw) if job.is_none() => job = Some(cli::name("JOB", raw)?),
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.take(&option, parser)? {
                    return Err(cli::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Cancel {
        target: common.finish()?,
        job: cli::required("JOB", job)?,
    })))
}

impl Run for Cancel {
    fn run(&self) -> Result<(), Error> {
        let job = self.job.clone();
        self.target.call(Action::Cancel { job })
    }
}
