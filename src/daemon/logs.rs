//! Logs: one line an event on standard error, each beginning with the part that it is from.
//!
//! Parts: `control`, `entry`, `endpoint`, `peers`, `config`, `hosts`, `daemon`. Keys and bodies
//! are never logged.

use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::sink::StdStreamSink;

use crate::settings::LogLevel;

/// Sends all levels to standard error. Without it the library sends some to standard output.
///
/// # Errors
/// If the library can't be set up.
pub fn to_standard_error() -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder().stderr().build_arc()?;
    let logger = Logger::builder().sink(sink).build_arc()?;
    spdlog::set_default_logger(Arc::clone(&logger));
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
    // A line that is still in a buffer when the process ends would be lost.
    logger.set_flush_level_filter(LevelFilter::All);
}
