//! The command `timeline`, which shows recent events of all entries.

use decision::timeline::Filter;
use decision::timeline::Kind;
use lexopt::Arg;
use lexopt::Parser;
use operator::client::Client;

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
Usage: samphiretrail timeline --entry ADDR [OPTIONS]

Shows recent timeline events of all entries in causal order.

Options:
      --entry ADDR   Operator address of any entry
      --subject S    Only events of this request, task or job (with its tasks)
      --vm NAME      Only events on this VM
      --kind KIND    Only events of this kind, such as task-started
      --local        Only events of the entry asked
  -h, --help         Show this help
";

/// The command `timeline` with its parsed options.
#[derive(Debug)]
pub struct Timeline {
    connection: Connection,
    filter: Filter,
    local: bool,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let mut common = Common::default();
    let mut filter = Filter::default();
    let mut local = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("subject") => filter.subject = Some(arguments::value(parser, "subject")?),
            Arg::Long("vm") => filter.vm = Some(arguments::name("--vm", parser.value()?)?),
            Arg::Long("kind") => {
                filter.kind = Some(kind(&arguments::value::<String>(parser, "kind")?)?)
            }
            Arg::Long("local") => local = true,
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.parse_option(&option, parser)? {
                    return Err(arguments::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Timeline {
        connection: common.finish()?,
        filter,
        local,
    })))
}

impl Run for Timeline {
    fn run(&self) -> Result<(), Error> {
        let query = async |client: &mut Client| client.timeline(&self.filter, self.local).await;
        let timeline = self.connection.with_client(query)?;
        for event in &timeline.events {
            print(&format!("{}\n", logs::line(event)))?;
        }
        if timeline.missing.is_empty() {
            return Ok(());
        }
        let missing = timeline.missing.join(", ");
        Err(Error::Failed(format!("no answer from {missing}")))
    }
}

fn kind(raw: &str) -> Result<Kind, arguments::Error> {
    Kind::try_from(raw).map_err(|error| arguments::Error::Usage(format!("--kind {raw:?}: {error}")))
}
