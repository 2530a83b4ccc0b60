//! The binary as a process of its own.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::ChildStderr;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use crate::common::Caller;
use crate::common::Fleet;
use crate::common::wait;

/// An entry process, killed when dropped.
struct Entry {
    child: Child,
    caller: SocketAddr,
    operator: String,
    _log: BufReader<ChildStderr>,
}

impl Entry {
    fn start(fleet: &Fleet, name: &str) -> Self {
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
        std::fs::write(&file, fleet.text(name)).expect("a scratch file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
            .args(["entry", "--settings"])
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let mut log = BufReader::new(child.stderr.take().expect("the log is piped"));
        let mut line = String::new();
        while !line.contains(" caller=") {
            line.clear();
            let count = log.read_line(&mut line).expect("the log is text");
            assert!(count > 0, "the entry ended before it listened");
        }
        let value = |key: &str| {
            let pair = line
                .split_whitespace()
                .find_map(|pair| pair.strip_prefix(key));
            pair.expect("the line names all addresses").to_owned()
        };
        Self {
            caller: value("caller=").parse().expect("an address"),
            operator: value("operator="),
            child,
            _log: log,
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    fn operate(&self, command: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
            .args(command)
            .args(["--entry", &self.operator])
            .output()
            .expect("the binary runs")
    }

    fn watch(&self) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_samphiretrail"));
        command.args(["status", "--watch", "--entry", &self.operator]);
        let child = command.stdout(Stdio::piped()).spawn();
        child.expect("the binary runs")
    }

    fn answers(&self, caller: &Caller) -> bool {
        let headers = [("x-repeatable", "yes")];
        let answer = caller.send(self.caller, "POST", "/call/orders/place", &headers, "lamp");
        answer.is_ok_and(|answer| answer.headers()["x-outcome"] == "answered")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It has already ended in most tests.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Guards against commands that only work against an entry in the same process, and against a
/// SIGTERM that is not a graceful shutdown with exit code 0.
#[test]
fn operators_and_signals_reach_an_entry() {
    let fleet = Fleet::start(2);
    let mut entry = Entry::start(&fleet, "process-1");
    let file = ["--file", "docs/example.json"];
    let change = [
        &["reconfigure", "--expected", "0", "--call", "c-1"],
        file.as_slice(),
    ]
    .concat();
    wait("the configuration", || {
        entry.operate(&change).status.success()
    });
    let again = entry.operate(&change);
    let text = String::from_utf8_lossy(&again.stdout).into_owned();
    assert!(text.starts_with("accepted call=c-1 version=1 "), "{text}");
    let conflict = entry.operate(&[&["reconfigure", "--expected", "0"], file.as_slice()].concat());
    assert_eq!(conflict.status.code(), Some(1));
    let text = String::from_utf8_lossy(&conflict.stderr).into_owned();
    assert!(text.contains("reason=conflict version=1"), "{text}");
    let caller = Caller::new();
    wait("an answer", || entry.answers(&caller));
    let status = entry.operate(&["status"]);
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(
        text.contains("entry=process-1 version=1 members=process-1"),
        "{text}"
    );
    assert!(text.contains("worker=vm-1 owner=process-1"), "{text}");
    let timeline = entry.operate(&["timeline", "--kind", "config-in-force"]);
    let text = String::from_utf8_lossy(&timeline.stdout).into_owned();
    assert!(
        text.contains("kind=config-in-force subject=config/1"),
        "{text}"
    );
    let mut watch = entry.watch();
    let events = BufReader::new(watch.stdout.take().expect("the events are piped")).lines();
    let (sender, seen) = mpsc::channel();
    // The events are read to their end, so that the watch does not wait for a reader.
    let reader = thread::spawn(move || {
        let leaving = |line: &String| line.contains("kind=leaving");
        let found = events.map(|line| line.expect("text")).filter(leaving);
        found.for_each(|_| {
            let _ = sender.send(());
        });
    });
    // The watch may begin after the first drain, so that it is repeated.
    wait("a drain as it happens", || {
        assert!(entry.operate(&["drain", "vm-0"]).status.success());
        let soon = seen.recv_timeout(Duration::from_millis(3_000)).is_ok();
        assert!(
            entry
                .operate(&["drain", "vm-0", "--return"])
                .status
                .success()
        );
        soon
    });
    entry.signal("-TERM");
    let status = entry.child.wait().expect("the entry ends");
    assert_eq!(status.code(), Some(0));
    reader.join().expect("the events are text");
    assert!(watch.wait().expect("the watch ends").success());
}

/// Guards against an entry that trusts its configuration and groups after a pause, or that does
/// not recover from it.
#[test]
fn a_paused_entry_recovers() {
    let fleet = Fleet::start(2);
    let entry = Entry::start(&fleet, "process-2");
    let change = [
        "reconfigure",
        "--expected",
        "0",
        "--file",
        "docs/example.json",
    ];
    wait("the configuration", || {
        entry.operate(&change).status.success()
    });
    let caller = Caller::new();
    wait("an answer", || entry.answers(&caller));
    entry.signal("-STOP");
    // Longer than the 3 s after which an entry no longer trusts what it knew.
    thread::sleep(Duration::from_millis(4_000));
    entry.signal("-CONT");
    wait("an answer after the pause", || entry.answers(&caller));
}
