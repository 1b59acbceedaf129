//! Memory for answers that are collected before they are passed on.
//!
//! Load pattern: endpoints in trouble send bodies without end to all calls that run there, each of
//! them shorter than the largest allowed answer, beside sound answers of other endpoints, most of
//! them of a few KB. Together the endless ones would take more memory than the process may use, and
//! its end would cut the calls of everybody.
//!
//! An answer may grow while it is no larger than the memory that is left, as in switches that share
//! their buffers by a dynamic threshold. One answer alone can take half of it, and of `n` that grow
//! together each stops at one part in `n + 1`. One such part is left then, so that endless answers
//! don't keep shorter ones out.

use std::cell::Cell;
use std::rc::Rc;

/// Size up to which an answer is collected however little memory is left, in bytes. Most calls to
/// plain services are answered with less.
const SMALL_ANSWER_BYTES: usize = 16_384;

/// Memory that all answers share which are being collected.
#[derive(Debug)]
pub struct AnswerMemory {
    total: usize,
    used: Cell<usize>,
}

impl AnswerMemory {
    /// Creates a memory of `total` bytes.
    #[must_use]
    pub fn new(total: usize) -> Rc<Self> {
        Rc::new(Self {
            total,
            used: Cell::new(0),
        })
    }

    /// Returns the number of bytes that are in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// The memory that one answer uses; it is given back on drop.
#[derive(Debug)]
pub struct MemoryPart {
    memory: Rc<AnswerMemory>,
    bytes: usize,
}

impl MemoryPart {
    /// Begins an answer, which uses no memory yet.
    #[must_use]
    pub fn new(memory: &Rc<AnswerMemory>) -> Self {
        Self {
            memory: Rc::clone(memory),
            bytes: 0,
        }
    }

    /// Records that the answer uses `bytes`, no less than before. Returns false if it must not grow
    /// further.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let growth = bytes.saturating_sub(self.bytes);
        let used = self.memory.used() + growth;
        self.bytes += growth;
        self.memory.used.set(used);
        bytes <= SMALL_ANSWER_BYTES || bytes <= self.memory.total.saturating_sub(used)
    }
}

impl Drop for MemoryPart {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used() - self.bytes);
    }
}
