//! Entries as real processes.

use std::array;
use std::env;
use std::ffi::OsString;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use rustix::process;
use rustix::process::Pid;
use rustix::process::Signal;

/// Attempts to start an entry whose ports may be taken before it listens.
const MAX_START_ATTEMPTS: usize = 5;
/// The time within which an entry whose port is taken has exited.
const START_TIME: Duration = Duration::from_millis(150);

/// An entry process, which is killed on drop.
pub struct Entry {
    child: Child,
    /// The address for customers' requests.
    pub customer: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address of the metrics.
    pub metrics: SocketAddr,
    /// The address at which it accepts agents while it leads.
    pub peer: SocketAddr,
    /// The file that its log is written to.
    log: PathBuf,
}

impl Entry {
    /// Starts an entry as a process. An outgoing connection may take one of its ports before the
    /// entry listens, so an entry that exits at once is started again with other ports.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        Self::start_in("z", name, store, &|_| {})
    }

    /// Starts an entry in a failure domain, and tells `announce` before each start the address at
    /// which it will listen for agents.
    pub fn start_in(
        domain: &str,
        name: &str,
        store: SocketAddr,
        announce: &dyn Fn(SocketAddr),
    ) -> Self {
        for _ in 0..MAX_START_ATTEMPTS {
            let mut entry = Self::spawn(domain, name, store, None, announce);
            thread::sleep(START_TIME);
            if !entry.has_ended() {
                return entry;
            }
        }
        panic!("entry {name} exited after each of {MAX_START_ATTEMPTS} starts");
    }

    /// Starts an entry whose standard output is a pipe that the caller may leave unread.
    pub fn start_with_unread_log(name: &str, store: SocketAddr) -> (Self, ChildStdout) {
        let mut entry = Self::spawn("z", name, store, Some(Stdio::piped()), &|_| {});
        let log = entry.child.stdout.take().expect("standard output is piped");
        (entry, log)
    }

    fn spawn(
        domain: &str,
        name: &str,
        store: SocketAddr,
        output: Option<Stdio>,
        announce: &dyn Fn(SocketAddr),
    ) -> Self {
        let [customer, ready, peer, metrics] = array::from_fn(|_| free_address());
        announce(peer);
        let text = format!(
            "[entry]\nname = {name}\nfailure_domain = {domain}\n[listen]\ncustomer = {customer}\n\
             ready = {ready}\npeer = {peer}\nmetrics = {metrics}\n[platform]\nstore = {store}\n\
             [bounds]\nlease_ms = 6000\nretention_s = 120\nharm_ms = 4000\nstop_s = 6\n"
        );
        let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("serve-{name}-{}.ini", customer.port()));
        fs::write(&file, text).expect("the scratch file can be written");
        let log_file = file.with_extension("log");
        let log = File::create(&log_file).expect("the scratch file can be written");
        let child = Command::new(binary())
            .arg("serve")
            .env("SAMPHIRETRAIL_BOOT", &file)
            .stdout(output.unwrap_or_else(|| log.into()))
            .spawn()
            .expect("the binary can be started");
        Self {
            child,
            customer,
            ready,
            metrics,
            peer,
            log: log_file,
        }
    }

    /// Returns the file that the entry logs to.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    /// Returns what the entry has logged so far.
    pub fn read_log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the values of a key in the log lines of a kind, in the order of the log.
    pub fn logged(&self, kind: &str, key: &str) -> Vec<String> {
        let log = self.read_log();
        let (kind, key) = (format!("kind={kind}"), format!("{key}="));
        let lines = log
            .lines()
            .map(|line| line.split(' ').collect::<Vec<_>>())
            .filter(|words| words.contains(&kind.as_str()));
        lines
            .filter_map(|words| words.iter().find_map(|word| word.strip_prefix(&*key)))
            .map(str::to_owned)
            .collect()
    }

    /// Sends the process a signal, named as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("the kill command runs").success());
    }

    /// Stops or continues the process at once, without another process that sends the signal.
    pub fn set_stopped(&self, is_stopped: bool) {
        let signal = if is_stopped {
            Signal::STOP
        } else {
            Signal::CONT
        };
        let id = Pid::from_child(&self.child);
        process::kill_process(id, signal).expect("the process is a child of this one");
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the entry is a child of this process")
            .is_some()
    }

    /// Waits for the process to end, and returns its exit code; `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("the entry is a child of this process")
            .code()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Returns the program to test: the one that `SOAK_BINARY` names, or else this build.
fn binary() -> OsString {
    env::var_os("SOAK_BINARY").unwrap_or_else(|| env!("CARGO_BIN_EXE_samphiretrail").into())
}

/// Returns a loopback address on which nothing listens at the moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}
