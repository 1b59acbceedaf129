//! What goes wrong with the sources, at which step and with whom.

use std::fmt;

use smol_str::SmolStr;

use crate::document::FaultList;
use crate::units::ConfigRevision;

/// The step at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceStep {
    /// Reading the publication.
    ReadConfig,
    /// Waiting for a newer publication.
    WatchConfig,
    /// Reading the host list.
    ReadHosts,
}

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceFault {
    /// No connection, or it broke.
    Unreachable,
    /// No whole answer in time.
    TimedOut,
    /// A status that the step does not expect.
    Status(u16),
    /// An answer or a file without a revision, or with revision 0.
    NoRevision,
    /// A revision older than one that was seen before.
    OldRevision {
        /// The one that came.
        came: ConfigRevision,
        /// The one seen before.
        seen: ConfigRevision,
    },
    /// The text changed and its revision did not.
    SameRevision(ConfigRevision),
    /// A value over the size limit, in bytes.
    TooLarge(usize),
    /// A file that can't be read.
    Unreadable,
    /// A document with faults.
    Faulty(FaultList),
}

/// An error at the source's edge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceError {
    /// The step.
    pub step: SourceStep,
    /// The URL or file.
    pub source: SmolStr,
    /// What went wrong.
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
            Self::OldRevision { came, seen } => {
                write!(
                    formatter,
                    "revision {came} came after {seen}; the newer one stays"
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
