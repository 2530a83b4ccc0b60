//! The commands, one file each.

pub mod cancel;
pub mod check;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod reconfigure;
pub mod serve;
pub mod status;
pub mod submit;
pub mod timeline;

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

use crate::cli;
use crate::settings;

/// The time limit of an operator call; an entry answers within 10 s.
const CALL_TIME: Duration = Duration::from_millis(12_000);

quick_error! {
    /// Why a command did not succeed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(error: cli::Error) {
            from()
            display("{}", error)
        }
        /// The settings are wrong.
        Settings(error: settings::Error) {
            from()
            display("{}", error)
        }
        /// The work failed.
        Failed(reason: String) {
            display("{}", reason)
        }
    }
}

impl Error {
    /// The exit code.
    #[must_use]
    pub const fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) | Self::Settings(_) => 2,
        }
    }
}

/// A command with its options.
pub trait Run {
    /// Runs it to its end.
    ///
    /// # Errors
    ///
    /// When it did not succeed.
    fn run(&self) -> Result<(), Error>;
}

/// Writes to standard output.
///
/// # Errors
///
/// When standard output is closed.
pub fn print(text: &str) -> Result<(), Error> {
    io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| failed("standard output", &error))
}

/// The error of work on `what`.
pub(crate) fn failed(what: &str, error: &dyn std::error::Error) -> Error {
    Error::Failed(format!("{what}: {error}"))
}

/// The entry asked and the id of the call.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where the entry listens for operators.
    pub entry: SocketAddr,
    /// Makes a second sending harmless.
    pub call: Name,
}

impl Target {
    /// Makes a call and prints its result.
    pub(crate) fn call(&self, action: Action) -> Result<(), Error> {
        let call = Call {
            id: self.call.clone(),
            action,
        };
        let reply = self.with(async |client| client.call(&call).await)?;
        print(&self.text(reply)?)
    }

    /// Connects to the entry and runs `work`.
    pub(crate) fn with<T>(
        &self,
        work: impl AsyncFnOnce(&mut Client) -> Result<T, operator::client::Error>,
    ) -> Result<T, Error> {
        let spawner = Spawner::default();
        let all = async {
            let mut client = Client::connect(&spawner, self.entry, CALL_TIME).await?;
            work(&mut client).await
        };
        smol::block_on(spawner.run(all)).map_err(|error| {
            let Self { entry, call } = self;
            Error::Failed(format!("entry={entry} call={call}: {error}"))
        })
    }

    fn text(&self, reply: Reply) -> Result<String, Error> {
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
                joined(&in_force),
                joined(&pending)
            )),
            Reply::Difference(items) => Ok(items.iter().map(|item| format!("{item}\n")).collect()),
            Reply::Status(status) => Ok(status_text(&status)),
            Reply::Refused(refusal) => Err(Error::Failed(format!(
                "refused call={call} {}",
                reason(&refusal)
            ))),
            Reply::Unknown => Err(Error::Failed(format!(
                "unknown: repeat the command with --call {call}"
            ))),
        }
    }
}

fn joined(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    names.join(",")
}

fn reason(refusal: &Refusal) -> String {
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
        joined(&status.members)
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

/// A call id that no other call has.
pub(crate) fn unique() -> Name {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = since.unwrap_or_default().as_nanos();
    let id = format!("cli-{nanos:x}-{:x}", process::id());
    Name::try_from(id).expect("hexadecimal digits are allowed in names")
}
