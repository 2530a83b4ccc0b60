//! Writes log lines to standard output through a bounded queue, so that logging never blocks.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
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
const MAX_QUEUED_LINES: usize = 4_096;
/// The most queued lines that are added to one write.
const MAX_BATCH_LINES: usize = 128;
const APPENDER_NAME: &str = "queue";

/// An appender that queues lines for the log thread.
struct Queue {
    entry: String,
    lines: SyncSender<String>,
    /// Lines dropped since the last report of dropped lines.
    dropped: AtomicU64,
}

impl fmt::Debug for Queue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = format!(
            "time={} level={} entry={} {}\n",
            clock::unix().0,
            record.level(),
            self.entry,
            record.args()
        );
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("kind=log-dropped entry={} lines={dropped}\n", self.entry);
            if self.lines.try_send(line).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts logging for the process.
///
/// # Errors
///
/// Returns an error when the log thread cannot be started or a logger is already set.
pub(super) fn start(entry: &str, level: log::LevelFilter) -> Result<(), Error> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || write(&queue, &mut io::stdout()))
        .map_err(|error| Error::Start(format!("log thread: {error}")))?;
    let appender = Queue {
        entry: entry.into(),
        lines,
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(appender)))
        .build(Root::builder().appender(APPENDER_NAME).build(level))
        .map_err(|error| Error::Start(error.to_string()))?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|error| Error::Start(error.to_string()))
}

/// Writes queued lines in batches until standard output is closed.
fn write(queue: &Receiver<String>, output: &mut impl Write) {
    while let Ok(mut text) = queue.recv() {
        for line in queue.try_iter().take(MAX_BATCH_LINES) {
            text += &line;
        }
        let written = output.write_all(text.as_bytes());
        if written.and_then(|()| output.flush()).is_err() {
            // Standard output is closed, so the failure cannot be reported.
            return;
        }
    }
}
