//! Errors of the sources, with the step and the URL or file.

use std::fmt;

use smol_str::SmolStr;

use crate::document::FaultList;
use crate::units::ConfigRevision;

/// The step that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceStep {
    /// Reading the publication.
    ReadConfig,
    /// Waiting for a newer publication.
    WatchConfig,
    /// Reading the host list.
    ReadHosts,
}

/// The cause of an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceFault {
    /// There was no connection, or it broke.
    Unreachable,
    /// There was no complete answer in time.
    TimedOut,
    /// An HTTP status that the step does not expect.
    Status(u16),
    /// The answer or file has no revision, or revision 0.
    NoRevision,
    /// The revision is older than one that was seen before.
    OldRevision {
        /// The one that was received now.
        received: ConfigRevision,
        /// The one that was seen before.
        seen: ConfigRevision,
    },
    /// The text changed but its revision did not.
    SameRevision(ConfigRevision),
    /// The value is larger than this limit, in bytes.
    TooLarge(usize),
    /// The file can't be read.
    Unreadable,
    /// The document has faults.
    Faulty(FaultList),
}

/// An error when reading or watching a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceError {
    /// The step that failed.
    pub step: SourceStep,
    /// The URL or file.
    pub source: SmolStr,
    /// The cause.
    pub fault: SourceFault,
}

impl fmt::Display for SourceStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ReadConfig => "reading the publication",
            Self::WatchConfig => "watching the publication",
            Self::ReadHosts => "reading the host list",
        })
    }
}

impl fmt::Display for SourceFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("no connection"),
            Self::TimedOut => formatter.write_str("no answer in time"),
            Self::Status(status) => write!(formatter, "status {status}"),
            Self::NoRevision => formatter.write_str("no revision"),
            Self::OldRevision { received, seen } => {
                write!(
                    formatter,
                    "revision {received} is older than {seen}; the newer one stays in use"
                )
            }
            Self::SameRevision(revision) => {
                write!(
                    formatter,
                    "the text changed but its revision is still {revision}; raise it"
                )
            }
            Self::TooLarge(limit) => write!(formatter, "more than {limit} bytes"),
            Self::Unreadable => formatter.write_str("can't be read"),
            Self::Faulty(faults) => write!(formatter, "{faults}"),
        }
    }
}

impl fmt::Display for SourceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} from {}: {}",
            self.step, self.source, self.fault
        )
    }
}

impl std::error::Error for SourceError {}
