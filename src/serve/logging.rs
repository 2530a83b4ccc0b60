//! Writes log lines to standard output through a bounded queue, so that logging never blocks.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TryRecvError;
use std::sync::mpsc::sync_channel;
use std::thread;

use log::Record;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;

use super::Error;
use super::clock;

/// The most lines that wait for a slow reader of standard output. Further lines are dropped and
/// counted.
pub const MAX_QUEUED_LINES: usize = 4_096;
/// The most bytes of one write. A reader may take no more than this from a write and lose the rest.
pub const MAX_WRITE_BYTES: usize = 8_192;
/// The most bytes of the mark at the end of a line that was cut.
const MAX_MARK_BYTES: usize = " cut=\n".len() + 20;
/// The most bytes of a quoted text that another writer chose, so that it does not displace the log.
const MAX_QUOTED_BYTES: usize = 240;
const APPENDER_NAME: &str = "queue";

/// A line in the queue.
struct Line {
    /// The number of lines that were dropped just before this one.
    dropped_before: u64,
    /// The text with its newline; empty if the line only wakes the writer.
    text: String,
}

/// The end of the queue that takes lines and never blocks.
pub struct Queue {
    entry: Arc<str>,
    lines: SyncSender<Line>,
    /// Lines dropped since the last report of dropped lines.
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for Queue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl Queue {
    /// Adds a line, given without its newline. The line is dropped and counted if the queue is
    /// full, and cut if it does not fit into one write.
    pub fn push(&self, text: String) {
        let dropped_before = self.dropped.swap(0, Ordering::SeqCst);
        let line = Line {
            dropped_before,
            text: end_line(text),
        };
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped_before + 1, Ordering::SeqCst);
            // The writer may have emptied the queue before this count. If the queue is full again,
            // the writer reads the count after the lines in it.
            drop(self.lines.try_send(Line {
                dropped_before: 0,
                text: String::new(),
            }));
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        self.push(format!(
            "time={} level={} entry={} {}",
            clock::unix().0,
            record.level(),
            self.entry,
            record.args()
        ));
        Ok(())
    }

    fn flush(&self) {}
}

/// The end of the queue that writes its lines.
pub struct Writer {
    entry: Arc<str>,
    lines: Receiver<Line>,
    /// Lines dropped since the last report of dropped lines.
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer").finish_non_exhaustive()
    }
}

impl Writer {
    /// Writes queued lines, as many whole lines at once as fit into [`MAX_WRITE_BYTES`], until the
    /// queue is closed and empty.
    ///
    /// # Errors
    ///
    /// Returns an error when the output is closed.
    pub fn run(self, output: &mut impl Write) -> io::Result<()> {
        let mut batch = Batch::new(output);
        while let Ok(line) = self.next(&mut batch)? {
            self.report_dropped(&mut batch, line.dropped_before)?;
            batch.push(&line.text)?;
        }
        Ok(())
    }

    /// Returns the next line. If none is queued, first writes the batch, so that no line waits for
    /// a later one.
    fn next(&self, batch: &mut Batch<'_, impl Write>) -> io::Result<Result<Line, RecvError>> {
        match self.lines.try_recv() {
            Ok(line) => return Ok(Ok(line)),
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => {}
        }
        self.report_dropped(batch, self.dropped.swap(0, Ordering::SeqCst))?;
        batch.write()?;
        Ok(self.lines.recv())
    }

    fn report_dropped(&self, batch: &mut Batch<'_, impl Write>, lines: u64) -> io::Result<()> {
        if lines == 0 {
            return Ok(());
        }
        batch.push(&end_line(format!(
            "kind=log-dropped entry={} lines={lines}",
            self.entry
        )))
    }
}

/// Whole lines that are written at once.
struct Batch<'a, W> {
    text: String,
    output: &'a mut W,
}

impl<'a, W: Write> Batch<'a, W> {
    fn new(output: &'a mut W) -> Self {
        Self {
            text: String::with_capacity(MAX_WRITE_BYTES),
            output,
        }
    }

    /// Adds a line of at most [`MAX_WRITE_BYTES`], and first writes the lines before it if there is
    /// no room for it.
    fn push(&mut self, line: &str) -> io::Result<()> {
        if self.text.len() + line.len() > MAX_WRITE_BYTES {
            self.write()?;
        }
        self.text += line;
        Ok(())
    }

    fn write(&mut self) -> io::Result<()> {
        if self.text.is_empty() {
            return Ok(());
        }
        self.output.write_all(self.text.as_bytes())?;
        self.text.clear();
        self.output.flush()
    }
}

/// Adds the newline to a line. A line that does not fit into one write is cut and ends with the
/// number of bytes that were removed.
fn end_line(mut line: String) -> String {
    if line.len() < MAX_WRITE_BYTES {
        line.push('\n');
        return line;
    }
    let kept = line.floor_char_boundary(MAX_WRITE_BYTES - MAX_MARK_BYTES);
    let mark = format!(" cut={}\n", line.len() - kept);
    line.truncate(kept);
    line + &mark
}

/// Returns a text in quotes and with escapes, cut if it is long.
pub(super) fn quote(text: &str) -> String {
    let mut quoted = format!("{text:?}");
    if quoted.len() > MAX_QUOTED_BYTES {
        quoted.truncate(quoted.floor_char_boundary(MAX_QUOTED_BYTES));
        quoted += "...\"";
    }
    quoted
}

/// Creates the queue for the log lines of an entry.
#[must_use]
pub fn queue(entry: &str) -> (Queue, Writer) {
    let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
    let (entry, dropped): (Arc<str>, _) = (entry.into(), Arc::default());
    let queue = Queue {
        entry: Arc::clone(&entry),
        lines: sender,
        dropped: Arc::clone(&dropped),
    };
    let writer = Writer {
        entry,
        lines,
        dropped,
    };
    (queue, writer)
}

/// Starts logging for the process.
///
/// # Errors
///
/// Returns an error when the log thread cannot be started or a logger is already set.
pub(super) fn start(entry: &str, level: log::LevelFilter) -> Result<(), Error> {
    let (queue, writer) = queue(entry);
    // Standard output is closed when writing fails, so the failure cannot be reported.
    thread::Builder::new()
        .name("log".into())
        .spawn(move || drop(writer.run(&mut io::stdout())))
        .map_err(|error| Error::Start(format!("log thread: {error}")))?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(queue)))
        .build(Root::builder().appender(APPENDER_NAME).build(level))
        .map_err(|error| Error::Start(error.to_string()))?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|error| Error::Start(error.to_string()))
}
