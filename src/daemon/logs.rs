//! Logging: one line per event, which starts with the part that it is from. The router logs to
//! standard error.
//!
//! Parts: `control`, `entry`, `endpoint`, `peers`, `config`, `hosts`, `daemon`. Keys and bodies
//! are never logged.

use std::io::Write;
use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::SinkPropAccess;
use spdlog::sink::StdStreamSink;

use crate::settings::LogLevel;

use super::log_sink::BatchSink;

/// Logs all levels to standard error. By default the library sends some to standard output.
///
/// # Errors
/// If the library can't be set up.
pub fn to_standard_error() -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder().stderr().build_arc()?;
    let logger = Logger::builder().sink(sink).build_arc()?;
    // Flush each line: one that is still buffered when the process ends would be lost.
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Logs all levels to standard output in batches, see [`super::log_sink`].
///
/// # Errors
/// If the library can't be set up.
pub fn to_standard_output() -> Result<(), spdlog::Error> {
    to_output(Box::new(std::io::stdout()))
}

/// Logs all levels to `output` in batches, see [`super::log_sink`].
///
/// # Errors
/// If the library can't be set up.
pub fn to_output(output: Box<dyn Write + Send>) -> Result<(), spdlog::Error> {
    let sink = BatchSink::start(output).map_err(spdlog::Error::WriteRecord)?;
    let formatter = PatternFormatter::new(pattern!(
        "{year}-{month}-{day}T{time}.{millisecond}{tz_offset} {level} {payload}{eol}"
    ));
    sink.set_formatter(Box::new(formatter));
    let logger = Logger::builder().sink(Arc::new(sink)).build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes all buffered lines; called before the process ends.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Sets the least severe level that is logged; can be called at any time.
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
