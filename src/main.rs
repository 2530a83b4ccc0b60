//! The samphiretrail binary.

use std::env;
use std::process::ExitCode;

use samphiretrail::cli;
use samphiretrail::cli::Parsed;
use samphiretrail::cmd;

fn main() -> ExitCode {
    let result = match cli::parse(env::args_os()) {
        Ok(Parsed::Help(text)) => cmd::print(text),
        Ok(Parsed::Run(command)) => command.run(),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}
