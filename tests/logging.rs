//! Tests of the queue of log lines and of the writes that it ends in.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use samphiretrail::serve::logging;
use samphiretrail::serve::logging::MAX_QUEUED_LINES;
use samphiretrail::serve::logging::MAX_WRITE_BYTES;

const TIMEOUT: Duration = Duration::from_secs(10);

/// An output that records each write.
#[derive(Default)]
struct Recorder(Vec<String>);

impl Write for Recorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8(bytes.to_vec()).expect("lines are not cut within a character");
        self.0.push(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose writes wait until they are permitted.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    /// The number of writes that may end.
    permitted: usize,
    /// The number of writes that have begun.
    begun: usize,
    recorder: Recorder,
}

impl Gate {
    fn permit(&self, writes: usize) {
        let mut state = self.0.0.lock().expect("no holder of this lock panics");
        state.permitted = writes;
        self.0.1.notify_all();
    }

    /// Waits until a condition holds, and fails after 10 s.
    fn wait(&self, mut condition: impl FnMut(&State) -> bool) {
        let state = self.0.0.lock().expect("no holder of this lock panics");
        let waited = self
            .0
            .1
            .wait_timeout_while(state, TIMEOUT, |state| !condition(state));
        let (state, waited) = waited.expect("no holder of this lock panics");
        let begun = state.begun;
        drop(state);
        assert!(!waited.timed_out(), "{begun} writes have begun");
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.0.lock().expect("no holder of this lock panics");
        state.begun += 1;
        self.0.1.notify_all();
        let number = state.begun;
        let mut state = self
            .0
            .1
            .wait_while(state, |state| state.permitted < number)
            .expect("no holder of this lock panics");
        let written = state.recorder.write(bytes);
        self.0.1.notify_all();
        written
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Queues all lines before the first is written, and returns the writes.
fn writes_of(lines: &[String]) -> Vec<String> {
    let (queue, writer) = logging::queue("a");
    for line in lines {
        queue.push(line.clone());
    }
    drop(queue);
    let mut recorder = Recorder::default();
    writer.run(&mut recorder).expect("the recorder takes all");
    for write in &recorder.0 {
        assert!(write.len() <= MAX_WRITE_BYTES, "{} bytes", write.len());
        assert!(write.ends_with('\n'), "{write}");
    }
    recorder.0
}

/// Guards against bursts of which a reader gets only the beginning: lines that were queued together
/// were written at once, and a reader takes at most 8,192 bytes of one write.
#[test]
fn a_burst_is_written_in_whole_lines_that_fit_one_read() {
    for length in [150, 1, 4_096, 8_191] {
        let lines: Vec<String> = (0..500).map(|index| format!("{index:0>length$}")).collect();
        let writes = writes_of(&lines);
        let text = writes.concat();
        assert!(text.lines().eq(&lines), "length {length}");
        let fitting = (MAX_WRITE_BYTES / (lines[0].len() + 1)).min(lines.len());
        assert_eq!(
            writes.len(),
            lines.len().div_ceil(fitting),
            "length {length}"
        );
    }
}

#[test]
fn a_line_that_does_not_fit_one_write_is_cut_and_says_so() {
    for character in ["x", "\u{e9}", "\u{1f980}"] {
        let long = character.repeat(10_000);
        let lines = ["before".into(), long.clone(), "after".into()];
        let text = writes_of(&lines).concat();
        let written: Vec<&str> = text.lines().collect();
        assert_eq!(written.len(), 3, "{character}");
        assert_eq!((written[0], written[2]), ("before", "after"), "{character}");
        let (kept, removed) = written[1]
            .rsplit_once(" cut=")
            .expect("the line has a mark");
        assert!(long.starts_with(kept), "{character}");
        let removed: usize = removed.parse().expect("the mark holds a number");
        assert_eq!(kept.len() + removed, long.len(), "{character}");
        assert!(written[1].len() > MAX_WRITE_BYTES - 30, "{character}");
    }
}

/// Guards against lines that are dropped without a report because no other line follows them.
#[test]
fn dropped_lines_are_reported_when_the_queue_is_free_again() {
    let (queue, writer) = logging::queue("a");
    let gate = Gate::default();
    let mut output = gate.clone();
    let writing = thread::spawn(move || writer.run(&mut output));
    queue.push("first".into());
    gate.wait(|state| state.begun == 1);
    for index in 0..MAX_QUEUED_LINES + 3 {
        queue.push(index.to_string());
    }
    gate.permit(usize::MAX);
    let report = "kind=log-dropped entry=a lines=3\n";
    gate.wait(|state| state.recorder.0.concat().ends_with(report));
    drop(queue);
    let ended = writing.join().expect("the writer does not panic");
    ended.expect("the gate permits all writes");
    let state = gate.0.0.lock().expect("no holder of this lock panics");
    let mut expected = vec!["first".to_owned()];
    expected.extend((0..MAX_QUEUED_LINES).map(|index| index.to_string()));
    expected.push(report.trim_end().into());
    assert!(state.recorder.0.concat().lines().eq(&expected));
}

/// Guards against a report that follows lines which were logged after the dropped ones.
#[test]
fn dropped_lines_are_reported_before_the_next_line() {
    let (queue, writer) = logging::queue("a");
    let gate = Gate::default();
    let mut output = gate.clone();
    let writing = thread::spawn(move || writer.run(&mut output));
    let line = "x".repeat(MAX_WRITE_BYTES - 1);
    queue.push(line.clone());
    gate.wait(|state| state.begun == 1);
    for _ in 0..MAX_QUEUED_LINES + 2 {
        queue.push(line.clone());
    }
    gate.permit(1);
    gate.wait(|state| state.begun == 2);
    queue.push("next".into());
    drop(queue);
    gate.permit(usize::MAX);
    let ended = writing.join().expect("the writer does not panic");
    ended.expect("the gate permits all writes");
    let state = gate.0.0.lock().expect("no holder of this lock panics");
    let text = state.recorder.0.concat();
    let lines: Vec<&str> = text.lines().skip(MAX_QUEUED_LINES).collect();
    assert_eq!(lines, [&line, "kind=log-dropped entry=a lines=2", "next"]);
}
