//! The command `status`, which shows the state of the system or follows its events.

use decision::name::Name;
use decision::operator::Action;
use decision::timeline::Filter;
use lexopt::Arg;
use lexopt::Parser;

use super::Connection;
use super::Error;
use super::Parsed;
use super::Run;
use super::common::Common;
use super::print;
use crate::arguments;
use crate::logs;

/// The help text of this command.
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

/// The command `status` with its parsed options.
#[derive(Debug)]
pub struct Status {
    connection: Connection,
    job: Option<Name>,
    watch: bool,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let mut common = Common::default();
    let mut job = None;
    let mut watch = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("job") => job = Some(arguments::name("--job", parser.value()?)?),
            Arg::Long("watch") => watch = true,
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.parse_option(&option, parser)? {
                    return Err(arguments::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Status {
        connection: common.finish()?,
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
        self.connection.call(Action::Status { job })
    }
}

impl Status {
    fn watch(&self) -> Result<(), Error> {
        let filter = Filter {
            subject: self.job.as_ref().map(ToString::to_string),
            ..Filter::default()
        };
        self.connection.with_client(async |client| {
            let mut events = client.watch(&filter).await?;
            while let Some(event) = events.next().await? {
                // Printing fails once standard output is closed, which ends the watch.
                if print(&format!("{}\n", logs::line(&event))).is_err() {
                    break;
                }
            }
            Ok(())
        })
    }
}
