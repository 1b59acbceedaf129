//! Log output: rate-limited, batched, and never blocking a call.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use spdlog::Logger;
use spdlog::sink::Sink;

use verbenaturn::daemon::log_sink::BatchSink;

/// An output that records what is written.
#[derive(Clone, Default)]
struct RecordedOutput {
    bytes: Arc<Mutex<Vec<u8>>>,
    writes: Arc<Mutex<usize>>,
}

impl RecordedOutput {
    fn text(&self) -> String {
        String::from_utf8(self.bytes.lock().unwrap().clone()).unwrap()
    }
}

impl Write for RecordedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        *self.writes.lock().unwrap() += 1;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose reader reads nothing until `gate` opens.
struct BlockedOutput {
    gate: Receiver<()>,
    kept: RecordedOutput,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        self.kept.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logger(output: Box<dyn Write + Send>) -> (Arc<BatchSink>, Logger) {
    let sink = Arc::new(BatchSink::start(output).unwrap());
    let logger = Logger::builder()
        .sink(Arc::clone(&sink) as Arc<dyn Sink>)
        .build()
        .unwrap();
    (sink, logger)
}

/// Guards against blocked calls: if logging a line waited for a reader of standard output that
/// hangs, so would the call that logs it, and then every call.
#[test]
fn a_blocked_reader_does_not_block_logging() {
    let (open, gate) = channel();
    let kept = RecordedOutput::default();
    let (_sink, logger) = logger(Box::new(BlockedOutput {
        gate,
        kept: kept.clone(),
    }));
    for index in 0..100_000 {
        spdlog::info!(logger: logger, "calls: id={index}");
    }
    assert_eq!(kept.text(), "");
    drop(open);
}

/// Guards against lost lines: an endpoint refuses connections thousands of times a second. Its
/// lines must not displace the line on the store, and the count of dropped lines must be reported.
#[test]
fn a_flood_from_one_part_does_not_displace_lines_of_others() {
    let kept = RecordedOutput::default();
    let (sink, logger) = logger(Box::new(kept.clone()));
    for _ in 0..5_000 {
        spdlog::warn!(logger: logger, "endpoint: step=connect fault=refused");
    }
    spdlog::warn!(logger: logger, "store: step=watch lost");
    sink.flush().unwrap();
    let text = kept.text();
    let lines = text.matches("endpoint: step=connect").count();
    assert!(lines < 1_000, "{lines}");
    assert_eq!(text.matches("store: step=watch lost").count(), 1);
    let reported: usize = text
        .split("logs: part=endpoint left_out=")
        .skip(1)
        .filter_map(|rest| rest.split_whitespace().next()?.parse::<usize>().ok())
        .sum();
    assert_eq!(lines + reported, 5_000);
}

/// A host refuses hundreds of calls in 200 ms: one write per line would cost as much as the calls.
#[test]
fn lines_that_come_together_are_written_together() {
    let kept = RecordedOutput::default();
    let (sink, logger) = logger(Box::new(kept.clone()));
    for index in 0..500 {
        spdlog::info!(logger: logger, "calls: id={index}");
    }
    sink.flush().unwrap();
    assert_eq!(kept.text().lines().count(), 500);
    assert!(*kept.writes.lock().unwrap() <= 3);
}

/// Guards against a lost cause: a host refuses hundreds of calls, and a collector keeps only the
/// first kilobytes of each write. The line with the cause came after the lines of the calls and was
/// lost.
#[test]
fn a_change_of_state_is_not_lost_behind_lines_of_calls() {
    let kept = RecordedOutput::default();
    let (sink, logger) = logger(Box::new(kept.clone()));
    for index in 0..500 {
        spdlog::info!(logger: logger, "calls: id={index}");
    }
    spdlog::warn!(logger: logger, "gateway: overloaded=true");
    sink.flush().unwrap();
    let first_line = kept.text().lines().next().map(str::to_owned);
    assert!(first_line.is_some_and(|line| line.ends_with("gateway: overloaded=true")));
}
