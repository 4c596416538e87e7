//! A compact set of task numbers, and its text form in the records of version 0.1.

/// Task numbers per word of the set.
const WORD_BITS: u32 = u64::BITS;

/// Task numbers per character of the text form.
const CHARACTER_BITS: u32 = 6;

/// The character with no bit set. The other characters follow in the order of their bits.
const FIRST_CHARACTER: u8 = b'0';

/// Replaces the backslash, which JSON would escape.
const BACKSLASH_SUBSTITUTE: u8 = b'!';

/// A set of task numbers below a limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<u64>);

impl TaskSet {
    /// An empty set for numbers below `limit`.
    pub fn new(limit: u32) -> TaskSet {
        TaskSet(vec![0; limit.div_ceil(WORD_BITS) as usize])
    }

    /// Whether a task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let (index, mask) = position(task);
        self.0.get(index).is_some_and(|word| word & mask != 0)
    }

    /// Adds a task. Returns false if it was in the set already or is not below the limit.
    pub fn insert(&mut self, task: u32) -> bool {
        let (index, mask) = position(task);
        let Some(word) = self.0.get_mut(index).filter(|word| **word & mask == 0) else { return false };
        *word |= mask;
        true
    }

    /// Removes a task.
    pub fn remove(&mut self, task: u32) {
        let (index, mask) = position(task);
        if let Some(word) = self.0.get_mut(index) {
            *word &= !mask;
        }
    }

    /// Number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// Encodes `len` numbers from `first` on as text, six numbers per character.
    pub fn encode(&self, first: u32, len: u32) -> String {
        let end = first + len;
        let limit = (self.0.len() as u32 * WORD_BITS).max(first);
        let bit = |task: u32| u8::from(task < end && self.contains(task));
        (first..end.min(limit))
            .step_by(CHARACTER_BITS as usize)
            .map(|task| (0..CHARACTER_BITS).map(|offset| bit(task + offset) << offset).sum::<u8>())
            .map(|bits| FIRST_CHARACTER + bits)
            .map(|character| if character == b'\\' { BACKSLASH_SUBSTITUTE } else { character })
            .map(char::from)
            .collect()
    }

    /// Adds the numbers that [`TaskSet::encode`] wrote from `first` on. Unknown characters are ignored.
    pub fn decode(&mut self, first: u32, text: &str) {
        for (index, character) in text.bytes().enumerate() {
            let character = if character == BACKSLASH_SUBSTITUTE { b'\\' } else { character };
            let bits = character.wrapping_sub(FIRST_CHARACTER);
            if bits >= 1 << CHARACTER_BITS {
                continue;
            }
            for offset in (0..CHARACTER_BITS).filter(|offset| bits >> offset & 1 == 1) {
                self.insert(first + index as u32 * CHARACTER_BITS + offset);
            }
        }
    }
}

/// Position of a task in the set: index of the word, and bit mask within the word.
fn position(task: u32) -> (usize, u64) {
    ((task / WORD_BITS) as usize, 1 << (task % WORD_BITS))
}

#[cfg(test)]
mod tests;
