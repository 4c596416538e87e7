//! A compact set of task numbers and its stored text form.

/// A set of task numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<u64>);

impl TaskSet {
    /// An empty set for numbers below `n`.
    pub fn new(n: u32) -> TaskSet {
        TaskSet(vec![0; n.div_ceil(64) as usize])
    }
    /// Whether `i` is in it.
    pub fn get(&self, i: u32) -> bool {
        self.0.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }
    /// Puts `i` in; false if it was there.
    pub fn insert(&mut self, i: u32) -> bool {
        match self.0.get_mut(i as usize / 64) {
            Some(w) if *w >> (i % 64) & 1 == 0 => {
                *w |= 1 << (i % 64);
                true
            }
            _ => false,
        }
    }
    /// Takes `i` out.
    pub fn remove(&mut self, i: u32) {
        if let Some(w) = self.0.get_mut(i as usize / 64) {
            *w &= !(1 << (i % 64));
        }
    }
    /// How many are in it.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|w| w.count_ones()).sum()
    }
    /// Numbers from `from`, `len` of them, as text, six bits a character.
    pub fn encode(&self, from: u32, len: u32) -> String {
        let bit = |i: u32| u8::from(i < from + len && self.get(i));
        (from..from + len.min((self.0.len() as u32 * 64).saturating_sub(from)))
            .step_by(6)
            .map(|i| (b'0' + (0..6).map(|k| bit(i + k) << k).sum::<u8>()) as char)
            .map(|c| if c == '\\' { '!' } else { c })
            .collect()
    }
    /// Adds what [`TaskSet::encode`] wrote.
    pub fn decode(&mut self, from: u32, text: &str) {
        for (n, c) in text.bytes().enumerate() {
            let v = if c == b'!' { b'\\' - b'0' } else { c.wrapping_sub(b'0') };
            for k in 0..6 {
                if v < 64 && v >> k & 1 == 1 {
                    self.insert(from + n as u32 * 6 + k);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
