//! Logs: one line an event on standard error, each beginning with the part that it is from.
//!
//! Parts: `control`, `entry`, `endpoint`, `peers`, `config`, `hosts`, `daemon`. Keys and bodies
//! are never logged.

use std::num::NonZeroUsize;
use std::time::Duration;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;

use crate::settings::LogLevel;

/// Sends all levels to standard error. Without it the library sends some to standard output.
///
/// # Errors
/// If the library can't be set up.
pub fn to_standard_error() -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder().stderr().build_arc()?;
    let logger = Logger::builder().sink(sink).build_arc()?;
    // A line that is still in a buffer when the process ends would be lost.
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Lines that may wait for a slow reader of standard output; more are dropped.
const WAITING_LINES: usize = 4_096;

/// Pause between two writes of waiting lines.
const FLUSH_PAUSE: Duration = Duration::from_millis(200);

/// Sends all levels to standard output from a thread of its own. A reader that does not read
/// costs lines, never the time of a call: lines beyond a few thousand are dropped.
///
/// # Errors
/// If the library can't be set up.
pub fn to_standard_output() -> Result<(), spdlog::Error> {
    let formatter = PatternFormatter::new(pattern!("{datetime} {level} {payload}{eol}"));
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(formatter)
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(NonZeroUsize::new(WAITING_LINES).unwrap_or(NonZeroUsize::MIN))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder().sink(sink).build_arc()?;
    logger.set_flush_period(Some(FLUSH_PAUSE));
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Sets the least level that is logged; can be called at any time.
pub fn set_level(level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    };
    let logger = spdlog::default_logger();
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
}
