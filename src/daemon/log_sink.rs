//! Buffered log output: limited to a number of lines per second and part, written in batches.
//!
//! Load pattern: a host that refuses thousands of calls a second. One write per line would be one
//! of the four system calls of a refused call; a reader that stops reading would block the router;
//! and a flood of lines from one part would hide those of the others. Lines are therefore buffered
//! in memory, and a separate thread writes them five times a second. Dropped lines are counted, and
//! a later line reports the count. Lines on the router's state go out before those on calls and in
//! a separate write: a collector that keeps only the first kilobytes of a long write then loses
//! lines on calls.

use std::collections::BTreeMap;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;
use spdlog::Record;
use spdlog::StringBuf;
use spdlog::formatter::FormatterContext;
use spdlog::sink::GetSinkProp;
use spdlog::sink::Sink;
use spdlog::sink::SinkProp;

/// Pause between two writes; a reader sees a line up to this much late.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Maximum of buffered bytes: two seconds of lines on the busiest host.
const MAX_BUFFERED_BYTES: usize = 1_048_576;

/// Maximum of lines per second for the part that logs each call. The smallest hosts accept at most
/// about 1,600 calls a second.
const CALL_LINES_PER_S: u32 = 2_000;

/// Maximum of lines per second for any other part: enough to log each change in a fleet of a
/// hundred endpoints.
const PART_LINES_PER_S: u32 = 200;

/// The part that logs one line per call.
const CALLS_PART: &str = "calls";

/// The part that reports dropped lines.
const LOGS_PART: &str = "logs";

#[derive(Debug, Default)]
struct PartBudget {
    /// Lines logged in the current second.
    lines: u32,
    /// Lines dropped and not reported yet.
    left_out: u64,
}

/// Lines, grouped in the order in which they are written.
#[derive(Debug, Default)]
struct LineBatch {
    /// Lines of all parts but [`CALLS_PART`].
    state: Vec<u8>,
    calls: Vec<u8>,
}

impl LineBatch {
    fn len(&self) -> usize {
        self.state.len() + self.calls.len()
    }

    fn is_empty(&self) -> bool {
        self.state.is_empty() && self.calls.is_empty()
    }

    fn push(&mut self, part: &str, line: &[u8]) {
        let lines = if part == CALLS_PART {
            &mut self.calls
        } else {
            &mut self.state
        };
        lines.extend_from_slice(line);
    }

    fn write(&self, output: &mut dyn Write) -> io::Result<()> {
        for lines in [&self.state, &self.calls] {
            if !lines.is_empty() {
                output.write_all(lines)?;
            }
        }
        output.flush()
    }
}

/// Buffered lines and the line budget of each part.
#[derive(Debug)]
struct BufferedLines {
    batch: LineBatch,
    parts: BTreeMap<SmolStr, PartBudget>,
    second: Instant,
}

impl BufferedLines {
    fn new() -> Self {
        Self {
            batch: LineBatch::default(),
            parts: BTreeMap::new(),
            second: Instant::now(),
        }
    }

    /// Counts one more line of a part. Returns false, and counts it as dropped, if the buffer is
    /// full or the part's budget for this second is used up.
    fn allows(&mut self, part: &str) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            for budget in self.parts.values_mut() {
                budget.lines = 0;
            }
        }
        if !self.parts.contains_key(part) {
            self.parts.insert(SmolStr::new(part), PartBudget::default());
        }
        let is_full = self.batch.len() >= MAX_BUFFERED_BYTES;
        let Some(budget) = self.parts.get_mut(part) else {
            return false;
        };
        if is_full || budget.lines >= lines_per_s(part) {
            budget.left_out += 1;
            return false;
        }
        budget.lines += 1;
        true
    }

    /// Takes the buffered lines and adds a line for each part that had lines dropped.
    fn take(&mut self) -> LineBatch {
        let mut batch = std::mem::take(&mut self.batch);
        for (part, budget) in &mut self.parts {
            let left_out = std::mem::take(&mut budget.left_out);
            if left_out > 0 {
                let line = format!("{LOGS_PART}: part={part} left_out={left_out}\n");
                batch.push(LOGS_PART, line.as_bytes());
            }
        }
        batch
    }
}

fn lines_per_s(part: &str) -> u32 {
    if part == CALLS_PART {
        CALL_LINES_PER_S
    } else {
        PART_LINES_PER_S
    }
}

/// The part that a line is from: the text before its first colon.
fn part_of(payload: &str) -> &str {
    payload.split_once(':').map_or("other", |(part, _)| part)
}

#[derive(Debug)]
struct LineQueue {
    waiting: Mutex<BufferedLines>,
    /// Notified when a line is added to an empty buffer.
    has_lines: Condvar,
}

impl LineQueue {
    fn waiting(&self) -> MutexGuard<'_, BufferedLines> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A sink that buffers lines until its thread writes them.
pub struct BatchSink {
    prop: SinkProp,
    queue: Arc<LineQueue>,
    /// Locked during a write, so that a flush waits for a write in progress.
    output: Arc<Mutex<Box<dyn Write + Send>>>,
}

impl BatchSink {
    /// Creates a sink whose thread writes to `output`.
    ///
    /// # Errors
    /// If the thread can't be spawned.
    pub fn start(output: Box<dyn Write + Send>) -> io::Result<Self> {
        let queue = Arc::new(LineQueue {
            waiting: Mutex::new(BufferedLines::new()),
            has_lines: Condvar::new(),
        });
        let output = Arc::new(Mutex::new(output));
        let (lines, target) = (Arc::clone(&queue), Arc::clone(&output));
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&lines, &target))?;
        Ok(Self {
            prop: SinkProp::default(),
            queue,
            output,
        })
    }
}

fn write_lines(queue: &LineQueue, output: &Mutex<Box<dyn Write + Send>>) {
    loop {
        let waiting = queue.waiting();
        let waiting = queue
            .has_lines
            .wait_while(waiting, |lines| lines.batch.is_empty());
        drop(waiting);
        thread::sleep(WRITE_PAUSE);
        write_waiting(queue, output);
    }
}

/// Writes the buffered lines. The queue is not locked meanwhile, so a reader that stops reading
/// causes dropped lines but never delays a call.
fn write_waiting(queue: &LineQueue, output: &Mutex<Box<dyn Write + Send>>) {
    let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
    let batch = queue.waiting().take();
    // If standard output fails, there is nowhere to report the failure.
    let _ = batch.write(&mut *output);
}

impl GetSinkProp for BatchSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BatchSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let part = part_of(record.payload());
        if !self.queue.waiting().allows(part) {
            return Ok(());
        }
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        let formatter = self.prop.formatter();
        formatter.format(record, &mut line, &mut context)?;
        let mut waiting = self.queue.waiting();
        let is_first = waiting.batch.is_empty();
        waiting.batch.push(part, line.as_bytes());
        drop(waiting);
        if is_first {
            self.queue.has_lines.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        write_waiting(&self.queue, &self.output);
        Ok(())
    }
}
