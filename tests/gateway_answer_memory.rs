//! The memory that answers share while they are collected.

use std::rc::Rc;

use verbenaturn::gateway::decide::answer_memory::AnswerMemory;
use verbenaturn::gateway::decide::answer_memory::MemoryPart;

const TOTAL: usize = 25_165_824;
const STEP: usize = 4_096;

/// Lets endless answers grow in turn, a step each, until each was stopped, and returns their sizes.
fn grow_endless(memory: &Rc<AnswerMemory>, count: usize) -> Vec<(MemoryPart, usize)> {
    let parts = (0..count).map(|_| (MemoryPart::new(memory), 0));
    let mut growing: Vec<(MemoryPart, usize)> = parts.collect();
    let mut stopped = Vec::new();
    while !growing.is_empty() {
        let mut next = Vec::new();
        for (mut part, size) in growing {
            if part.grow_to(size + STEP) {
                next.push((part, size + STEP));
            } else {
                stopped.push((part, size));
            }
        }
        growing = next;
    }
    stopped
}

/// Guards against endless answers that together take more memory than there is, though they are held
/// after they were stopped.
#[test]
fn endless_answers_stay_within_the_memory() {
    for count in [1, 2, 19, 45, 200] {
        let memory = AnswerMemory::new(TOTAL);
        let answers = grow_endless(&memory, count);
        // Each has grown by its last step when it is stopped.
        assert!(memory.used() <= TOTAL + count * STEP, "{count}");
        drop(answers);
        assert_eq!(memory.used(), 0, "{count}");
    }
}

/// Guards against endless answers that keep all others out: while they are held, one that is shorter
/// finds memory.
#[test]
fn a_shorter_answer_finds_memory_beside_endless_ones() {
    for count in [1, 2, 19, 45] {
        let memory = AnswerMemory::new(TOTAL);
        let answers = grow_endless(&memory, count);
        let sizes = answers.iter().map(|(_, size)| *size);
        let shorter = sizes.min().unwrap() / 4;
        assert!(shorter > 16_384, "{count}: {shorter}");
        let mut sound = MemoryPart::new(&memory);
        assert!(sound.grow_to(shorter), "{count}: {shorter}");
    }
}

#[test]
fn one_answer_may_use_half_of_the_memory() {
    let memory = AnswerMemory::new(TOTAL);
    let mut answer = MemoryPart::new(&memory);
    assert!(answer.grow_to(TOTAL / 2));
    assert!(!answer.grow_to(TOTAL / 2 + 1));
}

/// Guards against calls to plain services that are refused for the answers of others.
#[test]
fn a_small_answer_needs_no_free_memory() {
    let memory = AnswerMemory::new(0);
    let mut answer = MemoryPart::new(&memory);
    assert!(answer.grow_to(16_384));
    assert!(!answer.grow_to(16_385));
}
