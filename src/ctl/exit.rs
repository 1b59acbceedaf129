//! Exit codes of `verbenactl`, and the errors that lead to them.

use std::fmt;
use std::process::ExitCode;

/// How the tool ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// Done, and nothing to report.
    Good,
    /// Done, and there is something: faults, differences, alerts, a refused request.
    Finding,
    /// The arguments are wrong.
    Usage,
    /// A file can't be read or written.
    File,
    /// A router can't be reached, or refuses the credential.
    Unreachable,
    /// It is not known whether a request ran.
    Unknown,
}

impl ExitKind {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Finding,
        Self::Usage,
        Self::File,
        Self::Unreachable,
        Self::Unknown,
    ];

    /// The code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Good => 0,
            Self::Finding => 1,
            Self::Usage => 2,
            Self::File => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
        }
    }

    /// What the code says, for help and the reference.
    #[must_use]
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Good => "Done, and nothing to report.",
            Self::Finding => {
                "Done, and there is something: faults, differences, alerts, a refusal."
            }
            Self::Usage => "The arguments are wrong.",
            Self::File => "A file can't be read or written.",
            Self::Unreachable => "A router can't be reached, or refuses the credential.",
            Self::Unknown => "It is not known whether the request ran.",
        }
    }
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind.code())
    }
}

/// Why a subcommand could not do its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CtlError {
    /// How the tool ends.
    pub kind: ExitKind,
    message: String,
}

impl CtlError {
    /// An error with what to tell.
    #[must_use]
    pub fn new(kind: ExitKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// A file that can't be read or written.
    #[must_use]
    pub fn file(path: &std::path::Path, error: &std::io::Error) -> Self {
        Self::new(ExitKind::File, format!("{}: {error}", path.display()))
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for CtlError {}
