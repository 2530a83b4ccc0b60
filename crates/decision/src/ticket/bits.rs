//! A bounded sliding window of numbers as a bit set.

use std::collections::VecDeque;

/// The maximum size of the window in words of 64 bits: 512 KiB for about four million numbers.
const MAX_WORDS: usize = 1 << 16;

/// A set of numbers from `start()` on. The membership of lower numbers is no longer known.
#[derive(Debug, Default)]
pub struct Bits {
    /// The first number in the window, in units of 64.
    base: u64,
    words: VecDeque<u64>,
}

impl Bits {
    /// Returns the first number whose membership is known.
    pub const fn start(&self) -> u64 {
        self.base * 64
    }

    /// Returns whether the number is in the set, or `None` if it lies below the start.
    pub fn get(&self, number: u64) -> Option<bool> {
        let word = (number / 64).checked_sub(self.base)?;
        let bits = self.words.get(usize::try_from(word).ok()?);
        Some(bits.is_some_and(|bits| bits >> (number % 64) & 1 == 1))
    }

    /// Inserts the number into the set, unless it lies below the start. A number above the window
    /// moves the window up.
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

    /// Removes the number from the set.
    pub fn clear(&mut self, number: u64) {
        if let Some(bits) = self.word(number) {
            *bits &= !(1 << (number % 64));
        }
    }

    /// Raises the start to `number`, rounded up to a whole word.
    pub fn forget_below(&mut self, number: u64) {
        let base = number.div_ceil(64);
        while self.base < base && self.words.pop_front().is_some() {
            self.base += 1;
        }
        self.base = self.base.max(base);
    }

    /// Returns the numbers in the set in descending order.
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
