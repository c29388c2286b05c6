//! Logger that writes structured lines to standard output.
//!
//! Log lines are buffered in memory and written by a separate thread, so that a stalled reader of
//! standard output never blocks a request. Lines that exceed the buffer are dropped and counted.

use std::fmt::Write as _;
use std::io;
use std::io::Write as _;
use std::mem;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use basilgrade_types::clock;
use basilgrade_types::clock::Clock as _;

/// Maximum size of the buffer between flushes; holds about 1 s of lines at the highest load.
const MAX_PENDING_BYTES: usize = 128 << 10;

/// Maximum number of flushed batches in the queue of the writer thread.
const MAX_QUEUED_BATCHES: usize = 4;

/// Interval between flushes of the buffer; each flush costs a wake-up and a system call.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(250);

struct Logger {
    clock: clock::SystemClock,
    pending: sync::Mutex<String>,
    dropped: atomic::AtomicU64,
    writer: mpsc::SyncSender<String>,
}

static LOGGER: sync::OnceLock<Logger> = sync::OnceLock::new();

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("basilgrade")
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut pending = self
            .pending
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if pending.len() >= MAX_PENDING_BYTES {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        let level = match record.level() {
            log::Level::Error => "error",
            log::Level::Warn => "warn",
            log::Level::Info => "info",
            log::Level::Debug => "debug",
            log::Level::Trace => "trace",
        };
        // `writeln!` to a `String` cannot fail.
        let _ = writeln!(
            pending,
            "ts={} level={level} {}",
            self.clock.now().0,
            record.args()
        );
    }

    fn flush(&self) {
        let mut batch = {
            let mut pending = self
                .pending
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            mem::take(&mut *pending)
        };
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(batch, "level=warn event=log-dropped lines={dropped}");
        }
        if batch.is_empty() {
            return;
        }
        let lines = batch.lines().count() as u64;
        if self.writer.try_send(batch).is_err() {
            self.dropped.fetch_add(lines, atomic::Ordering::Relaxed);
        }
    }
}

/// Installs the logger of the process; must be called once. No line is written until
/// `log::set_max_level` sets a level.
///
/// # Errors
///
/// [`log::SetLoggerError`] if a logger is already installed.
pub fn start() -> Result<(), log::SetLoggerError> {
    let (writer, batches) = mpsc::sync_channel::<String>(MAX_QUEUED_BATCHES);
    thread::spawn(move || {
        for batch in batches {
            // An error is ignored, as a closed standard output can be reported nowhere else.
            let _ = io::stdout().write_all(batch.as_bytes());
        }
    });
    let logger = LOGGER.get_or_init(|| Logger {
        clock: clock::SystemClock::new(),
        pending: sync::Mutex::default(),
        dropped: atomic::AtomicU64::new(0),
        writer,
    });
    log::set_logger(logger)?;
    Ok(())
}

/// Passes buffered lines to the writer thread every `FLUSH_INTERVAL`; never returns.
pub async fn flush_regularly() {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        log::logger().flush();
    }
}

/// Flushes the buffer at the end of the process and gives the writer thread time to write it.
pub fn finish() {
    log::logger().flush();
    thread::sleep(time::Duration::from_millis(20));
}
