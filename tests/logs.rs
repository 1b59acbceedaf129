//! Lines of logs on their way out: bounded, batched, and never in the way of a call.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use spdlog::Logger;
use spdlog::sink::Sink;

use verbenaturn::daemon::log_sink::BatchSink;

/// An output that keeps what is written.
#[derive(Clone, Default)]
struct KeptOutput {
    bytes: Arc<Mutex<Vec<u8>>>,
    writes: Arc<Mutex<usize>>,
}

impl KeptOutput {
    fn text(&self) -> String {
        String::from_utf8(self.bytes.lock().unwrap().clone()).unwrap()
    }
}

impl Write for KeptOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        *self.writes.lock().unwrap() += 1;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose reader reads nothing until it is told to.
struct StuckOutput {
    gate: Receiver<()>,
    kept: KeptOutput,
}

impl Write for StuckOutput {
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

/// The reader of standard output hangs. If a line waited for it, so would the call that it is
/// about, and then every call.
#[test]
fn a_reader_that_does_not_read_stops_nothing() {
    let (open, gate) = channel();
    let kept = KeptOutput::default();
    let (_sink, logger) = logger(Box::new(StuckOutput {
        gate,
        kept: kept.clone(),
    }));
    for index in 0..100_000 {
        spdlog::info!(logger: logger, "calls: id={index}");
    }
    assert_eq!(kept.text(), "");
    drop(open);
}

/// One endpoint refuses connections thousands of times a second. Its lines must not crowd out the
/// line on the store, and how many are missing must be told.
#[test]
fn a_part_that_floods_leaves_the_others_their_lines() {
    let kept = KeptOutput::default();
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
    let told: usize = text
        .split("logs: part=endpoint left_out=")
        .skip(1)
        .filter_map(|rest| rest.split_whitespace().next()?.parse::<usize>().ok())
        .sum();
    assert_eq!(lines + told, 5_000);
}

/// A host refuses hundreds of calls in a fifth of a second; a write for each line would cost as
/// much as the calls.
#[test]
fn lines_that_come_together_are_written_together() {
    let kept = KeptOutput::default();
    let (sink, logger) = logger(Box::new(kept.clone()));
    for index in 0..500 {
        spdlog::info!(logger: logger, "calls: id={index}");
    }
    sink.flush().unwrap();
    assert_eq!(kept.text().lines().count(), 500);
    assert!(*kept.writes.lock().unwrap() <= 3);
}

/// A host refuses hundreds of calls, and a collector keeps the first kilobytes of each write: the
/// line that says why stood behind the lines of the calls and was lost.
#[test]
fn a_change_of_state_is_not_lost_behind_lines_of_calls() {
    let kept = KeptOutput::default();
    let (sink, logger) = logger(Box::new(kept.clone()));
    for index in 0..500 {
        spdlog::info!(logger: logger, "calls: id={index}");
    }
    spdlog::warn!(logger: logger, "gateway: overloaded=true");
    sink.flush().unwrap();
    let first_line = kept.text().lines().next().map(str::to_owned);
    assert!(first_line.is_some_and(|line| line.ends_with("gateway: overloaded=true")));
}
