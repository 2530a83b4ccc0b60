//! The command `drain`, which takes a worker out of service or back into it.

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
Usage: samphiretrail drain --entry ADDR [OPTIONS] VM

Takes a worker out of service: it receives no new work. With --return, it is
taken back into service.

Options:
      --entry ADDR  Operator address of any entry
      --call ID     Id of the call; repeating a call with its id is harmless
      --return      Back into service
  -h, --help        Show this help
";

/// The command `drain` with its parsed options.
#[derive(Debug)]
pub struct Drain {
    connection: Connection,
    vm: Name,
    leave: bool,
}

/// Parses the arguments after the command name.
pub(crate) fn parse(parser: &mut Parser) -> Result<Parsed, arguments::Error> {
    let mut common = Common::default();
    let mut vm = None;
    let mut leave = true;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(Parsed::Help(HELP)),
            Arg::Value(raw) if vm.is_none() => vm = Some(arguments::name("VM", raw)?),
            Arg::Long("return") => leave = false,
            Arg::Long(option) => {
                let option = option.to_owned();
                if !common.parse_option(&option, parser)? {
                    return Err(arguments::Error::Usage(format!("no option --{option}")));
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Parsed::Run(Box::new(Drain {
        connection: common.finish()?,
        vm: arguments::required("VM", vm)?,
        leave,
    })))
}

impl Run for Drain {
    fn run(&self) -> Result<(), Error> {
        let vm = self.vm.clone();
        let leave = self.leave;
        self.connection.call(Action::Drain { vm, leave })
    }
}
