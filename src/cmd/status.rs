//! Shows the state of the system.

use decision::name::Name;
use decision::operator::Action;
use decision::timeline::Filter;
use lexopt::Arg;
use lexopt::Parser;

use super::Error;
use super::Run;
use super::Target;
use super::print;
use crate::cli;
use crate::cli::Common;
use crate::cli::Parsed;
use crate::logs;

/// Help on this command.
pub const HELP: &str = "\
Usage: samphiretrail status --entry ADDR [OPTIONS]

Shows the state of the system as the entry knows it. With --watch, shows the
entry's timeline events as they happen, until interrupted.

Options:
      --entry ADDR  Operator address of any entry
      --job NAME    Only this job
      --watch       Follow events
  -h, --help        Show this help
";

/// The command `status`.
#[derive(Debug)]
pub struct Status {
    target: Target,
    job: Option<Name>,
    watch: bool,
}

/// Parses the options.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, cli::Error> {
    let mut common = Common::default();
    let mut job = None;
    let mut watch = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("job") => job = Some(cli::name("--job", parser.value()?)?),
            Arg::Long("watch") => watch = true,
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.take(&option, parser)? {
                    return Err(cli::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Status {
        target: common.finish()?,
        job,
        watch,
    })))
}

impl Run for Status {
    fn run(&self) -> Result<(), Error> {
        if self.watch {
            return self.watch();
        }
        let job = self.job.clone();
        self.target.call(Action::Status { job })
    }
}

impl Status {
    fn watch(&self) -> Result<(), Error> {
        let filter = Filter {
            subject: self.job.as_ref().map(ToString::to_string),
            ..Filter::default()
        };
        self.target.with(async |client| {
            let mut events = client.watch(&filter).await?;
            while let Some(event) = events.next().await? {
                // A closed standard output ends the watch.
                if print(&format!("{}\n", logs::line(&event))).is_err() {
                    break;
                }
            }
            Ok(())
        })
    }
}
