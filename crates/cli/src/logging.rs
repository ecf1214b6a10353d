//! The log: events of all crates as lines on standard error.
//!
//! Nothing that serves waits for standard error. A line goes into a queue of [`MOST`] bytes and is written by a thread
//! that does nothing else; what finds no room is left out and counted, and the lines of single requests (`debug` and
//! below) find none in the second half, so that they never crowd out the others. Of one kind of line, which is one place
//! in the code, [`A_SECOND`] are written in a second at most, and how many were left out is told behind them.

use clap::ValueEnum;
use madderloom_control_plane::settings::LogLevel;
use std::collections::HashMap;
use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber, callsite, level_filters::LevelFilter};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::{FmtContext, time::SystemTime};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// Bytes that wait to be written, at most.
const MOST: usize = 256 << 10;
/// Lines of one kind in a second, at most, but for those at the level `debug` and below.
const A_SECOND: u32 = 20;
const SECOND: Duration = Duration::from_secs(1);
/// How long the end of a program waits for the log to be written.
pub(crate) const LAST_LINES: Duration = Duration::from_millis(200);

/// What of the log is written, and how.
#[derive(clap::Args)]
pub(crate) struct Logging {
    /// What a line of the log looks like
    #[arg(long, value_enum, default_value_t = Format::Text, global = true)]
    log_format: Format,
    /// The least weighty lines that are written; above `debug`, nothing is written for a request that is served in time
    #[arg(long, value_enum, default_value_t = Filter::Info, global = true)]
    log_level: Filter,
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    /// A sentence.
    Text,
    /// An object with the time, the level, the sentence and its values apart.
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum Filter {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

impl From<LogLevel> for Filter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => Filter::Off,
            LogLevel::Error => Filter::Error,
            LogLevel::Warn => Filter::Warn,
            LogLevel::Info => Filter::Info,
            LogLevel::Debug => Filter::Debug,
            LogLevel::Trace => Filter::Trace,
        }
    }
}

impl From<Filter> for LevelFilter {
    fn from(filter: Filter) -> Self {
        match filter {
            Filter::Off => LevelFilter::OFF,
            Filter::Error => Level::ERROR.into(),
            Filter::Warn => Level::WARN.into(),
            Filter::Info => Level::INFO.into(),
            Filter::Debug => Level::DEBUG.into(),
            Filter::Trace => Level::TRACE.into(),
        }
    }
}

impl Logging {
    /// Starts the log. To be called once. What is given back sets the least weighty lines that are written from then
    /// on, or goes back to those of the command line.
    #[allow(clippy::type_complexity, reason = "a closure that nobody else names")]
    pub(crate) fn start(&self) -> Result<(impl Fn(Option<LogLevel>) + use<>, Written), String> {
        let (filter, handle) = reload::Layer::new(LevelFilter::from(self.log_level));
        let (queue, pace) = queue(self.log_format)?;
        let written = Written(Arc::clone(&queue.waiting));
        // The library would report its own trouble on standard error by a macro that panics when it can't.
        let lines = tracing_subscriber::fmt::layer()
            .with_writer(queue)
            .log_internal_errors(false);
        let log = tracing_subscriber::registry().with(filter).with(pace);
        match self.log_format {
            Format::Text => log.with(lines.event_format(Sentence)).init(),
            Format::Json => log
                .with(lines.json().with_timer(SystemTime).with_target(false))
                .init(),
        }
        let own = self.log_level;
        // It fails only where there is no log any more.
        Ok((
            move |level: Option<LogLevel>| {
                _ = handle.reload(LevelFilter::from(level.map_or(own, Filter::from)))
            },
            written,
        ))
    }
}

/// Says why the program ends. Standard error may be closed, or full and read by nobody: neither must hide the exit code
/// or keep the program from ending.
pub(crate) fn last_words(text: String) {
    let (done, end) = channel();
    let write = move || {
        let _ = io::stderr().lock().write_all(text.as_bytes());
        let _ = done.send(());
    };
    if std::thread::Builder::new().spawn(write).is_ok() {
        let _ = end.recv_timeout(5 * LAST_LINES);
    }
}

/// What is on its way to standard error, in bytes.
pub(crate) struct Written(Arc<AtomicUsize>);

impl Written {
    /// Waits until all of it is written, for so long at most: whoever should read it may have stopped.
    pub(crate) fn wait(&self, within: Duration) {
        let until = Instant::now() + within;
        while self.0.load(Ordering::Acquire) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// What the thread that writes is sent.
enum Sent {
    Line(Box<[u8]>),
    /// Something was left out, and is to be told of in a second.
    LeftOut,
}

/// The way to the thread that writes. Shared by all threads that log: its counters are atomic, and the channel takes lines
/// from any of them.
struct Queue {
    lines: Sender<Sent>,
    /// Bytes that wait.
    waiting: Arc<AtomicUsize>,
    /// Lines that found no room and were not told of yet.
    lost: Arc<AtomicU64>,
}

/// One line on its way.
struct Line<'a> {
    queue: &'a Queue,
    most: usize,
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            queue: self,
            most: MOST,
        }
    }

    fn make_writer_for(&'a self, of: &Metadata<'_>) -> Line<'a> {
        Line {
            queue: self,
            most: if of.level() <= &Level::INFO {
                MOST
            } else {
                MOST / 2
            },
        }
    }
}

impl Write for Line<'_> {
    /// Takes a whole line, as the library gives it, or leaves it out. It never waits and never fails.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let Queue {
            lines,
            waiting,
            lost,
        } = self.queue;
        // Several threads may find the same room: each adds a line more than there is for at most.
        if waiting.load(Ordering::Relaxed) + line.len() > self.most {
            lost.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        waiting.fetch_add(line.len(), Ordering::Relaxed);
        if lines.send(Sent::Line(line.into())).is_err() {
            // Nobody writes any more.
            waiting.fetch_sub(line.len(), Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What was written of one kind in a second that has begun.
struct Kind {
    since: Instant,
    written: u32,
    left_out: u64,
    place: String,
}

/// The kinds of lines: as many as there are places in the code that write one.
type Kinds = Arc<Mutex<HashMap<callsite::Identifier, Kind>>>;

/// Leaves out what comes too often. Its lock is held for a look at one kind, by whichever thread logs or writes.
struct Pace {
    kinds: Kinds,
    lines: Sender<Sent>,
}

impl<S: Subscriber> Layer<S> for Pace {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let of = event.metadata();
        if of.level() > &Level::INFO {
            return true;
        }
        let now = Instant::now();
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.entry(of.callsite()).or_insert_with(|| Kind {
            since: now,
            written: 0,
            left_out: 0,
            place: format!(
                "{}:{}",
                of.module_path().unwrap_or_default(),
                of.line().unwrap_or(0)
            ),
        });
        // What was left out is told of before anything more of its kind is written.
        if kind.left_out == 0 && now.duration_since(kind.since) >= SECOND {
            (kind.since, kind.written) = (now, 0);
        }
        if kind.written < A_SECOND {
            kind.written += 1;
            return true;
        }
        kind.left_out += 1;
        if kind.left_out == 1 {
            // Where nobody writes any more, nobody is to be told.
            let _ = self.lines.send(Sent::LeftOut);
        }
        false
    }
}

/// Starts the thread that writes.
fn queue(format: Format) -> Result<(Queue, Pace), String> {
    let (lines, sent) = channel();
    let (waiting, lost, kinds) = (
        Arc::<AtomicUsize>::default(),
        Arc::<AtomicU64>::default(),
        Kinds::default(),
    );
    let queue = Queue {
        lines: lines.clone(),
        waiting: Arc::clone(&waiting),
        lost: Arc::clone(&lost),
    };
    let pace = Pace {
        kinds: Arc::clone(&kinds),
        lines,
    };
    let writer = LogThread {
        format,
        sent,
        waiting,
        lost,
        kinds,
    };
    let thread = std::thread::Builder::new().name("log".to_string());
    thread
        .spawn(move || writer.run())
        .map_err(|e| format!("log: its thread cannot be started: {e}"))?;
    Ok((queue, pace))
}

/// The thread that writes. It alone waits for standard error.
struct LogThread {
    format: Format,
    sent: Receiver<Sent>,
    waiting: Arc<AtomicUsize>,
    lost: Arc<AtomicU64>,
    kinds: Kinds,
}

impl LogThread {
    fn run(self) {
        // Whether some kind has left out lines that were not told of yet.
        let mut untold = false;
        loop {
            let next = match untold {
                true => self.sent.recv_timeout(SECOND),
                false => self.sent.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match next {
                Ok(Sent::Line(line)) => {
                    // Closed or broken, it loses the line and nothing else.
                    let written = io::stderr().lock().write_all(&line).is_ok();
                    self.waiting.fetch_sub(line.len(), Ordering::Release);
                    let lost = if written {
                        self.lost.swap(0, Ordering::Relaxed)
                    } else {
                        0
                    };
                    if lost > 0 {
                        self.tell(&format!(
                            "log: {lost} lines were left out, as nobody took them in time"
                        ));
                    }
                }
                Ok(Sent::LeftOut) => untold = true,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            untold = untold && self.left_out();
        }
    }

    /// Tells what was left out of kinds whose second is over. Whether there is more to tell of.
    fn left_out(&self) -> bool {
        let mut told = Vec::new();
        let mut more = false;
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        for kind in kinds.values_mut().filter(|kind| kind.left_out > 0) {
            if kind.since.elapsed() < SECOND {
                more = true;
                continue;
            }
            told.push(format!(
                "log: {} more lines like those of {} were left out",
                kind.left_out, kind.place
            ));
            (kind.since, kind.written, kind.left_out) = (Instant::now(), 0, 0);
        }
        drop(kinds);
        told.iter().for_each(|text| self.tell(text));
        more
    }

    fn tell(&self, text: &str) {
        let line = match self.format {
            Format::Text => format!("{text}\n"),
            Format::Json => {
                let line = serde_json::json!({"level": "WARN", "fields": {"message": text}});
                format!("{line}\n")
            }
        };
        // As with any other line.
        let _ = io::stderr().lock().write_all(line.as_bytes());
    }
}

/// The message alone: its values stand in it, and the platform's log adds the time.
struct Sentence;

impl<S, N> FormatEvent<S, N> for Sentence
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut to: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = TextLine::default();
        event.record(&mut line);
        write!(to, "{}", line.message)?;
        if has_fixed_messages(event.metadata()) {
            write!(to, "{}", line.fields)?;
        }
        writeln!(to)
    }
}

/// The crates and modules whose messages are fixed texts, so that a line in text shows the fields as well. The messages of the
/// others contain the values of their fields.
const FIXED_MESSAGE_MODULES: [&str; 2] = ["madderloom_agent", "madderloom_sidecar::request_log"];

fn has_fixed_messages(metadata: &Metadata<'_>) -> bool {
    let target = metadata.target();
    FIXED_MESSAGE_MODULES.iter().any(|module| {
        let rest = target.strip_prefix(module);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    })
}

/// The parts of a line in text.
#[derive(Default)]
struct TextLine {
    message: String,
    /// ` NAME=VALUE` for each field, in the order of the event.
    fields: String,
}

impl Visit for TextLine {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Writing to a string does not fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }
}
