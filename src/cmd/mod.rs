//! The commands of the command line, one module each.

pub mod cancel;
pub mod check;
mod common;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod reconfigure;
pub mod serve;
pub mod status;
pub mod submit;
pub mod timeline;

use std::fmt;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::process;
use std::time::Duration;
use std::time::SystemTime;

use decision::name::Name;
use decision::operator::Action;
use decision::operator::Call;
use decision::operator::Refusal;
use decision::operator::Reply;
use decision::operator::Status;
use link::Spawner;
use operator::client::Client;
use quick_error::quick_error;

use crate::arguments;
use crate::settings;

/// The time limit of an operator call. An entry answers within 10 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(12_000);

quick_error! {
    /// Why a command did not succeed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line does not have a documented form.
        Usage(error: arguments::Error) {
            from()
            display("{}", error)
        }
        /// The settings file cannot be read or has a wrong setting.
        Settings(error: settings::Error) {
            from()
            display("{}", error)
        }
        /// The command ran and failed.
        Failed(reason: String) {
            display("{}", reason)
        }
    }
}

impl Error {
    /// Returns the exit code of the process: 1 if the command failed, 2 for a usage or settings
    /// error.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) | Self::Settings(_) => 2,
        }
    }
}

/// A command with its parsed options.
pub trait Run {
    /// Runs the command to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the command did not succeed.
    fn run(&self) -> Result<(), Error>;
}

/// A parsed command line.
pub enum Parsed {
    /// A request for help, with the text to print.
    Help(&'static str),
    /// A command to run.
    Run(Box<dyn Run>),
}

impl fmt::Debug for Parsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Help(text) => f.debug_tuple("Help").field(text).finish(),
            Self::Run(_) => f.debug_tuple("Run").finish_non_exhaustive(),
        }
    }
}

/// Writes text to standard output.
///
/// # Errors
///
/// Returns an error when standard output is closed.
pub fn print(text: &str) -> Result<(), Error> {
    io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| failed("standard output", &error))
}

/// Creates an error; `what` names the command, file or resource that failed.
pub(crate) fn failed(what: &str, error: &dyn std::error::Error) -> Error {
    Error::Failed(format!("{what}: {error}"))
}

/// The entry that an operator command calls, and the id of the call.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The address on which the entry listens for operators.
    pub entry: SocketAddr,
    /// The id of the call. Sending the same call again with its id has no further effect.
    pub call: Name,
}

impl Connection {
    /// Calls the entry and prints the result.
    pub(crate) fn call(&self, action: Action) -> Result<(), Error> {
        let call = Call {
            id: self.call.clone(),
            action,
        };
        let reply = self.with_client(async |client| client.call(&call).await)?;
        print(&self.reply_text(reply)?)
    }

    /// Connects to the entry and runs `work` with the client.
    pub(crate) fn with_client<T>(
        &self,
        work: impl AsyncFnOnce(&mut Client) -> Result<T, operator::client::Error>,
    ) -> Result<T, Error> {
        let spawner = Spawner::default();
        let work_with_client = async {
            let mut client = Client::connect(&spawner, self.entry, CALL_TIMEOUT).await?;
            work(&mut client).await
        };
        smol::block_on(spawner.run(work_with_client)).map_err(|error| {
            let Self { entry, call } = self;
            Error::Failed(format!("entry={entry} call={call}: {error}"))
        })
    }

    fn reply_text(&self, reply: Reply) -> Result<String, Error> {
        let call = &self.call;
        match reply {
            Reply::Accepted => Ok(format!("accepted call={call}\n")),
            Reply::Configured {
                version,
                in_force,
                pending,
            } => Ok(format!(
                "accepted call={call} version={} in_force={} pending={}\n",
                version.0,
                join_names(&in_force),
                join_names(&pending)
            )),
            Reply::Difference(items) => Ok(items.iter().map(|item| format!("{item}\n")).collect()),
            Reply::Status(status) => Ok(status_text(&status)),
            Reply::Refused(refusal) => Err(Error::Failed(format!(
                "refused call={call} {}",
                refusal_text(&refusal)
            ))),
            Reply::Unknown => Err(Error::Failed(format!(
                "unknown: repeat the command with --call {call}"
            ))),
        }
    }
}

fn join_names(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    names.join(",")
}

fn refusal_text(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict(version) => format!("reason=conflict version={}", version.0),
        Refusal::Invalid(why) => format!("reason=invalid cause={why:?}"),
        Refusal::Infeasible { dimension, nearest } => format!(
            "reason=infeasible dimension={} nearest_millicores={} nearest_memory_mb={} \
             nearest_accelerators={}",
            format!("{dimension:?}").to_lowercase(),
            nearest.millicores,
            nearest.memory_mb,
            nearest.accelerators
        ),
        Refusal::Missing => "reason=missing".into(),
        Refusal::Unavailable => "reason=unavailable".into(),
    }
}

fn status_text(status: &Status) -> String {
    let mut text = format!(
        "entry={} version={} members={}\n",
        status.entry,
        status.version.0,
        join_names(&status.members)
    );
    for worker in &status.workers {
        text += &format!(
            "worker={} owner={} leaving={} tasks={} millicores={} memory_mb={} accelerators={}\n",
            worker.vm,
            worker.owner.as_deref().unwrap_or("-"),
            worker.leaving,
            worker.tasks,
            worker.booked.millicores,
            worker.booked.memory_mb,
            worker.booked.accelerators
        );
    }
    for job in &status.jobs {
        text += &format!(
            "job={} pending={} running={} done={} cancelled={} failed={}\n",
            job.job, job.pending, job.running, job.done, job.cancelled, job.failed
        );
    }
    text
}

/// Creates a unique call id from the time and the process id.
pub(crate) fn unique_call_id() -> Name {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = since.unwrap_or_default().as_nanos();
    let id = format!("cli-{nanos:x}-{:x}", process::id());
    Name::try_from(id).expect("names may contain letters, hyphens and hexadecimal digits")
}
