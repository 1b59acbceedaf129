//! Errors of connections between routers, with the step and the peer.

use std::fmt;

use error_stack::AttachmentKind;
use error_stack::FrameKind;
use error_stack::Report;
use smol_str::SmolStr;

/// The step that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStep {
    /// Reading keys or certificates.
    Settings,
    /// Binding the listener.
    Listen,
    /// Opening a connection.
    Dial,
    /// The TLS handshake.
    Tls,
    /// Reading or checking the peer's hello.
    Hello,
    /// Comparing the version of the message format with the peer's.
    Version,
    /// Checking the peer's proof that it holds a key.
    Proof,
    /// Checking that the expected host and incarnation answered.
    Identity,
    /// Reading a frame.
    Read,
    /// Decoding a frame.
    Decode,
    /// Writing a frame.
    Write,
    /// Reading a forwarded answer; the connection broke before its end.
    AnswerCut,
}

impl fmt::Display for PeerStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Settings => "reading peer settings",
            Self::Listen => "listening for peers",
            Self::Dial => "dialing",
            Self::Tls => "TLS handshake",
            Self::Hello => "reading the hello",
            Self::Version => "comparing versions",
            Self::Proof => "checking the key proof",
            Self::Identity => "checking the identity",
            Self::Read => "reading a frame",
            Self::Decode => "decoding a frame",
            Self::Write => "writing a frame",
            Self::AnswerCut => "reading the forwarded answer to its end",
        })
    }
}

/// An error on a connection between routers.
#[derive(Debug)]
pub struct PeerError {
    /// The step that failed.
    pub step: PeerStep,
    /// The peer's host if known, else its address.
    pub peer: SmolStr,
}

impl PeerError {
    /// Creates an error from the failed step and the peer.
    pub fn new(step: PeerStep, peer: impl Into<SmolStr>) -> Self {
        Self {
            step,
            peer: peer.into(),
        }
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} with peer {} failed", self.step, self.peer)
    }
}

impl std::error::Error for PeerError {}

/// Formats a report as one line for the log: its contexts and printable attachments, outermost
/// first.
#[must_use]
pub fn one_line(report: &Report<PeerError>) -> String {
    let parts: Vec<String> = report
        .frames()
        .filter_map(|frame| match frame.kind() {
            FrameKind::Context(context) => Some(context.to_string()),
            FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
            FrameKind::Attachment(_) => None,
        })
        .collect();
    parts.join(": ")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_reads_as_one_line_with_step_and_peer() {
        let report = Report::new(PeerError::new(PeerStep::Proof, "suva-3")).attach("no key fits");
        let line = one_line(&report);
        assert!(line.contains("checking the key proof with peer suva-3 failed"));
        assert!(line.contains("no key fits"));
        assert!(!line.contains('\n'));
    }
}
