//! Tests of an entry as a separate process.

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
use crate::common::wait_until;

/// An entry process, which is killed on drop.
struct Entry {
    child: Child,
    caller: SocketAddr,
    operator: String,
    _log: BufReader<ChildStderr>,
}

impl Entry {
    fn start(fleet: &Fleet, name: &str) -> Self {
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
        std::fs::write(&file, fleet.settings_text(name)).expect("the scratch file can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
            .args(["entry", "--settings"])
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary can be started");
        let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut line = String::new();
        while !line.contains(" caller=") {
            line.clear();
            let count = log.read_line(&mut line).expect("the log is text");
            assert!(count > 0, "the entry exited before it logged its addresses");
        }
        let value = |key: &str| {
            let pair = line
                .split_whitespace()
                .find_map(|pair| pair.strip_prefix(key));
            pair.expect("the log line has all addresses").to_owned()
        };
        Self {
            caller: value("caller=").parse().expect("the address is valid"),
            operator: value("operator="),
            child,
            _log: log,
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("the kill command runs").success());
    }

    fn run_command(&self, command: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_samphiretrail"))
            .args(command)
            .args(["--entry", &self.operator])
            .output()
            .expect("the binary can be started")
    }

    fn watch(&self) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_samphiretrail"));
        command.args(["status", "--watch", "--entry", &self.operator]);
        let child = command.stdout(Stdio::piped()).spawn();
        child.expect("the binary can be started")
    }

    fn is_answering(&self, caller: &Caller) -> bool {
        let headers = [("x-repeatable", "yes")];
        let answer = caller.send(self.caller, "POST", "/call/orders/place", &headers, "lamp");
        answer.is_ok_and(|answer| answer.headers()["x-outcome"] == "answered")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process has already exited in some tests, so errors are ignored.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Guards against commands that fail against an entry in another process, and against a SIGTERM
/// that does not shut down gracefully with exit code 0.
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
    wait_until("the configuration", || {
        entry.run_command(&change).status.success()
    });
    let repeated = entry.run_command(&change);
    let text = String::from_utf8_lossy(&repeated.stdout).into_owned();
    assert!(text.starts_with("accepted call=c-1 version=1 "), "{text}");
    let conflict =
        entry.run_command(&[&["reconfigure", "--expected", "0"], file.as_slice()].concat());
    assert_eq!(conflict.status.code(), Some(1));
    let text = String::from_utf8_lossy(&conflict.stderr).into_owned();
    assert!(text.contains("reason=conflict version=1"), "{text}");
    let caller = Caller::new();
    wait_until("an answer", || entry.is_answering(&caller));
    let status = entry.run_command(&["status"]);
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(
        text.contains("entry=process-1 version=1 members=process-1"),
        "{text}"
    );
    assert!(text.contains("worker=vm-1 owner=process-1"), "{text}");
    let timeline = entry.run_command(&["timeline", "--kind", "config-in-force"]);
    let text = String::from_utf8_lossy(&timeline.stdout).into_owned();
    assert!(
        text.contains("kind=config-in-force subject=config/1"),
        "{text}"
    );
    let mut watch = entry.watch();
    let events = BufReader::new(watch.stdout.take().expect("standard output is piped")).lines();
    let (sender, drains) = mpsc::channel();
    // The thread reads all events, so that the watching process never blocks on a full pipe.
    let reader = thread::spawn(move || {
        let is_leaving = |line: &String| line.contains("kind=leaving");
        let leaving_lines = events
            .map(|line| line.expect("the value is text"))
            .filter(is_leaving);
        leaving_lines.for_each(|_| {
            let _ = sender.send(());
        });
    });
    // The drain is repeated, because the watch may start after the first one.
    wait_until("an event of the drain", || {
        assert!(entry.run_command(&["drain", "vm-0"]).status.success());
        let was_reported = drains.recv_timeout(Duration::from_millis(3_000)).is_ok();
        assert!(
            entry
                .run_command(&["drain", "vm-0", "--return"])
                .status
                .success()
        );
        was_reported
    });
    entry.signal("-TERM");
    let status = entry
        .child
        .wait()
        .expect("the entry is a child of this process");
    assert_eq!(status.code(), Some(0));
    reader.join().expect("the reader thread does not panic");
    assert!(
        watch
            .wait()
            .expect("the watch is a child of this process")
            .success()
    );
}

/// Guards against an entry that uses its old configuration and groups after a pause, or that does
/// not serve requests again after it.
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
    wait_until("the configuration", || {
        entry.run_command(&change).status.success()
    });
    let caller = Caller::new();
    wait_until("an answer", || entry.is_answering(&caller));
    entry.signal("-STOP");
    // The pause exceeds the 3 s after which an entry reads its configuration again before using it.
    thread::sleep(Duration::from_millis(4_000));
    entry.signal("-CONT");
    wait_until("an answer after the pause", || entry.is_answering(&caller));
}
