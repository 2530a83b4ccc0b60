//! The command `submit`, which submits a batch job.

use decision::clock::Ms;
use decision::name::Name;
use decision::operator::Action;
use decision::operator::Job;
use decision::resource::Size;
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
Usage: samphiretrail submit --entry ADDR --job NAME --team NAME --kind NAME
                            --tasks N [OPTIONS]

Submits a batch job: N independent tasks of one shape.

Options:
      --entry ADDR      Operator address of any entry
      --call ID         Id of the call; repeating a call with its id is harmless
      --job NAME        Name of the job, unique for all time
      --team NAME       Team that the job counts against
      --kind NAME       Kind of the tasks
      --tasks N         Number of tasks
      --millicores N    Processor time of a task in thousandths of a core [1000]
      --memory-mb N     Memory of a task [256]
      --accelerators N  Accelerators of a task [0]
      --run-time-ms N   Declared run time of a task [60000]
      --urgent          Goes before other work
  -h, --help            Show this help
";

/// The command `submit` with its parsed options.
#[derive(Debug)]
pub struct Submit {
    connection: Connection,
    job: Job,
}

struct Options {
    common: Common,
    job: Option<Name>,
    team: Option<Name>,
    kind: Option<Name>,
    tasks: Option<u32>,
    size: Size,
    run_time: Ms,
    urgent: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            common: Common::default(),
            job: None,
            team: None,
            kind: None,
            tasks: None,
            size: Size {
                millicores: 1_000,
                memory_mb: 256,
                accelerators: 0,
            },
            run_time: Ms(60_000),
            urgent: false,
        }
    }
}

impl Options {
    fn parse_option(
        &mut self,
        option: &str,
        parser: &mut Parser,
    ) -> Result<bool, arguments::Error> {
        match option {
            "job" => self.job = Some(arguments::name("--job", parser.value()?)?),
            "team" => self.team = Some(arguments::name("--team", parser.value()?)?),
            "kind" => self.kind = Some(arguments::name("--kind", parser.value()?)?),
            "tasks" => self.tasks = Some(arguments::value(parser, option)?),
            "millicores" => self.size.millicores = arguments::value(parser, option)?,
            "memory-mb" => self.size.memory_mb = arguments::value(parser, option)?,
            "accelerators" => self.size.accelerators = arguments::value(parser, option)?,
            "run-time-ms" => self.run_time = Ms(arguments::value(parser, option)?),
            "urgent" => self.urgent = true,
            other => return self.common.parse_option(other, parser),
        }
        Ok(true)
    }

    fn finish(self) -> Result<Submit, arguments::Error> {
        Ok(Submit {
            connection: self.common.finish()?,
            job: Job {
                name: arguments::required("--job NAME", self.job)?,
                team: arguments::required("--team NAME", self.team)?,
                kind: arguments::required("--kind NAME", self.kind)?,
                tasks: arguments::required("--tasks N", self.tasks)?,
                size: self.size,
                run_time: self.run_time,
                urgent: self.urgent,
            },
        })
    }
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long(option) => {
                let option = option.to_owned();
                if !options.parse_option(&option, parser)? {
                    return Err(arguments::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(options.finish()?)))
}

impl Run for Submit {
    fn run(&self) -> Result<(), Error> {
        self.connection.call(Action::Submit(self.job.clone()))
    }
}
