//! Bounds what is skipped on an endpoint's connection before the answer to a call.

/// Most answers that are skipped. An endpoint may send an interim answer a few times a second while a
/// request waits, and an extra answer to each earlier request.
const MAX_SKIPPED_ANSWERS: usize = 256;

/// Answers that were skipped in one attempt, because they are interim or belong to another request.
///
/// Guards against an endpoint in trouble that sends such answers, or the body of one, without end:
/// skipping them takes processor time and bandwidth until the deadline.
#[derive(Debug)]
pub struct SkippedAnswers {
    answers_left: usize,
    bytes_left: usize,
}

impl SkippedAnswers {
    /// Allows bodies of `max_bytes` in total.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            answers_left: MAX_SKIPPED_ANSWERS,
            bytes_left: max_bytes,
        }
    }

    /// Counts an answer.
    ///
    /// # Errors
    /// The cause to log if there are too many.
    pub fn add_answer(&mut self) -> Result<(), &'static str> {
        let left = self.answers_left.checked_sub(1);
        self.answers_left = left.ok_or("too many answers of others")?;
        Ok(())
    }

    /// Counts bytes of bodies, chunk framing included.
    ///
    /// # Errors
    /// The cause to log if there are too many.
    pub fn add_bytes(&mut self, bytes: usize) -> Result<(), &'static str> {
        let left = self.bytes_left.checked_sub(bytes);
        self.bytes_left = left.ok_or("answer of another is too large")?;
        Ok(())
    }
}
