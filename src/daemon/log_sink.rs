//! Lines of logs on their way to standard output: bounded a second and a part, written in batches.
//!
//! The load that this answers: a host that refuses thousands of calls a second. A write a line
//! would be one of four system calls of a refused call; a reader that stops reading would stop the
//! router; and one part's flood would hide the others' lines. Lines are kept in memory and written
//! together five times a second by a thread of its own. What is left out is counted, and a later
//! line tells the count. Lines on the router's state go out before those on calls and in a write of
//! their own: a collector that takes only the first kilobytes of a long write loses lines of calls.

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

/// Pause between two writes. Somebody who follows the output sees lines a fifth of a second late.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Most bytes that wait to be written: two seconds of the busiest host's lines.
const MOST_WAITING_BYTES: usize = 1_048_576;

/// Lines a second of the part that has one for each call. The smallest hosts take in about 1,600
/// calls a second at most.
const CALL_LINES_PER_S: u32 = 2_000;

/// Lines a second of any other part: enough for each change of a fleet of a hundred endpoints.
const PART_LINES_PER_S: u32 = 200;

/// The part with one line for each call.
const CALLS_PART: &str = "calls";

/// The part that tells of lines left out.
const LOGS_PART: &str = "logs";

#[derive(Debug, Default)]
struct PartBudget {
    /// Lines in the present second.
    lines: u32,
    /// Lines left out and not told of yet.
    left_out: u64,
}

/// Lines in the order in which they go out.
#[derive(Debug, Default)]
struct LineBatch {
    /// All but those on calls.
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

/// Lines that wait, and what each part may still log.
#[derive(Debug)]
struct WaitingLines {
    batch: LineBatch,
    parts: BTreeMap<SmolStr, PartBudget>,
    second: Instant,
}

impl WaitingLines {
    fn new() -> Self {
        Self {
            batch: LineBatch::default(),
            parts: BTreeMap::new(),
            second: Instant::now(),
        }
    }

    /// Whether a part may log one more line now; counts it either way.
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
        let is_full = self.batch.len() >= MOST_WAITING_BYTES;
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

    /// Takes what waits, with a line for each part that lines were left out of.
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

/// The part that a line is from: what stands before its first colon.
fn part_of(payload: &str) -> &str {
    payload.split_once(':').map_or("other", |(part, _)| part)
}

#[derive(Debug)]
struct LineQueue {
    waiting: Mutex<WaitingLines>,
    /// Told when the first line comes after a write.
    has_lines: Condvar,
}

impl LineQueue {
    fn waiting(&self) -> MutexGuard<'_, WaitingLines> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A sink that keeps lines until its thread writes them.
pub struct BatchSink {
    prop: SinkProp,
    queue: Arc<LineQueue>,
    /// Held while lines are written, so that a flush comes after a write that has begun.
    output: Arc<Mutex<Box<dyn Write + Send>>>,
}

impl BatchSink {
    /// A sink whose thread writes to `output`.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(output: Box<dyn Write + Send>) -> io::Result<Self> {
        let queue = Arc::new(LineQueue {
            waiting: Mutex::new(WaitingLines::new()),
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

/// Writes what waits. The queue is not held meanwhile: a reader that does not read costs lines,
/// never the time of a call.
fn write_waiting(queue: &LineQueue, output: &Mutex<Box<dyn Write + Send>>) {
    let mut output = output.lock().unwrap_or_else(PoisonError::into_inner);
    let batch = queue.waiting().take();
    // Without standard output there is nobody to tell of it.
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
