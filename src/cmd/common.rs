//! The options that all operator commands share.

use std::net::SocketAddr;

use decision::name::Name;
use lexopt::Parser;

use super::Connection;
use super::unique_call_id;
use crate::arguments::Error;
use crate::arguments::name;
use crate::arguments::required;
use crate::arguments::value;

/// The options that all operator commands share.
#[derive(Debug, Default)]
pub(crate) struct Common {
    entry: Option<SocketAddr>,
    call: Option<Name>,
}

impl Common {
    /// Parses the option if it is a shared one, and returns whether it is.
    pub(crate) fn parse_option(
        &mut self,
        option: &str,
        parser: &mut Parser,
    ) -> Result<bool, Error> {
        match option {
            "entry" => self.entry = Some(value(parser, option)?),
            "call" => self.call = Some(name("--call", parser.value()?)?),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Returns the checked options. Without `--call`, a unique id is generated.
    pub(crate) fn finish(self) -> Result<Connection, Error> {
        Ok(Connection {
            entry: required("--entry ADDR", self.entry)?,
            call: self.call.unwrap_or_else(unique_call_id),
        })
    }
}
