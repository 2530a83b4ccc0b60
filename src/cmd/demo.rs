//! The command `demo`, which runs the demo.

use decision::clock::Ms;
use lexopt::Arg;
use lexopt::Parser;

use super::Error;
use super::Parsed;
use super::Run;
use super::failed;
use super::print;
use crate::arguments;
use crate::demo;
use crate::demo::Options;

/// The help text of this command.
pub const HELP: &str = "\
Usage: samphiretrail demo [--seconds N] [--seed S] [--json]

Runs three entries with stand-ins for platform, workers and callers in this process, on loopback:
shop orders and a batch job, a worker drained and an entry stopped on the way. Fails if a promise
was broken.

Options:
      --seconds N  How long callers send requests, 2 to 600 [default: 10]
      --seed S     Selects service times, run times and contents [default: 1]
      --json       Print one line of JSON instead of a summary
  -h, --help       Show this help
";

/// The command `demo` with its parsed options.
#[derive(Debug)]
pub struct Demo {
    options: Options,
    json: bool,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let (mut seconds, mut seed, mut json) = (10, 1, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Long("seconds") => seconds = arguments::value(parser, "seconds")?,
            Arg::Long("seed") => seed = arguments::value(parser, "seed")?,
            Arg::Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if !(2..=600).contains(&seconds) {
        return Err(arguments::Error::Usage(format!(
            "--seconds {seconds}: must be from 2 to 600"
        )));
    }
    let options = Options {
        duration: Ms(seconds * 1_000),
        seed,
    };
    Ok(Parsed::Run(Box::new(Demo { options, json })))
}

impl Run for Demo {
    fn run(&self) -> Result<(), Error> {
        let summary = demo::run(self.options).map_err(|error| failed("demo", &error))?;
        if self.json {
            let line = serde_json::to_string(&summary).map_err(|error| failed("demo", &error))?;
            print(&format!("{line}\n"))?;
        } else {
            print(&format!("{summary}\n"))?;
        }
        if summary.is_good() {
            Ok(())
        } else {
            Err(Error::Failed(
                "demo: an invariant was violated or batch work did not complete".into(),
            ))
        }
    }
}
