//! A bounded sliding set of numbers, one bit each.

use std::collections::VecDeque;

/// 512 KiB, for about four million numbers.
const MAX_WORDS: usize = 1 << 16;

/// Which numbers from `start()` on are in the set; what lies below is no longer known.
#[derive(Debug, Default)]
pub struct Bits {
    base: u64,
    words: VecDeque<u64>,
}

impl Bits {
    /// The first number whose membership is known.
    pub const fn start(&self) -> u64 {
        self.base * 64
    }

    /// Whether the number is in the set, if known.
    pub fn get(&self, number: u64) -> Option<bool> {
        let word = (number / 64).checked_sub(self.base)?;
        let bits = self.words.get(usize::try_from(word).ok()?);
        Some(bits.is_some_and(|bits| bits >> (number % 64) & 1 == 1))
    }

    /// Puts the number into the set, unless it lies below the start.
    pub fn set(&mut self, number: u64) {
        let word = number / 64;
        let end = self.base + self.words.len() as u64;
        if word >= end + MAX_WORDS as u64 {
            self.words.clear();
            self.base = word;
        }
        if word < self.base {
            return;
        }
        while self.base + self.words.len() as u64 <= word {
            self.words.push_back(0);
        }
        while self.words.len() > MAX_WORDS {
            self.words.pop_front();
            self.base += 1;
        }
        if let Some(bits) = self.word(number) {
            *bits |= 1 << (number % 64);
        }
    }

    /// Takes the number out of the set.
    pub fn clear(&mut self, number: u64) {
        if let Some(bits) = self.word(number) {
            *bits &= !(1 << (number % 64));
        }
    }

    /// Forgets numbers below `number`, rounded up to a whole word.
    pub fn forget_below(&mut self, number: u64) {
        let base = number.div_ceil(64);
        while self.base < base && self.words.pop_front().is_some() {
            self.base += 1;
        }
        self.base = self.base.max(base);
    }

    /// The numbers in the set, from the highest down.
    pub fn iter_descending(&self) -> impl Iterator<Item = u64> + '_ {
        let words = self.words.iter().enumerate().rev();
        words.flat_map(|(index, bits)| {
            let first = (self.base + index as u64) * 64;
            (0..64)
                .rev()
                .filter(move |bit| bits >> bit & 1 == 1)
                .map(move |bit| first + bit)
        })
    }

    fn word(&mut self, number: u64) -> Option<&mut u64> {
        let word = (number / 64).checked_sub(self.base)?;
        self.words.get_mut(usize::try_from(word).ok()?)
    }
}
